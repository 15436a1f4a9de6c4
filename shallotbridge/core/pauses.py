"""Detection of process pauses, after which the node's state is stale."""

import time

import trio

from . import decisions

WAKE_INTERVAL_SECONDS = 0.25
MAXIMUM_GAP_SECONDS = 1.0


class PauseDetector:
    """Synchronizes once after a pause, before new requests start.

    Parameters
    ----------
    sync_once : callable
        ``await sync_once(timeout)`` synchronizes within a timeout in seconds.
    clock : callable
        Monotonic time in seconds. Separate from trio's clock, which tests
        replace.
    interval : float
        Time between wake-ups, seconds.
    maximum_gap : float
        A longer gap between wake-ups counts as a pause. Also the timeout of
        the synchronization, seconds.

    Attributes
    ----------
    pause_count : int
        Pauses detected so far.
    """

    def __init__(
        self,
        *,
        sync_once,
        clock=time.monotonic,
        interval=WAKE_INTERVAL_SECONDS,
        maximum_gap=MAXIMUM_GAP_SECONDS,
    ):
        self.pause_count = 0
        self._sync_once = sync_once
        self._clock = clock
        self._interval = interval
        self._maximum_gap = maximum_gap
        self._last_wake_at = None
        self._pause_noticed = trio.Event()
        self._synchronized = trio.Event()
        self._synchronized.set()

    async def run(self):
        """Measure the gaps between wake-ups until cancelled."""
        self._last_wake_at = self._clock()
        try:
            while True:
                with trio.move_on_after(self._interval):
                    await self._pause_noticed.wait()
                self._check_gap()
                if self._pause_noticed.is_set():
                    await self._synchronize()
        finally:
            # No later synchronization would wake the waiting tasks.
            self._last_wake_at = None
            self._synchronized.set()

    async def wait_until_synced(self):
        """Wait for the synchronization after a pause, if one is needed.

        To be called immediately before a new request starts.
        """
        if self._last_wake_at is None:
            return
        if self._synchronized.is_set():
            if self._clock() - self._last_wake_at <= self._maximum_gap:
                return
            # A request arrived before ``run`` woke up after the pause.
            self._check_gap()
        await self._synchronized.wait()

    def _check_gap(self):
        now = self._clock()
        gap = now - self._last_wake_at
        self._last_wake_at = now
        if gap > self._maximum_gap:
            self.pause_count += 1
            self._pause_noticed.set()
            if self._synchronized.is_set():
                self._synchronized = trio.Event()
            decisions.record(
                "pause_detected",
                gap_seconds=round(gap, 3),
                reason="synchronizing once before new work",
            )

    async def _synchronize(self):
        self._pause_noticed = trio.Event()
        with trio.move_on_after(self._maximum_gap):
            await self._sync_once(self._maximum_gap)
        now = self._clock()
        if now - self._last_wake_at > 2 * self._maximum_gap:
            # The process was paused again during the synchronization.
            self._check_gap()
        else:
            self._last_wake_at = now
            self._synchronized.set()
