"""Exit codes of the commands, and how failures are printed."""

import contextlib

import typer

from ..core import errors

OK = 0
PROBLEMS = 1
USAGE = 2
REFUSED = 3

# The first type that matches decides.
_EXIT_CODES_BY_TYPE = {
    errors.TreeError: PROBLEMS,
    errors.BuildError: REFUSED,
    errors.ServiceWithoutDomainError: REFUSED,
    errors.VersionConflictError: REFUSED,
    errors.UnknownFailureDomainError: USAGE,
    errors.UnreadableInputError: USAGE,
    errors.SettingsError: USAGE,
}


def exit_code(error):
    """Return the exit code for a failure.

    Examples
    --------
    >>> exit_code(errors.VersionOrderError())
    3
    """
    for error_type, code in _EXIT_CODES_BY_TYPE.items():
        if isinstance(error, error_type):
            return code
    return PROBLEMS


def print_error(error):
    """Print one line with the code for each problem of a failure."""
    for problem in getattr(error, "problems", ()) or (error.detail,):
        typer.echo(f"{error.code} {problem}", err=True)


@contextlib.contextmanager
def reported(code=None):
    """Turn a failure inside the block into a message and an exit code.

    Parameters
    ----------
    code : int, optional
        The exit code for every failure; that of `exit_code` by default.
    """
    try:
        yield
    except errors.ShallotbridgeError as error:
        print_error(error)
        raise typer.Exit(code or exit_code(error)) from error
