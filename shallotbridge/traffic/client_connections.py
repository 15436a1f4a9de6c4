"""Serves client connections and runs pipelined requests concurrently."""

import math

import trio

from ..core import errors
from ..core import http1
from ..core import http1_encoding

# Maximum concurrent requests of one connection. At this number, reading pauses
# until all of them are answered.
MAXIMUM_PIPELINED_REQUESTS = 32
# A client that does not read its response is disconnected after this time.
SEND_TIMEOUT_SECONDS = 10.0
# Clients reuse a connection up to its idle timeout. The server closes it this
# much later, so that it does not close one that a client is about to use.
IDLE_MARGIN_SECONDS = 1.0
# Idle timeout while draining. It is not 0 because a request may be in transit.
DRAIN_IDLE_TIMEOUT_SECONDS = 1.5


class ClientConnections:
    """Serves client connections.

    Parameters
    ----------
    handle_request : callable
        ``await handle_request(request)`` returns the response. The call is
        cancelled when the client closes the connection.
    handle_framing_error : callable
        ``handle_framing_error(error)`` returns the response to a request that
        raised a ``FramingError``.
    read_limits : callable
        Returns the current ``model.ClientLimits``.
    """

    def __init__(self, *, handle_request, handle_framing_error, read_limits):
        self._handle_request = handle_request
        self._handle_framing_error = handle_framing_error
        self._read_limits = read_limits
        self._connections = set()
        self._is_draining = False
        self.in_flight_count = 0
        self.connection_count = 0

    async def handle(self, stream):
        """Serve a connection until it is closed by either side."""
        self.connection_count += 1
        limits = self._read_limits()
        connection = _Connection(
            stream=stream,
            reader=http1.RequestReader(
                stream=stream,
                maximum_head_bytes=limits.maximum_head_bytes,
                maximum_body_bytes=limits.maximum_body_bytes,
                head_timeout_seconds=limits.head_timeout_seconds,
            ),
        )
        self._connections.add(connection)
        try:
            async with trio.open_nursery() as nursery:
                await self._read_requests(connection, nursery)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client closed the connection, so there is no one to answer.
            pass
        finally:
            self.connection_count -= 1
            self._connections.discard(connection)
            stream.close()

    async def _read_requests(self, connection, nursery):
        """Read requests and start a task for each until the connection ends.

        Reading continues while requests are served, so that a disconnect of
        the client is detected at once.
        """
        reader = connection.reader
        previous_done = trio.Event()
        previous_done.set()
        while True:
            if not await self._wait_for_request(connection):
                # The client has disconnected, or the connection was idle.
                nursery.cancel_scope.cancel()
                return
            try:
                request = await reader.read()
            except errors.FramingError as error:
                await previous_done.wait()
                await self._send_error_response(error, connection.stream)
                nursery.cancel_scope.cancel()
                return
            is_last = not reader.is_persistent or self._is_draining
            done = trio.Event()
            connection.in_flight += 1
            nursery.start_soon(
                self._serve_request,
                request,
                connection,
                previous_done,
                done,
                is_last,
            )
            previous_done = done
            if is_last:
                await self._wait_for_last_answer(
                    reader, previous_done, nursery
                )
                await http1.discard_input(connection.stream)
                return
            if connection.in_flight >= MAXIMUM_PIPELINED_REQUESTS:
                await previous_done.wait()

    async def _wait_for_request(self, connection):
        with trio.CancelScope() as scope:
            connection.idle_scope = scope
            self._update_idle_deadline(connection)
            try:
                return await connection.reader.wait_request()
            finally:
                connection.idle_scope = None
        return False

    def _update_idle_deadline(self, connection):
        """Set the idle timeout if no request is in flight, or remove it."""
        if connection.idle_scope is None:
            return
        if connection.in_flight:
            connection.idle_scope.deadline = math.inf
            return
        seconds = (
            self._read_limits().idle_timeout_seconds + IDLE_MARGIN_SECONDS
        )
        if self._is_draining:
            seconds = DRAIN_IDLE_TIMEOUT_SECONDS
        connection.idle_scope.deadline = trio.current_time() + seconds

    async def _wait_for_last_answer(self, reader, done, nursery):
        """Wait until the last response is sent or the client disconnects."""

        async def watch_client():
            if await reader.wait_request():
                # Bytes after the last request are not read as a request.
                await done.wait()
            else:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as watch_nursery:
            watch_nursery.start_soon(watch_client)
            await done.wait()
            watch_nursery.cancel_scope.cancel()

    async def _serve_request(
        self, request, connection, previous_done, done, is_last
    ):
        self.in_flight_count += 1
        stream = connection.stream
        try:
            response = await self._handle_request(request)
            await previous_done.wait()
            data = http1_encoding.encode_response(
                response, method=request.method, is_persistent=not is_last
            )
            sent = stream.send_nowait(data)
            if sent < len(data):
                with trio.fail_after(SEND_TIMEOUT_SECONDS):
                    await stream.send_all(memoryview(data)[sent:])
        except trio.TooSlowError as error:
            raise trio.BrokenResourceError(
                "the client did not read the response for "
                f"{SEND_TIMEOUT_SECONDS} s"
            ) from error
        finally:
            self.in_flight_count -= 1
            connection.in_flight -= 1
            self._update_idle_deadline(connection)
            done.set()

    async def _send_error_response(self, error, stream):
        data = http1_encoding.encode_response(
            self._handle_framing_error(error), is_persistent=False
        )
        with trio.move_on_after(SEND_TIMEOUT_SECONDS):
            await stream.send_all(data)
            await http1.discard_input(stream)

    def begin_drain(self):
        """Close each connection after its next response, or soon if idle."""
        self._is_draining = True
        for connection in self._connections:
            self._update_idle_deadline(connection)


class _Connection:
    """State of a client connection.

    Attributes
    ----------
    in_flight : int
        Number of requests that were read and not answered yet.
    idle_scope : trio.CancelScope or None
        Cancel scope of the wait for the next request.
    """

    __slots__ = ("stream", "reader", "in_flight", "idle_scope")

    def __init__(self, *, stream, reader):
        self.stream = stream
        self.reader = reader
        self.in_flight = 0
        self.idle_scope = None
