"""Tests of the view that is built from the published items."""

import math

from shallotbridge._generated import link
from shallotbridge.core import errors
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
