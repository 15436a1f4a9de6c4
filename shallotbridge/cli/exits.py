"""Exit codes of the commands, and the output of errors."""

import contextlib

import typer

from ..core import errors

EXIT_OK = 0
EXIT_PROBLEMS = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3

# The first matching type determines the exit code.
_EXIT_CODES_BY_TYPE = {
    errors.TreeError: EXIT_PROBLEMS,
    errors.BuildError: EXIT_REFUSED,
    errors.ServiceWithoutDomainError: EXIT_REFUSED,
    errors.VersionConflictError: EXIT_REFUSED,
    errors.UnknownFailureDomainError: EXIT_USAGE,
    errors.UnreadableInputError: EXIT_USAGE,
    errors.SettingsError: EXIT_USAGE,
}


def exit_code(error):
    """Return the exit code for an error.

    Examples
    --------
    >>> exit_code(errors.VersionOrderError())
    3
    """
    for error_type, code in _EXIT_CODES_BY_TYPE.items():
        if isinstance(error, error_type):
            return code
    return EXIT_PROBLEMS


def print_error(error):
    """Print a line with the error code for each problem of an error."""
    for problem in getattr(error, "problems", ()) or (error.detail,):
        typer.echo(f"{error.code} {problem}", err=True)


@contextlib.contextmanager
def report_errors(code=None):
    """Print an error that is raised in the block, and exit with its code.

    Parameters
    ----------
    code : int, optional
        Exit code for every error; that of `exit_code` by default.
    """
    try:
        yield
    except errors.ShallotbridgeError as error:
        print_error(error)
        raise typer.Exit(code or exit_code(error)) from error
