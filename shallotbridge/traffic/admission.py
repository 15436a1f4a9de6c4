"""Admission control and the priority queue of one upstream.

The module starts no tasks and reads no clock: callers pass the current time.
A ticket represents one request from its offer until it ends.
"""

import bisect
import math

from ..core import errors
from . import duration_estimates
from . import rate_limit
from . import startup

# Weight of the newest duration in the mean over all routes.
SMOOTHING_FACTOR = 0.1
# A request is started only if at least this fraction of its expected duration
# is left before its deadline. The fraction is below 1 because about a third
# of the requests take much less than the mean.
MINIMUM_REMAINING_FRACTION = 0.7
# A request is expected to meet its objective if this multiple of its expected
# duration is left; four of five requests finish within it.
ON_TIME_DURATION_FACTOR = 1.5
# A late request, which is expected to miss its objective, only uses capacity
# that others of its priority leave, and is refused if it waits for longer.
MAXIMUM_LATE_WAIT_SECONDS = 0.12
# A request that has to wait is refused if it is expected to need more than
# this fraction of the time until its deadline. Without a wait only
# MINIMUM_REMAINING_FRACTION applies, since the estimate may be too high.
MAXIMUM_DEADLINE_FRACTION = 0.9
# Mean duration assumed before any request has completed.
INITIAL_MEAN_SECONDS = 0.1
# Bounds of the ``retry_after`` of a refusal.
MINIMUM_RETRY_AFTER_SECONDS = 0.03
MAXIMUM_RETRY_AFTER_SECONDS = 2.0
# A limit on the request rate tells exactly when the next request may be sent.
MAXIMUM_RATE_RETRY_AFTER_SECONDS = 60.0


class Ticket:
    """One request at the owner node, waiting or running.

    All times are on the clock of the caller, in seconds.

    Parameters
    ----------
    route : str
        Name of the route; mean durations are kept per route.
    priority : int
        0 is the most urgent.
    route_priority : int
        Orders requests of equal priority.
    objective_at : float
        Time of the latency objective; a later response has less value.
    deadline_at : float
        Time after which no caller waits for the response.
    expected_seconds : float
        Expected duration on a typical upstream, used until a request of this
        route has completed on this upstream.
    maximum_wait_seconds : float
        Longest expected wait for a slot, in seconds; the request is refused
        if its expected wait is longer.
    is_idempotent : bool
        Whether its caller may repeat it after an unknown outcome.
    on_granted : callable
        Called without arguments when the request gets a slot.
    on_refused : callable
        Called with the error when a waiting request is refused.

    Attributes
    ----------
    is_late : bool
        Whether the request is expected to miss its objective.
    usual_seconds : float
        Expected duration on a typical upstream, as offered.
    concurrency : int
        Number of running requests at its grant, itself included.
    doubted_seconds : float or None
        The estimate of its route that it is let through to renew, if so.
    """

    __slots__ = (
        "route",
        "priority",
        "route_priority",
        "objective_at",
        "deadline_at",
        "expected_seconds",
        "maximum_wait_seconds",
        "on_granted",
        "on_refused",
        "offered_at",
        "granted_at",
        "is_idempotent",
        "is_late",
        "usual_seconds",
        "concurrency",
        "doubted_seconds",
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
        maximum_wait_seconds=math.inf,
        route_priority=0,
        is_idempotent=False,
    ):
        self.route = route
        self.priority = priority
        self.route_priority = route_priority
        self.objective_at = objective_at
        self.deadline_at = deadline_at
        self.expected_seconds = expected_seconds
        self.maximum_wait_seconds = maximum_wait_seconds
        self.on_granted = on_granted
        self.on_refused = on_refused
        self.offered_at = 0.0
        self.granted_at = None
        self.is_idempotent = is_idempotent
        self.is_late = False
        self.usual_seconds = expected_seconds
        self.concurrency = 0
        self.doubted_seconds = None

    def rank(self):
        """Return the sort key: by both priorities, then late requests last."""
        if self.is_late:
            return (self.priority, self.route_priority, 1, self.deadline_at)
        return (self.priority, self.route_priority, 0, self.objective_at)


