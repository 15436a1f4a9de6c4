"""Tests of the view that is built from the published items."""

import math

from shallotbridge._generated import link
from shallotbridge.core import errors
from shallotbridge.distribution import positions
from shallotbridge.distribution import views

from tests.traffic import builders


def _builder(content_by_value):
    lines = []

    def decode(key, value):
        content = content_by_value[value]
        if isinstance(content, Exception):
            raise content
        return content

    def record(action, **fields):
        lines.append((action, fields))

    return views.ViewBuilder(decode=decode, record=record), lines


def _items(**values):
    return {
        key: link.PublishedItem(key=key, revision=revision, value=value)
        for key, (revision, value) in values.items()
    }


def _update(builder, items, now=0.0, outage_ended_at=-math.inf):
    return builder.update(items, now=now, outage_ended_at=outage_ended_at)


def test_an_older_configuration_is_ignored():
    """Guards against an older version that replaces a newer one."""
    builder, lines = _builder(
        {
            b"7": builders.configuration(version=7),
            b"5": builders.configuration(version=5),
        }
    )
    _update(builder, _items(config=(1, b"7")))
    _update(builder, _items(config=(2, b"5")))
    assert builder.view.configuration.version == 7
    assert "configuration_ignored" in [action for action, _ in lines]


def test_a_malformed_item_is_skipped_and_logged_once():
    """Guards against a malformed entry that empties the view."""
    builder, lines = _builder(
        {
            b"bad": errors.MalformedEntryError("slots missing"),
            b"good": builders.upstream(1),
        }
    )
    items = _items(a=(1, b"bad"), b=(2, b"good"))
    _update(builder, items)
    _update(builder, items)
    assert list(builder.view.upstreams_by_id) == ["u1"]
    assert [action for action, _ in lines].count("item_rejected") == 1


def test_entries_that_expire_in_an_outage_are_retained_for_a_while():
    """Guards against rejecting all requests when the store restarts empty."""
    builder, _ = _builder({b"good": builders.upstream(1)})
    _update(builder, _items(a=(1, b"good")))
    next_update_at = _update(builder, {}, now=10.0, outage_ended_at=9.5)
    assert list(builder.view.upstreams_by_id) == ["u1"]
    assert next_update_at == 9.5 + views.EXPIRED_ENTRY_GRACE_SECONDS
    _update(builder, {}, now=next_update_at, outage_ended_at=9.5)
    assert not builder.view.upstreams_by_id


def test_a_removed_entry_is_dropped_at_once_without_an_outage():
    """Guards against requests to upstreams that leave without draining."""
    builder, _ = _builder({b"good": builders.upstream(1)})
    _update(builder, _items(a=(1, b"good")))
    _update(builder, {}, now=10.0, outage_ended_at=2.0)
    assert not builder.view.upstreams_by_id


def test_draining_upstreams_and_domains_out_of_service_are_not_usable():
    """Guards against new requests to upstreams that are leaving."""
    builder, _ = _builder(
        {
            b"1": builders.upstream(1, is_draining=True),
            b"2": builders.upstream(2, failure_domain="b"),
            b"3": builders.upstream(3),
            b"b": "b",
        }
    )
    _update(
        builder,
        _items(a=(1, b"1"), b=(2, b"2"), c=(3, b"3"), d=(4, b"b")),
    )
    usable = builder.view.usable_upstreams("shop")
    assert [one.upstream_id for one in usable] == ["u3"]


def test_a_restarted_upstream_replaces_the_previous_instance():
    """Guards against requests to an instance that a power loss ended.

    All upstreams restart with new ids while their old entries still exist.
    """
    builder, _ = _builder(
        {
            b"old": builders.upstream(1, started_ms=1000),
            b"new": builders.upstream(
                1, upstream_id="u1-again", started_ms=2000
            ),
        }
    )
    _update(builder, _items(a=(1, b"old"), b=(2, b"new")))
    assert list(builder.view.upstreams_by_id) == ["u1-again"]


