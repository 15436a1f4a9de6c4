"""Tests with real processes and clients that nobody controls.

Each guards against clients that end a node by memory or descriptors. They
check no times and no share of served requests. Run one at a time.
"""

import functools
import signal

import pytest
import trio

from tests.platform import crowd

MEMORY_MB = 80
FILE_DESCRIPTORS = 400
BODY_BYTES = 8 * 1024 * 1024
CLIENTS = 24
UPSTREAM_SECONDS = 0.5
# One of so many clients sends its whole request.
WHOLE_INTERVAL = 6
# For crowds whose connections, not their descriptors, fill the memory.
MANY_DESCRIPTORS = 2000
MANY_CLIENTS = 900
WAVES = 4
# Large bodies on one connection.
KEPT_REQUESTS = 12
KEPT_BODY_BYTES = 1_000_000
# Clients that send a byte now and then, so many that another large body finds
# room only when they are closed, not when their own time out.
TRICKLE_CLIENTS = 4
TRICKLE_BODY_BYTES = 6_000_000
# Clients of one wave, of several kinds in turn.
MIXED_CLIENTS = 160


def _start_mesh(descriptors=FILE_DESCRIPTORS, **options):
    return crowd.start_mesh(
        memory_mb=MEMORY_MB,
        descriptors=descriptors,
        body_bytes=BODY_BYTES,
        seconds=UPSTREAM_SECONDS,
        **options,
    )


def _sized(path, number):
    return crowd.sized(path, BODY_BYTES, is_whole=number % WHOLE_INTERVAL == 0)


def _chunked(path, number, size, chunk_bytes, content=b"x"):
    return crowd.chunked(
        path,
        size,
        chunk_bytes,
        is_whole=number % WHOLE_INTERVAL == 0,
        content=content,
    )


