"""Detection of pauses of the process, after which knowledge is stale."""

import time

import trio

from . import decisions

INTERVAL_SECONDS = 0.25
MAXIMUM_GAP_SECONDS = 1.0


class PauseDetector:
    """Synchronizes once after a pause, before new work starts.

    Parameters
    ----------
    sync_once : callable
        ``await sync_once(timeout)``, bounded by the timeout in seconds.
    clock : callable
        Monotonic time in seconds; not trio's clock, which tests drive.
    interval : float
        Time between the wake-ups whose gap is measured, seconds.
    maximum_gap : float
        Gap that counts as a pause, and bound of the synchronization,
        seconds.

    Attributes
    ----------
    pause_count : int
    """

    def __init__(
        self,
        *,
        sync_once,
        clock=time.monotonic,
        interval=INTERVAL_SECONDS,
        maximum_gap=MAXIMUM_GAP_SECONDS,
    ):
        self.pause_count = 0
        self._sync_once = sync_once
        self._clock = clock
        self._interval = interval
        self._maximum_gap = maximum_gap
        self._last_wake = None
        self._paused = trio.Event()
        self._fresh = trio.Event()
        self._fresh.set()

    async def run(self):
        """Measure the gaps between wake-ups until cancelled."""
        self._last_wake = self._clock()
        try:
            while True:
                with trio.move_on_after(self._interval):
                    await self._paused.wait()
                self._measure()
                if self._paused.is_set():
                    await self._refresh()
        finally:
            # Without the task nobody would wake the waiters.
            self._last_wake = None
            self._fresh.set()

    async def wait_fresh(self):
        """Return at once, or after a pause when one Sync was made.

        To be called immediately before new work starts.
        """
        if self._last_wake is None:
            return
        if self._fresh.is_set():
            if self._clock() - self._last_wake <= self._maximum_gap:
                return
            # New work came before the task's own wake-up.
            self._measure()
        await self._fresh.wait()

    def _measure(self):
        now = self._clock()
        gap = now - self._last_wake
        self._last_wake = now
        if gap > self._maximum_gap:
            self.pause_count += 1
            self._paused.set()
            if self._fresh.is_set():
                self._fresh = trio.Event()
            decisions.record(
                "pause_detected",
                gap_seconds=round(gap, 3),
                reason="synchronizing once before new work",
            )

    async def _refresh(self):
        self._paused = trio.Event()
        with trio.move_on_after(self._maximum_gap):
            await self._sync_once(self._maximum_gap)
        now = self._clock()
        if now - self._last_wake > 2 * self._maximum_gap:
            # The process was paused again during the synchronization.
            self._measure()
        else:
            self._last_wake = now
            self._fresh.set()
