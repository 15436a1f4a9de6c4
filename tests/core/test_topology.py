"""Tests of the distribution tree."""

import random

import trio

from shallotbridge.core import hosts as hosts_module
from shallotbridge.core import topology
from tests import builders


def make_table(count, domains=("cairo-1",)):
    """Return a host table with so many hosts in each domain."""
    table = hosts_module.HostTable()
    for name in domains:
        hosts = [
            builders.make_host(f"{name}-{number}", failure_domain=name)
            for number in range(count)
        ]
        random.Random(name).shuffle(hosts)
        table.replace(name, 1, hosts)
    return table


def make_topologies(table, domain="cairo-1"):
    """Return the topology of each host of a domain in order."""
    return [
        topology.Topology(own_host=host, hosts=table)
        for host in topology.order_of(table.hosts_of_domain(domain))
    ]


def test_the_order_is_the_same_in_every_process():
    """Guards against an order by Python's hash(), which differs."""
    hosts = [builders.make_host(f"h{number}") for number in range(6)]
    assert [host.host_id for host in topology.order_of(hosts)] == ORDER


# As computed by `b2sum -l 64` of each id.
ORDER = ["h5", "h3", "h4", "h1", "h2", "h0"]


async def test_the_tree_of_a_target_domain_has_three_levels():
    """Guards against loops, long chains and parents with many children."""
    table = make_table(655)
    order = topology.order_of(table.hosts_of_domain("cairo-1"))
    topologies = make_topologies(table)
    assert [item.is_reader() for item in topologies].count(True) == 3
    levels = {host.host_id: 0 for host in order[:3]}
    children = dict.fromkeys([host.host_id for host in order], 0)
    for host, item in list(zip(order, topologies))[3:]:
        parents = [parent.host_id for parent in item.parents()]
        assert len(parents) == 2
        levels[host.host_id] = 1 + min(map(levels.get, parents))
        for parent in parents:
            children[parent] += 1
    assert max(levels.values()) == 3
    assert max(children.values()) <= 16


async def test_unreachable_and_leaving_readers_are_replaced(autojump_clock):
    """Guards against a domain that waits for readers that are gone."""
    table = make_table(8)
    order = topology.order_of(table.hosts_of_domain("cairo-1"))
    item = topology.Topology(own_host=order[4], hosts=table)
    assert not item.is_reader()
    for host in order[:2]:
        item.suspect(host.host_id)
    assert item.is_reader()
    generation = item.generation
    with trio.fail_after(topology.SUSPICION_SECONDS + 1):
        await item.wait_for_change(generation)
    assert not item.is_reader()


async def test_a_clear_answer_ends_a_suspicion(autojump_clock):
    """Guards against a peer that stays excluded though it answers."""
    table = make_table(5)
    order = topology.order_of(table.hosts_of_domain("cairo-1"))
    item = topology.Topology(own_host=order[4], hosts=table)
    parent = item.parents()[0]
    item.suspect(parent.host_id)
    assert parent not in item.parents()
    item.clear_suspicion(parent.host_id)
    assert parent in item.parents()


async def test_an_unlisted_or_leaving_node_is_no_reader():
    """Guards against readers beyond three while the list lags."""
    table = make_table(5)
    first = topology.order_of(table.hosts_of_domain("cairo-1"))[0]
    listed = [
        host for host in table.hosts_of_domain("cairo-1") if host != first
    ]
    table.replace("cairo-1", 2, listed)
    item = topology.Topology(own_host=first, hosts=table)
    assert not item.is_reader()
    assert len(item.parents()) == 2


async def test_readers_cover_many_other_domains():
    """Guards against a cut-off domain whose readers ask one other only."""
    names = [f"domain-{number:02}" for number in range(11)]
    table = make_table(4, names)
    asked = set()
    for item in make_topologies(table, names[3]):
        remote = item.remote_parents()
        assert len(remote) == (3 if item.is_reader() else 0)
        asked |= {host.failure_domain for host in remote}
    assert len(asked) == 9
    assert names[3] not in asked


async def test_seeds_are_parents_while_no_hosts_are_known():
    """Guards against a node that finds nobody without the platform."""
    own_host = builders.make_host()
    item = topology.Topology(
        own_host=own_host,
        hosts=hosts_module.HostTable(),
        seeds=[own_host.address, "127.0.1.2", "127.0.1.3"],
    )
    first, second = item.parents()
    assert (first.address, second.address) == ("127.0.1.2", "127.0.1.3")
    item.suspect(first.host_id)
    assert item.parents() == [second]
