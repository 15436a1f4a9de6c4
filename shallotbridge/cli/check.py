"""Command ``check``."""

import pathlib
import typing

import typer

from . import exits

_HELP = """Check a tree or a build directory and report all problems.

A directory with configuration/head is checked as a build: digests, sizes,
version and references.

\b
Examples:
  shallotbridge check mesh/
  shallotbridge check v2/

\b
Exit codes:
  0  no problems
  1  problems; each is printed on one line
  2  wrong usage
"""


def register(app):
    """Add the command to the application."""
    app.command("check", help=_HELP)(_check)


def _check(
    directory: typing.Annotated[
        pathlib.Path,
        typer.Argument(
            metavar="DIR",
            envvar="SHALLOTBRIDGE_TREE",
            help="Tree or build directory.",
        ),
    ],
):
    from ..core import diff

    with exits.reported(exits.PROBLEMS):
        configuration = diff.load_configuration(directory)
        services = configuration.services_by_name.values()
        routes = sum(len(service.routes_by_name) for service in services)
        what = "tree"
        if configuration.head.version:
            what = f"version {configuration.head.version}"
        typer.echo(
            f"{directory}: {what} of mesh {configuration.mesh_name} has no "
            f"problems: {len(configuration.failure_domains_by_name)} failure "
            f"domains, {len(services)} services, {routes} routes"
        )
