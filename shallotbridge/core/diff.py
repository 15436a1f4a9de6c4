"""Differences between two configurations and the hosts that they affect."""

import dataclasses
import json
import pathlib

from . import build
from . import errors
from . import model

_HOST_LIST_FORMAT = (
    'a JSON object {"<failure domain>": {"revision": n, "hosts": '
    '[{"host_id", "address", "service", "state"}]}}'
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FieldChange:
    """A field whose value differs."""

    field: str
    old: object
    new: object


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteChange:
    """A route that is in both configurations and differs."""

    route: str
    fields: tuple[FieldChange, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceChange:
    """A service that is added, removed or changed.

    Attributes
    ----------
    kind : str
        ``added``, ``removed`` or ``changed``.
    called_by : tuple of str
        Services with a route that depends on this one, in the old or the new
        configuration.
    hosts, caller_hosts : int or None
        Numbers of upstream hosts of the service and of the services in
        `called_by`; None without a host list.
    """

    service: str
    kind: str
    fields: tuple[FieldChange, ...] = ()
    routes_added: tuple[str, ...] = ()
    routes_removed: tuple[str, ...] = ()
    routes_changed: tuple[RouteChange, ...] = ()
    called_by: tuple[str, ...] = ()
    hosts: int | None = None
    caller_hosts: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainChange:
    """A failure domain that is added, removed or changed.

    Attributes
    ----------
    kind : str
        ``added``, ``removed``, ``in`` (returned to service), ``out`` (taken
        out of service) or ``changed`` (moved to another region).
    services : tuple of str
        Services with upstreams in the failure domain, in the old or the new
        configuration.
    hosts : int or None
        Number of hosts in the failure domain; None without a host list.
    """

    failure_domain: str
    kind: str
    fields: tuple[FieldChange, ...] = ()
    services: tuple[str, ...] = ()
    hosts: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationDiff:
    """All differences between two configurations.

    Attributes
    ----------
    hosts_affected : int or None
        Number of upstream hosts of changed services, of services that call
        them, and in changed failure domains. Each host is counted once. None
        without a host list.
    """

    fields: tuple[FieldChange, ...]
    domains: tuple[DomainChange, ...]
    services: tuple[ServiceChange, ...]
    hosts_affected: int | None = None

    @property
    def is_empty(self):
        """Whether the configurations are equal but for the version."""
        return not (self.fields or self.domains or self.services)


def compare(old, new, *, hosts=None):
    """Return the differences between two configurations but for the version.

    Parameters
    ----------
    old, new : model.Configuration
    hosts : iterable of model.Host, optional
        Hosts to count; without them the diff has no host numbers.

    Returns
    -------
    ConfigurationDiff
        Sorted by name.
    """
    hosts = None if hosts is None else tuple(hosts)
    domains = tuple(_compare_domains(old, new, hosts))
    services = tuple(_compare_services(old, new, hosts))
    fields = ()
    if old.mesh_name != new.mesh_name:
        fields = (
            FieldChange(field="name", old=old.mesh_name, new=new.mesh_name),
        )
    return ConfigurationDiff(
        fields=fields,
        domains=domains,
        services=services,
        hosts_affected=_count_affected_hosts(hosts, domains, services),
    )


def _count_affected_hosts(hosts, domains, services):
    if hosts is None:
        return None
    changed_domains = {change.failure_domain for change in domains}
    affected_services = {change.service for change in services}
    for change in services:
        affected_services.update(change.called_by)
    return sum(
        host.failure_domain in changed_domains
        or host.service in affected_services
        for host in hosts
    )


def _compare_domains(old, new, hosts):
    old_domains = old.failure_domains_by_name
    new_domains = new.failure_domains_by_name
    for name in sorted({*old_domains, *new_domains}):
        before, after = old_domains.get(name), new_domains.get(name)
        if before == after:
            continue
        fields = ()
        if before is None:
            kind = "added"
        elif after is None:
            kind = "removed"
        else:
            fields = _compare_fields(before, after)
            kind = "changed"
            if before.in_service != after.in_service:
                kind = "in" if after.in_service else "out"
        services = {
            service.name
            for configuration in (old, new)
            for service in configuration.services_by_name.values()
            if name in service.upstream.failure_domains
        }
        yield DomainChange(
            failure_domain=name,
            kind=kind,
            fields=fields,
            services=tuple(sorted(services)),
            hosts=_count_hosts(hosts, "failure_domain", {name}),
        )


def _compare_services(old, new, hosts):
    old_services, new_services = old.services_by_name, new.services_by_name
    for name in sorted({*old_services, *new_services}):
        before, after = old_services.get(name), new_services.get(name)
        if before == after:
            continue
        called_by = {
            route.service
            for configuration in (old, new)
            for service in configuration.services_by_name.values()
            for route in service.routes_by_name.values()
            if name in route.depends_on
        }
        yield ServiceChange(
            service=name,
            called_by=tuple(sorted(called_by)),
            hosts=_count_hosts(hosts, "service", {name}),
            caller_hosts=_count_hosts(hosts, "service", called_by),
            **_compare_service(before, after),
        )


def _compare_service(before, after):
    old_routes = before.routes_by_name if before else {}
    new_routes = after.routes_by_name if after else {}
    changes = {
        "routes_added": tuple(sorted(new_routes.keys() - old_routes.keys())),
        "routes_removed": tuple(sorted(old_routes.keys() - new_routes.keys())),
    }
    if before is None:
        return changes | {"kind": "added"}
    if after is None:
        return changes | {"kind": "removed"}
    routes_changed = tuple(
        RouteChange(
            route=name,
            fields=_compare_fields(old_routes[name], new_routes[name]),
        )
        for name in sorted(old_routes.keys() & new_routes.keys())
        if old_routes[name] != new_routes[name]
    )
    return changes | {
        "kind": "changed",
        "fields": _compare_fields(before.upstream, after.upstream),
        "routes_changed": routes_changed,
    }


def _compare_fields(before, after):
    return tuple(
        FieldChange(
            field=field.name,
            old=getattr(before, field.name),
            new=getattr(after, field.name),
        )
        for field in dataclasses.fields(before)
        if getattr(before, field.name) != getattr(after, field.name)
    )


def _count_hosts(hosts, attribute, names):
    if hosts is None:
        return None
    return sum(getattr(host, attribute) in names for host in hosts)


def to_json(difference):
    """Format a diff as JSON with sorted keys."""
    document = dataclasses.asdict(difference)
    return json.dumps(document, indent=2, sort_keys=True)


def to_text(difference):
    """Format a diff as human-readable lines.

    Examples
    --------
    >>> change = DomainChange(
    ...     failure_domain="cairo-2", kind="out", services=("showroom",)
    ... )
    >>> print(to_text(ConfigurationDiff(
    ...     fields=(), domains=(change,), services=()
    ... )))
    failure domain cairo-2: taken out of service; services: showroom
    """
    if difference.is_empty:
        return "nothing changes"
    lines = [f"mesh: {_format_field(field)}" for field in difference.fields]
    for change in difference.domains:
        lines += _format_domain(change)
    for change in difference.services:
        lines += _format_service(change)
    if difference.hosts_affected is not None:
        lines.append(f"upstream hosts affected: {difference.hosts_affected}")
    return "\n".join(lines)


def _format_domain(change):
    kinds = {"in": "back in service", "out": "taken out of service"}
    line = f"failure domain {change.failure_domain}: "
    line += kinds.get(change.kind, change.kind)
    line += "; services: " + (", ".join(change.services) or "none")
    if change.hosts is not None:
        line += f"; hosts: {change.hosts}"
    yield line
    for field in change.fields:
        if field.field != "in_service":
            yield f"  {_format_field(field)}"


def _format_service(change):
    line = f"service {change.service}: {change.kind}"
    if change.called_by:
        line += "; called by: " + ", ".join(change.called_by)
    if change.hosts is not None:
        line += f"; hosts: {change.hosts}"
        line += f"; hosts of its callers: {change.caller_hosts}"
    yield line
    for field in change.fields:
        yield f"  upstream.{_format_field(field)}"
    for name in change.routes_added:
        yield f"  route {name}: added"
    for name in change.routes_removed:
        yield f"  route {name}: removed"
    for route in change.routes_changed:
        yield f"  route {route.route}: changed"
        for field in route.fields:
            yield f"    {_format_field(field)}"


def _format_field(change):
    return (
        f"{change.field}: {_format_value(change.old)} -> "
        f"{_format_value(change.new)}"
    )


def _format_value(value):
    if isinstance(value, tuple):
        return "[" + ", ".join(value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def load_configuration(directory):
    """Load a configuration from a tree or from a build directory.

    Returns
    -------
    model.Configuration

    Raises
    ------
    errors.ShallotbridgeError
        As raised by `tree.load_tree` or `build.read_build`.
    """
    if build.is_build_directory(directory):
        return build.read_build(directory).configuration
    # Imported lazily, so that comparing builds does not require jsonschema.
    from . import tree

    return tree.load_tree(directory)


def load_hosts(path):
    """Load a host list.

    Parameters
    ----------
    path : str or os.PathLike
        JSON file with the platform's values ``hosts/<domain>`` by failure
        domain.

    Returns
    -------
    tuple of model.Host

    Raises
    ------
    errors.UnreadableInputError
        The file cannot be read.
    errors.MalformedHostListError
        The file does not have the format of a host list.
    """
    try:
        document = json.loads(pathlib.Path(path).read_bytes())
        return tuple(
            model.Host(
                host_id=entry["host_id"],
                address=entry["address"],
                service=entry["service"],
                failure_domain=domain,
                is_leaving=entry["state"] == "leaving",
            )
            for domain, host_list in document.items()
            for entry in host_list["hosts"]
        )
    except OSError as error:
        raise errors.UnreadableInputError(
            f"{path}: {error.strerror}"
        ) from error
    except (ValueError, RecursionError) as error:
        raise errors.MalformedHostListError(
            f"{path}: {error}; allowed: {_HOST_LIST_FORMAT}"
        ) from error
    except (AttributeError, KeyError, TypeError) as error:
        raise errors.MalformedHostListError(
            f"{path}: found another shape ({error!r}); allowed: "
            f"{_HOST_LIST_FORMAT}"
        ) from error
