"""Requests that crash upstreams: suspects and quarantine."""

import collections
import dataclasses
import hashlib

import trio

SUSPICION_SECONDS = 600.0
QUARANTINE_SECONDS = 600.0
MAXIMUM_ENTRIES = 1_000
_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashFinding:
    """What a crash showed; reported to the other nodes of the service."""

    suspects: tuple[bytes, ...]
    quarantined: tuple[bytes, ...]


def fingerprint(call):
    """Return what identifies a request when it is sent again.

    That is the route with the idempotency key, or else with the path and
    the body.
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

    Quarantined ones leave the table last when it is full.

    Parameters
    ----------
    maximum_entries : int
        Bound of suspects and of quarantined requests together.
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
        """Tell whether a request was in flight at a crash."""
        return _is_current(self._expiries_by_suspect, fingerprint)

    def is_quarantined(self, fingerprint):
        """Tell whether a request is refused because it crashes upstreams."""
        return _is_current(self._expiries_by_quarantined, fingerprint)

    def on_crash(self, fingerprints):
        """Blame the requests that were in flight on a crashed upstream.

        Parameters
        ----------
        fingerprints : iterable of bytes

        Returns
        -------
        CrashFinding
            If exactly one of them was a suspect before, it is quarantined;
            the others become suspects, which each may still run alone.
        """
        fingerprints = set(fingerprints)
        known = [each for each in fingerprints if self.is_suspect(each)]
        quarantined = tuple(known) if len(known) == 1 else ()
        suspects = tuple(sorted(fingerprints.difference(quarantined)))
        self.on_report(suspects, False)
        self.on_report(quarantined, True)
        return CrashFinding(suspects=suspects, quarantined=quarantined)

    def on_report(self, fingerprints, is_quarantined):
        """Enter what another node of the service found."""
        now = trio.current_time()
        for each in fingerprints:
            if is_quarantined:
                self._expiries_by_suspect.pop(each, None)
                self._expiries_by_quarantined[each] = now + QUARANTINE_SECONDS
                self._expiries_by_quarantined.move_to_end(each)
            elif not self.is_quarantined(each):
                self._expiries_by_suspect[each] = now + SUSPICION_SECONDS
                self._expiries_by_suspect.move_to_end(each)
        _drop_expired(self._expiries_by_suspect, now)
        _drop_expired(self._expiries_by_quarantined, now)
        while len(self) > self._maximum_entries:
            oldest = self._expiries_by_suspect or self._expiries_by_quarantined
            oldest.popitem(last=False)

    def on_success(self, fingerprint):
        """Clear a suspect that ran without a crash."""
        self._expiries_by_suspect.pop(fingerprint, None)


def _is_current(expiries, fingerprint):
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
