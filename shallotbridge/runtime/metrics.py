"""Counters, gauges and latency histograms in the Prometheus text format."""

import bisect

# Upper bounds of the histogram buckets.
LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    5.0,
)
_METRIC_PREFIX = "shallotbridge_"


class Metrics:
    """Counters, histograms and gauges of one node.

    Counter names have the form ``name`` or ``name.code``; the second part
    becomes the value of the label ``code``.
    """

    def __init__(self):
        self._counts_by_name = {}
        self._histograms_by_name = {}
        self._gauges_by_name = {}

    def count(self, name, seconds=None):
        """Increment a counter, or add a duration to a histogram.

        Parameters
        ----------
        name : str
        seconds : float, optional
            Duration; the metric is a counter without it.
        """
        if seconds is None:
            counts = self._counts_by_name
            counts[name] = counts.get(name, 0) + 1
            return
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = [[0] * (len(LATENCY_BUCKETS_SECONDS) + 1), 0.0]
            self._histograms_by_name[name] = histogram
        histogram[0][bisect.bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        histogram[1] += seconds

    def register_gauge(self, name, read):
        """Register a gauge whose value ``read()`` returns at each scrape."""
        self._gauges_by_name[name] = read

    def render(self):
        """Return all metrics in the Prometheus text format.

        Examples
        --------
        >>> metrics = Metrics()
        >>> metrics.count("requests_total.200")
        >>> metrics.register_gauge("slots", lambda: 6)
        >>> print(metrics.render(), end="")
        # TYPE shallotbridge_requests_total counter
        shallotbridge_requests_total{code="200"} 1
        # TYPE shallotbridge_slots gauge
        shallotbridge_slots 6
        """
        lines = []
        previous = None
        for name in sorted(self._counts_by_name):
            base, _, label = name.partition(".")
            if base != previous:
                lines.append(f"# TYPE {_METRIC_PREFIX}{base} counter")
                previous = base
            labels = f'{{code="{label}"}}' if label else ""
            lines.append(
                f"{_METRIC_PREFIX}{base}{labels} {self._counts_by_name[name]}"
            )
        for name, (buckets, total) in sorted(self._histograms_by_name.items()):
            lines += _histogram_lines(_METRIC_PREFIX + name, buckets, total)
        for name, read in sorted(self._gauges_by_name.items()):
            lines.append(f"# TYPE {_METRIC_PREFIX}{name} gauge")
            lines.append(f"{_METRIC_PREFIX}{name} {read()}")
        return "\n".join(lines) + "\n"


def _histogram_lines(name, buckets, total):
    lines = [f"# TYPE {name} histogram"]
    count = 0
    for bound, bucket in zip(LATENCY_BUCKETS_SECONDS, buckets):
        count += bucket
        lines.append(f'{name}_bucket{{le="{bound}"}} {count}')
    count += buckets[-1]
    lines.append(f'{name}_bucket{{le="+Inf"}} {count}')
    lines.append(f"{name}_sum {total:.6f}")
    lines.append(f"{name}_count {count}")
    return lines
