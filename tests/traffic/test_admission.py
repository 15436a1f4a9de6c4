"""Who runs next on an upstream, who waits and who is refused."""

import heapq
import itertools
import random

import pytest

from shallotbridge.core import errors
from shallotbridge.traffic import admission
from shallotbridge.traffic import cold_start


class _Request:
    """A request of the simulated pattern and what became of it."""

    def __init__(self, *, arrival, objective, deadline, run, priority=1):
        self.arrival = arrival
        self.run = run
        self.refusal = None
        self.refused_at = None
        self.ended_at = None
        self.ticket = admission.Ticket(
            route=f"p{priority}",
            priority=priority,
            objective_at=arrival + objective,
            deadline_at=arrival + deadline,
            expected_seconds=0.1,
            on_granted=lambda: None,
            on_refused=self.refuse,
        )

    def refuse(self, error):
        self.refusal = error

    @property
    def is_on_time(self):
        return (
            self.ended_at is not None
            and self.ended_at <= self.ticket.objective_at
        )


def _play(requests, gate):
    """Run requests on simulated time; returns nothing, marks the requests."""
    numbers = itertools.count()
    events = [(r.arrival, next(numbers), "arrive", r) for r in requests]
    heapq.heapify(events)
    by_ticket = {r.ticket: r for r in requests}
    running = set()
    last = max(r.arrival for r in requests) + 3.0
    for step in range(int(last / 0.02)):
        heapq.heappush(events, (step * 0.02, next(numbers), "sweep", None))

    def note(now):
        for ticket, request in by_ticket.items():
            if ticket.granted_at is not None and request not in running:
                running.add(request)
                end = ticket.granted_at + request.run
                heapq.heappush(events, (end, next(numbers), "end", request))
            if request.refusal is not None and request.refused_at is None:
                request.refused_at = now

    while events:
        now, _, kind, request = heapq.heappop(events)
        if kind == "arrive":
            try:
                gate.offer(request.ticket, now)
            except errors.CallError as error:
                request.refuse(error)
        elif kind == "end":
            request.ended_at = now
            gate.on_run(request.ticket, now)
        else:
            gate.dispatch(now)
            gate.refuse_hopeless(now)
        note(now)


def _overload(rate, seconds, *, slots, seed=1):
    """Return requests at a multiple of what the slots can run."""
    source = random.Random(seed)
    now = 0.0
    requests = []
    while now < seconds:
        now += source.expovariate(rate * slots / 0.1)
        requests.append(
            _Request(
                arrival=now,
                objective=0.3,
                deadline=1.2,
                run=source.uniform(0.05, 0.15),
                priority=source.choice((0, 2)),
            )
        )
    return requests


def _first_come_first_served(requests, slots):
    """Return how many are on time without any policy, as the baseline."""
    free_at = [0.0] * slots
    on_time = 0
    for request in requests:
        start = max(request.arrival, heapq.heappop(free_at))
        end = start + request.run
        if start > request.ticket.deadline_at:
            end = start
        elif end <= request.ticket.objective_at:
            on_time += 1
        heapq.heappush(free_at, end)
    return on_time


def test_a_burst_of_1_7_keeps_the_slots_on_requests_that_can_be_on_time():
    """Guards against queues in which every request becomes late.

    Pattern: 1.7 times the capacity of six slots for eight seconds. Of what
    the slots can run, at least nine in ten must be on time.
    """
    requests = _overload(1.7, 8.0, slots=6)
    baseline = _first_come_first_served(requests, 6)
    gate = admission.Admission(slots=6, cold_start=cold_start.ColdStart())
    _play(requests, gate)
    on_time = sum(request.is_on_time for request in requests)
    capacity = 8.0 * 6 / 0.1
    assert on_time >= 0.9 * capacity
    assert on_time > 2 * baseline


def _share_on_time(requests):
    gate = admission.Admission(slots=6, cold_start=cold_start.ColdStart())
    _play(requests, gate)
    urgent = [r for r in requests if r.ticket.priority == 0]
    others = [r for r in requests if r.ticket.priority != 0]
    return [
        sum(r.is_on_time for r in own) / max(1, len(own))
        for own in (urgent, others)
    ]


def test_urgent_requests_are_served_before_others_in_a_burst():
    """Guards against urgent kinds being refused for less urgent ones.

    Pattern: 1.7 times the capacity, half of it urgent. The urgent ones are
    as often on time as if they were alone, within 3 in 100.
    """
    alone = [
        r
        for r in _overload(1.7, 8.0, slots=6, seed=2)
        if r.ticket.priority == 0
    ]
    share_alone, _ = _share_on_time(alone)
    urgent, others = _share_on_time(_overload(1.7, 8.0, slots=6, seed=2))
    assert urgent >= share_alone - 0.03
    assert urgent > others


def test_refusals_in_a_burst_come_early():
    """Guards against requests that are held and then refused."""
    requests = _overload(2.0, 6.0, slots=6, seed=3)
    gate = admission.Admission(slots=6, cold_start=cold_start.ColdStart())
    _play(requests, gate)
    held = [
        r.refused_at - r.arrival for r in requests if r.refused_at is not None
    ]
    assert held
    assert max(held) < 0.3
    assert all(
        r.refusal.retry_after > 0
        for r in requests
        if isinstance(r.refusal, errors.OverloadedError)
    )


def test_no_slot_stays_idle_while_a_request_waits():
    """Guards against free slots beside a queue."""
    gate = admission.Admission(slots=2, cold_start=cold_start.ColdStart())
    requests = [
        _Request(arrival=0.0, objective=1.0, deadline=2.0, run=0.1)
        for _ in range(3)
    ]
    for request in requests:
        gate.offer(request.ticket, 0.0)
    assert (gate.in_use, gate.queued) == (2, 1)
    gate.on_run(requests[0].ticket, 0.1)
    assert (gate.in_use, gate.queued) == (2, 0)


def test_a_cold_upstream_gets_its_rate_in_any_second():
    """Guards against crashing an upstream that has just started."""
    cold = cold_start.ColdStart()
    cold.begin(0.0, 3.0, 16.0)
    gate = admission.Admission(slots=6, cold_start=cold)
    requests = _overload(1.5, 3.0, slots=6, seed=4)
    _play(requests, gate)
    sent = sorted(r.ticket.granted_at for r in requests if r.ticket.granted_at)
    for index, start in enumerate(sent):
        if start < 1.9:
            window = [t for t in sent[index:] if t < start + 1.0]
            assert len(window) <= 16


def test_too_little_time_left_is_refused_at_once():
    """Guards against starting requests that cannot end in time."""
    gate = admission.Admission(slots=1, cold_start=cold_start.ColdStart())
    request = _Request(arrival=0.0, objective=0.3, deadline=0.05, run=0.1)
    with pytest.raises(errors.DeadlineBeforeSendError):
        gate.offer(request.ticket, 0.0)


def test_a_closed_gate_refuses_those_that_wait():
    """Guards against requests that hang when the upstream leaves."""
    gate = admission.Admission(slots=1, cold_start=cold_start.ColdStart())
    requests = [
        _Request(arrival=0.0, objective=1.0, deadline=2.0, run=0.1)
        for _ in range(2)
    ]
    for request in requests:
        gate.offer(request.ticket, 0.0)
    gate.close(errors.LeavingError("the upstream is draining"))
    assert isinstance(requests[1].refusal, errors.LeavingError)
    assert requests[0].refusal is None
    with pytest.raises(errors.LeavingError):
        gate.offer(requests[1].ticket, 0.1)
