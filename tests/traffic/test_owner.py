"""Tests of the owner node with a simulated upstream on loopback."""

import contextlib

import pytest
import trio

from shallotbridge._generated import link
from shallotbridge.core import errors
from shallotbridge.core import model as messages
from shallotbridge.traffic import model
from shallotbridge.traffic import owner
from shallotbridge.transports import tcp
from standins import store as store_standin

from tests.traffic import builders

ADDRESS = "127.0.19.1"
PORT = 18145
OWN_HOST = model.OwnHost(
    name="node-1",
    address=ADDRESS,
    failure_domain="a",
    service="shop",
    upstream_address=ADDRESS,
    upstream_port=PORT,
)


class _Upstream:
    """An upstream that responds once ``can_respond`` is set.

    Attributes
    ----------
    requests : list of messages.Request
        Requests that it received, without health checks.
    cold : str
        Value of the header that says how long it stays cold.
    probes : int
        Number of health checks that it received.
    """

    def __init__(self, cold):
        self.requests = []
        self.cold = cold
        self.probes = 0
        self.can_respond = trio.Event()
        self.can_respond.set()

    async def respond(self, request):
        if request.target == "/health":
            self.probes += 1
            return messages.Response(
                status=200,
                headers=(
                    messages.Header(name="x-own-instance", value="u1"),
                    messages.Header(name="x-cold", value=self.cold),
                ),
            )
        self.requests.append(request)
        await self.can_respond.wait()
        return messages.Response(
            status=200,
            headers=(
                messages.Header(name="x-signature", value="s"),
                messages.Header(
                    name="x-id", value=request.header("x-id") or ""
                ),
            ),
            body=b"done",
        )


@contextlib.asynccontextmanager
async def _owner(slots=1, cold="0ms"):
    """Start an owner node whose upstream is up.

    Parameters
    ----------
    slots : int
    cold : str
        How long the upstream reports that it stays cold.
    """
    upstream = _Upstream(cold)
    view = builders.view(
        builders.configuration(builders.route()),
        builders.upstream(1, address=ADDRESS, port=PORT, slots=slots),
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(
            tcp.serve,
            ADDRESS,
            PORT,
            store_standin.make_handler(upstream.respond),
        )
        server = owner.OwnerServer(
            own_host=OWN_HOST,
            header_names=builders.NAMES,
            read_view=lambda: view,
            read_mirror_states=lambda: builders.MIRROR_STATES,
            open_stream=tcp.open_stream,
            cold_multiplier=1.5,
            cold_slack=5.0,
            record=lambda action, **fields: None,
        )
        await nursery.start(server.run_tasks)
        server.on_view_changed(view)
        with trio.fail_after(5):
            while not server.load().is_open:
                await trio.sleep(0.01)
            yield server, upstream
        server.close()
        nursery.cancel_scope.cancel()


def work(request_id, **changes):
    """Return a request as an entry node sends it."""
    fields = {
        "call_id": 1,
        "upstream_id": "u1",
        "service": "shop",
        "route": "browse",
        "request_id": request_id,
        "method": "GET",
        "target": "/shop/1",
        "headers": (("host", "shop.example"), ("x-id", request_id)),
        "body": b"",
        "remaining_ms": 1000.0,
        "objective_ms": 300.0,
        "priority": 1,
        "is_idempotent": True,
        "expected_ms": 10.0,
        "sent_at": 0.0,
    }
    return link.Work(**(fields | changes))


async def test_a_request_cancelled_before_it_is_sent_frees_its_slot():
    """Guards against leaked slots.

    The caller cancels after the slot is granted and before the request is
    sent.
    """
    async with _owner(slots=1) as (server, upstream):
        with trio.CancelScope() as scope:
            scope.cancel()
            await server.run(work("left"))
        assert server.in_progress == 0
        reply = await server.run(work("next"))
        assert reply.status == 200
        assert [one.header("x-id") for one in upstream.requests] == ["next"]


async def test_a_request_cancelled_while_it_waits_is_removed_from_the_queue():
    """Guards against granting slots to cancelled requests."""
    async with _owner(slots=1) as (server, upstream):
        upstream.can_respond = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, work("first"))
            while not upstream.requests:
                await trio.sleep(0.005)
            scope = trio.CancelScope()

            async def wait_and_leave():
                with scope:
                    await server.run(work("left"))

            nursery.start_soon(wait_and_leave)
            while server.in_progress < 2:
                await trio.sleep(0.005)
            scope.cancel()
            while server.in_progress > 1:
                await trio.sleep(0.005)
            upstream.can_respond.set()
        assert server.in_progress == 0
        assert [one.header("x-id") for one in upstream.requests] == ["first"]


