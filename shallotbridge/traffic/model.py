"""Immutable data types for routing and admission control."""

import dataclasses
import types
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Destination:
    """A service that gets a weighted part of the requests of a route."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A route: how requests with a host and a path prefix are handled.

    Attributes
    ----------
    timeout_seconds : float
        Maximum duration of a request, also the default deadline.
    objective_seconds : float
        Latency objective: an answer within this time has its full value.
    maximum_attempts : int
        Maximum number of upstreams that one request may be sent to.
    priority : int
        0 is the highest priority.
    is_public : bool
        Whether requests need no key of a customer.
    """

    name: str
    host: str
    path_prefix: str
    destinations: tuple[Destination, ...]
    is_idempotent: bool
    timeout_seconds: float
    objective_seconds: float
    maximum_attempts: int
    priority: int
    is_public: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """Settings of all upstreams of a service.

    Attributes
    ----------
    cold_seconds : float
        Duration of the cold start of an upstream.
    cold_rate : float
        Requests a second that an upstream can handle during its cold start.
    """

    name: str
    health_path: str
    maximum_connections: int
    cold_seconds: float
    cold_rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Customer:
    """A customer whose requests carry one of its keys.

    Attributes
    ----------
    priority : int or None
        Takes precedence over the priority of the route; None if the customer
        has none.
    rate : float
        Quota of all nodes together, requests per second; 0 means no quota.
    burst : float
        Requests beyond the rate that may come at once.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Size limits and timeouts of client requests."""

    maximum_head_bytes: int
    maximum_body_bytes: int
    head_timeout_seconds: float
    idle_timeout_seconds: float


DEFAULT_CLIENT_LIMITS = ClientLimits(
    maximum_head_bytes=16 * 1024,
    maximum_body_bytes=1024 * 1024,
    head_timeout_seconds=3.0,
    idle_timeout_seconds=15.0,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One accepted configuration.

    Attributes
    ----------
    routes_by_host : mapping
        For each host name, a mapping of path prefixes to routes.
    customers_by_key : mapping of str to Customer, or None
        None if requests need no key.
    longest_prefix_length : int
        Length of the longest path prefix of all routes.
    """

    version: int
    routes_by_host: typing.Mapping[str, typing.Mapping[str, Route]]
    services_by_name: typing.Mapping[str, Service]
    limits: ClientLimits
    customers_by_key: typing.Mapping[str, Customer] | None = dataclasses.field(
        default=None, repr=False
    )
    longest_prefix_length: int = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self):
        longest = max(
            (
                len(prefix)
                for routes in self.routes_by_host.values()
                for prefix in routes
            ),
            default=0,
        )
        object.__setattr__(self, "longest_prefix_length", longest)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """Registry entry of a backend server.

    Attributes
    ----------
    started_ms : int
        Unix time of its start, milliseconds. A restart under the same id
        changes it.
    report : int
        Sequence number of its report. It increases until a restart.
    cold_seconds : float
        Remaining duration of its cold start, counted from its last report.
    """

    upstream_id: str
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool = False
    cold_seconds: float = 0.0
    started_ms: int = 0
    report: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MeshView:
    """Snapshot of the data that the platform published, at one revision.

    Attributes
    ----------
    domains_out : frozenset of str
        Names of the failure domains that are out of service.
    usable_by_service : mapping of str to tuple of Upstream
        For each service, the upstreams that accept new requests.
    """

    configuration: Configuration | None
    upstreams_by_id: typing.Mapping[str, Upstream]
    domains_out: frozenset[str]
    usable_by_service: typing.Mapping[str, tuple]

    def usable_upstreams(self, service):
        """Return the upstreams of a service that accept new requests."""
        return self.usable_by_service.get(service, ())


def make_view(*, configuration, upstreams_by_id, domains_out):
    """Return a view with its usable upstreams grouped by service."""
    usable_by_service = {}
    for upstream in upstreams_by_id.values():
        if (
            not upstream.is_draining
            and upstream.failure_domain not in domains_out
        ):
            usable_by_service.setdefault(upstream.service, []).append(upstream)
    return MeshView(
        configuration=configuration,
        upstreams_by_id=types.MappingProxyType(upstreams_by_id),
        domains_out=frozenset(domains_out),
        usable_by_service={
            service: tuple(upstreams)
            for service, upstreams in usable_by_service.items()
        },
    )


EMPTY_VIEW = make_view(
    configuration=None, upstreams_by_id={}, domains_out=frozenset()
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnHost:
    """The host of this node and the upstream on it.

    Attributes
    ----------
    upstream_port : int
        Port of the upstream, at ``upstream_address``.
    """

    name: str
    address: str
    failure_domain: str
    service: str
    upstream_address: str
    upstream_port: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeaderNames:
    """Names of the headers that callers and upstreams use, in lower case.

    Attributes
    ----------
    request_id : str
        Id of one attempt of a caller. The upstream returns it in its answer.
    deadline : str
        Remaining time until the deadline of the caller, milliseconds.
    signature : str
        Signature of an answer that an upstream produced itself.
    expected_instance : str
        Id of the upstream that the request is for. Any other upstream refuses
        the request.
    not_run : str
        Present in an answer if the upstream did not run the request.
    caller_service : str
        Service of the host that the request comes from.
    instance : str
        Id of the upstream, in answers to health checks.
    cold : str
        Remaining duration of the cold start of the upstream, milliseconds, in
        answers to health checks.
    limit : str
        Requests per second that the upstream takes from all nodes together,
        in all its answers while it has a limit.
    leaving : str
        ``1`` in all answers of an upstream that is shutting down.
    api_key : str
        Key of the customer that sends the request. Upstreams do not get it.
    customer : str
        Name of the customer that holds the key, for upstreams.
    """

    request_id: str
    deadline: str
    signature: str
    expected_instance: str
    not_run: str
    caller_service: str
    instance: str
    cold: str
    limit: str
    leaving: str
    api_key: str
    customer: str
