"""Command-line interface of shallotbridge."""

import importlib

import typer

# Modules of this package, each with a function ``register(app)``, in the order
# of the help page. They import a command's dependencies only when it runs.
COMMAND_MODULES = (
    "build",
    "check",
    "diff",
    "domain",
    "explain",
    "node",
    "status",
    "version",
    "where",
)

_HELP = """Distribute and enforce the configuration of a service mesh.

\b
An operator's usual session:
  shallotbridge check mesh/
  shallotbridge diff current/ mesh/
  shallotbridge build mesh/ --base current/ --output next/

\b
Exit codes:
  0  done
  1  a check found problems
  2  wrong usage
  3  a build or change is refused
"""


def make_app():
    """Return the Typer application with all commands."""
    app = typer.Typer(
        name="shallotbridge",
        help=_HELP,
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )

    # Without a callback, Typer drops the command name of a single command.
    @app.callback()
    def _callback():
        pass

    for name in COMMAND_MODULES:
        importlib.import_module(f".{name}", __name__).register(app)
    return app


app = make_app()


def main():
    """Run the command in ``sys.argv`` and exit the process."""
    app()
