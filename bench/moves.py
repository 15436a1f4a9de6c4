"""Service while a failure domain leaves and returns with cold upstreams."""

import collections
import concurrent.futures
import contextlib
import dataclasses
import json
import math
import time

import httpx

from shallotbridge.core import tree

from . import fleet
from . import load
from . import processes

CLIENTS = 4
# Nodes know their upstreams as cold at their own start; the longest ramp of
# the examples is 30 s.
WARM_UP_SECONDS = 36.0
BEFORE_SECONDS = 10.0
OUT_SECONDS = 12.0
BACK_SECONDS = 36.0
# Time of the restart of the upstreams before their return.
RESTART_SECONDS = 2.0
SPREAD = 0.3
# Share of the capacity that is left while the domain is out.
UTILIZATION = 0.6
BOUND_SECONDS = 4.0
OVERLOAD_SLOTS = 2
OVERLOAD_SERVICE_MS = 40.0
OVERLOAD_SECONDS = 15.0
OVERLOAD_SHARES = (0.7, 1.5)
_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """One of the deployments of section 2.5 of the design page.

    The first domain of ``hosts_by_domain`` is taken out.
    """

    name: str
    hosts_by_domain: dict
    kinds: list
    main_service: str
    slots: int
    service_ms: float
    warm_seconds: float
    cold_slots: int


DEPLOYMENTS = (
    Deployment(
        name="nileweave",
        hosts_by_domain={
            "cairo-1": ["showroom", "showroom", "cutting-floor"],
            "cairo-2": ["showroom", "showroom", "cutting-floor"],
            "cairo-3": ["showroom", "cutting-floor"],
            "cairo-4": ["showroom", "cutting-floor"],
        },
        kinds=[
            ["GET", "/showroom/stock", True],
            ["GET", "/showroom/rolls/r17/bin", True],
            ["POST", "/showroom/reservations", False],
            ["POST", "/cutting-floor/orders", False],
        ],
        main_service="showroom",
        slots=6,
        service_ms=40.0,
        warm_seconds=20.0,
        cold_slots=1,
    ),
    Deployment(
        name="molarline",
        hosts_by_domain={
            "gauteng-1": ["tracking-desk"] * 4 + ["lab-orders"],
            "gauteng-2": ["tracking-desk"] * 3 + ["lab-orders"],
            "gauteng-3": ["tracking-desk"] * 3 + ["lab-orders"],
        },
        kinds=[
            ["GET", "/tracking-desk/parcels/p1", True],
            ["GET", "/tracking-desk/parcels/p2", True],
            ["POST", "/tracking-desk/collections", False],
            ["POST", "/lab-orders/payments/p3/charge", False],
        ],
        main_service="tracking-desk",
        slots=12,
        service_ms=100.0,
        warm_seconds=15.0,
        cold_slots=2,
    ),
)


def make_hosts(options, deployment):
    """Return the hosts of a deployment."""
    return [
        processes.HostPlan(
            host_id=f"{domain}-{place}-{service}",
            address=options.address(number, place),
            service=service,
            failure_domain=domain,
        )
        for number, (domain, services) in enumerate(
            deployment.hosts_by_domain.items(), start=1
        )
        for place, service in enumerate(services, start=1)
    ]


def _configure_tree(deployment, change_count, *, out=()):
    configuration = tree.load_tree(
        processes.ROOT / "examples" / deployment.name
    )
    domains_by_name = {
        name: dataclasses.replace(domain, in_service=name not in out)
        for name, domain in configuration.failure_domains_by_name.items()
    }
    return dataclasses.replace(
        configuration, failure_domains_by_name=domains_by_name
    )


def rate_of(deployment):
    """Return the offered calls a second; see ``UTILIZATION``."""
    _, *others = deployment.hosts_by_domain.values()
    left = sum(services.count(deployment.main_service) for services in others)
    share = sum(
        path.startswith(f"/{deployment.main_service}/")
        for _, path, _ in deployment.kinds
    ) / len(deployment.kinds)
    mean_seconds = (
        deployment.service_ms / _MILLISECONDS * math.exp(SPREAD**2 / 2)
    )
    return UTILIZATION * left * deployment.slots / mean_seconds / share


