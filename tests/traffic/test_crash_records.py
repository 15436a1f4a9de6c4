"""Tests of the records of requests that end upstreams."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest
import trio

from shallotbridge._generated import link
from shallotbridge.core import errors
from shallotbridge.traffic import crash_records

HARMFUL = 1


async def test_a_request_that_ended_three_upstreams_is_refused(autojump_clock):
    """Guards against a request that takes a service down (BUDGET)."""
    records = crash_records.CrashRecords()
    for crash_id in range(crash_records.CRASH_LIMIT):
        records.check(HARMFUL)
        records.on_crash([HARMFUL], crash_id)
    with pytest.raises(errors.QuarantinedError) as caught:
        records.check(HARMFUL)
    assert not caught.value.is_retry_safe
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    await trio.sleep(crash_records.RECORD_SECONDS)
    records.check(HARMFUL)
    assert not records.export()


async def test_one_crash_that_several_nodes_report_counts_once():
    """Guards against a request that is refused after a single crash."""
    records = crash_records.CrashRecords()
    for _ in range(5):
        records.on_crash([HARMFUL], 7)
        records.merge(records.export())
    assert records.crash_count(HARMFUL) == 1


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    crashes=strategies.lists(
        strategies.lists(strategies.integers(2, 6), max_size=5),
        min_size=crash_records.CRASH_LIMIT,
        max_size=8,
    )
)
def test_requests_beside_a_harmful_one_are_not_refused(crashes):
    """Guards against refusing a bystander of several crashes.

    The bystanders are sent again after each crash, some beside the harmful
    request once more, and complete if no crash interrupts them.
    """

    async def run():
        owners = [crash_records.CrashRecords() for _ in range(4)]
        for number, bystanders in enumerate(crashes):
            owner = owners[number % len(owners)]
            owner.on_crash([HARMFUL, *bystanders], number)
            for bystander in range(2, 7):
                if bystander not in bystanders:
                    owners[bystander % len(owners)].on_success(bystander)
            for first, second in itertools.permutations(owners, 2):
                first.merge(second.export())
        for owner in owners:
            assert owner.is_barred(HARMFUL)
            for bystander in range(2, 7):
                in_all = all(bystander in each for each in crashes)
                assert in_all or not owner.is_barred(bystander)

    trio.run(run)


async def test_a_frequent_request_is_not_refused_after_crashes_at_once(
    autojump_clock,
):
    """Guards against refusing a busy route whose requests are equal.

    Three upstreams end at the same moment for another reason, each with such
    a request in flight. It completed shortly before at one of the nodes.
    """
    owners = [crash_records.CrashRecords() for _ in range(4)]
    owners[3].on_success(HARMFUL)
    for number, owner in enumerate(owners[:3]):
        owner.on_crash([HARMFUL], number)
    for first, second in itertools.permutations(owners, 2):
        first.merge(second.export())
    for first, second in itertools.permutations(owners, 2):
        first.merge(second.export())
    assert not any(owner.is_barred(HARMFUL) for owner in owners)


async def test_records_are_bounded():
    """Guards against memory that grows with crashes or with requests."""
    records = crash_records.CrashRecords()
    for number in range(3 * crash_records.MAXIMUM_RECORDS):
        records.on_crash([number], number)
        records.on_success(-number)
    for number in range(2 * crash_records.MAXIMUM_SUCCESSES):
        records.on_success(-number)
    assert len(records) == crash_records.MAXIMUM_RECORDS
    assert len(records.export()) == crash_records.MAXIMUM_RECORDS
    assert (
        len(records._succeeded_at_by_fingerprint)
        == crash_records.MAXIMUM_SUCCESSES
    )


@pytest.mark.parametrize("age_ms", [1e12, float("nan"), float("inf"), -5.0])
async def test_a_record_with_an_odd_age_does_not_stay(autojump_clock, age_ms):
    """Guards against a record of a peer that never expires."""
    records = crash_records.CrashRecords()
    records.merge(
        [
            link.CrashRecord(
                fingerprint=HARMFUL,
                crash_ids=(1, 2, 3),
                is_cleared=False,
                age_ms=age_ms,
            )
        ]
    )
    await trio.sleep(crash_records.RECORD_SECONDS)
    records.check(HARMFUL)


async def test_news_does_not_keep_a_record_alive_by_itself(autojump_clock):
    """Guards against nodes that tell each other of an old crash forever."""
    first, second = crash_records.CrashRecords(), crash_records.CrashRecords()
    first.on_crash([HARMFUL], 1)
    for _ in range(20):
        await trio.sleep(crash_records.RECORD_SECONDS / 10)
        second.merge(first.export())
        first.merge(second.export())
    assert not first.export() and not second.export()


async def test_equal_tables_have_equal_digests():
    """Guards against nodes that send their records again and again."""
    first, second = crash_records.CrashRecords(), crash_records.CrashRecords()
    assert first.digest == 0
    for number in range(20):
        first.on_crash([number], number)
    second.merge(reversed(first.export()))
    assert first.digest == second.digest != 0
    second.on_success(3)
    assert first.digest != second.digest
    first.merge(second.export([3]))
    assert first.digest == second.digest


def _exchange(*tables):
    for first, second in itertools.permutations(tables, 2):
        first.merge(second.export())


async def test_a_refused_request_outlives_the_records_of_bystanders(
    autojump_clock,
):
    """Guards against a full table that forgets a refused request (BUDGET).

    Bystanders of later crashes have newer records.
    """
    records = crash_records.CrashRecords()
    for crash_id in range(crash_records.CRASH_LIMIT):
        records.on_crash([HARMFUL], crash_id)
    bystanders = iter(range(1000, 10_000))
    for crash_id in range(100, 100 + 2 * crash_records.MAXIMUM_RECORDS // 12):
        await trio.sleep(0.1)
        records.on_crash(list(itertools.islice(bystanders, 12)), crash_id)
    assert len(records) == crash_records.MAXIMUM_RECORDS
    assert records.is_barred(HARMFUL)


async def test_a_record_that_finds_no_room_is_no_news(autojump_clock):
    """Guards against nodes with full tables that pass on news endlessly."""
    other, full = crash_records.CrashRecords(), crash_records.CrashRecords()
    other.on_crash([HARMFUL], 1)
    await trio.sleep(1.0)
    full.on_crash(range(100, 100 + crash_records.MAXIMUM_RECORDS), 2)
    assert full.merge(other.export()) == set()


async def test_a_request_that_completed_before_its_crashes_is_refused(
    autojump_clock,
):
    """Guards against a completion that excuses all crashes for a time."""
    records = crash_records.CrashRecords()
    records.on_success(HARMFUL)
    for crash_id in range(5):
        await trio.sleep(2.0)
        records.on_crash([HARMFUL], crash_id)
    assert records.is_barred(HARMFUL)


async def test_a_completion_that_another_node_saw_excuses_no_later_crash(
    autojump_clock,
):
    """Guards against a completion before the crashes that clears them."""
    first, second = crash_records.CrashRecords(), crash_records.CrashRecords()
    second.on_success(HARMFUL)
    for crash_id in range(crash_records.CRASH_LIMIT):
        await trio.sleep(1.0)
        first.on_crash([HARMFUL], crash_id)
        _exchange(first, second)
    assert first.is_barred(HARMFUL) and second.is_barred(HARMFUL)


async def test_a_completion_excuses_earlier_crashes_only(autojump_clock):
    """Guards against a record that is cleared for as long as it lives."""
    first, second = crash_records.CrashRecords(), crash_records.CrashRecords()
    first.on_crash([HARMFUL], 1)
    _exchange(first, second)
    await trio.sleep(1.0)
    second.on_success(HARMFUL)
    _exchange(first, second)
    assert first.crash_count(HARMFUL) == second.crash_count(HARMFUL) == 0
    for crash_id in range(2, 2 + crash_records.CRASH_LIMIT):
        await trio.sleep(1.0)
        first.on_crash([HARMFUL], crash_id)
        _exchange(first, second)
    assert first.is_barred(HARMFUL) and second.is_barred(HARMFUL)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["crash", "success", "exchange"]),
            strategies.integers(0, 2),
            strategies.integers(0, 2),
            strategies.integers(0, 5),
        ),
        max_size=30,
    )
)
def test_tables_agree_after_any_order_of_exchanges(steps):
    """Guards against nodes that never agree on which requests to refuse."""

    async def run():
        tables = [crash_records.CrashRecords() for _ in range(3)]
        for kind, first, second, number in steps:
            if kind == "crash":
                tables[first].on_crash([number], 10 * first + second)
            elif kind == "success":
                tables[first].on_success(number)
            else:
                tables[first].merge(tables[second].export())
        for _ in range(2):
            _exchange(*tables)
        assert len({table.digest for table in tables}) == 1

    trio.run(run)


async def test_an_older_build_clears_and_blames_as_far_as_it_can():
    """Guards against records that builds without ``completions`` garble."""
    records = crash_records.CrashRecords()

    def merge(crash_ids, *, is_cleared):
        records.merge(
            [
                link.CrashRecord(
                    fingerprint=HARMFUL,
                    crash_ids=crash_ids,
                    is_cleared=is_cleared,
                    age_ms=0.0,
                )
            ]
        )

    merge((1, 2, 3), is_cleared=False)
    assert records.is_barred(HARMFUL)
    merge((1, 2, 3), is_cleared=True)
    assert not records.is_barred(HARMFUL)
    (exported,) = records.export()
    assert exported.is_cleared and not exported.crash_ids


@pytest.mark.parametrize("completions", [-1, 2**40])
async def test_a_record_with_an_odd_number_of_completions_is_ignored(
    completions,
):
    """Guards against a peer's record that no other one can replace."""
    records = crash_records.CrashRecords()
    records.merge(
        [
            link.CrashRecord(
                fingerprint=HARMFUL,
                crash_ids=(1,),
                is_cleared=False,
                age_ms=0.0,
                completions=completions,
            )
        ]
    )
    assert not len(records)


