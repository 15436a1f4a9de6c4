"""Golden sessions: restarts, invalid versions, outages and partitions."""

import dataclasses

import trio

from shallotbridge._generated import configuration_pb2
from shallotbridge.core import parts
from tests.golden import harness

# Two failure domains with five hosts each: three readers and two children.
TWO_DOMAINS = {
    "example": "nileweave",
    "hosts": (
        "cairo-1: showroom 4, cutting-floor 1; "
        "cairo-2: showroom 4, cutting-floor 1"
    ),
    "limits": {"ramp_seconds": 4.0},
}
ROUTES = ["browse-stock", "bin-location", "reserve-remnant", "cut-order"]
deadlines = harness.with_deadlines


async def isolate_domain(mesh, domain, is_isolated=True):
    """Partition a failure domain from all others and from the platform."""
    host_ids = mesh.find_host_ids(domain=domain)
    others = [each for each in mesh.hosts_by_id if each not in host_ids]
    mesh.set_partition(host_ids, others, is_isolated)
    if is_isolated:
        mesh.hosts_without_platform.update(host_ids)
    else:
        mesh.hosts_without_platform.difference_update(host_ids)


def test_restarts_with_nothing_kept(golden):
    """P1 and P11 hold when nodes restart while the platform is stale."""

    async def script(mesh):
        await mesh.start_fleet()
        revision = mesh.platform.revision
        mesh.note("operator publishes version 2")
        mesh.publish(change=deadlines(1.0))
        await mesh.converge()
        mesh.note("the platform is restored to its state of version 1")
        mesh.platform.restore_revision(revision)
        async with mesh.load(rate=10, routes=ROUTES):
            for host_id in ("c1-showroom-1", "c2-cutting-floor-1"):
                mesh.note(f"node {host_id} restarts with nothing kept")
                await mesh.restart_node(host_id)
            await trio.sleep(4)
            await mesh.converge()
        mesh.phase("nodes restarted beside a stale platform")
        mesh.note("cairo-2 is cut off from everything, then restarts")
        mesh.history.may_regress.update(mesh.find_host_ids(domain="cairo-2"))
        await isolate_domain(mesh, "cairo-2")
        # As in operators' settings: peers in the own and in another domain.
        seeds = mesh.addresses(["c2-showroom-1", "c2-showroom-2"])
        seeds += mesh.addresses(["c1-showroom-1"])
        for host_id in mesh.find_host_ids(domain="cairo-2"):
            await mesh.restart_node(host_id, seeds)
        async with mesh.load(rate=5, routes=ROUTES):
            await trio.sleep(20)
        await mesh.send_request(
            "browse-stock", "c2-showroom-1", label="cut off"
        )
        mesh.phase("cairo-2 restarted while cut off")
        mesh.note("the cut ends")
        await isolate_domain(mesh, "cairo-2", is_isolated=False)
        # These nodes only know the seeds, which have no configuration either,
        # so the backoff of section 5.1 must fit into the limit of 4 s.
        await mesh.converge()
        await mesh.send_request(
            "browse-stock", "c2-showroom-1", label="after the cut"
        )

    golden(script, seed=101, **TWO_DOMAINS)


