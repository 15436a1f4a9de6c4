"""Immutable data of routing and admission."""

import dataclasses
import types
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Destination:
    """A service that a route sends a share of its requests to."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """One kind of request.

    Attributes
    ----------
    timeout_seconds : float
        Longest time that a caller is kept waiting.
    objective_seconds : float
        Time within which an answer has its full value.
    maximum_attempts : int
        Upstreams that one request may be sent to.
    priority : int
        0 is the most urgent.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """What holds for each upstream of a service.

    Attributes
    ----------
    cold_seconds : float
        How long an upstream is cold after a start.
    cold_rate : float
        Requests a second that a cold upstream tolerates.
    """

    name: str
    health_path: str
    maximum_connections: int
    cold_seconds: float
    cold_rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClientLimits:
    """Bounds of what a client may send and how long it may take."""

    maximum_head_bytes: int
    maximum_body_bytes: int
    head_seconds: float
    idle_seconds: float


DEFAULT_CLIENT_LIMITS = ClientLimits(
    maximum_head_bytes=16 * 1024,
    maximum_body_bytes=1024 * 1024,
    head_seconds=3.0,
    idle_seconds=15.0,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One accepted configuration.

    Attributes
    ----------
    routes_by_host : mapping
        For each host name a mapping of path prefixes to routes.
    """

    version: int
    routes_by_host: typing.Mapping[str, typing.Mapping[str, Route]]
    services_by_name: typing.Mapping[str, Service]
    limits: ClientLimits


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """One backend server as it registered itself.

    Attributes
    ----------
    started_ms : int
        Unix time of its start, ms; a restart under the same id changes it.
    report : int
        Number of its report, which grows until it starts again.
    cold_seconds : float
        How long it stays cold, counted from its last report.
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
    """All that the platform published, as of one revision.

    Attributes
    ----------
    domains_out : frozenset of str
        Failure domains that are out of service.
    usable_by_service : mapping of str to tuple of Upstream
        The upstreams that may get new work.
    """

    configuration: Configuration | None
    upstreams_by_id: typing.Mapping[str, Upstream]
    domains_out: frozenset[str]
    usable_by_service: typing.Mapping[str, tuple]

    def usable_upstreams(self, service):
        """Return the upstreams of a service that may get new work."""
        return self.usable_by_service.get(service, ())


def make_view(*, configuration, upstreams_by_id, domains_out):
    """Return a view with its upstreams sorted by service."""
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
    """Where this node runs and what its upstream is.

    Attributes
    ----------
    upstream_port : int
        Port of the upstream on the same address.
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
        Id of one attempt of a caller; the upstream echoes it.
    deadline : str
        How long the caller still waits, ms.
    signature : str
        Marks the answers that an upstream made.
    expected_instance : str
        Another upstream than this one refuses the request.
    not_run : str
        Present if the upstream did not run the request.
    caller_service : str
        Service of the host where the request began.
    instance : str
        Id of the upstream, in answers to health checks.
    cold : str
        How long the upstream stays cold, ms, in answers to health checks.
    """

    request_id: str
    deadline: str
    signature: str
    expected_instance: str
    not_run: str
    caller_service: str
    instance: str
    cold: str
