"""Measures the latency and processor time of the hops of a call.

Run ``python -m bench.hop``. A load generator sends the same open-loop
arrivals directly to a trivial upstream and through an entry node and an
owner node, each in its own process. ``--variant quart`` measures two hops of
Quart on Hypercorn with httpx instead, ``--variant relay`` two hops that only
copy bytes, which gives the lower bound on this machine.
"""

import argparse
import contextlib
import cProfile
import functools
import gc
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time

import eliot
import psutil
import trio

from shallotbridge.core import decisions
from shallotbridge.core import entry
from shallotbridge.core import errors
from shallotbridge.core import forwarding
from shallotbridge.core import gate
from shallotbridge.core import hosts
from shallotbridge.core import keys
from shallotbridge.core import model
from shallotbridge.core import owner
from shallotbridge.core import owner_selection
from shallotbridge.core import pool
from shallotbridge.core import retries
from shallotbridge.core import routing
from shallotbridge.core import serving
from shallotbridge.core import suspects
from shallotbridge.transports import tcp

UPSTREAM_ADDRESS = "127.7.0.2"
ENTRY_ADDRESS = "127.7.0.1"
CALLER_PORT = 7400
# Bound on the added latency in section 2.5 of the design page.
TARGET_P99_MS = 1.8
# Calls per second.
TARGET_RATE = 88
KNEE_RATES = (200, 400, 600, 800, 1000, 1200, 1600)
BODY = b"x" * 1024
WARM_UP_SECONDS = 2.0
# Like the latency, counted from the intended arrival, so that a stall counts
# for all requests that arrive during it.
DEADLINE_SECONDS = 5.0
ROUTE = model.Route(
    name="browse",
    service="showroom",
    method="GET",
    path="/showroom/stock",
    is_idempotent=True,
    deadline_seconds=DEADLINE_SECONDS,
    retry_ratio=0.1,
)


def _make_configuration():
    limits = model.UpstreamLimits(
        failure_domains=("cairo-1",),
        slots=1000,
        connections=1000,
        cold_slots=1000,
        ramp_seconds=1.0,
        queue=0,
    )
    service = model.Service(
        name=ROUTE.service,
        upstream=limits,
        routes_by_name=model.by_key([ROUTE], "name"),
    )
    return model.Configuration(
        head=model.HeadReference(version=1, digest=b"d"),
        mesh_name="bench",
        failure_domains_by_name=model.by_key(
            [model.FailureDomain(name="cairo-1", region="cairo")], "name"
        ),
        services_by_name=model.by_key([service], "name"),
    )


def _make_host(host_id, address):
    return model.Host(
        host_id=host_id,
        address=address,
        service=ROUTE.service,
        failure_domain="cairo-1",
    )


class _StaticStore:
    """A store whose configuration is active from the start."""

    def __init__(self):
        self.configuration = _make_configuration()


def _host_table(host):
    table = hosts.HostTable()
    table.replace("cairo-1", 1, [host])
    return table


async def _serve_upstream():
    async def handle_request(request):
        headers = (
            model.Header(name="content-type", value="text/plain"),
            model.Header(
                name="x-request-id",
                value=request.header("x-request-id") or "",
            ),
        )
        response = model.Response(status=200, headers=headers, body=BODY)
        return response, lambda: None

    server = serving.ConnectionServer(
        handle_request=handle_request, handle_framing_error=None
    )
    await tcp.serve(UPSTREAM_ADDRESS, owner.UPSTREAM_PORT, server.handle)


async def _serve_owner():
    host = _make_host("owner", UPSTREAM_ADDRESS)
    store = _StaticStore()
    upstream_gate = gate.AdmissionController(
        own_host=host,
        configuration=lambda: store.configuration,
        keys=keys.KeyWindow(
            own_host=host, hosts_of_service=_host_table(host).hosts_of_service
        ),
        suspects=suspects.SuspectTable(),
    )
    server = owner.OwnerServer(
        own_host=host,
        store=store,
        gate=upstream_gate,
        open_stream=tcp.open_stream,
        maximum_connections=1000,
    )
    async with trio.open_nursery() as nursery:
        upstream_gate.start(nursery)
        await tcp.serve(
            UPSTREAM_ADDRESS, forwarding.FORWARD_PORT, server.handle
        )


async def _serve_entry():
    own_host = _make_host("entry", ENTRY_ADDRESS)
    source = random.Random(1)
    budget = retries.RetryBudget(retry_ratio=ROUTE.retry_ratio)
    server = entry.EntryServer(
        own_host=own_host,
        store=_StaticStore(),
        find_route=routing.find_route,
        owner_selector=owner_selection.OwnerSelector(
            own_host=own_host,
            hosts=_host_table(_make_host("owner", UPSTREAM_ADDRESS)),
            random=source,
        ),
        forwarder=forwarding.Forwarder(open_stream=tcp.open_stream),
        run_local=None,
        retry_budget_of=lambda service: budget,
        random=source,
        record=decisions.record,
    )
    await tcp.serve(ENTRY_ADDRESS, CALLER_PORT, server.handle)


