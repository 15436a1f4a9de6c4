"""Measures the time from the first sight of a version to its activation."""

import collections

import trio

# Limit of pending heads. If there are more, heads are being published that
# this node does not accept; the oldest are dropped.
MAXIMUM_HEADS = 16


class ConvergenceTimer:
    """Records when heads were first seen, until they are active.

    Attributes
    ----------
    last_convergence_seconds : float or None
        Latest measured time, seconds.

    Examples
    --------
    >>> from shallotbridge.core import model
    >>> async def main():
    ...     timer = ConvergenceTimer()
    ...     head = model.HeadReference(version=1, digest=b"d")
    ...     timer.on_head_seen(head)
    ...     return timer.on_head_active(head) >= 0
    >>> trio.run(main)
    True
    """

    def __init__(self):
        self.last_convergence_seconds = None
        self._active_head = None
        self._first_seen_by_head = collections.OrderedDict()

    def on_head_seen(self, head):
        """Record the time when the platform or a peer first has a head."""
        if self._active_head is not None and head <= self._active_head:
            return
        if head.version and head not in self._first_seen_by_head:
            self._first_seen_by_head[head] = trio.current_time()
            if len(self._first_seen_by_head) > MAXIMUM_HEADS:
                self._first_seen_by_head.popitem(last=False)

    def on_head_active(self, head):
        """Record that a head is active.

        Returns
        -------
        float or None
            Seconds since the head was first seen; None if it was not seen.
        """
        first_seen_at = self._first_seen_by_head.get(head)
        self._active_head = head
        self._first_seen_by_head = collections.OrderedDict(
            (later_head, first_seen)
            for later_head, first_seen in self._first_seen_by_head.items()
            if later_head > head
        )
        if first_seen_at is None:
            return None
        self.last_convergence_seconds = trio.current_time() - first_seen_at
        return self.last_convergence_seconds
