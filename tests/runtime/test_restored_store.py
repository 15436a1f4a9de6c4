"""Tests of complete nodes whose store returns from an older copy."""

import trio

from tests.platform import test_items
from tests.runtime import loopback

MAXIMUM_APPLY_SECONDS = 2.0


def _publish(mesh, version):
    mesh.store.put(
        "op/config", test_items.CONFIGURATION | {"version": version}
    )


async def _wait_for_version(mesh, version):
    with trio.fail_after(MAXIMUM_APPLY_SECONDS):
        while not all(
            node.read_view().configuration.version == version
            for node in mesh.nodes
        ):
            await trio.sleep(0.02)


async def test_changes_after_a_restore_are_active_in_time():
    """Guards against a confirmed change that is never active (CONFIG 52).

    The store returns a few revisions back and gives them out again, here to
    the next configuration.
    """
    async with loopback.start_mesh(5) as mesh:
        copy = mesh.store.copy()
        for version in (8, 9):
            _publish(mesh, version)
            await _wait_for_version(mesh, version)
        mesh.store.status = 503
        await trio.sleep(0.5)
        mesh.store.restore(copy)
        mesh.store.status = None
        await trio.sleep(0.5)
        versions = set()
        for version in (10, 12):
            _publish(mesh, version)
            await _wait_for_version(mesh, version)
            versions.update(
                node.read_view().configuration.version for node in mesh.nodes
            )
        assert versions == {10, 12}
        assert len(mesh.nodes[0].read_view().upstreams_by_id) == 5


async def test_a_restore_returns_no_upstream_and_takes_none_away():
    """Guards against requests to upstreams that left, and lost upstreams.

    Since the copy, upstream 1 has left and upstream 6 has registered. It
    writes its entry again a second after the store's return.
    """
    async with loopback.start_mesh(5) as mesh:
        copy = mesh.store.copy()
        mesh.store.delete("servers/i-1")
        mesh.store.put("servers/i-6", mesh.make_entry(6, "b"))
        expected = {f"i-{number}" for number in range(2, 7)}
        await loopback.wait_until(
            lambda: all(
                set(node.read_view().upstreams_by_id) == expected
                for node in mesh.nodes
            )
        )
        mesh.store.restore(copy)
        for step in range(150):
            if step == 50:
                mesh.store.put("servers/i-6", mesh.make_entry(6, "b"))
            for node in mesh.nodes:
                assert set(node.read_view().upstreams_by_id) == expected
            await trio.sleep(0.02)


async def test_few_calls_are_made_to_a_restored_store():
    """Guards against watch, 410 and read in a loop (771 in 4.4 s)."""
    async with loopback.start_mesh(4) as mesh:
        copy = mesh.store.copy()
        _publish(mesh, 9)
        await _wait_for_version(mesh, 9)
        mesh.store.restore(copy)
        calls_before = len(mesh.store.calls)
        await trio.sleep(3.0)
        assert len(mesh.store.calls) - calls_before < 60
