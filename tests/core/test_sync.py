"""Tests of the Sync calls between nodes."""

import random

import pytest
import trio

from shallotbridge._generated import configuration_pb2
from shallotbridge._generated import peer_pb2
from shallotbridge.core import errors
from shallotbridge.core import hosts as hosts_module
from shallotbridge.core import store as store_module
from shallotbridge.core import sync
from shallotbridge.core import topology
from shallotbridge.transports import peer_calls
from tests import builders
from tests import memory

OWN_HOST = builders.make_host("child", address="127.0.1.9")


def make_version(version):
    """Return an update with all parts of a version."""
    return builders.make_full_update(memory.make_version(version))


def make_request(store, wait=5.0, sender="child"):
    """Return the request of a node that has the head of a store."""
    return peer_pb2.SyncRequest(
        sender=sender,
        head=store_module.head_to_message(store.head),
        wait_ms=round(wait * 1000),
    )


def make_server(**options):
    """Return a server that has version 1, its store and its host table."""
    store, hosts = store_module.ConfigurationStore(), hosts_module.HostTable()
    store.apply(make_version(1))
    server = sync.SyncServer(
        host_id="parent", store=store, hosts=hosts, **options
    )
    return server, store, hosts


async def test_held_call_ends_with_new_version_or_hosts(
    nursery, autojump_clock
):
    """Guards against changes that are delayed until the next poll."""
    server, store, hosts = make_server()

    async def change():
        await trio.sleep(1)
        hosts.replace("cairo-1", 1, [builders.make_host()])
        await trio.sleep(1)
        store.apply(make_version(2))

    nursery.start_soon(change)
    reply = await server.sync(make_request(store))
    assert (trio.current_time(), len(reply.hosts)) == (1.0, 1)
    request = make_request(store)
    request.host_revisions["cairo-1"] = 1
    reply = await server.sync(request)
    assert (trio.current_time(), reply.update.head.version) == (2.0, 2)
    assert not (await server.sync(request)).hosts


async def test_calls_beyond_the_limit_are_not_held(nursery, autojump_clock):
    """Guards against exhausting the server's threads with held calls."""
    server, store, _ = make_server(maximum_held=2)
    for _ in range(2):
        nursery.start_soon(server.sync, make_request(store))
    await trio.testing.wait_all_tasks_blocked()
    await server.sync(make_request(store))
    assert trio.current_time() == 0.0
    await trio.sleep(5.1)
    assert server.held_count == 0


async def test_a_sender_that_is_ahead_is_reported():
    """Guards against a reader that keeps a stale platform's version."""
    ahead = []
    server, store, _ = make_server(on_sender_ahead=ahead.append)
    newer = store_module.ConfigurationStore()
    newer.apply(make_version(2))
    await server.sync(make_request(newer, wait=0))
    await server.sync(make_request(store, wait=0))
    assert ahead == ["child"]


class ClientSetup:
    """A client with two parents whose replies are set by the test."""

    def __init__(self):
        self.store = store_module.ConfigurationStore()
        self.store.apply(make_version(1))
        self.hosts = hosts_module.HostTable()
        self.parents = [
            builders.make_host(f"p{number}", address=f"127.0.1.{number}")
            for number in range(1, 3)
        ]
        self.hosts.replace("cairo-1", 1, [*self.parents, OWN_HOST])
        self.topology = topology.Topology(
            own_host=OWN_HOST, hosts=self.hosts, readers=0
        )
        self.requests = []
        self.replies = {}
        self.client = sync.SyncClient(
            own_host=OWN_HOST,
            store=self.store,
            hosts=self.hosts,
            topology=self.topology,
            peers=peer_calls.PeerCalls(
                sync=self._sync,
                report_crash=None,
                lookup_key=None,
                hand_over=None,
                serve=None,
            ),
            random=random.Random(1),
            # The second parent never responds; its call outlasts the tests.
            poll_wait=5.0,
        )

    async def _sync(self, address, request, timeout):
        self.requests.append((address, request))
        if address not in self.replies:
            await trio.sleep(timeout)
            raise errors.PeerUnavailableError("no response")
        return await self.replies[address](request)


def make_malformed_reply(kind):
    """Return a reply that a correct node never sends."""
    update = make_version(2)
    reply = peer_pb2.SyncReply(update=update)
    if kind == "digest":
        reply.update.changed.pop()
    elif kind == "part":
        reply.update.changed[0].content = b"\xff"
    elif kind == "version":
        reply.update.head.version = 0
    else:
        reply.ClearField("update")
        reply.hosts.add(failure_domain="cairo-1", revision=0)
    return reply