def test_an_item_with_which_the_decoder_crashes_is_skipped():
    """Guards against one item that blocks all others."""
    builder, lines = _builder(
        {b"bad": ValueError("a fault"), b"good": builders.upstream(1)}
    )
    _update(builder, _items(a=(1, b"bad"), b=(2, b"good")))
    assert list(builder.view.upstreams_by_id) == ["u1"]
    assert [action for action, _ in lines].count("item_rejected") == 1


def test_an_older_report_of_an_upstream_is_ignored():
    """Guards against new requests to a draining upstream.

    The platform applies an older report some seconds late, after a newer one
    of the same upstream. After a restart the numbering of reports starts
    again.
    """
    draining = builders.upstream(1, started_ms=9, report=7, is_draining=True)
    builder, lines = _builder(
        {
            b"draining": draining,
            b"late": builders.upstream(1, started_ms=9, report=6),
            b"again": builders.upstream(1, started_ms=20, report=1),
        }
    )
    _update(builder, _items(a=(1, b"draining")))
    _update(builder, _items(a=(2, b"late")))
    assert not builder.view.usable_upstreams("shop")
    assert "report_ignored" in [action for action, _ in lines]
    _update(builder, _items(a=(3, b"again")))
    assert builder.view.usable_upstreams("shop")


FIRST, RESTORED = (
    positions.make_position(era, revision)
    for era, revision in ((1, 30), (2, 20))
)


def _entries(era, **values):
    return _items(
        **{
            key: (positions.make_position(era, 10), value)
            for key, value in values.items()
        }
    )


def _update_at(builder, position, items, now):
    return builder.update(
        items,
        now=now,
        outage_ended_at=-math.inf,
        position=position,
        configuration_position=position,
    )


def test_upstreams_that_a_restored_store_lost_are_kept_for_a_while():
    """Guards against refusals while lost entries are written again.

    An upstream has registered since the copy. It writes its entry again, or
    it does not, and is gone then.
    """
    builder, _ = _builder(
        {b"1": builders.upstream(1), b"2": builders.upstream(2)}
    )
    _update_at(builder, FIRST, _entries(1, a=b"1", b=b"2"), 0.0)
    ends_at = _update_at(builder, RESTORED, _entries(2, a=b"1"), 10.0)
    assert set(builder.view.upstreams_by_id) == {"u1", "u2"}
    assert ends_at == 10.0 + views.RESTORED_ENTRY_GRACE_SECONDS
    _update_at(builder, RESTORED, _entries(2, a=b"1"), ends_at)
    assert set(builder.view.upstreams_by_id) == {"u1"}


def test_an_upstream_that_left_does_not_return_with_a_restored_store():
    """Guards against requests to an upstream that has left (DRAIN 23).

    The copy lists it as ready. A new start under its id counts, and so does
    an entry that it writes after the restore.
    """
    left = builders.upstream(2, started_ms=5, report=7)
    contents = {
        b"1": builders.upstream(1),
        b"2": left,
        b"old": builders.upstream(2, started_ms=5, report=4),
        b"new": builders.upstream(2, started_ms=6, report=1),
        b"back": builders.upstream(2, started_ms=5, report=9),
    }
    for value, is_used in ((b"old", False), (b"new", True), (b"back", True)):
        builder, lines = _builder(contents)
        _update_at(builder, FIRST, _entries(1, a=b"1", b=b"2"), 0.0)
        _update_at(builder, FIRST + 1, _entries(1, a=b"1"), 5.0)
        _update_at(builder, RESTORED, _entries(2, a=b"1", b=value), 10.0)
        assert ("u2" in builder.view.upstreams_by_id) is is_used
        ignored = [action for action, _ in lines].count("upstream_ignored")
        assert ignored == (not is_used)
        listed_at = 10.0 + views.DEPARTED_ENTRY_SECONDS
        again_at = _update_at(
            builder, RESTORED, _entries(2, a=b"1", b=value), 13.0
        )
        assert again_at == (None if is_used else listed_at)
        _update_at(builder, RESTORED, _entries(2, a=b"1", b=value), listed_at)
        assert "u2" in builder.view.upstreams_by_id


