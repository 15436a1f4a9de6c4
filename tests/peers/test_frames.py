"""Tests of the messages between nodes of different builds."""

import math

import msgspec
import pytest

from shallotbridge._generated import link
from shallotbridge.core import memory_account
from shallotbridge.peers import frames


class _ByteStream:
    def __init__(self, data):
        self._data = data

    async def receive_some(self, maximum):
        data, self._data = self._data[:maximum], self._data[maximum:]
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


def _work(size):
    return link.Work(
        call_id=70_000,
        upstream_id="u1",
        service="shop",
        route="r",
        request_id="a-1",
        method="POST",
        target="/",
        headers=(("host", "a"),),
        body=bytes(size),
        remaining_ms=1.5,
        objective_ms=1.0,
        priority=0,
        is_idempotent=True,
        expected_ms=2.0,
        sent_at=3.0,
        sender="10.0.0.1",
    )


@pytest.mark.parametrize("size", [10, 1_000_000])
async def test_a_body_that_is_not_copied_has_the_same_frame(size):
    """Guards against large bodies that older builds can't read."""
    work = _work(size)
    data = b"".join(frames.encode_parts(work))
    assert _fields(work) == msgspec.msgpack.decode(data[4:])
    assert int.from_bytes(data[:4], "big") == len(data) - 4
    message = await frames.FrameReader(stream=_ByteStream(data)).read()
    assert message == work and type(message) is link.Work


async def test_a_body_without_memory_is_skipped_and_the_next_message_read():
    """Guards against an owner node that ends under bodies of other nodes."""
    account = memory_account.MemoryAccount(limit_bytes=1_000_000)
    data = b"".join(frames.encode_parts(_work(2_000_000)))
    data += frames.encode_frame(link.Cancel(call_id=7))
    reader = frames.FrameReader(
        stream=_ByteStream(data), holder=memory_account.Holder(account=account)
    )
    skipped = await reader.read()
    assert (skipped.message_type, skipped.call_id) == (link.Work, 70_000)
    assert await reader.read() == link.Cancel(call_id=7)
    assert account.peak_bytes <= 1_000_000 and account.held_bytes == 0
