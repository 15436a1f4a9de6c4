"""Clients that nobody controls, with requests that are never whole."""

import random

import trio

from shallotbridge.transports import tcp

from . import fleet as fleet_module

CLIENTS_PER_HOST = 8
# Time for which such a client keeps its connection.
HOLD_SECONDS = (0.5, 4.0)
# Pause between the bytes of clients that go on sending.
TRICKLE_SECONDS = 0.1
_HEAD = (
    f"POST /hold/untrusted HTTP/1.1\r\nhost: {fleet_module.HOST_NAME}\r\n"
    "attempt-id: untrusted\r\ndeadline-remaining: 3000\r\n"
).encode()
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
# What the clients send; none of it is a complete request.
_BEGINNINGS = (
    b"",
    _HEAD,
    _HEAD + b"x: y\r\n" * 2000,
    _HEAD + b"content-length: 60000\r\n\r\n" + bytes(59_000),
    _HEAD
    + b"xy: ab\r\n" * 1900
    + b"content-length: 60000\r\n\r\n"
    + bytes(59_000),
    _HEAD + b"content-length: 4000000\r\n\r\n" + bytes(3_999_000),
    _HEAD + b"content-length: 900000000\r\n\r\n" + bytes(100_000),
    _CHUNKED + b"2\r\nxx\r\n" * 8000,
    _CHUNKED + b"1\r\nx\r\n" * 100_000,
    _CHUNKED + (b"10000\r\n" + b"\r\n" * 0x8000 + b"\r\n") * 50,
    _CHUNKED + b"0\r\nx: " + b"y" * 500_000,
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
                while True:
                    await trio.sleep(TRICKLE_SECONDS)
                    await stream.send_all(b"x")
        except trio.BrokenResourceError:
            # The node refused the request or has ended.
            await trio.sleep(0.1)
        finally:
            stream.close()
