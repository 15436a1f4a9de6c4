"""Simulated distribution in fleets too large for one process per node.

The modules of the product run unchanged on trio's mock clock; peers and
platform are in memory (``tests.memory``). Simulated time includes waits and
network delays, but not processor time.
"""

import functools
import os
import time

import psutil
import trio
import trio.testing

from shallotbridge.core import decisions
from shallotbridge.core import hosts as hosts_module
from shallotbridge.core import startup
from standins import platform as platform_standin
from tests import memory

from . import fleet

REGION_COUNT = 3
REGION_DELAY_SECONDS = 0.001  # one way, within a region
CROSS_REGION_DELAY_SECONDS = 0.030  # one way, between regions
PLATFORM_DELAY_SECONDS = 0.005  # before each response
POLL_INTERVAL_SECONDS = 0.001  # resolution of the times
PUBLICATIONS = 3
SETTLE_SECONDS = 120.0
TIMEOUT_SECONDS = 120.0
PLATFORM_BOUND_CALLS_PER_SECOND = 2000
_MEBIBYTE = 2**20


class RegionNetwork(memory.MemoryPeerNetwork):
    """Network with a longer delay between regions than within one."""

    async def _deliver(self, source, target):
        # The second octet of an address numbers its failure domain.
        regions = {
            int(address.split(".")[1]) % REGION_COUNT
            for address in (source, target)
        }
        await trio.sleep(
            CROSS_REGION_DELAY_SECONDS
            if len(regions) > 1
            else REGION_DELAY_SECONDS
        )
        if (source, target) in self._partitioned_pairs:
            await trio.sleep_forever()


class DelayedPlatform(platform_standin.PlatformState):
    """Platform with the response time of the users' platform."""

    async def read(self, key):
        """Return a value after the delay."""
        await trio.sleep(PLATFORM_DELAY_SECONDS)
        return await super().read(key)

    async def watch(self, revision, wait):
        """Return the changed keys after the delay."""
        await trio.sleep(PLATFORM_DELAY_SECONDS)
        return await super().watch(revision, wait)


async def _wait_until_active(memory_fleet, version):
    """Wait until all nodes enforce a version; return the elapsed seconds."""
    started_at = trio.current_time()
    waiting = list(memory_fleet.nodes_by_id.values())
    with trio.fail_after(TIMEOUT_SECONDS):
        while waiting:
            waiting = [
                node
                for node in waiting
                if node.store.configuration is None
                or node.store.configuration.head.version != version
            ]
            await trio.sleep(POLL_INTERVAL_SECONDS)
    return trio.current_time() - started_at


def _tree_depth(nodes_by_id):
    """Return the largest number of hops from a reader to a node."""
    depths_by_id = {}

    def depth_of(host_id):
        if host_id not in depths_by_id:
            depths_by_id[host_id] = 0
            # A partitioned reader remains a parent until it is suspected.
            node = nodes_by_id.get(host_id)
            parents = node.topology.parents() if node else []
            if parents:
                # A version comes from the parent that has it first.
                depths_by_id[host_id] = 1 + min(
                    depth_of(parent.host_id) for parent in parents
                )
        return depths_by_id[host_id]

    return max(depth_of(host_id) for host_id in nodes_by_id)


class _TrafficCounters:
    """Sum of the calls of all nodes, and bytes of each node."""

    def __init__(self, nodes):
        self.messages = sum(node.client.call_count for node in nodes)
        self.bytes_by_id = {
            node.host.host_id: node.client.bytes_sent
            + node.client.bytes_received
            + node.server.bytes_sent
            + node.server.bytes_received
            + node.reader.bytes_received
            for node in nodes
        }


