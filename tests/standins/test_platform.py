"""Tests of the platform's stand-in, on which other tests rely."""

import pytest
import trio

from shallotbridge.core import errors
from standins import platform as platform_standin
from tests import builders


async def test_the_rate_limit_is_a_sliding_window(autojump_clock):
    """Guards against bursts over a boundary that pass the limit."""
    state = platform_standin.PlatformState(calls_per_second=10)
    await trio.sleep(0.9)
    for _ in range(10):
        await state.read("a")
    await trio.sleep(0.5)
    with pytest.raises(errors.PlatformRateError):
        await state.read("a")
    assert (state.call_count, state.refused_count) == (11, 1)


async def test_a_stale_platform_hides_changes(autojump_clock):
    """Guards against a stale mode that leaks new values."""
    state = platform_standin.PlatformState()
    state.put({"a": b"1"})
    state.set_mode("stale")
    state.put({"a": b"2"})
    assert await state.read("a") == b"1"
    assert (await state.watch(1, 5.0)).keys == ()
    state.set_mode("up")
    assert (await state.watch(1, 5.0)).keys == ("a",)


async def test_a_host_list_becomes_visible_after_its_lag(autojump_clock):
    """Guards against a list that does not lag, or wakes no watch."""
    state = platform_standin.PlatformState()
    state.host_lag = 4.0
    state.set_hosts("cairo-1", [builders.make_host()])
    assert await state.read("hosts/cairo-1") is None
    state.put({"a": b"1"})
    assert (await state.watch(1, 30.0)).keys == ("hosts/cairo-1",)
    assert trio.current_time() == pytest.approx(4.0)


async def test_a_restored_platform_reports_its_lower_revision(autojump_clock):
    """Guards against a watch that waits for a revision that is gone."""
    state = platform_standin.PlatformState()
    state.put({"a": b"1"})
    state.put({"a": b"2", "b": b"2"})
    state.rewind(1)
    change = await state.watch(2, 30.0)
    assert (change.revision, change.keys) == (1, ("a",))
