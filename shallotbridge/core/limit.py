"""Adaptive concurrency limit of one upstream."""

import trio


class ConcurrencyLimit:
    """Limits the requests that may run on the upstream at the same time.

    The limit starts at ``cold_slots``, increases with successful responses
    but no faster than the slow start ramp, is halved when the upstream sheds
    load or times out, and never exceeds ``slots``.

    Parameters
    ----------
    limits : model.UpstreamLimits
    """

    def __init__(self, *, limits):
        self._limits = limits
        self.restart_ramp()

    def restart_ramp(self):
        """Restart the slow start ramp for a cold upstream."""
        self._current_limit = float(self._limits.cold_slots)
        self._begin_ramp()

    def _begin_ramp(self):
        self._ramp_start_value = self._current_limit
        self._ramp_started_at = trio.current_time()
        self._last_halved_at = self._ramp_started_at

    def update_limits(self, limits):
        """Apply the limits of a new configuration."""
        if limits is self._limits or limits == self._limits:
            self._limits = limits
            return
        ceiling = self._ramp_ceiling()
        self._limits = limits
        self._current_limit = max(
            float(limits.cold_slots), min(self._current_limit, limits.slots)
        )
        self._ramp_start_value = min(ceiling, float(limits.slots))
        self._ramp_started_at = trio.current_time()

    @property
    def allowed(self):
        """Number of requests that may run now."""
        return int(self._current_limit + 1e-9)

    @property
    def is_ramping(self):
        """Whether the limit is below the upstream's slots."""
        return self.allowed < self._limits.slots

    def _ramp_ceiling(self):
        limits = self._limits
        if limits.ramp_seconds <= 0:
            return float(limits.slots)
        slope = (limits.slots - limits.cold_slots) / limits.ramp_seconds
        elapsed = trio.current_time() - self._ramp_started_at
        return min(
            float(limits.slots), self._ramp_start_value + slope * elapsed
        )

    def on_request_start(self):
        """Return the start time of a request, to be passed to ``on_shed``."""
        return trio.current_time()

    def on_success(self):
        """Increase the limit, but not above the ramp.

        Each successful response adds the reciprocal of the limit, so that
        the limit grows by one slot for each full round of responses.
        """
        increased = self._current_limit + 1 / max(1.0, self._current_limit)
        self._current_limit = max(
            self._current_limit, min(increased, self._ramp_ceiling())
        )

    def on_shed(self, started):
        """Halve the limit after the upstream refused a request as overloaded.

        Parameters
        ----------
        started : float
            Start time of the request, as returned by ``on_request_start``.
            Requests that started before the last halving are ignored, so
            that one overload with several requests in flight halves the
            limit once.
        """
        if started < self._last_halved_at:
            return
        self._current_limit = max(
            float(self._limits.cold_slots), self._current_limit / 2
        )
        self._begin_ramp()

    def on_timeout(self, started):
        """Halve the limit after a request timed out."""
        self.on_shed(started)
