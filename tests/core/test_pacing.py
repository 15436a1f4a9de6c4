"""Tests of the rate limit of calls."""

import pytest
import trio

from shallotbridge.core import pacing


async def test_calls_are_limited_by_the_token_bucket(autojump_clock):
    """Guards against one node that exceeds the platform's rate limit."""
    bucket = pacing.TokenBucket(rate=5.0, burst=20)
    for _ in range(70):
        await bucket.acquire()
    assert trio.current_time() == pytest.approx(10.0, abs=0.01)
