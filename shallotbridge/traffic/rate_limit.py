"""Rate limit that an upstream names in its answers.

The owner node is the only sender to its upstream, so its token bucket is exact
for the whole fleet.
"""

import math

# Unused capacity of this time, or this many requests, may be used at once.
BURST_SECONDS = 0.25
MINIMUM_BURST = 2.0
# Requests beyond the limit, such as health checks, that later ones make up
# for.
MAXIMUM_DEBT = 1.0
# The limit doubles each second after its end, and there is none after the
# ramp: an upstream that recovers is not loaded at once with all that waits.
RAMP_SECONDS = 5.0
RAMP_MINIMUM_RATE = 1.0


class RateLimiter:
    """Token bucket whose rate changes and may end.

    All times are on the clock of the caller, in seconds.
    """

    def __init__(self):
        self._limit = math.inf
        self._tokens = 0.0
        self._updated_at = 0.0
        self._ended_at = None

    def set_limit(self, limit, now):
        """Allow this many requests per second.

        The bucket of a new limit is empty: it is named in the answer to a
        request that has just been sent.
        """
        if math.isinf(self._limit):
            self._tokens = 0.0
        else:
            self._refill(now)
        self._updated_at = now
        self._limit = limit
        self._ended_at = None
        self._tokens = min(self._tokens, self._burst(limit))

    def end(self, now):
        """End the limit; the rate rises until there is none."""
        if self._ended_at is None and not math.isinf(self._limit):
            self._refill(now)
            self._limit = max(self._limit, RAMP_MINIMUM_RATE)
            self._ended_at = now

    def reset(self):
        """Forget the limit, for another instance of the upstream."""
        self._limit = math.inf
        self._ended_at = None

    @property
    def is_named(self):
        """Whether a limit is in force that has not ended."""
        return self._ended_at is None and not math.isinf(self._limit)

    def rate(self, now):
        """Return the allowed requests per second; infinite without limit."""
        if self._ended_at is None:
            return self._limit
        elapsed = now - self._ended_at
        if elapsed >= RAMP_SECONDS:
            self.reset()
            return math.inf
        return self._limit * 2**elapsed

    @staticmethod
    def _burst(rate):
        return max(MINIMUM_BURST, rate * BURST_SECONDS)

    def _refill(self, now):
        rate = self.rate(now)
        if math.isinf(rate):
            return
        self._tokens = min(
            self._burst(rate), self._tokens + (now - self._updated_at) * rate
        )
        self._updated_at = now

    def on_sent(self, now):
        """Count a request that was sent, also beyond the limit."""
        self._refill(now)
        if not math.isinf(self._limit):
            self._tokens = max(-MAXIMUM_DEBT, self._tokens - 1.0)

    def available(self, now):
        """Return how many requests may be sent at once."""
        self._refill(now)
        if math.isinf(self._limit):
            return math.inf
        return max(0, int(self._tokens + 1e-9))

    def expected_wait(self, now, ahead=0):
        """Return the time until a request may be sent, in seconds.

        Parameters
        ----------
        now : float
        ahead : int
            Number of requests that are sent before it.
        """
        self._refill(now)
        if math.isinf(self._limit):
            return 0.0
        missing = ahead + 1 - self._tokens
        if missing <= 1e-9:
            return 0.0
        rate = self.rate(now)
        return missing / rate if rate > 0 else math.inf
