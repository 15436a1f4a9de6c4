"""Mean durations of the routes at one upstream, and how they are renewed.

A request with less time left than its route is expected to take is refused.
Only requests that complete tell how long the route takes now, so an estimate
that refuses them all would never change. While nothing tells the present
duration, a single request at a time is let through: a probe. One request that
has too little time left is still refused at once.

Responds to the load of clients that go on sending with less time left than the
estimate asks for, after their upstream was slow, their deadlines became
shorter, or the owner node has started again.

The module starts no tasks and reads no clock: callers pass the current time.
"""

import dataclasses

# Weight of the newest duration in the means.
SMOOTHING_FACTOR = 0.1
# A probe is allowed when an estimate has refused requests for this long.
PROBE_INTERVAL_SECONDS = 1.0
# The outcome of a probe that does not complete is unknown. That is worse than
# a refusal for a caller that must not repeat its request, so for such a probe
# this many requests have to be refused, or more time has to pass.
REFUSALS_PER_PROBE = 10
MAXIMUM_PROBE_INTERVAL_SECONDS = 4.0
# A probe needs at least this fraction of the most time that any refused
# request had left: one that has almost none tells nothing.
MINIMUM_PROBE_TIME_FRACTION = 0.5
# Half-life of that time, as all deadlines may be shorter now.
TIME_LEFT_HALF_LIFE_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Estimate:
    """What is known of the duration of a route.

    Attributes
    ----------
    mean_seconds : float or None
        None if no request has completed here.
    probe : admission.Ticket or None
        The request that is let through now.
    refused_at : float or None
        When the first request was refused since a request completed or a
        probe was sent; None if none was.
    refusals : int
        Number of requests that were refused since then.
    longest_left : float
        Most time that one of them had left, decayed by its age, seconds.
    decayed_at : float
        Time of the last decay.
    """

    mean_seconds: float | None = None
    probe: object = None
    refused_at: float | None = None
    refusals: int = 0
    longest_left: float = 0.0
    decayed_at: float = 0.0

    def add_time_left(self, left, now):
        """Count the time that a refused request has left, seconds."""
        age = now - self.decayed_at
        self.longest_left *= 0.5 ** (age / TIME_LEFT_HALF_LIFE_SECONDS)
        self.longest_left = max(self.longest_left, left)
        self.decayed_at = now

    def restart(self):
        """Wait for the next probe from the next refusal on."""
        self.refused_at = None
        self.refusals = 0
        self.longest_left = 0.0

    def is_probe_due(self, ticket, now):
        """Return whether requests have been refused for long enough."""
        age = now - self.refused_at
        if ticket.is_idempotent or self.refusals >= REFUSALS_PER_PROBE:
            return age >= PROBE_INTERVAL_SECONDS
        return age >= MAXIMUM_PROBE_INTERVAL_SECONDS


class DurationEstimates:
    """Mean durations by route.

    Attributes
    ----------
    probe_count : int
        Number of probes that were sent.
    """

    def __init__(self):
        self._estimates_by_route = {}
        self.probe_count = 0

    def expected_seconds(self, ticket):
        """Return the mean of the request's route, or what it expects."""
        estimate = self._estimates_by_route.get(ticket.route)
        if estimate is None or estimate.mean_seconds is None:
            return ticket.expected_seconds
        return estimate.mean_seconds

    def try_begin_probe(self, ticket, expected, running, now):
        """Return whether to let a request through to renew its estimate.

        Parameters
        ----------
        ticket : admission.Ticket
        expected : float
            Estimate that refuses the request, seconds.
        running : iterable of admission.Ticket
            Those that run now.
        now : float
            Current time, seconds.
        """
        left = ticket.deadline_at - now
        if left <= 0:
            return False
        estimate = self._estimates_by_route.get(ticket.route)
        if estimate is None:
            estimate = self._estimates_by_route[ticket.route] = _Estimate()
        estimate.add_time_left(left, now)
        if estimate.refused_at is None:
            estimate.refused_at = now
        if (
            estimate.probe is not None
            or not estimate.is_probe_due(ticket, now)
            or left < estimate.longest_left * MINIMUM_PROBE_TIME_FRACTION
            or any(
                # One that runs for longer may have been lost.
                other.route == ticket.route
                and now - other.granted_at < expected
                for other in running
            )
        ):
            estimate.refusals += 1
            return False
        estimate.probe = ticket
        return True

    def on_granted(self, ticket):
        """Count the probe as sent if the request is one."""
        estimate = self._estimates_by_route.get(ticket.route)
        if estimate is not None and estimate.probe is ticket:
            self.probe_count += 1
            estimate.restart()

    def on_completed(self, ticket, seconds):
        """Record the duration of a request; that of a probe is the new mean.

        Parameters
        ----------
        ticket : admission.Ticket
        seconds : float
        """
        estimate = self._estimates_by_route.get(ticket.route)
        if estimate is None:
            estimate = self._estimates_by_route[ticket.route] = _Estimate()
        mean = estimate.mean_seconds
        if estimate.probe is ticket:
            mean = seconds
        elif mean is None:
            mean = ticket.expected_seconds
        estimate.mean_seconds = mean + SMOOTHING_FACTOR * (seconds - mean)
        estimate.restart()

    def on_ended(self, ticket):
        """Allow another probe if the request was one.

        Called when a request has been refused, has completed or has ended
        otherwise.
        """
        estimate = self._estimates_by_route.get(ticket.route)
        if estimate is not None and estimate.probe is ticket:
            estimate.probe = None
