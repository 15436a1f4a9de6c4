"""Table of requests that crash upstreams: suspects and quarantine."""

import collections
import dataclasses
import hashlib

import trio

SUSPECT_SECONDS = 600.0
QUARANTINE_SECONDS = 600.0
MAXIMUM_ENTRIES = 1_000
_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashFinding:
    """Result of one crash; reported to the other nodes of the service."""

    suspects: tuple[bytes, ...]
    quarantined: tuple[bytes, ...]


def fingerprint(call):
    """Return a digest that is equal for a request and its retries.

    It covers the route and the idempotency key, or, without a key, the route,
    the target (path and query) and the body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(f"{call.route.service}\n{call.route.name}\n".encode())
    if call.idempotency_key is not None:
        key = call.idempotency_key.encode("utf-8", "surrogateescape")
        digest.update(b"key\n" + key)
    else:
        target = call.request.target.encode("utf-8", "surrogateescape")
        digest.update(b"body\n" + target + b"\n" + call.request.body)
    return digest.digest()


class SuspectTable:
    """Fingerprints of requests that were in flight at a crash.

    A full table evicts suspects before quarantined requests.

    Parameters
    ----------
    maximum_entries : int
        Maximum number of suspects and quarantined requests together.
    """

    def __init__(self, *, maximum_entries=MAXIMUM_ENTRIES):
        self._maximum_entries = maximum_entries
        self._expiries_by_suspect = collections.OrderedDict()
        self._expiries_by_quarantined = collections.OrderedDict()

    def __len__(self):
        return len(self._expiries_by_suspect) + len(
            self._expiries_by_quarantined
        )

    def is_suspect(self, fingerprint):
        """Return whether a request was in flight at a crash."""
        return _is_unexpired(self._expiries_by_suspect, fingerprint)

    def is_quarantined(self, fingerprint):
        """Return whether a request is refused because it crashes upstreams."""
        return _is_unexpired(self._expiries_by_quarantined, fingerprint)

    def on_upstream_crash(self, fingerprints):
        """Mark the requests that were in flight at an upstream's crash.

        Parameters
        ----------
        fingerprints : iterable of bytes

        Returns
        -------
        CrashFinding
            If exactly one request was a suspect before, it is quarantined.
            All others become suspects, which may still run one at a time.
        """
        fingerprints = set(fingerprints)
        repeated_suspects = [
            each for each in fingerprints if self.is_suspect(each)
        ]
        quarantined = (
            tuple(repeated_suspects) if len(repeated_suspects) == 1 else ()
        )
        suspects = tuple(sorted(fingerprints.difference(quarantined)))
        self.on_crash_report(suspects, False)
        self.on_crash_report(quarantined, True)
        return CrashFinding(suspects=suspects, quarantined=quarantined)

    def on_crash_report(self, fingerprints, is_quarantined):
        """Add suspects or quarantined requests that a node found."""
        now = trio.current_time()
        for each in fingerprints:
            if is_quarantined:
                self._expiries_by_suspect.pop(each, None)
                self._expiries_by_quarantined[each] = now + QUARANTINE_SECONDS
                self._expiries_by_quarantined.move_to_end(each)
            elif not self.is_quarantined(each):
                self._expiries_by_suspect[each] = now + SUSPECT_SECONDS
                self._expiries_by_suspect.move_to_end(each)
        _drop_expired(self._expiries_by_suspect, now)
        _drop_expired(self._expiries_by_quarantined, now)
        while len(self) > self._maximum_entries:
            expiries = (
                self._expiries_by_suspect or self._expiries_by_quarantined
            )
            expiries.popitem(last=False)

    def on_request_success(self, fingerprint):
        """Remove a suspect whose request completed without a crash."""
        self._expiries_by_suspect.pop(fingerprint, None)


def _is_unexpired(expiries, fingerprint):
    expiry = expiries.get(fingerprint)
    if expiry is None:
        return False
    if expiry <= trio.current_time():
        del expiries[fingerprint]
        return False
    return True


def _drop_expired(expiries, now):
    while expiries and next(iter(expiries.values())) <= now:
        expiries.popitem(last=False)
