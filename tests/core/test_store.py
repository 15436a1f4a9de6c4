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
    """Return an enforcing store that applied full copies in turn."""
    store = store_module.ConfigurationStore()
    store.enable_enforcement()
    for configuration in configurations:
        store.apply(builders.make_full_update(configuration))
    return store


def copy_bytes(store):
    """Return the bytes of a full copy."""
    update = store.update_since(model.NO_HEAD)
    return update and update.SerializeToString(deterministic=True)


def test_an_older_version_is_ignored():
    """Guards against a node that moves back (P1)."""
    store = make_store(memory.make_version(2))
    assert not store.apply(builders.make_full_update(memory.make_version(1)))
    assert store.configuration == memory.make_version(2)


def test_nothing_is_in_force_before_enforcement():
    """Guards against a start that enforces what it read first."""
    store = store_module.ConfigurationStore()
    store.apply(builders.make_full_update(memory.make_version(3)))
    assert (store.head.version, store.configuration) == (3, None)
    store.enable_enforcement()
    assert store.configuration.head.version == 3


@pytest.mark.parametrize("order", [(1.0, 2.0), (2.0, 1.0)])
def test_the_larger_digest_wins_a_conflict_until_a_higher_version(order):
    """Guards against a fleet split over two contents of one version."""
    candidates = [memory.make_version(5, deadline) for deadline in order]
    store = make_store(*candidates, candidates[0])
    assert store.head == max(item.head for item in candidates)
    assert store.conflict_count == 1
    assert set(store.conflict.digests) == {
        item.head.digest for item in candidates
    }
    store.apply(builders.make_full_update(memory.make_version(6)))
    assert store.conflict is None


def _dangling(update):
    route = builders.make_route(depends_on=("absent",))
    service = builders.make_service(routes=[route])
    wrong = builders.make_configuration(version=2, services=[service])
    update.CopyFrom(builders.make_full_update(wrong))


def _renumber(update):
    update.head.version = 9
    update.base_version = 8


def _damage_copy(update):
    update.compressed_bundle = zlib.compress(b"x" * 1000)[:-3]


@pytest.mark.parametrize(
    ("damage", "error"),
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
        (_damage_copy, errors.MalformedPartError),
        (_dangling, errors.DanglingReferenceError),
    ],
)
def test_a_damaged_candidate_changes_nothing(damage, error):
    """Guards against a version that is applied in part (P3)."""
    store = make_store(memory.make_version(1))
    before = copy_bytes(store)
    update = builders.make_full_update(memory.make_version(2, 2.0))
    damage(update)
    with pytest.raises(error):
        store.apply(update)
    assert copy_bytes(store) == before
    assert store.rejected_count == (error is not errors.DeltaBaseError)


def test_a_full_copy_that_expands_without_bound_is_rejected(monkeypatch):
    """Guards against memory exhaustion by a small compressed reply."""
    monkeypatch.setattr(store_module, "MAXIMUM_COPY_BYTES", 1000)
    update = builders.make_full_update(memory.make_version(1))
    update.compressed_bundle = zlib.compress(b"\0" * 100_000)
    with pytest.raises(errors.MalformedPartError, match="exceeds"):
        make_store().apply(update)


def test_unchanged_parts_are_not_decoded_again():
    """Guards against a cost of each change that grows with the mesh."""
    store = make_store(memory.make_version(1, extra=["other"]))
    kept = store.configuration.services_by_name["other"]
    store.apply(
        builders.make_full_update(memory.make_version(2, 2.0, extra=["other"]))
    )
    assert store.configuration.services_by_name["other"] is kept


def test_a_delta_holds_only_changes_and_old_heads_get_a_full_copy():
    """Guards against full copies for small changes, and lost bases."""
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
    late = make_store(versions[0], versions[1])
    late.apply(delta)
    assert copy_bytes(late) == copy_bytes(store)


async def test_waiters_wake_for_a_newer_head(nursery, autojump_clock):
    """Guards against a long poll that misses a change."""
    store = make_store(memory.make_version(1))

    async def apply_later():
        store.apply(builders.make_full_update(memory.make_version(2)))

    nursery.start_soon(apply_later)
    assert (await store.wait_newer(store.head)).version == 2


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
            strategies.sampled_from(["publish", "sync", "full", "damage"]),
            strategies.integers(0, 4),
            strategies.integers(0, 2),
        ),
        max_size=30,
    )
)
def test_any_exchange_moves_upward_and_ends_equal(steps):
    """Guards against loss, repetition and crossing that corrupt a store.

    Replies are kept and delivered later in any order, so that they cross.
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
            _try_apply(store, update)
            in_flight.append(update)
        elif action == "full":
            _try_apply(store, stores[index % 3].update_since(model.NO_HEAD))
        else:
            update = builders.make_full_update(VERSIONS[index])
            update.changed[0].content += b"\0"
            _try_apply(store, update)
        assert store.head >= before
        if store.configuration is not None:
            assert store.configuration in VERSIONS
            assert store.configuration.head == store.head
    highest = max(stores, key=lambda store: store.head)
    for store in stores:
        update = highest.update_since(store.head)
        if update is not None:
            assert store.apply(update)
        assert copy_bytes(store) == copy_bytes(highest)


def _try_apply(store, update):
    try:
        if update is not None:
            store.apply(update)
    except errors.DistributionError:
        pass


def test_a_version_that_does_not_follow_its_base_is_rejected():
    """Guards against a wrong number that blocks all later versions."""
    store = store_module.ConfigurationStore()
    update = builders.make_full_update(
        builders.make_configuration(version=900), base_version=7
    )
    with pytest.raises(errors.MalformedPartError, match="expected 899"):
        store.apply(update)
    assert store.head == model.NO_HEAD
