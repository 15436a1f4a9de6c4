"""Log of admissions, written by a background task."""

import collections
import itertools

import trio

MAXIMUM_QUEUED_ENTRIES = 10_000


class AdmissionLog:
    """Queue of entries for the decision log.

    Parameters
    ----------
    record : callable
        ``record(action, **fields)`` writes an entry of the decision log.
    """

    def __init__(self, *, record):
        self._record = record
        self._entries = collections.deque()
        self._dropped_count = 0
        self._has_entries = trio.Event()

    def add(self, **fields):
        """Queue an entry, or drop and count it if the queue is full."""
        if len(self._entries) >= MAXIMUM_QUEUED_ENTRIES:
            self._dropped_count += 1
            return
        self._entries.append(fields)
        self._has_entries.set()

    async def run(self):
        """Write queued entries until cancelled, then the remaining ones."""
        try:
            while True:
                await self._has_entries.wait()
                self._has_entries = trio.Event()
                while self._entries:
                    # Other tasks run after each entry, so that a batch of
                    # entries does not delay requests.
                    self._flush(1)
                    await trio.lowlevel.checkpoint()
        finally:
            self.close()

    def close(self):
        """Write the remaining entries."""
        self._flush(len(self._entries))

    def _flush(self, count):
        for entry in itertools.islice(iter(self._pop, None), count):
            self._record("admit", **entry)
        if self._dropped_count and not self._entries:
            self._record("admit_lines_lost", count=self._dropped_count)
            self._dropped_count = 0

    def _pop(self):
        return self._entries.popleft() if self._entries else None
