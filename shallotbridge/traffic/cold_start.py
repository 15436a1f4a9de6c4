"""Limits the rate of requests to an upstream that has just started."""

import collections
import math

WINDOW_SECONDS = 1.0
# An upstream sees requests of a window up to this much closer together
# than they were sent, s.
_JITTER_SECONDS = 0.05


class ColdStart:
    """Sliding window over the sendings to one cold upstream."""

    def __init__(self):
        self._sent = collections.deque()
        self._cold_until = -math.inf
        self.rate = math.inf

    def begin(self, now, seconds, rate):
        """Limit the rate for some time; never shortens a limit in force."""
        if seconds > 0 and rate > 0:
            self._cold_until = max(self._cold_until, now + seconds)
            self.rate = rate

    def set_remaining(self, now, seconds, rate):
        """Take what the upstream itself says of its remaining time."""
        self.rate = rate if rate > 0 else math.inf
        self._cold_until = now + seconds if seconds > 0 else -math.inf

    def is_cold(self, now):
        """Tell whether the limit is in force."""
        return now < self._cold_until

    def on_sent(self, now):
        """Count a request; kept also while warm, for a sudden cold start."""
        sent = self._sent
        sent.append(now)
        horizon = now - WINDOW_SECONDS - _JITTER_SECONDS
        while sent[0] <= horizon:
            sent.popleft()

    def sent_count(self, now):
        """Return how many requests were sent in the last window."""
        horizon = now - WINDOW_SECONDS - _JITTER_SECONDS
        sent = self._sent
        while sent and sent[0] <= horizon:
            sent.popleft()
        return len(sent)

    def seconds_until_allowed(self, now):
        """Return how long the next request has to wait; 0 if not at all."""
        if now >= self._cold_until:
            return 0.0
        allowed = max(1, int(self.rate))
        count = self.sent_count(now)
        if count < allowed:
            return 0.0
        horizon = now - WINDOW_SECONDS - _JITTER_SECONDS
        return self._sent[count - allowed] - horizon
