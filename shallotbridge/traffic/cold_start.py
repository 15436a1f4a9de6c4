"""Rate limit for requests to an upstream that has just started."""

import collections
import math

WINDOW_SECONDS = 1.0
# Requests may reach the upstream this much closer together than they were
# sent, so the window is extended by it.
_JITTER_SECONDS = 0.05
EXTENDED_WINDOW_SECONDS = WINDOW_SECONDS + _JITTER_SECONDS


class ColdStartLimiter:
    """Sliding-window rate limit for requests to a cold upstream.

    Attributes
    ----------
    rate : float
        Requests per second that a cold upstream may get.
    """

    def __init__(self):
        self._sent = collections.deque()
        self._cold_until = -math.inf
        self._shared_until = -math.inf
        self._shared_rate = math.inf
        self.rate = math.inf

    def share_with_predecessor(self, until, rate):
        """Limit the rate further while the window reaches back too far.

        A process that has just started does not know what its predecessor
        sent in the last moments before its own start.

        Parameters
        ----------
        until : float
            Time from which the window begins after the own start.
        rate : float
            What the predecessor has surely left of the bound.
        """
        self._shared_until = until
        self._shared_rate = rate

    def end_sharing(self):
        """Use the whole rate: the predecessor sent nothing to this upstream.

        So it is if the cold start began after the predecessor had ended.
        """
        self._shared_until = -math.inf

    def begin(self, now, seconds, rate):
        """Limit the rate for a time in seconds.

        A limit that is already active is never shortened.
        """
        if seconds > 0 and rate > 0:
            self._cold_until = max(self._cold_until, now + seconds)
            self.rate = rate

    def set_remaining(self, now, seconds, rate):
        """Set the remaining time, in seconds, that the upstream reports."""
        self.rate = rate if rate > 0 else math.inf
        self._cold_until = now + seconds if seconds > 0 else -math.inf

    def is_cold(self, now):
        """Return whether the limit is active."""
        return now < self._cold_until

    def on_sent(self, now):
        """Count a sent request.

        Requests are also counted while the upstream is warm, so that the
        limit is right from the start if it becomes cold without notice.
        """
        sent = self._sent
        sent.append(now)
        window_start = now - EXTENDED_WINDOW_SECONDS
        while sent[0] <= window_start:
            sent.popleft()

    def on_written(self, granted_at, now):
        """Count a request as sent when it is written to the upstream.

        The upstream counts arrivals. A request that waits for a connection,
        or for processor time, arrives long after it got its slot.

        Parameters
        ----------
        granted_at : float
            Time with which it was counted by ``on_sent``.
        now : float
        """
        try:
            self._sent.remove(granted_at)
        except ValueError:
            # It was sent before on a connection that turned out to be closed,
            # or it has left the window.
            pass
        self._sent.append(now)

    def sent_count(self, now):
        """Return the number of requests sent in the last window."""
        window_start = now - EXTENDED_WINDOW_SECONDS
        sent = self._sent
        while sent and sent[0] <= window_start:
            sent.popleft()
        return len(sent)

    def seconds_until_allowed(self, now):
        """Return how long the next request must wait, in seconds."""
        if now >= self._cold_until:
            return 0.0
        allowed = max(1, int(self.rate))
        if now < self._shared_until:
            shared = max(1, int(self._shared_rate))
            if self.sent_count(now) >= shared:
                return min(
                    self._shared_until - now, self._seconds_until(shared, now)
                )
        return self._seconds_until(allowed, now)

    def _seconds_until(self, allowed, now):
        """Return the time until the window has less than so many, seconds."""
        count = self.sent_count(now)
        if count < allowed:
            return 0.0
        window_start = now - EXTENDED_WINDOW_SECONDS
        return self._sent[count - allowed] - window_start
