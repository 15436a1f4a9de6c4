"""Tests of what a node learns about the calls of its upstream."""

import random

from shallotbridge.traffic import call_graph


def _learn(seed, seconds=60.0):
    """Return a graph after waves of runs, their calls, and other requests."""
    random_source = random.Random(seed)
    graph = call_graph.CallGraph(record=lambda action, **fields: None)
    events = []
    now = 0.0
    while now < seconds:
        # Bursts, in which the requests of clients come while the upstream is
        # busy.
        now += random_source.expovariate(30.0 if now % 8 > 5 else 5.0)
        route = random_source.choice(("browse", "report"))
        events.append((now, 1, route))
        events.append((now + 0.15, 2, route))
        if route == "browse":
            events.append((now + 0.05, 0, "call"))
        events.append((now, 0, random_source.choice(("look", "report"))))
    for at, step, route in sorted(events):
        if step == 0:
            graph.on_arrival(route, "b", at)
        elif step == 1:
            graph.on_run_started(route, at)
        else:
            graph.on_run_ended(route, at)
    return graph, seconds


def test_only_routes_of_calls_are_taken_for_calls():
    """Guards against requests of clients that get the precedence of calls.

    A rule by the number of running requests took them for calls in bursts.
    """
    for seed in range(20):
        graph, _ = _learn(seed)
        assert graph.call_routes() == ["call"]
        assert 0.7 < graph.calls_per_run("browse")["call"] < 1.4
        assert "call" not in graph.calls_per_run("report")


def test_requests_are_throttled_when_their_calls_or_more_urgent_ones_fail():
    """Guards against runs that end without use, and urgent ones refused."""
    graph, now = _learn(1)
    assert graph.success_ratio("browse", 2, now) == 1.0
    for number in range(20):
        graph.on_client_result("b", 1, number % 2 == 0, now)
    assert 0.5 < graph.success_ratio("browse", 2, now) < 0.7
    assert graph.success_ratio("browse", 1, now) == 1.0
    for number in range(20):
        graph.on_call_result("call", number % 5 == 0, now)
    assert graph.success_ratio("browse", 1, now) < 0.3
    assert graph.success_ratio("report", 1, now) == 1.0
    assert graph.success_ratio("browse", 1, now + 10.0) == 1.0


def test_requests_are_admitted_again_when_their_calls_are_served_again():
    """Guards against throttling that prevents the calls that would end it.

    The pattern: all calls fail for 10 s while the requests go on.
    """
    for seed in range(10):
        random_source = random.Random(seed)
        graph, start = _learn(seed)
        admitted = []
        for number in range(1000):
            now = start + number * 0.1
            ratio = graph.success_ratio("browse", 1, now)
            if ratio < 1 and random_source.random() >= ratio:
                graph.on_throttled("browse", now)
                continue
            admitted.append(now - start)
            graph.on_call_result("call", now - start > 10.0, now)
        assert sum(1 for at in admitted if 5 < at <= 10) <= 15
        assert sum(1 for at in admitted if at > 70) > 0.9 * 300
