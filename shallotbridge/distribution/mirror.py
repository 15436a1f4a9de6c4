"""A copy of the platform's published items, as of one revision."""

import collections
import dataclasses
import functools
import hashlib
import math

from .._generated import link

# Deletions that are remembered for peers that ask for changes; a peer that
# is further behind gets a whole copy.
MAXIMUM_DELETIONS = 2000
# Digests travel as integers of 64 bits with a sign.
_DIGEST_BYTES = 7


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CopyState:
    """What a node tells of its copy.

    Attributes
    ----------
    position : int
        Revision up to which the copy is complete; 0 before the first read.
    digest : int
        The same for all copies with the same keys and revisions.
    age : float
        Time since the copy was known to be complete, seconds; infinite
        before it was.
    """

    position: int
    digest: int
    age: float

    @property
    def age_ms(self):
        """Age in whole ms for the log, None before the copy was complete."""
        return None if math.isinf(self.age) else round(self.age * 1000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CopyStates:
    """What a node tells of its two copies."""

    upstreams: CopyState
    configuration: CopyState


class ItemMirror:
    """The published items and the newest deletions.

    Attributes
    ----------
    position : int
        Revision up to which the copy is complete; 0 before the first read.
    digest : int
        The same for all copies with the same keys and revisions.
    """

    def __init__(self):
        self.items_by_key = {}
        self.position = 0
        self.digest = 0
        self._deletions = collections.OrderedDict()
        # Changes since an older revision than this one are not known whole.
        self._oldest = 0

    def replace(self, items, position):
        """Take a whole copy; items that are not in it were deleted.

        Returns
        -------
        bool
            False if the copy is older than this one and was ignored.
        """
        if position < self.position:
            return False
        listed = {item.key for item in items}
        for key in self.items_by_key.keys() - listed:
            if self.items_by_key[key].revision <= position:
                self._delete(key, position)
        for item in items:
            self._put(item)
        self.position = position
        # What was deleted before is not in a whole copy.
        self._oldest = max(self._oldest, position)
        return True

    def apply(self, items, position):
        """Take changes in the order of their revisions.

        Those up to the position are in this copy already, or were undone.
        """
        for item in items:
            if item.revision <= self.position:
                continue
            if item.value is None:
                self._delete(item.key, item.revision)
            else:
                self._put(item)
        self.position = max(self.position, position)

    def _put(self, item):
        known = self.items_by_key.get(item.key)
        deleted_at = self._deletions.get(item.key, 0)
        if deleted_at < item.revision and (
            known is None or known.revision < item.revision
        ):
            if known is not None:
                self.digest ^= _digest(item.key, known.revision)
            self.digest ^= _digest(item.key, item.revision)
            self.items_by_key[item.key] = item
            self._deletions.pop(item.key, None)

    def _delete(self, key, revision):
        known = self.items_by_key.get(key)
        if known is not None and known.revision > revision:
            return
        if known is not None:
            self.digest ^= _digest(key, known.revision)
            del self.items_by_key[key]
        self._deletions[key] = max(revision, self._deletions.get(key, 0))
        self._deletions.move_to_end(key)
        while len(self._deletions) > MAXIMUM_DELETIONS:
            _, oldest = self._deletions.popitem(last=False)
            self._oldest = max(self._oldest, oldest)

    def changes_since(self, position):
        """Return what is newer than a revision.

        Returns
        -------
        bool
            Whether the items are a whole copy.
        list of link.PublishedItem
        """
        if position < self._oldest or position == 0:
            return True, list(self.items_by_key.values())
        changed = [
            item
            for item in self.items_by_key.values()
            if item.revision > position
        ]
        changed.extend(
            link.PublishedItem(key=key, revision=revision, value=None)
            for key, revision in self._deletions.items()
            if revision > position
        )
        changed.sort(key=lambda item: item.revision)
        return False, changed


@functools.lru_cache(maxsize=4096)
def _digest(key, revision):
    data = f"{revision} {key}".encode()
    digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
