"""Cross-reference checks of a complete configuration."""

import dataclasses

RESERVED_NAMES = frozenset({"mesh"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """A value that is not allowed, and what is allowed instead."""

    part: str
    key: str
    found: str
    allowed: str

    def __str__(self):
        return (
            f"{self.part}: {self.key}: found {self.found}; "
            f"allowed: {self.allowed}"
        )


def find_problems(configuration):
    """Return the problems of a configuration.

    The build rejects a tree with problems, and every node rejects a version
    with problems.

    Parameters
    ----------
    configuration : model.Configuration

    Returns
    -------
    list of Problem
    """
    problems = []
    if not configuration.failure_domains_by_name:
        problems.append(
            Problem(
                part="mesh",
                key="failure_domain",
                found="none",
                allowed="at least one failure domain",
            )
        )
    services_by_name = configuration.services_by_name
    route_names_by_pattern = {}
    for name in sorted(services_by_name):
        service = services_by_name[name]
        problems += _find_limit_problems(service)
        problems += _find_domain_problems(service, configuration)
        for route in service.routes_by_name.values():
            problems += _find_route_problems(route, services_by_name)
            pattern = (route.method, _path_pattern(route.path))
            full_name = f"{route.service}.{route.name}"
            other_route = route_names_by_pattern.setdefault(pattern, full_name)
            if other_route != full_name:
                problems.append(
                    Problem(
                        part=name,
                        key=f"route.{route.name}.path",
                        found=f"{route.method} {route.path}",
                        allowed=f"a path that differs from {other_route}",
                    )
                )
    return problems


def _path_pattern(path):
    """Return a path with blank parameter names.

    Paths that differ only in the names of their parameters match the same
    requests.
    """
    return "/".join(
        "{}" if segment.startswith("{") else segment
        for segment in path.split("/")
    )


def _find_limit_problems(service):
    limits = service.upstream
    if service.name in RESERVED_NAMES:
        yield Problem(
            part=service.name,
            key="service",
            found=service.name,
            allowed="a name that is not reserved",
        )
    if limits.slots < 1:
        yield Problem(
            part=service.name,
            key="upstream.slots",
            found=str(limits.slots),
            allowed="1 or more",
        )
    if not 1 <= limits.cold_slots <= max(1, limits.slots):
        yield Problem(
            part=service.name,
            key="upstream.cold_slots",
            found=str(limits.cold_slots),
            allowed=f"1 to slots ({limits.slots})",
        )
    if limits.connections < limits.slots:
        yield Problem(
            part=service.name,
            key="upstream.connections",
            found=str(limits.connections),
            allowed=f"slots ({limits.slots}) or more",
        )


def _find_domain_problems(service, configuration):
    known_domains = configuration.failure_domains_by_name
    if not service.upstream.failure_domains:
        yield Problem(
            part=service.name,
            key="upstream.failure_domains",
            found="none",
            allowed="at least one failure domain",
        )
    for name in service.upstream.failure_domains:
        if name not in known_domains:
            yield Problem(
                part=service.name,
                key="upstream.failure_domains",
                found=name,
                allowed="one of " + ", ".join(sorted(known_domains)),
            )


def _find_route_problems(route, services_by_name):
    key = f"route.{route.name}"
    if not route.path.startswith("/"):
        yield Problem(
            part=route.service,
            key=f"{key}.path",
            found=repr(route.path),
            allowed="a path that starts with /",
        )
    if route.deadline_seconds <= 0:
        yield Problem(
            part=route.service,
            key=f"{key}.deadline_ms",
            found=str(route.deadline_seconds),
            allowed="more than 0",
        )
    for name in route.depends_on:
        if name not in services_by_name:
            yield Problem(
                part=route.service,
                key=f"{key}.depends_on",
                found=name,
                allowed="a service of this configuration",
            )
