"""Tests of distribution in an in-memory fleet of two failure domains."""

import itertools

import trio

from tests import memory

DOMAINS = {"cairo-1": 30, "cairo-2": 30}
# Limit of section 2.5 of the design page until all nodes enforce a change.
MAXIMUM_CONVERGENCE_SECONDS = 4.0


async def start_fleet(nursery, domains=None):
    """Return a fleet that enforces version 1 and has a stable tree."""
    fleet = memory.MemoryFleet(domains=domains or DOMAINS, nursery=nursery)
    fleet.publish(memory.make_version(1))
    for host in fleet.hosts:
        fleet.start(host)
    await fleet.wait_version(1, 30.0)
    await trio.sleep(40.0)
    return fleet


def check_versions_increase(fleet):
    """Check that no node enforced a lower version after a higher one."""
    for node in fleet.nodes_by_id.values():
        for version, next_version in itertools.pairwise(node.versions):
            assert version < next_version


async def test_published_version_reaches_all_nodes(nursery, autojump_clock):
    """Guards against slow convergence and more readers than needed."""
    fleet = await start_fleet(nursery)
    assert len(fleet.readers("cairo-1")) == 3
    calls = fleet.platform.call_count
    fleet.publish(memory.make_version(2))
    await fleet.wait_version(2, MAXIMUM_CONVERGENCE_SECONDS)
    # Six readers: a watch, the head and one bundle each, then a watch.
    assert fleet.platform.call_count - calls <= 6 * 4
    check_versions_increase(fleet)


async def test_all_readers_of_a_domain_are_replaced(nursery, autojump_clock):
    """Guards against a domain without updates after its readers fail."""
    fleet = await start_fleet(nursery)
    for node in fleet.readers("cairo-1"):
        fleet.kill(node.host.host_id)
    await trio.sleep(2.0)
    fleet.publish(memory.make_version(2))
    await fleet.wait_version(2, MAXIMUM_CONVERGENCE_SECONDS)
    assert len(fleet.readers("cairo-1")) >= 3


async def test_domain_without_the_platform_reads_from_the_other(
    nursery, autojump_clock
):
    """Guards against a domain that depends on its path to the platform."""
    fleet = await start_fleet(nursery)
    fleet.domains_without_platform.add("cairo-1")
    fleet.publish(memory.make_version(2))
    await fleet.wait_version(2, MAXIMUM_CONVERGENCE_SECONDS)


async def test_reader_without_sources_reads_from_its_children(
    nursery, autojump_clock
):
    """Guards against a reader that keeps an old version until a poll ends."""
    fleet = await start_fleet(nursery)
    isolated_reader = fleet.readers("cairo-1")[0]
    fleet.ids_without_platform.add(isolated_reader.host.host_id)
    fleet.network.partition(
        [isolated_reader.host.address],
        [host.address for host in fleet.hosts_by_domain["cairo-2"]],
    )
    fleet.publish(memory.make_version(2))
    await fleet.wait_version(2, MAXIMUM_CONVERGENCE_SECONDS)


async def test_higher_version_wins_after_a_partition(nursery, autojump_clock):
    """Guards against nodes that differ or go back after a partition."""
    fleet = await start_fleet(nursery)
    first, second = (
        [host.address for host in hosts]
        for hosts in fleet.hosts_by_domain.values()
    )
    fleet.domains_without_platform.add("cairo-1")
    fleet.network.partition(first, second)
    fleet.publish(memory.make_version(2))
    await trio.sleep(60.0)
    assert fleet.versions() == {1, 2}
    fleet.network.heal()
    await fleet.wait_version(2, 40.0)
    check_versions_increase(fleet)


async def test_isolated_node_recovers_before_its_suspicions_expire(
    nursery, autojump_clock
):
    """Guards against a node that keeps reachable peers excluded."""
    fleet = await start_fleet(nursery, {"cairo-1": 4})
    readers = fleet.readers("cairo-1")
    (child,) = [
        node for node in fleet.nodes_by_id.values() if node not in readers
    ]
    fleet.ids_without_platform.add(child.host.host_id)
    fleet.network.partition(
        [child.host.address], [node.host.address for node in readers]
    )
    # By then the node suspects both parents and has no peer to read from.
    await trio.sleep(14.0)
    assert child.topology.is_reader()
    fleet.publish(memory.make_version(2))
    fleet.network.heal()
    await fleet.wait_version(2, 10.0)


async def test_a_restarted_node_ignores_a_restored_platform(
    nursery, autojump_clock
):
    """Guards against returning to a stale version at a restart (P1)."""
    fleet = await start_fleet(nursery)
    old_revision = fleet.platform.revision
    fleet.publish(memory.make_version(2))
    await fleet.wait_version(2, MAXIMUM_CONVERGENCE_SECONDS)
    fleet.platform.restore_revision(old_revision)
    restarted = []
    for node in fleet.readers("cairo-1") + fleet.readers("cairo-2"):
        fleet.kill(node.host.host_id)
        restarted.append(fleet.start(node.host))
    await fleet.wait_version(2, 10.0)
    await trio.sleep(60.0)
    assert fleet.versions() == {2}
    assert [node.versions for node in restarted] == [[2]] * 6
    check_versions_increase(fleet)


async def test_simultaneous_start_stays_below_the_platform_rate_limit(
    nursery, autojump_clock
):
    """Guards against a reconnection storm above the platform's rate limit."""
    fleet = memory.MemoryFleet(domains=DOMAINS, nursery=nursery)
    fleet.platform.set_mode("down")
    fleet.publish(memory.make_version(1))
    for host in fleet.hosts:
        fleet.start(host)
    await trio.sleep(60.0)
    assert fleet.versions() == {0}
    fleet.platform.set_mode("up")
    await fleet.wait_version(1, 60.0)
    assert fleet.platform.refused_count == 0
    # Section 5.5 of the design page: about 500 first calls/s for any fleet
    # size, plus bursts.
    assert fleet.platform.peak_calls < 500 + len(fleet.hosts)
