"""A clock that counts the time for which the host was suspended."""

import time

import trio


class BootTimeClock(trio.abc.Clock):
    """Trio's clock on CLOCK_BOOTTIME.

    A process that wakes from a suspended host sees at once that deadlines
    have passed. The monotonic clock would not count that time, and the time
    of day jumps.
    """

    def start_clock(self):
        pass

    def current_time(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline):
        return deadline - self.current_time()
