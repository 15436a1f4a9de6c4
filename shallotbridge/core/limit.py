"""Concurrency limit of one upstream."""

import trio


class ConcurrencyLimit:
    """Number of requests that may run on the upstream at once.

    It starts at ``cold_slots``, grows with successful responses but no
    faster than the ramp, halves on shedding and timeouts, and never exceeds
    ``slots``.

    Parameters
    ----------
    limits : model.UpstreamLimits
    """

    def __init__(self, *, limits):
        self._limits = limits
        self.restart()

    def restart(self):
        """Begin the ramp again: the upstream is cold."""
        self._value = float(self._limits.cold_slots)
        self._begin_ramp()

    def _begin_ramp(self):
        self._ramp_from = self._value
        self._ramp_start = trio.current_time()
        self._last_cut = self._ramp_start

    def configure(self, limits):
        """Take the limits of a newer configuration."""
        if limits is self._limits or limits == self._limits:
            self._limits = limits
            return
        ceiling = self._ceiling()
        self._limits = limits
        self._value = max(
            float(limits.cold_slots), min(self._value, limits.slots)
        )
        self._ramp_from = min(ceiling, float(limits.slots))
        self._ramp_start = trio.current_time()

    @property
    def allowed(self):
        """Requests that may run now."""
        return int(self._value + 1e-9)

    @property
    def is_ramping(self):
        """Whether the limit is still below the upstream's slots."""
        return self.allowed < self._limits.slots

    def _ceiling(self):
        limits = self._limits
        if limits.ramp_seconds <= 0:
            return float(limits.slots)
        slope = (limits.slots - limits.cold_slots) / limits.ramp_seconds
        elapsed = trio.current_time() - self._ramp_start
        return min(float(limits.slots), self._ramp_from + slope * elapsed)

    def on_start(self):
        """Return the time at which a request starts, for its result."""
        return trio.current_time()

    def on_success(self):
        """Grow by one slot for each full round of successful responses."""
        grown = self._value + 1 / max(1.0, self._value)
        self._value = max(self._value, min(grown, self._ceiling()))

    def on_shed(self, started):
        """Halve the limit after the upstream refused for lack of capacity.

        Parameters
        ----------
        started : float
            What ``on_start`` returned. Requests that started before the
            last halving say nothing about the limit since then, so that
            one overload with several requests in flight halves it once.
        """
        if started < self._last_cut:
            return
        self._value = max(float(self._limits.cold_slots), self._value / 2)
        self._begin_ramp()

    def on_timeout(self, started):
        """Halve the limit after a response did not come in time."""
        self.on_shed(started)
