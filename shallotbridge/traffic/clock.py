"""Trio clock that includes the time for which the host was suspended."""

import time

import trio


class BootTimeClock(trio.abc.Clock):
    """Trio clock based on ``CLOCK_BOOTTIME``.

    After the host was suspended, deadlines that passed in the meantime expire
    at once. ``CLOCK_MONOTONIC`` does not include the suspended time, and the
    time of day may jump.
    """

    def start_clock(self):
        pass

    def current_time(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline):
        return deadline - self.current_time()
