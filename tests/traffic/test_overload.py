"""Tests of who is served under overload, with a fleet in simulated time."""

import statistics

import pytest

from bench import overload


@pytest.mark.parametrize("case", list(overload.CASES)[:4])
def test_calls_of_running_requests_are_served(case):
    """Guards against requests that use a slot and fail for a refused call."""
    basic, enabled = (
        overload.measure(case, is_enabled) for is_enabled in (0, 1)
    )
    assert enabled.share("call") >= max(0.95, basic.share("call") - 0.01)
    orders = enabled.share("order"), basic.share("order")
    assert orders[0] >= orders[1] - 0.03
    # The least urgent kind is not starved.
    shares = [
        enabled.share(name) + enabled.share(name, "late")
        for name, kind in enabled.kinds.items()
        if kind.rate
    ]
    least = enabled.share("report") + enabled.share("report", "late")
    assert least > 0.25 * statistics.mean(shares)
    assert enabled.offers < 1.15 * basic.offers
    assert enabled.value() > basic.value()
