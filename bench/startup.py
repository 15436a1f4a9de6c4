"""Time from the start of a process to its first served request."""

import concurrent.futures
import time

import httpx

from . import fleet
from . import processes

SERVICES = ("alpha", "beta")
NODES_PER_DOMAIN = 12
DOMAINS = ("d01", "d02", "d03")
SINGLE_STARTS = 5
_POLL_SECONDS = 0.02
_LIMIT_SECONDS = 90.0


def _first_answer(host):
    """Return the wall time of the first request that ran."""
    url = (
        f"http://{host.address}:{processes.CALLER_PORT}"
        f"/{host.service}/collection-1/x"
    )
    end = time.time() + _LIMIT_SECONDS
    with httpx.Client(trust_env=False, timeout=5.0) as client:
        while time.time() < end:
            try:
                if client.get(url).status_code == httpx.codes.OK:
                    return time.time()
            except httpx.TransportError:
                pass
            time.sleep(_POLL_SECONDS)
    raise processes.ProcessError(f"{host.host_id} served nothing")


def _row(label, seconds, calls):
    return {
        "start": label,
        "nodes": len(seconds),
        "first served, median s": fleet.percentile(seconds, 0.5),
        "worst s": max(seconds),
        "platform calls": calls,
    }


def run(options):
    """Measure the first start, single restarts and a herd restart."""
    per_domain = 4 if options.is_quick else NODES_PER_DOMAIN
    hosts = fleet.spread_hosts(
        options, list(DOMAINS), list(SERVICES), per_domain
    )
    rows = []
    with (
        fleet.Fleet(
            options=options, hosts=hosts, services=list(SERVICES)
        ) as running,
        concurrent.futures.ThreadPoolExecutor(len(hosts)) as pool,
    ):
        running.start_platform()
        running.start_upstreams(service_ms=1.0)

        def start_all(label):
            calls = running.platform_status()["call_count"]
            started = time.time()
            for host in hosts:
                running.start_node(host)
            times = list(pool.map(_first_answer, hosts))
            calls = running.platform_status()["call_count"] - calls
            rows.append(_row(label, [at - started for at in times], calls))

        def stop(members):
            for host in members:
                running.running.process(running.node_name(host)).kill()
            for host in members:
                running.running.wait(running.node_name(host))
                running.forget(host)

        start_all("first start, all nodes at once")
        running.wait_settled()
        seconds = []
        calls = running.platform_status()["call_count"]
        for host in hosts[:SINGLE_STARTS]:
            stop([host])
            started = time.time()
            running.start_node(host)
            seconds.append(_first_answer(host) - started)
        calls = running.platform_status()["call_count"] - calls
        rows.append(_row("one node, the others run", seconds, calls))
        stop(hosts)
        start_all("all nodes killed and started at once")
    fleet.print_table("Start (no bound is stated)", rows)
    return rows
