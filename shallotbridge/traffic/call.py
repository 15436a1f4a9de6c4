"""One request of a client on its way through the entry node."""

import math

from ..core import errors

# Longest deadline that is believed, s; without one the route's timeout holds.
MAXIMUM_DEADLINE_SECONDS = 3600.0


class Call:
    """One request of a client and what was tried for it.

    Attributes
    ----------
    offers : list of selection.Choice
    tried : set of str
        Ids of the upstreams that it is not offered to again.
    busy : set of str
        Ids of the upstreams that had no slot in time once.
    arrivals : int
        Upstreams that got it, or may have got it.
    sent_at : float
        When it was offered to the last of them.
    sent_under : distribution.mirror.CopyState or None
        Copy of the published items that the last choice was made from.
    maximum_wait : float
        Longest expected wait at an owner node that is worth an offer, s.
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
        "tried",
        "busy",
        "arrivals",
        "sent_at",
        "sent_under",
        "maximum_wait",
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
        self.tried = set()
        self.busy = set()
        self.arrivals = 0
        self.sent_at = started_at
        self.sent_under = None
        self.maximum_wait = math.inf


def read_deadline(value):
    """Return the seconds of a deadline header.

    Raises
    ------
    errors.BadHeaderError

    Examples
    --------
    >>> read_deadline("1500")
    1.5
    """
    try:
        seconds = float(value) / 1000
    except ValueError as error:
        raise errors.BadHeaderError(
            f"deadline {value!r}; allowed: a number of milliseconds"
        ) from error
    if not 0 <= seconds < MAXIMUM_DEADLINE_SECONDS:
        return MAXIMUM_DEADLINE_SECONDS
    return seconds
