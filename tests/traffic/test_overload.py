"""Tests of who is served under overload, with a fleet in simulated time."""

import statistics

import pytest

from tests.traffic import overload_model as overload

HOSTS = [("a", 5)] * 4 + [("b", 5)] * 4
# For each case: kinds, hosts, and how the load and the upstreams change.
CASES = {
    "waves, one upstream lost": (
        overload.with_rates(browse=50, order=25, report=15, look=330),
        HOSTS,
        {"factor": overload.wave, "lost_at": 4.0, "lost": ["10.0.0.9"]},
    ),
    "bursts, one upstream lost": (
        overload.with_rates(browse=55, order=30, report=25, look=75),
        HOSTS,
        {"factor": overload.burst, "lost_at": 6.0, "lost": ["10.0.0.9"]},
    ),
    "one of two upstreams left": (
        overload.with_rates(browse=50, order=25, report=15, look=60),
        [("a", 5)] * 4 + [("b", 3)] * 2,
        {
            "factor": lambda time: 1.0,
            "lost_at": 3.0,
            "lost": ["10.0.0.7"],
        },
    ),
    "one of three upstreams left": (
        overload.with_rates(
            {**overload.KINDS, "urgent": overload.URGENT},
            browse=110,
            urgent=80,
            report=28,
        ),
        [("a", 12)] * 4 + [("b", 12)] * 3,
        {
            "factor": lambda time: 1.0,
            "lost_at": 2.0,
            "lost": ["10.0.0.7", "10.0.0.8"],
        },
    ),
}


def measure(case, is_enabled, seed=1):
    """Return a fleet after a case."""
    kinds, hosts, changes = CASES[case]
    return overload.run(
        kinds=kinds,
        hosts=hosts,
        is_enabled=is_enabled,
        seed=seed,
        seconds=13.0,
        **changes,
    )


@pytest.mark.parametrize("case", CASES)
def test_calls_of_running_requests_are_served(case):
    """Guards against requests that use a slot and fail for a refused call."""
    basic, enabled = (measure(case, is_enabled) for is_enabled in (0, 1))
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
