"""Time from the first sight of a version to its being in force."""

import collections

import trio

# Heads that are waited for; more means that none of them is accepted.
MAXIMUM_HEADS = 16


class ConvergenceTimer:
    """Remembers when heads were seen first.

    Examples
    --------
    >>> from shallotbridge.core import model
    >>> async def main():
    ...     timer = ConvergenceTimer()
    ...     head = model.HeadReference(version=1, digest=b"d")
    ...     timer.on_seen(head)
    ...     return timer.on_in_force(head) >= 0
    >>> trio.run(main)
    True
    """

    def __init__(self):
        self.last_seconds = None
        self._in_force = None
        self._times_by_head = collections.OrderedDict()

    def on_seen(self, head):
        """Note that the platform or a peer has a head."""
        if self._in_force is not None and head <= self._in_force:
            return
        if head.version and head not in self._times_by_head:
            self._times_by_head[head] = trio.current_time()
            if len(self._times_by_head) > MAXIMUM_HEADS:
                self._times_by_head.popitem(last=False)

    def on_in_force(self, head):
        """Return the seconds since the head was seen first, or None."""
        seen_at = self._times_by_head.get(head)
        self._in_force = head
        self._times_by_head = collections.OrderedDict(
            (other, time)
            for other, time in self._times_by_head.items()
            if other > head
        )
        if seen_at is None:
            return None
        self.last_seconds = trio.current_time() - seen_at
        return self.last_seconds
