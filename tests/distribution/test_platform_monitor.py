"""Tests of the monitor, which detects a platform that does not respond."""

import pytest
import trio

from shallotbridge.core import errors
from shallotbridge.distribution import platform_monitor

MAXIMUM_APPLY_SECONDS = 2.0
LOSS_SECONDS = MAXIMUM_APPLY_SECONDS * (
    platform_monitor.PROBE_INTERVAL_RATIO
    + platform_monitor.PROBE_TIMEOUT_RATIO
)


class _Platform:
    """A platform whose responses take a time, or fail."""

    def __init__(self, seconds=0.004):
        self.seconds = seconds
        self.is_rejecting = False

    async def read_position(self, may_be_stale):
        await trio.sleep(self.seconds)
        if self.is_rejecting:
            raise errors.PlatformUnavailableError("503")
        return 1

    async def watch(self, seconds):
        await trio.sleep(seconds)
        return "changes"


async def _start(nursery, platform):
    monitor = platform_monitor.PlatformMonitor(
        read_position=platform.read_position,
        on_position=lambda position, read_at: None,
        maximum_apply_seconds=MAXIMUM_APPLY_SECONDS,
    )
    nursery.start_soon(monitor.run)
    return monitor


@pytest.mark.parametrize("how", ["silent", "rejecting"])
async def test_waiting_calls_end_when_the_platform_is_lost(
    nursery, autojump_clock, how
):
    """Guards against a long poll that hides the loss of the platform."""
    platform = _Platform()
    monitor = await _start(nursery, platform)
    failed_at = []

    async def watch():
        with pytest.raises(errors.PlatformUnavailableError) as caught:
            await monitor.call(platform.watch, 100.0)
        assert caught.value.is_unanswered
        failed_at.append(trio.current_time())

    nursery.start_soon(watch)
    nursery.start_soon(watch)
    await trio.sleep(3.1)
    if how == "silent":
        platform.seconds = 1000.0
    else:
        platform.is_rejecting = True
    lost_at = trio.current_time()
    await trio.sleep(LOSS_SECONDS + 0.05)
    assert len(failed_at) == 2
    assert failed_at[0] <= lost_at + LOSS_SECONDS + 0.01


async def test_a_slow_platform_is_not_lost(nursery, autojump_clock):
    """Guards against reads by other nodes when the platform is slow for all.

    Its responses take 83 times as long as the usual 4 ms (nw-remnant,
    trouble-3).
    """
    platform = _Platform(seconds=83 * 0.004)
    monitor = await _start(nursery, platform)
    assert await monitor.call(platform.watch, 20.0) == "changes"


async def test_a_single_failed_probe_is_repeated(nursery, autojump_clock):
    """Guards against a change of reader because one connection was reset."""
    platform = _Platform()
    monitor = await _start(nursery, platform)

    async def reject_for_a_moment():
        await trio.sleep(1.0)
        platform.is_rejecting = True
        await trio.sleep(0.3)
        platform.is_rejecting = False

    nursery.start_soon(reject_for_a_moment)
    assert await monitor.call(platform.watch, 5.0) == "changes"


async def test_probes_are_few(nursery, autojump_clock):
    """Guards against more probes than one interval allows.

    Two watches share them, and none is sent while no call waits.
    """
    platform = _Platform()
    monitor = await _start(nursery, platform)
    seconds = 30.0
    async with trio.open_nursery() as watches:
        for _ in range(2):
            watches.start_soon(monitor.call, platform.watch, seconds)
    interval = MAXIMUM_APPLY_SECONDS * platform_monitor.PROBE_INTERVAL_RATIO
    position_interval = (
        MAXIMUM_APPLY_SECONDS * platform_monitor.POSITION_INTERVAL_RATIO
    )
    # The last probe may still be in flight.
    await trio.sleep(1.0)
    assert monitor.probe_count <= seconds / interval + 1
    assert monitor.call_count <= seconds / position_interval + 1
    counts = monitor.probe_count, monitor.call_count
    await trio.sleep(10.0)
    assert (monitor.probe_count, monitor.call_count) == counts


async def test_a_stalled_process_does_not_take_the_platform_for_lost(
    nursery, monkeypatch
):
    """Guards against a change of reader after a host was busy or frozen.

    The process stands still while a probe is in flight.
    """
    platform = _Platform()
    monitor = await _start(nursery, platform)
    stalls = iter([True])

    async def read_position(may_be_stale):
        await trio.sleep(0.03)
        if next(stalls, False):
            # Blocks the process on purpose, like a busy host.
            until = trio.current_time() + 0.7
            while trio.current_time() < until:
                pass
        await trio.sleep(0.03)
        return 1

    monkeypatch.setattr(monitor, "_read_position", read_position)
    assert await monitor.call(platform.watch, 1.5) == "changes"


async def test_position_reads_at_the_rate_limit_are_few(
    nursery, autojump_clock
):
    """Guards against calls in a loop to a platform that rejects some.

    It rejects current reads for their rate, and answers stale ones.
    """
    platform = _Platform()

    async def read_position(may_be_stale):
        await trio.sleep(platform.seconds)
        if not may_be_stale:
            raise errors.PlatformRateError("429")
        return 1

    platform.read_position = read_position
    monitor = await _start(nursery, platform)
    seconds = 20.0
    assert await monitor.call(platform.watch, seconds) == "changes"
    position_interval = (
        MAXIMUM_APPLY_SECONDS * platform_monitor.POSITION_INTERVAL_RATIO
    )
    assert monitor.call_count <= seconds / position_interval + 1


async def test_a_full_read_replaces_a_position_read(nursery, autojump_clock):
    """Guards against two calls where a new reader needs one.

    A node takes over, reads a topic, and watches; the read has the latest
    position, which is reported to both topics.
    """
    platform = _Platform()
    monitor = await _start(nursery, platform)
    reported = []
    monitor._on_position = lambda position, read_at: reported.append(position)

    async def read_all():
        await trio.sleep(0.4)
        return [], 7

    assert await monitor.read_all(read_all) == ([], 7)
    monitor.report_position()
    assert reported == [7]
    assert monitor.call_count == 0
    position_interval = (
        MAXIMUM_APPLY_SECONDS * platform_monitor.POSITION_INTERVAL_RATIO
    )
    await monitor.call(platform.watch, position_interval)
    assert monitor.call_count == 1


def test_only_an_unbroken_series_of_changes_is_complete():
    """Guards against a missed change behind later ones of another topic."""
    monitor = platform_monitor.PlatformMonitor(
        read_position=None, on_position=None, maximum_apply_seconds=2.0
    )
    monitor.add_changes([5, 6])
    monitor.add_changes([8])
    assert monitor.has_all_changes(4, 4)
    assert monitor.has_all_changes(4, 6)
    assert not monitor.has_all_changes(4, 8)
    assert not monitor.has_all_changes(3, 6)
    monitor.add_changes([7])
    assert monitor.has_all_changes(4, 8)
    # As after a restore, which begins a new era.
    assert not monitor.has_all_changes(4, 2**40)
