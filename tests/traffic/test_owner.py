"""Tests of the owner node with a simulated upstream on loopback."""

import contextlib
import gc
import weakref

import pytest
import trio

from shallotbridge._generated import link
from shallotbridge.core import decisions
from shallotbridge.core import errors
from shallotbridge.core import model as messages
from shallotbridge.traffic import crash_records
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
    reported : tuple of messages.Header
        What its answers report about it.
    health_reported : tuple of messages.Header or None
        The same for health checks; None for the same headers.
    refuses : bool
        Whether it refuses requests instead of running them.
    """

    def __init__(self, cold):
        self.requests = []
        self.cold = cold
        self.probes = 0
        self.reported = ()
        self.health_reported = None
        self.refuses = False
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
                    *(
                        self.reported
                        if self.health_reported is None
                        else self.health_reported
                    ),
                ),
            )
        self.requests.append(request)
        await self.can_respond.wait()
        if self.refuses:
            return messages.Response(
                status=503,
                headers=(
                    messages.Header(name="x-not-run", value="1"),
                    messages.Header(
                        name="x-id", value=request.header("x-id") or ""
                    ),
                    *self.reported,
                ),
            )
        return messages.Response(
            status=200,
            headers=(
                messages.Header(name="x-signature", value="s"),
                messages.Header(
                    name="x-id", value=request.header("x-id") or ""
                ),
                *self.reported,
            ),
            body=b"done",
        )


@contextlib.asynccontextmanager
async def _owner(slots=1, cold="0ms", lines=None, reported=(), **options):
    """Start an owner node whose upstream is up.

    Parameters
    ----------
    slots : int
    cold : str
        How long the upstream reports that it stays cold.
    lines : list, optional
        Gets the action and the fields of each line of the decision log.
    reported : tuple of messages.Header
        What the answers of the upstream report about it.
    options : dict
        Further arguments of the ``OwnerServer``.
    """
    upstream = _Upstream(cold)
    upstream.reported = reported
    lines = [] if lines is None else lines
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
            record=lambda action, **fields: lines.append((action, fields)),
            **options,
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


async def test_waiting_requests_are_sent_by_both_priorities():
    """Guards against the route's priority before that of the customer."""
    async with _owner(slots=1) as (server, upstream):
        upstream.can_respond = trio.Event()
        async with trio.open_nursery() as nursery:

            async def send(name, priority, route_priority):
                count = server.in_progress
                nursery.start_soon(
                    server.run,
                    work(
                        name,
                        priority=priority,
                        route_priority=route_priority,
                        remaining_ms=9000.0,
                        objective_ms=9000.0,
                    ),
                )
                while server.in_progress == count:
                    await trio.sleep(0.005)

            await send("first", 9, 9)
            while not upstream.requests:
                await trio.sleep(0.005)
            await send("last", 1, 0)
            await send("third", 0, 2)
            await send("second", 0, 1)
            upstream.can_respond.set()
        assert [one.header("x-id") for one in upstream.requests] == [
            "first",
            "second",
            "third",
            "last",
        ]


async def test_a_request_that_waits_when_it_becomes_refused_is_not_sent():
    """Guards against copies in the queue of a request that ends upstreams."""
    records = crash_records.CrashRecords()
    async with _owner(slots=1, known_crashes=records) as (server, upstream):
        upstream.can_respond = trio.Event()
        replies = []

        async def send(request_id, target):
            replies.append(await server.run(work(request_id, target=target)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "first", "/shop/1")
            while not upstream.requests:
                await trio.sleep(0.005)
            nursery.start_soon(send, "harmful", "/shop/harmful")
            while server.in_progress < 2:
                await trio.sleep(0.005)
            fingerprints = crash_records.make_fingerprints(
                method="GET",
                target="/shop/harmful",
                host="shop.example",
                caller_service=None,
                body=b"",
            )
            for crash_id in range(crash_records.CRASH_LIMIT):
                records.on_crash(fingerprints, crash_id)
            upstream.can_respond.set()
        assert [one.header("x-id") for one in upstream.requests] == ["first"]
        assert replies[1].code == errors.QuarantinedError.code


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
    ("cold", "least", "most"), [("2900ms", 20, 29), ("2000ms", 1, 3)]
)
async def test_a_start_with_the_upstream_uses_the_whole_cold_rate(
    cold, least, most
):
    """Guards against a share for a predecessor that sent nothing.

    After a loss of power upstream and node start at once. If the upstream
    became cold a second before, the predecessor may have sent all it gets.
    """
    async with _owner(
        slots=40, cold=cold, process_started_at=trio.current_time()
    ) as (server, upstream):
        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(server.run, work(f"r{number}"))
            await trio.sleep(0.3)
            sent = len(upstream.requests)
            nursery.cancel_scope.cancel()
        assert least <= sent <= most


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