async def _serve_quart(address, port, next_url):
    import httpx
    import hypercorn.config
    import hypercorn.trio
    import quart
    import quart_trio

    app = quart_trio.QuartTrio("hop")
    config = hypercorn.config.Config()
    config.bind = [f"{address}:{port}"]
    async with httpx.AsyncClient() as client:

        @app.route("/<path:path>", methods=["GET", "POST"])
        async def forward(path):
            response = await client.request(
                quart.request.method,
                f"{next_url}/{path}",
                headers=[
                    (name, value)
                    for name, value in quart.request.headers
                    if name.lower() not in ("host", "connection")
                ],
                content=await quart.request.get_data(),
            )
            decisions.record("route", chosen=next_url)
            return response.content, response.status_code

        await hypercorn.trio.serve(app, config)


async def _serve_relay(address, port, next_address, next_port):
    """Copy bytes in threads with blocking sockets, without any parsing.

    Two such hops cost only the system calls and wake-ups that no proxy can
    avoid.
    """

    def copy(source, target):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)

    def accept():
        with socket.create_server((address, port)) as listener:
            while True:
                previous_socket, _ = listener.accept()
                next_socket = socket.create_connection(
                    (next_address, next_port)
                )
                for each in (previous_socket, next_socket):
                    each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                for pair in (
                    (previous_socket, next_socket),
                    (next_socket, previous_socket),
                ):
                    threading.Thread(
                        target=copy, args=pair, daemon=True
                    ).start()

    threading.Thread(target=accept, daemon=True).start()
    await trio.sleep_forever()


SERVERS_BY_ROLE = {
    "relay-owner": functools.partial(
        _serve_relay,
        UPSTREAM_ADDRESS,
        forwarding.FORWARD_PORT,
        UPSTREAM_ADDRESS,
        owner.UPSTREAM_PORT,
    ),
    "relay-entry": functools.partial(
        _serve_relay,
        ENTRY_ADDRESS,
        CALLER_PORT,
        UPSTREAM_ADDRESS,
        forwarding.FORWARD_PORT,
    ),
    "upstream": _serve_upstream,
    "owner": _serve_owner,
    "entry": _serve_entry,
    "quart-owner": functools.partial(
        _serve_quart,
        UPSTREAM_ADDRESS,
        forwarding.FORWARD_PORT,
        f"http://{UPSTREAM_ADDRESS}:{owner.UPSTREAM_PORT}",
    ),
    "quart-entry": functools.partial(
        _serve_quart,
        ENTRY_ADDRESS,
        CALLER_PORT,
        f"http://{UPSTREAM_ADDRESS}:{forwarding.FORWARD_PORT}",
    ),
}


async def _run_role(role):
    """Serve until standard input closes, as it does when the parent ends."""

    async def stop_with_parent(cancel_scope):
        await trio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_with_parent, nursery.cancel_scope)
        gc.collect()
        gc.freeze()
        await SERVERS_BY_ROLE[role]()


def _serve_role(role, profile):
    # In production the decision log goes to a file or a pipe.
    with tempfile.TemporaryFile("w") as log:
        eliot.to_file(log)
        if not profile:
            trio.run(_run_role, role)
            return
        profiler = cProfile.Profile()
        with contextlib.suppress(KeyboardInterrupt):
            profiler.runcall(trio.run, _run_role, role)
        profiler.dump_stats(f"{profile}.{role}")


async def _send_load(client, rate, seconds, seed):
    """Send Poisson arrivals; return latencies in ms, and the failures."""
    source = random.Random(seed)
    latencies = []
    failures = []
    request = model.Request(
        method="GET",
        target=ROUTE.path,
        headers=(
            model.Header(name="host", value="bench"),
            model.Header(name="accept", value="application/json"),
            model.Header(name="user-agent", value="bench"),
        ),
    )

    async def send(intended_at):
        try:
            response = await client.exchange(
                request, intended_at + DEADLINE_SECONDS
            )
            if response.status != 200:
                failures.append(response.status)
        except errors.CallError as error:
            failures.append(error.code)
        latencies.append((trio.current_time() - intended_at) * 1000)

    async with trio.open_nursery() as nursery:
        intended_at = trio.current_time()
        end = intended_at + seconds
        while intended_at < end:
            await trio.sleep_until(intended_at)
            nursery.start_soon(send, intended_at)
            intended_at += source.expovariate(rate)
    return latencies, failures


def _percentiles(latencies):
    ordered = sorted(latencies)
    return {
        name: round(
            ordered[min(len(ordered) - 1, int(len(ordered) * quantile))], 3
        )
        for name, quantile in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999))
    }


