"""Tests of callers' requests over an entry node and owner nodes."""

import contextlib
import json
import random
import types

import pytest
import trio
import trio.testing

from shallotbridge.core import entry
from shallotbridge.core import errors
from shallotbridge.core import forwarding
from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import model
from shallotbridge.core import owner
from shallotbridge.transports import tcp
from tests import builders
from tests.core import streams


class Mesh:
    """In-memory network of an entry node and owner nodes with upstreams.

    It is also the entry node's owner selector and retry budget, and the owner
    nodes' gate.
    """

    def __init__(self, nursery, *behaviours):
        self.log_entries = []
        self.failures = []
        self.outstanding = 0
        self.tokens = 10
        self.configuration = builders.make_configuration()
        self.own_host = builders.make_host("entry", address="127.0.9.9")
        self.hosts = []
        self.upstreams = []
        self.owners_by_address = {}
        self.free = 3
        for number, behave in enumerate(behaviours):
            host = builders.make_host(
                f"h{number}", address=f"127.0.1.{number}"
            )
            upstream = streams.CountingServer(nursery, behave)
            self.hosts.append(host)
            self.upstreams.append(upstream)
            self.add_owner(host, upstream)
        self._nursery = nursery
        self.server = entry.EntryServer(
            own_host=self.own_host,
            store=self,
            find_route=self.find_route,
            owner_selector=self,
            forwarder=forwarding.Forwarder(open_stream=self.open_stream),
            run_local=None,
            retry_budget_of=lambda service: self,
            random=random.Random(1),
            record=lambda action, **fields: self.log_entries.append(fields),
        )

    def add_owner(self, host, upstream):
        self.owners_by_address[host.address] = owner.OwnerServer(
            own_host=host,
            store=self,
            gate=self,
            open_stream=upstream.open_stream,
            maximum_connections=4,
        )

    async def open_stream(self, address, port):
        client_stream, server_stream = trio.testing.memory_stream_pair()
        server = self.owners_by_address[address]
        self._nursery.start_soon(server.handle, server_stream)
        return client_stream

    def find_route(self, configuration, method, target):
        for route in configuration.services_by_name[
            "showroom"
        ].routes_by_name.values():
            if (route.method, route.path) == (method, target):
                return route
        raise errors.NoRouteError(f"no route for {method} {target}")

    # Methods of the owner selector, the gate and the retry budget.

    def choose(self, call, excluded):
        for host in self.hosts:
            if host.host_id not in excluded:
                choice = types.SimpleNamespace(
                    candidates=(host.host_id,), reason="first"
                )
                return host, choice
        raise errors.NoUpstreamError("no host left")

    def on_sent(self, host_id):
        self.outstanding += 1

    def on_ended(self, host_id):
        self.outstanding -= 1

    def on_response(self, host_id, free):
        assert free == self.free

    def on_refused(self, host_id, error, free):
        assert error.outcome is errors.Outcome.NOT_RUN
        assert free == self.free

    def on_failed(self, host_id, error):
        self.failures.append(type(error))

    async def run(self, call, send):
        return await send(call)

    def on_request(self, ratio):
        pass

    def try_spend(self):
        self.tokens -= 1
        return self.tokens >= 0

    @property
    def run_count(self):
        return sum(len(each.requests) for each in self.upstreams)

    @contextlib.asynccontextmanager
    async def caller(self):
        client_stream, server_stream = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self.server.handle, server_stream)
        yield client_stream
        await client_stream.aclose()

    async def send_request(
        self, method="POST", target="/showroom/reservations", **extra_headers
    ):
        headers = [model.Header(name="host", value="a")]
        for name, value in extra_headers.items():
            name = name.replace("_", "-")
            headers.append(model.Header(name=name, value=value))
        request = model.Request(
            method=method, target=target, headers=tuple(headers), body=b"1"
        )
        async with self.caller() as stream:
            await stream.send_all(http1_encoding.encode_request(request))
            return await http1.ResponseReader(stream=stream).read(method)

    async def send_idempotent_request(self, **extra_headers):
        return await self.send_request(
            "GET", "/showroom/stock", **extra_headers
        )


def protocol_headers(response):
    return types.SimpleNamespace(
        **{
            header.name.removeprefix("x-shallotbridge-"): header.value
            for header in response.headers
        }
    )


def refuse_with(reason):
    refused = (model.Header(name="x-refused", value=reason),)

    async def behave(server, stream, reader):
        while await reader.wait_request():
            request = await reader.read()
            await stream.send_all(streams.answer_bytes(request, 503, refused))

    return behave


