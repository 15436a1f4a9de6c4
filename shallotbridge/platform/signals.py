"""Receives the signals of the process."""

import collections
import contextlib
import signal

import trio


class SignalReceiver:
    """Queues signals from ``start`` on; ignores them from ``close`` on.

    ``trio.open_signal_receiver`` restores the earlier handlers when it ends,
    and raises again what has not been received. A signal that comes during a
    stop would then end the process.

    Parameters
    ----------
    numbers : iterable of signal.Signals
    """

    def __init__(self, *, numbers):
        self._numbers = tuple(numbers)
        self._pending = collections.deque()
        self._token = None
        self._arrived = trio.Event()

    def start(self):
        """Begin to queue signals. Called in the main thread, before trio."""
        for number in self._numbers:
            signal.signal(number, self._on_signal)

    def _on_signal(self, number, frame):
        if number not in self._pending:
            self._pending.append(number)
        if self._token is not None:
            # The event must not be set in the middle of trio's own code. The
            # process still writes its log when the loop has finished.
            with contextlib.suppress(trio.RunFinishedError):
                self._token.run_sync_soon(self._wake, idempotent=True)

    def _wake(self):
        self._arrived.set()

    async def receive(self):
        """Wait for a signal; return its number.

        Signals of one kind that come while one is queued are one.
        """
        self._token = trio.lowlevel.current_trio_token()
        while not self._pending:
            self._arrived = trio.Event()
            # A signal may have come since the condition was checked.
            if not self._pending:
                await self._arrived.wait()
        return signal.Signals(self._pending.popleft())

    def close(self):
        """Ignore the signals until the process has ended."""
        # Unlike a function, this is kept while the interpreter shuts down.
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)