def _make_fingerprints(**changed):
    request = {
        "method": "GET",
        "target": "/parcel/7?page=1",
        "host": "shop.example",
        "caller_service": "lab",
        "body": b"",
    }
    return crash_records.make_fingerprints(**(request | changed))


@pytest.mark.parametrize(
    "changed",
    [
        {"target": "/parcel/8?page=1"},
        {"host": "other.example"},
        {"caller_service": "desk"},
        {"body": b"7"},
    ],
)
async def test_a_request_that_differs_is_not_refused(changed):
    """Guards against an identity that is wider than path, caller and body."""
    records = crash_records.CrashRecords()
    for crash_id in range(crash_records.CRASH_LIMIT):
        records.on_crash(_make_fingerprints(), crash_id)
    assert records.is_barred(*_make_fingerprints())
    assert not records.is_barred(*_make_fingerprints(**changed))


async def test_a_query_beside_others_that_complete_is_refused(autojump_clock):
    """Guards against completions of other queries that excuse a harmful one.

    The others stay usable.
    """
    records = crash_records.CrashRecords()
    for crash_id in range(crash_records.CRASH_LIMIT):
        records.on_crash(_make_fingerprints(), crash_id)
        await trio.sleep(1.0)
        other = _make_fingerprints(target=f"/parcel/7?page={crash_id + 2}")
        records.on_success(*other)
        assert not records.is_barred(*other)
    assert records.is_barred(*_make_fingerprints())