@pytest.mark.parametrize(
    "behave, outcome, status, run_count",
    [
        (streams.close_during_request, "unknown", 502, 0),
        (streams.close_after_the_request, "unknown", 502, 1),
        (streams.close_during_response, "unknown", 502, 1),
        (streams.never_answer, "unknown", 504, 1),
        (refuse_with("overloaded"), "not-run", 503, 0),
        (None, "run", 200, 1),
    ],
)
async def test_a_non_idempotent_request_runs_at_most_once(
    nursery, autojump_clock, behave, outcome, status, run_count
):
    """Guards against a second run and against a wrong "not run"."""
    mesh = Mesh(nursery, behave)
    response = await mesh.send_request()
    fields = protocol_headers(response)
    assert (fields.outcome, response.status) == (outcome, status)
    assert (mesh.run_count, mesh.upstreams[0].connections) == (run_count, 1)
    assert fields.retry == ("safe" if outcome == "not-run" else "unsafe")
    assert mesh.outstanding == 0


async def test_an_unreachable_upstream_is_not_run(nursery):
    """Guards against "unknown" although no byte was sent."""

    async def refuse(address, port):
        raise ConnectionRefusedError("nothing listens")

    mesh = Mesh(nursery, None)
    mesh.upstreams[0].open_stream = refuse
    mesh.add_owner(mesh.hosts[0], mesh.upstreams[0])
    response = await mesh.send_request()
    fields = protocol_headers(response)
    assert (fields.outcome, fields.retry, response.status) == (
        "not-run",
        "safe",
        503,
    )
    assert fields.code == errors.UpstreamUnreachableError.code
    # Only after this failure does the owner selector use another owner for a
    # key.
    assert mesh.failures == [errors.UpstreamUnreachableError]


async def test_an_unknown_outcome_is_not_sent_to_another_host(
    nursery, autojump_clock
):
    """Guards against a request that runs twice, such as a double charge."""
    mesh = Mesh(nursery, streams.close_after_the_request, None)
    response = await mesh.send_request()
    assert protocol_headers(response).outcome == "unknown"
    assert mesh.upstreams[1].requests == []


async def test_a_refused_request_is_sent_to_another_host(
    nursery, autojump_clock
):
    """Guards against refusing a caller while other hosts have free slots."""
    mesh = Mesh(nursery, refuse_with("cold"), refuse_with("leaving"), None)
    response = await mesh.send_request()
    assert (response.status, response.body) == (200, b"done")
    assert [log_entry["outcome"] for log_entry in mesh.log_entries] == [
        "not-run",
        "not-run",
        "run",
    ]
    assert mesh.log_entries[0]["code"] == errors.UpstreamRefusedError.code
    assert mesh.run_count == 1


@pytest.mark.parametrize(
    "tokens, retries_left, status",
    [(1, "1", 200), (0, "1", 502), (1, "0", 502)],
)
async def test_an_idempotent_request_is_retried_within_its_budgets(
    nursery, autojump_clock, tokens, retries_left, status
):
    """Guards against retries that multiply the load while upstreams fail."""
    mesh = Mesh(nursery, streams.close_after_the_request, None)
    mesh.tokens = tokens
    headers = {"x-shallotbridge-retries-left": retries_left}
    assert (await mesh.send_idempotent_request(**headers)).status == status


async def test_not_run_after_an_unknown_outcome_stays_unknown(
    nursery, autojump_clock
):
    """Guards against "not run" although an earlier attempt may have run."""
    mesh = Mesh(
        nursery, streams.close_after_the_request, refuse_with("overloaded")
    )
    response = await mesh.send_idempotent_request()
    fields = protocol_headers(response)
    assert (fields.outcome, fields.retry) == ("unknown", "safe")
    assert fields.code == errors.OutcomeUnknownError.code


@pytest.mark.parametrize(
    "name, value",
    [
        ("x-shallotbridge-deadline-ms", "0"),
        ("x-shallotbridge-deadline-ms", "1e3"),
        ("x-shallotbridge-attempt", "0"),
        ("x-shallotbridge-retries-left", "-1"),
        ("x-shallotbridge-request-id", "a b"),
        ("idempotency-key", ""),
    ],
)
async def test_invalid_protocol_headers_are_refused(nursery, name, value):
    """Guards against a misinterpreted deadline or key."""
    mesh = Mesh(nursery, None)
    response = await mesh.send_request(**{name: value})
    body = json.loads(response.body)
    assert response.status == 400
    assert body["code"] == errors.BadHeaderError.code
    assert name in body["detail"] and body["outcome"] == "not-run"
    assert mesh.run_count == 0


async def test_an_upstream_cannot_forge_the_nodes_headers(
    nursery, autojump_clock
):
    """Guards against "not run" for a request that has run."""
    forged = tuple(
        model.Header(name=f"x-shallotbridge-{name}", value=value)
        for name, value in (
            ("outcome", "not-run"),
            ("code", "SB-3004"),
            ("free", "9"),
        )
    )

    async def behave(server, stream, reader):
        while request := await server.run(reader):
            await stream.send_all(streams.answer_bytes(request, 200, forged))

    mesh = Mesh(nursery, behave)
    response = await mesh.send_request(**{"x-shallotbridge-request-id": "r1"})
    fields = protocol_headers(response)
    assert (fields.outcome, fields.version) == ("run", "1")
    assert getattr(fields, "request-id") == "r1"
    assert not hasattr(fields, "code") and not hasattr(fields, "free")


