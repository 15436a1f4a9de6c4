"""Tests of decoding and encoding HTTP/1.1 messages."""

import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from shallotbridge.core import errors
from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import memory_account
from shallotbridge.core import model
from shallotbridge.core import turns
from tests.core import streams

HOST = b"Host: a\r\n"
GET = b"GET /stock HTTP/1.1\r\n" + HOST + b"\r\n"
SIZED = b"POST /r HTTP/1.1\r\n" + HOST + b"Content-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /r HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    b"3;a=b\r\na\r\n\r\n4\r\n\r\n\r\n\r\n0\r\nX-T: 1\r\n\r\n"
)
MESSAGES = (GET, SIZED, CHUNKED)
RESPONSE_SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
RESPONSE_CHUNKED = (
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
)

property_test = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def run(function, *arguments):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


async def read_all(pieces):
    """Return the requests of a connection and the type of its error."""
    reader = http1.RequestReader(stream=streams.ScriptedStream(pieces))
    requests = []
    try:
        while await reader.wait_request():
            requests.append(await reader.read())
    except errors.FramingError as error:
        return requests, type(error)
    return requests, None


async def read_response(pieces, method="GET"):
    reader = http1.ResponseReader(stream=streams.ScriptedStream(pieces))
    try:
        return await reader.read(method)
    except errors.OutcomeUnknownError as error:
        return type(error)


def split(data, cuts):
    bounds = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    pieces = [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    return [piece for piece in pieces if piece]


cut_lists = strategies.lists(strategies.integers(0, 5000), max_size=40)
mutations = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 5000),
        strategies.sampled_from(list(b"\r\n\0 :,;09aZ\t\x7f\xff")),
        strategies.booleans(),
    ),
    min_size=1,
    max_size=3,
)


def mutate(data, changes):
    data = bytearray(data)
    for position, byte, is_insertion in changes:
        position %= len(data)
        data[position : position + (not is_insertion)] = bytes([byte])
    return bytes(data)


@property_test
@hypothesis.given(
    strategies.lists(strategies.sampled_from(MESSAGES), max_size=4), cut_lists
)
def test_requests_do_not_depend_on_packet_splits(messages, cuts):
    """Guards against message boundaries that depend on packet sizes."""
    data = b"".join(messages)
    requests, error = run(read_all, split(data, cuts))
    assert error is None
    bodies = {GET: b"", SIZED: b"hello", CHUNKED: b"a" + b"\r\n" * 3}
    assert [each.body for each in requests] == [bodies[m] for m in messages]


@property_test
@hypothesis.given(strategies.sampled_from(MESSAGES), mutations, cut_lists)
def test_mutated_requests_parse_the_same_however_split(message, changes, cuts):
    """Guards against malformed requests parsed differently when split."""
    data = mutate(message, changes) + GET
    assert run(read_all, [data]) == run(read_all, split(data, cuts))


@property_test
@hypothesis.given(
    strategies.sampled_from((RESPONSE_SIZED, RESPONSE_CHUNKED)),
    mutations,
    cut_lists,
)
def test_mutated_responses_give_a_response_or_a_typed_error(
    message, changes, cuts
):
    """Guards against untyped exceptions for malformed responses."""
    run(read_response, split(mutate(message, changes), cuts))


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 5\r\nContent-Length: 5\r\n",
        b"Content-Length: 5, 5\r\n",
        b"Content-Length: +5\r\n",
        b"Content-Length: \r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"X: a\n",
        b"X: a\r\n b\r\n",
        b"X: a\0b\r\n",
        b"X: a\rb\r\n",
        b"X : a\r\n",
        b"Host: b\r\n",
        b"Expect: more\r\n",
    ],
)
async def test_ambiguous_framing_is_rejected(head):
    """Guards against request smuggling."""
    data = b"POST /r HTTP/1.1\r\n" + HOST + head + b"\r\nhello"
    assert await read_all([data]) == ([], errors.FramingError)


