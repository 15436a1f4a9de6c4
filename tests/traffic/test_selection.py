"""Tests of the selection of upstreams."""

import collections
import math
import random

import msgspec
import pytest

from shallotbridge._generated import link
from shallotbridge.core import errors
from shallotbridge.traffic import selection
from shallotbridge.traffic import self_report

from tests.traffic import builders


def _selector(*upstreams, seed=1):
    selector = selection.Selector(
        own_address="10.0.0.1", own_domain="a", random=random.Random(seed)
    )
    selector.on_view_changed(builders.view(None, *upstreams))
    return selector


def _load(free, wait_ms=0.0, is_open=True):
    return link.Load(
        slots=6, free=free, wait_ms=wait_ms, is_open=is_open, position=1
    )


def _choose(selector, upstreams, now=0.0, **options):
    return selector.choose(
        list(upstreams), builders.route(), set(), now, **options
    ).upstream.upstream_id


def test_own_domain_is_preferred_while_it_has_free_slots():
    """Guards against needless traffic between failure domains."""
    pair = builders.upstream(1), builders.upstream(2, failure_domain="b")
    selector = _selector(*pair)
    assert {_choose(selector, pair) for _ in range(50)} == {"u1"}


def test_other_domain_is_used_before_a_queue_forms():
    """Guards against queueing while another domain has free slots."""
    pair = builders.upstream(1), builders.upstream(2, failure_domain="b")
    selector = _selector(*pair)
    selector.on_load_report("10.0.0.1", _load(free=0, wait_ms=80.0), 0.0)
    selector.on_load_report("10.0.0.2", _load(free=4), 0.0)
    assert _choose(selector, pair) == "u2"


def test_one_free_upstream_does_not_get_all_requests():
    """Guards against a thundering herd at an upstream with free slots.

    One load report has two free slots, and twenty requests follow before the
    next report.
    """
    several = [builders.upstream(number) for number in (1, 2, 3)]
    selector = _selector(*several)
    for number, free in ((1, 2), (2, 0), (3, 0)):
        selector.on_load_report(f"10.0.0.{number}", _load(free, 10.0), 0.0)
    sent = []
    for _ in range(20):
        chosen = _choose(selector, several)
        selector.on_sent(chosen, 0.0)
        sent.append(chosen)
    assert max(sent.count(f"u{number}") for number in (1, 2, 3)) <= 10


def test_slow_upstream_is_avoided_and_tried_again_later():
    """Guards against full load on upstreams that become five times slower.

    A third of the upstreams of a service can be affected.
    """
    pair = builders.upstream(1), builders.upstream(2)
    selector = _selector(*pair)
    route = builders.route()
    for _ in range(20):
        selector.on_answer(pair[0], route, 0.5, 0.0)
        selector.on_answer(pair[1], route, 0.1, 0.0)
    assert {_choose(selector, pair, now=0.1) for _ in range(30)} == {"u2"}
    later = {_choose(selector, pair, now=40.0) for _ in range(100)}
    assert later == {"u1", "u2"}


def test_failing_upstream_with_passing_health_checks_is_avoided():
    """Guards against trusting the health checks of a failing upstream."""
    pair = builders.upstream(1), builders.upstream(2)
    selector = _selector(*pair)
    for _ in range(5):
        selector.on_failure(pair[0], 0.0)
    assert {_choose(selector, pair) for _ in range(30)} == {"u2"}


def test_unreachable_owner_node_is_skipped_until_reached():
    """Guards against requests to an unreachable failure domain."""
    pair = builders.upstream(1), builders.upstream(2)
    selector = _selector(*pair)
    selector.on_owner_unreachable("10.0.0.1")
    assert {_choose(selector, pair) for _ in range(30)} == {"u2"}
    assert selector.unreachable_addresses() == ["10.0.0.1"]
    selector.on_owner_reachable("10.0.0.1")
    assert "u1" in {_choose(selector, pair) for _ in range(100)}


def test_closed_owner_node_is_tried_again_after_cooldown():
    """Guards against skipping a drained or cold upstream permanently."""
    only = builders.upstream(1)
    selector = _selector(only)
    selector.on_load_report("10.0.0.1", _load(0, is_open=False), 0.0)
    with pytest.raises(errors.NoUpstreamError):
        _choose(selector, [only], now=0.1)
    assert _choose(selector, [only], now=1.0) == "u1"


def test_upstream_above_maximum_wait_is_skipped():
    """Guards against offers that are expected to be refused."""
    only = builders.upstream(1)
    selector = _selector(only)
    selector.on_load_report("10.0.0.1", _load(0, wait_ms=500.0), 0.0)
    with pytest.raises(errors.NoUpstreamError):
        _choose(selector, [only], now=0.1, maximum_wait_seconds=0.1)


