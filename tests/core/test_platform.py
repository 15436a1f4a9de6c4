"""Tests of reading the platform."""

import dataclasses
import random

import httpx
import pytest
import trio

from shallotbridge._generated import configuration_pb2
from shallotbridge.core import errors
from shallotbridge.core import hosts as hosts_module
from shallotbridge.core import parts
from shallotbridge.core import platform as platform_module
from shallotbridge.core import store as store_module
from shallotbridge.transports import network
from standins import platform as platform_standin
from tests import builders
from tests import memory

EXTRA_SERVICES = [f"service-{number}" for number in range(40)]
# Size of a fleet whose readers back off up to 30 s.
FLEET_SIZE = 15_000


def make_version(version, deadline=1.0):
    """Return a configuration of 41 services, one of which varies."""
    return memory.make_version(version, deadline, EXTRA_SERVICES)


@dataclasses.dataclass
class ReaderSetup:
    """A reader with its store, host table and platform stand-in."""

    def __post_init__(self):
        self.state = platform_standin.PlatformState()
        self.store = store_module.ConfigurationStore()
        self.hosts = hosts_module.HostTable()
        self.reader = platform_module.PlatformReader(
            platform=self.state.make_client(),
            store=self.store,
            hosts=self.hosts,
            random=random.Random(1),
            fleet_size=FLEET_SIZE,
        )

    async def wait_for_version(self, version, timeout=60.0):
        """Wait until a version is accepted."""
        with trio.fail_after(timeout):
            while self.store.head.version != version:
                await trio.sleep(0.01)


async def test_only_the_changed_bundle_is_read(nursery, autojump_clock):
    """Guards against reading all bundles of the mesh on each change."""
    setup = ReaderSetup()
    setup.state.put(memory.platform_values(make_version(1)))
    nursery.start_soon(setup.reader.run)
    await setup.wait_for_version(1)
    await trio.sleep(1)
    calls = setup.reader.call_count
    setup.state.put(memory.platform_values(make_version(2, 2.0)))
    await setup.wait_for_version(2, 1.0)
    # The head, one bundle and the next watch.
    await trio.sleep(1)
    assert setup.reader.call_count - calls == 3


async def test_change_of_all_services_is_read_in_time_by_all_readers(
    nursery, autojump_clock
):
    """Guards against rate limits that delay a change beyond 4 s.

    33 readers, 64 bundles and 2,000 calls/s are the target of section 2.5
    of the design.
    """

    def make_large(version):
        return builders.make_configuration(
            version=version,
            services=[
                builders.make_service(
                    name=f"service-{number}", routes=[], queue=version
                )
                for number in range(880)
            ],
        )

    setups = [ReaderSetup() for _ in range(33)]
    state = setups[0].state
    state.put(memory.platform_values(make_large(1)))
    for setup in setups:
        setup.reader = platform_module.PlatformReader(
            platform=state.make_client(),
            store=setup.store,
            hosts=setup.hosts,
            random=random.Random(1),
        )
        nursery.start_soon(setup.reader.run)
    await trio.sleep(60)
    state.put(memory.platform_values(make_large(2)))
    for setup in setups:
        await setup.wait_for_version(2, 4.0)
    assert trio.current_time() < 64.0
    assert state.refused_count == 0


