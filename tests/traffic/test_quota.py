"""Tests of quotas over simulated fleets, and of their parts."""

import random

import pytest
import trio

from bench import quota as fleets
from shallotbridge.core import errors
from shallotbridge.traffic import model
from shallotbridge.traffic import quota
from shallotbridge.traffic import quota_accounts

from tests.traffic import builders
from tests.traffic import test_entry

BOUNDS = fleets.BOUNDS
# Part of the offered requests that may be refused below the quota while
# nothing fails, and under one failure.
EXACT_RATIO = 0.012
FAILURE_RATIO = 0.05


def _run(rate, name, seed=1):
    customer = fleets.make_customer(rate)
    events, load = fleets.scenarios(customer)[name]
    return fleets.simulate(
        fleets.LentTokens(seed=seed),
        customer,
        load=load,
        seconds=26.0,
        events=events,
        seed=seed,
    )


@pytest.mark.parametrize("rate", [114, 16, 3])
@pytest.mark.parametrize(
    "name, refused", [("usual", EXACT_RATIO), ("7.5-fold for 6.5 s", 0.006)]
)
def test_a_customer_gets_its_quota_and_no_more(rate, name, refused):
    """Guards against refusals below and requests beyond a quota."""
    result = _run(rate, name)
    assert result.excess <= 1
    assert result.refused_below <= refused


@pytest.mark.parametrize("rate", [114, 16, 3])
@pytest.mark.parametrize(
    "name",
    [
        "home crashes 1.5 s, usual",
        "home crashes 1.5 s, 7.5-fold",
        "home gone, double",
        "halves 14 s, usual",
        "halves 14 s, double",
        "domain cut 14 s, usual",
        "domain cut 14 s, double",
    ],
)
def test_quotas_hold_under_a_failure(rate, name):
    """Guards against quotas that double, or end, when nodes are lost."""
    result = _run(rate, name)
    assert result.excess <= 1
    assert result.refused_below <= FAILURE_RATIO


@pytest.mark.parametrize("load", [0.8, 3.0])
def test_a_frozen_home_node_lends_nothing_for_its_pause(load):
    """Guards against a bucket that refilled while others lent for it."""
    customer = fleets.make_customer(114)
    result = fleets.simulate(
        fleets.LentTokens(),
        customer,
        load=lambda now: load * customer.rate,
        seconds=20.0,
        events=(
            (6.0, lambda fleet, now: fleet.stop(fleet.home_of(customer), now)),
            (
                10.0,
                lambda fleet, now: fleet.resume(fleet.home_of(customer), now),
            ),
        ),
    )
    assert result.excess <= 1
    assert result.refused_below <= FAILURE_RATIO


def test_a_lowered_limit_binds():
    """Guards against buckets and loans that outlast a lower limit."""
    customer = fleets.make_customer(114)
    lowered = fleets.make_customer(20)
    result = fleets.simulate(
        fleets.LentTokens(),
        customer,
        load=lambda now: 100.0,
        events=((8.0, lambda fleet, now: lowered),),
    )
    after = [time for time in result.served_at if time > 8.0]
    assert fleets.worst_window(after) <= fleets.bound(lowered)
    assert len(after) >= 0.9 * 12 * lowered.rate


@pytest.mark.parametrize("load", [0.8, 2.0])
def test_customers_of_very_different_size(load):
    """Guards against small customers that lose by sharing out their quota."""
    customers = [
        fleets.make_customer(rate, name=f"customer-{number}")
        for number, rate in enumerate(fleets.SIZES)
    ]
    fleet = fleets.LentTokens()
    counts = fleets.simulate_all(fleet, customers, load=load)
    assert len(customers) == 86
    offered, served, ideal = map(sum, zip(*counts))
    assert ideal - served <= 0.02 * offered
    # An exact bucket starts full and those of an unknown predecessor do not.
    assert served <= ideal
    for customer, (_, served_each, ideal_each) in zip(customers, counts):
        assert ideal_each - served_each <= 3 + 0.6 * customer.burst
    assert fleet.messages <= 1.01 * offered


@pytest.mark.parametrize("rate", [114, 16])
def test_lent_tokens_beat_shares(rate):
    """Guards against a comparison in the design note that no longer holds."""
    refused = []
    for make in (
        lambda: fleets.LentTokens(),
        lambda: fleets.Shares(follows_demand=True),
        lambda: fleets.Shares(),
    ):
        customer = fleets.make_customer(rate)
        result = fleets.simulate(
            make(), customer, load=lambda now: 0.8 * rate, seconds=15.0
        )
        refused.append(result.refused_below)
    assert refused[0] <= EXACT_RATIO
    assert min(refused[1:]) > 10 * EXACT_RATIO


