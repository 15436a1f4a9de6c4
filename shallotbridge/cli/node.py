"""Command ``node``: runs a node."""

import inspect
import os
import sys
import typing

import typer

from .._generated import settings as generated_settings
from ..core import errors
from ..core import settings as core_settings

EXIT_SETTINGS = 2

_HELP = """Run the node of this host until it is told to stop.

Each setting is a flag or an environment variable; the flag takes
precedence. The first SIGTERM or SIGINT drains the node within
--drain-timeout; the second one ends it at once.

\b
Example:
  shallotbridge node --host-id c1-showroom-1 --address 127.0.1.1 \\
      --failure-domain cairo-1 --service showroom \\
      --platform-url http://127.0.0.1:7500 --seeds 127.0.1.2,127.0.1.3

\b
Exit codes:
  0  stopped, and no request was cut off
  1  failed; the last log lines say why
  2  a setting is missing or not allowed
  3  stopped, and requests were cut off
  4  a port cannot be bound
"""


def register(app):
    """Add the command to an application."""
    app.command("node", help=_HELP)(_make_node_command())


def _make_node_command():
    def command(**flags):
        raise typer.Exit(run_node(flags=flags, environment=os.environ))

    parameters = []
    for spec in generated_settings.SPECS:
        option = typer.Option(
            core_settings.flag_of(spec.name),
            envvar=core_settings.variable_of(spec.name),
            help=_option_help(spec),
            metavar=spec.type.upper(),
            show_default=False,
        )
        parameters.append(
            inspect.Parameter(
                spec.name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=typing.Annotated[str | None, option],
            )
        )
    command.__signature__ = inspect.Signature(parameters)
    command.__annotations__ = {
        parameter.name: parameter.annotation for parameter in parameters
    }
    return command


def _option_help(spec):
    details = []
    if spec.required:
        details.append("required")
    elif spec.default not in ("", ()):
        details.append(f"default {spec.default}")
    if spec.minimum is not None:
        details.append(f"{spec.minimum} to {spec.maximum} {spec.unit}".strip())
    return f"{spec.help} ({'; '.join(details)})" if details else spec.help


def run_node(*, flags, environment):
    """Run a node and return the exit status.

    Parameters
    ----------
    flags : mapping of str to str or None
        Text of each flag by the name of its setting; None if it is not given.
    environment : mapping of str to str
    """
    try:
        settings = core_settings.load_settings(
            flags=flags, environment=environment
        )
    except errors.SettingsError as error:
        print(f"{error.code}: the settings are not allowed", file=sys.stderr)
        for problem in error.problems:
            print(f"  {problem}", file=sys.stderr)
        return EXIT_SETTINGS
    # Imported here because the node's modules are large and
    # ``shallotbridge --help`` does not need them.
    from ..core import process

    return process.run(settings)