def _whole(path, number):
    return crowd.sized(path, BODY_BYTES // 2, is_whole=True)


def _pipeline(path, number):
    for _ in range(32):
        yield from crowd.sized(path, BODY_BYTES // 8, is_whole=True)


def _short_of_small(path, number):
    return crowd.sized(path, 65536)


def _small_pipeline(path, number):
    for _ in range(40):
        yield from crowd.sized(path, 60_000, is_whole=True)


def _long_heads(path, number):
    for _ in range(200):
        yield crowd.head("/none/", *["x: y"] * 1900, "content-length: 0")


def _endless_trailer(path, number):
    yield crowd.head(path, "transfer-encoding: chunked")
    yield b"1\r\nx\r\n0\r\nx-long: " + b"x" * 1_000_000


def _unread(path, number, ending):
    yield crowd.head(path + ending, "content-length: 0") * 32


_MIXED = (
    _sized,
    _short_of_small,
    _small_pipeline,
    functools.partial(_unread, ending="medium"),
)


def _mixed(path, number):
    return _MIXED[number % len(_MIXED)](path, number)


# As many as the limit of a head allows.
_MANY_FIELDS = ["xy: ab"] * 1900


def _many_fields(path, number):
    yield crowd.head(path, *_MANY_FIELDS, "content-length: 65536")
    yield bytes(60_000)


def _whole_with_many_fields(path, number):
    yield crowd.head(path, *_MANY_FIELDS, "content-length: 0")


def _whole_small(path, number):
    return crowd.sized(path, 60_000, is_whole=True)


def _bytewise(path, number):
    for byte in crowd.head(path, "x-long: " + "x" * 8000)[:-2]:
        yield bytes([byte])


CROWDS = {
    "bodies": (CLIENTS, _sized),
    "whole bodies": (CLIENTS, _whole),
    "large chunks": (
        CLIENTS,
        functools.partial(_chunked, size=BODY_BYTES, chunk_bytes=65536),
    ),
    # More would exceed the limit of the bytes that chunk sizes add.
    "small chunks": (
        CLIENTS,
        functools.partial(_chunked, size=1_200_000, chunk_bytes=8),
    ),
    "very small chunks": (
        CLIENTS,
        functools.partial(_chunked, size=BODY_BYTES, chunk_bytes=1),
    ),
    "chunks of line breaks": (
        CLIENTS,
        functools.partial(
            _chunked,
            size=BODY_BYTES,
            chunk_bytes=65536,
            content=b"\r\n",
        ),
    ),
    "endless trailers": (64, _endless_trailer),
    "bodies beyond the limit, announced": (
        CLIENTS,
        lambda path, number: crowd.sized(path, 16 * BODY_BYTES),
    ),
    "bodies beyond the limit, just sent": (
        CLIENTS,
        functools.partial(_chunked, size=4 * BODY_BYTES, chunk_bytes=65536),
    ),
    "heads byte by byte": (300, _bytewise),
    "connections that send nothing": (300, lambda path, number: ()),
    "pipelines": (CLIENTS, _pipeline),
    "answers that nobody reads": (
        CLIENTS,
        lambda path, number: [
            crowd.head(path + "large", "content-length: 0") * 8
        ],
    ),
    "small answers that nobody reads": (
        48,
        functools.partial(_unread, ending="medium"),
    ),
}


@pytest.mark.parametrize("path", ["/near/", "/far/"])
@pytest.mark.parametrize("case", CROWDS)
async def test_a_crowd_leaves_the_node_alive(case, path):
    """Guards against a process that ends for lack of memory (LOST).

    With the path of the far upstream, the node beside it must hold as well.
    """
    count, pieces_of = CROWDS[case]
    async with _start_mesh() as mesh:
        await mesh.crowd(count, functools.partial(pieces_of, path))
        assert await mesh.send_ordinary(path, b"12345") == b"5"
        mesh.check()


# Clients whose bytes take much processor time to read.
COSTLY_CLIENTS = 100
COSTLY_CROWDS = {
    "chunks of line breaks": CROWDS["chunks of line breaks"][1],
    "very small chunks": CROWDS["very small chunks"][1],
    "long heads": _long_heads,
}


@pytest.mark.parametrize("path", ["/near/", "/far/"])
@pytest.mark.parametrize("case", COSTLY_CROWDS)
async def test_a_crowd_that_goes_on_leaves_a_turn_to_others(case, path):
    """Guards against a node that stands still while it decodes bytes."""
    async with _start_mesh() as mesh:
        mesh.keep_sending(
            COSTLY_CLIENTS, functools.partial(COSTLY_CROWDS[case], path)
        )
        # The crowd has begun, and goes on.
        for _ in range(3):
            await trio.sleep(1)
            assert await mesh.send_ordinary(path, b"12345") == b"5"
        mesh.check()


# Crowds of more connections than the others.
MANY_CROWDS = {
    "small bodies": (MANY_CLIENTS, _short_of_small),
    # Fewer than the node allows, so that none is closed for another.
    "requests with many fields, then silence": (330, _whole_with_many_fields),
    "bodies after many fields": (MIXED_CLIENTS, _many_fields),
}


@pytest.mark.parametrize("path", ["/near/", "/far/"])
@pytest.mark.parametrize("case", MANY_CROWDS)
async def test_many_connections_leave_the_node_alive(case, path):
    """Guards against memory that is not counted with each connection."""
    count, pieces_of = MANY_CROWDS[case]
    async with _start_mesh(descriptors=MANY_DESCRIPTORS) as mesh:
        await mesh.crowd(count, functools.partial(pieces_of, path))
        assert await mesh.send_ordinary(path, b"12345") == b"5"
        mesh.check()


@pytest.mark.parametrize("path", ["/near/", "/far/"])
async def test_waves_of_mixed_clients_leave_the_node_alive(path):
    """Guards against memory that a wave does not give back."""
    async with _start_mesh(descriptors=MANY_DESCRIPTORS) as mesh:
        for _ in range(WAVES):
            await mesh.crowd(MIXED_CLIENTS, functools.partial(_mixed, path))
        assert await mesh.send_ordinary(path, b"12345") == b"5"
        mesh.check()


# Each kind leaves its memory in another part of the heap, or none.
_KINDS_IN_TURN = (_many_fields, _small_pipeline, _short_of_small, _sized)


@pytest.mark.parametrize("path", ["/near/", "/far/"])
async def test_kinds_of_clients_in_turn_leave_the_node_alive(path):
    """Guards against free memory that only the same kind uses again."""
    async with _start_mesh(descriptors=MANY_DESCRIPTORS) as mesh:
        for pieces_of in _KINDS_IN_TURN:
            await mesh.crowd(MIXED_CLIENTS, functools.partial(pieces_of, path))
        assert await mesh.send_ordinary(path, b"12345") == b"5"
        mesh.check()


@pytest.mark.parametrize("pieces_of", [_whole_small, _whole])
async def test_a_frozen_owner_node_leaves_the_entry_node_alive(pieces_of):
    """Guards against frames that wait for a node that does not read."""
    async with _start_mesh(descriptors=MANY_DESCRIPTORS) as mesh:
        mesh.send_signal("far", signal.SIGSTOP)
        await mesh.crowd(MIXED_CLIENTS, functools.partial(pieces_of, "/far/"))
        await mesh.crowd(MIXED_CLIENTS, functools.partial(pieces_of, "/far/"))
        assert await mesh.send_ordinary("/near/", b"12345") == b"5"
        mesh.send_signal("far", signal.SIGCONT)
        assert await mesh.send_ordinary("/far/", b"12345") == b"5"
        mesh.check()


async def test_a_crowd_beside_a_restart_and_new_limits_is_withstood():
    """Guards against a crowd that meets a node in its first moments.

    The clients go on sending while the owner node and the limits change.
    """
    async with _start_mesh(descriptors=MANY_DESCRIPTORS) as mesh:
        mesh.keep_sending(CLIENTS, functools.partial(_whole, "/far/"))
        mesh.keep_sending(CLIENTS, functools.partial(_mixed, "/far/"))
        await trio.sleep(2)
        for version, service in ((2, "far"), (3, "near")):
            mesh.change_limits(version, BODY_BYTES // version)
            await mesh.restart(service)
            assert await mesh.send_ordinary("/near/", b"12345") == b"5"
            assert await mesh.send_ordinary("/far/", b"12345") == b"5"
        mesh.check()


@pytest.mark.parametrize("path", ["/near/", "/far/"])
async def test_a_large_body_is_served_beside_clients_that_send_few_bytes(
    path,
):
    """Guards against clients that keep their place with a byte at a time."""
    async with _start_mesh() as mesh:
        mesh.trickle(TRICKLE_CLIENTS, crowd.sized(path, TRICKLE_BODY_BYTES))
        # The clients take the memory first.
        await trio.sleep(3)
        body = bytes(BODY_BYTES // 2)
        answers = []
        for _ in range(3):
            answers += await mesh.send_series(
                [(crowd.head(path, f"content-length: {len(body)}"), body)]
            )
        assert (200, str(len(body)).encode()) in answers
        mesh.check()


@pytest.mark.parametrize("path", ["/near/", "/far/"])
async def test_a_node_with_a_crowd_stops_by_itself(path):
    """Guards against a planned stop that waits for such clients."""
    async with _start_mesh() as mesh:
        await mesh.crowd(MIXED_CLIENTS // 2, functools.partial(_mixed, path))
        mesh.send_signal("near", signal.SIGHUP)
        mesh.send_signal("near", signal.SIGTERM)
        assert await mesh.wait_stopped("near") == 0


async def test_bodies_that_the_entry_node_takes_leave_the_owner_alive():
    """Guards against an owner node that ends under bodies of larger hosts."""
    async with _start_mesh(entry_mb=600) as mesh:
        await mesh.crowd(CLIENTS, functools.partial(_whole, "/far/"))
        assert await mesh.send_ordinary("/far/", b"12345") == b"5"
        mesh.check()


@pytest.mark.parametrize("path", ["/near/", "/far/"])
async def test_one_body_of_the_largest_size_is_served(path):
    """Guards against limits that a client inside the published ones meets."""
    size = 67_108_864
    async with crowd.start_mesh(
        memory_mb=200,
        descriptors=4100,
        body_bytes=size,
        seconds=UPSTREAM_SECONDS,
    ) as mesh:
        answer = await mesh.send_ordinary(path, bytes(size))
        assert answer == str(size).encode()
        mesh.check()


@pytest.mark.parametrize("path", ["/near/", "/far/"])
async def test_large_bodies_are_served_on_a_kept_connection(path):
    """Guards against a receive buffer that is made too small again."""
    async with crowd.start_mesh(
        memory_mb=200,
        descriptors=4100,
        body_bytes=BODY_BYTES,
        seconds=UPSTREAM_SECONDS,
    ) as mesh:
        answers = await mesh.send_series(
            [b"".join(crowd.sized(path, KEPT_BODY_BYTES, is_whole=True))]
            for _ in range(KEPT_REQUESTS)
        )
        answer = (200, str(KEPT_BODY_BYTES).encode())
        assert answers == [answer] * KEPT_REQUESTS
        mesh.check()


@pytest.mark.parametrize("path", ["/near/", "/far/"])
@pytest.mark.parametrize("chunk_bytes", [1, 16])
async def test_a_body_in_small_chunks_is_served(chunk_bytes, path):
    """Guards against limits that a client inside the published ones meets."""
    size = 3 * 1024 * 1024
    async with crowd.start_mesh(
        memory_mb=200,
        descriptors=4100,
        body_bytes=BODY_BYTES,
        seconds=UPSTREAM_SECONDS,
    ) as mesh:
        answers = await mesh.send_series(
            [crowd.chunked(path, size, chunk_bytes, is_whole=True)]
        )
        assert answers == [(200, str(size).encode())]
        mesh.check()
