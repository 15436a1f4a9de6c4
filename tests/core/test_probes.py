"""Tests of the hints of the upstream's endpoints."""

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
async def test_a_malformed_answer_is_no_answer(autojump_clock, body):
    """Guards against a probe that ends because of a lying endpoint."""

    async def fetch(path):
        return model.Response(status=200, headers=(), body=body)

    assert await probes.read_health(fetch) == (None, None)
    assert await probes.read_load(fetch) is None


async def test_silence_counts_only_with_own_evidence(autojump_clock, nursery):
    """Guards against a warm upstream that is throttled because its health
    endpoint is slow or wrong.
    """
    tested, _ = gates.make_gate(nursery, limits={"ramp_seconds": 1.0})

    async def fetch(path):
        if silent:
            raise errors.UpstreamUnreachableError("refused")
        return model.Response(
            status=200, headers=(), body=b'{"state": "leaving"}'
        )

    async def answer(call):
        return gates.make_response()

    async def reset(call):
        raise errors.OutcomeUnknownError("reset")

    silent = True
    await trio.sleep(2)
    for _ in range(50):
        await tested.run(gates.make_call(), answer)
    nursery.start_soon(
        lambda: probes.probe_upstream(
            fetch=fetch, gate=tested, random=random.Random(1)
        )
    )
    await trio.sleep(5)
    assert tested.free == 6
    with pytest.raises(errors.OutcomeUnknownError):
        await tested.run(gates.make_call(), reset)
    await trio.sleep(2)
    assert tested.free == 1
    silent = False
    await trio.sleep(2)
    assert tested.is_leaving
