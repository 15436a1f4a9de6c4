"""The smoothed time in which the own upstream answers."""

import trio

# Weight of the newest response in the smoothed service time.
SMOOTHING = 0.1
# A request that ran for less than this multiple of the smoothed service time
# says nothing about the upstream when it times out: it was sent too late.
TIMEOUT_FACTOR = 2.0


class ServiceTime:
    """Smoothed seconds from the start of a request to its response."""

    def __init__(self):
        self._seconds = None

    def on_success(self, started):
        """Take the time of a request that was answered.

        Parameters
        ----------
        started : float
            Time on trio's clock.
        """
        seconds = trio.current_time() - started
        if self._seconds is None:
            self._seconds = seconds
        else:
            self._seconds += SMOOTHING * (seconds - self._seconds)

    def is_evidence(self, started):
        """Tell whether a timeout speaks against the upstream."""
        if self._seconds is None:
            return True
        elapsed = trio.current_time() - started
        return elapsed >= TIMEOUT_FACTOR * self._seconds

    def is_wait_too_long(self, *, queued, allowed, deadline):
        """Tell whether a place in the queue would not help a request.

        Requests that are sent just before their deadline use slots without
        a result, and their timeouts would keep the limit low.

        Parameters
        ----------
        queued : int
            Requests that wait already.
        allowed : int
            Slots that may be held now.
        deadline : float
            Time on trio's clock.
        """
        if self._seconds is None:
            return False
        rounds = (queued + 1) / allowed
        seconds = (rounds + 1) * self._seconds
        return trio.current_time() + seconds > deadline
