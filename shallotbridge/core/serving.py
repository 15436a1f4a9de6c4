"""The loop that serves the requests of one connection."""

import math

import trio

from . import errors
from . import http1

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
        """Serve a connection until either side closes it."""
        reader = http1.RequestReader(stream=stream)
        self.connection_count += 1
        try:
            while await self._wait_request(reader):
                self.busy_count += 1
                try:
                    is_kept = await self._serve_one(reader, stream)
                finally:
                    self.busy_count -= 1
                if not is_kept:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client closed the connection; nobody reads an answer.
            pass
        finally:
            self.connection_count -= 1
            if not self.connection_count:
                self._became_idle.set()
            await trio.aclose_forcefully(stream)

    async def _wait_request(self, reader):
        has_request = False
        with trio.CancelScope(deadline=self._idle_deadline) as scope:
            self._idle_scopes.add(scope)
            try:
                has_request = await reader.wait_request()
            finally:
                self._idle_scopes.discard(scope)
        return has_request

    async def _serve_one(self, reader, stream):
        try:
            request = await reader.read()
        except errors.FramingError as error:
            data = http1.encode_response(
                self._refuse(error), is_persistent=False
            )
            with trio.move_on_after(SEND_SECONDS):
                await stream.send_all(data)
                await http1.linger(stream)
            return False
        answered = await reader.run_while_open(self._answer, request)
        if answered is None:
            return False
        response, finish = answered
        is_kept = reader.is_persistent and not self._is_draining
        data = http1.encode_response(
            response, method=request.method, is_persistent=is_kept
        )
        is_sent = False
        try:
            with trio.move_on_after(SEND_SECONDS):
                await stream.send_all(data)
                is_sent = True
        finally:
            finish()
        return is_sent and is_kept

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
