"""Convergence time, control bytes and calls to the platform."""

import time

from . import fleet

BOUND_SECONDS = 4.0
BOUND_BYTES_PER_SECOND = 12_000
IDLE_SECONDS = 12.0
PUBLICATIONS = 15
# Longer than the pause of a child that got an update from its other parent.
PUBLICATION_SECONDS = 1.5
READERS_PER_DOMAIN_BASELINE = 16


def measure(options, *, domains, per_domain, services, variant="", **settings):
    """Measure one fleet; returns one row of the table."""
    names = [f"d{number:02}" for number in range(1, domains + 1)]
    service_names = [f"service-{number:03}" for number in range(services)]
    hosts = fleet.spread_hosts(options, names, service_names, per_domain)
    idle_seconds = 6.0 if options.is_quick else IDLE_SECONDS
    publications = 4 if options.is_quick else PUBLICATIONS
    with fleet.Fleet(
        options=options,
        hosts=hosts,
        services=service_names,
        variant=variant,
        **settings,
    ) as running:
        running.start()
        idle = _Window(running)
        time.sleep(idle_seconds)
        idle.end()
        busy = _Window(running)
        worst, samples = [], []
        for _ in range(publications):
            put_at = running.publish()
            times = running.wait_in_force(running.version)
            latencies = [at - put_at for at in times]
            samples += latencies
            worst.append(max(latencies))
            time.sleep(max(0.0, put_at + PUBLICATION_SECONDS - time.time()))
        busy.end()
        status = running.platform_status()
    changes_per_second = fleet.CHANGES_PER_DAY / fleet.SECONDS_PER_DAY
    per_change = (
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
        "message B a node and change": per_change,
        "message B/s a node at 4,400/day": idle_rate
        + per_change * changes_per_second,
        "TCP payload B/s idle": idle.socket_payload / idle.seconds,
        "wire B/s idle": idle.socket_wire / idle.seconds,
        "TCP payload B/s busy": busy.socket_payload / busy.seconds,
        "changes/s busy": publications / busy.seconds,
    }


class _Window:
    """Traffic between now and ``end``."""

    def __init__(self, running):
        self._running = running
        self._bytes = running.control_bytes()
        self._sockets = running.socket_bytes()
        self._calls = running.platform_status()["call_count"]
        self._started = time.monotonic()

    def end(self):
        """Take the counts again and keep the differences."""
        running = self._running
        self.seconds = time.monotonic() - self._started
        self.calls = running.platform_status()["call_count"] - self._calls
        self.socket_payload, self.socket_wire = fleet.socket_bytes_per_node(
            self._sockets, running.socket_bytes(), len(running.hosts)
        )
        after = running.control_bytes()
        self.bytes_per_node = sum(
            after[host_id] - before for host_id, before in self._bytes.items()
        ) / len(after)


def run(options):
    """Measure fleets of several sizes and the baselines."""
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
            "readers": READERS_PER_DOMAIN_BASELINE,
        },
    ]
    if options.is_quick:
        cases = [cases[0], cases[3]]
    rows = []
    for case in cases:
        rows.append(measure(options, **case))
        print(case, f"worst {rows[-1]['worst s']:.2f} s", flush=True)
    short = rows[0].keys()
    times = [name for name in short if not name.endswith(("idle", "busy"))]
    fleet.print_table(
        f"Convergence (bound {BOUND_SECONDS:g} s)",
        [{name: row[name] for name in times[:7]} for row in rows],
    )
    fleet.print_table(
        f"Control traffic (bound {BOUND_BYTES_PER_SECOND} B/s a node)",
        [
            {name: row[name] for name in short if name not in times[4:7]}
            for row in rows
        ],
    )
    return rows
