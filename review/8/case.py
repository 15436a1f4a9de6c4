"""A route stays refused for good after its upstream was slow for a while.

The upstream of a service is slow for 9 s. Before it is fast again, the operator
lowers the time-out of the route that leads there. Afterwards nothing is
disturbed any more.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import harness  # noqa: E402

CALM_SECONDS = 4.0
USUAL_SECONDS = 4.0
SLOWNESS = 12.0
SLOW_SECONDS = 9.0
# After the upstream is fast again; contact_window is 3 s.
SETTLING_SECONDS = 6.0
STEADY_SECONDS = 20.0
WORK_MS = 150
DEADLINE_MS = 4000
CLIENTS_PER_ROUTE = 9
# RULES.md: 20 or more requests, less than a quarter as often.
MINIMUM_COUNT = 20


async def send(node, record, results, method, route, until):
    """Send requests on a kept connection until a time."""
    connection = None
    while time.monotonic() < until:
        request_id = harness.new_id()
        sent_at = time.monotonic()
        answer = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                if connection is None:
                    connection = await asyncio.open_connection(
                        node.address, harness.OUTBOUND_PORT
                    )
                connection[1].write(
                    harness.encode_request(
                        request_id,
                        method,
                        f"/{route}/x?work={WORK_MS}",
                        DEADLINE_MS,
                    )
                )
                answer = await harness.read_answer(connection[0])
        except (TimeoutError, OSError) as error:
            record(f"client gives {route} {request_id} up: {error!r}")
        if answer is None and connection is not None:
            connection[1].transport.abort()
            connection = None
        pause = 0.1
        if answer is not None:
            record(
                f"client gets {answer[0]} for {route} {request_id} from "
                f"{node.name}"
                + ("" if answer[0] == 200 else f": {answer[2][:120]!r}")
            )
            if answer[0] == 503:
                pause = float(answer[1].get("retry-after", pause))
        results.append((route, sent_at, answer and answer[0]))
        await asyncio.sleep(pause)
    if connection is not None:
        connection[1].transport.abort()


def make_rules(payment_timeout):
    return [
        harness.rule("lookup", "idempotent", timeout="1000ms"),
        harness.rule(
            "payment",
            "non_idempotent",
            timeout=payment_timeout,
            target="250ms",
            service="lab",
        ),
    ]


async def case(directory, record, trouble):
    prefix = harness.find_network()
    store = harness.Store(f"{prefix}.99")
    await store.start()
    services = (harness.SERVICE, "lab")
    # The route of the payments is added by the second configuration.
    store.publish(7, make_rules("3000ms")[:1], services=services)
    nodes = []
    upstreams = []
    results = []
    try:
        for number, zone in enumerate("abca", 1):
            upstream = harness.Upstream(
                f"{prefix}.{number}",
                zone,
                record,
                service=harness.SERVICE if number <= 3 else "lab",
            )
            await upstream.start()
            store.register(upstream)
            upstreams.append(upstream)
            node = harness.Node(directory, upstream.address, zone, store)
            node.start()
            nodes.append(node)
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(1)
        store.publish(9, make_rules("3000ms"), services=services)
        await asyncio.sleep(CALM_SECONDS)
        steady_at = (
            time.monotonic() + USUAL_SECONDS + SLOW_SECONDS + SETTLING_SECONDS
        )
        until = steady_at + STEADY_SECONDS
        clients = [
            asyncio.create_task(
                send(nodes[number % 3], record, results, method, route, until)
            )
            for method, route in (("DELETE", "payment"), ("GET", "lookup"))
            for number in range(CLIENTS_PER_ROUTE)
        ]
        await asyncio.sleep(USUAL_SECONDS)
        if trouble:
            upstreams[3].slowness = SLOWNESS
            record(f"upstream {upstreams[3].id} is slow")
        await asyncio.sleep(SLOW_SECONDS - 1)
        store.publish(12, make_rules("800ms"), services=services)
        record("configuration 12: the time-out of the payments is 800 ms")
        await asyncio.sleep(1)
        upstreams[3].slowness = 1.0
        record(f"upstream {upstreams[3].id} has its usual speed")
        await asyncio.gather(*clients)
    finally:
        for node in nodes:
            node.stop()
    counts = {}
    for route in ("lookup", "payment"):
        statuses = [
            status
            for name, sent_at, status in results
            if name == route and sent_at >= steady_at
        ]
        counts[route] = (statuses.count(200), len(statuses))
    record(f"served of sent in steady state: {counts}")
    first_share = counts["lookup"][0] / max(1, counts["lookup"][1])
    added_share = counts["payment"][0] / max(1, counts["payment"][1])
    is_broken = (
        counts["payment"][1] >= MINIMUM_COUNT
        and added_share < first_share / 4
    )
    record("CONFIG is broken" if is_broken else "CONFIG holds")
    return harness.BROKEN if is_broken else harness.HELD


harness.run_case(case, pathlib.Path(__file__).resolve().parent)
