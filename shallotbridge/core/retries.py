"""Retry budget."""

import trio

# Lets a service with few requests retry at all.
MINIMUM_RETRIES_PER_SECOND = 0.1
MAXIMUM_TOKENS = 10.0


class RetryBudget:
    """Token bucket that is refilled by requests and, slowly, over time.

    Each retry costs one token.

    Parameters
    ----------
    retry_ratio : float
        Tokens that each request adds.
    minimum_retries_per_second : float
        Tokens that are added per second, also without requests.
    maximum_tokens : float
        Capacity of the bucket.
    """

    def __init__(
        self,
        *,
        retry_ratio,
        minimum_retries_per_second=MINIMUM_RETRIES_PER_SECOND,
        maximum_tokens=MAXIMUM_TOKENS,
    ):
        self._retry_ratio = retry_ratio
        self._minimum_retries_per_second = minimum_retries_per_second
        self._maximum_tokens = maximum_tokens
        self._tokens = min(1.0, maximum_tokens)
        self._refilled_at = trio.current_time()

    def on_request(self, retry_ratio=None):
        """Add the tokens of one request.

        Parameters
        ----------
        retry_ratio : float, optional
            Ratio of the request's route in the active configuration; that of
            the budget by default.
        """
        ratio = self._retry_ratio if retry_ratio is None else retry_ratio
        self._refill()
        self._tokens = min(self._maximum_tokens, self._tokens + ratio)

    def try_spend(self):
        """Take the token of one retry; return whether there was one."""
        self._refill()
        # The margin allows for rounding errors of repeated additions.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def _refill(self):
        now = trio.current_time()
        self._tokens = min(
            self._maximum_tokens,
            self._tokens
            + (now - self._refilled_at) * self._minimum_retries_per_second,
        )
        self._refilled_at = now
