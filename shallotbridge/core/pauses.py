"""Detection of pauses of the own process, as by a stopped virtual machine.

A process that resumes acts on stale knowledge. It therefore asks its peers
once before it starts new work.
"""

import trio

from . import decisions
from . import errors

TICK_SECONDS = 0.25
PAUSE_SECONDS = 1.0
SYNC_SECONDS = 1.0


class PauseGuard:
    """Holds new work back after a pause until one Sync has ended.

    Parameters
    ----------
    sync_once : callable
        ``await sync_once()`` asks peers for what is newer.
    """

    def __init__(self, *, sync_once):
        self.pause_count = 0
        self._sync_once = sync_once
        self._last_tick = trio.current_time()
        self._is_catching_up = False
        self._is_running = False
        self._caught_up = trio.Event()

    def _has_paused(self):
        return trio.current_time() - self._last_tick > PAUSE_SECONDS

    async def wait_current(self):
        """Return at once, or after a pause when the Sync has ended.

        The gap is measured here as well, because a request may be the first
        task that runs after the pause.
        """
        while self._is_running and (
            self._is_catching_up or self._has_paused()
        ):
            await self._caught_up.wait()

    async def run(self):
        """Measure the gaps between wake-ups until cancelled."""
        self._last_tick = trio.current_time()
        self._is_running = True
        try:
            while True:
                await trio.sleep(TICK_SECONDS)
                gap = trio.current_time() - self._last_tick
                if gap > PAUSE_SECONDS:
                    await self._catch_up(gap)
                self._last_tick = trio.current_time()
                if self._is_catching_up:
                    self._finish()
        finally:
            self._is_running = False
            self._finish()

    async def _catch_up(self, gap):
        self.pause_count += 1
        self._is_catching_up = True
        reason = "peers asked"
        with trio.move_on_after(SYNC_SECONDS) as scope:
            try:
                await self._sync_once()
            except errors.DistributionError as error:
                reason = f"{error.code}: {error}"
        if scope.cancelled_caught:
            reason = "no peer answered in time"
        decisions.record("pause", gap_seconds=round(gap, 3), reason=reason)

    def _finish(self):
        self._is_catching_up = False
        caught_up, self._caught_up = self._caught_up, trio.Event()
        caught_up.set()