def _limit(value):
    return (messages.Header(name="x-limit", value=value),)


async def _run_many(server, count, **changes):
    """Offer requests at the same time; return the replies."""
    replies = []

    async def run(number):
        replies.append(await server.run(work(f"r{number}", **changes)))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(run, number)
    return replies


@pytest.mark.parametrize("refuses", [False, True])
async def test_an_upstream_gets_no_more_than_the_limit_that_it_names(refuses):
    """Guards against a limit that only bounds what the upstream accepts.

    Pattern: an upstream of twelve slots names 20 requests a second, in its
    answers or its refusals, and gets 120 a second.
    """
    async with _owner(slots=12) as (server, upstream):
        upstream.reported = _limit("20.0")
        upstream.refuses = refuses
        await server.run(work("first"))
        upstream.requests.clear()
        replies = []
        began = trio.current_time()
        for _ in range(20):
            replies += await _run_many(server, 6, objective_ms=100.0)
            await trio.sleep(0.05)
        elapsed = trio.current_time() - began
        sent = len(upstream.requests)
        assert 0.5 * 20.0 * elapsed <= sent <= 1.5 * 20.0 * elapsed + 5
        refused = [
            reply
            for reply in replies
            if isinstance(reply, link.Refusal) and not reply.has_arrived
        ]
        assert refused
        assert all(reply.retry_after_ms > 0 for reply in refused)
        assert server.load().limit == 20.0
        assert server.load().free <= 5


async def test_a_limit_named_by_a_health_check_applies_to_the_first_request():
    """Guards against an owner node that forgets the limit in a restart.

    The upstream takes one request in two seconds; three arrive at once.
    """
    async with _owner(slots=12, reported=_limit("0.5")) as (server, upstream):
        replies = await _run_many(server, 3)
        assert len(upstream.requests) == 0
        assert all(
            reply.code == errors.OverloadedError.code
            and reply.retry_after_ms > 1000
            for reply in replies
        )


async def test_an_owner_uses_the_limit_that_entry_nodes_know():
    """Guards against an owner node that exceeds a limit after a restart.

    Its upstream names the limit only in answers to requests, and the entry
    nodes that passed some on know it.
    """
    async with _owner(slots=12) as (server, upstream):
        upstream.reported = _limit("4.0")
        upstream.health_reported = ()
        replies = await _run_many(
            server, 12, known_limit=4.0, objective_ms=100.0
        )
        assert len(upstream.requests) <= 3
        assert sum(isinstance(one, link.Refusal) for one in replies) >= 9


async def test_an_adopted_limit_that_is_over_does_not_slow_the_upstream():
    """Guards against a slow start after a limit that ended in a restart."""
    async with _owner(slots=12) as (server, _):
        await server.run(work("r", known_limit=4.0))
        assert server.load().limit == float("inf")


async def test_a_limit_that_changes_with_each_answer_does_not_flood_the_log():
    """Guards against a log volume that an upstream determines."""
    lines = []
    async with _owner(slots=12, lines=lines) as (server, upstream):
        for number in range(60):
            upstream.reported = _limit(
                f"{1000 + number}" if number % 2 else f"x{number}"
            )
            await server.run(work(f"r{number}"))
    logged = [
        action
        for action, _ in lines
        if action in ("upstream_limit", "invalid_answer_header")
    ]
    assert 1 <= len(logged) <= 2 * owner.REPORT_LINES_PER_SECOND


@pytest.mark.parametrize("value", [float("nan"), -5.0])
async def test_an_invalid_limit_of_an_entry_node_is_ignored(value):
    """Guards against a peer's invalid value that stops all requests."""
    async with _owner(slots=12) as (server, upstream):
        replies = await _run_many(server, 12, known_limit=value)
        assert all(isinstance(reply, link.Answer) for reply in replies)


