"""Counters, gauges and timings of a node, sent to a statsd server.

docs/metrics.md lists them. The node's status shows the counters as well.
"""

import collections

import statsd
import trio

PREFIX = "shallotbridge"
SEND_INTERVAL_SECONDS = 1.0
# Later samples of a timing in the same interval are dropped, so that the
# number of datagrams does not grow with the load.
MAXIMUM_SAMPLES_PER_INTERVAL = 50
_MILLISECONDS = 1000


class Metrics:
    """Collects metrics in memory and sends them once a second.

    Without a statsd address, timings are not recorded and nothing is sent.

    Parameters
    ----------
    address : tuple of (str, int) or None
        Host and port of the statsd server.

    Examples
    --------
    >>> metrics = Metrics(address=None)
    >>> metrics.count("requests.run")
    >>> metrics.counts_by_name["requests.run"]
    1
    """

    def __init__(self, *, address):
        self.counts_by_name = collections.Counter()
        self._address = address
        self._gauges_by_name = {}
        self._totals_by_name = {}
        self._samples_by_name = {}

    @property
    def is_enabled(self):
        """Whether metrics are sent to a statsd server."""
        return self._address is not None

    def count(self, name, amount=1):
        """Add to a counter."""
        self.counts_by_name[name] += amount

    def register_gauge(self, name, read):
        """Register a gauge whose value ``read()`` returns.

        None as the value leaves the gauge out.
        """
        self._gauges_by_name[name] = read

    def register_total(self, name, read):
        """Register a counter whose total so far ``read()`` returns."""
        self._totals_by_name[name] = read

    def totals(self):
        """Return the totals of all counters, also registered ones, by name."""
        read = {name: read() for name, read in self._totals_by_name.items()}
        return dict(self.counts_by_name) | read

    def timing(self, name, seconds):
        """Record one duration in seconds."""
        if self._address is None:
            return
        samples = self._samples_by_name.setdefault(name, [])
        if len(samples) < MAXIMUM_SAMPLES_PER_INTERVAL:
            samples.append(seconds)

    async def run(self):
        """Send once a second until cancelled.

        Without an address, returns at once.
        """
        if self._address is None:
            return
        host, port = self._address
        client = statsd.StatsClient(host=host, port=port, prefix=PREFIX)
        sent_by_name = collections.Counter()
        try:
            while True:
                await trio.sleep(SEND_INTERVAL_SECONDS)
                self._send(client, sent_by_name)
        finally:
            self._send(client, sent_by_name)
            client.close()

    def _send(self, client, sent_by_name):
        with client.pipeline() as pipeline:
            for name, total in self.totals().items():
                if total != sent_by_name[name]:
                    pipeline.incr(name, total - sent_by_name[name])
                    sent_by_name[name] = total
            for name, read in self._gauges_by_name.items():
                value = read()
                if value is not None:
                    pipeline.gauge(name, value)
            for name, samples in self._samples_by_name.items():
                for seconds in samples:
                    pipeline.timing(name, seconds * _MILLISECONDS)
                samples.clear()
