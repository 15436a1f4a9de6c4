"""Tests of the handling of calls at an owner node."""

import types

import pytest
import trio
import trio.testing

from shallotbridge.core import errors
from shallotbridge.core import http1
from shallotbridge.core import model
from shallotbridge.core import owner
from shallotbridge.core import protocol
from tests import builders
from tests.core import streams

HEADERS = {
    "host": "a",
    "x-shallotbridge-service": "showroom",
    "x-shallotbridge-route": "reserve",
    "x-shallotbridge-request-id": "r1",
    "x-shallotbridge-deadline-ms": "500",
    "x-shallotbridge-retries-left": "0",
    "idempotency-key": "k1",
    "x-deadline-ms": "999999",
    "connection": "x-private",
    "x-private": "1",
}


async def forward_request(nursery, *, configuration, **changes):
    """Return the response, the calls and the requests to the upstream."""
    upstream = streams.CountingServer(nursery)
    calls = []

    async def run(call, send):
        calls.append(call)
        return await send(call)

    server = owner.OwnerServer(
        own_host=builders.make_host(),
        store=types.SimpleNamespace(configuration=configuration),
        gate=types.SimpleNamespace(run=run, free=2),
        open_stream=upstream.open_stream,
        maximum_connections=1,
    )
    headers = HEADERS | {
        name.replace("_", "-"): value for name, value in changes.items()
    }
    client_stream, server_stream = trio.testing.memory_stream_pair()
    nursery.start_soon(server.handle, server_stream)
    head = "".join(
        f"{name}: {value}\r\n" for name, value in headers.items() if value
    )
    await client_stream.send_all(
        f"POST /showroom/reservations HTTP/1.1\r\n{head}"
        "content-length: 1\r\n\r\n1".encode()
    )
    response = await http1.ResponseReader(stream=client_stream).read("POST")
    await client_stream.aclose()
    return response, calls, upstream.requests


async def test_the_node_sets_the_headers_for_the_upstream(
    nursery, autojump_clock
):
    """Guards against callers that set the upstream's deadline or id."""
    response, calls, upstream_requests = await forward_request(
        nursery, configuration=builders.make_configuration()
    )
    assert response.header("x-shallotbridge-outcome") == "run"
    assert response.header("x-shallotbridge-free") == "2"
    assert calls[0].idempotency_key == "k1"
    assert {
        header.name: header.value for header in upstream_requests[0].headers
    } == {
        "host": "a",
        "x-request-id": "r1",
        "x-deadline-ms": "500",
        "x-shallotbridge-retries-left": "0",
        "idempotency-key": "k1",
        "content-length": "1",
    }


@pytest.mark.parametrize(
    "name, value, expected",
    [
        ("x_shallotbridge_service", "other", errors.UnknownServiceError),
        ("x_shallotbridge_route", "other", errors.UnknownServiceError),
        ("x_shallotbridge_request_id", None, errors.BadHeaderError),
        ("x_shallotbridge_deadline_ms", "x", errors.BadHeaderError),
    ],
)
async def test_a_call_that_does_not_match_the_configuration_is_not_run(
    nursery, name, value, expected
):
    """Guards against requests to a removed route or service."""
    response, _, upstream_requests = await forward_request(
        nursery,
        configuration=builders.make_configuration(),
        **{name: value},
    )
    assert response.header("x-shallotbridge-code") == expected.code
    assert response.header("x-shallotbridge-outcome") == "not-run"
    assert upstream_requests == []


async def test_nothing_runs_without_a_configuration(nursery):
    """Guards against a starting node that runs requests unchecked."""
    response, _, upstream_requests = await forward_request(
        nursery, configuration=None
    )
    code = response.header("x-shallotbridge-code")
    assert code == errors.NoConfigurationError.code and upstream_requests == []


@pytest.mark.parametrize(
    "reason, is_refusal", [("cold", True), ("leaving", True), ("other", False)]
)
async def test_only_known_refusals_mean_not_run(nursery, reason, is_refusal):
    """Guards against "not run" for other responses with status 503."""
    refused = (model.Header(name="x-refused", value=reason),)

    async def refuse(server, stream, reader):
        request = await server.run(reader)
        await stream.send_all(streams.answer_bytes(request, 503, refused))

    upstream = streams.CountingServer(nursery, refuse)
    configuration = builders.make_configuration()
    reasons = []

    async def run(call, send):
        try:
            return await send(call)
        except errors.UpstreamRefusedError as error:
            reasons.append(error.reason)
            raise

    server = owner.OwnerServer(
        own_host=builders.make_host(),
        store=None,
        gate=types.SimpleNamespace(run=run, free=0),
        open_stream=upstream.open_stream,
        maximum_connections=1,
    )
    call = model.Call(
        request=model.Request(method="GET", target="/", headers=()),
        request_id="r1",
        route=builders.make_route(),
        configuration=configuration,
        deadline=trio.current_time() + 1,
        retries_left=0,
    )
    if is_refusal:
        with pytest.raises(errors.UpstreamRefusedError):
            await server.run_local(call)
    else:
        assert (await server.run_local(call)).status == 503
    assert reasons == ([reason] if is_refusal else [])


def test_only_known_refusal_reasons_raise_an_error():
    """Guards against "not run" for a request that may have run (P7)."""

    def check(status, reason):
        header = model.Header(name=protocol.REFUSED, value=reason)
        response = model.Response(status=status, headers=(header,))
        protocol.raise_for_refusal(response, builders.make_host())

    check(503, "maintenance")
    check(200, "overloaded")
    with pytest.raises(errors.UpstreamRefusedError):
        check(503, "overloaded")
