"""Tests of complete nodes on an in-memory network and a mock clock."""

import contextlib
import functools
import random

import pytest
import trio
import trio.testing

from shallotbridge._generated import settings as generated
from shallotbridge.core import errors
from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import keys
from shallotbridge.core import model
from shallotbridge.core import node as node_module
from standins import platform as platform_standin
from standins import upstream as upstream_standin
from tests import builders
from tests.core import gates
from tests.golden import memory_network
from tests import memory

CALLER = "127.0.9.9"
HOSTS = tuple(
    builders.make_host(f"c1-showroom-{number}", address=f"127.0.1.{number}")
    for number in (1, 2)
)


class Mesh:
    """Nodes, upstreams, platform and callers of one test."""

    def __init__(self, nursery):
        self._nursery = nursery
        self._fabric = memory_network.MemoryFabric()
        self._peers = memory.MemoryPeerNetwork()
        self.platform = platform_standin.PlatformState()
        self.platform.set_hosts("cairo-1", HOSTS)
        self.upstreams_by_id = {}

    def publish(self, version=1):
        service = builders.make_service(cold_slots=6)
        self.platform.put(
            memory.platform_values(
                builders.make_configuration(
                    version=version, services=[service]
                )
            )
        )

    async def start(self, host):
        upstream = upstream_standin.Upstream(
            name=host.host_id,
            behaviour=upstream_standin.Behaviour(warm_seconds=0, spread=0),
            random=random.Random(2),
        )
        self.upstreams_by_id[host.host_id] = upstream
        await self._nursery.start(
            self._fabric.network_of(host.address).serve,
            host.address,
            8080,
            upstream.handle,
        )
        node = node_module.Node(
            settings=generated.NodeSettings(
                host_id=host.host_id,
                address=host.address,
                failure_domain=host.failure_domain,
                service=host.service,
                platform_url="http://127.0.0.1:7500",
                fleet_size=len(HOSTS),
            ),
            network=self._fabric.network_of(host.address),
            peers=self._peers.peers(host.address),
            platform=self.platform.make_client(),
            random=random.Random(host.host_id),
            clock=trio.current_time,
        )
        await node.start(self._nursery)
        return node

    def close_connections(self, host):
        """Close the connections of a host, as when its process is killed."""
        self._fabric.close_host_connections(host.address)

    def run_counts(self):
        """Return how often each request ran, over all upstreams."""
        return [
            count
            for upstream in self.upstreams_by_id.values()
            for count in upstream.read_counts()["by_request_id"].values()
        ]

    @contextlib.asynccontextmanager
    async def connection(self, host):
        network = self._fabric.network_of(CALLER)
        stream = await network.open_stream(host.address, 7400)
        yield functools.partial(
            self._send_request, stream, http1.ResponseReader(stream=stream)
        )
        await stream.aclose()

    async def _send_request(
        self, stream, reader, key="k1", attempt=1, body=b"{}"
    ):
        headers_by_name = {
            "host": "mesh",
            "x-shallotbridge-attempt": str(attempt),
        }
        if key is not None:
            headers_by_name["idempotency-key"] = key
        request = model.Request(
            method="POST",
            target="/showroom/reservations",
            headers=tuple(
                model.Header(name=name, value=value)
                for name, value in headers_by_name.items()
            ),
            body=body,
        )
        await stream.send_all(http1_encoding.encode_request(request))
        return await reader.read("POST")


@pytest.fixture
async def mesh(nursery):
    """A mesh without nodes and without a published configuration."""
    return Mesh(nursery)


def outcome(response):
    """Return the outcome of the request as stated by its response."""
    return response.header("x-shallotbridge-outcome")


async def test_request_before_first_configuration_is_not_run(
    mesh, autojump_clock
):
    """A starting node must accept connections and respond without delay."""
    node = await mesh.start(HOSTS[0])
    async with mesh.connection(HOSTS[0]) as send_request:
        response = await send_request()
        assert (response.status, outcome(response)) == (503, "not-run")
        assert not node.status()["enforcing"]
        mesh.publish()
        await node.wait_until_enforcing()
        response = await send_request()
    assert (response.status, outcome(response)) == (200, "run")
    assert mesh.run_counts() == [1]
    status = node.status()
    assert (status["version"], status["hosts_known"]) == (1, 2)
    assert status["counters"]["requests.not-run.SB-3002"] == 1
    assert status["counters"]["requests.run"] == 1
    assert status["convergence_seconds"] is not None
    await node.close()


