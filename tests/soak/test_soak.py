"""A short seeded run of the soak with real processes."""

import pytest

from soak import run

# Seeds that failed once, each with a line on the cause.
REGRESSION_SEEDS = ()


@pytest.mark.parametrize("seed", [101, *REGRESSION_SEEDS])
def test_the_promises_hold_under_faults(seed):
    """Guards against promises that hold only without faults."""
    found, violations, _ = run.run_seed(seed, seconds=12.0, hosts=4, domains=2)
    assert violations == []
    served = sum(call.status == 200 for call in found.calls)
    assert served > len(found.calls) / 2 > 0
