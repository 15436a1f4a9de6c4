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
