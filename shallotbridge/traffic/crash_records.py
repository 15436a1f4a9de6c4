"""Requests that end the upstreams that run them.

Each node keeps the same bounded table: owner nodes add the crashes of their
upstreams, and gossip merges the tables of all nodes.
"""

import collections
import dataclasses
import hashlib
import heapq

import trio

from .._generated import link
from ..core import errors
from . import routing

# Number of upstreams that a request may end before it is refused.
CRASH_LIMIT = 3
# How long after its last crash a request is refused. A client that repeats it
# later may end as many upstreams again.
RECORD_SECONDS = 600.0
MAXIMUM_RECORDS = 250
# A completion at one node and a crash at another within this time are not put
# in order: the completion excuses the crash.
COINCIDENCE_SECONDS = 0.5
MAXIMUM_SUCCESSES = 4096
# Records of peers with a higher number are malformed.
MAXIMUM_COMPLETIONS = 2**31
# Number of fingerprints in a line of the log.
MAXIMUM_LOGGED_RECORDS = 20
# Digests must fit into a signed 64-bit integer on the wire.
_DIGEST_BYTES = 7


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Record:
    """Crashes in which a request was in flight.

    Attributes
    ----------
    completions : int
        How many times the request completed after crashes.
    crash_ids : frozenset of int
        At most ``CRASH_LIMIT`` crashes after the last of these completions.
    crashed_at : float
        Time of the last known crash on trio's clock.
    """

    completions: int
    crash_ids: frozenset
    crashed_at: float


