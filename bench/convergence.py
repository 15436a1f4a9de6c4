"""Measure convergence time, control traffic and calls to the platform."""

import time

from . import fleet

BOUND_SECONDS = 4.0
BOUND_BYTES_PER_SECOND = 12_000
IDLE_WINDOW_SECONDS = 12.0
PUBLICATIONS = 15
# Longer than a child pauses after a poll that returned an update that it had
# already received from its other parent.
PUBLICATION_INTERVAL_SECONDS = 1.5
BASELINE_READERS_PER_DOMAIN = 16


def measure(options, *, domains, per_domain, services, variant="", **settings):
    """Measure one fleet; return one row of the table."""
    domain_names = [f"d{number:02}" for number in range(1, domains + 1)]
    service_names = [f"service-{number:03}" for number in range(services)]
    hosts = fleet.spread_hosts(
        options, domain_names, service_names, per_domain
    )
    idle_seconds = 6.0 if options.is_quick else IDLE_WINDOW_SECONDS
    publications = 4 if options.is_quick else PUBLICATIONS
    with fleet.Fleet(
        options=options,
        hosts=hosts,
        services=service_names,
        variant=variant,
        **settings,
    ) as measured_fleet:
        measured_fleet.start()
        idle = _TrafficWindow(measured_fleet)
        time.sleep(idle_seconds)
        idle.end()
        busy = _TrafficWindow(measured_fleet)
        worst, samples = [], []
        for _ in range(publications):
            published_at = measured_fleet.publish()
            times = measured_fleet.wait_until_active(measured_fleet.version)
            latencies = [at - published_at for at in times]
            samples += latencies
            worst.append(max(latencies))
            time.sleep(
                max(
                    0.0,
                    published_at + PUBLICATION_INTERVAL_SECONDS - time.time(),
                )
            )
        busy.end()
        status = measured_fleet.platform_status()
    changes_per_second = fleet.CHANGES_PER_DAY / fleet.SECONDS_PER_DAY
    bytes_per_change = (
        busy.bytes_per_node - idle.bytes_per_node * busy.seconds / idle.seconds
    ) / publications
    calls_per_change = (
        busy.calls - idle.calls * busy.seconds / idle.seconds
    ) / publications
    idle_rate = idle.bytes_per_node / idle.seconds
    return {
        "nodes": len(hosts),
        "domains": domains,
        "services": services,
        "variant": variant
        or ("tree" if not settings else "all read platform"),
        "all nodes, median s": fleet.percentile(worst, 0.5),
        "99 in 100 nodes s": fleet.percentile(samples, 0.99),
        "worst s": max(worst),
        "platform calls/s idle": idle.calls / idle.seconds,
        "platform calls a change": calls_per_change,
        "platform peak calls in 1 s": status["peak_calls"],
        "message B/s a node idle": idle_rate,
        "message B a node and change": bytes_per_change,
        "message B/s a node at 4,400/day": idle_rate
        + bytes_per_change * changes_per_second,
        "TCP payload B/s idle": idle.socket_payload / idle.seconds,
        "wire B/s idle": idle.socket_wire / idle.seconds,
        "TCP payload B/s busy": busy.socket_payload / busy.seconds,
        "changes/s busy": publications / busy.seconds,
    }


class _TrafficWindow:
    """Control traffic between creation and the call of ``end``."""

    def __init__(self, measured_fleet):
        self._fleet = measured_fleet
        self._bytes = measured_fleet.control_bytes()
        self._sockets = measured_fleet.socket_bytes()
        self._calls = measured_fleet.platform_status()["call_count"]
        self._started = time.monotonic()

    def end(self):
        """Set the attributes to the traffic since creation."""
        measured_fleet = self._fleet
        self.seconds = time.monotonic() - self._started
        self.calls = (
            measured_fleet.platform_status()["call_count"] - self._calls
        )
        self.socket_payload, self.socket_wire = fleet.socket_bytes_per_node(
            self._sockets,
            measured_fleet.socket_bytes(),
            len(measured_fleet.hosts),
        )
        after = measured_fleet.control_bytes()
        self.bytes_per_node = sum(
            after[host_id] - before for host_id, before in self._bytes.items()
        ) / len(after)


def run(options):
    """Measure fleets of several sizes, and the baselines."""
    cases = [
        {"domains": 3, "per_domain": 4, "services": 20},
        {"domains": 3, "per_domain": 16, "services": 20},
        {"domains": 9, "per_domain": 16, "services": 20},
        {"domains": 3, "per_domain": 16, "services": 200},
        {"domains": 3, "per_domain": 16, "services": 880},
        {
            "domains": 3,
            "per_domain": 16,
            "services": 880,
            "variant": "full-copies",
        },
        {
            "domains": 3,
            "per_domain": 16,
            "services": 880,
            "readers": BASELINE_READERS_PER_DOMAIN,
        },
    ]
    if options.is_quick:
        cases = [cases[0], cases[3]]
    rows = []
    for case in cases:
        rows.append(measure(options, **case))
        print(case, f"worst {rows[-1]['worst s']:.2f} s", flush=True)
    column_names = rows[0].keys()
    time_columns = [
        name for name in column_names if not name.endswith(("idle", "busy"))
    ]
    fleet.print_table(
        f"Convergence (bound {BOUND_SECONDS:g} s)",
        [{name: row[name] for name in time_columns[:7]} for row in rows],
    )
    fleet.print_table(
        f"Control traffic (bound {BOUND_BYTES_PER_SECOND} B/s a node)",
        [
            {
                name: row[name]
                for name in column_names
                if name not in time_columns[4:7]
            }
            for row in rows
        ],
    )
    return rows
