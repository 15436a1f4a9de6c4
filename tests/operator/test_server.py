"""Tests of the operator endpoint."""

import pytest

from shallotbridge.operator import server


@pytest.mark.parametrize(
    ("status", "code"),
    [
        ({"enforcing": True, "node_leaving": False}, 200),
        ({"enforcing": False, "node_leaving": False}, 503),
        ({"enforcing": True, "node_leaving": True}, 503),
    ],
)
async def test_health_is_ok_only_while_the_node_serves(status, code):
    """Guards against a platform that sends callers to a leaving node."""
    application = server.make_application(
        read_status=lambda: status, read_decisions=lambda count: []
    )
    answer = await application.test_client().get("/healthz")
    assert answer.status_code == code


async def test_the_number_of_decisions_is_the_caller_s():
    """Guards against a count that is ignored."""
    application = server.make_application(
        read_status=dict, read_decisions=lambda count: [{"n": count}]
    )
    client = application.test_client()
    answer = await client.get("/decisions?count=7")
    assert await answer.get_json() == [{"n": 7}]
