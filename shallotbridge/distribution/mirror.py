"""A local copy of the platform's published items as of one position.

The revisions of the items are positions too: they have the store's era.
"""

import collections
import dataclasses
import functools
import hashlib
import math

from .._generated import link

# Deletions kept for peers that pull changes. A peer that is further behind
# gets a full snapshot.
MAXIMUM_TOMBSTONES = 2000
# A digest must fit into a signed 64-bit integer on the wire.
_DIGEST_BYTES = 7


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MirrorState:
    """State of a node's mirror that is reported to other nodes and the log.

    Attributes
    ----------
    position : int
        Position up to which the copy is complete, see ``positions``; 0 before
        the first read.
    digest : int
        Equal for all copies with the same keys and revisions.
    age : float
        Time since the copy was last known to be complete, seconds; infinite
        before it was.
    """

    position: int
    digest: int
    age: float

    @property
    def age_ms(self):
        """Age in whole ms; None before the copy was known to be complete."""
        return None if math.isinf(self.age) else round(self.age * 1000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MirrorStates:
    """States of a node's mirrors of both topics."""

    upstreams: MirrorState
    configuration: MirrorState


class ItemMirror:
    """The published items and the tombstones of the latest deletions.

    Attributes
    ----------
    items_by_key : dict of str to link.PublishedItem
    position : int
        Position up to which the copy is complete, see ``positions``; 0 before
        the first read.
    digest : int
        Equal for all copies with the same keys and revisions.
    """

    def __init__(self):
        self.items_by_key = {}
        self.position = 0
        self.digest = 0
        self._tombstones = collections.OrderedDict()
        # Changes since a revision before this one are not completely known.
        self._history_start = 0

    def replace(self, items, position):
        """Replace the content by a full snapshot.

        Items that are missing from the snapshot were deleted.

        Returns
        -------
        bool
            False if the snapshot is older than this copy and was ignored.
        """
        if position < self.position:
            return False
        listed_keys = {item.key for item in items}
        for key in self.items_by_key.keys() - listed_keys:
            if self.items_by_key[key].revision <= position:
                self._delete(key, position)
        for item in items:
            self._put(item)
        self.position = position
        # A snapshot does not list earlier deletions.
        self._history_start = max(self._history_start, position)
        return True

    def apply(self, items, position):
        """Apply changes in the order of their revisions.

        Changes up to the current position are skipped: this copy contains
        them already, or they were superseded.
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
        deleted_at = self._tombstones.get(item.key, 0)
        if deleted_at < item.revision and (
            known is None or known.revision < item.revision
        ):
            if known is not None:
                self.digest ^= _digest(item.key, known.revision)
            self.digest ^= _digest(item.key, item.revision)
            self.items_by_key[item.key] = item
            self._tombstones.pop(item.key, None)

    def _delete(self, key, revision):
        known = self.items_by_key.get(key)
        if known is not None and known.revision > revision:
            return
        if known is not None:
            self.digest ^= _digest(key, known.revision)
            del self.items_by_key[key]
        self._tombstones[key] = max(revision, self._tombstones.get(key, 0))
        self._tombstones.move_to_end(key)
        while len(self._tombstones) > MAXIMUM_TOMBSTONES:
            _, dropped = self._tombstones.popitem(last=False)
            self._history_start = max(self._history_start, dropped)

    def changes_since(self, position):
        """Return the changes since a revision, or a full snapshot.

        Returns
        -------
        is_whole : bool
            Whether the items are a full snapshot, because some changes since
            the revision are not known any more.
        items : list of link.PublishedItem
            A deleted item has no value.
        """
        if position < self._history_start or position == 0:
            return True, list(self.items_by_key.values())
        changed = [
            item
            for item in self.items_by_key.values()
            if item.revision > position
        ]
        changed.extend(
            link.PublishedItem(key=key, revision=revision, value=None)
            for key, revision in self._tombstones.items()
            if revision > position
        )
        changed.sort(key=lambda item: item.revision)
        return False, changed


@functools.lru_cache(maxsize=4096)
def _digest(key, revision):
    data = f"{revision} {key}".encode()
    digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
