"""Tests of client connections over loopback."""

import contextlib
import dataclasses
import gc

import pytest
import trio

from shallotbridge.core import memory_account
from shallotbridge.core import model as messages
from shallotbridge.traffic import client_connections
from shallotbridge.traffic import model
from shallotbridge.transports import tcp


@contextlib.asynccontextmanager
async def _serving(
    handle_request,
    limits=model.DEFAULT_CLIENT_LIMITS,
    account=None,
    read_limits=None,
    on_framing_error=lambda error: None,
):
    """Yield the ``ClientConnections`` and an open stream to it."""

    def handle_framing_error(error):
        on_framing_error(error)
        return messages.Response(status=error.status, headers=(), body=b"")

    connections = client_connections.ClientConnections(
        handle_request=handle_request,
        handle_framing_error=handle_framing_error,
        read_limits=read_limits or (lambda: limits),
        account=account,
    )
    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            tcp.serve, "127.0.0.1", 0, connections.handle
        )
        stream = await tcp.open_stream(*address)
        with trio.fail_after(10):
            yield connections, stream
        stream.close()
        nursery.cancel_scope.cancel()


def _request(path):
    return f"GET {path} HTTP/1.1\r\nhost: a\r\n\r\n".encode()


async def _read_until(stream, text):
    received = b""
    while text not in received:
        chunk = await stream.receive_some()
        if not chunk:
            break
        received += chunk
    return received


async def test_pipelined_requests_run_concurrently_with_answers_in_order():
    """Guards against answers in the order of completion."""
    second_started = trio.Event()

    async def handle_request(request):
        if request.target == "/1":
            await second_started.wait()
        second_started.set()
        return messages.Response(
            status=200, headers=(), body=request.target.encode()
        )

    async with _serving(handle_request) as (_, stream):
        await stream.send_all(_request("/1") + _request("/2"))
        received = await _read_until(stream, b"/2")
    assert received.index(b"/1") < received.index(b"/2")


async def test_client_disconnect_cancels_its_request():
    """Guards against work for a client that has disconnected."""
    started = trio.Event()
    cancelled = trio.Event()

    async def handle_request(request):
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    async with _serving(handle_request) as (_, stream):
        await stream.send_all(_request("/1"))
        await started.wait()
        stream.close()
        await cancelled.wait()


async def test_failing_request_closes_only_its_connection():
    """Guards against one failing request that ends others."""

    async def handle_request(request):
        if request.target == "/bad":
            raise trio.BrokenResourceError("the test fails this request")
        return messages.Response(status=200, headers=(), body=b"good")

    async with _serving(handle_request) as (connections, stream):
        await stream.send_all(_request("/bad"))
        assert await stream.receive_some() == b""
        assert connections.connection_count == 0


@pytest.mark.parametrize("is_busy", [False, True])
async def test_drain_closes_connections_that_become_idle(is_busy):
    """Guards against accepting requests long after a drain started."""
    may_finish = trio.Event()

    async def handle_request(request):
        await may_finish.wait()
        return messages.Response(status=200, headers=(), body=b"done")

    async with _serving(handle_request) as (connections, stream):
        if is_busy:
            await stream.send_all(_request("/1"))
            await trio.testing.wait_all_tasks_blocked(0.05)
        connections.begin_drain()
        may_finish.set()
        if is_busy:
            assert b"done" in await _read_until(stream, b"done")
        while connections.connection_count:
            await trio.sleep(0.05)
        assert await stream.receive_some() == b""


async def test_response_while_draining_closes_the_connection():
    """Guards against clients that keep using a node that shuts down."""

    async def handle_request(request):
        return messages.Response(status=200, headers=(), body=b"done")

    async with _serving(handle_request) as (connections, stream):
        connections.begin_drain()
        await stream.send_all(_request("/1"))
        received = await _read_until(stream, b"done")
        assert b"connection: close" in received


async def test_slow_request_head_is_a_timeout():
    """Guards against treating a slow client as a malformed request."""

    async def handle_request(request):
        raise AssertionError("no complete request was sent")

    limits = model.ClientLimits(
        maximum_head_bytes=1024,
        maximum_body_bytes=1024,
        head_timeout_seconds=0.1,
        idle_timeout_seconds=5.0,
    )
    async with _serving(handle_request, limits) as (_, stream):
        await stream.send_all(b"GET / HT")
        assert b"408" in await _read_until(stream, b"\r\n\r\n")


@pytest.mark.parametrize("field", ["content-length: 900000", "chunked"])
async def test_a_body_without_memory_is_refused_as_not_run(field):
    """Guards against clients whose bodies take the memory of others."""
    account = memory_account.MemoryAccount(limit_bytes=1_000_000)
    other = memory_account.Holder(account=account)
    assert other.try_hold(500_000)
    served = []

    async def handle_request(request):
        served.append(len(request.body))
        return messages.Response(status=200, headers=(), body=b"done")

    if field == "chunked":
        field = "transfer-encoding: chunked"
    head = f"POST /1 HTTP/1.1\r\nhost: a\r\n{field}\r\n\r\n".encode()
    async with _serving(handle_request, account=account) as (_, stream):
        await stream.send_all(head)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(b"493E0\r\n" + b"x" * 300_000)
        status = int((await _read_until(stream, b"\r\n")).split()[1])
        assert status in (413, 503)
        assert not served
        assert account.peak_bytes <= 1_000_000
    await trio.testing.wait_all_tasks_blocked(0.05)
    assert account.held_bytes == 500_000 - memory_account.ALLOWANCE_BYTES


