"""A copy of the platform's published items, as of one revision."""

import collections

from .._generated import link

# Deletions that are remembered for peers that ask for changes; a peer that
# is further behind gets a whole copy.
MAXIMUM_DELETIONS = 2000


class ItemMirror:
    """The published items and the newest deletions.

    Attributes
    ----------
    position : int
        Revision up to which the copy is complete; 0 before the first read.
    """

    def __init__(self):
        self.items_by_key = {}
        self.position = 0
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
        """Take changes in the order of their revisions."""
        for item in items:
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
            self.items_by_key[item.key] = item
            self._deletions.pop(item.key, None)

    def _delete(self, key, revision):
        known = self.items_by_key.get(key)
        if known is not None and known.revision > revision:
            return
        self.items_by_key.pop(key, None)
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
