"""Measures the time from the start of a node to its first served request."""

import concurrent.futures
import time

import httpx

from . import fleet
from . import processes

SERVICES = ("alpha", "beta")
NODES_PER_DOMAIN = 12
DOMAINS = ("d01", "d02", "d03")
SINGLE_RESTARTS = 5
_POLL_INTERVAL_SECONDS = 0.02
_TIMEOUT_SECONDS = 90.0


def _wait_for_response(host):
    """Send requests until one succeeds; return the wall time of its response.

    Raises
    ------
    processes.ProcessError
        No request succeeded within the timeout.
    """
    url = (
        f"http://{host.address}:{processes.CALLER_PORT}"
        f"/{host.service}/collection-1/x"
    )
    deadline = time.time() + _TIMEOUT_SECONDS
    with httpx.Client(trust_env=False, timeout=5.0) as client:
        while time.time() < deadline:
            try:
                if client.get(url).status_code == httpx.codes.OK:
                    return time.time()
            except httpx.TransportError:
                pass
            time.sleep(_POLL_INTERVAL_SECONDS)
    raise processes.ProcessError(f"{host.host_id}: no request succeeded")


def _row(label, seconds, platform_calls):
    return {
        "start": label,
        "nodes": len(seconds),
        "first served, median s": fleet.percentile(seconds, 0.5),
        "worst s": max(seconds),
        "platform calls": platform_calls,
    }


def run(options):
    """Measure the first start, single restarts and a restart of all nodes."""
    per_domain = 4 if options.is_quick else NODES_PER_DOMAIN
    hosts = fleet.spread_hosts(
        options, list(DOMAINS), list(SERVICES), per_domain
    )
    rows = []
    with (
        fleet.Fleet(
            options=options, hosts=hosts, services=list(SERVICES)
        ) as node_fleet,
        concurrent.futures.ThreadPoolExecutor(len(hosts)) as pool,
    ):
        node_fleet.start_platform()
        node_fleet.start_upstreams(service_ms=1.0)

        def start_all(label):
            platform_calls = node_fleet.platform_status()["call_count"]
            started_at = time.time()
            for host in hosts:
                node_fleet.start_node(host)
            response_times = list(pool.map(_wait_for_response, hosts))
            platform_calls = (
                node_fleet.platform_status()["call_count"] - platform_calls
            )
            rows.append(
                _row(
                    label,
                    [at - started_at for at in response_times],
                    platform_calls,
                )
            )

        def kill_nodes(hosts_to_kill):
            for host in hosts_to_kill:
                node_fleet.process_manager.get_process(
                    node_fleet.node_name(host)
                ).kill()
            for host in hosts_to_kill:
                node_fleet.process_manager.wait(node_fleet.node_name(host))
                node_fleet.reset_log(host)

        start_all("first start, all nodes at once")
        node_fleet.wait_for_readers()
        seconds = []
        platform_calls = node_fleet.platform_status()["call_count"]
        for host in hosts[:SINGLE_RESTARTS]:
            kill_nodes([host])
            started_at = time.time()
            node_fleet.start_node(host)
            seconds.append(_wait_for_response(host) - started_at)
        platform_calls = (
            node_fleet.platform_status()["call_count"] - platform_calls
        )
        rows.append(_row("one node, the others run", seconds, platform_calls))
        kill_nodes(hosts)
        start_all("all nodes killed and started at once")
    fleet.print_table("Start (no bound is stated)", rows)
    return rows
