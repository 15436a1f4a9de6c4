"""Tests of the messages between nodes of different builds."""

import math

import msgspec
import pytest

from shallotbridge._generated import link
from shallotbridge.peers import frames


class _ByteStream:
    def __init__(self, data):
        self._data = data

    async def receive_some(self, maximum):
        data, self._data = self._data, b""
        return data


async def _decode(fields):
    """Return the message that a peer of another build encoded."""
    content = msgspec.msgpack.encode(fields)
    data = len(content).to_bytes(4, "big") + content
    return await frames.FrameReader(stream=_ByteStream(data)).read()


def _fields(message):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message))


LOAD = link.Load(
    slots=6,
    free=6,
    wait_ms=0.0,
    is_open=True,
    position=1,
    limit=5.0,
    sender_count=3,
    leaving_id="u1",
    leaving_started_ms=5,
)


async def test_a_load_report_of_an_older_build_tells_no_limit():
    """Guards against a rollout that fails at the newest fields.

    The build before the limits ends the message five fields earlier.
    """
    fields = _fields(link.Pong(load=LOAD))
    del fields[1][-5:]
    message = await _decode(fields)
    assert message.load.limit == -1.0
    assert message.load.slowdown == 0.0
    assert message.load.leaving_id == ""


@pytest.mark.parametrize("limit", [5.0, math.inf])
async def test_unknown_fields_of_a_newer_build_are_skipped(limit):
    """Guards against an older node that refuses the frames of a newer one."""
    load = msgspec.structs.replace(LOAD, limit=limit)
    fields = _fields(link.Pong(load=load))
    fields[1].append("of a newer build")
    message = await _decode(fields + [7])
    assert message.load == load
