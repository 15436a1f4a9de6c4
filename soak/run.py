"""Runs a plan on real nodes and checks the guarantees."""

import math
import signal
import time

import trio

from bench import processes

from . import callers
from . import checks
from . import fleet as fleet_module
from . import plan as plan_module
from . import records as records_module
from . import untrusted

# Time in which a killed process restarts and serves again.
KILL_RECOVERY_SECONDS = 2.0
# Time in which all nodes must be ready.
START_TIMEOUT_SECONDS = 30.0
BURST_CHANGES = 6
# Changes while readers are lost, and the time between them: less than readers
# batch, so that some are lost while they batch.
READER_LOSS_CHANGES = 4
READER_LOSS_GAP_SECONDS = 0.33
LINK_DELAY_SECONDS = 0.12
# Time from the end of the watches to the loss of the history.
COMPACTION_DELAY_SECONDS = 0.2
RESTORE_SECONDS = 0.7
# Time after which operators and upstreams write again what a restored store
# has lost.
REWRITE_DELAY_SECONDS = 1.2
STOP_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
STOP_SIGNAL_GAP_SECONDS = (0.0, 0.2)
# Work of a slow upstream takes so many times as long, mostly less than the
# usual time-out and more than the short one.
SLOWNESS = 20.0
SHORT_TIMEOUT_MS = 400
# Between the restarts of the owner nodes of slow upstreams.
RESTART_GAP_SECONDS = (0.0, 0.5)


def run_seed(seed, *, seconds, hosts, domains, older=None, kill_all_at=None):
    """Return the records, the violations and the logs by name of a run.

    Parameters
    ----------
    seed : int
    seconds : float
    hosts, domains : int
    older : str, optional
        Directory of an older build, which every second host runs.
    kill_all_at : float, optional
        If given, the only fault is that all nodes are killed at this time,
        in seconds; they restart at once.
    """
    entries = plan_module.make_plan(seed, seconds=seconds, hosts=hosts)
    if kill_all_at is not None:
        entries = [
            plan_module.Entry(
                at=kill_all_at, kind="kill_all", host=0, seconds=0.0
            )
        ]
    with processes.running_processes() as process_manager:
        run_records = trio.run(
            _run,
            process_manager,
            seed,
            seconds,
            hosts,
            domains,
            older,
            entries,
        )
        violations = checks.find_violations(run_records)
        outputs = {
            path.name: path.read_text(errors="replace")
            for path in process_manager.directory.glob("*.log")
        }
    return run_records, violations, outputs


async def _run(process_manager, seed, seconds, hosts, domains, older, entries):
    run_records = records_module.Records()
    began = time.monotonic()

    def clock():
        return time.monotonic() - began

    fleet = fleet_module.Fleet(
        process_manager=process_manager,
        records=run_records,
        clock=clock,
        hosts=hosts,
        domains=domains,
        seed=seed,
        older=older,
    )
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        with trio.fail_after(START_TIMEOUT_SECONDS):
            for host in fleet.hosts:
                await _wait_ready(host)
        nursery.start_soon(callers.run_callers, fleet)
        nursery.start_soon(untrusted.run_clients, fleet, seed)
        started = clock()
        for entry in entries:
            await trio.sleep(max(0.0, started + entry.at - clock()))
            nursery.start_soon(_run_entry, fleet, entry)
        await trio.sleep(max(0.0, started + seconds - clock()))
        fleet.check_memory()
        nursery.cancel_scope.cancel()
    return run_records


async def _wait_ready(host):
    while True:
        try:
            stream = await trio.open_tcp_stream(
                host.node_address, fleet_module.READY_PORT
            )
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


