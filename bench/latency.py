"""Measures the latency and processor time that nodes add to a call."""

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
MEASUREMENT_SECONDS = 30.0
WARM_UP_SECONDS = 3.0
# Calls per second into one node; the other one is the owner node.
KNEE_RATES = (200, 300, 400, 500, 600, 700, 800, 1000)
KNEE_SECONDS = 5.0
_MILLISECONDS = 1000
_QUANTILES = (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999))


@contextlib.contextmanager
def metrics_sink(address):
    """Yield HOST:PORT of a UDP socket whose received metrics are discarded."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind((address, 0))
        yield f"{address}:{sink.getsockname()[1]}"


def _kinds(service):
    return [["GET", f"/{service}/collection-1/item-7", True]]


def _make_plan(options, entry_host, owner_host, rate, *, is_direct):
    return load.Plan(
        addresses=[owner_host.address if is_direct else entry_host.address],
        port=processes.UPSTREAM_PORT if is_direct else processes.CALLER_PORT,
        kinds=_kinds(owner_host.service),
        rate=rate,
        seconds=0.0,
        seed=options.seed,
    )


async def _measure(node_fleet, generators_by_path, seconds, rounds):
    """Alternate the paths, so that both run under the same machine load."""
    for generators in generators_by_path.values():
        for generator in generators:
            await generator.run(WARM_UP_SECONDS)
    load.freeze_heap()
    records_by_path = {path: [] for path in generators_by_path}
    processor_seconds_by_index = [0.0] * len(node_fleet.hosts)
    for _ in range(rounds):
        for path, generators in generators_by_path.items():
            before = node_fleet.resource_usage()
            round_records = []

            async def run_generator(generator, round_records=round_records):
                round_records += await generator.run(seconds / rounds)

            async with trio.open_nursery() as nursery:
                for generator in generators:
                    nursery.start_soon(run_generator, generator)
            records_by_path[path] += round_records
            if path == "mesh":
                after = node_fleet.resource_usage()
                for index, host in enumerate(node_fleet.hosts):
                    processor_seconds_by_index[index] += (
                        after[host.host_id][0] - before[host.host_id][0]
                    )
    for generators in generators_by_path.values():
        for generator in generators:
            await generator.close()
    return records_by_path, processor_seconds_by_index


def measure(options, node_fleet, *, rate, is_bidirectional, seconds, rounds):
    """Measure one rate and return a row of the table."""
    pairs = [(node_fleet.hosts[0], node_fleet.hosts[1])]
    if is_bidirectional:
        pairs.append((node_fleet.hosts[1], node_fleet.hosts[0]))
    generators_by_path = {
        path: [
            load.LoadGenerator(
                plan=_make_plan(
                    options, *pair, rate, is_direct=path == "direct"
                )
            )
            for pair in pairs
        ]
        for path in ("direct", "mesh")
    }
    records_by_path, processor_seconds_by_index = trio.run(
        _measure, node_fleet, generators_by_path, seconds, rounds
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
    for name, quantile in _QUANTILES:
        direct, mesh = (
            fleet.percentile(
                [record.latency for record in records_by_path[path]], quantile
            )
            * _MILLISECONDS
            for path in ("direct", "mesh")
        )
        row[f"direct {name} ms"] = direct
        row[f"added {name} ms"] = mesh - direct
    row["processor ms a call, entry"] = (
        processor_seconds_by_index[0] * _MILLISECONDS / row["calls"]
    )
    row["processor ms a call, owner"] = (
        processor_seconds_by_index[1] * _MILLISECONDS / row["calls"]
    )
    row["load average"] = os.getloadavg()[0]
    return row


def run(options):
    """Measure the target rate, then higher rates up to saturation."""
    hosts = fleet.spread_hosts(options, [DOMAIN], list(SERVICES), 2)
    seconds = 5.0 if options.is_quick else MEASUREMENT_SECONDS
    with metrics_sink(options.address(0, 2)) as statsd_address:
        with fleet.Fleet(
            options=options,
            hosts=hosts,
            services=list(SERVICES),
            statsd_address=statsd_address,
        ) as node_fleet:
            node_fleet.start(service_ms=0.01, spread=0.0, slots=1000)
            rows = [
                measure(
                    options,
                    node_fleet,
                    rate=hop.TARGET_RATE,
                    is_bidirectional=is_bidirectional,
                    seconds=seconds,
                    rounds=ROUNDS,
                )
                for is_bidirectional in (True, False)
            ]
            fleet.print_table(
                f"Added latency (bound p99 {hop.TARGET_P99_MS} ms); "
                "processor time of two entered nodes is for both roles",
                rows,
            )
            knee_rows = []
            for rate in KNEE_RATES[:: 4 if options.is_quick else 1]:
                knee_rows.append(
                    measure(
                        options,
                        node_fleet,
                        rate=rate,
                        is_bidirectional=False,
                        seconds=KNEE_SECONDS,
                        rounds=1,
                    )
                )
                if knee_rows[-1]["added p50 ms"] > 5 * hop.TARGET_P99_MS:
                    break
    fleet.print_table("Up to the knee", knee_rows)
    return rows + knee_rows
