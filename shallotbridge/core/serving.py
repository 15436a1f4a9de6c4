"""The loop that serves the requests of one connection."""

import trio

from . import errors
from . import http1

# A client that does not read its answer is disconnected after this time.
SEND_SECONDS = 30.0


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
        self.busy_count = 0

    async def handle(self, stream):
        """Serve a connection until either side closes it."""
        reader = http1.RequestReader(stream=stream)
        try:
            while await self._wait_request(reader):
                self.busy_count += 1
                try:
                    is_kept = await self._serve_one(reader, stream)
                finally:
                    self.busy_count -= 1
                    if not self.busy_count:
                        self._became_idle.set()
                if not is_kept:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client closed the connection; nobody reads an answer.
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _wait_request(self, reader):
        if self._is_draining:
            return False
        has_request = False
        with trio.move_on_after(http1.IDLE_SECONDS) as scope:
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
        return bool(
            await reader.run_while_open(self._respond, request, reader, stream)
        )

    async def _respond(self, request, reader, stream):
        """Answer a request; return whether the connection is kept.

        The answer is sent while the client is still being watched, so that
        ending the watch adds nothing to the latency.
        """
        response, finish = await self._answer(request)
        try:
            is_kept = reader.is_persistent and not self._is_draining
            data = http1.encode_response(
                response, method=request.method, is_persistent=is_kept
            )
            with trio.move_on_after(SEND_SECONDS):
                await stream.send_all(data)
                return is_kept
            return False
        finally:
            finish()

    def begin_drain(self):
        """Close idle connections, and each other one after its answer."""
        self._is_draining = True
        for scope in self._idle_scopes:
            scope.cancel()

    async def wait_idle(self):
        """Wait until no request is being served."""
        while self.busy_count:
            self._became_idle = trio.Event()
            await self._became_idle.wait()
