"""Loopback proxy that injects faults into the connections it forwards."""

import math

import trio

_CHUNK_BYTES = 65536
# Interval at which a stalled direction checks whether it may continue.
_STALL_POLL_SECONDS = 0.02


class Proxy:
    """Forwards connections to one address.

    Attributes
    ----------
    delay_seconds : float
        Delay of each chunk, in both directions.
    is_stalled_to, is_stalled_from : bool
        Whether bytes to, or from, the address are held back.
    watched_at : float
        Time of the last watch that passed, on trio's clock.
    """

    def __init__(self, *, address, port):
        self._target = (address, port)
        self._scopes = set()
        self.delay_seconds = 0.0
        self.is_stalled_to = False
        self.is_stalled_from = False
        self.watched_at = -math.inf

    async def handle(self, stream):
        """Serve one connection."""
        try:
            target = await trio.open_tcp_stream(*self._target)
        except OSError:
            # Nothing listens; returning closes the connection.
            return
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                async with target, trio.open_nursery() as nursery:
                    nursery.start_soon(self._forward, stream, target, "to")
                    nursery.start_soon(self._forward, target, stream, "from")
            finally:
                self._scopes.discard(scope)

    async def _forward(self, source, sink, direction):
        try:
            while True:
                data = await source.receive_some(_CHUNK_BYTES)
                if self.delay_seconds:
                    await trio.sleep(self.delay_seconds)
                while getattr(self, f"is_stalled_{direction}"):
                    await trio.sleep(_STALL_POLL_SECONDS)
                if b"/kv-watch" in data:
                    self.watched_at = trio.current_time()
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side closed; cancelling the nursery closes the other one.
            self._cancel_current()

    def _cancel_current(self):
        trio.lowlevel.current_task().parent_nursery.cancel_scope.cancel()

    def reset(self):
        """Close all connections at once."""
        for scope in list(self._scopes):
            scope.cancel()
