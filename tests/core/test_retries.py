"""Tests of the retry budget."""

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from shallotbridge.core import retries


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    steps=strategies.lists(
        strategies.sampled_from(["request", "retry", "wait"]), max_size=300
    ),
    ratio=strategies.sampled_from([0.0, 0.1, 0.5]),
)
def test_retries_stay_within_the_ratio(steps, ratio):
    """Guards against retries that increase an overload."""

    async def check():
        budget = retries.RetryBudget(retry_ratio=ratio)
        allowed_retries = 1.0
        for step in steps:
            if step == "request":
                budget.on_request()
                allowed_retries += ratio
            elif step == "wait":
                await trio.sleep(1.0)
                allowed_retries += retries.MINIMUM_RETRIES_PER_SECOND
            elif budget.try_spend():
                allowed_retries -= 1.0
            assert allowed_retries > -1e-6

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


async def test_an_idle_service_may_retry(autojump_clock):
    """Guards against a service with few requests that can never retry."""
    budget = retries.RetryBudget(retry_ratio=0.1)
    assert budget.try_spend()
    assert not budget.try_spend()
    await trio.sleep(1 / retries.MINIMUM_RETRIES_PER_SECOND)
    assert budget.try_spend()
