"""Immutable data types shared by several modules."""

import dataclasses
import types
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, order=True, slots=True)
class HeadReference:
    """Number and content digest of a version; ordered by both.

    Examples
    --------
    >>> NO_HEAD < HeadReference(version=1, digest=b"a")
    True
    """

    version: int
    digest: bytes


NO_HEAD = HeadReference(version=0, digest=b"")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FailureDomain:
    """A group of hosts that is taken out of service as a unit."""

    name: str
    region: str
    in_service: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamLimits:
    """Capacity limits of each upstream of a service."""

    failure_domains: tuple[str, ...]
    slots: int
    connections: int
    cold_slots: int
    ramp_seconds: float
    queue: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A request pattern with its deadline, retry and idempotency rules."""

    name: str
    service: str
    method: str
    path: str
    is_idempotent: bool
    deadline_seconds: float
    retry_ratio: float
    depends_on: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A named group of upstreams and the routes that they serve."""

    name: str
    upstream: UpstreamLimits
    routes_by_name: typing.Mapping[str, Route]


# The route index holds a weak reference to its configuration.
@dataclasses.dataclass(
    frozen=True, kw_only=True, slots=True, weakref_slot=True
)
class Configuration:
    """One complete, validated configuration."""

    head: HeadReference
    mesh_name: str
    failure_domains_by_name: typing.Mapping[str, FailureDomain]
    services_by_name: typing.Mapping[str, Service]

    def is_in_service(self, failure_domain):
        """Return whether a failure domain may receive new requests."""
        found = self.failure_domains_by_name.get(failure_domain)
        return found is not None and found.in_service


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """One entry of the platform's host list."""

    host_id: str
    address: str
    service: str
    failure_domain: str
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Header:
    """One header field; the name is in lower case."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete request as received from a caller or another node."""

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes = b""

    def header(self, name):
        """Return the value of the first header field of a name, or None."""
        return _first_value(self.headers, name)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: tuple[Header, ...]
    body: bytes = b""

    def header(self, name):
        """Return the value of the first header field of a name, or None."""
        return _first_value(self.headers, name)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A request with its route, configuration and retry state.

    Attributes
    ----------
    deadline : float
        Time on trio's clock, seconds.
    retries_left : int
        Remaining retries, shared by the whole tree of calls that this
        call belongs to.
    attempt : int
        Number of the attempt; 1 for the first one of the caller.
    """

    request: Request
    request_id: str
    route: Route
    configuration: Configuration
    deadline: float
    retries_left: int
    attempt: int = 1
    idempotency_key: str | None = None


def _first_value(headers, name):
    for header in headers:
        if header.name == name:
            return header.value
    return None


def by_key(items, attribute):
    """Return a read-only mapping of items by one of their attributes.

    Examples
    --------
    >>> domains = [FailureDomain(name="cairo-1", region="cairo")]
    >>> by_key(domains, "name")["cairo-1"].region
    'cairo'
    """
    return types.MappingProxyType(
        {getattr(item, attribute): item for item in items}
    )
