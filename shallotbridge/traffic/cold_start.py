"""Rate limit for requests to an upstream that has just started."""

import collections
import math

WINDOW_SECONDS = 1.0
# Requests may reach the upstream this much closer together than they were
# sent, so the window is extended by it.
_JITTER_SECONDS = 0.05


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
        self.rate = math.inf

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
        window_start = now - WINDOW_SECONDS - _JITTER_SECONDS
        while sent[0] <= window_start:
            sent.popleft()

    def sent_count(self, now):
        """Return the number of requests sent in the last window."""
        window_start = now - WINDOW_SECONDS - _JITTER_SECONDS
        sent = self._sent
        while sent and sent[0] <= window_start:
            sent.popleft()
        return len(sent)

    def seconds_until_allowed(self, now):
        """Return how long the next request must wait, in seconds."""
        if now >= self._cold_until:
            return 0.0
        allowed = max(1, int(self.rate))
        count = self.sent_count(now)
        if count < allowed:
            return 0.0
        window_start = now - WINDOW_SECONDS - _JITTER_SECONDS
        return self._sent[count - allowed] - window_start