class CrashRecords:
    """The requests that were in flight when upstreams crashed.

    A completion anywhere in the fleet excuses the crashes before it, so
    requests beside a harmful one, and frequent requests with equal content,
    stay usable.

    The record with more completions replaces the other one; of two with equal
    numbers, the crashes add up. So tables can be merged in any order.

    Parameters
    ----------
    record : callable, optional
        ``record(action, **fields)`` writes a line of the decision log.
    """

    def __init__(self, *, record=lambda action, **fields: None):
        self._record = record
        self._records_by_fingerprint = {}
        self._digest = None
        self._succeeded_at_by_fingerprint = collections.OrderedDict()

    def __len__(self):
        return len(self._records_by_fingerprint)

    @property
    def digest(self):
        """Digest that is equal for equal tables; 0 for an empty one."""
        self._drop_expired(trio.current_time())
        if self._digest is None:
            self._digest = 0
            for fingerprint, record in self._records_by_fingerprint.items():
                crash_ids = sorted(record.crash_ids)
                content = f"{fingerprint} {record.completions} {crash_ids}"
                self._digest ^= _digest(content.encode(), b"")
        return self._digest

    @property
    def barred_count(self):
        """Number of requests that are refused."""
        return sum(map(self.is_barred, list(self._records_by_fingerprint)))

    def is_barred(self, *fingerprints):
        """Return whether a request is refused."""
        return self.crash_count(*fingerprints) >= CRASH_LIMIT

    def crash_count(self, *fingerprints):
        """Return how many upstreams a request has ended, as far as known.

        Parameters
        ----------
        *fingerprints : int
            See ``make_fingerprints``; the highest count is returned.
        """
        return max(map(self._crash_count, fingerprints))

    def _crash_count(self, fingerprint):
        record = self._records_by_fingerprint.get(fingerprint)
        if record is None:
            return 0
        if record.crashed_at + RECORD_SECONDS <= trio.current_time():
            return 0
        return len(record.crash_ids)

    def check(self, *fingerprints):
        """Raise an error for a request that is refused.

        Raises
        ------
        errors.QuarantinedError
        """
        barred = [each for each in fingerprints if self.is_barred(each)]
        if not barred:
            return
        crashed_at = max(
            self._records_by_fingerprint[each].crashed_at for each in barred
        )
        seconds = crashed_at + RECORD_SECONDS - trio.current_time()
        error = errors.QuarantinedError(
            f"request {barred[0]:x} was in flight when {CRASH_LIMIT} "
            f"upstreams crashed; it is refused for another {seconds:.0f} s"
        )
        error.retry_after = seconds
        raise error

    def on_crash(self, fingerprints, crash_id):
        """Add the crash of an upstream with requests in flight.

        Only those that were in flight at most crashes before are blamed, as
        one request ends an upstream. Requests that completed just before are
        not.

        Parameters
        ----------
        fingerprints : iterable of int
        crash_id : int
            See ``make_crash_id``.

        Returns
        -------
        tuple of int
            The fingerprints that are blamed.
        """
        now = trio.current_time()
        counts_by_fingerprint = {
            fingerprint: self.crash_count(fingerprint)
            for fingerprint in fingerprints
            if not self._has_succeeded_since(
                fingerprint, now - COINCIDENCE_SECONDS
            )
        }
        highest = max(counts_by_fingerprint.values(), default=0)
        blamed = tuple(
            fingerprint
            for fingerprint, count in counts_by_fingerprint.items()
            if count == highest
        )
        for fingerprint in blamed:
            self._add(
                fingerprint,
                self._completions(fingerprint),
                frozenset((crash_id,)),
                now,
            )
        self._limit_size(now)
        return blamed

    def on_success(self, *fingerprints):
        """Note that a request has completed.

        Returns
        -------
        tuple of int
            The fingerprints whose records have changed.
        """
        return tuple(filter(self._on_success, fingerprints))

    def _on_success(self, fingerprint):
        now = trio.current_time()
        succeeded = self._succeeded_at_by_fingerprint
        succeeded[fingerprint] = now
        succeeded.move_to_end(fingerprint)
        if len(succeeded) > MAXIMUM_SUCCESSES:
            succeeded.popitem(last=False)
        return self._clear(fingerprint)

    def _clear(self, fingerprint):
        """Excuse the crashes of a request; return whether there were any."""
        record = self._records_by_fingerprint.get(fingerprint)
        if record is None or not record.crash_ids:
            return False
        return self._add(
            fingerprint,
            record.completions + 1,
            frozenset(),
            record.crashed_at,
        )

    def _completions(self, fingerprint):
        record = self._records_by_fingerprint.get(fingerprint)
        return 0 if record is None else record.completions

    def merge(self, records):
        """Add the records of another node.

        Parameters
        ----------
        records : iterable of link.CrashRecord

        Returns
        -------
        set of int
            The fingerprints of the records that were news.
        """
        now = trio.current_time()
        news = set()
        for record in records:
            age_seconds = max(0.0, record.age_ms / 1000)
            if (
                not age_seconds < RECORD_SECONDS
                or not 0 <= record.completions <= MAXIMUM_COMPLETIONS
            ):
                continue
            completions = record.completions
            crash_ids = frozenset(record.crash_ids[:CRASH_LIMIT])
            if record.is_cleared and crash_ids:
                # From a build that does not count completions.
                completions += 1
                crash_ids = frozenset()
            crashed_at = now - age_seconds
            is_news = self._add(
                record.fingerprint, completions, crash_ids, crashed_at
            )
            if self._has_succeeded_since(
                record.fingerprint, crashed_at - COINCIDENCE_SECONDS
            ):
                is_news |= self._clear(record.fingerprint)
            if is_news:
                news.add(record.fingerprint)
        if news:
            self._limit_size(now)
        return news & self._records_by_fingerprint.keys()

    def export(self, fingerprints=None):
        """Return records as ``link.CrashRecord``, by default all of them."""
        now = trio.current_time()
        self._drop_expired(now)
        return tuple(
            link.CrashRecord(
                fingerprint=fingerprint,
                crash_ids=tuple(sorted(record.crash_ids)),
                is_cleared=not record.crash_ids,
                age_ms=(now - record.crashed_at) * 1000,
                completions=record.completions,
            )
            for fingerprint, record in self._records_by_fingerprint.items()
            if fingerprints is None or fingerprint in fingerprints
        )

    def _has_succeeded_since(self, fingerprint, since):
        at = self._succeeded_at_by_fingerprint.get(fingerprint)
        return at is not None and at >= since

    def _add(self, fingerprint, completions, crash_ids, crashed_at):
        """Merge into the record of a request; return whether it changed."""
        known = self._records_by_fingerprint.get(fingerprint)
        if known is not None:
            if completions < known.completions:
                return False
            if completions == known.completions:
                crash_ids = frozenset(
                    sorted(known.crash_ids | crash_ids)[:CRASH_LIMIT]
                )
                if crash_ids == known.crash_ids:
                    return False
            crashed_at = max(crashed_at, known.crashed_at)
        self._records_by_fingerprint[fingerprint] = _Record(
            completions=completions,
            crash_ids=crash_ids,
            crashed_at=crashed_at,
        )
        self._digest = None
        return True

    def _limit_size(self, now):
        self._drop_expired(now)
        excess = len(self._records_by_fingerprint) - MAXIMUM_RECORDS
        if excess <= 0:
            return
        dropped = heapq.nsmallest(
            excess, self._records_by_fingerprint, key=self._weight
        )
        self._record(
            "crash_records_dropped",
            chosen=[f"{each:x}" for each in dropped[-MAXIMUM_LOGGED_RECORDS:]],
            count=len(dropped),
            crashes=self._crash_count(dropped[-1]),
        )
        for fingerprint in dropped:
            del self._records_by_fingerprint[fingerprint]
        self._digest = None

    def _weight(self, fingerprint):
        """Return the order in which records are dropped from a full table.

        Bystanders of later crashes have newer records than a request that is
        refused and gets no further crash.
        """
        crashed_at = self._records_by_fingerprint[fingerprint].crashed_at
        return self._crash_count(fingerprint), crashed_at, fingerprint

    def _drop_expired(self, now):
        expired = [
            fingerprint
            for fingerprint, record in self._records_by_fingerprint.items()
            if record.crashed_at + RECORD_SECONDS <= now
        ]
        for fingerprint in expired:
            del self._records_by_fingerprint[fingerprint]
            self._digest = None


