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


async def out_and_back(mesh):
    """Take cairo-2 out and back under load; nothing else fails."""
    mesh.history.planned_only = True
    async with mesh.load(rate=25, routes=ROUTES, keys=True):
        await trio.sleep(4)
        mesh.phase("normal service")
        mesh.note("operator takes cairo-2 out")
        mesh.publish(out=["cairo-2"])
        await mesh.converge()
        await trio.sleep(6)
        mesh.phase("cairo-2 is out")
        mesh.note("operator takes cairo-2 back; full load enters there")
        mesh.publish(out=[])
        await mesh.converge()
        async with mesh.load(
            rate=35,
            routes=["browse-stock"],
            entries=lambda: mesh.ids(domain="cairo-2"),
        ):
            await trio.sleep(5)
    mesh.phase("cairo-2 is back")


def test_a_failure_domain_leaves_and_returns(golden):
    """Guards P4, P5, P7, P10 while a domain leaves and returns."""

    async def script(mesh):
        await mesh.start_fleet()
        await out_and_back(mesh)

    golden(script, seed=401, **THREE_DOMAINS)


def test_a_domain_leaves_while_nodes_lack_the_platform(golden):
    """Guards P5, P11 on nodes that only reach other nodes."""

    async def script(mesh):
        await mesh.start_fleet()
        mesh.note("cairo-2 and cairo-3 lose the platform")
        mesh.without_platform.update(mesh.ids(domain="cairo-2"))
        mesh.without_platform.update(mesh.ids(domain="cairo-3"))
        await out_and_back(mesh)

    golden(script, seed=402, **THREE_DOMAINS)


def test_a_paused_node_wakes_in_a_domain_that_is_out(golden):
    """Guards P1, P5, P8 against a process that wakes and acts.

    The node's monotonic clock stands still, and its connections, messages
    and answers of the platform are held, for a minute. Its own timers go on,
    as they cannot be stopped apart from those of other nodes: deadlines and
    timeouts that end at the wake-up of a real process end during the pause
    here.
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
        mesh.publish(out=["cairo-2"])
        await mesh.converge(others)
        await trio.sleep(57)
        mesh.phase("the pause")
        async with trio.open_nursery() as nursery:
            for route in ROUTES * 3:
                nursery.start_soon(mesh.ask, route, paused)
            await trio.sleep(0.1)
            mesh.note(f"{paused} goes on; requests wait for it")
            mesh.process(paused).resume()
        await mesh.converge()
        assert mesh.nodes_by_id[paused].status()["counters"]["pauses"] == 1
        mesh.phase("after the pause")

    golden(script, seed=601, **THREE_DOMAINS)


def test_planned_stops_of_a_node_and_an_upstream(golden):
    """Guards P7, P8, P9, P10 at planned stops under load."""

    async def script(mesh):
        await mesh.start_fleet()
        mesh.history.planned_only = True
        stopped = "c1-showroom-1"
        running = [each for each in mesh.ids() if each != stopped]
        keys = [f"stop-{number}" for number in range(12)]
        for key in keys:
            await mesh.ask("reserve-remnant", key=key)
        connections = [await mesh.connect(stopped) for _ in range(3)]
        async with mesh.load(
            rate=25, routes=ROUTES, keys=True, entries=lambda: running
        ):
            await trio.sleep(2)
            mesh.note(f"{stopped} stops with requests on its connections")
            async with trio.open_nursery() as nursery:
                for stream in connections:
                    nursery.start_soon(
                        lambda stream=stream: mesh.ask(
                            "browse-stock", stopped, stream=stream
                        )
                    )
                await trio.sleep(0.01)
                await mesh.stop_node(stopped)
            mesh.phase("the stop of a node")
            for key in keys:
                again = await mesh.ask(
                    "reserve-remnant", "c2-showroom-1", key=key, attempt=2
                )
                assert again.answer in ("200 run", "409 unknown SB-3009")
                assert not mesh.history.runs(again), "P8"
            mesh.phase("repetitions after the stop")
        async with mesh.load(
            rate=25, routes=ROUTES, keys=True, entries=lambda: running
        ):
            await trio.sleep(1)
            mesh.note("the upstream of c3-showroom-1 leaves")
            mesh.leave("c3-showroom-1")
            await trio.sleep(6)
        mesh.phase("the stop of an upstream")

    golden(script, seed=1001, **THREE_DOMAINS)


def test_a_partition_meets_a_cold_start(golden):
    """Guards P4 where half of the fleet restarts cold behind a cut."""

    async def script(mesh):
        await mesh.start_fleet()
        cut = mesh.ids(domain="cairo-1")
        others = [each for each in mesh.ids() if each not in cut]
        async with mesh.load(rate=20, routes=ROUTES, keys=True):
            async with mesh.load(
                rate=30, routes=["browse-stock"], entries=lambda: cut
            ):
                await trio.sleep(5)
            mesh.phase("normal service")
            mesh.note("cairo-1 is cut off; its upstreams restart cold")
            mesh.cut(cut, others)
            mesh.without_platform.update(cut)
            for host_id in cut:
                mesh.upstreams_by_id[host_id].crash()
            async with mesh.load(
                rate=30, routes=["browse-stock"], entries=lambda: cut
            ):
                await trio.sleep(8)
            mesh.phase("split")
            mesh.note("the cut ends; an upstream of cairo-2 restarts cold")
            mesh.cut(cut, others, is_cut=False)
            mesh.without_platform.clear()
            mesh.upstreams_by_id["c2-showroom-1"].crash()
            mesh.publish(change=harness.with_deadlines(0.7))
            await mesh.converge()
            await trio.sleep(4)
        mesh.phase("together")

    golden(script, seed=1102, **THREE_DOMAINS)
