"""Metrics as text."""

from shallotbridge.runtime import metrics


def test_histograms_are_cumulative():
    """Guards against buckets that a reader adds up twice."""
    found = metrics.Metrics()
    for seconds in (0.0005, 0.004, 99.0):
        found.count("request_seconds", seconds)
    lines = found.text().splitlines()
    name = "shallotbridge_request_seconds"
    assert f'{name}_bucket{{le="0.001"}} 1' in lines
    assert f'{name}_bucket{{le="0.005"}} 2' in lines
    assert f'{name}_bucket{{le="+Inf"}} 3' in lines
    assert f"{name}_count 3" in lines
