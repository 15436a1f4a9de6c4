"""Command ``version``: prints the version of the program."""

import typer

from .. import __version__

_HELP = """Print the version of this program.

\b
Example:
  shallotbridge version
"""


def register(app):
    """Add the command to an application."""
    app.command("version", help=_HELP)(_version)


def _version():
    typer.echo(f"shallotbridge {__version__}")