def test_an_upstream_that_returned_is_not_ignored_after_a_restore():
    """Guards against a running upstream that is put out of use.

    Its entry expired once and came back; then the store goes back to a copy
    with an earlier report.
    """
    contents = {
        b"old": builders.upstream(1, started_ms=5, report=4),
        b"expired": builders.upstream(1, started_ms=5, report=7),
        b"back": builders.upstream(1, started_ms=5, report=8),
    }
    builder, _ = _builder(contents)
    _update_at(builder, FIRST, _entries(1, a=b"expired"), 0.0)
    _update_at(builder, FIRST + 1, {}, 5.0)
    returned = _items(a=(FIRST + 2, b"back"))
    _update_at(builder, FIRST + 2, returned, 6.0)
    _update_at(builder, RESTORED, _entries(2, a=b"old"), 10.0)
    assert set(builder.view.upstreams_by_id) == {"u1"}


def test_a_draining_upstream_stays_so_when_the_store_is_restored():
    """Guards against new requests to an upstream that is about to end."""
    contents = {
        b"ready": builders.upstream(1, started_ms=5, report=4),
        b"draining": builders.upstream(
            1, started_ms=5, report=5, is_draining=True
        ),
        b"earlier": builders.upstream(1, started_ms=3, report=9),
    }
    for value in (b"ready", b"earlier"):
        builder, _ = _builder(contents)
        _update_at(builder, FIRST, _entries(1, a=b"draining"), 0.0)
        _update_at(builder, RESTORED, _entries(2, a=value), 10.0)
        assert builder.view.upstreams_by_id["u1"].is_draining


def test_domains_out_of_service_outlast_a_restore_of_the_store():
    """Guards against requests to a domain that was taken out of service.

    Since the copy, domain a was taken out and b was put back. Domain c is
    taken out after the restore.
    """
    builder, _ = _builder({b"a": "a", b"b": "b", b"c": "c"})
    _update_at(builder, FIRST, _entries(1, x=b"b"), 0.0)
    _update_at(builder, FIRST + 1, _entries(1, y=b"a"), 1.0)
    restored = _entries(2, x=b"b")
    ends_at = _update_at(builder, RESTORED, restored, 10.0)
    assert builder.view.domains_out == {"a"}
    written = restored | _items(z=(RESTORED + 1, b"c"))
    _update_at(builder, RESTORED + 1, written, 10.5)
    assert builder.view.domains_out == {"a", "c"}
    _update_at(builder, RESTORED + 1, written, ends_at)
    assert builder.view.domains_out == {"b", "c"}


def test_an_older_configuration_of_a_restored_store_is_logged_once():
    """Guards against a log line for each change of an upstream."""
    builder, lines = _builder(
        {
            b"7": builders.configuration(version=7),
            b"5": builders.configuration(version=5),
        }
    )
    _update_at(builder, FIRST, _entries(1, config=b"7"), 0.0)
    for now in range(10, 20):
        _update_at(builder, RESTORED, _entries(2, config=b"5"), now)
    assert builder.view.configuration.version == 7
    assert [action for action, _ in lines].count("configuration_ignored") == 1


def test_an_entry_of_an_unknown_service_takes_no_upstreams_address():
    """Guards against an odd entry that drives out a sound upstream.

    It has the upstream's address and a later start.
    """
    builder, _ = _builder(
        {
            b"1": builders.upstream(1, started_ms=5),
            b"odd": builders.upstream(
                9, address="10.0.0.1", service="nobody", started_ms=2**50
            ),
            b"config": builders.configuration(version=1),
        }
    )
    _update(builder, _items(a=(1, b"1"), b=(2, b"odd"), c=(3, b"config")))
    assert set(builder.view.upstreams_by_id) == {"u1"}


def test_a_retained_upstream_yields_to_its_successor():
    """Guards against two upstreams at one address after a restore.

    The copy lacks the entry of an upstream that has been replaced meanwhile.
    """
    builder, _ = _builder(
        {
            b"1": builders.upstream(1, started_ms=5),
            b"2": builders.upstream(2, address="10.0.0.1", started_ms=6),
        }
    )
    _update_at(builder, FIRST, _entries(1, a=b"1"), 0.0)
    _update_at(builder, RESTORED, _entries(2, b=b"2"), 10.0)
    _update_at(builder, RESTORED, _entries(2, b=b"2"), 10.1)
    assert set(builder.view.upstreams_by_id) == {"u2"}
