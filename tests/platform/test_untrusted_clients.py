"""Tests with real processes and clients that nobody controls.

Each guards against clients that end a node by memory or descriptors. They
check no times and no share of served requests. Run one at a time.
"""

import functools

import pytest

from tests.platform import crowd

MEMORY_MB = 80
FILE_DESCRIPTORS = 400
BODY_BYTES = 8 * 1024 * 1024
CLIENTS = 24
UPSTREAM_SECONDS = 0.5
# One of so many clients sends its whole request.
WHOLE_INTERVAL = 6


def _sized(path, number):
    return crowd.sized(path, BODY_BYTES, is_whole=number % WHOLE_INTERVAL == 0)


def _chunked(path, number, size, chunk_bytes):
    return crowd.chunked(
        path, size, chunk_bytes, is_whole=number % WHOLE_INTERVAL == 0
    )


def _whole(path, number):
    return crowd.sized(path, BODY_BYTES // 2, is_whole=True)


def _pipeline(path, number):
    for _ in range(32):
        yield from crowd.sized(path, BODY_BYTES // 8, is_whole=True)


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
}


@pytest.mark.parametrize("path", ["/near/", "/far/"])
@pytest.mark.parametrize("case", CROWDS)
async def test_a_crowd_leaves_the_node_alive(case, path):
    """Guards against a process that ends for lack of memory (LOST).

    With the path of the far upstream, the node beside it must hold as well.
    """
    count, pieces_of = CROWDS[case]
    async with crowd.start_mesh(
        memory_mb=MEMORY_MB,
        descriptors=FILE_DESCRIPTORS,
        body_bytes=BODY_BYTES,
        seconds=UPSTREAM_SECONDS,
    ) as mesh:
        await mesh.crowd(count, functools.partial(pieces_of, path))
        assert await mesh.send_ordinary(path, b"12345") == b"5"
        mesh.check()


async def test_bodies_that_the_entry_node_takes_leave_the_owner_alive():
    """Guards against an owner node that ends under bodies of larger hosts."""
    async with crowd.start_mesh(
        memory_mb=MEMORY_MB,
        entry_mb=600,
        descriptors=FILE_DESCRIPTORS,
        body_bytes=BODY_BYTES,
        seconds=UPSTREAM_SECONDS,
    ) as mesh:
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