async def test_a_cold_upstream_gets_most_of_its_rate_limit():
    """Guards against refusing requests that a cold upstream may get.

    Pattern: all hosts restart after a power loss; upstreams of three slots
    tolerate five requests a second, and the configured bound is 1.5 times
    that plus ten (nw-remnant-large). Here it is 1.5 times 16 a second plus
    five: 29. At least three quarters of the bound, and at most the bound, are
    sent in the first 0.8 s.
    """
    async with _owner(slots=40, cold="30000ms") as (server, upstream):
        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(server.run, work(f"r{number}"))
            await trio.sleep(0.8)
            sent = len(upstream.requests)
            nursery.cancel_scope.cancel()
        assert 0.75 * 29 <= sent <= 29


@pytest.mark.parametrize(
    ("pause", "least", "most"), [(0.2, 0, 1), (0.02, 2, 5), (None, 2, 5)]
)
async def test_health_checks_are_skipped_if_requests_succeed(
    pause, least, most
):
    """Guards against health checks of upstreams that answer requests anyway.

    Pattern: three seconds with a request each 0.2 s, with more requests than
    a cold upstream may get, and with none. Health checks are skipped only in
    the first case.
    """
    async with _owner(slots=4) as (server, upstream):
        upstream.probes = 0
        with trio.move_on_after(3.2):
            while True:
                await trio.sleep(pause or 10.0)
                reply = await server.run(work("r"))
                assert reply.status == 200
        assert least <= upstream.probes <= most


def _entry(**changes):
    return builders.upstream(1, address=ADDRESS, port=PORT, slots=1, **changes)


def _view(*upstreams):
    return builders.view(builders.configuration(builders.route()), *upstreams)


async def test_an_owner_refuses_work_after_its_upstream_entry_is_removed():
    """Guards against running requests from entry nodes with stale views.

    Pattern: three of ten upstreams that leave never report that they are
    draining; their entry is removed while they still respond.
    """
    async with _owner(slots=1) as (server, upstream):
        upstream.can_respond = trio.Event()
        async with trio.open_nursery() as nursery:
            replies = []

            async def run(request_id):
                replies.append(await server.run(work(request_id)))

            nursery.start_soon(run, "running")
            while not upstream.requests:
                await trio.sleep(0.005)
            nursery.start_soon(run, "waiting")
            while server.in_progress < 2:
                await trio.sleep(0.005)
            server.on_view_changed(_view())
            reply = await server.run(work("late"))
            assert isinstance(reply, link.Refusal)
            assert reply.code == errors.LeavingError.code
            assert not reply.load.is_open
            upstream.can_respond.set()
        refused, answered = replies
        assert refused.code == errors.LeavingError.code
        assert answered.status == 200
        assert [one.header("x-id") for one in upstream.requests] == ["running"]


async def test_an_owner_accepts_work_before_its_upstream_is_registered():
    """Guards against refusals by a node that started before its view arrived.

    Other nodes may see the upstream some tenths of a second earlier.
    """
    async with _owner(slots=1) as (server, upstream):
        fresh = owner.OwnerServer(
            own_host=OWN_HOST,
            header_names=builders.NAMES,
            read_view=_view,
            read_mirror_states=lambda: builders.MIRROR_STATES,
            open_stream=tcp.open_stream,
            cold_multiplier=1.5,
            cold_slack=5.0,
            record=lambda action, **fields: None,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(fresh.run_tasks)
            fresh.on_view_changed(_view())
            while not fresh.load().is_open:
                await trio.sleep(0.01)
            reply = await fresh.run(work("early"))
            assert reply.status == 200
            fresh.close()
            nursery.cancel_scope.cancel()


async def test_an_owner_accepts_work_again_when_the_entry_returns():
    """Guards against an upstream that stays closed after its entry expired."""
    async with _owner(slots=1) as (server, upstream):
        server.on_view_changed(_view())
        assert not server.load().is_open
        server.on_view_changed(_view(_entry()))
        reply = await server.run(work("again"))
        assert reply.status == 200
