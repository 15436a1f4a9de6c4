"""Decides which request runs next on one upstream, and which is refused.

The logic has no tasks and no clock of its own: callers pass the time. A
ticket stands for one request from its offer until it has run.
"""

import bisect
import math

from ..core import errors

# Share of the newest duration in the running mean of a route.
SMOOTHING = 0.1
# A request is worth starting while this share of its expected duration is
# left: about a third of the requests end well before the mean.
WORTH_STARTING_SHARE = 0.7
# A request counts as on time if this multiple of its expected duration fits
# before its objective; four of five requests end within it.
ON_TIME_SHARE = 1.5
# A request that cannot be on time any more gets what the others leave, and
# goes back to its client after waiting this long, s.
LATE_HOLD_SECONDS = 0.12
# A request that would miss its deadline by the estimate may still be lucky;
# one that would need more than this share of the remaining time is refused.
USABLE_SHARE = 0.9
# Mean duration assumed until requests have run, s.
INITIAL_MEAN_SECONDS = 0.1
# Bounds of the time after which a refused caller may come back, s.
MINIMUM_RETRY_AFTER_SECONDS = 0.03
MAXIMUM_RETRY_AFTER_SECONDS = 2.0


class Ticket:
    """One request at the owner node.

    Parameters
    ----------
    route : str
        Name of the route, for the expected duration.
    priority : int
        0 is the most urgent.
    objective_at : float
        Time until which an answer has its full value.
    deadline_at : float
        Time after which nobody waits for the answer.
    expected_seconds : float
        Duration on a usual upstream, used until this one has run some.
    maximum_wait : float
        The request is refused if it would wait longer for a slot, seconds.
    on_granted : callable
        Called without arguments when the request may be sent.
    on_refused : callable
        Called with the error when the request will not run.
    """

    __slots__ = (
        "route",
        "priority",
        "objective_at",
        "deadline_at",
        "expected_seconds",
        "maximum_wait",
        "on_granted",
        "on_refused",
        "offered_at",
        "granted_at",
        "is_late",
    )

    def __init__(
        self,
        *,
        route,
        priority,
        objective_at,
        deadline_at,
        expected_seconds,
        on_granted,
        on_refused,
        maximum_wait=math.inf,
    ):
        self.route = route
        self.priority = priority
        self.objective_at = objective_at
        self.deadline_at = deadline_at
        self.expected_seconds = expected_seconds
        self.maximum_wait = maximum_wait
        self.on_granted = on_granted
        self.on_refused = on_refused
        self.offered_at = 0.0
        self.granted_at = None
        self.is_late = False

    def rank(self):
        """Return the sort key: urgent kinds first, then who can be on time."""
        if self.is_late:
            return (self.priority, 1, self.deadline_at)
        return (self.priority, 0, self.objective_at)


