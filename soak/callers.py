"""Callers that keep using open connections, and what they are told."""

import itertools

import trio

from shallotbridge.core import errors
from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import model
from shallotbridge.transports import tcp

from . import records
from . import world as worlds

CALLERS_PER_HOST = 3
DEADLINE_SECONDS = 1.5
# Pause between two requests of a caller, s.
PAUSE_SECONDS = 0.04
# Pause of the caller that looks which version is in force, s.
SIGHT_SECONDS = 0.25
RECONNECT_SECONDS = 0.1
# Requests after which a caller opens a new connection.
REQUESTS_PER_CONNECTION = 60
_ids = itertools.count(1)


async def run_callers(world):
    """Send requests to all hosts until cancelled."""
    async with trio.open_nursery() as nursery:
        for host in world.hosts:
            for _ in range(CALLERS_PER_HOST):
                nursery.start_soon(_call, world, host)
            nursery.start_soon(_look, world, host)


async def _connect(host):
    while True:
        try:
            return await tcp.open_stream(host.own, worlds.CALLER_PORT)
        except OSError:
            # The node is down or starting.
            await trio.sleep(RECONNECT_SECONDS)


async def _call(world, host):
    while True:
        stream = await _connect(host)
        try:
            await _use_connection(world, host, stream)
        finally:
            stream.close()


async def _use_connection(world, host, stream):
    reader = http1.ResponseReader(stream=stream)
    for age in range(REQUESTS_PER_CONNECTION):
        number = next(_ids)
        is_idempotent = number % 2 == 0
        call = records.Call(
            request_id=f"r{number}",
            host=host.number,
            is_idempotent=is_idempotent,
            sent_at=world.clock(),
            age=age,
        )
        world.records.calls.append(call)
        method, path = ("GET", "browse") if is_idempotent else ("POST", "hold")
        response = await _exchange(
            stream, reader, method, f"/{path}/1", call.request_id
        )
        call.ended_at = world.clock()
        if response is not None:
            call.status = response.status
            expected = worlds.make_body(call.request_id)
            call.is_own_answer = response.body == expected
        if response is None or not reader.is_persistent:
            return
        await trio.sleep(PAUSE_SECONDS)


async def _exchange(stream, reader, method, target, request_id):
    """Return the whole answer to a request, or None."""
    headers = (
        ("host", worlds.HOST_NAME),
        ("attempt-id", request_id),
        ("deadline-remaining", str(int(DEADLINE_SECONDS * 1000))),
    )
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
            # The connection ended; the caller has no answer.
            return None
    return None


async def _look(world, host):
    """Ask a node again and again for the route of the newest version."""
    while True:
        await trio.sleep(SIGHT_SECONDS)
        stream = await _connect(host)
        incarnation = host.incarnation
        version = world.version
        sent_at = world.clock()
        request_id = f"v{next(_ids)}"
        world.records.looked_for.add(request_id)
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
            world.records.sights.append(
                records.Sight(
                    host=host.number,
                    incarnation=incarnation,
                    version=version,
                    is_served=response.status == 200,
                    sent_at=sent_at,
                )
            )