def _make_home(now=0.0, addresses=("a",)):
    order = quota.HomeOrder()
    order.update(addresses)
    return (
        quota.Home(own_address="a", order=order, bounds=BOUNDS, now=now),
        order,
    )


def _drain(home, customer, now):
    count = 0
    while home.grant(
        customer, tokens=1, demand=1.0, sender="a", now=now
    ).tokens:
        count += 1
    return count


def test_only_buckets_of_new_customers_start_full():
    """Guards against a burst with each restart of a home node."""
    customer = fleets.make_customer(100)
    restarted, _ = _make_home()
    restarted.on_customers_changed(None, {customer.name: customer}, 0.0)
    assert 0 < _drain(restarted, customer, 0.0) <= 50
    # What passes from then on counts, also before the first question.
    idle, _ = _make_home()
    idle.refresh((), 0.9)
    assert 90 <= _drain(idle, customer, 0.9) <= 100
    informed, _ = _make_home()
    informed.on_customers_changed((), {customer.name: customer}, 0.0)
    assert _drain(informed, customer, 0.0) == 100
    # Another node was home of the new customer until now.
    successor, order = _make_home(addresses=("a", "b"))
    successor.on_customers_changed((), {customer.name: customer}, 0.0)
    successor.on_nodes_removed(order.update(("a",)), 5.0)
    assert 0 < _drain(successor, customer, 5.0) <= 50


def test_a_bucket_gets_nothing_for_a_pause_and_follows_its_limit():
    """Guards against tokens that others lent, or of a higher limit."""
    customer = fleets.make_customer(10, burst=100)
    home, _ = _make_home()
    _drain(home, customer, 0.0)
    assert 8 <= _drain(home, customer, 0.9) <= 9
    assert 9 <= _drain(home, customer, 60.0) <= 11
    home.refresh((), 60.9)
    lowered = fleets.make_customer(10, burst=5)
    assert _drain(home, lowered, 60.9) == 5
    # Each refused client is told the time of another token.
    first, second = [
        home.grant(lowered, tokens=1, demand=1.0, sender="b", now=60.9)
        for _ in range(2)
    ]
    assert second.retry_after - first.retry_after == pytest.approx(0.1)


def test_the_next_node_is_asked_without_an_answer():
    """Guards against requests that wait for a frozen node again and again."""
    customer = fleets.make_customer(10)
    fleet = fleets.LentTokens(count=5)
    home = fleet.home_of(customer)
    order = fleet.nodes[home]["order"]
    deputy = order.candidates(customer.name, {home}.__contains__)[0]
    entry = (set(fleet.addresses) - {home, deputy}).pop()
    accounts = fleet.nodes[entry]["accounts"]
    steps = accounts.acquire(customer, 0.0)
    assert next(steps).address == home
    accounts.on_silent(home, 0.08)
    assert steps.send((None, 0.08)).address == deputy
    assert next(accounts.acquire(customer, 0.2)).address == deputy
    accounts.refresh((), 0.7)
    assert next(accounts.acquire(customer, 0.7)).address == home


def test_tokens_are_given_back():
    """Guards against a quota that refused requests use up."""
    customer = fleets.make_customer(1, burst=1)
    home, order = _make_home()
    home.on_customers_changed((), {customer.name: customer}, 0.0)
    accounts = quota_accounts.QuotaAccounts(
        own_address="a",
        order=order,
        home=home,
        bounds=BOUNDS,
        random=random.Random(1),
    )

    def passes():
        try:
            next(accounts.acquire(customer, 0.0))
        except StopIteration as end:
            return end.value is None

    assert passes()
    assert accounts.give_back(customer, 0.0) == "a"
    home.give_back(customer, 1.0, 0.0)
    assert passes()
    assert not passes()
    assert accounts.is_near_limit(customer, 0.0)
    assert accounts.refused_by(customer) == "a"
    accounts.prune(set())
    # A customer that is removed while its request waits.
    assert accounts.refused_by(customer) is None
    assert accounts.give_back(customer, 0.0) is None


def test_refused_clients_are_told_different_times():
    """Guards against refused clients that return at the same moment."""
    customer = fleets.make_customer(20)
    home, order = _make_home()
    accounts = quota_accounts.QuotaAccounts(
        own_address="a",
        order=order,
        home=home,
        bounds=BOUNDS,
        random=random.Random(1),
    )
    times = []
    for _ in range(40):
        try:
            next(accounts.acquire(customer, 0.0))
        except StopIteration as end:
            if end.value is not None:
                times.append(end.value)
    times.sort()
    assert len(times) >= 30
    assert len({round(time, 2) for time in times}) >= 15
    assert times[0] >= 1 / customer.rate
    assert times[-1] - times[0] > 1.0
    assert times[-1] <= quota.MAXIMUM_PROMISE_SECONDS * 1.25