async def test_a_disconnect_of_the_caller_cancels_the_attempt(
    nursery, autojump_clock
):
    """Guards against slots in use for callers that have disconnected."""
    mesh = Mesh(nursery, streams.never_answer)
    async with mesh.caller() as stream:
        await stream.send_all(
            b"POST /showroom/reservations HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        await trio.sleep(0.1)
        assert mesh.outstanding == 1
    await trio.sleep(0.1)
    assert mesh.outstanding == 0
    assert mesh.log_entries[0]["ended"] == "caller left"


async def test_pipelined_requests_get_responses_in_order(
    nursery, autojump_clock
):
    """Guards against a response that belongs to another request."""
    mesh = Mesh(nursery, None)
    head = b"GET /showroom/%s HTTP/1.1\r\nHost: a\r\n\r\n"
    async with mesh.caller() as stream:
        await stream.send_all(head % b"stock" + head % b"x" + b"GET\n")
        received = b""
        while piece := await stream.receive_some():
            received += piece
    statuses = [piece[:3] for piece in received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"404", b"400"]


async def test_a_drain_closes_idle_connections_and_interrupts_no_request(
    nursery, autojump_clock
):
    """Guards against a graceful shutdown that interrupts a request."""
    release = trio.Event()

    async def behave(server, stream, reader):
        request = await server.run(reader)
        await release.wait()
        await stream.send_all(streams.answer_bytes(request))

    mesh = Mesh(nursery, behave)
    async with mesh.caller() as idle_stream, mesh.caller() as busy_stream:
        await busy_stream.send_all(
            b"GET /showroom/stock HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        await trio.testing.wait_all_tasks_blocked()
        mesh.server.begin_drain()
        release.set()
        assert await idle_stream.receive_some() == b""
        await mesh.server.wait_idle()
        response = await http1.ResponseReader(stream=busy_stream).read("GET")
        assert response.header("connection") == "close"
        assert await busy_stream.receive_some() == b""


async def test_a_request_sent_at_the_start_of_a_drain_gets_a_response(
    nursery, autojump_clock
):
    """Guards against a graceful shutdown that closes a connection in use."""
    mesh = Mesh(nursery, None)
    async with mesh.caller() as stream:
        reader = http1.ResponseReader(stream=stream)
        for is_kept in (True, False):
            await stream.send_all(
                b"GET /showroom/stock HTTP/1.1\r\nHost: a\r\n\r\n"
            )
            response = await reader.read("GET")
            assert response.status == 200
            assert reader.is_persistent is is_kept
            mesh.server.begin_drain()
        await mesh.server.wait_idle()


async def test_a_connection_without_requests_is_closed(
    nursery, autojump_clock
):
    """Guards against idle connections that are never closed."""
    async with Mesh(nursery, None).caller() as stream:
        with trio.fail_after(http1.IDLE_TIMEOUT_SECONDS + 1):
            assert await stream.receive_some() == b""


async def test_tcp_connections_are_served_cancelled_and_drained(nursery):
    """Guards against faults of the faster code path for sockets.

    These are lost responses, requests that run on after their caller has
    disconnected, and a drain that waits for idle callers.
    """
    mesh = Mesh(nursery, None)
    _, port = await nursery.start(
        tcp.serve, "127.0.0.1", 0, mesh.server.handle
    )
    data = b"GET /showroom/stock HTTP/1.1\r\nHost: a\r\n\r\n"
    idle_stream = await tcp.open_stream("127.0.0.1", port)
    reader = http1.ResponseReader(stream=idle_stream)
    for _ in range(3):
        await idle_stream.send_all(data)
        assert (await reader.read("GET")).body == b"done"
    slow_mesh = Mesh(nursery, streams.never_answer)
    attempt_started, attempt_ended = trio.Event(), trio.Event()
    slow_mesh.on_sent = lambda host_id: attempt_started.set()
    slow_mesh.on_ended = lambda host_id: attempt_ended.set()
    _, port = await nursery.start(
        tcp.serve, "127.0.0.1", 0, slow_mesh.server.handle
    )
    disconnecting_stream = await tcp.open_stream("127.0.0.1", port)
    await disconnecting_stream.send_all(data)
    await attempt_started.wait()
    await disconnecting_stream.aclose()
    await attempt_ended.wait()
    mesh.server.begin_drain()
    await mesh.server.wait_idle()
    assert await idle_stream.receive_some() == b""
    nursery.cancel_scope.cancel()
