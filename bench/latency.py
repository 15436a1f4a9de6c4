"""Latency and processor time that whole nodes add to a call."""

import contextlib
import os
import socket

import trio

from . import fleet
from . import hop
from . import load
from . import processes

SERVICES = ("alpha", "beta")
DOMAIN = "d01"
ROUNDS = 5
SECONDS = 30.0
WARM_UP_SECONDS = 3.0
# Calls a second into one node; the other one is the owner.
KNEE_RATES = (200, 300, 400, 500, 600, 700, 800, 1000)
KNEE_SECONDS = 5.0
_MILLISECONDS = 1000
_SHARES = (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999))


@contextlib.contextmanager
def metrics_sink(address):
    """Give HOST:PORT of a socket that drops the metrics it receives."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind((address, 0))
        yield f"{address}:{sink.getsockname()[1]}"


def _kinds(service):
    return [["GET", f"/{service}/collection-1/item-7", True]]


def _plan(options, entry_host, owner_host, rate, *, is_direct):
    return load.Plan(
        addresses=[owner_host.address if is_direct else entry_host.address],
        port=processes.UPSTREAM_PORT if is_direct else processes.CALLER_PORT,
        kinds=_kinds(owner_host.service),
        rate=rate,
        seconds=0.0,
        seed=options.seed,
    )


async def _measure(running, loads_by_path, seconds, rounds):
    """Alternate the paths, so that both see the same machine."""
    for loads in loads_by_path.values():
        for each in loads:
            await each.run(WARM_UP_SECONDS)
    load.freeze()
    records_by_path = {path: [] for path in loads_by_path}
    processor = [0.0] * len(running.hosts)
    for _ in range(rounds):
        for path, loads in loads_by_path.items():
            before = running.processor_seconds()
            found = []

            async def run_one(each, found=found):
                found += await each.run(seconds / rounds)

            async with trio.open_nursery() as nursery:
                for each in loads:
                    nursery.start_soon(run_one, each)
            records_by_path[path] += found
            if path == "mesh":
                after = running.processor_seconds()
                for index, host in enumerate(running.hosts):
                    processor[index] += (
                        after[host.host_id][0] - before[host.host_id][0]
                    )
    for loads in loads_by_path.values():
        for each in loads:
            await each.close()
    return records_by_path, processor


def measure(options, running, *, rate, is_both_ways, seconds, rounds):
    """Measure one rate; returns one row of the table."""
    pairs = [(running.hosts[0], running.hosts[1])]
    if is_both_ways:
        pairs.append((running.hosts[1], running.hosts[0]))
    loads_by_path = {
        path: [
            load.Load(
                plan=_plan(options, *pair, rate, is_direct=path == "direct")
            )
            for pair in pairs
        ]
        for path in ("direct", "mesh")
    }
    records_by_path, processor = trio.run(
        _measure, running, loads_by_path, seconds, rounds
    )
    row = {
        "calls/s into each node": rate,
        "nodes entered": len(pairs),
        "calls": len(records_by_path["mesh"]),
        "failed": sum(
            record.outcome != "run"
            for records in records_by_path.values()
            for record in records
        ),
    }
    for name, share in _SHARES:
        direct, mesh = (
            fleet.percentile(
                [record.latency for record in records_by_path[path]], share
            )
            * _MILLISECONDS
            for path in ("direct", "mesh")
        )
        row[f"direct {name} ms"] = direct
        row[f"added {name} ms"] = mesh - direct
    row["processor ms a call, entry"] = (
        processor[0] * _MILLISECONDS / row["calls"]
    )
    row["processor ms a call, owner"] = (
        processor[1] * _MILLISECONDS / row["calls"]
    )
    row["load average"] = os.getloadavg()[0]
    return row


def run(options):
    """Measure the target's rate, and higher ones up to the knee."""
    hosts = fleet.spread_hosts(options, [DOMAIN], list(SERVICES), 2)
    seconds = 5.0 if options.is_quick else SECONDS
    with metrics_sink(options.address(0, 2)) as statsd_address:
        with fleet.Fleet(
            options=options,
            hosts=hosts,
            services=list(SERVICES),
            statsd_address=statsd_address,
        ) as running:
            running.start(service_ms=0.01, spread=0.0, slots=1000)
            rows = [
                measure(
                    options,
                    running,
                    rate=hop.TARGET_RATE,
                    is_both_ways=is_both_ways,
                    seconds=seconds,
                    rounds=ROUNDS,
                )
                for is_both_ways in (True, False)
            ]
            fleet.print_table(
                f"Added latency (bound p99 {hop.TARGET_P99_MS} ms); "
                "processor time of two entered nodes is for both roles",
                rows,
            )
            knee = []
            for rate in KNEE_RATES[:: 4 if options.is_quick else 1]:
                knee.append(
                    measure(
                        options,
                        running,
                        rate=rate,
                        is_both_ways=False,
                        seconds=KNEE_SECONDS,
                        rounds=1,
                    )
                )
                if knee[-1]["added p50 ms"] > 5 * hop.TARGET_P99_MS:
                    break
    fleet.print_table("Up to the knee", knee)
    return rows + knee
