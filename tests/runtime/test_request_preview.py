"""Tests of the preview of a request at complete nodes."""

import json
import urllib.parse

import pytest
import typer.testing

from shallotbridge import cli
from shallotbridge.cli import where
from shallotbridge.core import model as messages
from shallotbridge.runtime import request_preview

from tests.runtime import test_quotas


async def _preview(node, path, key):
    query = urllib.parse.urlencode({"host": "Shop.example", "path": path})
    response = await node._answer_metrics(
        messages.Request(
            method="GET",
            target=f"{request_preview.PATH}?{query}",
            headers=(
                messages.Header(name=request_preview.KEY_HEADER, value=key),
            ),
            body=b"",
        )
    )
    assert test_quotas.KEY.encode() not in response.body
    return json.loads(response.body)


@pytest.mark.parametrize(
    ("path", "key", "code"),
    [
        ("/hold/1", test_quotas.KEY, None),
        ("/hold/1", "unknown", "SB-3024"),
        ("/none/1", test_quotas.KEY, "SB-3001"),
    ],
)
async def test_a_preview_tells_what_a_request_would_meet(path, key, code):
    """Guards against a preview that differs from the routing, or sends."""
    async with test_quotas._start_mesh(2) as mesh:
        preview = await _preview(mesh.nodes[0], path, key)
        assert not any(
            request.target != "/health"
            for upstream in mesh.upstreams
            for request in upstream.requests
        )
        sent = await mesh.send_request(
            1, "r1", headers=(("x-api-key", key),), path=path, method="POST"
        )
        assert preview["version"] == 8
        if code is not None:
            assert preview["refused_by"]["code"] == code
            assert code.encode() in sent.body
            return
        assert preview["refused_by"] is None
        assert preview["customer"] == "acme"
        assert preview["quota"]["rate"] == test_quotas.RATE
        [destination] = preview["destinations"]
        costs = [each["cost_ms"] for each in destination["upstreams"]]
        assert len(costs) == 2 and costs == sorted(costs)
        assert "cost" in where.format_preview(preview)
        assert sent.status == 200
        assert mesh.run_count("r1") == 1


def test_a_node_that_does_not_answer_has_an_exit_code_of_its_own():
    """Guards against scripts that take no answer for a refusal."""
    done = typer.testing.CliRunner().invoke(
        cli.app, ["where", "127.0.19.250:9", "shop.example", "/browse/1"]
    )
    assert done.exit_code == where.EXIT_UNREACHABLE
