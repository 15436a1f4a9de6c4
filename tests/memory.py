"""In-memory fleet of peers, platform and distribution on trio's clock."""

import functools
import random

import trio

from shallotbridge._generated import configuration_pb2
from shallotbridge._generated import peer_pb2
from shallotbridge.core import errors
from shallotbridge.core import hosts as hosts_module
from shallotbridge.core import model
from shallotbridge.core import parts
from shallotbridge.core import platform as platform_module
from shallotbridge.core import startup
from shallotbridge.core import store as store_module
from shallotbridge.core import sync
from shallotbridge.core import topology as topology_module
from shallotbridge.transports import peer_calls
from standins import platform as platform_standin
from tests import builders


class MemoryPeerNetwork:
    """Calls between nodes by address, with delays and network partitions.

    A call to an address without a server is refused at once. A call across a
    partition (see ``partition``) gets no response until its timeout.
    """

    def __init__(self, *, delay=0.001):
        self.delay = delay
        self.call_count = 0
        self._handlers_by_address = {}
        # Cancel scopes of the calls in progress at each address.
        self._scopes_by_address = {}
        self._partitioned_pairs = set()

    def partition(self, addresses, other_addresses):
        """Drop all messages between two groups of addresses."""
        for address in addresses:
            for other in other_addresses:
                self._partitioned_pairs |= {(address, other), (other, address)}

    def heal(self):
        """Remove all partitions."""
        self._partitioned_pairs.clear()

    def peers(self, source):
        """Return the ``peer_calls.PeerCalls`` of the node at an address."""

        def bind(name, reply_type):
            async def call(address, message, timeout):
                return await self._call(
                    source, address, name, message, timeout, reply_type
                )

            return call

        async def serve(
            address, port, handlers, task_status=trio.TASK_STATUS_IGNORED
        ):
            self._handlers_by_address[address] = handlers
            try:
                task_status.started()
                await trio.sleep_forever()
            finally:
                if self._handlers_by_address.get(address) is handlers:
                    del self._handlers_by_address[address]
                # When a process ends, its calls in progress fail.
                for scope in tuple(self._scopes_by_address.get(address, ())):
                    scope.cancel()

        return peer_calls.PeerCalls(
            sync=bind("sync", peer_pb2.SyncReply),
            report_crash=bind("report_crash", None),
            lookup_key=bind("lookup_key", peer_pb2.KeyAnswer),
            hand_over=bind("hand_over", None),
            serve=serve,
        )

    async def _call(self, source, target, name, message, timeout, reply_type):
        self.call_count += 1
        with trio.move_on_after(timeout):
            await self._deliver(source, target)
            handlers = self._handlers_by_address.get(target)
            if handlers is None:
                raise errors.PeerUnavailableError(f"{target}: refused")
            request = type(message).FromString(message.SerializeToString())
            scopes = self._scopes_by_address.setdefault(target, set())
            with trio.CancelScope() as scope:
                scopes.add(scope)
                try:
                    reply = await getattr(handlers, name)(request)
                finally:
                    scopes.discard(scope)
            if scope.cancelled_caught:
                raise errors.PeerUnavailableError(f"{target}: closed")
            await self._deliver(target, source)
            if reply_type is None:
                return None
            return reply_type.FromString(reply.SerializeToString())
        raise errors.PeerUnavailableError(
            f"{target}: no response in {timeout}s"
        )

    async def _deliver(self, source, target):
        await trio.sleep(self.delay)
        if (source, target) in self._partitioned_pairs:
            await trio.sleep_forever()


def make_version(version, deadline=None, extra=()):
    """Return a configuration whose deadline makes its content distinct."""
    route = builders.make_route(deadline_seconds=float(deadline or version))
    services = [builders.make_service(routes=[route])]
    for name in extra:
        services.append(builders.make_service(name=name, routes=[]))
    return builders.make_configuration(version=version, services=services)


def platform_values(configuration, *, base_version=None, base_digest=b""):
    """Return the platform values that publish a configuration."""
    if base_version is None:
        base_version = configuration.head.version - 1
    head = configuration_pb2.Head(
        version=configuration.head.version,
        digest=configuration.head.digest,
        base_version=base_version,
        base_digest=base_digest,
    )
    values_by_key = {}
    for content in parts.make_bundles(parts.encode_parts(configuration)):
        digest = parts.part_digest(content)
        key = parts.bundle_key(digest)
        head.bundles.add(key=key, digest=digest, size=len(content))
        values_by_key[key] = content
    values_by_key[parts.HEAD_KEY] = head.SerializeToString(deterministic=True)
    return values_by_key