def _choice_counts_of_node(number, upstreams, choices=200):
    """Return how often a node of domain a selects each upstream."""
    selector = selection.Selector(
        own_address=f"10.0.1.{number}",
        own_domain="a",
        random=random.Random(number),
    )
    selector.on_view_changed(builders.view(None, *upstreams))
    route = builders.route()
    choices_made = [
        selector.choose(upstreams, route, set(), 0.0) for _ in range(choices)
    ]
    assert max(choice.candidates for choice in choices_made) <= 14
    return collections.Counter(
        choice.upstream.upstream_id for choice in choices_made
    )


def _large_service(count=64):
    """Return upstreams of two domains, all with free slots."""
    return tuple(
        builders.upstream(number, failure_domain="ab"[number % 2])
        for number in range(count)
    )


def test_subsets_of_all_nodes_cover_a_large_service():
    """Guards against selections and connections that grow with the fleet.

    40 nodes of one domain use 32 upstreams there and 32 elsewhere, all with
    free slots. Each node uses few upstreams, each upstream of the domain is
    used, and none gets more than three times the mean load.
    """
    upstreams = _large_service()
    used = [_choice_counts_of_node(number, upstreams) for number in range(40)]
    assert max(len(one) for one in used) <= selection.SUBSET_SIZE_OWN_DOMAIN
    total = sum(used, collections.Counter())
    assert set(total) == {f"u{number}" for number in range(0, 64, 2)}
    assert max(total.values()) <= 3 * total.total() / len(total)


def test_one_upstream_of_a_subset_changes_when_one_leaves():
    """Guards against new connections to all upstreams after each change."""
    upstreams = _large_service()
    before = set(_choice_counts_of_node(1, upstreams))
    removed = max(before)
    after = set(
        _choice_counts_of_node(
            1, tuple(one for one in upstreams if one.upstream_id != removed)
        )
    )
    assert len(after - before) == 1


def test_upstreams_outside_the_subset_are_used_when_it_is_full():
    """Guards against refusals while upstreams outside the subset are free."""
    upstreams = _large_service()
    selector = selection.Selector(
        own_address="10.0.1.1", own_domain="a", random=random.Random(1)
    )
    selector.on_view_changed(builders.view(None, *upstreams))
    chosen = set()
    for _ in range(40):
        upstream_id = _choose(selector, upstreams)
        selector.on_load_report(
            f"10.0.0.{upstream_id[1:]}", _load(0, 300.0), 0.0
        )
        chosen.add(upstream_id)
    near = (
        selection.SUBSET_SIZE_OWN_DOMAIN + selection.SUBSET_SIZE_OTHER_DOMAINS
    )
    assert len(chosen) > near


def test_large_answers_stay_in_own_domain_at_short_queue_times():
    """Guards against traffic between domains that does not help a caller.

    One route has answers of 90 KB and the other of 0.4 KB, and the upstream
    of the own domain has a short queue (kozmisir-mesh). The route with small
    answers uses the other domain first.
    """
    pair = builders.upstream(1), builders.upstream(2, failure_domain="b")
    selector = _selector(*pair)
    large_route = builders.route(name="sheet")
    small_route = builders.route(name="order")
    for upstream in pair:
        selector.on_answer(upstream, large_route, 0.1, 0.0, 90_000)
        selector.on_answer(upstream, small_route, 0.1, 0.0, 400)
    selector.on_load_report("10.0.0.1", _load(0, 120.0), 0.0)
    selector.on_load_report("10.0.0.2", _load(4), 0.0)

    def chosen(route):
        choice = selector.choose(pair, route, set(), 0.0)
        return choice.upstream.upstream_id

    assert {chosen(large_route) for _ in range(30)} == {"u1"}
    assert {chosen(small_route) for _ in range(30)} == {"u2"}
    selector.on_load_report("10.0.0.1", _load(0, 900.0), 0.0)
    assert {chosen(large_route) for _ in range(30)} == {"u2"}


def _limited(limit, sender_count=4, wait_ms=0.0):
    return link.Load(
        slots=6,
        free=6,
        wait_ms=wait_ms,
        is_open=True,
        position=1,
        limit=limit,
        sender_count=sender_count,
    )


def _send_for(selector, upstreams, seconds, rate):
    """Send requests at a rate; return how many each upstream got."""
    counts = collections.Counter()
    for step in range(int(seconds * rate)):
        now = step / rate
        try:
            chosen = _choose(selector, upstreams, now=now)
        except errors.NoUpstreamError:
            counts["none"] += 1
            continue
        counts[chosen] += 1
        selector.on_sent(chosen, now)
        selector.on_ended(chosen)
        address = upstreams[int(chosen[1:]) - 1].address
        selector.on_load_report(address, _load_of(chosen), now)
    return counts


