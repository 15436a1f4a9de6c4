"""Orders costly work of many connections, so that it delays no other task.

Responds to crowds of clients whose bytes take processor time to decode, such
as bodies in very small chunks. No network is needed.
"""

import heapq
import itertools

import trio

# Less work than this needs no turn.
SMALL_WORK_BYTES = 4 * 1024


class TurnQueue:
    """Lets one connection at a time do costly work, the least served first.

    All other tasks run between two turns.

    Examples
    --------
    >>> async def main():
    ...     turns = TurnQueue()
    ...     done = []
    ...
    ...     async def work(served_bytes):
    ...         await turns.take(served_bytes)
    ...         done.append(served_bytes)
    ...         await turns.release()
    ...
    ...     await turns.take(0)
    ...     async with trio.open_nursery() as nursery:
    ...         for served_bytes in (30_000, 20_000, 0):
    ...             nursery.start_soon(work, served_bytes)
    ...         await trio.testing.wait_all_tasks_blocked()
    ...         await turns.release()
    ...     return done
    >>> import trio.testing
    >>> trio.run(main)
    [0, 20000, 30000]
    """

    def __init__(self):
        self._waiting = []
        self._is_taken = False
        self._numbers = itertools.count()

    async def take(self, served_bytes):
        """Wait for a turn.

        Parameters
        ----------
        served_bytes : int
            Work that was done for the connection before, in bytes.
        """
        if not self._is_taken:
            self._is_taken = True
            return
        granted = trio.Event()
        entry = (served_bytes, next(self._numbers), granted)
        heapq.heappush(self._waiting, entry)
        try:
            await granted.wait()
        except trio.Cancelled:
            if granted.is_set():
                # The turn came after the cancellation, in the same pass.
                self._pass_on()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    async def release(self):
        """Let all other tasks run, then end the turn."""
        try:
            await trio.lowlevel.checkpoint()
        finally:
            self._pass_on()

    def _pass_on(self):
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._is_taken = False