class Admission:
    """Slots of one upstream and the requests that wait for them.

    Parameters
    ----------
    slots : int
        Requests that the upstream runs at the same time.
    cold_start : cold_start.ColdStart
        Limits the rate of sendings while the upstream is cold.
    """

    def __init__(self, *, slots, cold_start):
        self.slots = slots
        self._cold_start = cold_start
        self._waiting = []
        self._running = set()
        self._seconds_by_route = {}
        self._mean_seconds = INITIAL_MEAN_SECONDS
        self._closed_error = None

    @property
    def in_use(self):
        """Requests that the upstream runs."""
        return len(self._running)

    @property
    def queued(self):
        """Requests that wait for a slot."""
        return len(self._waiting)

    def close(self, error):
        """Refuse all waiting and new requests until ``open`` is called."""
        self._closed_error = error
        waiting, self._waiting = self._waiting, []
        for ticket in waiting:
            ticket.on_refused(error)

    def open(self):
        """Take requests again."""
        self._closed_error = None

    @property
    def is_open(self):
        """Whether requests are taken."""
        return self._closed_error is None

    def offer(self, ticket, now):
        """Take a request, at once or into the queue.

        Raises
        ------
        errors.CallError
            It is refused; ``retry_after`` says when to come back.
        """
        if self._closed_error is not None:
            raise self._closed_error
        ticket.offered_at = now
        expected = self._seconds_by_route.get(
            ticket.route, ticket.expected_seconds
        )
        ticket.expected_seconds = expected
        self._check_deadline(ticket, expected, now)
        wait = self.expected_wait(now, ticket)
        if now + wait + expected * ON_TIME_SHARE > ticket.objective_at:
            ticket.is_late = True
            wait = self.expected_wait(now, ticket)
        usable = now + (ticket.deadline_at - now) * USABLE_SHARE
        if wait > 0 and (
            now + wait + expected > usable
            or (ticket.is_late and wait > LATE_HOLD_SECONDS)
            or wait > ticket.maximum_wait
        ):
            raise self._overloaded(wait)
        bisect.insort(self._waiting, ticket, key=Ticket.rank)
        self.dispatch(now)

    def _check_deadline(self, ticket, expected, now):
        if now + expected * WORTH_STARTING_SHARE > ticket.deadline_at:
            raise errors.DeadlineBeforeSendError(
                f"{max(0.0, ticket.deadline_at - now):.3f} s are left and "
                f"{expected:.3f} s are expected"
            )

    def _overloaded(self, wait):
        error = errors.OverloadedError(
            f"{self.in_use} of {self.slots} slots in use, {self.queued} "
            f"waiting, expected wait {wait:.3f} s"
        )
        error.retry_after = min(
            MAXIMUM_RETRY_AFTER_SECONDS, max(MINIMUM_RETRY_AFTER_SECONDS, wait)
        )
        return error

    def expected_wait(self, now, ticket=None):
        """Return the time until a slot is free for a request.

        Parameters
        ----------
        now : float
        ticket : Ticket, optional
            Requests that rank behind it do not count; without one, all do.
        """
        waiting = self._waiting
        ahead = len(waiting)
        if ticket is not None and ahead:
            ahead = bisect.bisect_right(
                waiting, ticket.rank(), key=Ticket.rank
            )
        wait = 0.0
        if len(self._running) + ahead >= self.slots:
            # The slots free up one after the other, a mean duration apart
            # divided by their number.
            work = self._mean_seconds
            for index in range(ahead):
                work += waiting[index].expected_seconds
            wait = work / self.slots
        return max(wait, self._cold_wait(now, ahead))

    def _cold_wait(self, now, ahead):
        first = self._cold_start.seconds_until_allowed(now)
        if first <= 0 and not self._cold_start.is_cold(now):
            return 0.0
        return first + ahead / max(1.0, self._cold_start.rate)

    def dispatch(self, now):
        """Grant slots to waiting requests; refuse those that are too late."""
        while self._waiting and len(self._running) < self.slots:
            if self._cold_start.seconds_until_allowed(now) > 0:
                return
            ticket = self._waiting.pop(0)
            expected = ticket.expected_seconds
            try:
                self._check_deadline(ticket, expected, now)
            except errors.CallError as error:
                ticket.on_refused(error)
                continue
            if not ticket.is_late and (now + expected > ticket.objective_at):
                # Others can still be on time; this one cannot.
                ticket.is_late = True
                bisect.insort(self._waiting, ticket, key=Ticket.rank)
                continue
            self._grant(ticket, now)

    def _grant(self, ticket, now):
        ticket.granted_at = now
        self._running.add(ticket)
        self._cold_start.on_sent(now)
        ticket.on_granted()

    def refuse_hopeless(self, now):
        """Refuse waiting requests that will not be reached in time.

        Those that cannot be on time any more are moved behind the others,
        and go back to their clients when they have waited for long.
        """
        if not self._waiting:
            return
        rate = max(1.0, self._cold_start.rate)
        is_cold = self._cold_start.is_cold(now)
        cold_wait = self._cold_start.seconds_until_allowed(now)
        work = self._mean_seconds
        kept = []
        refused = []
        for ticket in self._waiting:
            wait = work / self.slots
            if is_cold:
                wait = max(wait, cold_wait + len(kept) / rate)
            end = now + wait + ticket.expected_seconds
            if end > ticket.objective_at:
                ticket.is_late = True
            worth = ticket.expected_seconds * WORTH_STARTING_SHARE
            if now + wait + worth > ticket.deadline_at or (
                ticket.is_late and now - ticket.offered_at > LATE_HOLD_SECONDS
            ):
                refused.append((ticket, wait))
            else:
                work += ticket.expected_seconds
                kept.append(ticket)
        self._waiting = sorted(kept, key=Ticket.rank)
        for ticket, wait in refused:
            ticket.on_refused(self._overloaded(wait))

    def withdraw(self, ticket, now):
        """Forget a request whose caller has left, waiting or running."""
        if ticket.granted_at is not None:
            self._end(ticket, now)
        elif ticket in self._waiting:
            self._waiting.remove(ticket)

    def on_run(self, ticket, now):
        """Free the slot of a request that ran, and learn its duration."""
        seconds = now - ticket.granted_at
        known = self._seconds_by_route.get(
            ticket.route, ticket.expected_seconds
        )
        self._seconds_by_route[ticket.route] = known + SMOOTHING * (
            seconds - known
        )
        self._mean_seconds += SMOOTHING * (seconds - self._mean_seconds)
        self._end(ticket, now)

    def on_not_run(self, ticket, now):
        """Free the slot of a request that did not run to its end."""
        self._end(ticket, now)

    def _end(self, ticket, now):
        self._running.discard(ticket)
        self.dispatch(now)

    def resize(self, slots, now):
        """Take the number of slots that the upstream reports."""
        if slots != self.slots:
            self.slots = slots
            self.dispatch(now)
