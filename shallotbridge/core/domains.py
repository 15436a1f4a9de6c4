"""Takes failure domains out of service and back by editing ``mesh.toml``."""

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
    """A failure domain and the services that have upstreams in it."""

    name: str
    region: str
    in_service: bool
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceEffect:
    """Effect of a failure domain's change on one service.

    Attributes
    ----------
    remaining : tuple of str
        Failure domains of the service that are in service afterwards.
    remaining_ratio : float
        Ratio of the service's failure domains that remain, 0 to 1. It equals
        the ratio of remaining capacity if the upstreams are spread evenly.
    """

    service: str
    remaining: tuple[str, ...]
    remaining_ratio: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainPlan:
    """Effects of taking a failure domain out of service or back.

    Attributes
    ----------
    in_service : bool
        Requested state of the failure domain.
    is_unchanged : bool
        Whether the failure domain is already in the requested state.
    effects : tuple of ServiceEffect
        One for each service with upstreams in the failure domain.
    """

    failure_domain: str
    in_service: bool
    is_unchanged: bool
    effects: tuple[ServiceEffect, ...]

    @property
    def services_without_domain(self):
        """Names of the services that no failure domain would serve."""
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
                service.name for service in _find_services(configuration, name)
            ),
        )
        for name, domain in sorted(
            configuration.failure_domains_by_name.items()
        )
    )


def _find_services(configuration, failure_domain):
    services_by_name = configuration.services_by_name
    return [
        services_by_name[name]
        for name in sorted(services_by_name)
        if failure_domain in services_by_name[name].upstream.failure_domains
    ]


def plan_change(configuration, failure_domain, *, in_service):
    """Compute the effects of a failure domain's change.

    Parameters
    ----------
    configuration : model.Configuration
    failure_domain : str
    in_service : bool
        Requested state of the failure domain.

    Returns
    -------
    DomainPlan

    Raises
    ------
    errors.UnknownFailureDomainError
        The mesh has no such failure domain.
    """
    domains_by_name = configuration.failure_domains_by_name
    if failure_domain not in domains_by_name:
        raise errors.UnknownFailureDomainError(
            f"found {failure_domain!r}; allowed: one of "
            + ", ".join(sorted(domains_by_name))
        )
    effects = []
    for service in _find_services(configuration, failure_domain):
        domain_names = service.upstream.failure_domains
        remaining = tuple(
            name
            for name in domain_names
            if (in_service and name == failure_domain)
            or (name != failure_domain and domains_by_name[name].in_service)
        )
        effects.append(
            ServiceEffect(
                service=service.name,
                remaining=remaining,
                remaining_ratio=len(remaining) / len(domain_names),
            )
        )
    return DomainPlan(
        failure_domain=failure_domain,
        in_service=in_service,
        is_unchanged=domains_by_name[failure_domain].in_service == in_service,
        effects=tuple(effects),
    )


def to_text(plan):
    """Return the plan as text for the operator."""
    name = plan.failure_domain
    state = "in service" if plan.in_service else "out of service"
    if plan.is_unchanged:
        return f"{name} is already {state}; mesh.toml is not changed"
    lines = [f"{name}: will be {state} once a build of this tree is published"]
    verb = "gains" if plan.in_service else "loses"
    for effect in plan.effects:
        lines.append(
            f"  {effect.service} {verb} its upstreams in {name}; in service: "
            f"{', '.join(effect.remaining) or 'none'} "
            f"({effect.remaining_ratio:.0%} of its failure domains)"
        )
    if not plan.effects:
        lines.append(f"  no service has upstreams in {name}")
    if plan.in_service:
        lines.append("  upstreams there are treated as cold and ramp up")
    else:
        lines.append(
            "  requests in flight there finish; no new requests are sent there"
        )
    return "\n".join(lines)


def change_domain(directory, failure_domain, *, in_service, force=False):
    """Edit ``mesh.toml`` of a tree in place, keeping its comments.

    Parameters
    ----------
    directory : str or os.PathLike
        A valid tree.
    failure_domain : str
    in_service : bool
        Requested state of the failure domain.
    force : bool
        Whether services may be left without any failure domain.

    Returns
    -------
    DomainPlan
        If it is unchanged, the file was not written.

    Raises
    ------
    errors.TreeError
        The tree has problems.
    errors.UnknownFailureDomainError
        The mesh has no such failure domain.
    errors.ServiceWithoutDomainError
        No failure domain would serve some service, and `force` is not set.
    errors.UnreadableInputError
        The file cannot be read or written, or cannot be edited without
        changing other values.
    """
    configuration = tree.load_tree(directory)
    plan = plan_change(configuration, failure_domain, in_service=in_service)
    if plan.is_unchanged:
        return plan
    if not in_service and plan.services_without_domain and not force:
        raise errors.ServiceWithoutDomainError(
            f"without {failure_domain}, no failure domain would serve "
            f"{', '.join(plan.services_without_domain)}; take another one "
            "back into service first, or force the change to refuse all "
            "their requests"
        )
    # Resolved, so that the target of a symbolic link is replaced instead of
    # the link.
    path = (pathlib.Path(directory) / tree.MESH_FILE).resolve()
    try:
        content = path.read_bytes()
        build.write_file_atomically(
            path,
            _edit_mesh_file(
                content.decode(), failure_domain, in_service
            ).encode(),
        )
    except OSError as error:
        raise errors.UnreadableInputError(
            f"{path}: {error.strerror}"
        ) from error
    return plan


def _edit_mesh_file(text, failure_domain, in_service):
    expected = tomllib.loads(text)
    for table in expected["failure_domain"]:
        if table["name"] == failure_domain:
            table["in_service"] = in_service
    try:
        document = tomlkit.parse(text)
        for table in document["failure_domain"]:
            if table["name"] == failure_domain:
                table["in_service"] = in_service
        edited = tomlkit.dumps(document)
        is_as_expected = tomllib.loads(edited) == expected
    except (tomlkit.exceptions.TOMLKitError, ValueError) as error:
        raise errors.UnreadableInputError(
            f"{tree.MESH_FILE}: {error}; edit in_service by hand"
        ) from error
    # tomlkit edits the file but tomllib reads it; the file is replaced only
    # if tomllib reads the expected values from the edited text.
    if not is_as_expected:
        raise errors.UnreadableInputError(
            f"{tree.MESH_FILE}: an edit would change other values; edit "
            "in_service by hand"
        )
    return edited
