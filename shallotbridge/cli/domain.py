"""Commands ``domain out``, ``domain in`` and ``domain list``."""

import pathlib
import typing

import typer

from . import exits

_HELP = """Take a failure domain out of service or back, or list them."""
_CHANGE_HELP = """{summary}

Edits mesh.toml of the tree in place, keeps its comments, and says what will
happen. The change is in force once a build of the tree is published.

\b
Examples:
{examples}

\b
Exit codes:
  0  done, or the failure domain is already in that state
  1  the tree has problems
  2  wrong usage, or no such failure domain
  3  refused: a service would keep no failure domain
"""
_LIST_HELP = """List the failure domains, their state and their services.

\b
Example:
  shallotbridge domain list --tree mesh/
"""
_Name = typing.Annotated[
    str,
    typer.Argument(
        metavar="NAME",
        envvar="SHALLOTBRIDGE_DOMAIN",
        help="Failure domain of mesh.toml.",
    ),
]
_Tree = typing.Annotated[
    pathlib.Path,
    typer.Option(
        "--tree",
        metavar="DIR",
        envvar="SHALLOTBRIDGE_TREE",
        help="Directory with mesh.toml.",
    ),
]
_CURRENT_DIRECTORY = pathlib.Path(".")


def register(app):
    """Add the command group to an application."""
    group = typer.Typer(
        help=_HELP, no_args_is_help=True, rich_markup_mode=None
    )
    out_help = _CHANGE_HELP.format(
        summary="Take a failure domain out of service.",
        examples="  shallotbridge domain out cairo-2 --tree mesh/\n"
        "  shallotbridge domain out cairo-2 --tree mesh/ --force",
    )
    in_help = _CHANGE_HELP.format(
        summary="Take a failure domain back into service.",
        examples="  shallotbridge domain in cairo-2 --tree mesh/",
    )
    group.command("out", help=out_help)(_take_out_of_service)
    group.command("in", help=in_help)(_return_to_service)
    group.command("list", help=_LIST_HELP)(_list)
    app.add_typer(group, name="domain")


def _take_out_of_service(
    name: _Name,
    tree: _Tree = _CURRENT_DIRECTORY,
    force: typing.Annotated[
        bool,
        typer.Option(
            "--force",
            envvar="SHALLOTBRIDGE_FORCE",
            help="Accept that a service keeps no failure domain, so that "
            "all its requests are refused.",
        ),
    ] = False,
):
    _change(name, tree, in_service=False, force=force)


def _return_to_service(name: _Name, tree: _Tree = _CURRENT_DIRECTORY):
    _change(name, tree, in_service=True, force=False)


def _change(name, tree, *, in_service, force):
    from ..core import domains

    with exits.report_errors():
        plan = domains.change_domain(
            tree, name, in_service=in_service, force=force
        )
    typer.echo(domains.to_text(plan))
    if not plan.is_unchanged:
        for service in plan.services_without_domain:
            typer.echo(
                f"warning: no failure domain serves {service}; all its "
                "requests will be refused",
                err=True,
            )


def _list(tree: _Tree = _CURRENT_DIRECTORY):
    from ..core import domains
    from ..core import tree as tree_module

    with exits.report_errors():
        states = domains.list_domains(tree_module.load_tree(tree))
    for state in states:
        service_names = ", ".join(state.services) or "none"
        state_name = "in service" if state.in_service else "out of service"
        typer.echo(
            f"{state.name}  {state.region}  {state_name}  "
            f"services: {service_names}"
        )
