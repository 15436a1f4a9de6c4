"""Tests of the exception types."""

from shallotbridge.core import errors


def _all_types(base=errors.ShallotbridgeError):
    for subclass in base.__subclasses__():
        yield subclass
        yield from _all_types(subclass)


def test_error_codes_are_unique():
    """Guards against two errors that callers cannot distinguish."""
    types = list(_all_types())
    assert len({each.code for each in types}) == len(types)


def test_only_errors_with_outcome_not_run_are_retry_safe():
    """Guards against running a request twice because of a wrong retry hint."""
    for each in _all_types(errors.CallError):
        if each.outcome is not errors.Outcome.NOT_RUN:
            assert not each.is_retry_safe, each