def test_bad_versions(golden):
    """P1, P3 and P11 hold when an invalid version is published."""

    async def script(mesh):
        await mesh.start_fleet()
        version_1 = mesh.accepted_build
        # More than one bundle, so that a publication can be incomplete.
        good = deadlines(1.0)(
            harness.with_more_services(40)(mesh.accepted_configuration)
        )
        good = mesh.build(good)
        keys = [key for key in good.values_by_key if key != parts.HEAD_KEY]
        bundle = good.values_by_key[keys[0]]
        assert len(keys) > 1
        for text, content in (
            ("a corrupt bundle", bundle[:-1] + bytes([bundle[-1] ^ 1])),
            ("a truncated bundle", bundle[: len(bundle) // 2]),
            ("the head before its bundles", None),
        ):
            mesh.note(f"operator publishes version 2 with {text}")
            mesh.platform.put({**good.values_by_key, keys[0]: content})
            await trio.sleep(3)
            assert {
                mesh.head_of(host_id).version for host_id in mesh.nodes_by_id
            } == {1}, "P3"
            mesh.phase(text)
        mesh.note("operator publishes version 2 with a dangling reference")
        dangling = harness.without_service("cutting-floor")(
            mesh.accepted_configuration
        )
        dangling = dataclasses.replace(
            mesh.accepted_configuration,
            services_by_name={
                name: mesh.accepted_configuration.services_by_name[name]
                for name in dangling.services_by_name
            },
        )
        mesh.platform.put(
            harness.make_unchecked_values(dangling, mesh.accepted_build)
        )
        await trio.sleep(3)
        assert {
            mesh.head_of(host_id).version for host_id in mesh.nodes_by_id
        } == {1}, "P2"
        mesh.phase("a dangling reference")
        mesh.note("the bundles arrive")
        mesh.platform.put(good.values_by_key)
        mesh.accept(good)
        await mesh.converge(maximum_seconds=8.0)
        mesh.phase("version 2 is whole")
        mesh.publish(change=deadlines(1.1))
        await mesh.converge()
        mesh.note("operator publishes version 2 again, with other content")
        accepted = mesh.accepted_build
        lower = mesh.build(
            deadlines(1.2)(mesh.accepted_configuration), base=version_1
        )
        mesh.platform.put(lower.values_by_key)
        await trio.sleep(2)
        await mesh.converge()
        mesh.phase("a lower number")
        mesh.platform.put(accepted.values_by_key)
        await trio.sleep(2)
        mesh.note("two operators publish version 4 from one base")
        pair = [
            mesh.build(deadlines(seconds)(mesh.accepted_configuration))
            for seconds in (2, 3)
        ]
        for new_build in pair:
            mesh.platform.put(new_build.values_by_key)
            await trio.sleep(0.3)
        mesh.accept(
            max(pair, key=lambda new_build: new_build.configuration.head)
        )
        await mesh.converge()
        statuses = [node.status() for node in mesh.nodes_by_id.values()]
        assert any(status["conflict"] for status in statuses), "no conflict"
        mesh.phase("two contents of version 4")
        mesh.note("operator publishes version 5")
        mesh.publish(change=deadlines(1.5))
        await mesh.converge()
        statuses = [node.status() for node in mesh.nodes_by_id.values()]
        assert not any(status["conflict"] for status in statuses)
        mesh.phase("the conflict is resolved")
        mesh.note("five versions within 0.5 s over links of 0 to 400 ms")
        for link in mesh.fabric.all_links():
            link.latency = mesh.random.uniform(0.0, 0.4)
        for number in range(5):
            mesh.publish(change=deadlines((16 + number) / 10))
            await trio.sleep(0.1)
        await mesh.converge()
        for link in mesh.fabric.all_links():
            link.latency = 0.0005
        mesh.phase("updates crossed")
        head = configuration_pb2.Head.FromString(
            mesh.accepted_build.values_by_key[parts.HEAD_KEY]
        )
        head.version, head.base_version = 50, 3
        mesh.note("version 50 with the digest of version 10")
        mesh.platform.put({parts.HEAD_KEY: head.SerializeToString()})
        await trio.sleep(3)
        await mesh.converge()
        mesh.phase("a number far ahead without a valid digest")
        contents = parts.encode_parts(mesh.accepted_configuration)
        head.digest = parts.root_digest(
            version=50,
            base_digest=b"\1" * 32,
            digests_by_name={
                name: parts.part_digest(content)
                for name, content in contents.items()
            },
        )
        head.base_digest = b"\1" * 32
        mesh.note("version 50 with base version 3, otherwise valid")
        mesh.platform.put({parts.HEAD_KEY: head.SerializeToString()})
        await trio.sleep(3)
        await mesh.converge()

    golden(script, seed=201, **TWO_DOMAINS)


def test_a_service_goes_away(golden):
    """P2 and P6 hold when a route is removed with requests in flight."""

    async def script(mesh):
        await mesh.start_fleet()
        async with mesh.load(rate=8, routes=ROUTES):
            await trio.sleep(4)
            mesh.phase("before")
            wrong = mesh.hosts_by_id["c1-cutting-floor-1"]
            mesh.note(f"the host list says {wrong.host_id} runs showroom")
            mesh.hosts_by_id[wrong.host_id] = dataclasses.replace(
                wrong, service="showroom"
            )
            mesh.publish_host_lists()
            mesh.hosts_by_id[wrong.host_id] = wrong
            await trio.sleep(2)
            mesh.phase("a wrong host list")
            mesh.note("operator removes cutting-floor")
            mesh.publish(change=harness.without_service("cutting-floor"))
            await mesh.converge()
            mesh.phase("the change")
            await trio.sleep(5)
        runs = mesh.history.runs
        assert not [
            run
            for run in runs
            if run.host.service == "cutting-floor"
            and run.at > mesh.history.published_at + 4
        ], "P2"
        await mesh.send_request("cut-order", label="after")

    golden(
        script, seed=202, **TWO_DOMAINS, behaviour={"service_seconds": 0.12}
    )


def test_the_platform_is_down_and_stale_for_an_hour(golden):
    """P1, P11 and the platform's rate limit hold during an outage."""

    async def script(mesh):
        await mesh.start_fleet()
        for mode in ("down", "stale"):
            mesh.note(f"the platform is {mode}")
            mesh.platform.set_mode(mode)
            await trio.sleep(10)
            mesh.note("two changes wait")
            mesh.publish(change=deadlines(1.0))
            mesh.publish(change=deadlines(1.1))
            async with mesh.load(rate=0.02, routes=ROUTES):
                await trio.sleep(1800)
            mesh.note(
                f"{mesh.platform.peak_calls} calls within a second at most"
            )
            assert mesh.platform.peak_calls < 2000
            mesh.phase(f"half an hour with a platform that is {mode}")
            mesh.note("the platform is back")
            mesh.platform.set_mode("up")
            await mesh.converge()
            mesh.phase("the platform is back")

    options = TWO_DOMAINS | {
        "hosts": "cairo-1: showroom 2; cairo-2: showroom" " 2, cutting-floor 1"
    }
    golden(script, seed=301, **options)


def test_a_herd_reconnects_and_readers_die(golden):
    """The platform's rate limit and P11 hold during mass restarts."""

    async def script(mesh):
        await mesh.start_fleet()
        mesh.platform.peak_calls = 0
        mesh.note("all nodes restart at once")
        for host_id in list(mesh.nodes_by_id):
            mesh.kill_node(host_id)
        for host_id in mesh.hosts_by_id:
            await mesh.start_node(host_id)
        await mesh.converge(maximum_seconds=10.0)
        mesh.note(
            f"{mesh.platform.peak_calls} calls within a second at most, "
            f"{mesh.platform.refused_count} refused"
        )
        assert mesh.platform.peak_calls < 2000
        assert not mesh.platform.refused_count
        await trio.sleep(10)
        mesh.phase("a herd")
        readers = [
            host_id
            for host_id in mesh.find_host_ids(domain="cairo-1")
            if mesh.nodes_by_id[host_id].status()["is_reader"]
        ]
        mesh.note(f"all readers of cairo-1 die: {', '.join(readers)}")
        for host_id in readers:
            mesh.kill_node(host_id)
        async with mesh.load(rate=10, routes=ROUTES):
            await trio.sleep(2)
            mesh.publish(change=deadlines(1.0))
            await mesh.converge()
        mesh.phase("without the readers")
        for host_id in readers:
            await mesh.start_node(host_id)
        await mesh.converge()

    golden(script, seed=302, **TWO_DOMAINS)


def test_a_partition_and_its_end(golden):
    """P1, P5, P8 and P11 hold while the fleet is partitioned."""

    async def script(mesh):
        await mesh.start_fleet()
        async with mesh.load(rate=15, routes=ROUTES, keys=True):
            await trio.sleep(3)
            mesh.phase("before")
            mesh.note("cairo-1 is cut off from cairo-2 and the platform")
            await isolate_domain(mesh, "cairo-1")
            await trio.sleep(2)
            mesh.publish(change=deadlines(1.0))
            await mesh.converge(mesh.find_host_ids(domain="cairo-2"))
            await trio.sleep(15)
            # Both domains have both services, so each side serves all
            # requests.
            assert mesh.history.served_ratio(since=13.1) > 0.95
            mesh.phase("split")
            mesh.note("the cut ends")
            await isolate_domain(mesh, "cairo-1", is_isolated=False)
            await mesh.converge()
            await trio.sleep(3)
        mesh.phase("together")

    golden(script, seed=501, **TWO_DOMAINS)


def test_stale_platform_restart_and_domain_out_at_once(golden):
    """P1 and P5 hold when these three faults occur at the same time."""

    async def script(mesh):
        await mesh.start_fleet()
        revision = mesh.platform.revision
        async with mesh.load(rate=15, routes=ROUTES, keys=True):
            mesh.note(
                "cairo-2 is taken out; at once the platform goes back and "
                "a node of each domain restarts"
            )
            mesh.publish(out_of_service=["cairo-2"])
            await trio.sleep(0.5)
            mesh.platform.restore_revision(revision)
            for host_id in ("c1-showroom-2", "c2-showroom-2"):
                await mesh.restart_node(host_id)
            await trio.sleep(4)
            await mesh.converge()
            await trio.sleep(6)

    golden(script, seed=1101, **TWO_DOMAINS)


def test_a_herd_restarts_with_an_update_in_flight(golden):
    """P1 and P11 hold when half of the fleet restarts during an update."""

    async def script(mesh):
        await mesh.start_fleet()
        half = list(mesh.nodes_by_id)[::2]
        async with mesh.load(rate=10, routes=ROUTES, keys=True):
            mesh.note("half of the nodes restart; an update is in flight")
            mesh.publish(change=deadlines(1.0))
            for host_id in half:
                mesh.kill_node(host_id)
            for host_id in half:
                await mesh.start_node(host_id)
            await mesh.converge(maximum_seconds=4.0)
            await trio.sleep(4)

    golden(script, seed=1103, **TWO_DOMAINS)


def test_a_reader_pauses_during_a_conflict(golden):
    """P1 holds when a reader resumes with the losing content."""

    async def script(mesh):
        await mesh.start_fleet()
        reader = next(
            host_id
            for host_id, node in mesh.nodes_by_id.items()
            if node.status()["is_reader"]
        )
        pair = [
            mesh.build(deadlines(seconds)(mesh.accepted_configuration))
            for seconds in (2, 3)
        ]
        pair.sort(
            key=lambda new_build: new_build.configuration.head, reverse=True
        )
        mesh.note(f"the larger content is published; then {reader} pauses")
        mesh.platform.put(pair[0].values_by_key)
        mesh.accept(pair[0])
        await trio.sleep(0.2)
        mesh.process(reader).pause()
        mesh.platform.put(pair[1].values_by_key)
        others = [each for each in mesh.nodes_by_id if each != reader]
        await mesh.converge(others)
        await trio.sleep(15)
        mesh.note(f"{reader} goes on")
        mesh.process(reader).resume()
        await mesh.converge()
        mesh.phase("the larger content stays")
        mesh.publish(change=deadlines(1.5))
        await mesh.converge()

    golden(script, seed=1104, **TWO_DOMAINS)
