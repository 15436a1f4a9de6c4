"""What callers and upstreams saw, and what was done to the hosts."""

import dataclasses
import math


@dataclasses.dataclass(kw_only=True)
class Call:
    """One request of a caller.

    Attributes
    ----------
    ended_at : float
        Infinite while it waits for its answer.
    status : int or None
        None if the connection ended without a whole answer.
    age : int
        Requests that the connection had carried before.
    """

    request_id: str
    host: int
    is_idempotent: bool
    sent_at: float
    ended_at: float = math.inf
    status: int | None = None
    is_own_answer: bool = False
    age: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One request that an upstream ran."""

    request_id: str
    upstream_id: str
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sight:
    """Whether a node served the route that came with a version."""

    host: int
    incarnation: int
    version: int
    is_served: bool
    sent_at: float


class Records:
    """All records of a run; times are seconds since its start."""

    def __init__(self):
        self.calls = []
        self.runs = []
        self.sights = []
        # Each disturbance as (kind, host or None for all, start, end).
        self.disturbances = []
        self.published_at_by_version = {}
        # Upstreams and when they said that they leave.
        self.leaving_at_by_id = {}
        # Each failure domain out as (domain, start, end).
        self.domains_out = []
        self.domain_by_upstream = {}
        # Ids of the requests that look which version is in force.
        self.looked_for = set()

    def add_run(self, request_id, upstream_id, at):
        """Note that an upstream began to run a request."""
        self.runs.append(
            Run(request_id=request_id, upstream_id=upstream_id, at=at)
        )

    def is_calm(self, host, start, end):
        """Tell whether nothing disturbed a host, or all, in some time."""
        return not any(
            began <= end and start <= ended
            for _, disturbed, began, ended in self.disturbances
            if disturbed is None or host is None or disturbed == host
        )
