"""A SIGHUP that comes while a node starts ends it.

The settings of all machines change three times while they start. The platform
writes the file and sends SIGHUP each time, and starts a process that has ended
again.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import harness  # noqa: E402

MACHINES = 3
CHANGES = 3
# Between the start of a process and the change.
DELAY_SECONDS = 0.15
RESTART_SECONDS = 0.3
# RULES.md, "Fault".
OWN_ENDS = 3
FAULTY_MACHINES = 2


async def run_machine(node, record, trouble, ends_by_name):
    """Start a node, change its settings three times, restart it if it ends."""
    node.start()
    started_at = time.monotonic()
    changes = 0
    until = started_at + 15
    while time.monotonic() < until:
        if node.process.poll() is not None:
            ends_by_name[node.name] += 1
            record(f"{node.name} has ended: {node.process.returncode}")
            await asyncio.sleep(RESTART_SECONDS)
            node.start()
            started_at = time.monotonic()
            record(f"{node.name} starts again")
        elif (
            trouble
            and changes < CHANGES
            and time.monotonic() - started_at >= DELAY_SECONDS
        ):
            changes += 1
            node.write_settings()
            node.send_signal(signal.SIGHUP)
            record(
                f"{node.name}: the settings file is written and SIGHUP sent "
                f"{time.monotonic() - started_at:.3f} s after the start"
            )
            await asyncio.sleep(DELAY_SECONDS)
        await asyncio.sleep(0.01)


async def case(directory, record, trouble):
    prefix = harness.find_network()
    store = harness.Store(f"{prefix}.99")
    await store.start()
    store.publish(7, [harness.rule("lookup", "idempotent")])
    nodes = []
    try:
        for number, zone in zip(range(1, MACHINES + 1), "abc"):
            upstream = harness.Upstream(f"{prefix}.{number}", zone, record)
            await upstream.start()
            store.register(upstream)
            nodes.append(
                harness.Node(directory, upstream.address, zone, store)
            )
        ends_by_name = {node.name: 0 for node in nodes}
        await asyncio.gather(
            *(
                run_machine(node, record, trouble, ends_by_name)
                for node in nodes
            )
        )
        for node in nodes:
            record(f"{node.name} is ready: {await node.is_ready()}")
    finally:
        for node in nodes:
            node.stop()
    faulty = sum(ends >= OWN_ENDS for ends in ends_by_name.values())
    record(f"ends of processes of their own: {ends_by_name}")
    return harness.BROKEN if faulty >= FAULTY_MACHINES else harness.HELD


harness.run_case(case, pathlib.Path(__file__).resolve().parent)