async def test_a_limit_ends_with_the_first_later_answer_without_it():
    """Guards against limits that last, and against an early end.

    A request that was sent before the upstream named its limit is answered
    after that, without the header, and shows nothing.
    """
    lines = []
    async with _owner(slots=12, lines=lines) as (server, upstream):
        held = trio.Event()
        upstream.can_respond = held
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, work("early"))
            while not upstream.requests:
                await trio.sleep(0.005)
            upstream.can_respond = trio.Event()
            upstream.can_respond.set()
            upstream.reported = _limit("30.0")
            await server.run(work("limited"))
            upstream.reported = ()
            held.set()
        assert server.load().limit == 30.0
        await server.run(work("later"))
        assert 30.0 <= server.load().limit < 40.0
        await trio.sleep(1.0)
        assert server.load().limit > 55.0
    changes = [
        fields["chosen"] for action, fields in lines if action[-5:] == "limit"
    ]
    assert changes == [30.0, None]


async def test_health_checks_notice_the_end_of_a_limit_of_zero():
    """Guards against an upstream that never gets requests again."""
    async with _owner(slots=12, reported=_limit("0")) as (server, upstream):
        (reply,) = await _run_many(server, 1)
        assert reply.code == errors.OverloadedError.code
        upstream.reported = ()
        with trio.fail_after(8):
            while not isinstance(await server.run(work("r")), link.Answer):
                await trio.sleep(0.1)
        assert len(upstream.requests) == 1


async def test_another_instance_starts_without_the_limit():
    """Guards against a limit that is passed on to a replacement.

    The new upstream has the same address.
    """
    async with _owner(slots=12, reported=_limit("0")) as (server, upstream):
        assert server.load().limit == 0.0
        upstream.reported = ()
        server.on_view_changed(_view(_entry(started_ms=5)))
        assert server.load().limit == float("inf")


async def test_an_invalid_limit_is_logged_once_and_loses_nothing():
    """Guards against answers that are lost for an invalid header."""
    lines = []
    async with _owner(slots=12, lines=lines) as (server, upstream):
        upstream.reported = _limit("200.0")
        await server.run(work("valid"))
        upstream.reported = _limit("nan")
        replies = await _run_many(server, 3)
        assert all(reply.status == 200 for reply in replies)
        assert server.load().limit == 200.0
        assert server.invalid_header_count >= 3
    logged = [one for action, one in lines if action[:7] == "invalid"]
    assert len(logged) == 1
    assert "'nan'" in logged[0]["reason"]


async def test_a_log_line_names_the_limit_that_a_refusal_is_based_on(
    monkeypatch,
):
    """Guards against refusals whose cause is not in the log."""
    lines = []
    monkeypatch.setattr(
        decisions,
        "record",
        lambda action, **fields: lines.append((action, fields)),
    )
    async with _owner(slots=12, reported=_limit("0")) as (server, _):
        await _run_many(server, 1)
        fields = [one for action, one in lines if action == "refuse"][0]
        assert fields["limit"] == 0.0
        assert fields["limit_source"] == "health check"
        assert fields["limit_age_ms"] >= 0
        assert server.limit_refused_count == 1


def _leaving_options(view_of):
    """Return options of an owner whose view follows reported departures."""

    def on_leaving(upstream_id, started_ms, **source):
        view_of["server"].on_view_changed(_view(_entry(is_draining=True)))

    return {"on_leaving": on_leaving}


@pytest.mark.parametrize("is_registered", [True, False])
async def test_requests_are_refused_once_an_answer_says_leaving(is_registered):
    """Guards against requests to an upstream that is leaving.

    Only its answers say so: the store's news has not arrived, or never does.
    A request that waits is refused, and one that runs is answered.
    """
    view_of = {}
    options = _leaving_options(view_of)
    async with _owner(slots=1, **options) as (server, upstream):
        view_of["server"] = server
        if not is_registered:
            server._registered = None
        upstream.reported = (messages.Header(name="x-leaving", value="1"),)
        upstream.health_reported = ()
        upstream.can_respond = trio.Event()
        replies = {}

        async def run(request_id):
            replies[request_id] = await server.run(work(request_id))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, "running")
            while not upstream.requests:
                await trio.sleep(0.005)
            nursery.start_soon(run, "waiting")
            while server.in_progress < 2:
                await trio.sleep(0.005)
            upstream.can_respond.set()
        await run("late")
        assert replies["running"].status == 200
        assert replies["waiting"].code == errors.LeavingError.code
        assert replies["late"].code == errors.LeavingError.code
        assert not server.load().is_open
        assert len(upstream.requests) == 1