def make_fingerprints(*, method, target, host, caller_service, body):
    """Return digests that are equal for a request and its repetitions.

    Two requests are the same if path, caller and body are. The second digest
    also depends on method and query: where requests that differ in these only
    complete, it still tells one that does not.

    Parameters
    ----------
    method, target : str
    host : str or None
        Value of the Host header.
    caller_service : str or None
        Service of the host where the request began.
    body : bytes

    Returns
    -------
    tuple of (int, int)

    Examples
    --------
    >>> def make(**changed):
    ...     request = {"method": "GET", "target": "/a", "host": "h"}
    ...     request |= {"caller_service": "s", "body": b""}
    ...     return make_fingerprints(**(request | changed))
    >>> make(target="/b")[0] == make()[0]
    False
    >>> make(target="/a?b=1")[0] == make(method="PUT", host="H:80")[0]
    True
    >>> make(target="/a?b=1")[1] == make()[1]
    False
    """
    path, _, query = target.partition("?")
    head = "\n".join((path, routing.host_name(host), caller_service or ""))
    digest = _digest(head.encode("utf-8", "surrogateescape"), body)
    variant = f"{digest}\n{method}\n{query}"
    return digest, _digest(variant.encode("utf-8", "surrogateescape"), b"")


def make_crash_id(upstream_id, started_ms, alive_at):
    """Return a digest of a crash.

    Parameters
    ----------
    upstream_id : str
    started_ms : int
        As registered. An upstream that is back under its id may end again
        before its new start is registered.
    alive_at : float
        When the upstream was last known to be alive, on the clock of the node
        beside it, the only one that reports its crashes. It tells such a
        crash from the first one, however often each is noticed.
    """
    return _digest(f"{upstream_id}\n{started_ms}\n{alive_at}".encode(), b"")


def _digest(head, body):
    digest = hashlib.blake2b(head, digest_size=_DIGEST_BYTES)
    digest.update(b"\n\n")
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")