@pytest.mark.parametrize(
    "data, expected",
    [
        (b"GET / HTTP/1.1\r\n\r\n", errors.FramingError),
        (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", errors.FramingError),
        (b"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", errors.FramingError),
        (b"GET / HTTP/1.1\nHost: a\n\n", errors.FramingError),
        (GET[:-1], errors.FramingError),
        (SIZED[:-1], errors.FramingError),
        (CHUNKED[:-1], errors.FramingError),
        (GET[:-2] + b"X: " + b"x" * 32768, errors.HeadTooLargeError),
        (
            SIZED.replace(b": 5", b": 1048577"),
            errors.BodyTooLargeError,
        ),
        (
            CHUNKED[: CHUNKED.index(b"3;")]
            + b"80000\r\n"
            + b"\0" * 0x80000
            + b"\r\n80001\r\n"
            + b"\0" * 0x80001
            + b"\r\n0\r\n\r\n",
            errors.BodyTooLargeError,
        ),
    ],
)
async def test_incomplete_and_oversized_requests_give_typed_errors(
    data, expected
):
    """Guards against unbounded memory and running incomplete requests."""
    assert await read_all([data]) == ([], expected)


@pytest.mark.parametrize(
    "data, expected",
    [
        (RESPONSE_SIZED[:-1], errors.OutcomeUnknownError),
        (RESPONSE_CHUNKED[:-1], errors.OutcomeUnknownError),
        (RESPONSE_SIZED + b"H", errors.AnswerMismatchError),
        (RESPONSE_CHUNKED + RESPONSE_SIZED, errors.AnswerMismatchError),
        (b"HTTP/1.1 200 OK\r\n\r\ndone", errors.AnswerMismatchError),
        (b"HTTP/1.1 101 Go\r\n\r\n", errors.AnswerMismatchError),
        (
            RESPONSE_SIZED.replace(b": 4", b": 8388609"),
            errors.AnswerTooLargeError,
        ),
    ],
)
async def test_invalid_responses_give_typed_errors(data, expected):
    """Guards against forwarding truncated or mismatched responses."""
    assert await read_response([data]) is expected


async def test_responses_without_a_body_end_after_their_head():
    """Guards against waiting for the body of a HEAD or 304 response."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"
    assert (await read_response([head], "HEAD")).body == b""
    not_modified = await read_response([head.replace(b"200 OK", b"304 Same")])
    assert not_modified.body == b""
    response = model.Response(status=200, headers=(), body=b"done")
    assert http1_encoding.encode_response(response, method="HEAD").endswith(
        b"content-length: 4\r\n\r\n"
    )


async def test_100_continue_is_sent_before_the_body_is_read():
    """Guards against a deadlock in which client and node both wait."""
    head, body = SIZED[:-9] + b"\r\nExpect: 100-continue\r\n\r\n", b"hello"
    stream = streams.ScriptedStream([head, body])
    reader = http1.RequestReader(stream=stream)
    await reader.wait_request()
    assert (await reader.read()).body == body
    assert stream.sent == b"HTTP/1.1 100 Continue\r\n\r\n"


async def test_slow_requests_time_out_with_a_typed_error(autojump_clock):
    """Guards against slow clients that occupy connections."""
    client_stream, server_stream = trio.testing.memory_stream_pair()
    reader = http1.RequestReader(stream=server_stream)
    await client_stream.send_all(GET[:-1])
    assert await reader.wait_request()
    with pytest.raises(errors.FramingError, match="did not arrive"):
        await reader.read()


@pytest.mark.parametrize(
    "name, value",
    [("x", "a\r\nb: c"), ("x", "a\0"), ("x\r\ny", "a"), ("x", "\u20ac")],
)
async def test_headers_cannot_be_injected(name, value):
    """Guards against line breaks in header names and values."""
    headers = (model.Header(name=name, value=value),)
    with pytest.raises(errors.BadHeaderError):
        http1_encoding.encode_response(
            model.Response(status=200, headers=headers)
        )
    with pytest.raises(errors.BadHeaderError):
        http1_encoding.encode_request(
            model.Request(method="GET", target="/ HTTP/1.1", headers=())
        )


def test_long_header_names_take_no_memory_later():
    """Guards against memory that a client fills with names of its choice."""
    tracemalloc.start()
    try:
        for number in range(300):
            name = f"x-{number}-" + "a" * 8000
            header = model.Header(name=name, value="a")
            http1_encoding.encode_response(
                model.Response(status=200, headers=(header,))
            )
        name = header = None
        held_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert held_bytes < 300_000


def test_a_body_in_many_small_pieces_takes_no_more_memory():
    """Guards against clients that multiply memory with tiny packets."""
    size = 60_000
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
    pieces = [head] + [b"%02d" % (n % 100) for n in range(size // 2)]
    tracemalloc.start()
    try:
        response = run(read_response, pieces)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert len(response.body) == size
    # The scripted stream copies the list of pieces once.
    assert peak_bytes < 8 * len(pieces) + 5 * size


def _chunked_request(chunks, *, end=b"0\r\n\r\n"):
    head = b"POST /r HTTP/1.1\r\n" + HOST
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + end


def _split_evenly(data, size=16 * 1024):
    return [data[n : n + size] for n in range(0, len(data), size)]


@pytest.mark.parametrize("chunk_bytes", [1, 16])
async def test_a_body_in_small_chunks_is_read(chunk_bytes):
    """Guards against limits that a body of legal size meets."""
    count = 250_000
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    stream = streams.ScriptedStream(
        _split_evenly(_chunked_request(chunk * count) + GET)
    )
    reader = http1.RequestReader(
        stream=stream, maximum_body_bytes=chunk_bytes * count
    )
    for size in (chunk_bytes * count, 0):
        assert await reader.wait_request()
        assert len((await reader.read()).body) == size


@pytest.mark.parametrize(
    "chunks, expected",
    [
        # Chunk extensions, and a trailer that does not end.
        ((b"1;" + b"a" * 4000 + b"\r\nx\r\n") * 400, "BodyTooLarge"),
        (b"0\r\nx: " + b"a" * 100_000, "HeadTooLarge"),
        (b"0\r\n" + b"x: a\r\n" * 20_000, "HeadTooLarge"),
    ],
)
async def test_what_chunks_add_is_bounded(chunks, expected):
    """Guards against memory and time for bytes that are not the body."""
    pieces = _split_evenly(_chunked_request(chunks))
    requests, error = await read_all(pieces)
    assert not requests
    assert error.__name__ == f"{expected}Error"


@pytest.mark.parametrize("content", [b"\r\n", b"x\r\n\r\n", b"0\r\n\r\n"])
async def test_line_breaks_in_a_body_do_not_end_it(content):
    """Guards against a message that ends within its body."""
    body = content * (40_000 // len(content))
    chunk = b"%x\r\n%b\r\n" % (len(body), body)
    pieces = _split_evenly(_chunked_request(chunk * 3) + GET)
    requests, error = await read_all(pieces)
    assert error is None
    assert [each.body for each in requests] == [body * 3, b""]


async def test_bytes_of_line_breaks_are_decoded_at_once(monkeypatch):
    """Guards against a node that stands still while it decodes a body."""
    fed = []
    feed = http1.RequestReader._feed

    def count_feeds(reader, parser, data):
        fed.append(len(data))
        feed(reader, parser, data)

    monkeypatch.setattr(http1.RequestReader, "_feed", count_feeds)
    chunk = b"8000\r\n" + b"\r\n" * 0x4000 + b"\r\n"
    pieces = _split_evenly(_chunked_request(chunk * 16))
    requests, error = await read_all(pieces)
    assert error is None and len(requests[0].body) == 16 * 0x8000
    # A line break follows the size of each chunk.
    assert len(fed) <= len(pieces) + 16 + 3


@pytest.mark.parametrize(
    "data",
    [
        _chunked_request(b"1\r\nx\r\n" * 100_000),
        b"".join(
            (GET[:-2], b"x: y\r\n" * 1000, b"\r\n") * 100,
        ),
    ],
    ids=["chunks", "heads"],
)
async def test_other_tasks_run_while_a_connection_is_read(data):
    """Guards against a node that stands still while bytes keep coming."""
    passes = 0

    async def count_passes():
        nonlocal passes
        while True:
            await trio.lowlevel.checkpoint()
            passes += 1

    pieces = _split_evenly(data)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_passes)
        _, error = await read_all(pieces)
        nursery.cancel_scope.cancel()
    assert error is None
    # The first and the last piece may be small.
    assert passes >= len(pieces) - 2


async def test_a_client_that_waits_for_its_turn_is_not_stalled():
    """Guards against closing clients whose bytes the node does not decode."""
    queue = turns.TurnQueue()
    holder = memory_account.unlimited_holder()
    holder.is_waiting_for_client = True
    reader = http1.RequestReader(
        stream=streams.ScriptedStream(
            [_chunked_request(b"1\r\nx\r\n" * 1000)]
        ),
        holder=holder,
        turns=queue,
    )
    assert await reader.wait_request()
    await queue.take(0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.read)
        await trio.testing.wait_all_tasks_blocked()
        assert not holder.is_waiting_for_client
        began = trio.current_time()
        await queue.release()
    assert holder.is_waiting_for_client
    assert holder.progressed_at >= began


async def test_a_client_is_not_timed_out_by_the_decoding_of_its_body(
    autojump_clock, monkeypatch
):
    """Guards against a legal body that a slow host never serves.

    Small chunks take the processor time of the node, and the client can send
    no more meanwhile.
    """
    feed = http1.RequestReader._feed

    def feed_slowly(reader, parser, data):
        autojump_clock.jump(4.0)
        feed(reader, parser, data)

    monkeypatch.setattr(http1.RequestReader, "_feed", feed_slowly)
    client_stream, server_stream = trio.testing.memory_stream_pair()
    reader = http1.RequestReader(stream=server_stream)
    await client_stream.send_all(_chunked_request(b"1\r\nx\r\n" * 50_000))
    began = trio.current_time()
    assert await reader.wait_request()
    request = await reader.read()
    assert len(request.body) == 50_000
    assert trio.current_time() - began > http1.BODY_TIMEOUT_SECONDS


def _body_reader(account, length):
    """Return a reader of a sized body, and the account of its connection."""
    data = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % length
    return http1.RequestReader(
        stream=streams.ScriptedStream([data, bytes(length)]),
        holder=memory_account.Holder(account=account),
    )


async def test_a_body_waits_for_those_that_were_received_in_part(
    autojump_clock,
):
    """Guards against a legal body that is never served.

    In a crowd whose clients come again, others wait for memory all the time.
    """
    account = memory_account.MemoryAccount(limit_bytes=3_000_000)
    other = memory_account.Holder(account=account)
    other.hold(2_500_000)
    account.paused += 1
    held = account.held_bytes
    reader = _body_reader(account, 1_000_000)
    assert await reader.wait_request()
    requests = []

    async def read():
        requests.append(await reader.read())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read)
        await trio.sleep(0.5)
        assert account.held_bytes == held
        other.release(2_500_000)
    assert len(requests[0].body) == 1_000_000


async def test_bodies_that_waited_begin_one_after_the_other(autojump_clock):
    """Guards against bodies that take each other's room and all fail."""
    account = memory_account.MemoryAccount(limit_bytes=3_000_000)
    other = memory_account.Holder(account=account)
    other.hold(2_500_000)
    account.paused += 1
    began = []

    async def read(reader):
        assert await reader.wait_request()
        await reader.read()
        began.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(read, _body_reader(account, 500_000))
        await trio.sleep(0.5)
        assert not began
        other.release(2_500_000)
    assert len(set(began)) == 4


async def test_a_body_is_refused_at_once_if_many_wait(autojump_clock):
    """Guards against new bodies that take the places of those in progress."""
    account = memory_account.MemoryAccount(limit_bytes=3_000_000)
    memory_account.Holder(account=account).hold(2_500_000)
    account.paused = memory_account.MAXIMUM_PAUSED_BEFORE_BODY
    reader = _body_reader(account, 1_000_000)
    assert await reader.wait_request()
    with pytest.raises(errors.RequestMemoryError):
        await reader.read()
    assert trio.current_time() == 0
    assert account.refused_count == 1
