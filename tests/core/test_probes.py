"""Tests of the probes of the upstream's health and load endpoints."""

import random

import pytest
import trio

from shallotbridge.core import errors
from shallotbridge.core import model
from shallotbridge.core import probes
from tests.core import gates


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"\xff", b'{"state": 3, "instance": {}}', b"[" * 9999]
)
async def test_a_malformed_response_is_ignored(autojump_clock, body):
    """Guards against probes that stop after an invalid response."""

    async def fetch(path):
        return model.Response(status=200, headers=(), body=body)

    assert await probes.read_health(fetch) == (None, None)
    assert await probes.read_load(fetch) is None


async def test_a_failed_probe_counts_only_after_a_failed_request(
    autojump_clock, nursery
):
    """Guards against throttling a warm upstream without a reason.

    Its health endpoint is slow or wrong, but its requests succeed.
    """
    upstream_gate, _ = gates.make_gate(nursery, limits={"ramp_seconds": 1.0})

    async def fetch(path):
        if is_unresponsive:
            raise errors.UpstreamUnreachableError("refused")
        return model.Response(
            status=200, headers=(), body=b'{"state": "leaving"}'
        )

    async def respond(call):
        return gates.make_response()

    async def reset(call):
        raise errors.OutcomeUnknownError("reset")

    is_unresponsive = True
    await trio.sleep(2)
    for _ in range(50):
        await upstream_gate.run(gates.make_call(), respond)
    nursery.start_soon(
        lambda: probes.probe_upstream(
            fetch=fetch, gate=upstream_gate, random=random.Random(1)
        )
    )
    await trio.sleep(5)
    assert upstream_gate.free == 6
    with pytest.raises(errors.OutcomeUnknownError):
        await upstream_gate.run(gates.make_call(), reset)
    await trio.sleep(2)
    assert upstream_gate.free == 1
    is_unresponsive = False
    await trio.sleep(2)
    assert upstream_gate.is_leaving
