"""Upstreams whose answers said that they are leaving."""

import collections
import dataclasses

MAXIMUM_RECORDS = 4096


class Departures:
    """Incarnations of upstreams that are leaving, by what they answered.

    An upstream that is leaving never returns, so only a later incarnation
    under the same id ends a record. The records outlast the entry of the
    upstream, which may expire and return while the store is unavailable.
    """

    def __init__(self):
        self._started_ms_by_id = collections.OrderedDict()

    def add(self, upstream_id, started_ms):
        """Record a leaving upstream; return whether that is new.

        Parameters
        ----------
        upstream_id : str
        started_ms : int
            Start of the incarnation, Unix time in milliseconds.
        """
        if self._started_ms_by_id.get(upstream_id, -1) >= started_ms:
            return False
        self._started_ms_by_id[upstream_id] = started_ms
        if len(self._started_ms_by_id) > MAXIMUM_RECORDS:
            self._started_ms_by_id.popitem(last=False)
        return True

    def mark(self, upstream):
        """Return the upstream, as draining if this incarnation is leaving."""
        started_ms = self._started_ms_by_id.get(upstream.upstream_id, -1)
        if started_ms < upstream.started_ms or upstream.is_draining:
            return upstream
        return dataclasses.replace(upstream, is_draining=True)

    def __len__(self):
        return len(self._started_ms_by_id)
