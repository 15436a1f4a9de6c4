"""Tests of the startup of a node."""

import pytest
import trio

from tests import memory


async def make_fleet(nursery, count=5):
    """Return a fleet of one domain in which the last host is not started."""
    fleet = memory.MemoryFleet(domains={"cairo-1": count}, nursery=nursery)
    fleet.publish(memory.make_version(1))
    for host in fleet.hosts[:-1]:
        fleet.start(host)
    await fleet.wait_version(1, 10.0)
    return fleet


async def test_node_starts_from_seeds_without_the_platform(
    nursery, autojump_clock
):
    """Guards against a startup that fails during a platform outage."""
    fleet = await make_fleet(nursery)
    fleet.platform.set_mode("down")
    unused_address = "127.9.9.9"
    node = fleet.start(
        fleet.hosts[-1], seeds=[unused_address, fleet.hosts[0].address]
    )
    with trio.fail_after(2.0):
        await node.store.wait_until_active()
    assert len(node.hosts.hosts_by_id) == 5


async def test_stale_platform_version_is_not_enforced_before_peers_respond(
    nursery, autojump_clock
):
    """Guards against enforcing a stale version first (P1)."""
    fleet = await make_fleet(nursery)
    old_revision = fleet.platform.revision
    fleet.publish(memory.make_version(2))
    await fleet.wait_version(2, 4.0)
    fleet.platform.restore_revision(old_revision)
    node = fleet.start(fleet.hosts[-1])
    await trio.sleep(20)
    assert node.versions == [2]


async def test_unresponsive_peers_delay_the_start_by_at_most_its_limit(
    nursery, autojump_clock
):
    """Guards against a startup that waits for a partition to heal."""
    fleet = await make_fleet(nursery)
    last = fleet.hosts[-1]
    fleet.network.partition(
        [last.address], [host.address for host in fleet.hosts[:-1]]
    )
    node = fleet.start(last)
    with trio.fail_after(6.0):
        configuration = await node.store.wait_until_active()
    assert configuration.head.version == 1


async def test_restarted_domain_queries_other_domains(nursery, autojump_clock):
    """Guards against counting responses of peers that are starting too."""
    fleet = memory.MemoryFleet(
        domains={"cairo-1": 4, "cairo-2": 4}, nursery=nursery
    )
    old_revision = fleet.platform.revision
    fleet.publish(memory.make_version(1))
    old_revision = fleet.platform.revision
    for host in fleet.hosts:
        fleet.start(host)
    await fleet.wait_version(1, 10.0)
    await trio.sleep(40)
    fleet.publish(memory.make_version(2))
    await fleet.wait_version(2, 4.0)
    fleet.platform.restore_revision(old_revision)
    restarted = []
    for host in fleet.hosts_by_domain["cairo-1"]:
        fleet.kill(host.host_id)
    for host in fleet.hosts_by_domain["cairo-1"]:
        restarted.append(fleet.start(host))
    await trio.sleep(20)
    assert [node.versions for node in restarted] == [[2]] * 4


@pytest.mark.parametrize("size", [500, 5000])
async def test_first_reads_are_spread_in_proportion_to_the_fleet(
    size, nursery, autojump_clock
):
    """Guards against exceeding the platform's rate limit at a fleet start."""
    fleet = memory.MemoryFleet(domains={"cairo-1": 40}, nursery=nursery)
    fleet.fleet_size = size
    for host in fleet.hosts:
        fleet.start(host)
    await trio.sleep(size / 500)
    times = fleet.first_call_times_by_id.values()
    assert len(times) == 40
    assert min(times) < 0.2 * size / 500
    assert max(times) > 0.8 * size / 500
