"""Distribution at sizes beyond processes, on trio's simulated clock.

The modules of the product run unchanged; peers and platform are in memory
(``tests.memory``). Simulated time shows waits and hops, not processor time.
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

REGIONS = 3
NEAR_SECONDS = 0.001  # one way, within a region
FAR_SECONDS = 0.030  # one way, between regions
PLATFORM_SECONDS = 0.005  # before each answer
STEP_SECONDS = 0.001  # resolution of the times
PUBLICATIONS = 3
SETTLE_SECONDS = 120.0
TIMEOUT_SECONDS = 120.0
PLATFORM_BOUND = 2000  # calls a second
_MEBIBYTE = 2**20


class RegionNetwork(memory.MemoryPeerNetwork):
    """Messages between regions take longer."""

    async def _deliver(self, source, target):
        # The second number of an address is that of the failure domain.
        regions = {
            int(address.split(".")[1]) % REGIONS
            for address in (source, target)
        }
        await trio.sleep(FAR_SECONDS if len(regions) > 1 else NEAR_SECONDS)
        if (source, target) in self._partitioned_pairs:
            await trio.sleep_forever()


class SlowPlatform(platform_standin.PlatformState):
    """Answers after the time that the users' platform takes."""

    async def read(self, key):
        """Return a value after a while."""
        await trio.sleep(PLATFORM_SECONDS)
        return await super().read(key)

    async def watch(self, revision, wait):
        """Return a change after a while."""
        await trio.sleep(PLATFORM_SECONDS)
        return await super().watch(revision, wait)


async def _wait_version(running, version):
    """Wait until all nodes enforce a version; return the seconds."""
    started_at = trio.current_time()
    waiting = list(running.nodes_by_id.values())
    with trio.fail_after(TIMEOUT_SECONDS):
        while waiting:
            waiting = [
                node
                for node in waiting
                if node.store.configuration is None
                or node.store.configuration.head.version != version
            ]
            await trio.sleep(STEP_SECONDS)
    return trio.current_time() - started_at


def _levels(nodes_by_id):
    """Return the longest way from a reader to a node, in hops."""
    depths = {}

    def depth_of(host_id):
        if host_id not in depths:
            depths[host_id] = 0
            # A peer that was silenced is still somebody's parent for a while.
            node = nodes_by_id.get(host_id)
            parents = node.topology.parents() if node else []
            if parents:
                # The first of two parents to have a version passes it on.
                depths[host_id] = 1 + min(
                    depth_of(parent.host_id) for parent in parents
                )
        return depths[host_id]

    return max(depth_of(host_id) for host_id in nodes_by_id)


class _Traffic:
    """Sums of the counters of all nodes."""

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
    names = [f"d{number:02}" for number in range(domains)]
    async with trio.open_nursery() as nursery:
        running = memory.MemoryFleet(
            domains=dict.fromkeys(names, per_domain),
            nursery=nursery,
            seed=seed,
        )
        running.network = RegionNetwork()
        platform = SlowPlatform()
        for name, hosts in running.hosts_by_domain.items():
            platform.set_hosts(name, hosts)
        running.platform = platform
        count = domains * per_domain
        running.publish(memory.make_version(1))
        for host in running.hosts:
            running.start(host)

        def add_row(step, seconds, messages=0.0, sizes=(0.0,)):
            rows.append(
                {
                    "nodes": count,
                    "domains": domains,
                    "step": step,
                    "all nodes, simulated s": seconds,
                    "platform peak calls in 1 s": platform.peak_calls,
                    "platform refused": platform.refused_count,
                    "messages a node": messages,
                    "mean B a node": sum(sizes) / len(sizes),
                    "most B a node": max(sizes),
                    "levels below readers": _levels(running.nodes_by_id),
                    "MiB of the simulation": psutil.Process(os.getpid())
                    .memory_info()
                    .rss
                    / _MEBIBYTE,
                    "real s so far": time.monotonic() - started,
                }
            )
            print(rows[-1], flush=True)
            platform.peak_calls = 0

        seconds = await _wait_version(running, 1)
        add_row("all nodes start at once", seconds)
        await trio.sleep(SETTLE_SECONDS)
        platform.peak_calls = 0
        for version in range(2, 2 + PUBLICATIONS):
            nodes = list(running.nodes_by_id.values())
            before = _Traffic(nodes)
            running.publish(memory.make_version(version))
            seconds = await _wait_version(running, version)
            after = _Traffic(nodes)
            add_row(
                f"version {version} published",
                seconds,
                (after.messages - before.messages) / count,
                [
                    after.bytes_by_id[host_id] - size
                    for host_id, size in before.bytes_by_id.items()
                ],
            )
            await trio.sleep(10.0)
        readers = [
            node.host.host_id
            for name in names
            for node in running.readers(name)
        ]
        for host_id in readers:
            running.kill(host_id)
        version += 1
        running.publish(memory.make_version(version))
        seconds = await _wait_version(running, version)
        add_row(f"all {len(readers)} readers die, then a version", seconds)
        await trio.sleep(10.0)
        _silence(running, names)
        version += 1
        running.publish(memory.make_version(version))
        seconds = await _wait_version(running, version)
        add_row("all readers fall silent, then a version", seconds)
        nursery.cancel_scope.cancel()
    return rows


def _silence(running, names):
    """Cut all readers off from peers and platform without closing."""
    silent = [node for name in names for node in running.readers(name)]
    addresses = [node.host.address for node in silent]
    running.network.partition(
        addresses, [host.address for host in running.hosts]
    )
    for node in silent:
        running.ids_without_platform.add(node.host.host_id)
        del running.nodes_by_id[node.host.host_id]


def simulate(domains, per_domain, seed):
    """Simulate one fleet; returns rows of the table."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    # All nodes are in one process, so equal hosts are made once, and nobody
    # reads the decision log.
    make_host, record = hosts_module._make_host, decisions.record
    shared = functools.lru_cache(maxsize=None)(
        lambda domain, items: make_host(domain, **dict(items))
    )
    hosts_module._make_host = lambda domain, **fields: shared(
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
    """Simulate one failure domain, and a fleet of eleven."""
    cases = [(1, 60)] if options.is_quick else [(1, 655), (11, 200)]
    rows = []
    for domains, per_domain in cases:
        rows += simulate(domains, per_domain, options.seed)
    fleet.print_table(
        f"Simulated fleets (platform bound {PLATFORM_BOUND} calls/s; first "
        f"reads are spread at {startup.FIRST_READS_PER_SECOND}/s)",
        rows,
    )
    return rows
