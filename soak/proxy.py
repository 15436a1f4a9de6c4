"""A loopback proxy that harms the connections that pass through it."""

import trio

_CHUNK_BYTES = 65536
# While bytes are held back, the proxy looks this often whether it is over, s.
_POLL_SECONDS = 0.02


class Proxy:
    """Passes connections to one address on.

    Attributes
    ----------
    delay_seconds : float
        Added to each piece, in both directions.
    is_silent_to, is_silent_from : bool
        Whether bytes to, and from, the address are held back.
    """

    def __init__(self, *, address, port):
        self._target = (address, port)
        self._scopes = set()
        self.delay_seconds = 0.0
        self.is_silent_to = False
        self.is_silent_from = False

    async def handle(self, stream):
        """Serve one connection."""
        try:
            target = await trio.open_tcp_stream(*self._target)
        except OSError:
            # Nobody listens; the caller sees a closed connection.
            return
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                async with target, trio.open_nursery() as nursery:
                    nursery.start_soon(self._pass, stream, target, "to")
                    nursery.start_soon(self._pass, target, stream, "from")
            finally:
                self._scopes.discard(scope)

    async def _pass(self, source, sink, direction):
        try:
            while True:
                data = await source.receive_some(_CHUNK_BYTES)
                if self.delay_seconds:
                    await trio.sleep(self.delay_seconds)
                while getattr(self, f"is_silent_{direction}"):
                    await trio.sleep(_POLL_SECONDS)
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side closed; the other is closed with the task group.
            self._cancel_current()

    def _cancel_current(self):
        trio.lowlevel.current_task().parent_nursery.cancel_scope.cancel()

    def reset(self):
        """Close all connections at once."""
        for scope in list(self._scopes):
            scope.cancel()
