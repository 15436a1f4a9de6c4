"""Tests of balancing by expected finish, without a network.

A discrete-time model of several entry nodes (their selectors) and owner nodes
(their admission control and estimators). Upstreams differ in speed, and an
entry node has a load report of an upstream about once a second.
"""

import heapq
import itertools
import random

import pytest

from shallotbridge._generated import link
from shallotbridge.core import errors
from shallotbridge.traffic import admission
from shallotbridge.traffic import capacity
from shallotbridge.traffic import cold_start
from shallotbridge.traffic import selection

from tests.traffic import builders

SLOTS = 3
WORK_SECONDS = 0.144
ROUTE = builders.route(timeout_seconds=1.575, objective_seconds=0.477)
DOMAINS = ("a", "b", "c")
PER_DOMAIN = 8


class _Owner:
    def __init__(self, upstream, is_learned):
        self.upstream = upstream
        estimator = capacity.CapacityEstimator(registered=SLOTS)
        self.control = admission.AdmissionController(
            slots=SLOTS,
            cold_start=cold_start.ColdStartLimiter(),
            capacity_estimator=estimator if is_learned else None,
        )
        self.runs = 0

    def load(self, now):
        control = self.control
        return link.Load(
            slots=control.slots,
            free=control.slots - control.in_use - control.queued,
            wait_ms=control.expected_wait(now) * 1000,
            is_open=True,
            position=1,
            slowdown=control.slowdown(now),
        )


def _simulate(
    *, is_learned, demands, speed, seconds=30.0, byte_count=0, seed=1
):
    """Run entry nodes and return (share on time, p99, far share, runs).

    Parameters
    ----------
    demands : sequence of float
        Demand of the failure domains relative to their usual capacity.
    speed : callable
        ``speed(index, now)`` of an upstream for requests that begin now.

    Returns
    -------
    tuple
        Share within the objective, mean and p99 of the duration, share sent
        from the first domain to others, and runs by upstream; after 5 s.
    """
    rng = random.Random(seed)
    upstreams = [
        builders.upstream(
            index + 1, failure_domain=DOMAINS[index // PER_DOMAIN], slots=SLOTS
        )
        for index in range(len(DOMAINS) * PER_DOMAIN)
    ]
    view = builders.view(builders.configuration(ROUTE), *upstreams)
    owners_by_id = {
        one.upstream_id: _Owner(one, is_learned) for one in upstreams
    }
    events, numbers = [], itertools.count()
    offered, far, durations = 0, [0, 0], []

    def schedule(at, action):
        heapq.heappush(events, (at, next(numbers), action))

    def make_node(domain, number, rate):
        selector = selection.Selector(
            own_address=f"10.1.{domain}.{number}",
            own_domain=domain,
            random=random.Random(f"{domain}{number}"),
            **({"is_capacity_learned": True} if is_learned else {}),
        )
        selector.on_view_changed(view)

        def arrive(now):
            nonlocal offered
            schedule(now + rng.expovariate(rate), arrive)
            offered += now >= 5.0
            offer(now, now, set(), rng.gammavariate(2.0, WORK_SECONDS / 2))

        def offer(now, started, excluded, work):
            try:
                choice = selector.choose(upstreams, ROUTE, excluded, now)
            except errors.NoUpstreamError:
                return
            upstream = choice.upstream
            excluded.add(upstream.upstream_id)
            owner = owners_by_id[upstream.upstream_id]
            selector.on_sent(upstream.upstream_id, now)

            def end(now, error=None):
                selector.on_ended(upstream.upstream_id)
                selector.on_load_report(upstream.address, owner.load(now), now)
                if error is not None and len(excluded) < 8:
                    offer(now, started, excluded, work)

            def granted():
                owner.runs += clock[0] >= 5.0
                run = work / speed(int(upstream.upstream_id[1:]) - 1, clock[0])
                schedule(clock[0] + run, lambda now: completed(now, run))

            def completed(now, run):
                owner.control.on_completed(ticket, now)
                end(now)
                selector.on_answer(upstream, ROUTE, run, now, byte_count)
                if started >= 5.0:
                    durations.append(now - started)
                    if domain == "a":
                        far[upstream.failure_domain != "a"] += 1

            ticket = admission.Ticket(
                route="browse",
                priority=1,
                objective_at=started + ROUTE.objective_seconds,
                deadline_at=started + ROUTE.timeout_seconds,
                expected_seconds=selector.expected_seconds(ROUTE),
                maximum_wait_seconds=(
                    choice.expected_wait * 1.5 + 0.01
                    if len(excluded) < 7
                    else float("inf")
                ),
                on_granted=granted,
                on_refused=lambda error: end(clock[0], error),
            )
            try:
                owner.control.offer(ticket, now)
            except errors.CallError as error:
                refusal = error
                schedule(now + 0.001, lambda now: end(now, refusal))

        schedule(rng.expovariate(rate), arrive)

    for domain, demand in zip(DOMAINS, demands):
        rate = demand * SLOTS / WORK_SECONDS
        for number in range(PER_DOMAIN):
            make_node(domain, number, rate)

    def check_queues(now):
        schedule(now + 0.02, check_queues)
        for owner in owners_by_id.values():
            owner.control.dispatch(now)
            owner.control.shed_waiting_requests(now)

    schedule(0.02, check_queues)
    clock = [0.0]
    while clock[0] < seconds:
        clock[0], _, action = heapq.heappop(events)
        action(clock[0])
    durations.sort()
    on_time = sum(one <= ROUTE.objective_seconds for one in durations)
    return (
        on_time / offered,
        sum(durations) / len(durations),
        durations[int(len(durations) * 0.99)],
        far[1] / sum(far),
        [owner.runs for owner in owners_by_id.values()],
    )


def _compare(**options):
    """Return the outcomes with free slots alone and by expected finish."""
    return [
        _simulate(is_learned=is_learned, **options)
        for is_learned in (False, True)
    ]


def test_no_more_than_the_excess_leaves_a_busy_failure_domain():
    """Guards against needless bytes between failure domains.

    The clients of one failure domain ask for 1.3 times what its upstreams can
    run, so at least 0.23 of their requests have to leave it; the others have
    room. Without learned capacity 0.37 of them left.
    """
    before, after = _compare(
        demands=(1.3, 0.5, 0.5), speed=lambda index, now: 1.0
    )
    assert after[0] >= 0.99 * before[0]
    assert 0.23 <= after[3] <= 0.34 < before[3]


def test_bytes_keep_requests_in_their_failure_domain():
    """Guards against large answers that cross failure domains needlessly."""
    small, large = [
        _simulate(
            is_learned=True,
            demands=(0.9, 0.5, 0.5),
            speed=lambda index, now: 1.0,
            byte_count=byte_count,
        )
        for byte_count in (0, 50_000)
    ]
    assert large[3] < small[3] / 2
    assert large[0] >= 0.97 * small[0]


@pytest.mark.parametrize(
    "speed",
    [
        lambda index, now: (0.6, 1.0, 1.5)[index % 3],
        lambda index, now: 0.2 if index % 8 == 0 and 10 < now < 18 else 1.0,
    ],
    ids=["three speeds", "5 times slower for 8 s"],
)
def test_requests_stay_near_although_speeds_differ(speed):
    """Guards against random detours while near upstreams have room.

    At 0.7 of the capacity up to 0.2 of the requests left their failure domain
    without need. The share within the objective and the p99 must not suffer.
    """
    before, after = _compare(demands=(0.7,) * 3, speed=speed)
    assert after[0] >= 0.99 * before[0]
    assert after[2] <= 1.02 * before[2]
    assert after[3] < before[3] / 2