class AdmissionController:
    """Grants the slots of one upstream to a priority queue of requests.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests on the upstream.
    cold_start : cold_start.ColdStartLimiter
        Limits the request rate while the upstream is cold.
    rate_limiter : rate_limit.RateLimiter, optional
        Limits the request rate while the upstream names a limit.
    capacity_estimator : capacity.CapacityEstimator, optional
        Learns a concurrency limit below the registered slots.
    order : grant_order.GrantOrder, optional
        Keeps the least urgent kind from starving; without it, the queue is
        served in the order of ``Ticket.rank`` alone.
    """

    def __init__(
        self,
        *,
        slots,
        cold_start,
        rate_limiter=None,
        capacity_estimator=None,
        order=None,
    ):
        self._registered_slots = slots
        self._capacity = capacity_estimator
        self._cold_start = cold_start
        if rate_limiter is None:
            rate_limiter = rate_limit.RateLimiter()
        self._rate_limiter = rate_limiter
        self.order = order
        self._waiting = []
        self._running = set()
        self._estimates = duration_estimates.DurationEstimates()
        self._mean_seconds = INITIAL_MEAN_SECONDS
        self._closed_error = None
        self._held_error = None

    @property
    def slots(self):
        """Maximum number of concurrent requests on the upstream now."""
        if self._capacity is None:
            return self._registered_slots
        return min(self._registered_slots, self._capacity.limit)

    def slowdown(self, now):
        """Return the duration relative to the usual one; 0 if not known."""
        if self._capacity is None:
            return 0.0
        return self._capacity.slowdown(
            now,
            ((ticket.route, ticket.granted_at) for ticket in self._running),
        )

    @property
    def in_use(self):
        """Number of slots that are in use."""
        return len(self._running)

    @property
    def queued(self):
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def close(self, error):
        """Refuse all waiting and new requests until ``open`` is called.

        Parameters
        ----------
        error : errors.CallError
            The reason, which each refused request gets.
        """
        self._closed_error = error
        self._held_error = None
        waiting, self._waiting = self._waiting, []
        for ticket in waiting:
            self._refuse(ticket, error)

    def _refuse(self, ticket, error):
        """Refuse a request that has waited."""
        self._estimates.on_ended(ticket)
        ticket.on_refused(error)

    @property
    def probe_count(self):
        """Number of requests that were sent to renew an estimate."""
        return self._estimates.probe_count

    def hold(self, error):
        """Grant no slots until ``open`` or ``close`` is called.

        Requests that allow for the wait are queued meanwhile.

        Parameters
        ----------
        error : errors.CallError
            What the others get, and those that have waited for too long.
        """
        self._closed_error = None
        self._held_error = error

    def open(self):
        """Accept requests again."""
        self._closed_error = None
        self._held_error = None

    @property
    def is_held(self):
        """Whether requests are queued without getting a slot."""
        return self._held_error is not None

    @property
    def is_open(self):
        """Whether new requests are accepted and get slots."""
        return self._closed_error is None and self._held_error is None

    def offer(self, ticket, now):
        """Grant a request a slot, or queue it until one is free.

        Raises
        ------
        errors.CallError
            The request is refused; ``retry_after``, if set, is the time in
            seconds after which the caller may try again.
        """
        # The traceback of a reused error would keep the frames of all refused
        # requests, and with them their bodies.
        if self._closed_error is not None:
            raise self._closed_error.with_traceback(None)
        if self._held_error is not None and (
            ticket.maximum_wait_seconds < startup.OPEN_WAIT_SECONDS
            or len(self._waiting) >= startup.MAXIMUM_HELD_AT_OWNER
        ):
            raise self._held_error.with_traceback(None)
        ticket.offered_at = now
        ticket.expected_seconds = self._estimates.expected_seconds(ticket)
        if self.order is not None:
            self.order.on_offered(ticket, now)
        self._check_deadline(ticket, now)
        expected = ticket.expected_seconds
        wait, rate_wait = self._expected_waits(now, ticket)
        if (
            now + wait + expected * ON_TIME_DURATION_FACTOR
            > ticket.objective_at
        ):
            ticket.is_late = True
            wait, rate_wait = self._expected_waits(now, ticket)
        latest_end = (
            now + (ticket.deadline_at - now) * MAXIMUM_DEADLINE_FRACTION
        )
        if wait > 0 and (
            now + wait + expected > latest_end
            or (ticket.is_late and wait > MAXIMUM_LATE_WAIT_SECONDS)
            or wait > ticket.maximum_wait_seconds
        ):
            self._estimates.on_ended(ticket)
            raise self._make_overloaded_error(wait, rate_wait)
        bisect.insort(self._waiting, ticket, key=Ticket.rank)
        self.dispatch(now)

    def _check_deadline(self, ticket, now):
        """Raise an error if a request is expected to miss its deadline."""
        expected = ticket.expected_seconds
        if now + expected * MINIMUM_REMAINING_FRACTION <= ticket.deadline_at:
            return
        if self._estimates.try_begin_probe(
            ticket, expected, self._running, now
        ):
            # Nothing is known of its duration.
            ticket.doubted_seconds = expected
            ticket.expected_seconds = 0.0
            return
        raise errors.DeadlineBeforeSendError(
            f"{max(0.0, ticket.deadline_at - now):.3f} s left before the "
            f"deadline; expected duration {expected:.3f} s"
        )

    def _make_overloaded_error(self, wait, rate_wait):
        """Return the refusal of a request; waits are in seconds.

        Parameters
        ----------
        wait : float
            Expected wait for a slot and for the limits on the request rate.
        rate_wait : float
            The part of it that the named limit requires.
        """
        error = errors.OverloadedError(
            f"{self.in_use} of {self.slots} slots in use, {self.queued} "
            f"waiting, expected wait {wait:.3f} s, {rate_wait:.3f} s of it "
            "for the limit that the upstream names"
            if rate_wait > 0
            else f"{self.in_use} of {self.slots} slots in use, {self.queued} "
            f"waiting, expected wait {wait:.3f} s"
        )
        maximum = MAXIMUM_RETRY_AFTER_SECONDS
        if math.isfinite(rate_wait):
            maximum = max(
                maximum, min(rate_wait, MAXIMUM_RATE_RETRY_AFTER_SECONDS)
            )
        error.retry_after = min(
            maximum, max(MINIMUM_RETRY_AFTER_SECONDS, wait)
        )
        return error

    def expected_wait(self, now, ticket=None):
        """Return the expected wait for a slot, in seconds.

        Parameters
        ----------
        now : float
        ticket : Ticket, optional
            Only queued requests that rank before it or equal are counted;
            without a ticket, all are.
        """
        return self._expected_waits(now, ticket)[0]

    def _expected_waits(self, now, ticket):
        """Return the expected wait and the part for the named limit."""
        waiting = self._waiting
        ahead = len(waiting)
        if ticket is not None and ahead:
            ahead = bisect.bisect_right(
                waiting, ticket.rank(), key=Ticket.rank
            )
        wait = 0.0
        if len(self._running) + ahead >= self.slots:
            # On average, a slot becomes free once in each mean duration
            # divided by the number of slots.
            work = self._mean_seconds
            for index in range(ahead):
                work += waiting[index].expected_seconds
            wait = work / self.slots
            if self.order is not None and ticket is not None:
                wait = self.order.bound_wait(
                    ticket, wait, waiting[:ahead], self.slots
                )
        rate_wait = self._rate_limiter.expected_wait(now, ahead)
        return (
            max(wait, self._cold_start_wait(now, ahead), rate_wait),
            rate_wait,
        )

    def _cold_start_wait(self, now, ahead):
        first = self._cold_start.seconds_until_allowed(now)
        if first <= 0 and not self._cold_start.is_cold(now):
            return 0.0
        return first + ahead / max(1.0, self._cold_start.rate)

    def dispatch(self, now):
        """Grant free slots to waiting requests in the order of their rank.

        Requests that cannot finish before their deadline are refused.
        """
        if self._capacity is not None:
            self._capacity.advance(now)
        if self._held_error is not None:
            return
        while self._waiting and len(self._running) < self.slots:
            if self._cold_start.seconds_until_allowed(now) > 0:
                return
            if not self._rate_limiter.available(now):
                return
            index = 0
            if self.order is not None:
                index = self.order.choose(self._waiting)
            ticket = self._waiting.pop(index)
            try:
                self._check_deadline(ticket, now)
            except errors.CallError as error:
                self._refuse(ticket, error)
                continue
            if not ticket.is_late and (
                now + ticket.expected_seconds > ticket.objective_at
            ):
                # Moves behind the requests of its priority that can still
                # meet their objective.
                ticket.is_late = True
                bisect.insort(self._waiting, ticket, key=Ticket.rank)
                continue
            self._grant(ticket, now)

    def _grant(self, ticket, now):
        ticket.granted_at = now
        self._running.add(ticket)
        self._estimates.on_granted(ticket)
        ticket.concurrency = len(self._running)
        if self.order is not None:
            self.order.on_granted(ticket)
        self._cold_start.on_sent(now)
        self._rate_limiter.on_sent(now)
        ticket.on_granted()

    def shed_waiting_requests(self, now):
        """Shed waiting requests that are expected to miss their deadline.

        Requests that are expected to miss only their objective are moved
        behind the others of their priority, and refused once they have
        waited for ``MAXIMUM_LATE_WAIT_SECONDS``.
        """
        if not self._waiting:
            return
        if self._held_error is not None:
            self._refuse_held_requests(now)
            return
        rate = max(1.0, self._cold_start.rate)
        is_cold = self._cold_start.is_cold(now)
        cold_wait = self._cold_start.seconds_until_allowed(now)
        work = self._mean_seconds
        kept = []
        refused = []
        for ticket in self._waiting:
            wait = work / self.slots
            if self.order is not None:
                wait = self.order.bound_wait(ticket, wait, kept, self.slots)
            if is_cold:
                wait = max(wait, cold_wait + len(kept) / rate)
            rate_wait = self._rate_limiter.expected_wait(now, len(kept))
            wait = max(wait, rate_wait)
            end = now + wait + ticket.expected_seconds
            if end > ticket.objective_at:
                ticket.is_late = True
            minimum_run = ticket.expected_seconds * MINIMUM_REMAINING_FRACTION
            if now + wait + minimum_run > ticket.deadline_at or (
                ticket.is_late
                and now - ticket.offered_at > MAXIMUM_LATE_WAIT_SECONDS
            ):
                refused.append((ticket, wait, rate_wait))
            else:
                work += ticket.expected_seconds
                kept.append(ticket)
        self._waiting = sorted(kept, key=Ticket.rank)
        for ticket, wait, rate_wait in refused:
            self._refuse(ticket, self._make_overloaded_error(wait, rate_wait))

    def _refuse_held_requests(self, now):
        """Refuse the requests whose time to be held has passed."""
        kept = []
        refused = []
        for ticket in self._waiting:
            until = startup.hold_until(
                ticket.offered_at, ticket.deadline_at, ticket.expected_seconds
            )
            (kept if now < until else refused).append(ticket)
        self._waiting = kept
        for ticket in refused:
            self._refuse(ticket, self._held_error)

    def cancel_request(self, ticket, now):
        """Remove a waiting or running request that its caller cancelled."""
        if ticket.granted_at is not None:
            self._release_slot(ticket, now)
        elif ticket in self._waiting:
            self._waiting.remove(ticket)
            self._estimates.on_ended(ticket)

    def on_completed(self, ticket, now, is_success=True):
        """Free the slot of a completed request and record its duration.

        Parameters
        ----------
        ticket : Ticket
        now : float
        is_success : bool
            Whether the upstream ran the request without an error; the
            concurrency limit is learned only from such requests.
        """
        seconds = now - ticket.granted_at
        if (
            is_success
            and seconds > 0
            and self._capacity is not None
            and math.isinf(self._rate_limiter.rate(now))
            and not self._cold_start.is_cold(now)
        ):
            self._capacity.on_completed(
                ticket.route,
                seconds,
                (ticket.concurrency + len(self._running)) / 2,
                now,
                ticket.usual_seconds,
            )
        self._estimates.on_completed(ticket, seconds)
        self._mean_seconds += SMOOTHING_FACTOR * (seconds - self._mean_seconds)
        self._release_slot(ticket, now)

    def on_aborted(self, ticket, now):
        """Free the slot of a request that ended without completing."""
        self._release_slot(ticket, now)

    def _release_slot(self, ticket, now):
        self._running.discard(ticket)
        self._estimates.on_ended(ticket)
        self.dispatch(now)

    def resize(self, slots, now):
        """Set the number of slots to what the upstream reports."""
        if slots != self._registered_slots:
            self._registered_slots = slots
            if self._capacity is not None:
                self._capacity.on_registered(slots, now)
            self.dispatch(now)
