"""What an owner node makes of the bytes of an upstream in trouble.

The upstream is a function on loopback that writes bytes of the test's choice.
"""

import contextlib
import itertools
import socket
import struct

import pytest
import trio

from shallotbridge.core import errors
from shallotbridge.core import http1
from shallotbridge.traffic import upstream_client
from shallotbridge.transports import tcp

from tests.traffic import builders

ADDRESS = "127.0.18.1"
_ports = itertools.count(18200)


def _answer(request_id, text, *headers):
    """Return the bytes of a whole answer to one request."""
    lines = [
        "HTTP/1.1 200 OK",
        f"x-id: {request_id}",
        "x-signature: s",
        *headers,
        f"content-length: {len(text)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + text.encode()


HEALTHY = (
    b"HTTP/1.1 200 OK\r\nx-own-instance: u1\r\ncontent-length: 2\r\n\r\nok"
)


@contextlib.asynccontextmanager
async def _upstream(serve):
    """Run ``await serve(stream, number, request_id)`` for each request.

    The number counts the requests of all connections.
    """
    port = next(_ports)
    numbers = itertools.count(1)

    async def handle(stream):
        buffer = b""
        while True:
            while b"\r\n\r\n" not in buffer:
                received = await stream.receive_some()
                if not received:
                    return
                buffer += received
            head, _, buffer = buffer.partition(b"\r\n\r\n")
            request_id = ""
            for line in head.decode().split("\r\n"):
                if line.startswith("x-id: "):
                    request_id = line[6:]
            await serve(stream, next(numbers), request_id)

    async with trio.open_nursery() as nursery:
        await nursery.start(tcp.serve, ADDRESS, port, handle)
        client = upstream_client.UpstreamClient(
            open_stream=tcp.open_stream,
            address=ADDRESS,
            port=port,
            names=builders.NAMES,
        )
        with trio.fail_after(10):
            yield client
        client.close()
        nursery.cancel_scope.cancel()


def _request(request_id=None):
    headers = [("host", "shop.example")]
    if request_id is not None:
        headers.append(("x-id", request_id))
    return upstream_client.make_request(
        method="GET", target="/shop/1", headers=headers
    )


async def _ask(client, request_id=None, seconds=2.0):
    return await client.exchange(
        _request(request_id), deadline_at=trio.current_time() + seconds
    )


async def test_a_late_second_copy_reaches_nobody():
    """Guards against the answer of another caller.

    Pattern: an upstream sends an answer once more when the next request is
    under way on the same connection.
    """

    async def serve(stream, number, request_id):
        if number == 2:
            await stream.send_all(_answer("first", "one"))
        await stream.send_all(
            _answer(request_id, "one" if number == 1 else "two")
        )

    async with _upstream(serve) as client:
        assert (await _ask(client, "first")).body == b"one"
        assert (await _ask(client, "second")).body == b"two"
        assert client.connect_count == 1


async def test_a_second_copy_on_an_idle_connection_ends_it():
    """Guards against the answer of another caller on a kept connection."""

    async def serve(stream, number, request_id):
        await stream.send_all(_answer(request_id, request_id))
        if number == 1:
            await stream.send_all(_answer(request_id, request_id))

    async with _upstream(serve) as client:
        assert (await _ask(client, "first")).body == b"first"
        await trio.sleep(0.05)
        assert (await _ask(client, "second")).body == b"second"
        assert client.connect_count == 2


async def test_a_health_check_does_not_take_the_late_copy_of_an_answer():
    """Guards against requests that get the answer of a health check.

    Pattern: a late copy comes where the answer of a health check is
    expected; the connection is then used for a request again.
    """

    async def serve(stream, number, request_id):
        if number == 2:
            await stream.send_all(_answer("first", "one"))
            await stream.send_all(HEALTHY)
        else:
            await stream.send_all(_answer(request_id, request_id))

    async with _upstream(serve) as client:
        await _ask(client, "first")
        health = await _ask(client)
        assert health.header("x-own-instance") == "u1"
        assert (await _ask(client, "second")).body == b"second"


ENDLESS = {
    "head": b"HTTP/1.1 200 OK\r\n" + b"x-more: 0123456789\r\n" * 50,
    "no head": b"\x00\xff" * 500,
    "chunks": (
        b"HTTP/1.1 200 OK\r\nx-id: r\r\ntransfer-encoding: chunked\r\n\r\n"
        + b"400\r\n"
        + b"a" * 1024
        + b"\r\n"
    ),
    "unframed body": b"HTTP/1.1 200 OK\r\nx-id: r\r\n\r\n" + b"a" * 1024,
    "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n",
}
REPEATED = {
    "head": b"x-more: 0123456789\r\n" * 50,
    "no head": b"\x00\xff" * 500,
    "chunks": b"400\r\n" + b"a" * 1024 + b"\r\n",
    "unframed body": b"a" * 1024,
    "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n" * 20,
}


@pytest.mark.parametrize("place", ENDLESS)
async def test_bytes_without_end_are_cut_off(place):
    """Guards against memory and connections that endless bytes take.

    Pattern: an upstream in trouble writes until its caller closes. The
    request fails as one that may have run, the connection is closed at
    once, and the next request is served.
    """
    sent = 0
    is_closed = trio.Event()

    async def serve(stream, number, request_id):
        nonlocal sent
        if number > 1:
            await stream.send_all(_answer(request_id, "well"))
            return
        try:
            await stream.send_all(ENDLESS[place])
            while True:
                await stream.send_all(REPEATED[place])
                sent += len(REPEATED[place])
        except trio.BrokenResourceError:
            is_closed.set()

    async with _upstream(serve) as client:
        with pytest.raises(errors.CallError) as caught:
            await _ask(client, "r", seconds=8.0)
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        with trio.fail_after(1.0):
            await is_closed.wait()
        # What the sockets of both ends buffer comes on top of the bound.
        assert sent <= 2 * http1.MAXIMUM_RESPONSE_BODY_BYTES
        assert (await _ask(client, "next")).body == b"well"


@pytest.mark.parametrize("place", ENDLESS)
async def test_bytes_that_trickle_without_end_stop_at_the_deadline(place):
    """Guards against a slot that an upstream in trouble holds for ever."""
    is_closed = trio.Event()

    async def serve(stream, number, request_id):
        try:
            await stream.send_all(ENDLESS[place][:40])
            while True:
                await trio.sleep(0.05)
                await stream.send_all(b"a")
        except trio.BrokenResourceError:
            is_closed.set()

    async with _upstream(serve) as client:
        with pytest.raises(errors.CallError) as caught:
            await _ask(client, "r", seconds=0.3)
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        with trio.fail_after(1.0):
            await is_closed.wait()


CUT = {
    "sized": b"HTTP/1.1 200 OK\r\nx-id: r\r\ncontent-length: 100\r\n\r\nabc",
    "chunked": (
        b"HTTP/1.1 200 OK\r\nx-id: r\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n"
    ),
    "in the head": b"HTTP/1.1 200 OK\r\nx-id: r\r\ncontent-le",
    "unframed and reset": b"HTTP/1.1 200 OK\r\nx-id: r\r\n\r\nabc",
}


@pytest.mark.parametrize("how", CUT)
async def test_an_answer_that_breaks_off_is_no_answer(how):
    """Guards against half of an answer that looks like a whole one."""

    async def serve(stream, number, request_id):
        await stream.send_all(CUT[how])
        await trio.sleep(0.05)
        if "reset" in how:
            stream._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        stream.close()

    async with _upstream(serve) as client:
        with pytest.raises(errors.CallError) as caught:
            await _ask(client, "r")
        assert caught.value.outcome is errors.Outcome.UNKNOWN
