"""Tests of ordering, verification and deltas of configurations."""

import zlib

import hypothesis
from hypothesis import strategies
import pytest

from shallotbridge.core import errors
from shallotbridge.core import model
from shallotbridge.core import store as store_module
from tests import builders
from tests import memory


def make_store(*configurations):
    """Return an enforcing store that applied snapshots in turn."""
    store = store_module.ConfigurationStore()
    store.enable_enforcement()
    for configuration in configurations:
        store.apply(builders.make_full_update(configuration))
    return store


def snapshot_bytes(store):
    """Return the bytes of the store's snapshot, or None if it is empty."""
    update = store.update_since(model.NO_HEAD)
    return update and update.SerializeToString(deterministic=True)


def test_an_older_version_is_ignored():
    """Guards against a node that returns to an older version (P1)."""
    store = make_store(memory.make_version(2))
    assert not store.apply(builders.make_full_update(memory.make_version(1)))
    assert store.configuration == memory.make_version(2)


def test_no_configuration_is_active_before_enforcement():
    """Guards against enforcing the first version read at startup."""
    store = store_module.ConfigurationStore()
    store.apply(builders.make_full_update(memory.make_version(3)))
    assert (store.head.version, store.configuration) == (3, None)
    store.enable_enforcement()
    assert store.configuration.head.version == 3


@pytest.mark.parametrize("order", [(1.0, 2.0), (2.0, 1.0)])
def test_larger_digest_wins_a_conflict_until_a_higher_version(order):
    """Guards against nodes that keep different contents of a version."""
    candidates = [memory.make_version(5, deadline) for deadline in order]
    store = make_store(*candidates, candidates[0])
    assert store.head == max(item.head for item in candidates)
    assert store.conflict_count == 1
    assert set(store.conflict.digests) == {
        item.head.digest for item in candidates
    }
    store.apply(builders.make_full_update(memory.make_version(6)))
    assert store.conflict is None


def _make_dangling(update):
    route = builders.make_route(depends_on=("absent",))
    service = builders.make_service(routes=[route])
    wrong = builders.make_configuration(version=2, services=[service])
    update.CopyFrom(builders.make_full_update(wrong))


def _renumber(update):
    update.head.version = 9
    update.base_version = 8


def _truncate_snapshot(update):
    update.compressed_bundle = zlib.compress(b"x" * 1000)[:-3]


@pytest.mark.parametrize(
    ("corrupt", "error"),
    [
        (lambda update: update.changed.pop(), errors.DigestMismatchError),
        (_renumber, errors.DigestMismatchError),
        (
            lambda update: setattr(update.head, "version", 9),
            errors.MalformedPartError,
        ),
        (
            lambda update: setattr(update.head, "digest", b"short"),
            errors.MalformedPartError,
        ),
        (
            lambda update: update.changed.add(name="mesh"),
            errors.MalformedPartError,
        ),
        (
            lambda update: setattr(update.base, "version", 7),
            errors.DeltaBaseError,
        ),
        (_truncate_snapshot, errors.MalformedPartError),
        (_make_dangling, errors.DanglingReferenceError),
    ],
)
def test_rejected_candidate_changes_nothing(corrupt, error):
    """Guards against a version that is partially applied (P3)."""
    store = make_store(memory.make_version(1))
    before = snapshot_bytes(store)
    update = builders.make_full_update(memory.make_version(2, 2.0))
    corrupt(update)
    with pytest.raises(error):
        store.apply(update)
    assert snapshot_bytes(store) == before
    assert store.rejected_count == (error is not errors.DeltaBaseError)


def test_snapshot_above_the_decompressed_limit_is_rejected(monkeypatch):
    """Guards against memory exhaustion by a decompression bomb."""
    monkeypatch.setattr(store_module, "MAXIMUM_SNAPSHOT_BYTES", 1000)
    update = builders.make_full_update(memory.make_version(1))
    update.compressed_bundle = zlib.compress(b"\0" * 100_000)
    with pytest.raises(errors.MalformedPartError, match="exceeds"):
        make_store().apply(update)


