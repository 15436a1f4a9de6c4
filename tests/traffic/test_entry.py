"""The entry node with owner nodes that the test plays."""

import random

import trio

from shallotbridge._generated import link
from shallotbridge.core import errors
from shallotbridge.core import model as messages
from shallotbridge.traffic import entry
from shallotbridge.traffic import model
from shallotbridge.traffic import retry_budget
from shallotbridge.traffic import routing
from shallotbridge.traffic import selection

from tests.traffic import builders

LOAD = link.Load(slots=6, free=6, wait_ms=0.0, is_open=True, position=1)


class _Owners:
    """Owner nodes; ``behave(address, work)`` is awaited for each request."""

    def __init__(self, behave):
        self._behave = behave
        self.offers = []

    def __call__(self, address):
        return _OwnerLink(self, address)

    async def exchange(self, address, work):
        self.offers.append(address)
        return await self._behave(address, work)


class _OwnerLink:
    def __init__(self, owners, address):
        self._owners = owners
        self._address = address

    def next_call_id(self):
        return 1

    async def exchange(self, work):
        return await self._owners.exchange(self._address, work)


def _answer(status=200, headers=(("x-signature", "s"),)):
    return link.Answer(
        call_id=1,
        status=status,
        headers=headers,
        body=b"body",
        run_ms=50.0,
        load=LOAD,
    )


def _refusal(code, retry_after_ms=0.0, has_arrived=False):
    return link.Refusal(
        call_id=1,
        code=code,
        detail="",
        retry_after_ms=retry_after_ms,
        has_arrived=has_arrived,
        load=LOAD,
    )


def _failure(code="SB-3012"):
    return link.Failure(call_id=1, code=code, detail="", load=LOAD)


async def _never():
    await trio.sleep_forever()


def _server(
    behave,
    *,
    route=None,
    upstreams=3,
    constant=500.0,
    read_view=None,
    wait_view=_never,
):
    view = builders.view(
        builders.configuration(route or builders.route()),
        *[builders.upstream(number) for number in range(2, 2 + upstreams)],
    )
    selector = selection.Selector(
        own_address="10.0.0.1", own_domain="a", random=random.Random(1)
    )
    selector.on_view(view)
    owners = _Owners(behave)
    budget = retry_budget.RetryBudget(
        ratio=0.2, constant=constant, window_seconds=10.0
    )
    lines = []
    made = entry.EntryServer(
        own_host=builders.OWN_HOST,
        names=builders.NAMES,
        read_view=read_view or (lambda: view),
        read_copy=lambda: builders.COPY,
        wait_view=wait_view,
        selector=selector,
        splits=routing.SplitCounters(),
        run_local=None,
        links=owners,
        budget_of=lambda service: budget,
        random=random.Random(1),
        count=lambda *arguments: None,
        record=lambda action, **fields: lines.append((action, fields)),
    )
    return made, owners, lines


def _request(**headers):
    fields = {"host": "shop.example", "x-id": "r1", "x-deadline": "1000"}
    return messages.Request(
        method="GET",
        target="/shop/1",
        headers=tuple(
            messages.Header(name=name.replace("_", "-"), value=value)
            for name, value in (fields | headers).items()
        ),
    )


