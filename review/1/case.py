"""Upstreams drain one after the other while readers are partitioned."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402

LAYOUT = [
    (zone, service)
    for zone in ("zone-a", "zone-b", "zone-c")
    for service in ("stock", "stock", "orders")
]
DRAIN_TIMEOUT_SECONDS = 2.0
# The upstream goes on for a little longer than that, then exits.
EXIT_AFTER_SECONDS = 2.4
# Time between two upstreams of the release.
RELEASE_GAP_SECONDS = 0.8
CUT_SECONDS = 5.5
# Each round cuts at another time after the first upstream drains.
CUT_DELAYS_SECONDS = (0.1, 0.3, 0.6)
CLIENTS_PER_MACHINE = 2
PAUSE_SECONDS = 0.02


async def case(fleet, is_troubled):
    fleet.store.put(
        "op/config",
        harness.make_configuration(
            5,
            [
                harness.make_rule("/hold/", "stock", kind="non_idempotent"),
                harness.make_rule("/order/", "orders", kind="non_idempotent"),
            ],
            ["stock", "orders"],
        ),
    )
    await fleet.start()
    await asyncio.sleep(4.0)
    breaks = []
    for number, cut_delay in enumerate(CUT_DELAYS_SECONDS, start=1):
        breaks += await _run_round(fleet, is_troubled, number, cut_delay)
    return breaks


async def _run_round(fleet, is_troubled, number, cut_delay):
    record = fleet.record
    readers = fleet.find_readers("servers/")
    calm = [each for each in fleet.machines if each not in readers]
    leaving = [each for each in calm if each.upstream.service == "stock"][:2]
    began = record.now()
    answers = []
    clients = [
        asyncio.ensure_future(
            _run_client(
                fleet, machine, f"{number}-{index}", began + 6.0, answers
            )
        )
        for machine in calm
        for index in range(CLIENTS_PER_MACHINE)
    ]
    exits = [_exit_after_drain(fleet, leaving[0])]
    await asyncio.sleep(cut_delay)
    if is_troubled:
        fleet.cut(readers)
    await asyncio.sleep(RELEASE_GAP_SECONDS - cut_delay)
    second = leaving[1].upstream
    acked_at = record.now()
    exits.append(_exit_after_drain(fleet, leaving[1]))
    await asyncio.gather(*clients)
    await asyncio.gather(*exits)
    if is_troubled:
        await asyncio.sleep(max(0.0, began + CUT_SECONDS - record.now()))
        fleet.heal(readers)
    lost = sum(status not in (200, 503) for status, _ in answers)
    record.add(
        f"round {number}: {len(answers)} requests, {lost} without an answer "
        "of an upstream and without the promise that they were not run"
    )
    for machine in leaving:
        await fleet.replace_upstream(machine)
    await asyncio.sleep(6.0)
    return [
        f"round {number}: {request_id} reached {second.upstream_id} "
        f"{at - acked_at:.3f} s after the store acknowledged that it drains"
        for at, request_id in second.arrivals
        if at > acked_at + DRAIN_TIMEOUT_SECONDS
    ]


def _exit_after_drain(fleet, machine):
    """Report that an upstream drains; return the task that ends it."""
    upstream = machine.upstream
    fleet.report_draining(machine)

    async def end():
        await asyncio.sleep(EXIT_AFTER_SECONDS)
        upstream.stop()
        fleet.store.delete(f"servers/{upstream.upstream_id}")

    return asyncio.ensure_future(end())


async def _run_client(fleet, machine, name, until, answers):
    client = harness.Client(machine, fleet.record)
    number = 0
    while fleet.record.now() < until:
        number += 1
        answers.append(
            await client.request(
                "POST",
                "/hold/1",
                f"{machine.number}-{name}-{number}",
                body=b"piece",
            )
        )
        await asyncio.sleep(PAUSE_SECONDS)
    client.close()


harness.main(case, LAYOUT, FOLDER)
