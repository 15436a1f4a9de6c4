"""Configurations come in quick succession while readers are partitioned."""

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
CONFIG_APPLY_SECONDS = 2.0
# Time between two configurations.
CHANGE_GAP_SECONDS = 0.33
CUT_SECONDS = 5.5
# Each round cuts at another time after the first of the two configurations.
CUT_DELAYS_SECONDS = (0.1, 0.2, 0.3)
CLIENTS_PER_MACHINE = 2
PAUSE_SECONDS = 0.02


class Operator:
    """Writes configurations; each second one moves a route."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._version = 3
        self.service = "stock"

    def publish(self):
        """Publish the next version; return when it was acknowledged."""
        self._version += 2
        self._fleet.store.put(
            "op/config",
            harness.make_configuration(
                self._version,
                [
                    harness.make_rule("/browse/", self.service),
                    harness.make_rule(
                        "/order/",
                        "orders",
                        kind="non_idempotent",
                        timeout_ms=800 + self._version,
                    ),
                ],
                ["stock", "orders"],
            ),
        )
        acked_at = self._fleet.record.now()
        self._fleet.record.add(
            f"acked  version {self._version}: /browse/ goes to {self.service}"
        )
        return acked_at


async def case(fleet, is_troubled):
    operator = Operator(fleet)
    operator.publish()
    await fleet.start()
    await asyncio.sleep(4.0)
    breaks = []
    for number, cut_delay in enumerate(CUT_DELAYS_SECONDS, start=1):
        breaks += await _run_round(
            fleet, operator, is_troubled, number, cut_delay
        )
    return breaks


async def _run_round(fleet, operator, is_troubled, number, cut_delay):
    record = fleet.record
    readers = fleet.find_readers("op/")
    calm = [each for each in fleet.machines if each not in readers]
    began = record.now()
    results = []
    clients = [
        asyncio.ensure_future(
            _run_client(
                fleet, machine, f"{number}-{index}", began + 5.0, results
            )
        )
        for machine in calm
        for index in range(CLIENTS_PER_MACHINE)
    ]
    await asyncio.sleep(0.2)
    first_at = operator.publish()
    await asyncio.sleep(cut_delay)
    if is_troubled:
        fleet.cut(readers)
        cut_at = record.now()
    await asyncio.sleep(max(0.0, first_at + CHANGE_GAP_SECONDS - record.now()))
    old = operator.service
    operator.service = {"stock": "orders", "orders": "stock"}[old]
    acked_at = operator.publish()
    await asyncio.gather(*clients)
    if is_troubled:
        await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - record.now()))
        fleet.heal(readers)
    await asyncio.sleep(6.0)
    return [
        f"round {number}: {request_id}, sent {sent_at - acked_at:.3f} s after "
        f"the acknowledgement, was run by {old}"
        for sent_at, request_id, status, body in results
        if sent_at > acked_at + CONFIG_APPLY_SECONDS
        and status == 200
        and body.split()[0] == old
    ]


async def _run_client(fleet, machine, name, until, results):
    client = harness.Client(machine, fleet.record)
    number = 0
    while fleet.record.now() < until:
        number += 1
        request_id = f"{machine.number}-{name}-{number}"
        sent_at = fleet.record.now()
        status, body = await client.request("GET", "/browse/1", request_id)
        results.append((sent_at, request_id, status, body))
        await asyncio.sleep(PAUSE_SECONDS)
    client.close()


harness.main(case, LAYOUT, FOLDER)