async def _run_entry(fleet, entry):
    """Run one entry; if it is a fault, record its host and time."""
    host = fleet.hosts[entry.host]
    began = fleet.clock()
    affects_all = entry.kind in (
        "store_status",
        "store_history",
        "store_restore",
        "kill_all",
    )
    await _ACTIONS[entry.kind](fleet, host, entry.seconds)
    if entry.kind not in plan_module.PLANNED | {"readers_lost"}:
        fleet.records.faults.append(
            (
                entry.kind,
                None if affects_all else entry.host,
                began,
                fleet.clock(),
            )
        )


async def _delay_link(fleet, host, seconds):
    host.link_proxy.delay_seconds = LINK_DELAY_SECONDS
    await trio.sleep(seconds)
    host.link_proxy.delay_seconds = 0.0


async def _stall_link(fleet, host, seconds):
    link = host.link_proxy
    link.is_stalled_to = link.is_stalled_from = True
    await trio.sleep(seconds)
    link.is_stalled_to = link.is_stalled_from = False


async def _stall_link_one_way(fleet, host, seconds):
    host.link_proxy.is_stalled_from = True
    await trio.sleep(seconds)
    host.link_proxy.is_stalled_from = False


async def _reset_link(fleet, host, seconds):
    host.link_proxy.reset()


async def _reset_store(fleet, host, seconds):
    host.store_proxy.reset()


async def _stall_store(fleet, host, seconds):
    host.store_proxy.is_stalled_from = True
    await trio.sleep(seconds)
    host.store_proxy.is_stalled_from = False


async def _fail_store_calls(fleet, host, seconds):
    fleet.store.status = 503
    await trio.sleep(seconds)
    fleet.store.status = None


async def _compact_history(fleet, host, seconds):
    """Report no changes for a time, then drop the history."""
    fleet.store.is_silent = True
    await trio.sleep(seconds)
    fleet.store.cut_watches()
    await trio.sleep(COMPACTION_DELAY_SECONDS)
    fleet.store.is_silent = False
    fleet.store.compact_history()


async def _restore_store(fleet, host, seconds):
    """Restore the store from a copy; what it lost is written again."""
    store = fleet.store
    copy = store.copy()
    await trio.sleep(seconds)
    lost_items_by_key = dict(store.items_by_key)
    store.status = 503
    await trio.sleep(RESTORE_SECONDS)
    store.restore(copy)
    store.status = None
    await trio.sleep(REWRITE_DELAY_SECONDS)
    store.write_again(lost_items_by_key)


async def _send_harmful_requests(fleet, host, seconds):
    await callers.repeat_harmful_request(fleet, host.service, seconds)


async def _kill(fleet, host, seconds):
    fleet.send_signal(host, signal.SIGKILL)
    await trio.sleep(KILL_RECOVERY_SECONDS)


async def _kill_all(fleet, host, seconds):
    for each in fleet.hosts:
        fleet.send_signal(each, signal.SIGKILL)
    await trio.sleep(KILL_RECOVERY_SECONDS)


async def _pause(fleet, host, seconds):
    fleet.send_signal(host, signal.SIGSTOP)
    await trio.sleep(seconds)
    fleet.resume(host)


async def _lose_readers(fleet, host, seconds):
    """Lose the reader of each domain while changes come in a series."""
    if fleet.are_readers_lost:
        return
    fleet.are_readers_lost = True
    lose, restore = fleet.random.choice(
        [
            (_cut_from_store, _reconnect_to_store),
            (_cut_from_store_one_way, _reconnect_to_store),
            (_freeze, _thaw),
            (_end_process, _wait_restarted),
        ]
    )
    lost_after = fleet.random.randrange(READER_LOSS_CHANGES)
    readers = fleet.find_readers()
    leaving = fleet.random.choice(
        [each for each in fleet.hosts if each not in readers] or readers
    )
    began = math.inf
    try:
        async with trio.open_nursery() as nursery:
            for number in range(READER_LOSS_CHANGES):
                if number == lost_after:
                    began = fleet.clock()
                    for reader in readers:
                        lose(fleet, reader)
                    nursery.start_soon(fleet.drain, leaving)
                else:
                    fleet.publish()
                await trio.sleep(READER_LOSS_GAP_SECONDS)
            await trio.sleep(seconds)
            for reader in readers:
                await restore(fleet, reader)
    finally:
        # Also at the end of the run, when the readers are still lost.
        fleet.records.faults.extend(
            (records_module.READER_LOST, reader.number, began, fleet.clock())
            for reader in readers
        )
    fleet.are_readers_lost = False