async def _answer_beside_tasks(server):
    """Return the response while the server looks after slow requests."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        response = await server.answer(_request())
        nursery.cancel_scope.cancel()
    return response


HOLD = builders.route(is_idempotent=False)


async def test_an_unknown_outcome_is_final_for_what_must_not_run_twice(
    autojump_clock,
):
    """Guards against a second run and against a false "not run"."""

    async def behave(address, work):
        return _failure()

    server, owners, _ = _server(behave, route=HOLD)
    response = await server.answer(_request())
    assert response.status == 502
    assert len(owners.offers) == 1


async def test_a_certain_refusal_goes_to_another_owner(autojump_clock):
    """Guards against refusing while another upstream is free."""

    async def behave(address, work):
        if len(owners.offers) == 1:
            return _refusal(errors.LeavingError.code)
        return _answer()

    server, owners, _ = _server(behave, route=HOLD)
    response = await server.answer(_request())
    assert response.status == 200
    assert len(set(owners.offers)) == 2


async def test_a_refusal_names_the_soonest_time_to_come_back(autojump_clock):
    """Guards against clients that come back too late or all at once."""

    async def behave(address, work):
        return _refusal(errors.OverloadedError.code, 80.0)

    server, owners, lines = _server(behave)
    response = await server.answer(_request())
    assert response.status == 503
    assert 0.05 < float(response.header("retry-after")) < 0.11
    assert lines[-1][1]["outcome"] == "not-run"


async def test_repeats_stop_at_the_attempts_of_the_route(autojump_clock):
    """Guards against a request on more upstreams than its route allows."""

    async def behave(address, work):
        return _failure()

    server, owners, _ = _server(behave)
    for _ in range(3):
        owners.offers.clear()
        assert (await server.answer(_request())).status == 502
        assert len(owners.offers) <= 2


async def test_what_upstreams_refuse_is_repeated_within_the_budget(
    autojump_clock,
):
    """Guards against giving up requests that another upstream would run.

    Pattern: all upstreams of a service shed half of what they get, and say
    so (molarline-za scale-1). At two attempts each, at least two thirds must
    be served; without repeats it is half.
    """
    shed = random.Random(5)

    async def behave(address, work):
        if shed.random() < 0.5:
            return _refusal("SB-3014", has_arrived=True)
        return _answer()

    server, _, _ = _server(behave)
    served = 0
    for _ in range(100):
        response = await server.answer(_request())
        served += response.status == 200
        if response.status != 200:
            assert float(response.header("retry-after")) < 0.1
    assert served >= 67


async def test_repeats_stop_when_most_of_a_service_fails(autojump_clock):
    """Guards against repeats that feed a failure of a whole service.

    Pattern: half of all runs fail, as when what they call sheds load.
    """

    async def behave(address, work):
        return _answer(status=500)

    server, owners, _ = _server(behave)
    for _ in range(40):
        await server.answer(_request())
    assert len(owners.offers) < 50


async def test_an_answer_without_a_signature_is_not_passed_on(
    autojump_clock,
):
    """Guards against bytes of a faulty upstream in place of an answer."""

    async def behave(address, work):
        return _answer(headers=())

    server, _, _ = _server(behave, route=HOLD)
    assert (await server.answer(_request())).status == 502


async def test_a_promise_that_the_upstream_does_not_keep_is_not_passed_on(
    autojump_clock,
):
    """Guards against a 503 of an upstream that ran the request."""

    async def behave(address, work):
        return _answer(status=503)

    server, _, _ = _server(behave, route=HOLD)
    assert (await server.answer(_request())).status == 502


async def test_a_lost_answer_is_fetched_elsewhere(autojump_clock):
    """Guards against waiting for an answer that never comes.

    Pattern: an upstream runs requests and its answers are lost.
    """

    async def behave(address, work):
        if len(owners.offers) == 1:
            await trio.sleep_forever()
        return _answer()

    server, owners, _ = _server(behave)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        started = trio.current_time()
        response = await server.answer(_request())
        assert response.status == 200
        assert trio.current_time() - started < 0.7
        nursery.cancel_scope.cancel()


async def test_a_node_that_leaves_waits_for_slow_answers(autojump_clock):
    """Guards against a stop that gives up what an upstream works on.

    Pattern: SIGTERM comes after a slow request was sent (inc-e866).
    """

    async def behave(address, work):
        await trio.sleep(0.8)
        return _answer()

    server, owners, _ = _server(behave)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)

        async def leave():
            await trio.sleep(0.1)
            server.begin_leaving()

        nursery.start_soon(leave)
        response = await server.answer(_request())
        assert response.status == 200
        assert len(owners.offers) == 1
        nursery.cancel_scope.cancel()


async def test_a_slow_answer_is_awaited_if_nobody_else_can_run_it(
    autojump_clock,
):
    """Guards against giving up work for nothing."""

    async def behave(address, work):
        await trio.sleep(0.8)
        return _answer()

    server, owners, _ = _server(behave, upstreams=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        assert (await server.answer(_request())).status == 200
        nursery.cancel_scope.cancel()


async def test_a_slow_request_stays_where_it_is_until_another_answers(
    autojump_clock,
):
    """Guards against work that is given up for a refusal (hunt 55a163a7).

    Pattern: an overload in which the second upstream refuses, followed by
    the answer of the first one.
    """

    async def behave(address, work):
        if len(owners.offers) == 1:
            await trio.sleep(0.8)
            return _answer()
        return _refusal(errors.OverloadedError.code, 80.0)

    server, owners, _ = _server(behave)
    assert (await _answer_beside_tasks(server)).status == 200
    assert len(owners.offers) == 2


async def test_a_hedge_is_awaited_when_the_first_upstream_fails(
    autojump_clock,
):
    """Guards against a failure although a second upstream is at work."""

    async def behave(address, work):
        if len(owners.offers) == 1:
            await trio.sleep(0.6)
            return _failure()
        await trio.sleep(0.25)
        return _answer()

    server, owners, _ = _server(behave)
    assert (await _answer_beside_tasks(server)).status == 200
    assert len(owners.offers) == 2


async def test_the_second_upstream_is_told_when_the_first_has_answered(
    autojump_clock,
):
    """Guards against upstreams at work for an answer that nobody awaits."""
    cancelled = []

    async def behave(address, work):
        if len(owners.offers) == 1:
            await trio.sleep(0.7)
            return _answer()
        try:
            await trio.sleep_forever()
        except trio.Cancelled:
            cancelled.append(trio.current_time())
            raise

    server, owners, _ = _server(behave)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        assert (await server.answer(_request())).status == 200
        await trio.sleep(0.1)
        assert len(cancelled) == 1
        nursery.cancel_scope.cancel()


async def test_the_headers_of_the_system_are_its_own(autojump_clock):
    """Guards against a client that names its own caller or target."""
    seen = []

    async def behave(address, work):
        seen.append(dict(work.headers))
        return _answer()

    server, _, _ = _server(behave)
    await server.answer(
        _request(x_caller="forged", x_instance="forged", x_other="kept")
    )
    assert seen[0]["x-caller"] == "front"
    assert "x-instance" not in seen[0]
    assert seen[0]["x-other"] == "kept"
    assert seen[0]["x-id"] == "r1"


async def test_a_fault_of_the_program_ends_only_its_request(autojump_clock):
    """Guards against an exception that closes other clients' requests."""

    async def behave(address, work):
        raise KeyError("a fault")

    server, _, _ = _server(behave)
    assert (await server.answer(_request())).status == 502


