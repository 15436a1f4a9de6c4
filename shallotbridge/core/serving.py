"""The loop that serves the requests of one connection."""

import math

import trio

from . import errors
from . import http1
from . import http1_encoding

# A client that does not read its answer is disconnected after this time.
SEND_SECONDS = 30.0
# A client may be writing a request to an idle connection at the moment of a
# drain. Closing it at once would cut that request off.
DRAIN_IDLE_SECONDS = 1.0


class ConnectionServer:
    """Serves connections with one request at a time on each, and drains.

    Parameters
    ----------
    answer : callable
        ``await answer(request)`` returns a response and a closure that is
        called after the response went out. It is cancelled when the
        client closes the connection.
    refuse : callable
        ``refuse(error)`` returns the response to a request that raised a
        ``FramingError``.
    """

    def __init__(self, *, answer, refuse):
        self._answer = answer
        self._refuse = refuse
        self._idle_scopes = set()
        self._became_idle = trio.Event()
        self._is_draining = False
        self._idle_deadline = math.inf
        self.busy_count = 0
        self.connection_count = 0

    async def handle(self, stream):
        """Serve a connection until either side closes it.

        One cancel scope ends the connection when it is idle for too long,
        when a drain finds it idle, and when the transport reports that the
        client hung up. A scope for each of these would cost more than the
        parsing of a request.
        """
        reader = http1.RequestReader(stream=stream)
        self.connection_count += 1
        try:
            with trio.CancelScope() as scope:
                watch = getattr(stream, "cancel_on_disconnect", None)
                if watch is not None:
                    watch(scope)
                while await self._wait_request(reader, scope):
                    self.busy_count += 1
                    try:
                        is_kept = await self._serve_one(
                            reader, stream, watch is not None
                        )
                    finally:
                        self.busy_count -= 1
                    if not is_kept:
                        return
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client closed the connection; nobody reads an answer. An
            # answer that is sent beside the watch fails in a group.
            pass
        finally:
            self.connection_count -= 1
            if not self.connection_count:
                self._became_idle.set()
            await trio.aclose_forcefully(stream)

    async def _wait_request(self, reader, scope):
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
                self._refuse(error), is_persistent=False
            )
            with trio.move_on_after(SEND_SECONDS):
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
        """Answer a request; return whether the connection is kept.

        The answer is sent while the client is still being watched, so that
        ending the watch adds nothing to the latency.
        """
        response, finish = await self._answer(request)
        try:
            is_kept = reader.is_persistent and not self._is_draining
            data = http1_encoding.encode_response(
                response, method=request.method, is_persistent=is_kept
            )
            send_nowait = getattr(stream, "send_nowait", None)
            sent = 0 if send_nowait is None else send_nowait(data)
            if sent < len(data):
                with trio.move_on_after(SEND_SECONDS) as scope:
                    await stream.send_all(memoryview(data)[sent:])
                return is_kept and not scope.cancelled_caught
            return is_kept
        finally:
            finish()

    def begin_drain(self):
        """End each connection after its next answer, or soon if idle."""
        self._is_draining = True
        self._idle_deadline = trio.current_time() + DRAIN_IDLE_SECONDS
        for scope in self._idle_scopes:
            scope.deadline = self._idle_deadline

    async def wait_idle(self):
        """Wait until a drain has ended all connections."""
        while self.connection_count:
            self._became_idle = trio.Event()
            await self._became_idle.wait()
