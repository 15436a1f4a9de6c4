"""Test doubles of streams and servers."""

import trio
import trio.testing

from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import model


class ScriptedStream(trio.abc.Stream):
    """Returns the given chunks to its reader and records sent data."""

    def __init__(self, chunks):
        self._chunks = list(chunks)
        self.sent = b""

    async def receive_some(self, max_bytes=None):
        return self._chunks.pop(0) if self._chunks else b""

    async def send_all(self, data):
        self.sent += data

    async def wait_send_all_might_not_block(self):
        pass

    async def aclose(self):
        self._chunks = []


class CountingServer:
    """Accepts in-memory streams and records the requests that it runs.

    ``behave(server, stream, reader)`` serves one connection, which is closed
    when it returns; the default responds to all requests.
    """

    def __init__(self, nursery, behave=None):
        self._nursery = nursery
        self._behave = behave or respond_to_all
        self.requests = []
        self.connections = 0

    async def open_stream(self, address, port):
        client_stream, server_stream = trio.testing.memory_stream_pair()
        self.connections += 1
        self._nursery.start_soon(self._serve, server_stream)
        return client_stream

    async def _serve(self, stream):
        await self._behave(self, stream, http1.RequestReader(stream=stream))
        await stream.aclose()

    async def run(self, reader):
        """Read one request and record it as run."""
        if not await reader.wait_request():
            return None
        request = await reader.read()
        self.requests.append(request)
        return request


async def respond_to_all(server, stream, reader):
    while request := await server.run(reader):
        await stream.send_all(answer_bytes(request))


async def close_during_request(server, stream, reader):
    await stream.receive_some(10)


async def close_after_the_request(server, stream, reader):
    await server.run(reader)


async def close_during_response(server, stream, reader):
    request = await server.run(reader)
    await stream.send_all(answer_bytes(request)[:-1])


async def never_answer(server, stream, reader):
    await server.run(reader)
    assert await stream.receive_some(1) == b""


def answer_bytes(request, status=200, headers=(), body=b"done"):
    """Return an encoded response that echoes the ids of a request."""
    echoed = tuple(
        header
        for header in request.headers
        if header.name in ("x-request-id", "x-shallotbridge-request-id")
    )
    return http1_encoding.encode_response(
        model.Response(status=status, headers=echoed + headers, body=body)
    )
