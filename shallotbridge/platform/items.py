"""Decodes items of the platform's store into the project's types."""

import functools
import ipaddress
import math
import types

import msgspec

from ..core import errors
from . import durations
from ..traffic import model

# Keys of the items that operators write begin with this.
OPERATOR_PREFIX = "op/"
_CONFIGURATION_KEY = "op/config"
OUT_OF_SERVICE_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"
# Priority of routes that state none; it ranks below every stated priority.
_DEFAULT_PRIORITY = 9
_UPSTREAM_STATES = ("ready", "draining")
# Kinds of routes whose requests may run more than once.
_IDEMPOTENT_KINDS = ("idempotent", "download")
# Bounds of an upstream's entry, which any program may have written. Larger
# values do not fit the messages between nodes, or the arithmetic of a node.
MAXIMUM_NAME_LENGTH = 200
MAXIMUM_SLOTS = 100_000
MAXIMUM_COUNT = 2**53 - 1
_MAXIMUM_PORT_DIGITS = 5
MAXIMUM_KEY_LENGTH = 512
# Larger priorities and quotas of customers are taken for mistakes.
_MAXIMUM_PRIORITY = 1_000_000
_MAXIMUM_QUOTA = 1e9
# Most configurations define the same customers as the one before.
_CUSTOMERS_CACHE_SIZE = 1
# Number of rules whose decoded routes are cached. Most rules are the same in
# the next configuration. The largest configuration of the users' deployments
# has 2,300 rules.
_RULE_CACHE_SIZE = 4096


class _Information(msgspec.Struct):
    service: str
    zone: str
    slots: int


class _Status(msgspec.Struct):
    state: str
    sequence: int = 0
    cold_remaining: str = "0ms"


class _UpstreamEntry(msgspec.Struct):
    # Address on which the upstream listens, as IP:port.
    address: str
    information: _Information
    status: _Status
    # Unix time of the upstream's start, in milliseconds.
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
    priority: int = _DEFAULT_PRIORITY
    public: bool = False


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


class _Customer(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


class _Configuration(msgspec.Struct):
    version: int
    limits: _Limits
    listeners: list[_Listener]
    clusters: list[_Cluster]
    tenants: msgspec.Raw = msgspec.Raw(b"null")


_upstream_entry_decoder = msgspec.json.Decoder(_UpstreamEntry)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_rule_decoder = msgspec.json.Decoder(_Rule)
_customers_decoder = msgspec.json.Decoder(list[_Customer] | None)


def decode_item(key, value):
    """Return the decoded value of an item.

    Parameters
    ----------
    key : str
    value : bytes

    Returns
    -------
    model.Configuration or model.Upstream or str or None
        A string is the name of a failure domain that is out of service.
        None means that the key is not one of this project.

    Raises
    ------
    errors.MalformedEntryError
    """
    if key == _CONFIGURATION_KEY:
        return _decode_configuration(value)
    if key.startswith(UPSTREAM_PREFIX):
        return _decode_upstream(key[len(UPSTREAM_PREFIX) :], value)
    if key.startswith(OUT_OF_SERVICE_PREFIX):
        domain = key[len(OUT_OF_SERVICE_PREFIX) :]
        _check_name("failure domain", domain)
        return domain
    return None


def _decode(decoder, value):
    try:
        return decoder.decode(value)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
        ValueError,
    ) as error:
        raise errors.MalformedEntryError(str(error)) from error