LEAVING = (messages.Header(name="x-leaving", value="1"),)


async def test_an_answer_of_the_predecessor_does_not_mark_its_successor():
    """Guards against an upstream that is given up for what another said.

    The answer arrives after an upstream has started again under the same id.
    """
    marked = []
    async with _owner(
        slots=2,
        on_leaving=lambda *incarnation, **_: marked.append(incarnation),
    ) as (server, upstream):
        upstream.can_respond = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, work("late"))
            while not upstream.requests:
                await trio.sleep(0.005)
            server.on_view_changed(_view(_entry(started_ms=9)))
            await trio.sleep(0.1)
            upstream.health_reported = ()
            upstream.reported = (*LEAVING, *_limit("0"))
            upstream.can_respond.set()
        assert not marked
        assert server.load().limit == float("inf")
        assert server.load().is_open


@pytest.mark.parametrize("is_leaving", [True, False])
async def test_an_entry_that_appears_does_not_reopen_a_leaving_upstream(
    is_leaving,
):
    """Guards against requests to a leaving upstream after a node's restart.

    The node starts while the store is unavailable, and its upstream says that
    it is leaving. The entry may be of it, or of one that has started under
    the same id since: the next health check tells.
    """
    view_of = {}

    def on_leaving(upstream_id, started_ms, **source):
        assert started_ms == 9
        view_of["server"].on_view_changed(
            _view(_entry(started_ms=9, is_draining=True))
        )

    async with _owner(slots=1, on_leaving=on_leaving) as (server, upstream):
        view_of["server"] = server
        server._registered = None
        upstream.reported = LEAVING
        await server.run(work("first"))
        assert not server.load().is_open
        upstream.reported = LEAVING if is_leaving else ()
        server.on_view_changed(_view(_entry(started_ms=9)))
        assert not server.load().is_open
        with trio.move_on_after(1.0):
            while not server.load().is_open:
                await trio.sleep(0.01)
        assert server.load().is_open is not is_leaving
        assert server.load().leaving_id == ("u1" if is_leaving else "")


async def test_learned_capacity_ignores_refusals_and_ends_with_upstream():
    """Guards against estimates fed by refusals or kept for a replacement."""
    async with _owner(slots=3, is_capacity_learned=True) as (server, upstream):
        assert server.load().slowdown == 0.0
        upstream.refuses = True
        await _run_many(server, 2)
        assert server.load().slowdown == 0.0
        upstream.refuses = False
        await _run_many(server, 2)
        assert server.load().slowdown > 0.0
        server.on_view_changed(_view(_entry(started_ms=5)))
        assert server.load().slowdown == 0.0
        assert server.load().slots == server.learned_slots == 1


@pytest.mark.parametrize("place", ["admission", "queue", "upstream"])
async def test_nothing_of_a_refused_request_waits_for_garbage_collection(
    place,
):
    """Guards against bodies that stay in memory, where nothing counts them.

    Frames of a refused request refer to its error, and the traceback of the
    error refers to the frames.
    """
    async with _owner(slots=1) as (server, upstream):
        body = memoryview(bytes(100_000))
        kept = weakref.ref(body)
        gc.collect()
        gc.disable()
        try:
            async with trio.open_nursery() as nursery:
                if place == "upstream":
                    upstream.refuses = True
                else:
                    upstream.can_respond = trio.Event()
                    nursery.start_soon(server.run, work("first"))
                    await trio.testing.wait_all_tasks_blocked(0.05)
                if place == "admission":
                    server.begin_leaving()
                elif place == "queue":
                    nursery.start_soon(_leave_soon, server)
                reply = await server.run(work("second", body=body))
                assert type(reply) is link.Refusal
                upstream.can_respond.set()
            body = None
            assert kept() is None
        finally:
            gc.enable()


async def _leave_soon(server):
    await trio.sleep(0.05)
    server.begin_leaving()
