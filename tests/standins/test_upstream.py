"""Tests of the simulated upstream over in-memory streams."""

import json
import random

import trio
import trio.testing

from standins import upstream


def _make(**behaviour):
    return upstream.Upstream(
        name="u",
        behaviour=upstream.Behaviour(**behaviour),
        random=random.Random(3),
        is_warm=behaviour.pop("is_warm", False),
    )


def _connect(nursery, made):
    client, server = trio.testing.memory_stream_pair()
    nursery.start_soon(made.handle, server)
    return client


async def _exchange(client, head, body=b"", headers=""):
    await client.send_all(
        f"{head} HTTP/1.1\r\nhost: u\r\n{headers}"
        f"content-length: {len(body)}\r\n\r\n".encode() + body
    )
    received = b""
    while b"\r\n\r\n" not in received:
        data = await client.receive_some(65536)
        if not data:
            return None
        received += data
    return received


async def test_requests_above_the_slots_are_refused(autojump_clock, nursery):
    """Guards against a simulated upstream without load shedding."""
    made = _make(slots=2, spread=0.0)
    responses = []

    async def run():
        responses.append(
            await _exchange(_connect(nursery, made), "GET /showroom/stock")
        )

    async with trio.open_nursery() as calls:
        for _ in range(3):
            calls.start_soon(run)
    refused = [each for each in responses if b"x-refused: overloaded" in each]
    assert (len(refused), made.peak_in_use) == (1, 2)


async def test_crash_resets_running_requests_and_changes_the_instance(
    autojump_clock, nursery
):
    """Guards against crashes that nodes cannot detect."""
    made = _make(spread=0.0)
    before = made.instance_id
    responses = []

    async def run():
        responses.append(await _exchange(_connect(nursery, made), "GET /a"))

    nursery.start_soon(run)
    await trio.testing.wait_all_tasks_blocked()
    crashing = _connect(nursery, made)
    assert await _exchange(crashing, "GET /b", b"", "x-crash: 1\r\n") is None
    await trio.testing.wait_all_tasks_blocked()
    assert responses == [None]
    assert made.instance_id != before
    assert await _connect(nursery, made).receive_some() == b""
    await trio.sleep(made.behaviour.restart_seconds + 0.1)
    health = await _exchange(_connect(nursery, made), "GET /health")
    assert made.instance_id.encode() in health


async def test_cold_upstream_crashes_under_full_load(autojump_clock, nursery):
    """Guards against a simulation in which slow start has no effect."""
    made = _make(service_seconds=0.2)

    async def run():
        client = _connect(nursery, made)
        while await _exchange(client, "GET /a") is not None:
            await trio.sleep(0.001)

    async with trio.open_nursery() as calls:
        for _ in range(6):
            calls.start_soon(run)
    assert made.crashes == 1


async def test_runs_are_recorded_and_cancelled_on_close(
    autojump_clock, nursery
):
    """Guards against unrecorded runs, which would hide duplicates (P8)."""
    made = _make(finish_cancelled_ratio=0.0)
    client = _connect(nursery, made)
    headers = "idempotency-key: k\r\nx-request-id: r\r\n"
    await _exchange(client, "POST /a", b"1", headers)
    await _exchange(client, "POST /a", b"1", headers)
    with trio.move_on_after(0.001):
        await _exchange(client, "POST /a", b"1", headers)
    await client.aclose()
    await trio.testing.wait_all_tasks_blocked()
    response = await _exchange(_connect(nursery, made), "GET /control/ran")
    ran = json.loads(response.partition(b"\r\n\r\n")[2])
    assert (ran["by_key"], ran["completed"]) == ({"k": 3}, {"r": 2})
    assert made.in_use == 0


async def test_responses_are_mismatched_and_requests_refused_while_cold(
    autojump_clock, nursery
):
    """Guards against a simulation without the faults that other tests need.

    These are mismatched responses (P6) and refusals during slow start.
    """
    made = _make(crossed_ratio=1.0, refuses_when_cold=True)
    client = _connect(nursery, made)
    await _exchange(client, "GET /a", headers="x-request-id: r1\r\n")
    nursery.start_soon(_exchange, _connect(nursery, made), "GET /c")
    await trio.testing.wait_all_tasks_blocked()
    refused = await _exchange(_connect(nursery, made), "GET /d")
    assert b"x-refused: cold" in refused
    await trio.sleep(made.behaviour.warm_seconds)
    swapped = await _exchange(client, "GET /b", headers="x-request-id: r2\r\n")
    assert b"x-request-id: r2" not in swapped
