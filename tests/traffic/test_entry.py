"""Tests of the entry node with simulated owner nodes."""

import dataclasses
import gc
import random
import weakref

import msgspec
import pytest
import trio
import trio.testing

from shallotbridge._generated import link
from shallotbridge.core import errors
from shallotbridge.core import model as messages
from shallotbridge.traffic import call_graph
from shallotbridge.traffic import crash_records
from shallotbridge.traffic import entry
from shallotbridge.traffic import model
from shallotbridge.traffic import retry_budget
from shallotbridge.traffic import routing
from shallotbridge.traffic import selection

from tests.traffic import builders

LOAD = link.Load(slots=6, free=6, wait_ms=0.0, is_open=True, position=1)


class _OwnerNodes:
    """Simulated owner nodes.

    ``handle_offer(address, work)`` is awaited for each offer.
    """

    def __init__(self, handle_offer):
        self._handle_offer = handle_offer
        self.offers = []

    def __call__(self, address):
        return _OwnerLink(self, address)

    async def exchange(self, address, work):
        self.offers.append(address)
        return await self._handle_offer(address, work)


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
    handle_offer,
    *,
    route=None,
    upstreams=3,
    constant=500.0,
    read_view=None,
    wait_for_view=_never,
    known_crashes=None,
):
    view = builders.view(
        builders.configuration(route or builders.route()),
        *[builders.upstream(number) for number in range(2, 2 + upstreams)],
    )
    selector = selection.Selector(
        own_address="10.0.0.1", own_domain="a", random=random.Random(1)
    )
    selector.on_view_changed(view)
    owners = _OwnerNodes(handle_offer)
    budget = retry_budget.RetryBudget(
        ratio=0.2, constant=constant, window_seconds=10.0
    )
    lines = []
    made = entry.EntryServer(
        own_host=builders.OWN_HOST,
        header_names=builders.NAMES,
        read_view=read_view or (lambda: view),
        read_mirror_state=lambda: builders.MIRROR_STATE,
        wait_for_view=wait_for_view,
        selector=selector,
        traffic_splitter=routing.TrafficSplitter(),
        run_local=None,
        link_to=owners,
        retry_budget_of=lambda service: budget,
        random=random.Random(1),
        count=lambda *arguments: None,
        known_crashes=known_crashes,
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


async def _answer_with_hedging(server):
    """Return the response of a server that hedges slow requests."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        response = await server.handle_request(_request())
        nursery.cancel_scope.cancel()
    return response


NON_IDEMPOTENT_ROUTE = builders.route(is_idempotent=False)


async def test_unknown_outcome_is_not_retried_if_not_idempotent(
    autojump_clock,
):
    """Guards against a second run and against a wrong "not run"."""

    async def handle_offer(address, work):
        return _failure()

    server, owners, _ = _server(handle_offer, route=NON_IDEMPOTENT_ROUTE)
    response = await server.handle_request(_request())
    assert response.status == 502
    assert len(owners.offers) == 1


async def test_refused_request_is_offered_to_another_owner_node(
    autojump_clock,
):
    """Guards against refusing a request while another upstream is free."""

    async def handle_offer(address, work):
        if len(owners.offers) == 1:
            return _refusal(errors.LeavingError.code)
        return _answer()

    server, owners, _ = _server(handle_offer, route=NON_IDEMPOTENT_ROUTE)
    response = await server.handle_request(_request())
    assert response.status == 200
    assert len(set(owners.offers)) == 2


async def test_refusal_has_reported_retry_after_with_jitter(autojump_clock):
    """Guards against clients that retry too late or all at once."""

    async def handle_offer(address, work):
        return _refusal(errors.OverloadedError.code, 80.0)

    server, owners, lines = _server(handle_offer)
    response = await server.handle_request(_request())
    assert response.status == 503
    assert 0.05 < float(response.header("retry-after")) < 0.11
    assert lines[-1][1]["outcome"] == "not-run"


async def test_retries_stop_at_maximum_attempts_of_route(autojump_clock):
    """Guards against more attempts than the route allows."""

    async def handle_offer(address, work):
        return _failure()

    server, owners, _ = _server(handle_offer)
    for _ in range(3):
        owners.offers.clear()
        assert (await server.handle_request(_request())).status == 502
        assert len(owners.offers) <= 2


async def test_upstream_refusals_are_retried_within_budget(
    autojump_clock,
):
    """Guards against failing requests that another upstream would run.

    All upstreams of a service refuse half of their requests because of load
    shedding (molarline-za scale-1). With two attempts each, at least two
    thirds must be served; without retries it is half.
    """
    rng = random.Random(5)

    async def handle_offer(address, work):
        if rng.random() < 0.5:
            return _refusal("SB-3014", has_arrived=True)
        return _answer()

    server, _, _ = _server(handle_offer)
    served = 0
    for _ in range(100):
        response = await server.handle_request(_request())
        served += response.status == 200
        if response.status != 200:
            assert float(response.header("retry-after")) < 0.1
    assert served >= 67


async def test_retries_stop_when_most_requests_of_a_service_fail(
    autojump_clock,
):
    """Guards against retries that add load to a service that fails.

    A service fails half of its requests because a service that it calls sheds
    load. In this test every request fails.
    """

    async def handle_offer(address, work):
        return _answer(status=500)

    server, owners, _ = _server(handle_offer)
    for _ in range(40):
        await server.handle_request(_request())
    assert len(owners.offers) < 50


async def test_answer_without_signature_is_an_error(
    autojump_clock,
):
    """Guards against passing on the output of a faulty upstream."""

    async def handle_offer(address, work):
        return _answer(headers=())

    server, _, _ = _server(handle_offer, route=NON_IDEMPOTENT_ROUTE)
    assert (await server.handle_request(_request())).status == 502


async def test_not_run_status_of_an_answer_is_an_error(
    autojump_clock,
):
    """Guards against passing on a 503 of an upstream that ran the request."""

    async def handle_offer(address, work):
        return _answer(status=503)

    server, _, _ = _server(handle_offer, route=NON_IDEMPOTENT_ROUTE)
    assert (await server.handle_request(_request())).status == 502


@pytest.mark.parametrize("status", [0, 99, 100, 199, 600])
async def test_an_invalid_status_from_an_owner_node_is_an_error(
    autojump_clock, status
):
    """Guards against status 000 that an owner node of an older build sends."""

    async def handle_offer(address, work):
        return _answer(status=status)

    server, _, _ = _server(handle_offer, route=NON_IDEMPOTENT_ROUTE)
    assert (await server.handle_request(_request())).status == 502


async def test_an_invalid_status_of_a_hedge_is_no_answer(autojump_clock):
    """Guards against a hedge whose status 000 replaces a sound answer."""

    async def handle_offer(address, work):
        if len(owners.offers) == 1:
            await trio.sleep(0.8)
            return _answer()
        return _answer(status=0)

    server, owners, _ = _server(handle_offer)
    assert (await _answer_with_hedging(server)).status == 200
    assert len(owners.offers) == 2


async def test_request_with_lost_answer_is_hedged(autojump_clock):
    """Guards against waiting for an answer that never arrives.

    An upstream runs the request and its answer is lost.
    """

    async def handle_offer(address, work):
        if len(owners.offers) == 1:
            await trio.sleep_forever()
        return _answer()

    server, owners, _ = _server(handle_offer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        started = trio.current_time()
        response = await server.handle_request(_request())
        assert response.status == 200
        assert trio.current_time() - started < 0.7
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("is_slow", [False, True])
@pytest.mark.parametrize("crashes", [0, crash_records.CRASH_LIMIT - 1])
async def test_a_request_that_ended_upstreams_gets_no_retry_or_hedge(
    autojump_clock, crashes, is_slow
):
    """Guards against copies of a request that may end one upstream each."""
    records = crash_records.CrashRecords()

    async def handle_offer(address, work):
        if is_slow:
            await trio.sleep_forever()
        return _failure()

    server, owners, _ = _server(handle_offer, known_crashes=records)
    fingerprints = crash_records.make_fingerprints(
        method="GET",
        target="/shop/1",
        host="shop.example",
        caller_service=builders.OWN_HOST.service,
        body=b"",
    )
    for crash_id in range(crashes):
        records.on_crash(fingerprints, crash_id)
    await _answer_with_hedging(server)
    assert (len(owners.offers) > 1) is (crashes == 0)


async def test_node_that_shuts_down_waits_for_slow_answers(autojump_clock):
    """Guards against a shutdown that abandons a running request.

    SIGTERM arrives after a slow request was sent (inc-e866).
    """

    async def handle_offer(address, work):
        await trio.sleep(0.8)
        return _answer()

    server, owners, _ = _server(handle_offer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)

        async def drain_later():
            await trio.sleep(0.1)
            server.begin_drain(trio.current_time() + 60.0)

        nursery.start_soon(drain_later)
        response = await server.handle_request(_request())
        assert response.status == 200
        assert len(owners.offers) == 1
        nursery.cancel_scope.cancel()


async def test_slow_request_without_another_upstream_is_awaited(
    autojump_clock,
):
    """Guards against cancelling a request that no other upstream can run."""

    async def handle_offer(address, work):
        await trio.sleep(0.8)
        return _answer()

    server, owners, _ = _server(handle_offer, upstreams=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        assert (await server.handle_request(_request())).status == 200
        nursery.cancel_scope.cancel()


async def test_refused_hedge_does_not_cancel_first_request(
    autojump_clock,
):
    """Guards against a refused hedge that cancels the first request.

    Under overload the second upstream refuses the request, and the first one
    answers later (hunt 55a163a7).
    """

    async def handle_offer(address, work):
        if len(owners.offers) == 1:
            await trio.sleep(0.8)
            return _answer()
        return _refusal(errors.OverloadedError.code, 80.0)

    server, owners, _ = _server(handle_offer)
    assert (await _answer_with_hedging(server)).status == 200
    assert len(owners.offers) == 2


async def test_hedge_is_awaited_when_first_upstream_fails(
    autojump_clock,
):
    """Guards against a failure while a second upstream runs the request."""

    async def handle_offer(address, work):
        if len(owners.offers) == 1:
            await trio.sleep(0.6)
            return _failure()
        await trio.sleep(0.25)
        return _answer()

    server, owners, _ = _server(handle_offer)
    assert (await _answer_with_hedging(server)).status == 200
    assert len(owners.offers) == 2


async def test_hedge_is_cancelled_when_first_upstream_answers(
    autojump_clock,
):
    """Guards against running a request whose answer is not used."""
    cancelled = []

    async def handle_offer(address, work):
        if len(owners.offers) == 1:
            await trio.sleep(0.7)
            return _answer()
        try:
            await trio.sleep_forever()
        except trio.Cancelled:
            cancelled.append(trio.current_time())
            raise

    server, owners, _ = _server(handle_offer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        assert (await server.handle_request(_request())).status == 200
        await trio.sleep(0.1)
        assert len(cancelled) == 1
        nursery.cancel_scope.cancel()


async def test_reserved_headers_of_clients_are_replaced(autojump_clock):
    """Guards against clients that forge the caller or the target."""
    seen = []

    async def handle_offer(address, work):
        seen.append(dict(work.headers))
        return _answer()

    server, _, _ = _server(handle_offer)
    await server.handle_request(
        _request(x_caller="forged", x_instance="forged", x_other="kept")
    )
    assert seen[0]["x-caller"] == "front"
    assert "x-instance" not in seen[0]
    assert seen[0]["x-other"] == "kept"
    assert seen[0]["x-id"] == "r1"


async def test_unexpected_exception_fails_only_its_request(autojump_clock):
    """Guards against an exception that ends the requests of other clients."""

    async def handle_offer(address, work):
        raise KeyError("unexpected")

    server, _, _ = _server(handle_offer)
    assert (await server.handle_request(_request())).status == 502


async def test_request_waits_for_first_view_of_started_node(
    autojump_clock,
):
    """Guards against refusals by a node that gets its first view soon.

    All hosts restart after a power loss. Clients retry at once and have one
    attempt left (nw-remnant-large trouble-1: half of the refusals after the
    power loss came from nodes without a view).
    """

    async def handle_offer(address, work):
        return _answer()

    view_available = trio.Event()
    current_view = builders.view(
        builders.configuration(builders.route()), builders.upstream(2)
    )
    server, _, _ = _server(
        handle_offer,
        read_view=lambda: (
            current_view if view_available.is_set() else model.EMPTY_VIEW
        ),
        wait_for_view=view_available.wait,
    )
    responses = []

    async def send_request():
        responses.append(await server.handle_request(_request()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_request)
        await trio.sleep(0.25)
        view_available.set()
    assert [one.status for one in responses] == [200]


async def test_wait_for_first_view_leaves_time_for_a_retry(
    autojump_clock,
):
    """Guards against holding a request until its client has given up."""
    server, _, _ = _server(None, read_view=lambda: model.EMPTY_VIEW)
    started = trio.current_time()
    response = await server.handle_request(_request())
    assert response.status == 503
    assert trio.current_time() - started <= 0.34
    assert any(one.name == "retry-after" for one in response.headers)
    await trio.sleep(entry.FIRST_VIEW_WAIT_SECONDS)
    started = trio.current_time()
    assert (await server.handle_request(_request())).status == 503
    assert trio.current_time() == started


async def test_idle_node_has_no_timer_for_hedging(
    autojump_clock,
):
    """Guards against processor time spent by idle nodes.

    195 nodes with four requests a second each checked for slow requests 20
    times a second. A request that becomes slow must still be hedged in time.
    """

    async def handle_offer(address, work):
        if len(owners.offers) == 1:
            await trio.sleep_forever()
        return _answer()

    server, owners, _ = _server(handle_offer)
    checked_at = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        wait_until_due = server._hedger._wait_until_due

        async def record_check():
            await wait_until_due()
            checked_at.append(trio.current_time())

        server._hedger._wait_until_due = record_check
        await trio.sleep(20.0)
        assert not checked_at
        started = trio.current_time()
        response = await server.handle_request(_request())
        assert response.status == 200
        assert trio.current_time() - started < 0.7
        assert len(checked_at) <= 6
        nursery.cancel_scope.cancel()


async def test_a_request_that_outlasts_the_drain_is_not_sent_on():
    """Guards against requests that the end of the process interrupts.

    One whose deadline comes before the end of the drain is sent on, and so is
    one that is expected to take a small part of what is left.
    """

    async def handle_offer(address, work):
        return _answer()

    route = builders.route(objective_seconds=0.3, timeout_seconds=1.0)
    server, owners, _ = _server(handle_offer, route=route)
    for seconds_left, deadline_ms, status in (
        (0.5, "5000", 503),
        (0.6, "400", 200),
        (1.5, "5000", 200),
    ):
        server.begin_drain(trio.current_time() + seconds_left)
        offers = len(owners.offers)
        response = await server.handle_request(
            _request(**{"x-deadline": deadline_ms})
        )
        assert response.status == status
        assert (len(owners.offers) > offers) is (status == 200)


async def test_requests_in_progress_are_answered_at_the_end_of_the_drain():
    """Guards against connections that are closed without an answer."""

    async def handle_offer(address, work):
        await trio.sleep_forever()

    server, _, _ = _server(
        handle_offer, route=builders.route(is_idempotent=False)
    )
    responses = []

    async def send_request():
        responses.append(await server.handle_request(_request()))

    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_request)
        await trio.sleep(0.05)
        server.begin_drain(trio.current_time() + 0.2)
    assert responses[0].status == 504
    assert trio.current_time() - began < 0.6


@pytest.mark.parametrize("wait_ms, offers", [(150.0, 3), (1000.0, 1)])
async def test_overload_control_asks_few_owner_nodes(
    autojump_clock, wait_ms, offers
):
    """Guards against offers to many owner nodes that all refuse.

    Without overload control the request is offered eight times. The client is
    told a time at which the request can still meet its objective.
    """

    async def handle_offer(address, work):
        return _refusal("SB-3004", retry_after_ms=wait_ms)

    server, owners, _ = _server(handle_offer, upstreams=8)
    server._calls = call_graph.CallGraph()
    response = await server.handle_request(_request())
    assert response.status == 503
    assert len(owners.offers) == offers
    assert 0.03 <= float(response.header("retry-after")) < 0.15


@pytest.mark.parametrize("is_served", [False, True])
async def test_nothing_of_a_refused_request_waits_for_garbage_collection(
    is_served, autojump_clock
):
    """Guards against bodies that stay in memory, where nothing counts them.

    Frames of a request that was refused at first refer to its errors, and
    the tracebacks of these refer to the frames.
    """
    bodies = []

    def keep_body():
        body = memoryview(bytes(100_000))
        bodies.append(weakref.ref(body))
        return body

    async def handle_offer(address, work):
        if is_served and len(owners.offers) == 2:
            return msgspec.structs.replace(_answer(), body=keep_body())
        return _refusal(errors.OverloadedError.code)

    server, owners, _ = _server(handle_offer, route=NON_IDEMPOTENT_ROUTE)
    gc.collect()
    gc.disable()
    try:
        response = await server.handle_request(
            dataclasses.replace(_request(), method="POST", body=keep_body())
        )
        assert (response.status == 200) == is_served
        response = None
        assert [each() for each in bodies] == [None] * len(bodies)
    finally:
        gc.enable()
    assert len(bodies) == 1 + is_served


async def test_the_hedger_keeps_no_request(autojump_clock):
    """Guards against a large body that stays counted in calm.

    There would be no room for the next one until another request is slow.
    """
    body = memoryview(bytes(100_000))
    kept = weakref.ref(body)

    async def handle_offer(address, work):
        if len(owners.offers) == 1:
            await trio.sleep(0.9)
        return _answer()

    server, owners, _ = _server(handle_offer)
    request = dataclasses.replace(_request(), body=body)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run_tasks)
        response = await server.handle_request(request)
        assert response.status == 200 and len(owners.offers) == 2
        request = body = None
        await trio.testing.wait_all_tasks_blocked()
        assert kept() is None
        nursery.cancel_scope.cancel()
