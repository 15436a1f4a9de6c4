"""Tests of metrics in the Prometheus text format."""

from shallotbridge.runtime import metrics


def test_histogram_buckets_are_cumulative():
    """Guards against per-bucket counts, which Prometheus would misread."""
    node_metrics = metrics.Metrics()
    for seconds in (0.0005, 0.004, 99.0):
        node_metrics.count("request_seconds", seconds)
    lines = node_metrics.render().splitlines()
    name = "shallotbridge_request_seconds"
    assert f'{name}_bucket{{le="0.001"}} 1' in lines
    assert f'{name}_bucket{{le="0.005"}} 2' in lines
    assert f'{name}_bucket{{le="+Inf"}} 3' in lines
    assert f"{name}_count 3" in lines
