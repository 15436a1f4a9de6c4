"""Tests of the concurrency limit."""

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from shallotbridge.core import limit
from tests import builders

_EVENTS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(["success", "shed", "restart"]),
        strategies.floats(0.0, 3.0),
    ),
    max_size=150,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(events=_EVENTS, slots=strategies.integers(1, 12))
def test_the_limit_stays_within_slots_and_ramp(events, slots):
    """Guards against overloading a cold upstream."""

    async def check():
        limits = builders.make_limits(slots=slots, ramp_seconds=20.0)
        concurrency_limit = limit.ConcurrencyLimit(limits=limits)
        cold_at = trio.current_time()
        for event in events:
            if event == "success":
                concurrency_limit.on_success()
            elif event == "shed":
                before = concurrency_limit.allowed
                concurrency_limit.on_shed(concurrency_limit.on_request_start())
                assert concurrency_limit.allowed <= max(1, before / 2 + 0.5)
            elif event == "restart":
                concurrency_limit.restart_ramp()
                cold_at = trio.current_time()
                assert concurrency_limit.allowed == limits.cold_slots
            else:
                await trio.sleep(event)
            elapsed = trio.current_time() - cold_at
            ramp = 1 + (slots - 1) * elapsed / limits.ramp_seconds
            assert 1 <= concurrency_limit.allowed <= min(slots, ramp + 1e-6)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(check, clock=clock)


async def test_one_overload_halves_the_limit_once(autojump_clock):
    """Guards against several halvings of the limit in one overload.

    The upstream refuses all of several requests in flight, and their
    refusals must not reduce the limit of a warm upstream to its cold slots.
    """
    concurrency_limit = limit.ConcurrencyLimit(
        limits=builders.make_limits(slots=12)
    )
    await trio.sleep(30.0)
    for _ in range(200):
        concurrency_limit.on_success()
    start_times = [concurrency_limit.on_request_start() for _ in range(12)]
    await trio.sleep(0.1)
    for started_at in start_times:
        concurrency_limit.on_shed(started_at)
    assert concurrency_limit.allowed == 6
