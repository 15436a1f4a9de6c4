"""Tests of the detection of process pauses."""

import trio

from shallotbridge.core import pauses


class DetectorSetup:
    """A detector whose clock a test can advance beyond trio's clock."""

    def __init__(self, sync_seconds=0.1):
        self.clock_offset = 0.0
        self.sync_count = 0
        self.sync_seconds = sync_seconds
        self.detector = pauses.PauseDetector(
            sync_once=self._sync_once,
            clock=lambda: trio.current_time() + self.clock_offset,
        )

    async def _sync_once(self, timeout):
        self.sync_count += 1
        await trio.sleep(self.sync_seconds)


async def test_requests_never_wait_without_a_pause(nursery, autojump_clock):
    """Guards against a synchronization for each request."""
    setup = DetectorSetup()
    nursery.start_soon(setup.detector.run)
    for _ in range(100):
        await trio.sleep(0.1)
        started_at = trio.current_time()
        await setup.detector.wait_until_synced()
        assert trio.current_time() == started_at
    assert setup.sync_count == 0


async def test_requests_after_a_pause_wait_for_one_sync(
    nursery, autojump_clock
):
    """Guards against requests that use stale state, and against a
    synchronization for each request.

    The requests arrive before the detector's own task wakes up.
    """
    setup = DetectorSetup()
    nursery.start_soon(setup.detector.run)
    await trio.sleep(1.1)
    setup.clock_offset += 30.0
    async with trio.open_nursery() as waiters:
        for _ in range(5):
            waiters.start_soon(setup.detector.wait_until_synced)
    assert setup.sync_count == setup.detector.pause_count == 1
    await trio.sleep(5)
    assert setup.sync_count == 1


async def test_the_wait_after_a_pause_is_bounded(nursery, autojump_clock):
    """Guards against a node that serves no requests without its peers."""
    setup = DetectorSetup(sync_seconds=60.0)
    nursery.start_soon(setup.detector.run)
    await trio.sleep(1.1)
    setup.clock_offset += 2.0
    started_at = trio.current_time()
    await setup.detector.wait_until_synced()
    assert trio.current_time() - started_at <= 1.0


async def test_a_pause_during_the_sync_is_followed_by_another(
    nursery, autojump_clock
):
    """Guards against requests that use state from before the second pause."""
    setup = DetectorSetup(sync_seconds=0.5)
    nursery.start_soon(setup.detector.run)
    await trio.sleep(1.1)
    setup.clock_offset += 2.0
    nursery.start_soon(setup.detector.wait_until_synced)
    await trio.sleep(0.2)
    setup.clock_offset += 10.0
    await setup.detector.wait_until_synced()
    assert setup.sync_count == 2


async def test_cancelling_the_detector_releases_waiting_requests(
    autojump_clock,
):
    """Guards against requests that hang while the node closes."""
    setup = DetectorSetup(sync_seconds=60.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(setup.detector.run)
        await trio.sleep(1.1)
        setup.clock_offset += 2.0
        async with trio.open_nursery() as waiters:
            waiters.start_soon(setup.detector.wait_until_synced)
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
