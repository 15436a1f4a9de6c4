"""Tests of the start of a node."""

import pytest
import trio

from tests import memory


async def make_fleet(nursery, count=5):
    """Return a fleet of one domain, all but its last host running."""
    fleet = memory.MemoryFleet(domains={"cairo-1": count}, nursery=nursery)
    fleet.publish(memory.make_version(1))
    for host in fleet.hosts[:-1]:
        fleet.start(host)
    await fleet.wait_version(1, 10.0)
    return fleet


async def test_peers_are_found_by_seeds_without_the_platform(
    nursery, autojump_clock
):
    """Guards against a start that needs the platform."""
    fleet = await make_fleet(nursery)
    fleet.platform.set_mode("down")
    stale = "127.9.9.9"
    node = fleet.start(fleet.hosts[-1], seeds=[stale, fleet.hosts[0].address])
    with trio.fail_after(2.0):
        await node.store.wait_enforced()
    assert len(node.hosts.hosts_by_id) == 5


async def test_an_older_platform_waits_for_peers(nursery, autojump_clock):
    """Guards against enforcing a stale platform's version first (P1)."""
    fleet = await make_fleet(nursery)
    old_revision = fleet.platform.revision
    fleet.publish(memory.make_version(2))
    await fleet.wait_version(2, 4.0)
    fleet.platform.restore_revision(old_revision)
    node = fleet.start(fleet.hosts[-1])
    await trio.sleep(20)
    assert node.versions == [2]


async def test_silent_peers_delay_the_start_by_its_bound_only(
    nursery, autojump_clock
):
    """Guards against a start that waits for a partition to heal."""
    fleet = await make_fleet(nursery)
    last = fleet.hosts[-1]
    fleet.network.partition(
        [last.address], [host.address for host in fleet.hosts[:-1]]
    )
    node = fleet.start(last)
    with trio.fail_after(6.0):
        configuration = await node.store.wait_enforced()
    assert configuration.head.version == 1


async def test_a_domain_that_restarts_asks_the_others(nursery, autojump_clock):
    """Guards against peers without knowledge that count as answers."""
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
async def test_first_reads_are_spread_over_the_fleet(
    size, nursery, autojump_clock
):
    """Guards against a common start that exceeds the platform's rate."""
    fleet = memory.MemoryFleet(domains={"cairo-1": 40}, nursery=nursery)
    fleet.fleet_size = size
    for host in fleet.hosts:
        fleet.start(host)
    await trio.sleep(size / 500)
    times = fleet.first_call_times_by_id.values()
    assert len(times) == 40
    assert min(times) < 0.2 * size / 500
    assert max(times) > 0.8 * size / 500
