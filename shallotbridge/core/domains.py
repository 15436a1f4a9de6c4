"""Taking failure domains out of service and back."""

import dataclasses
import pathlib
import tomllib

import tomlkit
import tomlkit.exceptions

from . import build
from . import errors
from . import tree


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainState:
    """One failure domain and the services with upstreams there."""

    name: str
    region: str
    in_service: bool
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceEffect:
    """What a change of a failure domain means for a service.

    Attributes
    ----------
    remaining : tuple of str
        Failure domains of the service that are in service afterwards.
    share : float
        Part of the service's failure domains that remain, 0 to 1. It is the
        share of its capacity when its upstreams are spread evenly.
    """

    service: str
    remaining: tuple[str, ...]
    share: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainPlan:
    """What happens when a failure domain leaves or returns.

    Attributes
    ----------
    is_unchanged : bool
        The failure domain is already in the wanted state.
    effects : tuple of ServiceEffect
        One for each service with upstreams in the failure domain.
    """

    failure_domain: str
    in_service: bool
    is_unchanged: bool
    effects: tuple[ServiceEffect, ...]

    @property
    def stranded(self):
        """Names of the services that would keep no failure domain."""
        return tuple(
            effect.service for effect in self.effects if not effect.remaining
        )


def list_domains(configuration):
    """Return the state of each failure domain, sorted by name.

    Returns
    -------
    tuple of DomainState
    """
    return tuple(
        DomainState(
            name=name,
            region=domain.region,
            in_service=domain.in_service,
            services=tuple(
                service.name for service in _services_in(configuration, name)
            ),
        )
        for name, domain in sorted(
            configuration.failure_domains_by_name.items()
        )
    )


def _services_in(configuration, failure_domain):
    services_by_name = configuration.services_by_name
    return [
        services_by_name[name]
        for name in sorted(services_by_name)
        if failure_domain in services_by_name[name].upstream.failure_domains
    ]


def plan_change(configuration, failure_domain, *, in_service):
    """Find out what a change of a failure domain means.

    Parameters
    ----------
    configuration : model.Configuration
    failure_domain : str
    in_service : bool
        The wanted state.

    Returns
    -------
    DomainPlan

    Raises
    ------
    errors.UnknownFailureDomainError
        The mesh has no such failure domain.
    """
    known = configuration.failure_domains_by_name
    if failure_domain not in known:
        raise errors.UnknownFailureDomainError(
            f"found {failure_domain!r}; allowed: one of "
            + ", ".join(sorted(known))
        )
    effects = []
    for service in _services_in(configuration, failure_domain):
        domains = service.upstream.failure_domains
        remaining = tuple(
            name
            for name in domains
            if (in_service and name == failure_domain)
            or (name != failure_domain and known[name].in_service)
        )
        effects.append(
            ServiceEffect(
                service=service.name,
                remaining=remaining,
                share=len(remaining) / len(domains),
            )
        )
    return DomainPlan(
        failure_domain=failure_domain,
        in_service=in_service,
        is_unchanged=known[failure_domain].in_service == in_service,
        effects=tuple(effects),
    )


def to_text(plan):
    """Return the plan as lines for a reader."""
    name = plan.failure_domain
    state = "in service" if plan.in_service else "out of service"
    if plan.is_unchanged:
        return f"{name} is already {state}; mesh.toml is not changed"
    lines = [f"{name}: will be {state} once a build of this tree is published"]
    verb = "gains" if plan.in_service else "loses"
    for effect in plan.effects:
        lines.append(
            f"  {effect.service} {verb} its upstreams in {name}; in service: "
            f"{', '.join(effect.remaining) or 'none'} ({effect.share:.0%} of "
            "its failure domains)"
        )
    if not plan.effects:
        lines.append(f"  no service has upstreams in {name}")
    if plan.in_service:
        lines.append("  upstreams there are treated as cold and ramp up")
    else:
        lines.append("  requests in flight there finish; no new work goes in")
    return "\n".join(lines)


def change_domain(directory, failure_domain, *, in_service, force=False):
    """Edit ``mesh.toml`` of a tree in place; comments are kept.

    Parameters
    ----------
    directory : str or os.PathLike
        A valid tree.
    failure_domain : str
    in_service : bool
    force : bool
        Whether services may be left without any failure domain.

    Returns
    -------
    DomainPlan

    Raises
    ------
    errors.TreeError
        The tree has problems.
    errors.UnknownFailureDomainError
        The mesh has no such failure domain.
    errors.ServiceWithoutDomainError
        A service would keep no failure domain, and `force` is not set.
    errors.UnreadableInputError
        The file cannot be written, or not edited without other changes.
    """
    configuration = tree.load_tree(directory)
    plan = plan_change(configuration, failure_domain, in_service=in_service)
    if plan.is_unchanged:
        return plan
    if not in_service and plan.stranded and not force:
        raise errors.ServiceWithoutDomainError(
            f"without {failure_domain}, no failure domain would serve "
            f"{', '.join(plan.stranded)}; take another one back first, or "
            "force it to refuse all their requests"
        )
    # A symbolic link stays one; its target is replaced.
    path = (pathlib.Path(directory) / tree.MESH_FILE).resolve()
    try:
        content = path.read_bytes()
        build.replace_file(
            path, _edit(content.decode(), failure_domain, in_service).encode()
        )
    except OSError as error:
        raise errors.UnreadableInputError(
            f"{path}: {error.strerror}"
        ) from error
    return plan


def _edit(text, failure_domain, in_service):
    wanted = tomllib.loads(text)
    for table in wanted["failure_domain"]:
        if table["name"] == failure_domain:
            table["in_service"] = in_service
    try:
        document = tomlkit.parse(text)
        for table in document["failure_domain"]:
            if table["name"] == failure_domain:
                table["in_service"] = in_service
        edited = tomlkit.dumps(document)
        is_as_wanted = tomllib.loads(edited) == wanted
    except (tomlkit.exceptions.TOMLKitError, ValueError) as error:
        raise errors.UnreadableInputError(
            f"{tree.MESH_FILE}: {error}; edit in_service by hand"
        ) from error
    # The editor and the reader are different libraries; the file is replaced
    # only when they agree on its meaning.
    if not is_as_wanted:
        raise errors.UnreadableInputError(
            f"{tree.MESH_FILE}: an edit would change other values; edit "
            "in_service by hand"
        )
    return edited