async def _simulate(domains, per_domain, seed, started):
    rows = []
    domain_names = [f"d{number:02}" for number in range(domains)]
    async with trio.open_nursery() as nursery:
        memory_fleet = memory.MemoryFleet(
            domains=dict.fromkeys(domain_names, per_domain),
            nursery=nursery,
            seed=seed,
        )
        memory_fleet.network = RegionNetwork()
        platform = DelayedPlatform()
        for name, hosts in memory_fleet.hosts_by_domain.items():
            platform.set_hosts(name, hosts)
        memory_fleet.platform = platform
        host_count = domains * per_domain
        memory_fleet.publish(memory.make_version(1))
        for host in memory_fleet.hosts:
            memory_fleet.start(host)

        def add_row(step, seconds, messages=0.0, sizes=(0.0,)):
            rows.append(
                {
                    "nodes": host_count,
                    "domains": domains,
                    "step": step,
                    "all nodes, simulated s": seconds,
                    "platform peak calls in 1 s": platform.peak_calls,
                    "platform refused": platform.refused_count,
                    "messages a node": messages,
                    "mean B a node": sum(sizes) / len(sizes),
                    "most B a node": max(sizes),
                    "levels below readers": _tree_depth(
                        memory_fleet.nodes_by_id
                    ),
                    "MiB of the simulation": psutil.Process(os.getpid())
                    .memory_info()
                    .rss
                    / _MEBIBYTE,
                    "real s so far": time.monotonic() - started,
                }
            )
            print(rows[-1], flush=True)
            platform.peak_calls = 0

        seconds = await _wait_until_active(memory_fleet, 1)
        add_row("all nodes start at once", seconds)
        await trio.sleep(SETTLE_SECONDS)
        platform.peak_calls = 0
        for version in range(2, 2 + PUBLICATIONS):
            nodes = list(memory_fleet.nodes_by_id.values())
            before = _TrafficCounters(nodes)
            memory_fleet.publish(memory.make_version(version))
            seconds = await _wait_until_active(memory_fleet, version)
            after = _TrafficCounters(nodes)
            add_row(
                f"version {version} published",
                seconds,
                (after.messages - before.messages) / host_count,
                [
                    after.bytes_by_id[host_id] - size
                    for host_id, size in before.bytes_by_id.items()
                ],
            )
            await trio.sleep(10.0)
        readers = [
            node.host.host_id
            for name in domain_names
            for node in memory_fleet.readers(name)
        ]
        for host_id in readers:
            memory_fleet.kill(host_id)
        version += 1
        memory_fleet.publish(memory.make_version(version))
        seconds = await _wait_until_active(memory_fleet, version)
        add_row(f"all {len(readers)} readers die, then a version", seconds)
        await trio.sleep(10.0)
        _partition_readers(memory_fleet, domain_names)
        version += 1
        memory_fleet.publish(memory.make_version(version))
        seconds = await _wait_until_active(memory_fleet, version)
        add_row("all readers fall silent, then a version", seconds)
        nursery.cancel_scope.cancel()
    return rows


def _partition_readers(memory_fleet, domain_names):
    """Partition all readers from their peers and the platform.

    Their connections are not closed, so calls to them get no response.
    """
    partitioned_nodes = [
        node for name in domain_names for node in memory_fleet.readers(name)
    ]
    addresses = [node.host.address for node in partitioned_nodes]
    memory_fleet.network.partition(
        addresses, [host.address for host in memory_fleet.hosts]
    )
    for node in partitioned_nodes:
        memory_fleet.ids_without_platform.add(node.host.host_id)
        del memory_fleet.nodes_by_id[node.host.host_id]


def simulate(domains, per_domain, seed):
    """Simulate one fleet; return rows of the table."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    # All nodes run in one process, so they share equal hosts. Nothing reads
    # the decision log.
    make_host, record = hosts_module._make_host, decisions.record
    cached_make_host = functools.lru_cache(maxsize=None)(
        lambda domain, items: make_host(domain, **dict(items))
    )
    hosts_module._make_host = lambda domain, **fields: cached_make_host(
        domain, tuple(fields.items())
    )
    decisions.record = lambda action, **fields: None
    try:
        return trio.run(
            _simulate,
            domains,
            per_domain,
            seed,
            time.monotonic(),
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
    finally:
        hosts_module._make_host, decisions.record = make_host, record


def run(options):
    """Simulate one failure domain, and a fleet of eleven domains."""
    cases = [(1, 60)] if options.is_quick else [(1, 655), (11, 200)]
    rows = []
    for domains, per_domain in cases:
        rows += simulate(domains, per_domain, options.seed)
    fleet.print_table(
        "Simulated fleets (platform bound "
        f"{PLATFORM_BOUND_CALLS_PER_SECOND} calls/s; first "
        f"reads are spread at {startup.FIRST_READS_PER_SECOND}/s)",
        rows,
    )
    return rows
