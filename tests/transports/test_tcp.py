"""Tests of byte streams over TCP."""

import pytest

from shallotbridge.transports import tcp


async def test_a_taken_port_is_named(nursery):
    """Guards against a start that fails without saying which port."""
    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, None)
    with pytest.raises(OSError, match=f"127.0.0.1:{port}"):
        await tcp.serve("127.0.0.1", port, None)
    nursery.cancel_scope.cancel()


async def test_a_failing_handler_ends_only_its_connection(nursery):
    """Guards against a fault in one connection that stops the node."""
    handled = []

    async def handle(stream):
        handled.append(await stream.receive_some(1))
        if len(handled) == 1:
            raise ValueError("a fault")

    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, handle)
    for _ in range(2):
        async with await tcp.open_stream("127.0.0.1", port) as stream:
            await stream.send_all(b"x")
            assert await stream.receive_some(1) == b""
    assert handled == [b"x", b"x"]
    nursery.cancel_scope.cancel()
