"""Golden sessions of failure domains, planned stops and pauses."""

import trio

from tests.golden import harness

THREE_DOMAINS = {
    "example": "nileweave",
    "hosts": (
        "cairo-1: showroom 2, cutting-floor 1; "
        "cairo-2: showroom 2, cutting-floor 1; "
        "cairo-3: showroom 2"
    ),
    "limits": {"ramp_seconds": 8.0, "slots": 4, "queue": 4},
    "behaviour": {"service_seconds": 0.1},
}
ROUTES = ["browse-stock", "reserve-remnant"]


async def take_domain_out_and_back(mesh):
    """Take cairo-2 out of service and back under load, without faults."""
    mesh.history.has_only_planned_stops = True
    async with mesh.load(rate=25, routes=ROUTES, keys=True):
        await trio.sleep(4)
        mesh.phase("normal service")
        mesh.note("operator takes cairo-2 out")
        mesh.publish(out_of_service=["cairo-2"])
        await mesh.converge()
        await trio.sleep(6)
        mesh.phase("cairo-2 is out")
        mesh.note("operator takes cairo-2 back; full load enters there")
        mesh.publish(out_of_service=[])
        await mesh.converge()
        async with mesh.load(
            rate=35,
            routes=["browse-stock"],
            entries=lambda: mesh.find_host_ids(domain="cairo-2"),
        ):
            await trio.sleep(5)
    mesh.phase("cairo-2 is back")


def test_a_failure_domain_leaves_and_returns(golden):
    """P4, P5, P7 and P10 hold while a domain leaves and returns."""

    async def script(mesh):
        await mesh.start_fleet()
        await take_domain_out_and_back(mesh)

    golden(script, seed=401, **THREE_DOMAINS)


def test_a_domain_leaves_while_nodes_lack_the_platform(golden):
    """P5 and P11 hold on nodes that can only reach other nodes."""

    async def script(mesh):
        await mesh.start_fleet()
        mesh.note("cairo-2 and cairo-3 lose the platform")
        mesh.hosts_without_platform.update(
            mesh.find_host_ids(domain="cairo-2")
        )
        mesh.hosts_without_platform.update(
            mesh.find_host_ids(domain="cairo-3")
        )
        await take_domain_out_and_back(mesh)

    golden(script, seed=402, **THREE_DOMAINS)


def test_a_paused_node_wakes_in_a_domain_that_is_out(golden):
    """P1, P5 and P8 hold when a paused process resumes.

    For a minute, the monotonic clock of the node stops, and its connections,
    messages and platform responses are held back. Its trio timers continue,
    because they cannot be stopped separately from those of other nodes:
    deadlines and timeouts that would expire when a real process resumes
    expire during the pause here.
    """

    async def script(mesh):
        await mesh.start_fleet()
        paused = "c2-showroom-1"
        mesh.note(f"{paused} pauses with requests under way")
        async with mesh.load(rate=15, routes=ROUTES, keys=True):
            await trio.sleep(1)
            mesh.process(paused).pause()
            await trio.sleep(2)
        others = [each for each in mesh.nodes_by_id if each != paused]
        mesh.note("operator takes cairo-2 out")
        mesh.publish(out_of_service=["cairo-2"])
        await mesh.converge(others)
        await trio.sleep(57)
        mesh.phase("the pause")
        async with trio.open_nursery() as nursery:
            for route in ROUTES * 3:
                nursery.start_soon(mesh.send_request, route, paused)
            await trio.sleep(0.1)
            mesh.note(f"{paused} goes on; requests wait for it")
            mesh.process(paused).resume()
        await mesh.converge()
        assert mesh.nodes_by_id[paused].status()["counters"]["pauses"] == 1
        mesh.phase("after the pause")

    golden(script, seed=601, **THREE_DOMAINS)


def test_planned_stops_of_a_node_and_an_upstream(golden):
    """P7, P8, P9 and P10 hold during planned stops under load."""

    async def script(mesh):
        await mesh.start_fleet()
        mesh.history.has_only_planned_stops = True
        stopped = "c1-showroom-1"
        running = [each for each in mesh.find_host_ids() if each != stopped]
        keys = [f"stop-{number}" for number in range(12)]
        for key in keys:
            await mesh.send_request("reserve-remnant", key=key)
        connections = [await mesh.connect(stopped) for _ in range(3)]
        async with mesh.load(
            rate=25, routes=ROUTES, keys=True, entries=lambda: running
        ):
            await trio.sleep(2)
            mesh.note(f"{stopped} stops with requests on its connections")
            async with trio.open_nursery() as nursery:
                for stream in connections:
                    nursery.start_soon(
                        lambda stream=stream: mesh.send_request(
                            "browse-stock", stopped, stream=stream
                        )
                    )
                await trio.sleep(0.01)
                await mesh.stop_node(stopped)
            mesh.phase("the stop of a node")
            for key in keys:
                retry = await mesh.send_request(
                    "reserve-remnant", "c2-showroom-1", key=key, attempt=2
                )
                assert retry.response_summary in (
                    "200 run",
                    "409 unknown SB-3009",
                )
                assert not mesh.history.count_runs(retry), "P8"
            mesh.phase("repetitions after the stop")
        async with mesh.load(
            rate=25, routes=ROUTES, keys=True, entries=lambda: running
        ):
            await trio.sleep(1)
            mesh.note("the upstream of c3-showroom-1 leaves")
            mesh.mark_upstream_leaving("c3-showroom-1")
            await trio.sleep(6)
        mesh.phase("the stop of an upstream")

    golden(script, seed=1001, **THREE_DOMAINS)


def test_a_partition_meets_a_cold_start(golden):
    """P4 holds when a partitioned half of the fleet restarts cold."""

    async def script(mesh):
        await mesh.start_fleet()
        isolated = mesh.find_host_ids(domain="cairo-1")
        others = [
            each for each in mesh.find_host_ids() if each not in isolated
        ]
        async with mesh.load(rate=20, routes=ROUTES, keys=True):
            async with mesh.load(
                rate=30, routes=["browse-stock"], entries=lambda: isolated
            ):
                await trio.sleep(5)
            mesh.phase("normal service")
            mesh.note("cairo-1 is cut off; its upstreams restart cold")
            mesh.set_partition(isolated, others)
            mesh.hosts_without_platform.update(isolated)
            for host_id in isolated:
                mesh.upstreams_by_id[host_id].crash()
            async with mesh.load(
                rate=30, routes=["browse-stock"], entries=lambda: isolated
            ):
                await trio.sleep(8)
            mesh.phase("split")
            mesh.note("the cut ends; an upstream of cairo-2 restarts cold")
            mesh.set_partition(isolated, others, is_partitioned=False)
            mesh.hosts_without_platform.clear()
            mesh.upstreams_by_id["c2-showroom-1"].crash()
            mesh.publish(change=harness.with_deadlines(0.7))
            await mesh.converge()
            await trio.sleep(4)
        mesh.phase("together")

    golden(script, seed=1102, **THREE_DOMAINS)
