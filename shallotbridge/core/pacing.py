"""Rate limit and retry backoff of calls."""

import trio


class TokenBucket:
    """Limits the rate of calls.

    Parameters
    ----------
    rate : float
        Average calls per second.
    burst : int
        Capacity of the bucket: calls that may be made at once.
    """

    def __init__(self, *, rate, burst):
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = None

    async def acquire(self):
        """Wait for a token and use it."""
        while True:
            now = trio.current_time()
            if self._refilled_at is not None:
                elapsed = now - self._refilled_at
                self._tokens = min(
                    float(self._burst), self._tokens + elapsed * self._rate
                )
            self._refilled_at = now
            if self._tokens >= 1:
                self._tokens -= 1
                return
            # The margin prevents a second wait caused by a rounding error.
            await trio.sleep((1 - self._tokens) / self._rate + 1e-6)


def backoff_seconds(random, failures, *, first, maximum):
    """Return an exponential backoff with full jitter, seconds.

    Parameters
    ----------
    random : random.Random
    failures : int
        Number of consecutive failures, at least 1.
    first, maximum : float
        Upper bound of the wait after the first failure, and the maximum of
        that bound, which doubles with each failure; seconds.

    Examples
    --------
    >>> import random
    >>> source = random.Random(1)
    >>> backoff_seconds(source, 90, first=0.5, maximum=30.0) <= 30.0
    True
    """
    doublings = min(failures - 1, 32)
    return random.uniform(0.0, min(maximum, first * 2**doublings))
