"""Cross-reference checks of a complete configuration."""

import dataclasses

RESERVED_NAMES = frozenset({"mesh"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Problem:
    """One thing that is wrong, and what is allowed instead."""

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
    """Return the problems that make a configuration unacceptable.

    The build refuses such a tree, and every node refuses such a version.

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
        problems += _limit_problems(service)
        problems += _domain_problems(service, configuration)
        for route in service.routes_by_name.values():
            problems += _route_problems(route, services_by_name)
            pattern = (route.method, _pattern(route.path))
            full_name = f"{route.service}.{route.name}"
            other = route_names_by_pattern.setdefault(pattern, full_name)
            if other != full_name:
                problems.append(
                    Problem(
                        part=name,
                        key=f"route.{route.name}.path",
                        found=f"{route.method} {route.path}",
                        allowed=f"a path that differs from {other}",
                    )
                )
    return problems


def _pattern(path):
    """Replace parameter names, which do not tell routes apart."""
    return "/".join(
        "{}" if segment.startswith("{") else segment
        for segment in path.split("/")
    )


def _limit_problems(service):
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


def _domain_problems(service, configuration):
    known = configuration.failure_domains_by_name
    if not service.upstream.failure_domains:
        yield Problem(
            part=service.name,
            key="upstream.failure_domains",
            found="none",
            allowed="at least one failure domain",
        )
    for name in service.upstream.failure_domains:
        if name not in known:
            yield Problem(
                part=service.name,
                key="upstream.failure_domains",
                found=name,
                allowed="one of " + ", ".join(sorted(known)),
            )


def _route_problems(route, services_by_name):
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