class Move:
    """One fleet under load whose first domain leaves and returns."""

    def __init__(self, *, options, deployment, variant):
        self._options = options
        self._deployment = deployment
        self._variant = variant
        self._quick = 0.3 if options.is_quick else 1.0
        self._domain = next(iter(deployment.hosts_by_domain))
        self.fleet = fleet.Fleet(
            options=options,
            hosts=make_hosts(options, deployment),
            variant=variant,
            configure=lambda count, **changes: _configure_tree(
                deployment, count, **changes
            ),
        )

    def start(self):
        """Start the fleet; must be called by the main thread."""
        deployment = self._deployment
        self.fleet.start(
            slots=deployment.slots,
            cold_slots=deployment.cold_slots,
            service_ms=deployment.service_ms,
            spread=SPREAD,
            warm_seconds=deployment.warm_seconds,
            seed=self._options.seed,
        )

    def start_load(self):
        """Start the callers; must be called by the main thread."""
        warm_up = WARM_UP_SECONDS * self._quick
        times = [warm_up, BEFORE_SECONDS, OUT_SECONDS, BACK_SECONDS]
        times[1:] = [seconds * self._quick for seconds in times[1:]]
        self._start = time.time() + 2.0
        ends = [self._start + sum(times[: n + 1]) for n in range(4)]
        self._ends = dict(zip(("warm-up", "before", "out", "back"), ends))
        self._names = []
        for number in range(CLIENTS):
            name = f"load-{self._options.octet}-{number}"
            plan = load.Plan(
                addresses=[host.address for host in self.fleet.hosts],
                kinds=self._deployment.kinds,
                rate=rate_of(self._deployment) / CLIENTS,
                seconds=sum(times),
                seed=self._options.seed * 100 + number,
                growth_seconds=warm_up,
                start_at=self._start,
            )
            load.start_process(self.fleet.running, name, plan)
            self._names.append(name)

    def run(self):
        """Move the domain at its times; returns rows by phase and totals."""
        _sleep_until(self._ends["before"])
        out_at = self.fleet.publish(out=(self._domain,))
        _sleep_until(self._ends["out"] - RESTART_SECONDS)
        for host in self._domain_hosts():
            # The restart may reset this connection too.
            with contextlib.suppress(httpx.TransportError):
                httpx.post(
                    f"http://{host.address}:{processes.UPSTREAM_PORT}"
                    "/control/crash",
                    trust_env=False,
                )
        _sleep_until(self._ends["out"])
        back_at = self.fleet.publish()
        records = [
            record
            for name in self._names
            for record in load.read_records(self.fleet.running, name, 120.0)
        ]
        return self._phase_rows(records), self._total_row(
            records, out_at, back_at
        )

    def _domain_hosts(self):
        return [
            host
            for host in self.fleet.hosts
            if host.failure_domain == self._domain
        ]

    @property
    def _name(self):
        return self._variant or "product"

    def _phase_rows(self, records):
        starts = dict(zip(self._ends, [self._start, *self._ends.values()]))
        rows = []
        for phase, end in list(self._ends.items())[1:]:
            found = [
                record
                for record in records
                if starts[phase] <= record.sent_at < end
            ]
            run = [record for record in found if record.outcome == "run"]
            latencies = [record.latency * _MILLISECONDS for record in run]
            codes = collections.Counter(
                f"{record.outcome} {record.code}".strip()
                for record in found
                if record.outcome != "run"
            )
            rows.append(
                {
                    "deployment": self._deployment.name,
                    "policy": self._name,
                    "phase": phase,
                    "calls/s": len(found) / (end - starts[phase]),
                    "goodput": len(run) / len(found),
                    "p50 ms": fleet.percentile(latencies, 0.5),
                    "p99 ms": fleet.percentile(latencies, 0.99),
                    "failures by code": ", ".join(
                        f"{count} {code}"
                        for code, count in codes.most_common(5)
                    )
                    or "none",
                }
            )
        return rows

    def _total_row(self, records, out_at, back_at):
        uppers = [
            processes.wait_answer(
                self.fleet.running,
                self.fleet.node_name(host),
                lambda host=host: processes.upstream_record(host),
            )
            for host in self.fleet.hosts
        ]
        runs_by_key = collections.Counter()
        runs_by_request_id = collections.Counter()
        for upper in uppers:
            runs_by_key.update(upper["by_key"])
            runs_by_request_id.update(upper["by_request_id"])
        return {
            "deployment": self._deployment.name,
            "policy": self._name,
            "calls": len(records),
            "last start in the domain after out, s": max(
                (
                    at - out_at
                    for host in self._domain_hosts()
                    for at in admission_times(self.fleet, host)
                    if at < back_at
                ),
                default=0.0,
            ),
            "in force everywhere after, s": max(
                at - out_at for at in self.fleet.wait_in_force(2)
            ),
            "not idempotent, run twice": sum(
                count > 1 for count in runs_by_key.values()
            ),
            "not idempotent, run": len(runs_by_key),
            "told not-run but ran": sum(
                record.outcome == "not-run"
                and runs_by_request_id[record.request_id] > 0
                for record in records
            ),
            "told not-run": sum(
                record.outcome == "not-run" for record in records
            ),
            "cold overloads": sum(each["cold_overloads"] for each in uppers),
            "upstream crashes": sum(each["crashes"] for each in uppers)
            - len(self._domain_hosts()),
            "starts at upstreams a call": sum(runs_by_request_id.values())
            / len(records),
        }