async def test_a_request_waits_for_the_first_view_of_a_started_node(
    autojump_clock,
):
    """Guards against refusals by a node that will soon know the way.

    Pattern: all hosts lose power and come back; clients return at once and
    have one attempt left (nw-remnant-large trouble-1: half of the refusals
    after the loss were by nodes without a view).
    """

    async def behave(address, work):
        return _answer()

    is_known = trio.Event()
    in_force = builders.view(
        builders.configuration(builders.route()), builders.upstream(2)
    )
    server, _, _ = _server(
        behave,
        read_view=lambda: in_force if is_known.is_set() else model.EMPTY_VIEW,
        wait_view=is_known.wait,
    )
    responses = []

    async def ask():
        responses.append(await server.answer(_request()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.25)
        is_known.set()
    assert [one.status for one in responses] == [200]


async def test_the_wait_for_a_first_view_ends_early_enough_to_come_back(
    autojump_clock,
):
    """Guards against requests that are held until nobody waits for them."""
    server, _, _ = _server(None, read_view=lambda: model.EMPTY_VIEW)
    began = trio.current_time()
    response = await server.answer(_request())
    assert response.status == 503
    assert trio.current_time() - began <= 0.34
    assert any(one.name == "retry-after" for one in response.headers)
    await trio.sleep(entry.FIRST_VIEW_SECONDS)
    began = trio.current_time()
    assert (await server.answer(_request())).status == 503
    assert trio.current_time() == began


async def test_a_node_without_requests_has_no_timer_for_slow_ones(
    autojump_clock,
):
    """Guards against processor time of nodes at rest.

    Pattern: 195 nodes with four requests a second each looked 20 times a
    second for slow ones. A request that becomes slow is still hedged in time.
    """

    async def behave(address, work):
        if len(owners.offers) == 1:
            await trio.sleep_forever()
        return _answer()

    server, owners, _ = _server(behave)
    wakes = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        wait_due = server._hedges._wait_due

        async def count_wakes():
            await wait_due()
            wakes.append(trio.current_time())

        server._hedges._wait_due = count_wakes
        await trio.sleep(20.0)
        assert not wakes
        started = trio.current_time()
        response = await server.answer(_request())
        assert response.status == 200
        assert trio.current_time() - started < 0.7
        assert len(wakes) <= 6
        nursery.cancel_scope.cancel()
