"""Serves the connections of clients, with pipelined requests in parallel."""

import math

import trio

from ..core import errors
from ..core import http1
from ..core import http1_encoding

# Requests of one connection that are served at the same time; a client that
# sends more waits.
MAXIMUM_PIPELINED = 32
# A client that does not read its answer is disconnected after this time, s.
SEND_SECONDS = 10.0
# A connection stays open for this much longer than clients use idle ones, s.
IDLE_MARGIN_SECONDS = 1.0
# While draining, an idle connection is closed after this time, s, since a
# request may be on its way.
DRAIN_IDLE_SECONDS = 1.5


class ClientConnections:
    """Serves the connections of clients.

    Parameters
    ----------
    answer : callable
        ``await answer(request)`` returns the response. It is cancelled when
        the client closes the connection.
    refuse : callable
        ``refuse(error)`` returns the response to a request that raised a
        ``FramingError``.
    read_limits : callable
        Returns the ``model.ClientLimits`` in force.
    """

    def __init__(self, *, answer, refuse, read_limits):
        self._answer = answer
        self._refuse = refuse
        self._read_limits = read_limits
        self._connections = set()
        self._is_draining = False
        self.busy_count = 0
        self.connection_count = 0

    async def handle(self, stream):
        """Serve a connection until either side closes it."""
        self.connection_count += 1
        limits = self._read_limits()
        connection = _Connection(
            stream=stream,
            reader=http1.RequestReader(
                stream=stream,
                maximum_head_bytes=limits.maximum_head_bytes,
                maximum_body_bytes=limits.maximum_body_bytes,
                head_seconds=limits.head_seconds,
            ),
        )
        self._connections.add(connection)
        try:
            async with trio.open_nursery() as nursery:
                await self._read_requests(connection, nursery)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client closed the connection; nobody reads an answer.
            pass
        finally:
            self.connection_count -= 1
            self._connections.discard(connection)
            stream.close()

    async def _read_requests(self, connection, nursery):
        """Read requests and start a task for each until the connection ends.

        Reading goes on while requests are served, so that a client that
        leaves is noticed at once.
        """
        reader = connection.reader
        turn = trio.Event()
        turn.set()
        while True:
            if not await self._wait_request(connection):
                # The client has left, or the connection was idle.
                nursery.cancel_scope.cancel()
                return
            try:
                request = await reader.read()
            except errors.FramingError as error:
                await turn.wait()
                await self._send_refusal(error, connection.stream)
                nursery.cancel_scope.cancel()
                return
            is_last = not reader.is_persistent or self._is_draining
            next_turn = trio.Event()
            connection.in_flight += 1
            nursery.start_soon(
                self._serve, request, connection, turn, next_turn, is_last
            )
            turn = next_turn
            if is_last:
                await self._watch_until(reader, turn, nursery)
                await http1.linger(connection.stream)
                return
            if connection.in_flight >= MAXIMUM_PIPELINED:
                await turn.wait()

    async def _wait_request(self, connection):
        with trio.CancelScope() as scope:
            connection.idle_scope = scope
            self._limit_idle(connection)
            try:
                return await connection.reader.wait_request()
            finally:
                connection.idle_scope = None
        return False

    def _limit_idle(self, connection):
        """Bound the wait for the next request while none is in flight."""
        if connection.idle_scope is None:
            return
        if connection.in_flight:
            connection.idle_scope.deadline = math.inf
            return
        seconds = self._read_limits().idle_seconds + IDLE_MARGIN_SECONDS
        if self._is_draining:
            seconds = DRAIN_IDLE_SECONDS
        connection.idle_scope.deadline = trio.current_time() + seconds

    async def _watch_until(self, reader, turn, nursery):
        """Wait for the last answer, or until the client leaves."""

        async def watch():
            if await reader.wait_request():
                # Bytes behind the last request are not read as one.
                await turn.wait()
            else:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as watcher:
            watcher.start_soon(watch)
            await turn.wait()
            watcher.cancel_scope.cancel()

    async def _serve(self, request, connection, turn, next_turn, is_last):
        self.busy_count += 1
        stream = connection.stream
        try:
            response = await self._answer(request)
            await turn.wait()
            data = http1_encoding.encode_response(
                response, method=request.method, is_persistent=not is_last
            )
            sent = stream.send_now(data)
            if sent < len(data):
                with trio.fail_after(SEND_SECONDS):
                    await stream.send_all(memoryview(data)[sent:])
        except trio.TooSlowError as error:
            raise trio.BrokenResourceError(
                f"the client did not read for {SEND_SECONDS} s"
            ) from error
        finally:
            self.busy_count -= 1
            connection.in_flight -= 1
            self._limit_idle(connection)
            next_turn.set()

    async def _send_refusal(self, error, stream):
        data = http1_encoding.encode_response(
            self._refuse(error), is_persistent=False
        )
        with trio.move_on_after(SEND_SECONDS):
            await stream.send_all(data)
            await http1.linger(stream)

    def begin_drain(self):
        """End each connection after its next answer, or soon if idle."""
        self._is_draining = True
        for connection in self._connections:
            self._limit_idle(connection)


class _Connection:
    """One client's connection.

    Attributes
    ----------
    in_flight : int
        Requests that are read and not answered.
    idle_scope : trio.CancelScope or None
        Bounds the wait for the next request.
    """

    __slots__ = ("stream", "reader", "in_flight", "idle_scope")

    def __init__(self, *, stream, reader):
        self.stream = stream
        self.reader = reader
        self.in_flight = 0
        self.idle_scope = None
