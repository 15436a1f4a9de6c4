"""Decides which requests a node holds in the first moments after a start.

Responds to the load of clients that go on sending while all hosts, a failure
domain or one node start: the view of a node that has just started becomes
current, and its upstream answers the first health check, within some tenths of
a second. A request that waits for that is served; a refused client returns
only once at most, and mostly finds other nodes that are starting.

The module starts no tasks and reads no clock: callers pass the current time.
"""

# A node counts as starting until this time after its start. A median node of
# a fleet that starts at once needs 0.5 s from its start to its current view.
START_SECONDS = 3.0
# Part of the time until its deadline for which a request is held. The rest is
# for its run on a cold upstream, which takes twice as long as usual, and for
# one more attempt of its client.
HOLD_DEADLINE_RATIO = 0.5
# A request is held only while this multiple of its expected duration is left
# until its deadline.
HOLD_DURATION_FACTOR = 1.5
# Requests that an entry node and an owner node hold at most, each. The bytes
# of requests are bounded elsewhere.
MAXIMUM_HELD_AT_ENTRY = 256
MAXIMUM_HELD_AT_OWNER = 64
# Expected time until the upstream of a starting owner node answers a health
# check. It is reported as the wait, so that entry nodes prefer open owners.
OPEN_WAIT_SECONDS = 0.2
# Interval of the health checks while requests are held for the first answer.
# The upstream starts together with its node.
PROBE_INTERVAL_SECONDS = 0.05
# After this number of refusals by owner nodes that are starting, a request is
# offered without a bound on its wait: most other owners are starting too.
MAXIMUM_STARTING_REFUSALS = 2
# A held request checks at this interval whether an owner node is eligible
# again after a cooldown. Other changes wake it at once.
CHECK_INTERVAL_SECONDS = 0.1
# Interval at which unreachable owner nodes are probed while a node is
# starting: in a fleet that starts at once, most are back within a second.
RECONNECT_INTERVAL_SECONDS = 0.15


class RequestHold:
    """Decides how long an entry node that starts holds a request.

    Parameters
    ----------
    started_at : float
        Start of the node.
    maximum_held : int

    Attributes
    ----------
    held_count : int
        Number of requests that are held now.
    held_total, rejected_total : int
        Number of requests that were held, and of those that were not because
        too many were.
    """

    def __init__(self, *, started_at, maximum_held=MAXIMUM_HELD_AT_ENTRY):
        self._started_at = started_at
        self._maximum_held = maximum_held
        self.held_count = 0
        self.held_total = 0
        self.rejected_total = 0

    def is_starting(self, now):
        """Return whether the node has started just before."""
        return now < self._started_at + START_SECONDS

    def try_begin(self):
        """Count a request as held; return whether it may be.

        Each successful call needs one of ``end``.
        """
        if self.held_count >= self._maximum_held:
            self.rejected_total += 1
            return False
        self.held_count += 1
        self.held_total += 1
        return True

    def end(self):
        """Count a request as no longer held."""
        self.held_count -= 1


def hold_until(arrived_at, deadline_at, expected_seconds=0.0):
    """Return the time until which a request may be held.

    Parameters
    ----------
    arrived_at, deadline_at : float
    expected_seconds : float
        Expected duration of its run.

    Examples
    --------
    >>> hold_until(10.0, 12.0)
    11.0
    >>> hold_until(10.0, 12.0, expected_seconds=1.0)
    10.5
    """
    return min(
        arrived_at + (deadline_at - arrived_at) * HOLD_DEADLINE_RATIO,
        deadline_at - expected_seconds * HOLD_DURATION_FACTOR,
    )
