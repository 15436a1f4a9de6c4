"""Tests of which requests are blamed for the end of an upstream."""

import pytest
import trio

from shallotbridge.traffic import crash_attribution
from shallotbridge.traffic import crash_records

HARMFUL = 1
BYSTANDER = 2


@pytest.fixture
def records():
    return crash_records.CrashRecords()


@pytest.fixture
def attribution(records):
    return crash_attribution.CrashAttribution(
        known_crashes=records,
        on_records_changed=lambda fingerprints: None,
        record=lambda action, **fields: None,
    )


async def test_a_reset_before_a_crash_does_not_discard_its_evidence(
    records, attribution, autojump_clock
):
    """Guards against a time limit that an earlier reset has started.

    The upstream is full and resets connections; the health check that shows
    its crash comes late.
    """
    attribution.on_sent("reset", (BYSTANDER,))
    attribution.on_connection_lost("reset")
    await trio.sleep(0.01)
    attribution.on_alive("u1", trio.current_time())
    await trio.sleep(1.9)
    attribution.on_sent("harmful", (HARMFUL,))
    attribution.on_connection_lost("harmful")
    await trio.sleep(0.5)
    attribution.on_crash("u1", 1, "no listener", is_planned=False)
    assert records.crash_count(HARMFUL) == 1
    assert records.crash_count(BYSTANDER) == 0


async def test_only_a_later_health_check_shows_that_a_loss_was_a_reset(
    records, attribution, autojump_clock
):
    """Guards against a health check that was answered before the crash."""
    asked_at = trio.current_time()
    attribution.on_sent("harmful", (HARMFUL,))
    await trio.sleep(0.1)
    attribution.on_connection_lost("harmful")
    attribution.on_alive("u1", asked_at)
    attribution.on_crash("u1", 1, "no listener", is_planned=False)
    assert records.crash_count(HARMFUL) == 1


async def test_requests_with_an_answer_are_not_blamed(
    records, attribution, autojump_clock
):
    """Guards against bystanders that pay for a crash beside them.

    One has its answer, one did not run, and one was in flight at a crash
    that other requests were blamed for already.
    """
    attribution.on_sent("answered", (2,))
    attribution.on_sent("refused", (3,))
    attribution.on_answered("answered")
    attribution.on_not_run("refused")
    attribution.on_sent("harmful", (HARMFUL,))
    attribution.on_sent("beside", (4,))
    attribution.on_connection_lost("harmful")
    attribution.on_crash("u1", 1, "no listener", is_planned=False)
    attribution.on_connection_lost("beside")
    attribution.on_crash("u1", 1, "no listener", is_planned=False)
    counts = [records.crash_count(each) for each in (HARMFUL, 2, 3, 4)]
    assert counts == [1, 0, 0, 1]


async def test_a_withdrawn_request_is_blamed_only_while_it_may_run(
    records, attribution, autojump_clock
):
    """Guards against a client that leaves early or long before the crash."""
    for number, client_leaves_before in ((1, 3.0), (2, 0.2)):
        attribution.on_sent(number, (number,))
        attribution.on_withdrawn(number)
        await trio.sleep(client_leaves_before)
    attribution.on_alive("u1", trio.current_time())
    attribution.on_crash("u1", 1, "no listener", is_planned=False)
    assert [records.crash_count(each) for each in (1, 2)] == [0, 1]


async def test_an_upstream_that_ends_again_before_it_is_registered_counts(
    records, attribution, autojump_clock
):
    """Guards against crashes of one entry that count as one.

    The upstream is back under its id; its new start is not published yet.
    """
    for crash_count in range(1, crash_records.CRASH_LIMIT + 1):
        attribution.on_sent("harmful", (HARMFUL,))
        attribution.on_connection_lost("harmful")
        attribution.on_crash("u1", 1, "no listener", is_planned=False)
        attribution.on_crash("u1", 1, "no listener", is_planned=False)
        assert records.crash_count(HARMFUL) == crash_count
        await trio.sleep(0.5)
        attribution.on_alive("u1", trio.current_time())


async def test_a_silent_crash_counts_once(
    records, attribution, autojump_clock
):
    """Guards against bystanders that one crash is counted for twice.

    The upstream answers no health check; later its connections end.
    """
    attribution.on_sent("before", (BYSTANDER,))
    attribution.on_crash("u1", 1, "silent", is_planned=False, is_silent=True)
    await trio.sleep(0.1)
    attribution.on_sent("after", (BYSTANDER,))
    attribution.on_connection_lost("before")
    attribution.on_connection_lost("after")
    attribution.on_crash("u1", 1, "no listener", is_planned=False)
    assert records.crash_count(BYSTANDER) == 1


@pytest.mark.parametrize("is_known", [False, True])
async def test_a_replaced_upstream_counts_once(
    records, attribution, autojump_clock, is_known
):
    """Guards against a crash that counts twice, or not at all.

    A health check may show it before its successor is registered. Losses
    long before the successor is registered were resets.
    """
    attribution.on_sent("reset", (BYSTANDER,))
    attribution.on_connection_lost("reset")
    await trio.sleep(crash_attribution.RESTART_NOTICE_SECONDS)
    attribution.on_alive("u1", trio.current_time())
    await trio.sleep(0.1)
    attribution.on_sent("harmful", (HARMFUL,))
    attribution.on_connection_lost("harmful")
    if is_known:
        attribution.on_crash("u1", 1, "no listener", is_planned=False)
        attribution.on_sent("next", (BYSTANDER,))
        attribution.on_connection_lost("next")
    else:
        attribution.on_alive("u1", trio.current_time() + 0.1)
    attribution.on_replaced("u1", 1)
    assert records.crash_count(HARMFUL) == 1
    assert records.crash_count(BYSTANDER) == 0


async def test_a_crash_under_overload_leaves_room_for_other_records(
    records, attribution, autojump_clock
):
    """Guards against a table full of the bystanders of one crash."""
    for crash_id in range(crash_records.CRASH_LIMIT - 1):
        records.on_crash([HARMFUL], crash_id)
    for number in range(2000):
        attribution.on_sent(number, (10_000 + number, 20_000 + number))
        attribution.on_withdrawn(number)
    attribution.on_crash("u1", 1, "no listener", is_planned=False)
    assert records.crash_count(HARMFUL) == crash_records.CRASH_LIMIT - 1
    assert len(records) < crash_records.MAXIMUM_RECORDS


async def test_a_refused_health_check_alone_blames_no_running_request(
    records, attribution, autojump_clock
):
    """Guards against blame at a full upstream that refuses connections.

    The running request stays a candidate for a later crash.
    """
    attribution.on_sent("running", (BYSTANDER,))
    attribution.on_crash("u1", 1, "refused", is_planned=False)
    assert records.crash_count(BYSTANDER) == 0
    await trio.sleep(0.1)
    attribution.on_connection_lost("running")
    attribution.on_crash("u1", 1, "no listener", is_planned=False)
    assert records.crash_count(BYSTANDER) == 1