async def test_a_head_without_memory_is_refused_under_its_id():
    """Guards against a refusal that belongs to no request.

    Memory is asked for before the head is parsed.
    """
    account = memory_account.MemoryAccount(limit_bytes=1_000_000)
    other = memory_account.Holder(account=account)
    assert other.try_hold(600_000)
    ids = []
    head = _request("/1")[:-2] + b"x-id: r1\r\n" + b"a: b\r\n" * 1900
    async with _serving(
        None,
        account=account,
        on_framing_error=lambda error: ids.append(
            error.request_header("x-id")
        ),
    ) as (_, stream):
        await stream.send_all(head + b"\r\n")
        assert b" 503 " in await _read_until(stream, b"\r\n")
    assert ids == ["r1"]


async def test_a_client_that_sends_on_reads_its_refusal():
    """Guards against a reset in place of a refusal.

    Most clients read only after they have sent the body.
    """
    account = memory_account.MemoryAccount(limit_bytes=20_000_000)
    other = memory_account.Holder(account=account)
    assert other.try_hold(10_000_000)
    account.paused = memory_account.MAXIMUM_PAUSED
    limits = dataclasses.replace(
        model.DEFAULT_CLIENT_LIMITS, maximum_body_bytes=8_000_000
    )
    head = b"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 8000000\r\n\r\n"
    async with _serving(None, limits, account=account) as (_, stream):
        await stream.send_all(head)
        for _ in range(80):
            await stream.send_all(bytes(100_000))
        assert b" 503 " in await _read_until(stream, b"\r\n")


@pytest.mark.parametrize("size", [10, 50_000, 700_000])
async def test_nothing_stays_counted_after_requests(size):
    """Guards against memory that is counted for ever."""
    account = memory_account.MemoryAccount(limit_bytes=10_000_000)

    async def handle_request(request):
        assert account.held_bytes >= size
        return messages.Response(
            status=200, headers=(), body=request.body or b""
        )

    head = f"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n"
    async with _serving(handle_request, account=account) as (_, stream):
        for _ in range(3):
            await stream.send_all(head.encode() + b"x" * size)
            received = b""
            while not received.endswith(b"x" * size):
                received += await stream.receive_some()
    await trio.testing.wait_all_tasks_blocked(0.05)
    assert account.held_bytes == 0 and account.connection_count == 0


async def test_nothing_of_a_closed_connection_waits_for_garbage_collection():
    """Guards against bytes of clients that nothing counts any more."""
    account = memory_account.MemoryAccount(limit_bytes=10_000_000)

    def count_connections():
        return sum(
            type(each) is client_connections._Connection
            for each in gc.get_objects()
        )

    gc.collect()
    gc.disable()
    try:
        async with _serving(None, account=account) as (_, stream):
            await stream.send_all(_request("/1" + "x" * 15_000)[:-2])
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert count_connections() == 1
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert count_connections() == 0
    finally:
        gc.enable()


async def test_a_connection_follows_the_limits_of_the_configuration():
    """Guards against the limits of a node without a configuration for good.

    Clients connect before a starting node has its configuration, and keep
    their connections.
    """
    limits = [model.DEFAULT_CLIENT_LIMITS]

    async def handle_request(request):
        limits[0] = dataclasses.replace(limits[0], maximum_body_bytes=3000000)
        return messages.Response(status=200, headers=(), body=b"done")

    async with _serving(handle_request, read_limits=lambda: limits[0]) as (
        _,
        stream,
    ):
        for size in (10, 2_000_000):
            head = f"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: {size}"
            await stream.send_all(head.encode() + b"\r\n\r\n" + b"x" * size)
            received = await _read_until(stream, b"done")
            assert received.startswith(b"HTTP/1.1 200"), received


async def test_answers_that_must_wait_take_no_more_than_the_account_has():
    """Guards against clients that make a node hold all their answers.

    The first request of each connection takes long; the others are answered
    at once, and their answers must wait for the first.
    """
    account = memory_account.MemoryAccount(limit_bytes=1_000_000)
    first_may_end = trio.Event()

    async def handle_request(request):
        if request.target == "/first":
            await first_may_end.wait()
        return messages.Response(status=200, headers=(), body=bytes(60_000))

    async with _serving(handle_request, account=account) as (_, stream):
        await stream.send_all(_request("/first") + _request("/1") * 30)
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert account.held_bytes <= 1_000_000
        first_may_end.set()
        received = b""
        while received.count(b"HTTP/1.1 ") < 31:
            received += await stream.receive_some()
    statuses = [
        line.split()[1]
        for line in received.split(b"\r\n")
        if b"HTTP/1.1 " in line
    ]
    assert statuses[0] == b"200"
    assert statuses.count(b"200") > 1
    assert set(statuses) == {b"200", b"502"}
    assert account.held_bytes == 0


async def test_an_interim_response_does_not_come_within_an_earlier_answer():
    """Guards against bytes in the middle of an answer that is being sent."""
    body = bytes(4_000_000)

    async def handle_request(request):
        return messages.Response(
            status=200, headers=(), body=request.body or body
        )

    head = (
        b"POST /2 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
        b"content-length: 4\r\n\r\n"
    )
    async with _serving(handle_request) as (_, stream):
        await stream.send_all(_request("/1"))
        await trio.testing.wait_all_tasks_blocked(0.05)
        await stream.send_all(head)
        await trio.testing.wait_all_tasks_blocked(0.05)
        received = await _read_until(stream, b"100 Continue\r\n\r\n")
        await stream.send_all(b"done")
        answer = await _read_until(stream, b"done")
    first_head, _, rest = received.partition(b"\r\n\r\n")
    assert b" 200 " in first_head
    assert rest == body + b"HTTP/1.1 100 Continue\r\n\r\n"
    assert answer.endswith(b"\r\n\r\ndone")
