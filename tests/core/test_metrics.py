"""Tests of the metrics."""

import socket

import trio

from shallotbridge.core import metrics as core_metrics


async def test_metrics_reach_the_statsd_server(autojump_clock):
    """Guards against counter increments that are sent twice or not at all."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.setblocking(False)
        metrics = core_metrics.Metrics(address=server.getsockname())
        metrics.register_gauge("version", lambda: 7)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(metrics.run)
            metrics.count("requests.run", 2)
            metrics.timing("added_latency", 0.002)
            await trio.sleep(1.5)
            first = server.recv(65536).decode().splitlines()
            metrics.count("requests.run")
            await trio.sleep(1)
            second = server.recv(65536).decode().splitlines()
            nursery.cancel_scope.cancel()
    assert sorted(first) == [
        "shallotbridge.added_latency:2.000000|ms",
        "shallotbridge.requests.run:2|c",
        "shallotbridge.version:7|g",
    ]
    assert "shallotbridge.requests.run:1|c" in second
    assert not any("added_latency" in line for line in second)


async def test_no_metrics_are_sent_without_an_address():
    """Guards against a node that sends metrics by default."""
    metrics = core_metrics.Metrics(address=None)
    metrics.timing("added_latency", 1.0)
    await metrics.run()
    assert not metrics.is_enabled
