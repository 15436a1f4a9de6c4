"""Command ``version``."""

import typer

import shallotbridge

_HELP = """Print the version of this program.

\b
Example:
  shallotbridge version
"""


def register(app):
    """Add the command to the application."""
    app.command("version", help=_HELP)(_version)


def _version():
    typer.echo(f"shallotbridge {shallotbridge.__version__}")