def _processor_seconds(processes):
    """Return the total user and system time of the processes."""
    times = [psutil.Process(each.pid).cpu_times() for each in processes]
    return sum(each.user for each in times), sum(each.system for each in times)


async def _measure(direct, mesh, processes, rate, seconds, rounds):
    """Alternate the paths, so that both run under the same machine load."""
    latencies_by_path = {"direct": [], "mesh": []}
    failures = []
    processor_seconds_by_kind = {"user": 0.0, "system": 0.0}
    for round_number in range(rounds):
        for name, client in (("direct", direct), ("mesh", mesh)):
            before = _processor_seconds(processes)
            latencies, round_failures = await _send_load(
                client, rate, seconds / rounds, round_number
            )
            if name == "mesh":
                after = _processor_seconds(processes)
                processor_seconds_by_kind["user"] += after[0] - before[0]
                processor_seconds_by_kind["system"] += after[1] - before[1]
            latencies_by_path[name] += latencies
            failures += round_failures
    figures = {
        name: _percentiles(each) for name, each in latencies_by_path.items()
    }
    figures["added"] = {
        name: round(figures["mesh"][name] - figures["direct"][name], 3)
        for name in figures["mesh"]
    }
    return {
        "rate": rate,
        "requests": len(latencies_by_path["mesh"]),
        "failures": len(failures),
        **figures,
        "processor_ms_per_request": {
            kind: round(
                processor_seconds * 1000 / len(latencies_by_path["mesh"]), 3
            )
            for kind, processor_seconds in processor_seconds_by_kind.items()
        },
    }


async def _wait_until_listening(address, port):
    with trio.fail_after(20):
        while True:
            try:
                await trio.aclose_forcefully(
                    await tcp.open_stream(address, port)
                )
                return
            except OSError:
                await trio.sleep(0.05)


async def _run_measurements(arguments, processes):
    endpoints = (
        (UPSTREAM_ADDRESS, owner.UPSTREAM_PORT),
        (UPSTREAM_ADDRESS, forwarding.FORWARD_PORT),
        (ENTRY_ADDRESS, CALLER_PORT),
    )
    for endpoint in endpoints:
        await _wait_until_listening(*endpoint)
    direct, mesh = (
        pool.ConnectionPool(
            open_stream=tcp.open_stream,
            address=address,
            port=port,
            maximum=500,
            # The load generator sends no request id, so none is compared.
            id_header="x-no-id",
        )
        for address, port in (endpoints[0], endpoints[2])
    )
    hop_processes = processes[1:]
    gc.collect()
    gc.freeze()
    for client in (direct, mesh):
        await _send_load(client, TARGET_RATE, WARM_UP_SECONDS, 0)
    figures = await _measure(
        direct, mesh, hop_processes, TARGET_RATE, arguments.seconds, 5
    )
    print(json.dumps(figures), flush=True)
    is_target_met = (
        figures["added"]["p99"] <= TARGET_P99_MS and not figures["failures"]
    )
    if arguments.knee:
        for rate in KNEE_RATES:
            figures = await _measure(direct, mesh, hop_processes, rate, 4.0, 1)
            print(json.dumps(figures), flush=True)
            if figures["failures"] or figures["added"]["p50"] > TARGET_P99_MS:
                break
    return is_target_met


def main():
    """Print figures as JSON lines; return 1 if the target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=SERVERS_BY_ROLE)
    parser.add_argument(
        "--variant", choices=("own", "quart", "relay"), default="own"
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--knee", action="store_true")
    parser.add_argument("--profile", default="")
    arguments = parser.parse_args()
    if arguments.role:
        _serve_role(arguments.role, arguments.profile)
        return 0
    prefix = "" if arguments.variant == "own" else f"{arguments.variant}-"
    roles = ("upstream", f"{prefix}owner", f"{prefix}entry")
    command = [sys.executable, "-m", "bench.hop"]
    if arguments.profile:
        command += ["--profile", arguments.profile]
    processes = [
        subprocess.Popen([*command, "--role", role], stdin=subprocess.PIPE)
        for role in roles
    ]
    load_average = os.getloadavg()[0]
    started_at = time.monotonic()
    try:
        is_target_met = trio.run(_run_measurements, arguments, processes)
    finally:
        for process in processes:
            process.stdin.close()
        for process in processes:
            try:
                process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                process.kill()
    print(
        json.dumps(
            {
                "variant": arguments.variant,
                "load_average_at_start": load_average,
                "seconds": round(time.monotonic() - started_at, 1),
                "is_target_met": is_target_met,
            }
        )
    )
    return 0 if is_target_met or arguments.variant != "own" else 1


if __name__ == "__main__":
    sys.exit(main())
