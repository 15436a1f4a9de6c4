"""Tests of the detection of pauses."""

import trio

from shallotbridge.core import pauses


class Setup:
    """A detector with a clock that a test moves apart from trio's."""

    def __init__(self, duration=0.1):
        self.offset = 0.0
        self.sync_count = 0
        self.duration = duration
        self.detector = pauses.PauseDetector(
            sync_once=self._sync_once,
            clock=lambda: trio.current_time() + self.offset,
        )

    async def _sync_once(self, timeout):
        self.sync_count += 1
        await trio.sleep(self.duration)


async def test_normal_work_never_waits(nursery, autojump_clock):
    """Guards against a Sync for each request."""
    setup = Setup()
    nursery.start_soon(setup.detector.run)
    for _ in range(100):
        await trio.sleep(0.1)
        started_at = trio.current_time()
        await setup.detector.wait_fresh()
        assert trio.current_time() == started_at
    assert setup.sync_count == 0


async def test_work_after_a_pause_waits_for_one_sync(nursery, autojump_clock):
    """Guards against work by stale knowledge, and a Sync for each request.

    The work asks before the detector's own task wakes up.
    """
    setup = Setup()
    nursery.start_soon(setup.detector.run)
    await trio.sleep(1.1)
    setup.offset += 30.0
    async with trio.open_nursery() as waiters:
        for _ in range(5):
            waiters.start_soon(setup.detector.wait_fresh)
    assert setup.sync_count == setup.detector.pause_count == 1
    await trio.sleep(5)
    assert setup.sync_count == 1


async def test_the_wait_after_a_pause_is_bounded(nursery, autojump_clock):
    """Guards against a node that serves nothing without its peers."""
    setup = Setup(duration=60.0)
    nursery.start_soon(setup.detector.run)
    await trio.sleep(1.1)
    setup.offset += 2.0
    started_at = trio.current_time()
    await setup.detector.wait_fresh()
    assert trio.current_time() - started_at <= 1.0


async def test_a_pause_during_the_sync_is_followed_by_another(
    nursery, autojump_clock
):
    """Guards against knowledge from before the second pause."""
    setup = Setup(duration=0.5)
    nursery.start_soon(setup.detector.run)
    await trio.sleep(1.1)
    setup.offset += 2.0
    nursery.start_soon(setup.detector.wait_fresh)
    await trio.sleep(0.2)
    setup.offset += 10.0
    await setup.detector.wait_fresh()
    assert setup.sync_count == 2


async def test_the_end_of_the_detector_releases_waiters(autojump_clock):
    """Guards against requests that hang while the node closes."""
    setup = Setup(duration=60.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(setup.detector.run)
        await trio.sleep(1.1)
        setup.offset += 2.0
        async with trio.open_nursery() as waiters:
            waiters.start_soon(setup.detector.wait_fresh)
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
