"""Clients that nobody controls: they begin requests and never end them."""

import random

import trio

from shallotbridge.transports import tcp

from . import fleet as fleet_module

CLIENTS_PER_HOST = 3
# Time for which such a client keeps its connection.
HOLD_SECONDS = (0.5, 4.0)
_HEAD = (
    f"POST /hold/untrusted HTTP/1.1\r\nhost: {fleet_module.HOST_NAME}\r\n"
    "attempt-id: untrusted\r\ndeadline-remaining: 3000\r\n"
).encode()
# What the clients send; none of it is a complete request.
_BEGINNINGS = (
    b"",
    _HEAD,
    _HEAD + b"content-length: 60000\r\n\r\n" + bytes(59_000),
    _HEAD + b"content-length: 900000000\r\n\r\n" + bytes(100_000),
    _HEAD + b"transfer-encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * 8000,
)


async def run_clients(fleet, seed):
    """Send beginnings of requests to all nodes until cancelled."""
    source = random.Random(f"untrusted {seed}")
    async with trio.open_nursery() as nursery:
        for host in fleet.hosts * CLIENTS_PER_HOST:
            nursery.start_soon(_run_client, host, source)


async def _run_client(host, source):
    while True:
        try:
            stream = await tcp.open_stream(
                host.node_address, fleet_module.CALLER_PORT
            )
        except OSError:
            # The node is starting.
            await trio.sleep(0.1)
            continue
        try:
            with trio.move_on_after(source.uniform(*HOLD_SECONDS)):
                await stream.send_all(source.choice(_BEGINNINGS))
                await trio.sleep_forever()
        except trio.BrokenResourceError:
            # The node refused the request or has ended.
            await trio.sleep(0.1)
        finally:
            stream.close()