class MemoryNode:
    """The distribution part of one node, without proxy and upstream."""

    def __init__(self, *, host, peers, platform, seed, seeds=(), fleet_size=1):
        random_source = random.Random(f"{seed}-{host.host_id}")
        self.host = host
        self.versions = []
        self.store = store_module.ConfigurationStore()
        self.hosts = hosts_module.HostTable()
        self.topology = topology_module.Topology(
            own_host=host, hosts=self.hosts, seeds=seeds
        )
        self.client = sync.SyncClient(
            own_host=host,
            store=self.store,
            hosts=self.hosts,
            topology=self.topology,
            peers=peers,
            random=random_source,
        )
        self.server = sync.SyncServer(
            host_id=host.host_id,
            store=self.store,
            hosts=self.hosts,
            on_sender_ahead=self.client.schedule_pull,
        )
        self.reader = platform_module.PlatformReader(
            platform=platform,
            store=self.store,
            hosts=self.hosts,
            random=random_source,
            topology=self.topology,
            failure_domain=host.failure_domain,
        )
        self._peers = peers
        self._random = random_source
        self._fleet_size = fleet_size

    async def run(self):
        """Run until cancelled."""
        handlers = peer_calls.PeerHandlers(
            sync=self.server.sync,
            report_crash=_ignore_message,
            lookup_key=_ignore_message,
            hand_over=_ignore_message,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(
                self._peers.serve, self.host.address, 0, handlers
            )
            nursery.start_soon(self._record_versions)
            await nursery.start(
                functools.partial(
                    startup.find_configuration,
                    own_host=self.host,
                    store=self.store,
                    hosts=self.hosts,
                    client=self.client,
                    reader=self.reader,
                    seed_hosts=self.topology.seeds,
                    fleet_size=self._fleet_size,
                    random=self._random,
                )
            )
            nursery.start_soon(self.client.run)
            nursery.start_soon(self.reader.run)

    async def _record_versions(self):
        """Record each version that becomes active."""
        configuration = await self.store.wait_until_active()
        while True:
            self.versions.append(configuration.head.version)
            await self.store.wait_for_newer_head(configuration.head)
            configuration = self.store.configuration


async def _ignore_message(message):
    return peer_pb2.KeyAnswer()


class MemoryFleet:
    """Nodes in several failure domains and their platform.

    Parameters
    ----------
    domains : mapping of str to int
        Number of hosts by failure domain.
    nursery : trio.Nursery
    """

    def __init__(self, *, domains, nursery, seed=1):
        self.network = MemoryPeerNetwork()
        self.platform = platform_standin.PlatformState()
        self.nodes_by_id = {}
        self.hosts_by_domain = {}
        self.domains_without_platform = set()
        self.ids_without_platform = set()
        self.fleet_size = sum(domains.values())
        self.first_call_times_by_id = {}
        self._nursery = nursery
        self._seed = seed
        self._scopes_by_id = {}
        for index, (name, count) in enumerate(domains.items(), start=1):
            self.hosts_by_domain[name] = [
                model.Host(
                    host_id=f"{name}-{number}",
                    address=f"127.{index}.{number // 200}.{number % 200 + 1}",
                    service="showroom",
                    failure_domain=name,
                )
                for number in range(count)
            ]
            self.platform.set_hosts(name, self.hosts_by_domain[name])

    @property
    def hosts(self):
        """All hosts, including those whose node is not running."""
        return [
            host for listed in self.hosts_by_domain.values() for host in listed
        ]

    def publish(self, configuration):
        """Publish a configuration on the platform."""
        self.platform.put(platform_values(configuration))

    def start(self, host, seeds=()):
        """Start a node without any configuration or host list."""
        domain = host.failure_domain

        def is_reachable():
            self.first_call_times_by_id.setdefault(
                host.host_id, trio.current_time()
            )
            return (
                domain not in self.domains_without_platform
                and host.host_id not in self.ids_without_platform
            )

        node = MemoryNode(
            host=host,
            peers=self.network.peers(host.address),
            platform=self.platform.make_client(is_reachable),
            seed=self._seed,
            seeds=seeds,
            fleet_size=self.fleet_size,
        )
        scope = trio.CancelScope()
        self.nodes_by_id[host.host_id] = node
        self._scopes_by_id[host.host_id] = scope

        async def run():
            with scope:
                await node.run()

        self._nursery.start_soon(run)
        return node

    def kill(self, host_id):
        """Stop a node immediately."""
        self._scopes_by_id.pop(host_id).cancel()
        return self.nodes_by_id.pop(host_id)

    def readers(self, failure_domain):
        """Return the nodes of a domain that currently read the platform."""
        return [
            node
            for node in self.nodes_by_id.values()
            if node.host.failure_domain == failure_domain
            and node.topology.is_reader()
        ]

    def versions(self):
        """Return the set of active version numbers, 0 for none."""
        return {
            (
                node.store.configuration.head.version
                if node.store.configuration
                else 0
            )
            for node in self.nodes_by_id.values()
        }

    async def wait_version(self, version, timeout):
        """Wait until a version is active on all nodes; return the seconds."""
        started_at = trio.current_time()
        with trio.fail_after(timeout):
            while self.versions() != {version}:
                await trio.sleep(0.01)
        return trio.current_time() - started_at
