"""Which requests were in flight at an upstream when it ended."""

import collections
import dataclasses
import math

import trio

from ..core import decisions
from . import crash_records

# An upstream may run a request on for so long after its connection was closed
# on this side.
WITHDRAWN_RUN_SECONDS = 1.0
# An upstream that has started again publishes that within this time.
RESTART_NOTICE_SECONDS = 5.0
# Number of requests without an answer that are kept: a crash under overload
# must not fill the table of crash records with bystanders.
MAXIMUM_UNANSWERED = 64
# Rate limit of the log.
LINES_PER_SECOND = 5
# Number of fingerprints in a line of the log.
MAXIMUM_LOGGED_FINGERPRINTS = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _SentRequest:
    """A request at the upstream.

    Attributes
    ----------
    fingerprints : tuple of int
    sent_at : float
        On trio's clock.
    """

    fingerprints: tuple
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _UnansweredRequest:
    """A request whose connection ended before its answer.

    Attributes
    ----------
    fingerprints : tuple of int
    ended_at : float
        On trio's clock.
    is_withdrawn : bool
        Whether this node closed the connection.
    """

    fingerprints: tuple
    ended_at: float
    is_withdrawn: bool


class CrashAttribution:
    """Puts a crash of an upstream down to the requests in flight.

    These are the requests without an answer since the upstream was last known
    to be alive. No time limit applies: a health check may show the crash long
    after the connections were lost.

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
        self._sent_by_ticket = {}
        self._unanswered = collections.deque(maxlen=MAXIMUM_UNANSWERED)
        self._alive_at = -math.inf
        # Id and start of the upstream whose crash is known.
        self._crashed = None

    def on_sent(self, ticket, fingerprints):
        """Note that a request is sent to the upstream."""
        self._sent_by_ticket[ticket] = _SentRequest(
            fingerprints=fingerprints, sent_at=trio.current_time()
        )

    def on_answered(self, ticket):
        """Note that a request has its answer."""
        sent = self._sent_by_ticket.pop(ticket)
        self._alive_at = max(self._alive_at, sent.sent_at)

    def on_not_run(self, ticket):
        """Note that a request certainly did not run."""
        self._sent_by_ticket.pop(ticket, None)

    def on_connection_lost(self, ticket):
        """Note that a connection ended without the answer to its request."""
        self._add_unanswered(ticket, is_withdrawn=False)

    def on_withdrawn(self, ticket):
        """Note that this node no longer waits for the answer to a request.

        The client has left, the deadline has passed, another answer is used,
        or the answer is not valid.
        """
        self._add_unanswered(ticket, is_withdrawn=True)

    def _add_unanswered(self, ticket, *, is_withdrawn):
        sent = self._sent_by_ticket.pop(ticket, None)
        if sent is not None:
            self._unanswered.append(
                _UnansweredRequest(
                    fingerprints=sent.fingerprints,
                    ended_at=trio.current_time(),
                    is_withdrawn=is_withdrawn,
                )
            )

    def on_alive(self, upstream_id, asked_at):
        """Note that a health check names the upstream that was known.

        Parameters
        ----------
        upstream_id : str
        asked_at : float
            Time at which the health check began, on trio's clock. The
            upstream did not end before.
        """
        before = self._lost_fingerprints()
        self._alive_at = max(self._alive_at, asked_at)
        acquitted = before - self._lost_fingerprints()
        if acquitted:
            self._ignore(
                acquitted,
                upstream_id,
                "connections lost",
                "a health check names the same upstream",
            )

    def _lost_fingerprints(self):
        return {
            fingerprint
            for unanswered in self._unanswered
            if not unanswered.is_withdrawn and self._is_candidate(unanswered)
            for fingerprint in unanswered.fingerprints
        }

    def _is_candidate(self, unanswered):
        ended_at = unanswered.ended_at
        if unanswered.is_withdrawn:
            ended_at += WITHDRAWN_RUN_SECONDS
        return ended_at >= self._alive_at

    def on_crash(
        self, upstream_id, started_ms, reason, *, is_planned, is_silent=False
    ):
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
        is_silent : bool
            Whether the upstream has stopped answering without ending its
            connections.
        """
        candidates = self._take_candidates(is_silent)
        self._crashed = (upstream_id, started_ms)
        if not candidates:
            return
        if upstream_id is None:
            self._ignore(candidates, None, reason, "no upstream is registered")
        elif is_planned:
            self._ignore(
                candidates,
                upstream_id,
                reason,
                "the upstream or the node is leaving",
            )
        else:
            self._blame(candidates, upstream_id, started_ms, reason)

    def on_replaced(self, upstream_id, started_ms):
        """Blame the requests at an upstream that was replaced without notice.

        Its successor is registered at the same address. It may have the same
        id, so a health check may have taken it for the upstream that ended.
        """
        if self._crashed == (upstream_id, started_ms):
            return
        lost_since = trio.current_time() - RESTART_NOTICE_SECONDS
        candidates = set()
        for unanswered in self._unanswered:
            if (
                not unanswered.is_withdrawn
                and unanswered.ended_at >= lost_since
            ):
                candidates.update(unanswered.fingerprints)
        self._unanswered.clear()
        if candidates:
            self._blame(candidates, upstream_id, started_ms, "replaced")

    def _take_candidates(self, is_silent):
        """Return the requests to blame.

        A crash ends all connections. If none is lost, a full upstream may
        have refused the connection of the health check.
        """
        unanswered = list(filter(self._is_candidate, self._unanswered))
        self._unanswered.clear()
        candidates = set()
        for each in unanswered:
            candidates.update(each.fingerprints)
        if is_silent or not all(each.is_withdrawn for each in unanswered):
            for sent in self._sent_by_ticket.values():
                candidates.update(sent.fingerprints)
        return candidates

    def _blame(self, candidates, upstream_id, started_ms, reason):
        crash_id = crash_records.make_crash_id(
            upstream_id, started_ms, self._alive_at
        )
        blamed = self._known_crashes.on_crash(candidates, crash_id)
        self._log.record(
            "upstream_crashed",
            trio.current_time(),
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
