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
async def test_health_check_passes_only_while_the_node_serves(status, code):
    """Guards against a platform that routes callers to a leaving node."""
    application = server.make_application(
        read_status=lambda: status, read_decisions=lambda count: []
    )
    response = await application.test_client().get("/healthz")
    assert response.status_code == code


async def test_decisions_honours_the_count_parameter():
    """Guards against a count parameter that is ignored."""
    application = server.make_application(
        read_status=dict, read_decisions=lambda count: [{"n": count}]
    )
    client = application.test_client()
    response = await client.get("/decisions?count=7")
    assert await response.get_json() == [{"n": 7}]
