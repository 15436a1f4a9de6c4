"""Tests of whole nodes in memory on the mock clock."""

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
    """Nodes, upstreams, platform and callers of one session."""

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
            platform=self.platform.as_platform(),
            random=random.Random(host.host_id),
            clock=trio.current_time,
        )
        await node.start(self._nursery)
        return node

    def reset(self, host):
        """End the connections of a host, as when its process is killed."""
        self._fabric.reset_host(host.address)

    def runs(self):
        return [
            count
            for upstream in self.upstreams_by_id.values()
            for count in upstream.ran()["by_request_id"].values()
        ]

    @contextlib.asynccontextmanager
    async def connection(self, host):
        network = self._fabric.network_of(CALLER)
        stream = await network.open_stream(host.address, 7400)
        yield functools.partial(
            self._ask, stream, http1.ResponseReader(stream=stream)
        )
        await stream.aclose()

    async def _ask(self, stream, reader, key="k1", attempt=1, body=b"{}"):
        fields = {"host": "mesh", "x-shallotbridge-attempt": str(attempt)}
        if key is not None:
            fields["idempotency-key"] = key
        request = model.Request(
            method="POST",
            target="/showroom/reservations",
            headers=tuple(
                model.Header(name=name, value=value)
                for name, value in fields.items()
            ),
            body=body,
        )
        await stream.send_all(http1_encoding.encode_request(request))
        return await reader.read("POST")


@pytest.fixture
async def mesh(nursery):
    """A mesh that is empty and has nothing published."""
    return Mesh(nursery)


def outcome(response):
    """Return what a response says of its request."""
    return response.header("x-shallotbridge-outcome")


async def test_a_node_without_configuration_answers_not_run(
    mesh, autojump_clock
):
    """Guards against callers that wait for, or are refused by, a start."""
    node = await mesh.start(HOSTS[0])
    async with mesh.connection(HOSTS[0]) as ask:
        response = await ask()
        assert (response.status, outcome(response)) == (503, "not-run")
        assert not node.status()["enforcing"]
        mesh.publish()
        await node.wait_enforcing()
        response = await ask()
    assert (response.status, outcome(response)) == (200, "run")
    assert mesh.runs() == [1]
    status = node.status()
    assert (status["version"], status["hosts_known"]) == (1, 2)
    assert status["counters"]["requests.not-run.SB-3002"] == 1
    assert status["counters"]["requests.run"] == 1
    assert status["convergence_seconds"] is not None
    await node.close()


async def test_a_drain_ends_its_work_and_hands_its_keys_over(
    mesh, autojump_clock
):
    """Guards against a planned stop that cuts off or repeats a request."""
    mesh.publish()
    nodes = [await mesh.start(host) for host in HOSTS]
    for node in nodes:
        await node.wait_enforcing()
    answers = []

    async def send(ask, **fields):
        answers.append(await ask(**fields))

    async with mesh.connection(HOSTS[0]) as ask:
        async with trio.open_nursery() as callers:
            for number in range(4):
                await send(ask, key=f"k{number}")
            callers.start_soon(send, ask)
            await trio.sleep(0.005)
            await nodes[0].drain()
    await nodes[0].close()
    assert [outcome(answer) for answer in answers] == ["run"] * 5
    with pytest.raises(OSError):
        async with mesh.connection(HOSTS[0]):
            pass
    async with mesh.connection(HOSTS[1]) as ask:
        for number in range(4):
            await ask(key=f"k{number}", attempt=2)
    assert sorted(mesh.runs()) == [1] * 4
    await nodes[1].close()


async def test_a_higher_version_is_in_force_and_a_lower_one_never(
    mesh, autojump_clock
):
    """Guards against a node that follows a platform that went back."""
    mesh.publish(2)
    node = await mesh.start(HOSTS[0])
    await node.wait_enforcing()
    for published, expected in ((3, 3), (1, 3), (4, 4)):
        mesh.publish(published)
        await trio.sleep(5)
        assert node.status()["version"] == expected
    await node.close()


async def test_a_request_that_crashes_upstreams_is_quarantined_everywhere(
    mesh, autojump_clock
):
    """Guards against one request that takes down upstream after upstream."""
    mesh.publish()
    nodes = [await mesh.start(host) for host in HOSTS]
    for node in nodes:
        await node.wait_enforcing()
    statuses = []
    for sending in range(6):
        async with mesh.connection(HOSTS[sending % 2]) as ask:
            response = await ask(key=None, body=b"x-crash")
        statuses.append((response.status, outcome(response)))
        await trio.sleep(5)
    assert statuses[0] == (502, "unknown")
    assert statuses[2:] == [(429, "not-run")] * 4
    crashes = [each.crashes for each in mesh.upstreams_by_id.values()]
    assert sum(crashes) == 2
    async with mesh.connection(HOSTS[0]) as ask:
        assert outcome(await ask()) == "run"
    for node in nodes:
        await node.close()


def key_owned_by(host):
    """Return an idempotency key whose first owner is a host."""
    for number in range(100):
        call = gates.make_call(
            route=builders.make_reserve_route(), key=f"key-{number}"
        )
        if keys.key_order(keys.scoped_key(call), HOSTS)[0] == host:
            return call.idempotency_key
    raise AssertionError(f"{host.host_id} owns none of 100 keys")


@pytest.mark.parametrize("entry", HOSTS, ids=["local", "forwarded"])
async def test_a_key_whose_owner_dies_does_not_run_again(
    mesh, autojump_clock, entry
):
    """Guards against a second run by a caller that marks no repetition."""
    mesh.publish()
    nodes_by_id = {host.host_id: await mesh.start(host) for host in HOSTS}
    for node in nodes_by_id.values():
        await node.wait_enforcing()
    owner, other = HOSTS
    key = key_owned_by(owner)

    async def lose_owner():
        while not mesh.runs():
            await trio.sleep(0.001)
        mesh.reset(owner)
        await nodes_by_id[owner.host_id].close()

    async with mesh.connection(entry) as ask:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lose_owner)
            try:
                first = outcome(await ask(key=key))
            except errors.CallError:
                # The caller's connection ended with its node.
                first = "unknown"
    async with mesh.connection(other) as ask:
        repetition = await ask(key=key)
    assert (first, repetition.status) == ("unknown", 409)
    assert mesh.runs() == [1]
    await nodes_by_id[other.host_id].close()