def test_home_nodes_change_with_the_fleet_only_where_needed():
    """Guards against quotas that move, and lose their state, at each change.

    The orders that are kept must equal new ones.
    """
    addresses = {f"n{number}" for number in range(40)}
    kept = quota.HomeOrder()
    names = [f"customer-{number}" for number in range(60)]

    def first_of(order, excluded=()):
        return {
            name: order.candidates(name, excluded.__contains__)
            for name in names
        }

    for change in range(12):
        kept.update(addresses)
        fresh = quota.HomeOrder()
        fresh.update(addresses)
        assert first_of(kept) == first_of(fresh)
        addresses = (addresses - {f"n{change}"}) | {f"m{change}"}
    before = first_of(kept)
    gone = before[names[0]][0]
    for name, candidates in first_of(kept, (gone,)).items():
        if before[name][0] != gone:
            assert candidates[0] == before[name][0]
    # All kept candidates may be on the other side of a partition.
    alone = first_of(kept, kept.addresses - {"n39"})
    assert set(map(tuple, alone.values())) == {("n39",)}


class _Quotas:
    def __init__(self, retry_after=None, is_near=False):
        self.retry_after = retry_after
        self.is_near = is_near
        self.given_back = []

    async def acquire(self, customer):
        if self.retry_after is not None:
            error = errors.QuotaExceededError("quota")
            error.retry_after = self.retry_after
            raise error

    def give_back(self, customer):
        self.given_back.append(customer.name)

    def is_near_limit(self, customer):
        return self.is_near


async def _send(quotas, reply):
    customer = model.Customer(name="acme", rate=1.0, burst=1.0)
    view = _view({"k": customer})

    async def handle_offer(address, work):
        return reply

    server, owners, lines = test_entry._server(
        handle_offer, read_view=lambda: view
    )
    server._quotas = quotas
    response = await server.handle_request(test_entry._request(x_key="k"))
    return response, owners.offers, lines


def _view(customers_by_key, **changes):
    configuration = builders.configuration(builders.route(**changes))
    return builders.view(
        model.Configuration(
            version=1,
            routes_by_host=configuration.routes_by_host,
            services_by_name=configuration.services_by_name,
            limits=configuration.limits,
            customers_by_key=customers_by_key,
        ),
        builders.upstream(2),
    )


async def test_a_request_beyond_the_quota_is_not_offered(autojump_clock):
    """Guards against 503, and against a time before a token is due."""
    quotas = _Quotas(retry_after=0.75)
    response, offers, lines = await _send(quotas, test_entry._answer())
    assert (response.status, offers) == (429, [])
    assert response.header("retry-after") == "0.750"
    assert quotas.given_back == []
    assert lines[-1][1]["code"] == "SB-3025"
    assert lines[-1][1]["customer"] == "acme"


async def test_only_requests_that_did_not_run_give_tokens_back(autojump_clock):
    """Guards against tokens that are used twice, or lost by refusals."""
    quotas = _Quotas()
    await _send(quotas, test_entry._answer())
    await _send(quotas, test_entry._failure())
    assert quotas.given_back == []
    response, _, _ = await _send(quotas, test_entry._refusal("SB-3004"))
    assert response.status == 503
    assert quotas.given_back == ["acme"]


@pytest.mark.parametrize("is_near", [False, True])
async def test_no_hedge_near_the_limit(is_near):
    """Guards against hedges that count beyond the quota at upstreams."""
    view = _view({"k": model.Customer(name="acme", rate=1.0)})
    server, _, _ = test_entry._server(None, read_view=lambda: view)
    server._quotas = _Quotas(is_near=is_near)
    now = trio.current_time()
    call = server._make_call(test_entry._request(x_key="k"), now)
    assert server._try_reserve_hedge(call) is not is_near


async def test_requests_on_public_routes_do_not_count():
    """Guards against 429 to requests that the quota does not cover."""
    view = _view({"k": model.Customer(name="acme", rate=1.0)}, is_public=True)
    server, _, _ = test_entry._server(None, read_view=lambda: view)
    server._quotas = _Quotas(retry_after=1.0)
    call = server._make_call(test_entry._request(x_key="k"), 0.0)
    assert call.customer.name == "acme"
    assert not server._has_quota(call)
