"""Tests of the upstream client with malformed and late responses.

The upstream is a server on loopback that sends bytes given by the test.
"""

import contextlib
import itertools
import socket
import struct
import tracemalloc

import pytest
import trio

from shallotbridge.core import byte_budget
from shallotbridge.core import errors
from shallotbridge.core import http1
from shallotbridge.core import memory_account
from shallotbridge.runtime import node
from shallotbridge.traffic import upstream_client
from shallotbridge.transports import tcp

from tests.traffic import builders

ADDRESS = "127.0.18.1"
_ports = itertools.count(18200)


def _response(request_id, text, *headers):
    """Return the bytes of a complete response to one request."""
    lines = [
        "HTTP/1.1 200 OK",
        f"x-id: {request_id}",
        "x-signature: s",
        *headers,
        f"content-length: {len(text)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + text.encode()


HEALTH_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nx-own-instance: u1\r\ncontent-length: 2\r\n\r\nok"
)


@contextlib.asynccontextmanager
async def _upstream(serve, budget=None, account=None):
    """Start an upstream and return a client for it.

    The upstream runs ``await serve(stream, number, request_id)`` for each
    request; ``number`` counts the requests over all connections, from 1.
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
            header_names=builders.NAMES,
            budget=budget,
            account=account,
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


async def _send_request(client, request_id=None, seconds=2.0):
    return await client.exchange(
        _request(request_id), deadline_at=trio.current_time() + seconds
    )


async def test_a_late_duplicate_response_is_skipped():
    """Guards against returning the response to another caller's request.

    Pattern: an upstream sends a response again while the next request is in
    flight on the same connection.
    """

    async def serve(stream, number, request_id):
        if number == 2:
            await stream.send_all(_response("first", "one"))
        await stream.send_all(
            _response(request_id, "one" if number == 1 else "two")
        )

    async with _upstream(serve) as client:
        assert (await _send_request(client, "first")).body == b"one"
        assert (await _send_request(client, "second")).body == b"two"
        assert client.connect_count == 1


async def test_a_duplicate_response_on_an_idle_connection_closes_it():
    """Guards against another caller's response on a reused connection."""

    async def serve(stream, number, request_id):
        await stream.send_all(_response(request_id, request_id))
        if number == 1:
            await stream.send_all(_response(request_id, request_id))

    async with _upstream(serve) as client:
        assert (await _send_request(client, "first")).body == b"first"
        await trio.sleep(0.05)
        assert (await _send_request(client, "second")).body == b"second"
        assert client.connect_count == 2


async def test_a_health_check_skips_a_late_duplicate_response():
    """Guards against returning a health check's response to a request.

    Pattern: a late duplicate arrives before the response to a health check;
    the connection is then reused for a request.
    """

    async def serve(stream, number, request_id):
        if number == 2:
            await stream.send_all(_response("first", "one"))
            await stream.send_all(HEALTH_RESPONSE)
        else:
            await stream.send_all(_response(request_id, request_id))

    async with _upstream(serve) as client:
        await _send_request(client, "first")
        health = await _send_request(client)
        assert health.header("x-own-instance") == "u1"
        assert (await _send_request(client, "second")).body == b"second"


