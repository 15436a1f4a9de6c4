"""Command ``check``: checks a tree or a build directory."""

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
    """Add the command to an application."""
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

    with exits.report_errors(exits.EXIT_PROBLEMS):
        configuration = diff.load_configuration(directory)
        services = configuration.services_by_name.values()
        routes = sum(len(service.routes_by_name) for service in services)
        description = "tree"
        if configuration.head.version:
            description = f"version {configuration.head.version}"
        typer.echo(
            f"{directory}: {description} of mesh {configuration.mesh_name} "
            "has no problems: "
            f"{len(configuration.failure_domains_by_name)} failure domains, "
            f"{len(services)} services, {routes} routes"
        )
