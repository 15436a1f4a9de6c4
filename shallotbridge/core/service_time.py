"""Smoothed response time of this host's upstream."""

import trio

# Weight of the newest response in the moving average of the service time.
SMOOTHING_FACTOR = 0.1
# A timeout of a request that ran for less than this multiple of the smoothed
# service time says nothing about the upstream: the request was sent too late.
OVERLOAD_TIMEOUT_FACTOR = 2.0


class ServiceTime:
    """Moving average of the time from the start of a request to its response.

    In seconds; the weights decay exponentially.
    """

    def __init__(self):
        self._average_seconds = None

    def on_success(self, started):
        """Add the service time of a request that has succeeded.

        Parameters
        ----------
        started : float
            Start time of the request on trio's clock, seconds.
        """
        seconds = trio.current_time() - started
        if self._average_seconds is None:
            self._average_seconds = seconds
        else:
            self._average_seconds += SMOOTHING_FACTOR * (
                seconds - self._average_seconds
            )

    def is_overload_timeout(self, started):
        """Return whether a request's timeout indicates an overload.

        Parameters
        ----------
        started : float
            Start time of the request on trio's clock, seconds.
        """
        if self._average_seconds is None:
            return True
        elapsed = trio.current_time() - started
        return elapsed >= OVERLOAD_TIMEOUT_FACTOR * self._average_seconds

    def is_wait_too_long(self, *, queued, allowed, deadline):
        """Return whether a queued request is expected to miss its deadline.

        Requests that are sent just before their deadline use slots without
        a result, and their timeouts would keep the limit low.

        Parameters
        ----------
        queued : int
            Number of requests in the queue.
        allowed : int
            Number of slots that may be in use now.
        deadline : float
            Deadline of the request on trio's clock, seconds.
        """
        if self._average_seconds is None:
            return False
        rounds = (queued + 1) / allowed
        seconds = (rounds + 1) * self._average_seconds
        return trio.current_time() + seconds > deadline
