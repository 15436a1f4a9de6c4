"""Limits on the rate of calls and on their repetition."""

import trio


class TokenBucket:
    """Limits the rate of calls.

    Parameters
    ----------
    rate : float
        Calls a second on average.
    burst : int
        Calls that may be made at once.
    """

    def __init__(self, *, rate, burst):
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at = None

    async def take(self):
        """Wait for a token and take it."""
        while True:
            now = trio.current_time()
            if self._filled_at is not None:
                elapsed = now - self._filled_at
                self._tokens = min(
                    float(self._burst), self._tokens + elapsed * self._rate
                )
            self._filled_at = now
            if self._tokens >= 1:
                self._tokens -= 1
                return
            # The margin keeps rounding from causing a second, empty wait.
            await trio.sleep((1 - self._tokens) / self._rate + 1e-6)


def backoff_seconds(random, failures, *, first, maximum):
    """Return a wait with full jitter after a number of failures.

    Parameters
    ----------
    random : random.Random
    failures : int
        Consecutive failures, from 1.
    first, maximum : float
        Bounds of the longest wait, seconds.

    Examples
    --------
    >>> import random
    >>> source = random.Random(1)
    >>> backoff_seconds(source, 90, first=0.5, maximum=30.0) <= 30.0
    True
    """
    doublings = min(failures - 1, 32)
    return random.uniform(0.0, min(maximum, first * 2**doublings))
