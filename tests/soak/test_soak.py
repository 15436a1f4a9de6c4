"""A short seeded soak run with real processes."""

import pytest

from soak import run

# Seeds that found a failure, each with a line on its cause.
REGRESSION_SEEDS = (
    # A silent crash was counted again when its connections ended, so that a
    # frequent harmless request was refused.
    39401,
)


# The second one loses readers while changes come in series.
@pytest.mark.parametrize("seed", [101, 102, 105, *REGRESSION_SEEDS])
def test_guarantees_hold_under_faults(seed):
    """Guards against violations of the guarantees under faults."""
    run_records, violations, logs = run.run_seed(
        seed, seconds=12.0, hosts=4, domains=2
    )
    assert violations == []
    assert "soak-key" not in str(logs)
    served = sum(call.status == 200 for call in run_records.calls)
    assert served > len(run_records.calls) / 2 > 0
