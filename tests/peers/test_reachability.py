"""Tests of the pings that find partitions."""

import random

import trio

from shallotbridge.peers import reachability


async def _sample(dead, *, rounds, count=60):
    """Return the unresponsive nodes and the pings after some rounds."""
    pings = []
    changes = []
    addresses = [f"n{number}" for number in range(count)]

    async def responds(address):
        pings.append(address)
        await trio.sleep(0.15 if address in dead else 0.001)
        return address not in dead

    async with trio.open_nursery() as nursery:
        sampler = reachability.ReachabilitySampler(
            list_open=lambda: addresses,
            responds=responds,
            start_soon=nursery.start_soon,
            on_changed=lambda: changes.append(1),
            random=random.Random(1),
        )
        for _ in range(rounds):
            sampler.sample(addresses)
            await trio.sleep(0.4)
    found = set(sampler.unresponsive)
    dead.clear()
    async with trio.open_nursery() as nursery:
        sampler._start_soon = nursery.start_soon
        await trio.sleep(reachability.RECHECK_SECONDS)
        sampler.sample(addresses)
    assert not sampler.unresponsive
    return found, pings, changes


async def test_a_partition_is_found_within_seconds(autojump_clock):
    """Guards against quotas that both sides of a partition lend whole."""
    dead = {f"n{number}" for number in range(20)}
    found, _, changes = await _sample(set(dead), rounds=5)
    assert found == dead
    assert len(changes) >= len(dead)


async def test_a_fleet_without_faults_gets_few_pings(autojump_clock):
    """Guards against pings that cost more than the requests."""
    found, pings, changes = await _sample(set(), rounds=50)
    assert (found, changes) == (set(), [])
    assert len(pings) <= 51 * reachability.SAMPLE_SIZE


async def test_the_end_of_one_node_costs_few_pings(autojump_clock):
    """Guards against all nodes that ping all others after each restart."""
    found, pings, _ = await _sample({"n7"}, rounds=50)
    assert found == {"n7"}
    sampled = 51 * reachability.SAMPLE_SIZE
    rechecks = 50 * 0.4 / reachability.RECHECK_SECONDS
    assert (
        len(pings) <= sampled + rechecks + reachability.CONFIRMATION_SIZE + 1
    )