def _load_of(upstream_id):
    """Return the load report of u1, which is limited, or of another."""
    return _limited(8.0) if upstream_id == "u1" else _limited(math.inf)


def test_a_node_keeps_to_its_share_of_a_limited_upstream():
    """Guards against offers that the owner node must refuse.

    Pattern: one of three upstreams has free slots and a limit of eight
    requests a second, which four nodes share. This node sends 30 a second.
    """
    several = [builders.upstream(number) for number in (1, 2, 3)]
    selector = _selector(*several)
    selector.on_load_report("10.0.0.1", _limited(8.0), 0.0)
    counts = _send_for(selector, several, 4.0, 30)
    assert 6 <= counts["u1"] <= 10
    assert counts["none"] == 0


def test_a_limited_upstream_is_used_if_all_are_limited():
    """Guards against requests without an upstream while limits have room.

    The load of the other nodes is not known here; their owner decides.
    """
    pair = builders.upstream(1), builders.upstream(2)
    selector = _selector(*pair)
    for number in (1, 2):
        selector.on_load_report(f"10.0.0.{number}", _limited(1.0), 0.0)
    chosen = []
    for _ in range(10):
        chosen.append(_choose(selector, pair))
        selector.on_sent(chosen[-1], 0.0)
    assert chosen.count("u1") == chosen.count("u2") == 5


def test_an_upstream_with_a_limit_of_zero_is_tried_again_later():
    """Guards against an upstream that never gets requests again.

    A load report is used for two seconds; then the owner node is asked.
    """
    several = [builders.upstream(1)]
    selector = _selector(*several)
    selector.on_load_report("10.0.0.1", _limited(0.0, wait_ms=math.inf), 0.0)
    with pytest.raises(errors.NoUpstreamError):
        _choose(selector, several, now=1.0)
    assert _choose(selector, several, now=2.5) == "u1"


def test_an_owner_of_an_older_build_gets_the_share_of_the_limit():
    """Guards against exceeding a limit that the owner node does not know.

    Pattern: during a rollout, the owner nodes of the older build neither
    enforce nor report the limit that answers name. Ten nodes share it.
    """
    several = [builders.upstream(number) for number in range(1, 11)]
    selector = _selector(*several)
    report = self_report.SelfReport(
        names_limit=True, limit=20.0, is_leaving=False
    )
    sent = 0
    for step in range(400):
        now = step / 100
        selector.on_self_report("u1", report, now, now)
        selector.on_load_report("10.0.0.1", _load(free=6), now)
        try:
            _choose(selector, several[:1], now=now)
        except errors.NoUpstreamError as error:
            assert 0 < error.retry_after <= 0.5
        else:
            selector.on_sent("u1", now)
            selector.on_ended("u1")
            sent += 1
    assert 7 <= sent <= 10
    selector.on_self_report("u1", self_report.NO_REPORT, 5.0, 5.1)
    assert selector.known_limit("u1", 5.1) is None


def test_an_early_answer_does_not_end_a_known_limit():
    """Guards against a limit that ends with an answer sent before it."""
    selector = _selector(builders.upstream(1))
    report = self_report.SelfReport(
        names_limit=True, limit=20.0, is_leaving=False
    )
    selector.on_self_report("u1", report, 1.0, 1.1)
    selector.on_self_report("u1", self_report.NO_REPORT, 1.0, 1.2)
    assert selector.known_limit("u1", 1.2) == 20.0
    assert selector.known_limit("u1", 60.0) is None


@pytest.mark.parametrize(
    ("slowdowns", "now", "expected"),
    [
        ((2.5, 1.0), 0.5, {"u2"}),
        ((2.5, 1.0), 2.5, {"u1", "u2"}),
        ((0.0, 0.0), 0.5, {"u1", "u2"}),
    ],
    ids=["recent", "too old", "of an older build"],
)
def test_only_recent_reports_of_a_slowdown_count(slowdowns, now, expected):
    """Guards against avoiding an upstream for what it was long ago."""
    pair = [builders.upstream(1), builders.upstream(2)]
    selector = selection.Selector(
        own_address="10.0.0.9",
        own_domain="a",
        random=random.Random(1),
        is_capacity_learned=True,
    )
    selector.on_view_changed(builders.view(None, *pair))
    for one, slowdown in zip(pair, slowdowns):
        load = msgspec.structs.replace(_load(free=4), slowdown=slowdown)
        selector.on_load_report(one.address, load, 0.0)
    assert {_choose(selector, pair, now) for _ in range(50)} == expected
