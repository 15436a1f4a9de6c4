"""Tests of the mirror of the published items."""

from shallotbridge._generated import link
from shallotbridge.distribution import mirror
from shallotbridge.distribution import positions


def _item(key, revision, value=b"x"):
    return link.PublishedItem(key=key, revision=revision, value=value)


def test_changes_since_a_revision_update_a_peer():
    """Guards against peers that miss a deletion."""
    first = mirror.ItemMirror()
    first.replace([_item("a", 1), _item("b", 2)], 2)
    second = mirror.ItemMirror()
    second.replace([_item("a", 1), _item("b", 2)], 2)
    first.apply([_item("a", 3, None), _item("c", 4)], 4)
    is_whole, items = first.changes_since(2)
    assert not is_whole
    second.apply(items, 4)
    assert second.items_by_key == first.items_by_key
    assert set(second.items_by_key) == {"b", "c"}


def test_an_older_snapshot_is_ignored():
    """Guards against a stale read that replaces newer items."""
    items = mirror.ItemMirror()
    items.replace([_item("a", 5)], 5)
    assert not items.replace([_item("a", 3, b"old")], 4)
    assert items.items_by_key["a"].revision == 5


def test_an_older_change_is_ignored():
    """Guards against replies of the platform and a peer out of order."""
    items = mirror.ItemMirror()
    items.apply([_item("a", 5, b"new")], 5)
    items.apply([_item("a", 3, b"old"), _item("a", 4, None)], 4)
    assert items.items_by_key["a"].value == b"new"
    assert items.position == 5


def test_a_snapshot_deletes_the_items_that_it_does_not_list():
    """Guards against keeping upstreams that left while history was lost."""
    items = mirror.ItemMirror()
    items.replace([_item("a", 1), _item("b", 2)], 2)
    items.replace([_item("b", 2)], 9)
    assert set(items.items_by_key) == {"b"}


def test_a_new_peer_gets_a_snapshot():
    """Guards against a delta for a node without any items."""
    items = mirror.ItemMirror()
    items.replace([_item("a", 1)], 1)
    assert items.changes_since(0) == (True, [_item("a", 1)])


def test_a_restarted_node_sends_a_snapshot_to_a_peer_that_is_behind():
    """Guards against deletions that a peer never receives.

    A node restarts after an upstream was removed, and a peer that has not
    received the removal pulls changes from it (nw-remnant-grown trouble-3:
    four requests to an upstream that had left).
    """
    behind = mirror.ItemMirror()
    behind.replace([_item("kept", 1), _item("gone", 2)], 2)
    restarted = mirror.ItemMirror()
    restarted.replace([_item("kept", 1)], 5)
    restarted.apply([_item("new", 6)], 6)
    is_whole, items = restarted.changes_since(behind.position)
    assert is_whole
    behind.replace(items, restarted.position)
    assert set(behind.items_by_key) == {"kept", "new"}


def test_equal_copies_have_equal_digests_from_changes_or_a_snapshot():
    """Guards against a digest that depends on how items were received.

    One node applies each change, another reads a snapshot later.
    """
    first = mirror.ItemMirror()
    first.replace([_item("a", 1), _item("b", 2)], 2)
    first.apply([_item("a", 3), _item("b", 4, None), _item("c", 5)], 5)
    second = mirror.ItemMirror()
    second.replace([_item("c", 5), _item("a", 3)], 5)
    assert first.digest == second.digest
    second.apply([_item("d", 6)], 6)
    assert first.digest != second.digest


def test_a_change_older_than_a_snapshot_restores_no_deleted_item():
    """Guards against requests to an upstream that has left.

    An upstream registers at revision 105 and leaves at 110 while a watch is
    in flight. A peer's snapshot of revision 120 is applied before the
    response of the watch, which must not restore the upstream for good.
    """
    items = mirror.ItemMirror()
    items.replace([_item("a", 90)], 100)
    items.replace([_item("a", 90)], 120)
    items.apply([_item("gone", 105)], 107)
    assert set(items.items_by_key) == {"a"}
    assert items.position == 120


def test_items_of_a_later_era_replace_those_of_higher_revisions():
    """Guards against a restored store whose changes are skipped (CONFIG 68).

    The store goes back to an older revision and gives revisions out again.
    """
    old, new = (
        positions.make_position(era, revision)
        for era, revision in ((1, 200), (2, 14))
    )
    items = mirror.ItemMirror()
    items.replace([_item("a", old, b"old"), _item("lost", old)], old)
    before = items.position
    assert items.replace([_item("a", new, b"new")], new)
    assert items.items_by_key["a"].value == b"new"
    assert set(items.items_by_key) == {"a"}
    is_whole, _ = items.changes_since(before)
    assert is_whole
    # A peer behind a cut still has the earlier era.
    items.apply([_item("a", old + 1, b"old")], old + 1)
    assert not items.replace([_item("a", old + 1, b"old")], old + 1)
    assert items.items_by_key["a"].value == b"new"
    assert items.position == new


def test_equal_copies_of_a_later_era_have_equal_digests():
    """Guards against differences that are only the way items came."""
    old, new = (positions.make_position(era, 9) for era in (1, 2))
    first, second = mirror.ItemMirror(), mirror.ItemMirror()
    first.replace([_item("a", old), _item("b", old)], old)
    for copy in (first, second):
        copy.replace([_item("a", new)], new)
    assert first.digest == second.digest
