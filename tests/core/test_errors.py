"""Tests of the failure types."""

from shallotbridge.core import errors


def _all_types(base=errors.ShallotbridgeError):
    for subclass in base.__subclasses__():
        yield subclass
        yield from _all_types(subclass)


def test_each_failure_has_its_own_code():
    """Guards against two failures that callers cannot tell apart."""
    types = list(_all_types())
    assert len({each.code for each in types}) == len(types)


def test_only_not_run_failures_are_safe_to_retry():
    """Guards against an answer that invites a second run."""
    for each in _all_types(errors.CallError):
        if each.outcome is not errors.Outcome.NOT_RUN:
            assert not each.is_retry_safe, each
