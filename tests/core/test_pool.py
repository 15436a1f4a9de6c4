"""Tests of outcomes after a lost connection, and of connection reuse."""

import pytest
import trio
import trio.testing

from shallotbridge.core import errors
from shallotbridge.core import model
from shallotbridge.core import pool
from shallotbridge.transports import tcp
from tests.core import streams

REQUEST = model.Request(
    method="POST",
    target="/r",
    headers=(
        model.Header(name="host", value="a"),
        model.Header(name="x-request-id", value="1"),
    ),
    body=b"x" * 1000,
)


def make_pool(open_stream, maximum=4, port=8080):
    return pool.ConnectionPool(
        open_stream=open_stream,
        address="127.0.0.1",
        port=port,
        maximum=maximum,
    )


async def test_a_request_on_a_refused_connection_is_not_run():
    """Guards against an unknown outcome for a request that was not sent."""

    async def refuse(address, port):
        raise ConnectionRefusedError("nothing listens")

    with pytest.raises(errors.UpstreamUnreachableError):
        await make_pool(refuse).exchange(REQUEST, trio.current_time() + 1)


async def respond_with_other_id(server, stream, reader):
    await server.run(reader)
    other = model.Request(
        method="GET",
        target="/",
        headers=(model.Header(name="x-request-id", value="2"),),
    )
    await stream.send_all(streams.answer_bytes(other))


async def respond_twice(server, stream, reader):
    request = await server.run(reader)
    await stream.send_all(streams.answer_bytes(request) * 2)


@pytest.mark.parametrize(
    "behave, runs, expected, is_connection_lost",
    [
        (streams.close_during_request, 0, errors.OutcomeUnknownError, True),
        (streams.close_after_the_request, 1, errors.OutcomeUnknownError, True),
        (streams.close_during_response, 1, errors.OutcomeUnknownError, True),
        (respond_with_other_id, 1, errors.AnswerMismatchError, False),
        (respond_twice, 1, errors.AnswerMismatchError, False),
        (streams.never_answer, 1, errors.DeadlineAfterSendError, False),
    ],
)
async def test_a_request_without_a_valid_response_is_never_resent(
    nursery, autojump_clock, behave, runs, expected, is_connection_lost
):
    """Guards against a second run, and against "not run" after a run."""
    server = streams.CountingServer(nursery, behave)
    tested = make_pool(server.open_stream)
    with pytest.raises(errors.CallError) as caught:
        await tested.exchange(REQUEST, trio.current_time() + 1)
    assert type(caught.value) is expected
    assert caught.value.is_connection_lost is is_connection_lost
    assert len(server.requests) == runs
    assert server.connections == 1
    assert tested.idle_count == 0


async def test_the_deadline_is_checked_before_the_first_byte(
    nursery, autojump_clock
):
    """Guards against a request that runs after its deadline."""
    server = streams.CountingServer(nursery)

    async def open_slowly(address, port):
        await trio.sleep(0.08)
        return await server.open_stream(address, port)

    tested = make_pool(open_slowly)
    with pytest.raises(errors.DeadlineBeforeSendError):
        await tested.exchange(REQUEST, trio.current_time() + 0.05)
    with pytest.raises(errors.DeadlineBeforeSendError):
        await make_pool(server.open_stream).exchange(
            REQUEST, trio.current_time()
        )
    assert server.requests == []


async def test_connections_are_bounded_reused_and_closed_when_idle(
    nursery, autojump_clock
):
    """Guards against more connections than the upstream accepts, and against
    using an idle one that the upstream is about to close.
    """
    server = streams.CountingServer(nursery)
    tested = make_pool(server.open_stream, maximum=2)
    async with trio.open_nursery() as exchanges:
        for _ in range(6):
            exchanges.start_soon(
                tested.exchange, REQUEST, trio.current_time() + 1
            )
    assert server.connections == 2
    await trio.sleep(pool.IDLE_TIMEOUT_SECONDS)
    await tested.exchange(REQUEST, trio.current_time() + 1)
    assert server.connections == 3
    assert len(server.requests) == 7


async def test_a_connection_closed_while_idle_is_replaced(nursery):
    """Guards against an unknown outcome on a stale connection of a real
    socket.
    """
    server = streams.CountingServer(nursery)
    closed = trio.Event()

    async def respond_once(stream):
        reader = streams.http1.RequestReader(stream=stream)
        request = await server.run(reader)
        await stream.send_all(streams.answer_bytes(request))
        await stream.aclose()
        closed.set()

    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, respond_once)
    tested = make_pool(tcp.open_stream, port=port)
    for _ in range(3):
        closed = trio.Event()
        response = await tested.exchange(REQUEST, trio.current_time() + 5)
        assert response.body == b"done"
        await closed.wait()
    assert len(server.requests) == 3
    nursery.cancel_scope.cancel()


async def test_cancellation_closes_the_connection(nursery, autojump_clock):
    """Guards against a late response that the next request receives."""
    ended = trio.Event()

    async def wait_until_closed(server, stream, reader):
        await streams.never_answer(server, stream, reader)
        ended.set()

    server = streams.CountingServer(nursery, wait_until_closed)
    tested = make_pool(server.open_stream)
    with trio.move_on_after(0.5):
        await tested.exchange(REQUEST, trio.current_time() + 9)
    await ended.wait()
    assert tested.idle_count == 0


async def test_an_unresponsive_host_is_unreachable_after_the_connect_timeout(
    autojump_clock,
):
    """Guards against requests to a partitioned host that wait until their
    deadline.
    """

    async def never_connect(address, port):
        await trio.sleep_forever()

    with pytest.raises(errors.UpstreamUnreachableError):
        await make_pool(never_connect).exchange(
            REQUEST, trio.current_time() + 0.25
        )
    assert trio.current_time() <= 0.1 + 1e-6
