"""Records of requests, runs on upstreams and injected faults."""

import collections
import dataclasses
import math

# Kind of the faults that excuse only their own host.
READER_LOST = "reader_lost"


@dataclasses.dataclass(kw_only=True)
class Call:
    """One request of a caller.

    Attributes
    ----------
    ended_at : float
        Infinite while the response is pending.
    status : int or None
        None if there was no complete response.
    previous_requests : int
        Number of earlier requests on the same connection.
    is_limited : bool
        Whether its customer has a quota.
    service : str
        Service that it is for.
    """

    request_id: str
    host: int
    is_idempotent: bool
    sent_at: float
    ended_at: float = math.inf
    status: int | None = None
    is_own_response: bool = False
    previous_requests: int = 0
    is_limited: bool = False
    service: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One request that an upstream ran."""

    request_id: str
    upstream_id: str
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionProbe:
    """Whether a node served the route that a version added."""

    host: int
    incarnation: int
    version: int
    is_served: bool
    sent_at: float


class Records:
    """All records of a soak run; times are in seconds since its start."""

    def __init__(self):
        self.calls = []
        self.runs = []
        self.version_probes = []
        # Tuples of (kind, host or None for all hosts, start, end).
        self.faults = []
        self.published_at_by_version = {}
        # Time at which each upstream announced that it is draining.
        self.leaving_at_by_id = {}
        # Time of each upstream's first answer that said that it is leaving.
        self.said_leaving_at_by_id = {}
        # Limits that upstreams named, as tuples of (upstream id, requests a
        # second, start, end).
        self.limits = []
        # Failure domains out of service, as tuples of (domain, start, end).
        self.domains_out = []
        self.domain_by_upstream = {}
        # Attempts of requests that end upstreams, and by path and service of
        # the caller the times at which such a request ended one.
        self.harmful_calls_by_id = {}
        self.harmful_identities_by_id = {}
        self.crashed_at_by_identity = collections.defaultdict(list)
        # Texts on node processes that ended by themselves, or that took more
        # memory than their settings allow.
        self.process_violations = []
        # Number of processes that a signal ended before their first line ran.
        self.early_ends = 0
        # Times in which all upstreams of a service were slow, as tuples of
        # (service, start, end).
        self.slow_times = []
        # Texts on requests that came to upstreams with a key, or without the
        # name of their customer.
        self.header_violations = []
        # Ids of requests that probe the active version.
        self.probe_request_ids = set()
        # Upstreams beside nodes of an older build, which ignore what an
        # answer says of the upstream.
        self.older_upstream_ids = set()

    def add_run(self, request_id, upstream_id, at):
        """Record that an upstream started to run a request."""
        self.runs.append(
            Run(request_id=request_id, upstream_id=upstream_id, at=at)
        )

    def has_no_faults(self, host, start, end, *, except_kind=None):
        """Return whether no fault affected a host within an interval.

        With None as host, a fault on any host counts.
        """
        return not any(
            began <= end and start <= ended and kind != except_kind
            for kind, faulted_host, began, ended in self.faults
            if faulted_host is None or host is None or faulted_host == host
        )

    def are_in_touch(self, hosts, start, end):
        """Return whether hosts must keep the limits within an interval.

        A lost reader excuses only its own host, any other fault all hosts.
        """
        return not any(
            began <= end
            and start <= ended
            and (kind != READER_LOST or faulted_host in hosts)
            for kind, faulted_host, began, ended in self.faults
        )
