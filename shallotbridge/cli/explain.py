"""Command ``explain``: prints the history of a request."""

import sys
import typing

import typer

_HELP = """Print the history of a request from the logs of nodes.

\b
Example:
  shallotbridge explain 9c41d07be2a35f68 node-1.log node-2.log

\b
Exit codes:
  0  lines of the request were found
  1  none were found
  2  a file cannot be read
"""


def register(app):
    """Add the command to an application."""
    app.command("explain", help=_HELP)(_explain)


def _explain(
    request_id: typing.Annotated[
        str,
        typer.Argument(envvar="SHALLOTBRIDGE_REQUEST_ID", help="Its id."),
    ],
    files: typing.Annotated[
        list[str],
        typer.Argument(
            envvar="SHALLOTBRIDGE_LOG_FILES",
            help="Log files of any nodes.",
        ),
    ],
):
    from ..runtime import explain

    lines = []
    for path in files:
        try:
            with open(path, encoding="utf-8", errors="replace") as stream:
                lines.extend(stream)
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            raise typer.Exit(2) from error
    history = explain.explain(request_id, lines)
    for title, entries in (
        ("Shortly before, on the same hosts", history.context),
        (f"Request {request_id}", history.entries),
    ):
        if entries:
            typer.echo(title)
        for entry in entries:
            fields = " ".join(
                f"{name}={value}" for name, value in entry.fields.items()
            )
            typer.echo(
                f"  {entry.at:.3f}  {entry.host}  {entry.action}  {fields}"
            )
    for sentence in history.describe_gaps():
        typer.echo(sentence)
    raise typer.Exit(0 if history.entries else 1)
