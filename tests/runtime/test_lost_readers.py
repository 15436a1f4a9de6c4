"""Tests of complete nodes whose readers are lost while changes come."""

import pytest
import trio

from tests.platform import test_items
from tests.runtime import loopback

MAXIMUM_APPLY_SECONDS = 2.0
DOMAINS = "abc"
# Nodes whose connections fell silent must be up to date after this time.
CONTACT_WINDOW_SECONDS = 3.0
EVACUATION_SECONDS = 5.0


async def _lose_readers(mesh, lose, publish_first, publish_second, delay):
    """Lose the readers between two changes; return the other nodes."""
    with trio.fail_after(8):
        while len(mesh.readers()) != len(DOMAINS):
            await trio.sleep(0.02)
    # The readers begin a watch.
    await trio.sleep(0.5)
    readers = mesh.readers()
    publish_first()
    await trio.sleep(delay)
    for node in readers:
        lose(mesh, node)
    publish_second()
    return [node for node in mesh.nodes if node not in readers]


async def _wait_in_time(condition, seconds=MAXIMUM_APPLY_SECONDS):
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.02)


LOSSES = {
    "cut": loopback.LoopbackMesh.cut_store,
    "cut one way": loopback.LoopbackMesh.cut_store_one_way,
    "frozen": loopback.LoopbackMesh.freeze,
}


@pytest.mark.parametrize("delay_seconds", [0.1, 0.3, 0.6])
@pytest.mark.parametrize("how", LOSSES)
async def test_a_draining_upstream_is_known_in_time_without_the_readers(
    how, delay_seconds
):
    """Guards against requests to an upstream that is about to exit (DRAIN).

    Two upstreams drain in turn, and the reader of each failure domain is lost
    between their reports, which may be while it batches (review case 1).
    """

    def publish(number):
        domain = DOMAINS[number % len(DOMAINS)]
        mesh.store.put(
            f"servers/i-{number}",
            mesh.make_entry(number, domain, state="draining"),
        )

    async with loopback.start_mesh(9, domains=DOMAINS) as mesh:
        others = await _lose_readers(
            mesh,
            LOSSES[how],
            lambda: publish(8),
            lambda: publish(9),
            delay_seconds,
        )
        await _wait_in_time(
            lambda: all(
                node.read_view().upstreams_by_id["i-9"].is_draining
                for node in others
            )
        )


@pytest.mark.parametrize("delay_seconds", [0.1, 0.2, 0.3])
@pytest.mark.parametrize("how", LOSSES)
async def test_a_configuration_is_active_in_time_without_the_readers(
    how, delay_seconds
):
    """Guards against requests handled as an older version allows (CONFIG).

    Two configurations come in quick succession, and the reader of each
    failure domain is lost between them (review case 3).
    """

    def publish(version):
        mesh.store.put(
            "op/config", dict(test_items.CONFIGURATION, version=version)
        )

    async with loopback.start_mesh(9, domains=DOMAINS) as mesh:
        others = await _lose_readers(
            mesh,
            LOSSES[how],
            lambda: publish(9),
            lambda: publish(11),
            delay_seconds,
        )
        await _wait_in_time(
            lambda: all(
                node.read_view().configuration.version == 11 for node in others
            )
        )


@pytest.mark.parametrize("how", LOSSES)
async def test_a_domain_out_of_service_is_known_in_time_without_the_readers(
    how,
):
    """Guards against requests to a failure domain out of service (EVAC).

    A configuration comes first, and the reader of each failure domain is lost
    while it batches.
    """
    async with loopback.start_mesh(9, domains=DOMAINS) as mesh:
        others = await _lose_readers(
            mesh,
            LOSSES[how],
            lambda: mesh.store.put(
                "op/config", dict(test_items.CONFIGURATION, version=9)
            ),
            lambda: mesh.store.put("op/evacuate/a", {"zone": "a"}),
            0.1,
        )
        await _wait_in_time(
            lambda: all(
                "a" in node.read_view().domains_out for node in others
            ),
            EVACUATION_SECONDS,
        )


async def test_a_change_behind_a_silent_connection_is_active_in_time():
    """Guards against a change that a watch on a dead connection hides.

    The connections of the readers' watches fall silent while new ones work,
    and a configuration is published.
    """
    async with loopback.start_mesh(9, domains=DOMAINS) as mesh:
        with trio.fail_after(8):
            while len(mesh.readers()) != len(DOMAINS):
                await trio.sleep(0.02)
        await trio.sleep(1.0)
        # The watches were in flight for longer than the batch window, so the
        # next ones begin at once.
        mesh.store.put("op/config", dict(test_items.CONFIGURATION, version=9))
        await trio.sleep(0.05)
        for node in mesh.readers():
            mesh.silence_watches(node)
        mesh.store.put("op/config", dict(test_items.CONFIGURATION, version=11))
        await _wait_in_time(
            lambda: all(
                node.read_view().configuration.version == 11
                for node in mesh.nodes
            ),
            CONTACT_WINDOW_SECONDS,
        )
