"""The log of admissions, which a task writes beside the requests."""

import collections
import itertools

import trio

MAXIMUM_UNWRITTEN_LINES = 10_000


class AdmissionLog:
    """Lines of the decision log that wait to be written.

    Parameters
    ----------
    record : callable
        Writes a line of the decision log.
    """

    def __init__(self, *, record):
        self._record = record
        self._lines = collections.deque()
        self._lost_lines = 0
        self._has_lines = trio.Event()

    def add(self, **fields):
        """Queue one line; it is counted as lost if too many wait."""
        if len(self._lines) >= MAXIMUM_UNWRITTEN_LINES:
            self._lost_lines += 1
            return
        self._lines.append(fields)
        self._has_lines.set()

    async def run(self):
        """Write the lines until cancelled, and then the remaining ones."""
        try:
            while True:
                await self._has_lines.wait()
                self._has_lines = trio.Event()
                while self._lines:
                    # One line between two turns of the scheduler, so that
                    # a batch of lines does not hold up requests.
                    self._flush(1)
                    await trio.lowlevel.checkpoint()
        finally:
            self.close()

    def close(self):
        """Write the remaining lines."""
        self._flush(len(self._lines))

    def _flush(self, count):
        for line in itertools.islice(iter(self._pop, None), count):
            self._record("admit", **line)
        if self._lost_lines and not self._lines:
            self._record("admit_lines_lost", count=self._lost_lines)
            self._lost_lines = 0

    def _pop(self):
        return self._lines.popleft() if self._lines else None
