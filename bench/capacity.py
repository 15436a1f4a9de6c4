"""Discrete-time models of upstreams for learned capacity, without a network.

``python -m bench.capacity`` prints the shares within the objective with
learned and with fixed limits. The tests of ``traffic/capacity.py`` and
``traffic/selection.py`` use the models.
"""

import heapq
import itertools
import random

from shallotbridge._generated import link
from shallotbridge.core import errors
from shallotbridge.traffic import admission
from shallotbridge.traffic import capacity
from shallotbridge.traffic import cold_start
from shallotbridge.traffic import selection
from tests.traffic import builders

STEP_SECONDS = 0.002
WORK_SECONDS = 0.144
OBJECTIVE_SECONDS = 0.477
DEADLINE_SECONDS = 1.575
SLOTS = 3
ROUTE = builders.route(timeout_seconds=1.575, objective_seconds=0.477)
DOMAINS = ("a", "b", "c")
PER_DOMAIN = 8


def simulate_upstream(
    *,
    slots,
    rate,
    speed,
    limit=None,
    is_learned=False,
    seed=1,
    seconds=40.0,
    warm_up=3.0,
    works=(WORK_SECONDS,),
    call_seconds=lambda now: 0.0,
):
    """Return mean and p99 of the duration and the share within the objective.

    ``speed(concurrency, now)`` is the progress of each running request. The
    time before ``warm_up`` is left out. A fixed ``limit`` replaces the slots.
    """
    rng = random.Random(seed)
    estimator = capacity.CapacityEstimator(registered=slots)
    control = admission.AdmissionController(
        slots=limit or slots,
        cold_start=cold_start.ColdStartLimiter(),
        capacity_estimator=estimator if is_learned else None,
    )
    running, durations, offered = {}, [], 0
    now, next_at = 0.0, rng.expovariate(rate)
    work_rng = random.Random(seed + 1)
    while now < seconds:
        while next_at <= now:
            mean = works[0]
            if len(works) > 1:
                mean = work_rng.choice(works)
            work = work_rng.gammavariate(2.0, mean / 2)
            ticket = admission.Ticket(
                route=f"work-{mean}",
                priority=1,
                objective_at=now + OBJECTIVE_SECONDS,
                deadline_at=now + DEADLINE_SECONDS,
                expected_seconds=mean,
                on_granted=lambda: None,
                on_refused=lambda error: None,
            )
            ticket.on_granted = lambda t=ticket, w=work: running.update(
                {t: [w, call_seconds(t.granted_at)]}
            )
            offered += now >= warm_up
            try:
                control.offer(ticket, now)
            except errors.CallError:
                pass
            next_at += rng.expovariate(rate)
        now += STEP_SECONDS
        progress = STEP_SECONDS * speed(len(running), now)
        for ticket in list(running):
            left = running[ticket]
            if left[1] > 0:
                left[1] -= STEP_SECONDS
                continue
            left[0] -= progress
            if left[0] <= 0:
                del running[ticket]
                control.on_completed(ticket, now)
                if ticket.offered_at >= warm_up:
                    durations.append(now - ticket.offered_at)
        if round(now / STEP_SECONDS) % 10 == 0:
            control.dispatch(now)
            control.shed_waiting_requests(now)
    durations.sort()
    on_time = sum(one <= OBJECTIVE_SECONDS for one in durations)
    return (
        sum(durations) / len(durations),
        durations[int(len(durations) * 0.99)],
        on_time / offered,
        estimator,
    )


def slow_from_half(slots, exponent):
    """Return an upstream that slows down from half of its slots on."""
    half = slots / 2
    return lambda running, now: min(1.0, (half / max(1, running)) ** exponent)


def mean_share(**options):
    """Return the share within the objective, of two runs."""
    return (
        sum(simulate_upstream(seed=seed, **options)[2] for seed in (1, 2)) / 2
    )


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


def simulate_fleet(
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


def main():
    """Print shares with learned, fixed and the best fixed limit."""
    for slots, load in itertools.product((3, 5, 9), (0.7, 0.95, 1.3)):
        for name, speed, best_rate in (
            ("slow from half", slow_from_half(slots, 1.5), 0.5),
            ("steady", lambda running, now: 1.0, 1.0),
        ):
            options = dict(
                slots=slots,
                rate=load * best_rate * slots / WORK_SECONDS,
                speed=speed,
                seconds=75.0,
                warm_up=15.0,
            )
            print(
                name,
                slots,
                load,
                f"learned {mean_share(is_learned=True, **options):.3f}",
                [
                    f"{mean_share(limit=limit, **options):.3f}"
                    for limit in range(1, slots + 1)
                ],
            )


if __name__ == "__main__":
    main()
