"""Tests of the distribution tree."""

import random

import trio

from shallotbridge.core import hosts as hosts_module
from shallotbridge.core import topology
from tests import builders


def make_host_table(count, domains=("cairo-1",)):
    """Return a host table with a number of hosts in each domain."""
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
    """Return the topology of each host of a domain in rendezvous order."""
    return [
        topology.Topology(own_host=host, hosts=table)
        for host in topology.rendezvous_order(table.hosts_of_domain(domain))
    ]


def test_the_order_is_the_same_in_every_process():
    """Guards against an order by hash(), which differs per process."""
    hosts = [builders.make_host(f"h{number}") for number in range(6)]
    assert [host.host_id for host in topology.rendezvous_order(hosts)] == ORDER


# As computed by `b2sum -l 64` of each id.
ORDER = ["h5", "h3", "h4", "h1", "h2", "h0"]


async def test_tree_of_a_target_domain_has_three_levels():
    """Guards against cycles, long paths and parents with many children."""
    table = make_host_table(655)
    order = topology.rendezvous_order(table.hosts_of_domain("cairo-1"))
    topologies = make_topologies(table)
    assert [node.is_reader() for node in topologies].count(True) == 3
    levels = {host.host_id: 0 for host in order[:3]}
    children = dict.fromkeys([host.host_id for host in order], 0)
    for host, node in list(zip(order, topologies))[3:]:
        parents = [parent.host_id for parent in node.parents()]
        assert len(parents) == 2
        levels[host.host_id] = 1 + min(map(levels.get, parents))
        for parent in parents:
            children[parent] += 1
    assert max(levels.values()) == 3
    assert max(children.values()) <= 16


async def test_unreachable_and_leaving_readers_are_replaced(autojump_clock):
    """Guards against a domain that waits for readers that are down."""
    table = make_host_table(8)
    order = topology.rendezvous_order(table.hosts_of_domain("cairo-1"))
    node = topology.Topology(own_host=order[4], hosts=table)
    assert not node.is_reader()
    for host in order[:2]:
        node.suspect(host.host_id)
    assert node.is_reader()
    generation = node.generation
    with trio.fail_after(topology.SUSPICION_SECONDS + 1):
        await node.wait_for_change(generation)
    assert not node.is_reader()


async def test_response_ends_a_suspicion(autojump_clock):
    """Guards against a peer that stays excluded although it responds."""
    table = make_host_table(5)
    order = topology.rendezvous_order(table.hosts_of_domain("cairo-1"))
    node = topology.Topology(own_host=order[4], hosts=table)
    parent = node.parents()[0]
    node.suspect(parent.host_id)
    assert parent not in node.parents()
    node.clear_suspicion(parent.host_id)
    assert parent in node.parents()


async def test_unlisted_node_is_not_a_reader():
    """Guards against a fourth reader while the host list is outdated."""
    table = make_host_table(5)
    first = topology.rendezvous_order(table.hosts_of_domain("cairo-1"))[0]
    listed = [
        host for host in table.hosts_of_domain("cairo-1") if host != first
    ]
    table.replace("cairo-1", 2, listed)
    node = topology.Topology(own_host=first, hosts=table)
    assert not node.is_reader()
    assert len(node.parents()) == 2


async def test_readers_cover_many_other_domains():
    """Guards against readers that all use the same other domain.

    Their domain then depends on that one when it cannot reach the platform.
    """
    names = [f"domain-{number:02}" for number in range(11)]
    table = make_host_table(4, names)
    queried_domains = set()
    for node in make_topologies(table, names[3]):
        remote = node.remote_parents()
        assert len(remote) == (3 if node.is_reader() else 0)
        queried_domains |= {host.failure_domain for host in remote}
    assert len(queried_domains) == 9
    assert names[3] not in queried_domains


async def test_seeds_are_parents_while_no_hosts_are_known():
    """Guards against a node that has no peers without the platform."""
    own_host = builders.make_host()
    node = topology.Topology(
        own_host=own_host,
        hosts=hosts_module.HostTable(),
        seeds=[own_host.address, "127.0.1.2", "127.0.1.3"],
    )
    first, second = node.parents()
    assert (first.address, second.address) == ("127.0.1.2", "127.0.1.3")
    node.suspect(first.host_id)
    assert node.parents() == [second]
