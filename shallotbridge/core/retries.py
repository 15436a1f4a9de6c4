"""Budget for retries."""

import trio

# Lets a service with few requests retry at all.
CONSTANT_RATE = 0.1  # retries a second
MAXIMUM_TOKENS = 10.0  # retries that may be saved up


class RetryBudget:
    """Token bucket filled by requests and, slowly, by time.

    Parameters
    ----------
    retry_ratio : float
        Retries allowed for each request.
    constant_rate : float
        Retries allowed a second without any request.
    maximum : float
        Retries that can be saved up.
    """

    def __init__(
        self,
        *,
        retry_ratio,
        constant_rate=CONSTANT_RATE,
        maximum=MAXIMUM_TOKENS,
    ):
        self._retry_ratio = retry_ratio
        self._constant_rate = constant_rate
        self._maximum = maximum
        self._tokens = min(1.0, maximum)
        self._updated = trio.current_time()

    def on_request(self, retry_ratio=None):
        """Add the share of one request.

        Parameters
        ----------
        retry_ratio : float, optional
            Ratio of the request's route in the configuration in force; the
            budget's own by default.
        """
        ratio = self._retry_ratio if retry_ratio is None else retry_ratio
        self._refill()
        self._tokens = min(self._maximum, self._tokens + ratio)

    def try_spend(self):
        """Take one retry out of the budget, if there is one."""
        self._refill()
        # The margin absorbs the rounding of repeated additions of a ratio.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def _refill(self):
        now = trio.current_time()
        self._tokens = min(
            self._maximum,
            self._tokens + (now - self._updated) * self._constant_rate,
        )
        self._updated = now