ENDLESS_RESPONSES = {
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
REPEATED_BYTES = {
    "head": b"x-more: 0123456789\r\n" * 50,
    "no head": b"\x00\xff" * 500,
    "chunks": b"400\r\n" + b"a" * 1024 + b"\r\n",
    "unframed body": b"a" * 1024,
    "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n" * 20,
}


@pytest.mark.parametrize("case", ENDLESS_RESPONSES)
async def test_an_endless_response_is_cut_off(case):
    """Guards against unbounded memory use and connections kept busy.

    Pattern: a faulty upstream sends until the client closes. The outcome of
    the request is unknown, the connection is closed at once, and the next
    request is served.
    """
    sent = 0
    is_closed = trio.Event()

    async def serve(stream, number, request_id):
        nonlocal sent
        if number > 1:
            await stream.send_all(_response(request_id, "well"))
            return
        try:
            await stream.send_all(ENDLESS_RESPONSES[case])
            while True:
                await stream.send_all(REPEATED_BYTES[case])
                sent += len(REPEATED_BYTES[case])
        except trio.BrokenResourceError:
            is_closed.set()

    async with _upstream(serve) as client:
        with pytest.raises(errors.CallError) as caught:
            await _send_request(client, "r", seconds=8.0)
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        with trio.fail_after(1.0):
            await is_closed.wait()
        # The socket buffers at both ends add to the limit.
        assert sent <= 2 * http1.MAXIMUM_RESPONSE_BODY_BYTES
        assert (await _send_request(client, "next")).body == b"well"


async def test_an_endless_health_check_is_cut_off():
    """Guards against memory that health checks of a faulty upstream take."""
    budget = byte_budget.ByteBudget(limit_bytes=1_000_000)

    async def serve(stream, number, request_id):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                await stream.send_all(b"a" * 65536)

    async with _upstream(serve, budget) as client:
        with pytest.raises(errors.AnswerMemoryError):
            await _send_request(client, seconds=5.0)
        assert budget.held_bytes == 0


SMALLEST_HOST_BYTES = 200_000_000
# Size of a node without requests, and of all else that it holds.
OTHER_MEMORY_BYTES = 100_000_000


@pytest.mark.parametrize("case", ["chunks", "unframed body"])
async def test_many_endless_responses_share_their_memory(case):
    """Guards against a process that ends for lack of memory (LOST).

    Pattern: a faulty upstream sends endless bodies to all its slots at the
    same time, each below the limit of a single response.
    """
    slots = 36
    budget = byte_budget.ByteBudget(
        limit_bytes=int(SMALLEST_HOST_BYTES * node.ANSWER_MEMORY_RATIO)
    )
    is_well = False
    # As large as the responses of the users' largest route.
    well = "w" * 90_000
    block = REPEATED_BYTES[case] * 64

    async def serve(stream, number, request_id):
        if is_well:
            await stream.send_all(_response(request_id, well))
            return
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(
                ENDLESS_RESPONSES[case].replace(
                    b"x-id: r", b"x-id: " + request_id.encode()
                )
            )
            while True:
                await stream.send_all(block)
                await trio.sleep(0.02)

    # Large responses are held in memory that `tracemalloc` does not see.
    account = memory_account.MemoryAccount()
    async with _upstream(serve, budget, account) as client:

        async def send(number):
            with pytest.raises(errors.CallError) as caught:
                await _send_request(client, f"r{number}", seconds=10.0)
            assert caught.value.outcome is errors.Outcome.UNKNOWN

        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:
                for number in range(slots):
                    nursery.start_soon(send, number)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        peak_bytes += account.peak_bytes
        assert peak_bytes < SMALLEST_HOST_BYTES - OTHER_MEMORY_BYTES
        assert budget.refused_count
        assert budget.held_bytes == 0
        is_well = True
        assert len((await _send_request(client, "next")).body) == len(well)


async def test_a_sound_response_finds_memory_beside_endless_ones():
    """Guards against sound answers that fail because of faulty ones."""
    budget = byte_budget.ByteBudget(limit_bytes=4_000_000)
    well = "w" * 200_000

    async def serve(stream, number, request_id):
        if request_id.startswith("well"):
            await stream.send_all(_response(request_id, well))
            return
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(
                f"HTTP/1.1 200 OK\r\nx-id: {request_id}\r\n\r\n".encode()
            )
            while True:
                await stream.send_all(b"a" * 65536)
                await trio.sleep(0.005)

    async with _upstream(serve, budget) as client:

        async def send_until_cancelled(number):
            while True:
                with contextlib.suppress(errors.CallError):
                    await _send_request(client, f"r{number}", seconds=5.0)

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(send_until_cancelled, number)
            await trio.sleep(0.3)
            for number in range(50):
                response = await _send_request(client, f"well{number}")
                assert len(response.body) == len(well)
            nursery.cancel_scope.cancel()
        assert budget.refused_count
        assert budget.held_bytes == 0


@pytest.mark.parametrize("case", ENDLESS_RESPONSES)
async def test_a_slow_endless_response_ends_at_the_deadline(case):
    """Guards against a slot that a faulty upstream occupies for ever."""
    is_closed = trio.Event()

    async def serve(stream, number, request_id):
        try:
            await stream.send_all(ENDLESS_RESPONSES[case][:40])
            while True:
                await trio.sleep(0.05)
                await stream.send_all(b"a")
        except trio.BrokenResourceError:
            is_closed.set()

    async with _upstream(serve) as client:
        with pytest.raises(errors.CallError) as caught:
            await _send_request(client, "r", seconds=0.3)
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        with trio.fail_after(1.0):
            await is_closed.wait()


TRUNCATED_RESPONSES = {
    "sized": b"HTTP/1.1 200 OK\r\nx-id: r\r\ncontent-length: 100\r\n\r\nabc",
    "chunked": (
        b"HTTP/1.1 200 OK\r\nx-id: r\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n"
    ),
    "in the head": b"HTTP/1.1 200 OK\r\nx-id: r\r\ncontent-le",
    "unframed and reset": b"HTTP/1.1 200 OK\r\nx-id: r\r\n\r\nabc",
}


@pytest.mark.parametrize("case", TRUNCATED_RESPONSES)
async def test_a_truncated_response_is_an_error(case):
    """Guards against accepting an incomplete response as a complete one."""

    async def serve(stream, number, request_id):
        await stream.send_all(TRUNCATED_RESPONSES[case])
        await trio.sleep(0.05)
        if "reset" in case:
            stream._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        stream.close()

    async with _upstream(serve) as client:
        with pytest.raises(errors.CallError) as caught:
            await _send_request(client, "r")
        assert caught.value.outcome is errors.Outcome.UNKNOWN


INVALID_STATUSES = ["000", "001", "099", "600", "999"]


def _invalid_response(status, request_id):
    return (
        f"HTTP/1.1 {status} Trouble\r\nx-id: {request_id}\r\n"
        "x-signature: s\r\ncontent-length: 0\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("place", ["alone", "before", "after"])
async def test_an_invalid_status_is_no_response(status, place):
    """Guards against a status below 100 that counts as an interim response.

    The sound response behind it would then be taken for the request's own.
    """

    async def serve(stream, number, request_id):
        if number > 1:
            await stream.send_all(_response(request_id, "next"))
            return
        invalid = _invalid_response(status, request_id)
        sound = _response(request_id, "sound")
        parts = {
            "alone": invalid,
            "before": invalid + sound,
            "after": sound + invalid,
        }
        await stream.send_all(parts[place])

    async with _upstream(serve) as client:
        if place == "after":
            assert (await _send_request(client, "r")).body == b"sound"
        else:
            with pytest.raises(errors.AnswerMismatchError) as caught:
                await _send_request(client, "r")
            assert caught.value.outcome is errors.Outcome.UNKNOWN
        assert (await _send_request(client, "other")).body == b"next"
        assert client.connect_count == 2


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_invalid_status_is_no_health_response(status):
    """Guards against an upstream in trouble that counts as healthy."""

    async def serve(stream, number, request_id):
        await stream.send_all(
            f"HTTP/1.1 {status} Trouble\r\ncontent-length: 0\r\n\r\n".encode()
            + HEALTH_RESPONSE
        )

    async with _upstream(serve) as client:
        with pytest.raises(errors.AnswerMismatchError):
            await _send_request(client)


def _refusal(request_id):
    return (
        f"HTTP/1.1 503 Busy\r\nx-id: {request_id}\r\nx-not-run: 1\r\n"
        "content-length: 0\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("others", [0, 1, 40])
async def test_a_repeated_refusal_is_not_taken_for_the_next_response(others):
    """Guards against "not run" for a request that the upstream is running.

    A faulty upstream refuses a request, and writes that refusal once more
    when the same request, with the same id, is sent again. Other requests may
    use the connection in between.
    """
    refused = []

    async def serve(stream, number, request_id):
        if not refused:
            refused.append(request_id)
            await stream.send_all(_refusal(request_id))
            return
        if request_id in refused and stream in streams:
            await stream.send_all(_refusal(request_id))
        streams.add(stream)
        await stream.send_all(_response(request_id, "ran"))

    streams = set()

    async def remember(stream, number, request_id):
        await serve(stream, number, request_id)
        streams.add(stream)

    async with _upstream(remember) as client:
        with pytest.raises(errors.UpstreamRefusedError):
            await _send_request(client, "same")
        for index in range(others):
            await _send_request(client, f"other-{index}")
        assert (await _send_request(client, "same")).body == b"ran"
