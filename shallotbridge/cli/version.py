"""Command ``version``."""

import typer

from .. import __version__

_HELP = """Print the version of this program.

\b
Example:
  shallotbridge version
"""


def register(app):
    """Add the command to the application."""
    app.command("version", help=_HELP)(_version)


def _version():
    typer.echo(f"shallotbridge {__version__}")
