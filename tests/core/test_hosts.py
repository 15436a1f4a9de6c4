"""Tests of the host table and the platform's host lists."""

import dataclasses
import json

import hypothesis
from hypothesis import strategies
import pytest

from shallotbridge._generated import peer_pb2
from shallotbridge.core import errors
from shallotbridge.core import hosts as hosts_module
from tests import builders

ENTRY = {
    "host_id": "h1",
    "address": "127.0.0.1",
    "service": "showroom",
    "state": "live",
}


@pytest.mark.parametrize(
    "document",
    [
        [],
        {"revision": True, "hosts": []},
        {"revision": 0, "hosts": []},
        {"revision": 2**64, "hosts": []},
        {"revision": 1, "hosts": {}},
        {"revision": 1, "hosts": [3]},
        {"revision": 1, "hosts": [ENTRY, ENTRY]},
        {"revision": 1, "hosts": [ENTRY | {"address": "host.example"}]},
        {"revision": 1, "hosts": [ENTRY | {"address": 7}]},
        {"revision": 1, "hosts": [ENTRY | {"state": []}]},
        {"revision": 1, "hosts": [ENTRY | {"host_id": "\ud800"}]},
        {"revision": 1, "hosts": [ENTRY | {"service": ""}]},
    ],
)
def test_malformed_list_raises_a_typed_error(document):
    """Guards against an unexpected exception that ends the reader."""
    for content in (json.dumps(document).encode(), b"{", b"\xff", b"[" * 9999):
        with pytest.raises(errors.MalformedHostListError):
            hosts_module.parse_host_list("cairo-1", content)


def test_only_a_higher_revision_replaces_the_list():
    """Guards against an outdated list that replaces a newer one."""
    table = hosts_module.HostTable()
    assert table.replace("cairo-1", 2, [builders.make_host()])
    assert not table.replace("cairo-1", 2, [])
    assert not table.replace("cairo-1", 1, [])
    assert table.hosts_of_domain("cairo-1") == (builders.make_host(),)


def test_a_malformed_update_changes_nothing():
    """Guards against a host list that is partially applied."""
    table = hosts_module.HostTable()
    update = peer_pb2.HostUpdate(failure_domain="cairo-1", revision=3)
    update.changed.add(host_id="a", address="127.0.0.1", service="showroom")
    update.changed.add(host_id="b", address="nowhere", service="showroom")
    with pytest.raises(errors.MalformedHostListError):
        table.apply(update)
    assert (dict(table.hosts_by_id), table.generation) == ({}, 0)


def test_delta_from_an_unknown_revision_is_rejected():
    """Guards against missing hosts after a skipped delta."""
    table = hosts_module.HostTable()
    update = peer_pb2.HostUpdate(
        failure_domain="cairo-1", base_revision=4, revision=5
    )
    with pytest.raises(errors.DeltaBaseError):
        table.apply(update)


def test_moved_host_is_kept_when_its_old_entry_is_removed():
    """Guards against losing a host that was in two lists."""
    table = hosts_module.HostTable()
    old = builders.make_host("h1")
    new = dataclasses.replace(old, failure_domain="cairo-2", address="::1")
    table.replace("cairo-1", 1, [old])
    table.replace("cairo-2", 1, [new])
    assert table.hosts_by_id["h1"] == old
    table.replace("cairo-1", 2, [])
    assert table.hosts_of_service("showroom") == (new,)


def make_hosts(states_by_number):
    """Return a host per number; a state is (service, is_leaving)."""
    return [
        builders.make_host(f"h{number}", service=service, is_leaving=leaving)
        for number, (service, leaving) in states_by_number.items()
    ]


LISTS = strategies.dictionaries(
    strategies.integers(0, 9),
    strategies.tuples(strategies.sampled_from("ab"), strategies.booleans()),
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(LISTS, strategies.booleans()),
        min_size=1,
        max_size=12,
    ),
    strategies.integers(1, 12),
)
def test_deltas_converge_to_the_full_list(steps, journal_limit):
    """Guards against deltas, also delayed ones, that corrupt the list."""
    original_limit, hosts_module.MAXIMUM_JOURNAL_CHANGES = (
        hosts_module.MAXIMUM_JOURNAL_CHANGES,
        journal_limit,
    )
    try:
        source, follower = hosts_module.HostTable(), hosts_module.HostTable()
        delayed_updates = []
        for revision, (states, is_delayed) in enumerate(steps, start=1):
            source.replace("cairo-1", revision, make_hosts(states))
            updates = source.updates_since(follower.revisions_by_domain)
            if is_delayed:
                delayed_updates += updates
                continue
            for update in updates + delayed_updates:
                follower.apply(update)
        for update in source.updates_since(follower.revisions_by_domain):
            follower.apply(update)
    finally:
        hosts_module.MAXIMUM_JOURNAL_CHANGES = original_limit
    assert follower.hosts_by_id == source.hosts_by_id
    full = hosts_module.HostTable()
    full.replace("cairo-1", len(steps), make_hosts(steps[-1][0]))
    for service in "ab":
        expected = full.hosts_of_service(service)
        assert follower.hosts_of_service(service) == expected
        assert source.hosts_of_service(service) == expected


def test_revision_before_the_journal_gets_the_full_list():
    """Guards against a journal that grows without bound."""
    table = hosts_module.HostTable()
    for revision in range(1, hosts_module.MAXIMUM_JOURNAL_CHANGES + 3):
        host = builders.make_host(is_leaving=bool(revision % 2))
        table.replace("cairo-1", revision, [host])
    assert table.updates_since({"cairo-1": 1})[0].base_revision == 0
    assert table.updates_since({"cairo-1": 2})[0].base_revision == 2
