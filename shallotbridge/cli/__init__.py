"""Command line of shallotbridge."""

import importlib

import typer

# Modules of this package with a function ``register(app)``, in the order of
# the help page. They import what a command needs only when it runs.
COMMAND_MODULES = (
    "build",
    "check",
    "diff",
    "domain",
    "explain",
    "node",
    "status",
    "version",
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
    """Return the application with the commands of all modules."""
    app = typer.Typer(
        name="shallotbridge",
        help=_HELP,
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )

    # With a callback, the commands keep their names even if there is one.
    @app.callback()
    def _application():
        pass

    for name in COMMAND_MODULES:
        importlib.import_module(f".{name}", __name__).register(app)
    return app


app = make_app()


def main():
    """Run the command of ``sys.argv`` and end the process."""
    app()
