"""Command ``diff``: compares two configurations."""

import enum
import pathlib
import typing

import typer

from . import exits

_HELP = """Show what changes between two configurations, and for whom.

OLD and NEW are trees or build directories.

\b
Examples:
  shallotbridge diff v1/ mesh/
  shallotbridge diff v1/ v2/ --hosts hosts.json
  shallotbridge diff v1/ mesh/ --format json

\b
Exit codes:
  0  compared, whether or not something changes
  1  a tree or build has problems
  2  wrong usage, or an unreadable host list
"""


class _Format(enum.StrEnum):
    TEXT = "text"
    JSON = "json"


def register(app):
    """Add the command to an application."""
    app.command("diff", help=_HELP)(_diff)


def _diff(
    old: typing.Annotated[
        pathlib.Path,
        typer.Argument(
            metavar="OLD",
            envvar="SHALLOTBRIDGE_BASE",
            help="Tree or build directory.",
        ),
    ],
    new: typing.Annotated[
        pathlib.Path,
        typer.Argument(
            metavar="NEW",
            envvar="SHALLOTBRIDGE_TREE",
            help="Tree or build directory.",
        ),
    ],
    hosts: typing.Annotated[
        typing.Optional[pathlib.Path],
        typer.Option(
            metavar="FILE",
            envvar="SHALLOTBRIDGE_HOSTS",
            help="Host lists as JSON, by failure domain; adds the numbers "
            "of affected hosts.",
        ),
    ] = None,
    output_format: typing.Annotated[
        _Format,
        typer.Option(
            "--format",
            envvar="SHALLOTBRIDGE_FORMAT",
            help="Form of the output.",
        ),
    ] = _Format.TEXT,
):
    from ..core import diff

    with exits.report_errors():
        host_list = None if hosts is None else diff.load_hosts(hosts)
    with exits.report_errors(exits.EXIT_PROBLEMS):
        changes = diff.compare(
            diff.load_configuration(old),
            diff.load_configuration(new),
            hosts=host_list,
        )
    render = diff.to_json if output_format is _Format.JSON else diff.to_text
    typer.echo(render(changes))
