"""Which requests were in flight at an upstream when it ended."""

import math

import trio

from ..core import decisions
from . import crash_records

# A lost connection is put down to a crash if a health check shows the crash
# within this time.
CRASH_CONFIRMATION_SECONDS = 2.0
# Rate limit of the log.
LINES_PER_SECOND = 5
# Number of fingerprints in a line of the log.
MAXIMUM_LOGGED_FINGERPRINTS = 20


class CrashAttribution:
    """Puts a crash of an upstream down to the requests in flight.

    Parameters
    ----------
    known_crashes : crash_records.CrashRecords
    on_records_changed : callable
        ``on_records_changed(fingerprints)`` is called after this node has
        changed records.
    record : callable
        ``record(action, **fields)`` writes the decision log.
    """

    def __init__(self, *, known_crashes, on_records_changed, record):
        self._known_crashes = known_crashes
        self._on_records_changed = on_records_changed
        self._log = decisions.RateLimitedLog(
            rate=LINES_PER_SECOND, record=record
        )
        # Fingerprints of the requests at the upstream, by ticket.
        self._fingerprints_by_ticket = {}
        # Requests in flight at lost connections, until a health check tells
        # whether the upstream has crashed.
        self._candidates = set()
        self._candidates_since = -math.inf

    def on_sent(self, ticket, fingerprints):
        """Note that a request is sent to the upstream."""
        self._fingerprints_by_ticket[ticket] = fingerprints

    def on_ended(self, ticket):
        """Note that a request is no longer in flight."""
        self._fingerprints_by_ticket.pop(ticket, None)

    def on_connection_lost(self):
        """Note that a connection ended without the answer to its request."""
        now = trio.current_time()
        if now - self._candidates_since > CRASH_CONFIRMATION_SECONDS:
            self._candidates.clear()
            self._candidates_since = now
        self._candidates.update(*self._fingerprints_by_ticket.values())

    def on_alive(self, upstream_id):
        """Note that a health check names the upstream that was known."""
        if self._candidates:
            self._ignore(
                self._candidates,
                upstream_id,
                "connections lost",
                "a health check names the same upstream",
            )
        self._candidates.clear()

    def on_crash(self, upstream_id, started_ms, reason, *, is_planned):
        """Blame the requests in flight at a crash of the upstream.

        Parameters
        ----------
        upstream_id : str or None
            None if no upstream is registered.
        started_ms : int
        reason : str
            For the log.
        is_planned : bool
            Whether the upstream or the node is leaving. Connections that are
            lost then show no crash.
        """
        candidates, self._candidates = self._candidates, set()
        if not candidates:
            return
        now = trio.current_time()
        candidates_seconds = now - self._candidates_since
        ignored_because = None
        if candidates_seconds > CRASH_CONFIRMATION_SECONDS:
            ignored_because = (
                f"the first connection was lost {candidates_seconds:.3f} s ago"
            )
        elif upstream_id is None:
            ignored_because = "no upstream is registered"
        elif is_planned:
            ignored_because = "the upstream or the node is leaving"
        if ignored_because is not None:
            self._ignore(candidates, upstream_id, reason, ignored_because)
            return
        crash_id = crash_records.make_crash_id(upstream_id, started_ms)
        blamed = self._known_crashes.on_crash(candidates, crash_id)
        self._log.record(
            "upstream_crashed",
            now,
            chosen=upstream_id,
            started_ms=started_ms,
            reason=reason,
            in_flight=len(candidates),
            blamed=[
                [f"{each:x}", self._known_crashes.crash_count(each)]
                for each in blamed
            ],
        )
        if blamed:
            self._on_records_changed(blamed)

    def _ignore(self, fingerprints, upstream_id, reason, detail):
        self._log.record(
            "crash_ignored",
            trio.current_time(),
            chosen=upstream_id,
            reason=reason,
            detail=detail,
            candidates=[
                f"{fingerprint:x}"
                for fingerprint in sorted(fingerprints)[
                    :MAXIMUM_LOGGED_FINGERPRINTS
                ]
            ],
        )
