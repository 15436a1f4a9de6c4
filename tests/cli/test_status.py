"""Tests of the ``status`` command."""

import pytest

from shallotbridge.cli import status


def _node_status(**changes):
    result = {
        "host_id": "c1-showroom-1",
        "failure_domain": "cairo-1",
        "version": 2,
        "digest": "ab" * 32,
        "enforcing": True,
        "conflict": False,
        "leaving": False,
        "slots": 6,
        "limit": 3,
        "in_use": 1,
        "queued": 0,
        "hosts_known": 6,
    }
    return result | changes


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, status.EXIT_ENFORCING),
        ({"version": 3}, status.EXIT_DIFFERING),
        ({"digest": "cd" * 32}, status.EXIT_DIFFERING),
        ({"conflict": True}, status.EXIT_DIFFERING),
        ({"enforcing": False}, status.EXIT_NOT_ENFORCING),
        ({"error": "refused"}, status.EXIT_UNREACHABLE),
    ],
)
def test_exit_status_shows_whether_the_fleet_has_converged(changes, expected):
    """Guards against a script that mistakes a split fleet for converged."""
    statuses = {
        "127.0.1.1": _node_status(),
        "127.0.1.2": _node_status(**changes),
    }
    assert status.exit_status(statuses) == expected
    assert "127.0.1.2" in status.format_table(statuses)
