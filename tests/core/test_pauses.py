"""Tests of the detection of pauses."""

import trio
import trio.testing

from shallotbridge.core import pauses


async def test_new_work_waits_for_a_sync_after_a_pause(mock_clock):
    """Guards against a resumed process that acts on stale knowledge."""
    synced = trio.Event()
    released = []
    guard = pauses.PauseGuard(sync_once=synced.wait)

    async def work():
        await guard.wait_current()
        released.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(guard.run)
        await trio.testing.wait_all_tasks_blocked()
        await guard.wait_current()
        mock_clock.jump(5.0)
        nursery.start_soon(work)
        await trio.testing.wait_all_tasks_blocked()
        assert released == []
        synced.set()
        await trio.testing.wait_all_tasks_blocked()
        assert len(released) == 1
        assert guard.pause_count == 1
        nursery.cancel_scope.cancel()


async def test_work_is_released_when_no_peer_answers(autojump_clock):
    """Guards against a node cut off from its peers that never serves."""
    guard = pauses.PauseGuard(sync_once=trio.sleep_forever)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(guard.run)
        await trio.testing.wait_all_tasks_blocked()
        autojump_clock.jump(5.0)
        await guard.wait_current()
        nursery.cancel_scope.cancel()
