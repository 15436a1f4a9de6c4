"""Budget of repeats that all nodes share without talking to each other."""

import collections

# Part of the fleet's budget that the nodes use; the rest covers the calls
# that repeated requests make in turn at other services.
USED_SHARE = 0.55
# The window is counted in steps of this length, s.
STEP_SECONDS = 1.0


class RetryBudget:
    """Repeats of one service in a sliding window.

    Each node allows itself the ratio of the requests that it saw, and its
    share of the constant part, so that the sum over all nodes keeps the
    budget of the service.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    constant : float
        Repeats allowed in a window over all nodes, besides.
    window_seconds : float
    """

    def __init__(self, *, ratio, constant, window_seconds):
        self._ratio = ratio
        self._constant = constant
        self._steps = max(1, round(window_seconds / STEP_SECONDS))
        # Pairs of step number and [requests, repeats].
        self._counts = collections.deque()

    def _current(self, now):
        step = int(now / STEP_SECONDS)
        counts = self._counts
        if not counts or counts[-1][0] != step:
            counts.append((step, [0, 0]))
            while counts[0][0] <= step - self._steps:
                counts.popleft()
        return counts[-1][1]

    def on_request(self, now):
        """Count a request of a caller."""
        self._current(now)[0] += 1

    def has_room(self, now, node_count):
        """Tell whether the budget has another repeat.

        Parameters
        ----------
        now : float
            Seconds.
        node_count : int
            Nodes among which the constant part is shared.
        """
        self._current(now)
        requests = 0
        repeats = 0
        for _, (request_count, repeat_count) in self._counts:
            requests += request_count
            repeats += repeat_count
        allowed = USED_SHARE * (
            self._ratio * requests + self._constant / max(1, node_count)
        )
        return repeats + 1 <= allowed

    def try_spend(self, now, node_count):
        """Take one repeat out of the budget, if there is one."""
        if not self.has_room(now, node_count):
            return False
        self._current(now)[1] += 1
        return True
