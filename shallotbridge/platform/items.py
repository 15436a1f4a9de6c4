"""Decodes the platform's items into the project's types."""

import functools
import types

import msgspec

from ..core import errors
from . import durations
from ..traffic import model

# Keys of all that operators write.
OPERATOR_PREFIX = "op/"
_CONFIGURATION_KEY = "op/config"
_DOMAIN_OUT_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
# Rank of routes without one; behind all that state theirs.
_LOWEST_PRIORITY = 9
_STATES = ("ready", "draining")
# Rules whose decoded routes are kept; most rules of a configuration are those
# of the one before. The largest configuration of the sites has 2,300.
_CACHED_RULES = 4096


class _Information(msgspec.Struct):
    service: str
    zone: str
    slots: int


class _Status(msgspec.Struct):
    state: str
    sequence: int = 0
    cold_remaining: str = "0ms"


class _Entry(msgspec.Struct):
    # Where the upstream listens, as IP:port.
    address: str
    information: _Information
    status: _Status
    # Unix time of its start, ms.
    born: int = 0


class _Destination(msgspec.Struct):
    service: str
    weight: int


class _Match(msgspec.Struct):
    path_prefix: str


class _Action(msgspec.Struct):
    timeout: str
    max_attempts: int = 1
    service: str | None = None
    traffic_split: list[_Destination] = []


class _Rule(msgspec.Struct):
    name: str
    kind: str
    match: _Match
    action: _Action
    target_latency: str | None = None
    priority: int = _LOWEST_PRIORITY


class _Listener(msgspec.Struct):
    host: str
    rules: list[msgspec.Raw]


class _Cluster(msgspec.Struct):
    name: str
    health_check_path: str
    max_connections: int
    cold_start: str = "0s"
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Configuration(msgspec.Struct):
    version: int
    limits: _Limits
    listeners: list[_Listener]
    clusters: list[_Cluster]


_entry_decoder = msgspec.json.Decoder(_Entry)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_rule_decoder = msgspec.json.Decoder(_Rule)


def decode_item(key, value):
    """Return what an item says.

    Parameters
    ----------
    key : str
    value : bytes

    Returns
    -------
    model.Configuration or model.Upstream or str or None
        A string is the name of a failure domain that is out of service;
        None stands for a key without meaning.

    Raises
    ------
    errors.MalformedEntryError
    """
    if key == _CONFIGURATION_KEY:
        return _decode_configuration(value)
    if key.startswith(UPSTREAM_PREFIX):
        return _decode_upstream(key[len(UPSTREAM_PREFIX) :], value)
    if key.startswith(_DOMAIN_OUT_PREFIX):
        return key[len(_DOMAIN_OUT_PREFIX) :]
    return None


def _decode(decoder, value):
    try:
        return decoder.decode(value)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise errors.MalformedEntryError(str(error)) from error


def _decode_upstream(upstream_id, value):
    entry = _decode(_entry_decoder, value)
    address, port = split_address(entry.address)
    if entry.status.state not in _STATES:
        raise errors.MalformedEntryError(
            f"state {entry.status.state!r}; expected one of {_STATES}"
        )
    if entry.information.slots < 1 or not upstream_id:
        raise errors.MalformedEntryError(
            f"upstream {upstream_id!r} with {entry.information.slots} slots; "
            "expected an id and at least one slot"
        )
    return model.Upstream(
        upstream_id=upstream_id,
        service=entry.information.service,
        address=address,
        port=port,
        failure_domain=entry.information.zone,
        slots=entry.information.slots,
        is_draining=entry.status.state == "draining",
        cold_seconds=durations.parse_duration(entry.status.cold_remaining),
        started_ms=entry.born,
        report=entry.status.sequence,
    )


def split_address(text):
    """Return address and port of ``IP:port``.

    Raises
    ------
    errors.MalformedEntryError

    Examples
    --------
    >>> split_address("10.1.0.38:8145")
    ('10.1.0.38', 8145)
    """
    address, _, port = text.rpartition(":")
    if not address or not port.isdecimal() or not 0 < int(port) < 65536:
        raise errors.MalformedEntryError(f"address {text!r}; expected IP:port")
    return address, int(port)


def _decode_configuration(value):
    decoded = _decode(_configuration_decoder, value)
    services_by_name = {
        cluster.name: _service(cluster) for cluster in decoded.clusters
    }
    routes_by_host = {}
    for listener in decoded.listeners:
        routes = routes_by_host.setdefault(listener.host.lower(), {})
        for rule in listener.rules:
            route = _route(listener.host, bytes(rule))
            _check_services(route, services_by_name)
            if route.path_prefix in routes:
                raise errors.MalformedEntryError(
                    f"host {listener.host!r} has two routes for "
                    f"{route.path_prefix!r}"
                )
            routes[route.path_prefix] = route
    limits = decoded.limits
    if (
        decoded.version < 1
        or min(limits.max_header_bytes, limits.max_body_bytes) < 1
    ):
        raise errors.MalformedEntryError(
            f"version {decoded.version} with limits {limits}; expected "
            "positive numbers"
        )
    return model.Configuration(
        version=decoded.version,
        routes_by_host=types.MappingProxyType(routes_by_host),
        services_by_name=types.MappingProxyType(services_by_name),
        limits=model.ClientLimits(
            maximum_head_bytes=limits.max_header_bytes,
            maximum_body_bytes=limits.max_body_bytes,
            head_seconds=durations.parse_duration(limits.header_timeout),
            idle_seconds=durations.parse_duration(limits.idle_timeout),
        ),
    )


def _service(cluster):
    return model.Service(
        name=cluster.name,
        health_path=cluster.health_check_path,
        maximum_connections=cluster.max_connections,
        cold_seconds=durations.parse_duration(cluster.cold_start),
        cold_rate=cluster.cold_per_s,
    )


@functools.lru_cache(maxsize=_CACHED_RULES)
def _route(host, encoded):
    """Return the route of an encoded rule."""
    rule = _decode(_rule_decoder, encoded)
    action = rule.action
    destinations = tuple(
        model.Destination(service=part.service, weight=part.weight)
        for part in action.traffic_split
        if part.weight > 0
    )
    if action.service is not None:
        destinations = (model.Destination(service=action.service, weight=1),)
    timeout = durations.parse_duration(action.timeout)
    prefix = rule.match.path_prefix
    problem = None
    if not destinations:
        problem = "no service"
    elif not prefix.startswith("/") or not prefix.endswith("/"):
        problem = f"prefix {prefix!r}; expected slashes at both ends"
    elif timeout <= 0 or action.max_attempts < 1:
        problem = (
            f"timeout {action.timeout!r} and {action.max_attempts} attempts; "
            "expected positive ones"
        )
    if problem is not None:
        raise errors.MalformedEntryError(f"route {rule.name!r}: {problem}")
    objective = timeout
    if rule.target_latency is not None:
        objective = durations.parse_duration(rule.target_latency)
    return model.Route(
        name=rule.name,
        host=host.lower(),
        path_prefix=prefix,
        destinations=destinations,
        is_idempotent=rule.kind == "idempotent",
        timeout_seconds=timeout,
        objective_seconds=objective,
        maximum_attempts=action.max_attempts,
        priority=rule.priority,
    )


def _check_services(route, services_by_name):
    for destination in route.destinations:
        if destination.service not in services_by_name:
            raise errors.MalformedEntryError(
                f"route {route.name!r}: service {destination.service!r} is "
                "not defined"
            )