def truncate(content):
    """Return the first half of a value."""
    return content[: len(content) // 2]


def renumber(content):
    """Return a head with another version number."""
    head = configuration_pb2.Head.FromString(content)
    head.version += 5
    return head.SerializeToString()


@pytest.mark.parametrize(
    "corrupt", [truncate, renumber, lambda content: b"", lambda content: None]
)
@pytest.mark.parametrize("is_head", [True, False])
async def test_malformed_values_keep_the_current_version(
    corrupt, is_head, nursery, autojump_clock
):
    """Guards against corrupt, missing and partially published values."""
    if corrupt is renumber and not is_head:
        corrupt = truncate
    setup = ReaderSetup()
    setup.state.put(memory.platform_values(make_version(1)))
    nursery.start_soon(setup.reader.run)
    await setup.wait_for_version(1)
    valid_values = memory.platform_values(make_version(2, 2.0))
    corrupted_values = {
        key: corrupt(value) if (key == parts.HEAD_KEY) == is_head else value
        for key, value in valid_values.items()
    }
    setup.state.put(corrupted_values)
    await trio.sleep(100)
    assert setup.store.head == make_version(1).head
    # Retries are slow: a few calls in each backoff of 15 s on average.
    calls = setup.reader.call_count
    await trio.sleep(300)
    assert setup.reader.call_count - calls < 100
    setup.state.put(valid_values)
    await setup.wait_for_version(2, 40.0)


async def test_version_does_not_decrease_with_a_restored_platform(
    nursery, autojump_clock
):
    """Guards against an older version or a failed watch after a restore."""
    setup = ReaderSetup()
    old_revision = setup.state.put(memory.platform_values(make_version(1)))
    nursery.start_soon(setup.reader.run)
    setup.state.put(memory.platform_values(make_version(5, 2.0)))
    await setup.wait_for_version(5)
    setup.state.restore_revision(old_revision)
    await trio.sleep(60)
    assert setup.store.head.version == 5
    setup.state.put(memory.platform_values(make_version(6, 3.0)))
    await setup.wait_for_version(6, 1.0)


async def test_different_contents_of_a_version_are_a_conflict(
    nursery, autojump_clock
):
    """Guards against a conflict that is not counted or read repeatedly."""
    setup = ReaderSetup()
    nursery.start_soon(setup.reader.run)
    contents = [make_version(1, 1.0), make_version(1, 2.0)]
    for configuration in contents:
        setup.state.put(memory.platform_values(configuration))
        await trio.sleep(5)
    assert setup.store.head == max(item.head for item in contents)
    assert setup.store.conflict_count == 1


async def test_outage_is_retried_slowly(nursery, autojump_clock):
    """Guards against a retry storm while the platform is down."""
    setup = ReaderSetup()
    setup.state.set_mode("down")
    nursery.start_soon(setup.reader.run)
    await trio.sleep(600)
    assert 20 < setup.reader.call_count < 100
    assert not setup.reader.is_available
    setup.state.put(memory.platform_values(make_version(1)))
    setup.state.set_mode("up")
    await setup.wait_for_version(1, 31.0)


async def test_small_fleet_detects_the_end_of_an_outage_within_seconds(
    nursery, autojump_clock
):
    """Guards against a version that is delayed by a long backoff (P11)."""
    setup = ReaderSetup()
    reader = platform_module.PlatformReader(
        platform=setup.state.make_client(),
        store=setup.store,
        hosts=setup.hosts,
        random=random.Random(1),
        fleet_size=100,
    )
    setup.state.set_mode("down")
    nursery.start_soon(reader.run)
    await trio.sleep(600)
    setup.state.put(memory.platform_values(make_version(1)))
    setup.state.set_mode("up")
    await setup.wait_for_version(1, 4.0)


async def test_a_malformed_host_list_does_not_stop_the_others(autojump_clock):
    """Guards against a malformed value that prevents reading the others."""
    setup = ReaderSetup()
    setup.state.put(memory.platform_values(make_version(1)))
    setup.state.put({"hosts/cairo-1": b"{"})
    setup.state.set_hosts(
        "cairo-2", [builders.make_host(failure_domain="cairo-2")]
    )
    with pytest.raises(errors.MalformedHostListError):
        await setup.reader.read_once()
    assert setup.store.head.version == 1
    assert len(setup.hosts.hosts_by_id) == 1


@pytest.mark.parametrize(
    ("status", "content", "error"),
    [
        (429, b"", errors.PlatformRateError),
        (503, b"", errors.PlatformUnavailableError),
        (200, b"[1]", errors.PlatformUnavailableError),
        (200, b'{"revision": 1, "keys": 3}', errors.PlatformUnavailableError),
        (200, bytes(1_000_001), errors.PlatformUnavailableError),
    ],
)
async def test_http_failures_raise_typed_errors(status, content, error):
    """Guards against httpx exceptions that reach the reader."""
    transport = httpx.MockTransport(
        lambda request: httpx.Response(status, content=content)
    )
    async with httpx.AsyncClient(transport=transport) as client:
        platform = platform_module.http_platform("http://127.0.0.1", client)
        with pytest.raises(error):
            await platform.watch(1, 0.0)


async def test_the_standin_is_read_over_http(nursery):
    """Guards against a client and a stand-in with different protocols."""
    state = platform_standin.PlatformState()
    state.put({"configuration/head": b"\x00head"})
    url, control_url = await nursery.start(
        lambda task_status: platform_standin.serve(
            state,
            address="127.0.0.1",
            port=0,
            control_port=0,
            task_status=task_status,
        )
    )
    async with httpx.AsyncClient(trust_env=False) as client:
        platform = platform_module.http_platform(url, client)
        change = network.PlatformChange(
            revision=1, keys=("configuration/head",)
        )
        assert await platform.watch(0, 30.0) == change
        assert await platform.read("configuration/head") == b"\x00head"
        assert await platform.read("absent") is None
        await client.put(f"{control_url}/control/values/a/b", content=b"1")
        assert (await platform.watch(1, 30.0)).keys == ("a/b",)
        await client.put(f"{control_url}/control/mode", json={"mode": "down"})
        with pytest.raises(errors.PlatformUnavailableError):
            await platform.read("a/b")
    nursery.cancel_scope.cancel()
