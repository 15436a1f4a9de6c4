"""One run of the soak: plays a plan on real nodes and checks the promises."""

import signal
import time

import trio

from bench import processes

from . import callers
from . import checks
from . import plan as plans
from . import records as records_module
from . import world as worlds

# A killed process is back and serves after this long, s.
KILL_SECONDS = 2.0
# Nodes must be up within this time, s.
START_SECONDS = 30.0
STORM_CHANGES = 6
DELAY_SECONDS = 0.12


def run_seed(seed, *, seconds, hosts, domains):
    """Return the records of a run and the promises that it saw broken."""
    with processes.running_processes() as running:
        found = trio.run(_run, running, seed, seconds, hosts, domains)
        violations = checks.find_violations(found)
        outputs = {
            path.name: path.read_text(errors="replace")
            for path in running.directory.glob("*.log")
        }
    return found, violations, outputs


async def _run(running, seed, seconds, hosts, domains):
    found = records_module.Records()
    began = time.monotonic()

    def clock():
        return time.monotonic() - began

    world = worlds.World(
        running=running,
        records=found,
        clock=clock,
        hosts=hosts,
        domains=domains,
        seed=seed,
    )
    async with trio.open_nursery() as nursery:
        await world.start(nursery)
        with trio.fail_after(START_SECONDS):
            for host in world.hosts:
                await _wait_ready(host)
        nursery.start_soon(callers.run_callers, world)
        started = clock()
        for entry in plans.make_plan(seed, seconds=seconds, hosts=hosts):
            await trio.sleep(max(0.0, started + entry.at - clock()))
            nursery.start_soon(_play, world, entry)
        await trio.sleep(max(0.0, started + seconds - clock()))
        nursery.cancel_scope.cancel()
    return found


async def _wait_ready(host):
    while True:
        try:
            stream = await trio.open_tcp_stream(host.own, worlds.READY_PORT)
        except OSError:
            await trio.sleep(0.1)
            continue
        async with stream:
            await stream.send_all(
                b"GET /v1/readiness HTTP/1.1\r\nhost: a\r\n\r\n"
            )
            if b" 200 " in await stream.receive_some(1024):
                return
        await trio.sleep(0.1)


async def _play(world, entry):
    """Play one entry and note when it disturbed whom."""
    host = world.hosts[entry.host]
    began = world.clock()
    affects_all = entry.kind in ("store_status", "store_history")
    await _ACTIONS[entry.kind](world, host, entry.seconds)
    if entry.kind not in plans.PLANNED:
        world.records.disturbances.append(
            (
                entry.kind,
                None if affects_all else entry.host,
                began,
                world.clock(),
            )
        )


async def _delay_link(world, host, seconds):
    host.link_proxy.delay_seconds = DELAY_SECONDS
    await trio.sleep(seconds)
    host.link_proxy.delay_seconds = 0.0


async def _silence_link(world, host, seconds):
    link = host.link_proxy
    link.is_silent_to = link.is_silent_from = True
    await trio.sleep(seconds)
    link.is_silent_to = link.is_silent_from = False


async def _cut_link_one_way(world, host, seconds):
    host.link_proxy.is_silent_from = True
    await trio.sleep(seconds)
    host.link_proxy.is_silent_from = False


async def _reset_link(world, host, seconds):
    host.link_proxy.reset()


async def _reset_store(world, host, seconds):
    host.store_proxy.reset()


async def _silence_store(world, host, seconds):
    host.store_proxy.is_silent_from = True
    await trio.sleep(seconds)
    host.store_proxy.is_silent_from = False


async def _refuse_at_store(world, host, seconds):
    world.store.status = 503
    await trio.sleep(seconds)
    world.store.status = None


async def _forget_history(world, host, seconds):
    world.store.forget_history()


async def _kill(world, host, seconds):
    world.send_signal(host, signal.SIGKILL)
    await trio.sleep(KILL_SECONDS)


async def _pause(world, host, seconds):
    world.send_signal(host, signal.SIGSTOP)
    await trio.sleep(seconds)
    world.resume(host)


async def _send_hang_up(world, host, seconds):
    world.send_signal(host, signal.SIGHUP)


async def _terminate(world, host, seconds):
    world.send_signal(host, signal.SIGTERM)


async def _publish(world, host, seconds):
    world.publish()


async def _publish_storm(world, host, seconds):
    for _ in range(STORM_CHANGES):
        world.publish()
        await trio.sleep(seconds / STORM_CHANGES)


async def _drain(world, host, seconds):
    await world.drain(host)


async def _take_domain_out(world, host, seconds):
    await world.take_domain_out(host.domain, seconds)


_ACTIONS = {
    "link_delay": _delay_link,
    "link_silence": _silence_link,
    "link_one_way": _cut_link_one_way,
    "link_reset": _reset_link,
    "store_reset": _reset_store,
    "store_silence": _silence_store,
    "store_status": _refuse_at_store,
    "store_history": _forget_history,
    "kill": _kill,
    "pause": _pause,
    "hang_up_signal": _send_hang_up,
    "terminate": _terminate,
    "configuration": _publish,
    "configurations": _publish_storm,
    "drain": _drain,
    "domain_out": _take_domain_out,
}
