"""Tests of the simulated platform, on which other tests rely."""

import pytest
import trio

from shallotbridge.core import errors
from standins import platform as platform_standin
from tests import builders


async def test_rate_limit_is_a_sliding_window(autojump_clock):
    """Guards against bursts that pass the limit at a window boundary."""
    state = platform_standin.PlatformState(calls_per_second=10)
    await trio.sleep(0.9)
    for _ in range(10):
        await state.read("a")
    await trio.sleep(0.5)
    with pytest.raises(errors.PlatformRateError):
        await state.read("a")
    assert (state.call_count, state.refused_count) == (11, 1)


async def test_stale_mode_hides_changes(autojump_clock):
    """Guards against new values that are visible in stale mode."""
    state = platform_standin.PlatformState()
    state.put({"a": b"1"})
    state.set_mode("stale")
    state.put({"a": b"2"})
    assert await state.read("a") == b"1"
    assert (await state.watch(1, 5.0)).keys == ()
    state.set_mode("up")
    assert (await state.watch(1, 5.0)).keys == ("a",)


async def test_host_list_becomes_visible_after_its_delay(autojump_clock):
    """Guards against lists without delay, or that do not wake watches."""
    state = platform_standin.PlatformState()
    state.host_list_delay_seconds = 4.0
    state.set_hosts("cairo-1", [builders.make_host()])
    assert await state.read("hosts/cairo-1") is None
    state.put({"a": b"1"})
    assert (await state.watch(1, 30.0)).keys == ("hosts/cairo-1",)
    assert trio.current_time() == pytest.approx(4.0)


async def test_restored_platform_reports_its_lower_revision(autojump_clock):
    """Guards against watches that wait for a revision that was removed."""
    state = platform_standin.PlatformState()
    state.put({"a": b"1"})
    state.put({"a": b"2", "b": b"2"})
    state.restore_revision(1)
    change = await state.watch(2, 30.0)
    assert (change.revision, change.keys) == (1, ("a",))