def _sleep_until(wall):
    time.sleep(max(0.0, wall - time.time()))


def admission_times(running, host):
    """Return the wall times at which the node of a host admitted requests."""
    times = []
    with running.log_path(host).open("rb") as log:
        for line in log:
            if b'"shallotbridge:admit"' in line and b'"admitted"' in line:
                times.append(json.loads(line)["timestamp"])
    return times


def run_moves(options):
    """Move a domain in both deployments; product and baseline at a time.

    The two policies run beside each other, so that both see the same
    machine.
    """
    phases, totals = [], []
    for deployment in DEPLOYMENTS:
        moves = [
            Move(
                options=dataclasses.replace(
                    options, octet=options.octet + 20 * index
                ),
                deployment=deployment,
                variant=variant,
            )
            for index, variant in enumerate(("", "baseline"))
        ]
        try:
            for move in moves:
                move.start()
            for move in moves:
                move.start_load()
            with concurrent.futures.ThreadPoolExecutor() as pool:
                results = list(pool.map(Move.run, moves))
        finally:
            for move in moves:
                move.fleet.close()
        for rows, total in results:
            phases += rows
            totals.append(total)
    fleet.print_table(
        f"A domain leaves and returns, load {UTILIZATION:.0%} of what is left",
        phases,
    )
    fleet.print_table(
        f"Guarantees (bound of the last start {BOUND_SECONDS:g} s)", totals
    )
    return phases + totals


def run_overload(options):
    """Compare the retry budget with unlimited retries under overload."""
    seconds = 4.0 if options.is_quick else OVERLOAD_SECONDS
    services = ["alpha"]
    hosts = fleet.spread_hosts(options, ["d01"], services, 4)
    capacity = (
        len(hosts) * OVERLOAD_SLOTS * _MILLISECONDS / OVERLOAD_SERVICE_MS
    )
    rows = []
    for variant in ("", "unlimited-retries"):
        with fleet.Fleet(
            options=options,
            hosts=hosts,
            variant=variant,
            configure=lambda count: fleet.make_configuration(
                ["d01"],
                services,
                count,
                slots=OVERLOAD_SLOTS,
                cold_slots=OVERLOAD_SLOTS,
                queue=OVERLOAD_SLOTS,
            ),
        ) as running:
            running.start(
                service_ms=OVERLOAD_SERVICE_MS,
                spread=SPREAD,
                slots=OVERLOAD_SLOTS,
                cold_slots=OVERLOAD_SLOTS,
            )
            for share in OVERLOAD_SHARES:
                before = running.processor_seconds()
                attempts = _attempts(running)
                plan = load.Plan(
                    addresses=[host.address for host in hosts],
                    kinds=[["GET", "/alpha/collection-1/x", True]],
                    rate=share * capacity,
                    seconds=seconds,
                    seed=options.seed,
                )
                name = f"overload-{variant}-{share}"
                load.start_process(running.running, name, plan)
                records = load.read_records(running.running, name, seconds + 60.0)
                after = running.processor_seconds()
                run = [
                    record.latency * _MILLISECONDS
                    for record in records
                    if record.outcome == "run"
                ]
                rows.append(
                    {
                        "policy": variant or "product",
                        "load / capacity": share,
                        "calls/s": len(records) / seconds,
                        "answered / capacity": len(run) / seconds / capacity,
                        "goodput": len(run) / len(records),
                        "p50 ms": fleet.percentile(run, 0.5),
                        "p99 ms": fleet.percentile(run, 0.99),
                        "attempts a call": (_attempts(running) - attempts)
                        / len(records),
                        "processor ms a call": sum(
                            after[host_id][0] - before[host_id][0]
                            for host_id in before
                        )
                        * _MILLISECONDS
                        / len(records),
                    }
                )
    fleet.print_table("Retries under overload", rows)
    return rows


def _attempts(running):
    return sum(
        count
        for host in running.hosts
        for name, count in processes.node_status(host.address)[
            "counters"
        ].items()
        if name.startswith("attempts.")
    )


def run(options):
    """Measure moves and overload."""
    return run_moves(options) + run_overload(options)
