"""The copy of the published items."""

from shallotbridge._generated import link
from shallotbridge.distribution import mirror


def _item(key, revision, value=b"x"):
    return link.PublishedItem(key=key, revision=revision, value=value)


def test_changes_since_a_revision_bring_a_peer_up_to_date():
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


def test_an_older_copy_is_ignored():
    """Guards against going back to what a stale read shows."""
    items = mirror.ItemMirror()
    items.replace([_item("a", 5)], 5)
    assert not items.replace([_item("a", 3, b"old")], 4)
    assert items.items_by_key["a"].revision == 5


def test_an_older_change_is_ignored():
    """Guards against crossed answers of the platform and of a peer."""
    items = mirror.ItemMirror()
    items.apply([_item("a", 5, b"new")], 5)
    items.apply([_item("a", 3, b"old"), _item("a", 4, None)], 4)
    assert items.items_by_key["a"].value == b"new"
    assert items.position == 5


def test_a_whole_copy_drops_what_it_does_not_list():
    """Guards against upstreams that left while history was lost."""
    items = mirror.ItemMirror()
    items.replace([_item("a", 1), _item("b", 2)], 2)
    items.replace([_item("b", 2)], 9)
    assert set(items.items_by_key) == {"b"}


def test_a_new_peer_gets_a_whole_copy():
    """Guards against deltas for a node that has nothing."""
    items = mirror.ItemMirror()
    items.replace([_item("a", 1)], 1)
    assert items.changes_since(0) == (True, [_item("a", 1)])


def test_a_node_that_started_later_gives_a_whole_copy_to_one_behind():
    """Guards against deletions that a peer never hears of.

    Pattern: a node restarts after an upstream was removed, and a peer that
    has not heard of the removal asks it for changes (nw-remnant-grown
    trouble-3: four requests to an upstream that had left).
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


def test_equal_copies_have_equal_digests_however_they_came_about():
    """Guards against a digest that depends on the way of a change.

    Pattern: one node follows each change, another reads the whole later.
    """
    first = mirror.ItemMirror()
    first.replace([_item("a", 1), _item("b", 2)], 2)
    first.apply([_item("a", 3), _item("b", 4, None), _item("c", 5)], 5)
    second = mirror.ItemMirror()
    second.replace([_item("c", 5), _item("a", 3)], 5)
    assert first.digest == second.digest
    second.apply([_item("d", 6)], 6)
    assert first.digest != second.digest


# Requests for an upstream that a crossed answer brought back.
def test_a_change_from_before_a_whole_copy_brings_nothing_back():
    """Guards against an upstream that left and is used again for good.

    Pattern: an upstream comes at revision 105 and leaves at 110 while a watch
    is answered; a whole copy of a peer, as of 120, is taken before the
    watch's answer.
    """
    items = mirror.ItemMirror()
    items.replace([_item("a", 90)], 100)
    items.replace([_item("a", 90)], 120)
    items.apply([_item("gone", 105)], 107)
    assert set(items.items_by_key) == {"a"}
    assert items.position == 120