def _cut_from_store(fleet, host):
    host.store_proxy.is_stalled_to = host.store_proxy.is_stalled_from = True


def _cut_from_store_one_way(fleet, host):
    host.store_proxy.is_stalled_from = True


async def _reconnect_to_store(fleet, host):
    host.store_proxy.is_stalled_to = host.store_proxy.is_stalled_from = False


def _freeze(fleet, host):
    fleet.send_signal(host, signal.SIGSTOP)


async def _thaw(fleet, host):
    fleet.resume(host)


def _end_process(fleet, host):
    fleet.send_signal(host, signal.SIGKILL)


async def _wait_restarted(fleet, host):
    await _wait_ready(host)


async def _send_sighup(fleet, host, seconds):
    fleet.send_signal(host, signal.SIGHUP)


async def _terminate(fleet, host, seconds):
    fleet.send_signal(host, signal.SIGTERM)


async def _stop_with_signals(fleet, host, seconds):
    """Stop a node, with further signals until its process has ended."""
    incarnation = host.incarnation
    fleet.send_signal(host, signal.SIGTERM)
    while host.incarnation == incarnation and fleet.is_running(host):
        await trio.sleep(fleet.random.uniform(*STOP_SIGNAL_GAP_SECONDS))
        if host.incarnation == incarnation:
            fleet.send_signal(host, fleet.random.choice(STOP_SIGNALS))


async def _slow_down_upstreams(fleet, host, seconds):
    """Slow down a service, lower its time-outs and restart its owner nodes."""
    slow = [each for each in fleet.hosts if each.service == host.service]
    began = fleet.clock()
    for each in slow:
        each.slowness = SLOWNESS
    await trio.sleep(seconds)
    fleet.timeout_ms = SHORT_TIMEOUT_MS
    fleet.publish()
    for each in slow:
        fleet.send_signal(each, signal.SIGTERM)
        await trio.sleep(fleet.random.uniform(*RESTART_GAP_SECONDS))
        fleet.publish()
    for each in slow:
        each.slowness = 1.0
    fleet.records.slow_times.append((host.service, began, fleet.clock()))


async def _publish(fleet, host, seconds):
    fleet.publish()


async def _publish_burst(fleet, host, seconds):
    for _ in range(BURST_CHANGES):
        fleet.publish()
        await trio.sleep(seconds / BURST_CHANGES)


async def _drain(fleet, host, seconds):
    await fleet.drain(host)


async def _name_limit(fleet, host, seconds):
    await fleet.name_limit(host, seconds)


async def _take_domain_out_of_service(fleet, host, seconds):
    await fleet.take_domain_out_of_service(host.domain, seconds)


_ACTIONS = {
    "link_delay": _delay_link,
    "link_stall": _stall_link,
    "link_stall_one_way": _stall_link_one_way,
    "link_reset": _reset_link,
    "store_reset": _reset_store,
    "store_stall": _stall_store,
    "store_status": _fail_store_calls,
    "store_history": _compact_history,
    "store_restore": _restore_store,
    "harmful": _send_harmful_requests,
    "readers_lost": _lose_readers,
    "kill": _kill,
    "kill_all": _kill_all,
    "pause": _pause,
    "sighup": _send_sighup,
    "terminate": _terminate,
    "stop_signals": _stop_with_signals,
    "slow_upstreams": _slow_down_upstreams,
    "configuration": _publish,
    "configurations": _publish_burst,
    "drain": _drain,
    "limit": _name_limit,
    "domain_out": _take_domain_out_of_service,
}