def test_unchanged_parts_are_not_decoded_again():
    """Guards against decoding all services of the mesh on each change."""
    store = make_store(memory.make_version(1, extra=["other"]))
    reused = store.configuration.services_by_name["other"]
    store.apply(
        builders.make_full_update(memory.make_version(2, 2.0, extra=["other"]))
    )
    assert store.configuration.services_by_name["other"] is reused


def test_delta_holds_only_changes_and_old_heads_get_a_snapshot():
    """Guards against snapshots for small changes and missing delta bases."""
    extra = [f"service-{number}" for number in range(8)]
    versions = [memory.make_version(1, extra=extra + ["gone"])]
    versions += [
        memory.make_version(number, number, extra) for number in range(2, 18)
    ]
    store = make_store(*versions)
    assert store.update_since(versions[0].head).compressed_bundle
    delta = store.update_since(versions[1].head)
    assert [part.name for part in delta.changed] == ["showroom"]
    assert store.update_since(store.head) is None
    lagging = make_store(versions[0], versions[1])
    lagging.apply(delta)
    assert snapshot_bytes(lagging) == snapshot_bytes(store)


async def test_waiters_wake_for_a_newer_head(nursery, autojump_clock):
    """Guards against a long poll that misses a change."""
    store = make_store(memory.make_version(1))

    async def apply_later():
        store.apply(builders.make_full_update(memory.make_version(2)))

    nursery.start_soon(apply_later)
    assert (await store.wait_for_newer_head(store.head)).version == 2


VERSIONS = [
    memory.make_version(1, 1.0, ["gone"]),
    memory.make_version(2, 2.0),
    memory.make_version(3, 3.0, ["new"]),
    memory.make_version(3, 4.0, ["new"]),
    memory.make_version(4, 4.0, ["new", "newer"]),
]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ["publish", "sync", "snapshot", "corrupt"]
            ),
            strategies.integers(0, 4),
            strategies.integers(0, 2),
        ),
        max_size=30,
    )
)
def test_heads_never_decrease_and_stores_converge(steps):
    """Guards against lost, repeated and reordered updates corrupting a store.

    Updates are kept and delivered later, so that they arrive out of order.
    """
    stores = [make_store() for _ in range(3)]
    in_flight = []
    for action, index, target in steps:
        store = stores[target]
        before = store.head
        if action == "publish":
            store.apply(builders.make_full_update(VERSIONS[index]))
        elif action == "sync":
            source = stores[index % 3]
            in_flight.append(source.update_since(before))
            update = in_flight.pop(index % len(in_flight))
            _apply_ignoring_rejection(store, update)
            in_flight.append(update)
        elif action == "snapshot":
            _apply_ignoring_rejection(
                store, stores[index % 3].update_since(model.NO_HEAD)
            )
        else:
            update = builders.make_full_update(VERSIONS[index])
            update.changed[0].content += b"\0"
            _apply_ignoring_rejection(store, update)
        assert store.head >= before
        if store.configuration is not None:
            assert store.configuration in VERSIONS
            assert store.configuration.head == store.head
    highest = max(stores, key=lambda store: store.head)
    for store in stores:
        update = highest.update_since(store.head)
        if update is not None:
            assert store.apply(update)
        assert snapshot_bytes(store) == snapshot_bytes(highest)


def _apply_ignoring_rejection(store, update):
    try:
        if update is not None:
            store.apply(update)
    except errors.DistributionError:
        pass


def test_version_that_does_not_follow_its_base_is_rejected():
    """Guards against a wrong version number that blocks later versions."""
    store = store_module.ConfigurationStore()
    update = builders.make_full_update(
        builders.make_configuration(version=900), base_version=7
    )
    with pytest.raises(errors.MalformedPartError, match="expected 899"):
        store.apply(update)
    assert store.head == model.NO_HEAD