def _decode_upstream(upstream_id, value):
    entry = _decode(_upstream_entry_decoder, value)
    address, port = parse_address(entry.address)
    if entry.status.state not in _UPSTREAM_STATES:
        raise errors.MalformedEntryError(
            f"state {entry.status.state!r}; expected one of {_UPSTREAM_STATES}"
        )
    for field, name in (
        ("id", upstream_id),
        ("service", entry.information.service),
        ("failure domain", entry.information.zone),
    ):
        _check_name(field, name)
    for field, number, lowest, highest in (
        ("slots", entry.information.slots, 1, MAXIMUM_SLOTS),
        ("start", entry.born, 0, MAXIMUM_COUNT),
        ("report", entry.status.sequence, 0, MAXIMUM_COUNT),
    ):
        if not lowest <= number <= highest:
            raise errors.MalformedEntryError(
                f"{field} is out of range; expected {lowest} to {highest}"
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


def _check_name(field, name):
    if not 0 < len(name) <= MAXIMUM_NAME_LENGTH or not name.isprintable():
        raise errors.MalformedEntryError(
            f"{field} {name[:40]!r}; expected 1 to {MAXIMUM_NAME_LENGTH} "
            "printable characters"
        )


def parse_address(text):
    """Parse ``IP:port`` into address and port.

    Raises
    ------
    errors.MalformedEntryError

    Examples
    --------
    >>> parse_address("10.1.0.38:8145")
    ('10.1.0.38', 8145)
    """
    address, _, port = text.rpartition(":")
    if not (
        _is_ip_address(address)
        and port.isascii()
        and port.isdecimal()
        and len(port) <= _MAXIMUM_PORT_DIGITS
        and 0 < int(port) < 65536
    ):
        raise errors.MalformedEntryError(
            f"address {text[:60]!r}; expected IP:port"
        )
    return address, int(port)


def _is_ip_address(text):
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _decode_configuration(value):
    configuration = _decode(_configuration_decoder, value)
    services_by_name = {
        cluster.name: _decode_service(cluster)
        for cluster in configuration.clusters
    }
    routes_by_host = {}
    for listener in configuration.listeners:
        routes = routes_by_host.setdefault(listener.host.lower(), {})
        for rule in listener.rules:
            route = _decode_route(listener.host, bytes(rule))
            _check_services_exist(route, services_by_name)
            if route.path_prefix in routes:
                raise errors.MalformedEntryError(
                    f"host {listener.host!r} has two routes for "
                    f"{route.path_prefix!r}"
                )
            routes[route.path_prefix] = route
    limits = configuration.limits
    if (
        configuration.version < 1
        or min(limits.max_header_bytes, limits.max_body_bytes) < 1
    ):
        raise errors.MalformedEntryError(
            f"version {configuration.version} with limits {limits}; expected "
            "positive numbers"
        )
    return model.Configuration(
        version=configuration.version,
        routes_by_host=types.MappingProxyType(routes_by_host),
        services_by_name=types.MappingProxyType(services_by_name),
        limits=model.ClientLimits(
            maximum_head_bytes=limits.max_header_bytes,
            maximum_body_bytes=limits.max_body_bytes,
            head_timeout_seconds=durations.parse_duration(
                limits.header_timeout
            ),
            idle_timeout_seconds=durations.parse_duration(limits.idle_timeout),
        ),
        customers_by_key=_decode_customers(bytes(configuration.tenants)),
    )


@functools.lru_cache(maxsize=_CUSTOMERS_CACHE_SIZE)
def _decode_customers(encoded_customers):
    """Return the customers by key; None if the configuration has none.

    An error names the position of a customer or key and never the key.
    """
    entries = _decode(_customers_decoder, encoded_customers)
    if not entries:
        return None
    customers_by_key = {}
    names = set()
    for position, entry in enumerate(entries):
        _check_name(f"name of customer {position}", entry.name)
        if not _is_header_value(entry.name):
            raise errors.MalformedEntryError(
                f"name of customer {position}; expected ASCII characters "
                "without spaces at the ends, as it becomes a header"
            )
        if entry.name in names:
            raise errors.MalformedEntryError(
                f"customer {entry.name!r} is defined twice"
            )
        names.add(entry.name)
        customer = _decode_customer(entry)
        for key_position, key in enumerate(entry.api_keys):
            problem = None
            if len(key) > MAXIMUM_KEY_LENGTH or not _is_header_value(key):
                problem = (
                    f"expected 1 to {MAXIMUM_KEY_LENGTH} printable ASCII "
                    "characters without spaces at the ends"
                )
            elif customers_by_key.setdefault(key, customer) is not customer:
                problem = (
                    f"{customers_by_key[key].name!r} has the same; expected "
                    "each key at one customer only"
                )
            if problem is not None:
                raise errors.MalformedEntryError(
                    f"key {key_position} of customer {entry.name!r}: {problem}"
                )
    return types.MappingProxyType(customers_by_key)


def _is_header_value(text):
    return text.isascii() and text.isprintable() and text.strip() == text != ""


def _decode_customer(entry):
    rate, burst = entry.rate_per_s or 0.0, entry.burst or 0.0
    for field, number in (("rate_per_s", rate), ("burst", burst)):
        if not (math.isfinite(number) and 0 <= number <= _MAXIMUM_QUOTA):
            raise errors.MalformedEntryError(
                f"customer {entry.name!r}: {field} is {number}; expected 0 "
                f"to {_MAXIMUM_QUOTA:.0f}"
            )
    if (
        entry.priority is not None
        and not 0 <= entry.priority <= _MAXIMUM_PRIORITY
    ):
        raise errors.MalformedEntryError(
            f"customer {entry.name!r}: priority {entry.priority}; expected 0 "
            f"to {_MAXIMUM_PRIORITY}"
        )
    return model.Customer(
        name=entry.name, priority=entry.priority, rate=rate, burst=burst
    )


def _decode_service(cluster):
    return model.Service(
        name=cluster.name,
        health_path=cluster.health_check_path,
        maximum_connections=cluster.max_connections,
        cold_seconds=durations.parse_duration(cluster.cold_start),
        cold_rate=cluster.cold_per_s,
    )


@functools.lru_cache(maxsize=_RULE_CACHE_SIZE)
def _decode_route(host, encoded_rule):
    """Return the ``model.Route`` of an encoded rule."""
    rule = _decode(_rule_decoder, encoded_rule)
    action = rule.action
    destinations = tuple(
        model.Destination(service=split.service, weight=split.weight)
        for split in action.traffic_split
        if split.weight > 0
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
        is_idempotent=rule.kind in _IDEMPOTENT_KINDS,
        timeout_seconds=timeout,
        objective_seconds=objective,
        maximum_attempts=action.max_attempts,
        priority=rule.priority,
        is_public=rule.public,
    )


def _check_services_exist(route, services_by_name):
    for destination in route.destinations:
        if destination.service not in services_by_name:
            raise errors.MalformedEntryError(
                f"route {route.name!r}: service {destination.service!r} is "
                "not defined"
            )
