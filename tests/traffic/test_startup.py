"""Tests of the decisions in the first moments after a start."""

import msgspec
import pytest
import trio

from shallotbridge.core import errors
from shallotbridge.traffic import admission
from shallotbridge.traffic import cold_start
from shallotbridge.traffic import startup

from tests.traffic import test_entry

STARTING = msgspec.structs.replace(
    test_entry.LOAD, wait_ms=startup.OPEN_WAIT_SECONDS * 1000, is_open=False
)


def _ticket(outcomes, name, **changes):
    fields = {
        "route": "browse",
        "priority": 1,
        "objective_at": 0.3,
        "deadline_at": 1.0,
        "expected_seconds": 0.1,
        "on_granted": lambda: outcomes.append(name),
        "on_refused": lambda error: outcomes.append((name, error)),
    }
    return admission.Ticket(**(fields | changes))


def test_held_requests_get_slots_in_order_of_priority_when_it_opens():
    """Guards against urgent requests behind others after a start.

    Also against holding a request whose bound on the wait is shorter, one
    that can no longer be served, and one whose client has left.
    """
    controller = admission.AdmissionController(
        slots=4, cold_start=cold_start.ColdStartLimiter()
    )
    error = errors.UpstreamUnreachableError("starting")
    controller.hold(error)
    outcomes = []
    for name, changes in {
        "low": {"priority": 2},
        "urgent": {"priority": 0},
        "short": {"deadline_at": 0.4},
    }.items():
        controller.offer(_ticket(outcomes, name, **changes), 0.0)
    bounded = _ticket(outcomes, "bounded", maximum_wait_seconds=0.01)
    with pytest.raises(errors.UpstreamUnreachableError):
        controller.offer(bounded, 0.0)
    left = _ticket(outcomes, "left")
    controller.offer(left, 0.1)
    controller.cancel_request(left, 0.1)
    controller.shed_waiting_requests(0.21)
    assert outcomes == [("short", error)]
    controller.open()
    controller.dispatch(0.22)
    assert outcomes[1:] == ["urgent", "low"]


def test_the_number_of_held_requests_is_bounded():
    """Guards against memory that clients of a starting fleet determine."""
    hold = startup.RequestHold(started_at=0.0, maximum_held=2)
    assert [hold.try_begin() for _ in range(3)] == [True, True, False]
    hold.end()
    assert hold.try_begin()
    assert (hold.held_count, hold.rejected_total) == (2, 1)


def test_a_cold_upstream_gets_at_most_the_bound_after_a_restart():
    """Guards against more arrivals in a second than two processes may send.

    The predecessor sent its rate just before it ended. Requests that got a
    slot arrive late because the process had no processor time.
    """
    bound, rate = 17, 14
    limiter = cold_start.ColdStartLimiter()
    limiter.begin(0.0, 10.0, rate)
    limiter.share_with_predecessor(1.05, bound - rate)
    arrivals = [0.0] * rate
    now = 0.4
    while now < 4.0:
        if limiter.seconds_until_allowed(now) <= 0:
            limiter.on_sent(now)
            written_at = now + (0.3 if now < 1.5 else 0.0)
            limiter.on_written(now, written_at)
            arrivals.append(written_at)
            now = max(now, written_at)
        now += 0.002
    assert max(
        sum(start <= each < start + 1.0 for each in arrivals)
        for start in arrivals
    ) in range(rate, bound + 1)


async def test_an_offer_waits_at_an_owner_node_that_is_starting(
    autojump_clock,
):
    """Guards against eight refusals within milliseconds after a start."""

    async def handle_offer(address, work):
        if work.maximum_wait_ms < STARTING.wait_ms:
            refusal = test_entry._refusal(
                errors.UpstreamUnreachableError.code, STARTING.wait_ms
            )
            return msgspec.structs.replace(refusal, load=STARTING)
        await trio.sleep(0.2)
        return test_entry._answer()

    server, owners, _ = test_entry._server(
        handle_offer, route=test_entry.NON_IDEMPOTENT_ROUTE, upstreams=8
    )
    response = await server.handle_request(test_entry._request())
    assert response.status == 200
    assert len(owners.offers) <= startup.MAXIMUM_STARTING_REFUSALS + 1


async def test_a_request_waits_until_an_owner_node_is_reachable(
    autojump_clock,
):
    """Guards against refusals while all owner nodes are starting.

    Also against holding a request that can't be served any more, and against
    holding one in calm.
    """
    is_up = False

    async def handle_offer(address, work):
        if not is_up:
            raise errors.UpstreamUnreachableError("connection refused")
        return test_entry._answer()

    server, owners, lines = test_entry._server(handle_offer)
    response = await server.handle_request(test_entry._request())
    assert response.status == 503
    assert 0.4 < trio.current_time() - server._node_started_at < 0.6
    assert server.hold.held_count == 0
    responses = []

    async def send():
        responses.append(await server.handle_request(test_entry._request()))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await trio.sleep(0.2)
        is_up = True
        server._selector.on_owner_reachable("10.0.0.2")
        server.on_owners_changed()
    assert [one.status for one in responses] == [200]
    await trio.sleep(startup.START_SECONDS)
    is_up = False
    began = trio.current_time()
    response = await server.handle_request(test_entry._request())
    assert (response.status, trio.current_time()) == (503, began)


async def test_more_owner_nodes_than_offers_may_be_unreachable_at_first(
    autojump_clock,
):
    """Guards against refusals because eight owners do not accept yet."""

    async def handle_offer(address, work):
        if trio.current_time() < server._node_started_at + 0.25:
            raise errors.UpstreamUnreachableError("connection refused")
        return test_entry._answer()

    server, owners, lines = test_entry._server(handle_offer, upstreams=30)
    response = await server.handle_request(test_entry._request())
    assert response.status == 200
    assert len(owners.offers) <= 8
    assert sum(action == "request_held" for action, _ in lines) <= 6


@pytest.mark.parametrize(("retry_after_ms", "status"), [(60, 200), (9e3, 503)])
async def test_a_request_waits_while_the_only_open_owner_is_full(
    autojump_clock, retry_after_ms, status
):
    """Guards against refusals by the first owner node that opens.

    Also against holding a request for longer than it can be.
    """

    async def handle_offer(address, work):
        if trio.current_time() < server._node_started_at + 0.25:
            return test_entry._refusal(
                errors.OverloadedError.code, retry_after_ms
            )
        return test_entry._answer()

    server, owners, _ = test_entry._server(handle_offer, upstreams=2)
    server._selector.on_owner_unreachable("10.0.0.3")
    response = await server.handle_request(test_entry._request())
    assert response.status == status
    assert len(owners.offers) <= 8
    assert trio.current_time() - server._node_started_at < 0.55