@pytest.mark.parametrize("kind", ["digest", "part", "version", "hosts"])
async def test_peer_with_malformed_reply_is_suspected(
    kind, nursery, autojump_clock
):
    """Guards against applying malformed replies and immediate retries."""
    setup = ClientSetup()

    async def reply(request):
        return make_malformed_reply(kind)

    setup.replies["127.0.1.1"] = reply
    nursery.start_soon(setup.client.run)
    await trio.sleep(5.0)
    assert setup.topology.suspected_ids() == {"p1"}
    assert setup.store.head.version == 1
    assert [address for address, _ in setup.requests].count("127.0.1.1") == 1


async def test_delta_with_digest_mismatch_is_followed_by_snapshot(
    nursery, autojump_clock
):
    """Guards against a node that can never apply its parent's deltas."""
    setup = ClientSetup()

    async def reply(request):
        if not request.head.version:
            return peer_pb2.SyncReply(update=make_version(2))
        if request.head.version == 2:
            await trio.sleep(5)
            return peer_pb2.SyncReply()
        update = make_version(2)
        update.base.CopyFrom(request.head)
        update.changed.append(configuration_pb2.Part(name="extra"))
        return peer_pb2.SyncReply(update=update)

    setup.replies["127.0.1.1"] = reply
    nursery.start_soon(setup.client.run)
    await trio.sleep(1)
    assert setup.store.head.version == 2
    assert not setup.topology.suspected_ids()


async def test_parent_that_holds_no_calls_is_not_polled_in_a_busy_loop(
    nursery, autojump_clock
):
    """Guards against a busy loop at a parent with its maximum of calls."""
    setup = ClientSetup()

    async def reply(request):
        return peer_pb2.SyncReply(head=request.head)

    for host in setup.parents:
        setup.replies[host.address] = reply
    nursery.start_soon(setup.client.run)
    await trio.sleep(60)
    assert 2 * 24 <= len(setup.requests) <= 2 * 120


async def test_host_list_change_switches_to_new_parents(
    nursery, autojump_clock
):
    """Guards against polling hosts that were removed from the list."""
    setup = ClientSetup()
    nursery.start_soon(setup.client.run)
    await trio.sleep(1)
    new = builders.make_host("p9", address="127.0.1.99")
    setup.hosts.replace("cairo-1", 2, [new, OWN_HOST])
    await trio.sleep(0.1)
    assert {address for address, _ in setup.requests} == {
        "127.0.1.1",
        "127.0.1.2",
        "127.0.1.99",
    }
    await trio.sleep(6)
    # The calls to the old parents were cancelled, not timed out.
    assert setup.topology.suspected_ids() <= {"p9"}


async def test_process_pause_does_not_suspect_peers(nursery, autojump_clock):
    """Guards against a resumed node that suspects working parents."""
    setup = ClientSetup()

    async def reply(request):
        # The call ends long after its timeout of 6.5 s.
        await trio.sleep(20)
        raise errors.PeerUnavailableError("DEADLINE_EXCEEDED")

    for host in setup.parents:
        setup.replies[host.address] = reply
    nursery.start_soon(setup.client.run)
    await trio.sleep(20.1)
    assert not setup.topology.suspected_ids()


async def test_sync_once_has_a_timeout_and_counts_responses(autojump_clock):
    """Guards against new work that waits for unresponsive peers."""
    setup = ClientSetup()

    async def reply(request):
        return peer_pb2.SyncReply(update=make_version(3), head=request.head)

    setup.replies["127.0.1.1"] = reply
    assert await setup.client.sync_once() == 1
    assert trio.current_time() <= sync.SYNC_ONCE_TIMEOUT_SECONDS
    assert setup.store.head.version == 3


async def test_both_sides_count_the_same_bytes(autojump_clock):
    """Guards against a size counted on one side of a call only."""
    server, _, _ = make_server()
    setup = ClientSetup()
    setup.replies["127.0.1.1"] = server.sync
    await setup.client.sync_with(setup.parents[0], 0.0, 1.0)
    assert setup.client.bytes_sent == server.bytes_received > 0
    assert setup.client.bytes_received == server.bytes_sent > 0
