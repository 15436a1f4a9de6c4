"""Serving of HTTP/1 connections."""

import math

import trio

from . import errors
from . import http1
from . import http1_encoding

# A client that does not read a response within this time is disconnected.
SEND_TIMEOUT_SECONDS = 30.0
# A drain keeps idle connections open for this long. Closing them at once would
# cut off requests that clients are sending at that moment.
DRAIN_GRACE_SECONDS = 1.0


class ConnectionServer:
    """Serves connections, one request at a time on each, and drains them.

    Parameters
    ----------
    handle_request : callable
        ``await handle_request(request)`` returns a response and a callback,
        which is called after the response was sent. It is cancelled when the
        client disconnects.
    handle_framing_error : callable
        ``handle_framing_error(error)`` returns the response to a request that
        raised an ``errors.FramingError``.

    Attributes
    ----------
    in_flight_count : int
        Number of requests in flight.
    connection_count : int
        Number of open connections.
    """

    def __init__(self, *, handle_request, handle_framing_error):
        self._handle_request = handle_request
        self._handle_framing_error = handle_framing_error
        self._idle_scopes = set()
        self._all_closed = trio.Event()
        self._is_draining = False
        self._idle_deadline = math.inf
        self.in_flight_count = 0
        self.connection_count = 0

    async def handle(self, stream):
        """Serve a connection until either side closes it.

        One cancel scope ends the connection when it is idle for too long,
        when it is idle in a drain, and when the transport reports that the
        client disconnected. Separate scopes would cost more than parsing a
        request.
        """
        reader = http1.RequestReader(stream=stream)
        self.connection_count += 1
        try:
            with trio.CancelScope() as scope:
                watch = getattr(stream, "cancel_on_disconnect", None)
                if watch is not None:
                    watch(scope)
                while await self._wait_for_request(reader, scope):
                    self.in_flight_count += 1
                    try:
                        is_kept = await self._serve_one(
                            reader, stream, watch is not None
                        )
                    finally:
                        self.in_flight_count -= 1
                    if not is_kept:
                        return
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client closed the connection and reads no response. An error
            # of a send while another task detects disconnects is raised in an
            # exception group.
            pass
        finally:
            self.connection_count -= 1
            if not self.connection_count:
                self._all_closed.set()
            await trio.aclose_forcefully(stream)

    async def _wait_for_request(self, reader, scope):
        scope.deadline = min(
            trio.current_time() + http1.IDLE_TIMEOUT_SECONDS,
            self._idle_deadline,
        )
        self._idle_scopes.add(scope)
        try:
            return await reader.wait_request()
        finally:
            self._idle_scopes.discard(scope)
            scope.deadline = math.inf

    async def _serve_one(self, reader, stream, is_watched):
        try:
            request = await reader.read()
        except errors.FramingError as error:
            data = http1_encoding.encode_response(
                self._handle_framing_error(error), is_persistent=False
            )
            with trio.move_on_after(SEND_TIMEOUT_SECONDS):
                await stream.send_all(data)
                await http1.discard_input(stream)
            return False
        if is_watched:
            return await self._respond(request, reader, stream)
        return bool(
            await reader.run_until_disconnect(
                self._respond, request, reader, stream
            )
        )

    async def _respond(self, request, reader, stream):
        """Respond to a request; return whether the connection is kept.

        The response is sent before the detection of disconnects ends, so that
        ending it adds nothing to the latency.
        """
        response, finish = await self._handle_request(request)
        try:
            is_kept = reader.is_persistent and not self._is_draining
            data = http1_encoding.encode_response(
                response, method=request.method, is_persistent=is_kept
            )
            send_nowait = getattr(stream, "send_nowait", None)
            sent = 0 if send_nowait is None else send_nowait(data)
            if sent < len(data):
                with trio.move_on_after(SEND_TIMEOUT_SECONDS) as scope:
                    await stream.send_all(memoryview(data)[sent:])
                return is_kept and not scope.cancelled_caught
            return is_kept
        finally:
            finish()

    def begin_drain(self):
        """Close each connection after its next response, or soon if idle."""
        self._is_draining = True
        self._idle_deadline = trio.current_time() + DRAIN_GRACE_SECONDS
        for scope in self._idle_scopes:
            scope.deadline = self._idle_deadline

    async def wait_idle(self):
        """Wait until a drain has closed all connections."""
        while self.connection_count:
            self._all_closed = trio.Event()
            await self._all_closed.wait()
