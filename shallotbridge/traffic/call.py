"""State of a client request at the entry node."""

import math

from ..core import errors

# Upper bound on the deadline of a request. Requests without a deadline use the
# timeout of their route.
MAXIMUM_DEADLINE_SECONDS = 3600.0
# A call of an upstream may take this multiple of the objective of its route.
CALL_OBJECTIVE_FACTOR = 2.0


class Call:
    """A client request and its offers to owner nodes.

    Attributes
    ----------
    offers : list of selection.Choice
        Selected upstreams, in the order of the offers.
    excluded_ids : set of str
        Ids of the upstreams that get no further offer.
    reoffered_ids : set of str
        Ids of the upstreams that refused an offer for overload and may get a
        second one.
    room_at_by_id : dict of str to float
        Times at which upstreams that refused an offer for overload expect
        room.
    starting_refusals : int
        Number of refusals by owner nodes that are starting.
    attempts : int
        Number of upstreams that got the request, or may have got it.
    sent_at : float
        Time of the last offer.
    mirror_state : distribution.mirror.MirrorState or None
        State of the upstream mirror that the last selection was based on.
    maximum_wait_seconds : float
        Maximum expected queue time of an owner node that gets an offer,
        seconds.
    is_upstream_call : bool
        Whether an upstream made the request while it runs another one, see
        ``call_graph``.
    fingerprints : tuple of int
        See ``crash_records.make_fingerprints``.
    customer : model.Customer or None
        The customer that sent the request; None if it needs no key.
    """

    __slots__ = (
        "request",
        "request_id",
        "route",
        "version",
        "service",
        "headers",
        "started_at",
        "deadline_at",
        "offers",
        "excluded_ids",
        "reoffered_ids",
        "room_at_by_id",
        "starting_refusals",
        "attempts",
        "sent_at",
        "mirror_state",
        "maximum_wait_seconds",
        "fingerprints",
        "customer",
        "is_upstream_call",
    )

    def __init__(
        self,
        *,
        request,
        request_id,
        route,
        version,
        service,
        headers,
        started_at,
        deadline_at,
        fingerprints=(0,),
        customer=None,
    ):
        self.request = request
        self.request_id = request_id
        self.route = route
        self.version = version
        self.service = service
        self.headers = headers
        self.started_at = started_at
        self.deadline_at = deadline_at
        self.offers = []
        self.excluded_ids = set()
        self.reoffered_ids = set()
        self.room_at_by_id = {}
        self.starting_refusals = 0
        self.attempts = 0
        self.sent_at = started_at
        self.mirror_state = None
        self.maximum_wait_seconds = math.inf
        self.fingerprints = fingerprints
        self.customer = customer
        self.is_upstream_call = False

    @property
    def objective_at(self):
        """Time after which the response has less value.

        A late response to a call of an upstream is of use to its parent. With
        the deadline in place of the factor, calls were served so late that 11
        in 100 parents missed their objective in bench/overload.py.
        """
        if self.is_upstream_call:
            return min(
                self.deadline_at,
                self.started_at
                + self.route.objective_seconds * CALL_OBJECTIVE_FACTOR,
            )
        return self.started_at + self.route.objective_seconds


def parse_deadline_seconds(value):
    """Return the value of a deadline header, seconds.

    Negative and too large values are replaced by the maximum deadline.

    Raises
    ------
    errors.BadHeaderError
        The value is not a number of milliseconds.

    Examples
    --------
    >>> parse_deadline_seconds("1500")
    1.5
    """
    try:
        seconds = float(value) / 1000
    except ValueError as error:
        raise errors.BadHeaderError(
            f"deadline header {value!r} is not a number of milliseconds"
        ) from error
    if not 0 <= seconds < MAXIMUM_DEADLINE_SECONDS:
        return MAXIMUM_DEADLINE_SECONDS
    return seconds
