"""Callers that send requests over persistent connections."""

import itertools

import trio

from shallotbridge.core import errors
from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import model
from shallotbridge.transports import tcp

from . import fleet as fleet_module
from . import records

CALLERS_PER_HOST = 3
DEADLINE_SECONDS = 1.5
# Pause between two requests of a caller.
REQUEST_INTERVAL_SECONDS = 0.04
# Pause between two probes of the active configuration version.
PROBE_INTERVAL_SECONDS = 0.25
RECONNECT_DELAY_SECONDS = 0.1
# Each request of this number is for the other service.
OTHER_SERVICE_REQUESTS = 10
# Each request of this number is of the customer with a quota.
LIMITED_REQUESTS = 9
# Clients that repeat a harmful request, and their pause between two.
MAXIMUM_HARMFUL_CLIENTS = 6
HARMFUL_INTERVAL_SECONDS = (0.02, 0.3)
# Few numbers, so that some series repeat the request of an earlier one.
HARMFUL_NUMBERS = 3
# Number of requests after which a caller opens a new connection.
REQUESTS_PER_CONNECTION = 60
_request_numbers = itertools.count(1)


async def run_callers(fleet):
    """Run the callers and version probes of all hosts until cancelled."""
    async with trio.open_nursery() as nursery:
        for host in fleet.hosts:
            for _ in range(CALLERS_PER_HOST):
                nursery.start_soon(_run_caller, fleet, host)
            nursery.start_soon(_probe_versions, fleet, host)


async def _connect(host):
    while True:
        try:
            return await tcp.open_stream(
                host.node_address, fleet_module.CALLER_PORT
            )
        except OSError:
            # The node is stopped or still starting.
            await trio.sleep(RECONNECT_DELAY_SECONDS)


async def _run_caller(fleet, host):
    while True:
        stream = await _connect(host)
        try:
            await _use_connection(fleet, host, stream)
        finally:
            stream.close()


async def _use_connection(fleet, host, stream):
    reader = http1.ResponseReader(stream=stream)
    for previous_requests in range(REQUESTS_PER_CONNECTION):
        number = next(_request_numbers)
        is_limited = number % LIMITED_REQUESTS == 0
        is_idempotent = number % 2 == 0
        call = records.Call(
            request_id=f"r{number}",
            host=host.number,
            is_idempotent=is_idempotent,
            sent_at=fleet.clock(),
            previous_requests=previous_requests,
            is_limited=is_limited,
            service=fleet_module.SERVICE,
        )
        fleet.records.calls.append(call)
        method, path = ("GET", "browse") if is_idempotent else ("POST", "hold")
        if number % OTHER_SERVICE_REQUESTS == 0:
            path = "order"
            call.service = fleet_module.OTHER_SERVICE
        response = await _exchange(
            stream,
            reader,
            method,
            f"/{path}/1",
            call.request_id,
            (
                fleet_module.LIMITED_CUSTOMER
                if is_limited
                else fleet_module.CUSTOMER
            ),
        )
        call.ended_at = fleet.clock()
        if response is not None:
            call.status = response.status
            expected = fleet_module.make_body(call.request_id)
            call.is_own_response = response.body == expected
        if response is None or not reader.is_persistent:
            return
        await trio.sleep(REQUEST_INTERVAL_SECONDS)


async def _exchange(stream, reader, method, target, request_id, customer=None):
    """Send a request; return its complete response, or None."""
    headers = (
        ("host", fleet_module.HOST_NAME),
        ("attempt-id", request_id),
        ("deadline-remaining", str(int(DEADLINE_SECONDS * 1000))),
    )
    if customer is not None:
        headers += (("x-api-key", fleet_module.KEYS_BY_CUSTOMER[customer]),)
    request = model.Request(
        method=method,
        target=target,
        headers=tuple(
            model.Header(name=name, value=value) for name, value in headers
        ),
    )
    with trio.move_on_after(DEADLINE_SECONDS):
        try:
            await stream.send_all(http1_encoding.encode_request(request))
            return await reader.read(method)
        except (trio.BrokenResourceError, errors.ShallotbridgeError):
            # The connection was lost before a complete response.
            return None
    return None


async def repeat_harmful_request(fleet, service, seconds):
    """Send a request that ends upstreams again and again, from one service.

    Several clients send it at once, to any host of the service and with
    another query each time.
    """
    random_source = fleet.random
    route = random_source.choice(("browse", "order"))
    number = random_source.randrange(HARMFUL_NUMBERS)
    path = f"/{route}/{fleet_module.HARMFUL_PREFIX}{number}"
    clients = random_source.randint(1, MAXIMUM_HARMFUL_CLIENTS)
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for _ in range(clients):
                nursery.start_soon(
                    _repeat_harmful_request, fleet, service, path
                )


async def _repeat_harmful_request(fleet, service, path):
    hosts = [host for host in fleet.hosts if host.service == service]
    while True:
        host = fleet.random.choice(hosts)
        stream = await _connect(host)
        request_id = f"h{next(_request_numbers)}"
        fleet.records.harmful_identities_by_id[request_id] = (path, service)
        fleet.records.harmful_calls_by_id[request_id] = records.Call(
            request_id=request_id,
            host=host.number,
            is_idempotent=True,
            sent_at=fleet.clock(),
        )
        try:
            await _exchange(
                stream,
                http1.ResponseReader(stream=stream),
                "GET",
                f"{path}?number={request_id}",
                request_id,
                fleet_module.CUSTOMER,
            )
        finally:
            stream.close()
        await trio.sleep(fleet.random.uniform(*HARMFUL_INTERVAL_SECONDS))


async def _probe_versions(fleet, host):
    """Poll the route that the latest published version added."""
    while True:
        await trio.sleep(PROBE_INTERVAL_SECONDS)
        stream = await _connect(host)
        incarnation = host.incarnation
        version = fleet.version
        sent_at = fleet.clock()
        request_id = f"v{next(_request_numbers)}"
        fleet.records.probe_request_ids.add(request_id)
        try:
            response = await _exchange(
                stream,
                http1.ResponseReader(stream=stream),
                "GET",
                f"/v{version}/1",
                request_id,
            )
        finally:
            stream.close()
        if response is not None and response.status in (200, 404):
            fleet.records.version_probes.append(
                records.VersionProbe(
                    host=host.number,
                    incarnation=incarnation,
                    version=version,
                    is_served=response.status == 200,
                    sent_at=sent_at,
                )
            )