async def test_drain_completes_requests_and_hands_over_keys(
    mesh, autojump_clock
):
    """A planned stop must neither interrupt a request nor run it twice."""
    mesh.publish()
    nodes = [await mesh.start(host) for host in HOSTS]
    for node in nodes:
        await node.wait_until_enforcing()
    responses = []

    async def send_and_collect(send_request, **fields):
        responses.append(await send_request(**fields))

    async with mesh.connection(HOSTS[0]) as send_request:
        async with trio.open_nursery() as callers:
            for number in range(4):
                await send_and_collect(send_request, key=f"k{number}")
            callers.start_soon(send_and_collect, send_request)
            await trio.sleep(0.005)
            await nodes[0].drain()
    await nodes[0].close()
    assert [outcome(response) for response in responses] == ["run"] * 5
    with pytest.raises(OSError):
        async with mesh.connection(HOSTS[0]):
            pass
    async with mesh.connection(HOSTS[1]) as send_request:
        for number in range(4):
            await send_request(key=f"k{number}", attempt=2)
    assert sorted(mesh.run_counts()) == [1] * 4
    await nodes[1].close()


async def test_only_a_higher_version_becomes_active(mesh, autojump_clock):
    """A node must not follow a platform that returned to an old version."""
    mesh.publish(2)
    node = await mesh.start(HOSTS[0])
    await node.wait_until_enforcing()
    for published, expected in ((3, 3), (1, 3), (4, 4)):
        mesh.publish(published)
        await trio.sleep(5)
        assert node.status()["version"] == expected
    await node.close()


async def test_crashing_request_is_quarantined_on_all_nodes(
    mesh, autojump_clock
):
    """Without quarantine, one request crashes one upstream after another."""
    mesh.publish()
    nodes = [await mesh.start(host) for host in HOSTS]
    for node in nodes:
        await node.wait_until_enforcing()
    statuses = []
    for request_index in range(6):
        async with mesh.connection(HOSTS[request_index % 2]) as send_request:
            response = await send_request(key=None, body=b"x-crash")
        statuses.append((response.status, outcome(response)))
        await trio.sleep(5)
    assert statuses[0] == (502, "unknown")
    assert statuses[2:] == [(429, "not-run")] * 4
    crashes = [each.crashes for each in mesh.upstreams_by_id.values()]
    assert sum(crashes) == 2
    async with mesh.connection(HOSTS[0]) as send_request:
        assert outcome(await send_request()) == "run"
    for node in nodes:
        await node.close()


def key_owned_by(host):
    """Return an idempotency key whose first owner is a host."""
    for number in range(100):
        call = gates.make_call(
            route=builders.make_reserve_route(), key=f"key-{number}"
        )
        if keys.owner_order(keys.scoped_key(call), HOSTS)[0] == host:
            return call.idempotency_key
    raise AssertionError(f"{host.host_id} owns none of 100 keys")


@pytest.mark.parametrize("entry", HOSTS, ids=["local", "forwarded"])
async def test_key_does_not_run_again_after_owner_failure(
    mesh, autojump_clock, entry
):
    """A caller that retries without marking the retry must not run it twice.

    The owner of the key stops while its upstream runs the request. The next
    owner knows the key only from a hint.
    """
    mesh.publish()
    nodes_by_id = {host.host_id: await mesh.start(host) for host in HOSTS}
    for node in nodes_by_id.values():
        await node.wait_until_enforcing()
    owner, other = HOSTS
    key = key_owned_by(owner)

    async def fail_owner_during_run():
        while not mesh.run_counts():
            await trio.sleep(0.001)
        mesh.close_connections(owner)
        await nodes_by_id[owner.host_id].close()

    async with mesh.connection(entry) as send_request:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail_owner_during_run)
            try:
                first_outcome = outcome(await send_request(key=key))
            except errors.CallError:
                # The entry node is the failed owner.
                first_outcome = "unknown"
    async with mesh.connection(other) as send_request:
        retry_response = await send_request(key=key)
    assert (first_outcome, retry_response.status) == ("unknown", 409)
    assert mesh.run_counts() == [1]
    await nodes_by_id[other.host_id].close()
