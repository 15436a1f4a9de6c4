"""Retry budget of a service, shared by all nodes without communication."""

import collections

# Ratio of the fleet's budget that the nodes spend. The rest covers the
# requests that a retried request causes at other services.
USED_BUDGET_RATIO = 0.55
# The sliding window is counted in buckets of this length.
BUCKET_SECONDS = 1.0


class RetryBudget:
    """Retries of one service in a sliding window.

    Each node may spend the ratio of the requests that it received and an equal
    share of the constant part, so the sum over all nodes stays within the
    budget of the service.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    constant : float
        Additional retries allowed in a window, over all nodes.
    window_seconds : float
        Length of the sliding window.
    """

    def __init__(self, *, ratio, constant, window_seconds):
        self._ratio = ratio
        self._constant = constant
        self._bucket_count = max(1, round(window_seconds / BUCKET_SECONDS))
        # Pairs of bucket number and [requests, retries].
        self._buckets = collections.deque()

    def _current_counts(self, now):
        bucket_number = int(now / BUCKET_SECONDS)
        buckets = self._buckets
        if not buckets or buckets[-1][0] != bucket_number:
            buckets.append((bucket_number, [0, 0]))
            while buckets[0][0] <= bucket_number - self._bucket_count:
                buckets.popleft()
        return buckets[-1][1]

    def on_request(self, now):
        """Count a request of a client, without its retries."""
        self._current_counts(now)[0] += 1

    def can_spend(self, now, node_count):
        """Return whether the budget allows another retry.

        Parameters
        ----------
        now : float
            Current time, seconds.
        node_count : int
            Number of nodes that share the constant part.
        """
        self._current_counts(now)
        requests = 0
        retries = 0
        for _, (request_count, retry_count) in self._buckets:
            requests += request_count
            retries += retry_count
        allowed = USED_BUDGET_RATIO * (
            self._ratio * requests + self._constant / max(1, node_count)
        )
        return retries + 1 <= allowed

    def try_spend(self, now, node_count):
        """Take one retry out of the budget; return whether it allowed one."""
        if not self.can_spend(now, node_count):
            return False
        self._current_counts(now)[1] += 1
        return True
