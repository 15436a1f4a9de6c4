"""Measures service while a failure domain is taken out and returned.

The upstreams of the domain are cold when it returns.
"""

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

CLIENT_COUNT = 4
# A node treats its upstream as cold when the node starts; the longest ramp in
# the examples takes 30 s.
WARM_UP_SECONDS = 36.0
BEFORE_SECONDS = 10.0
OUT_SECONDS = 12.0
BACK_SECONDS = 36.0
# The upstreams of the domain restart this long before the domain returns.
RESTART_LEAD_SECONDS = 2.0
# Sigma of the log-normal service time.
SERVICE_TIME_SIGMA = 0.3
# Offered load as a fraction of the capacity without the domain.
UTILIZATION = 0.6
LAST_START_BOUND_SECONDS = 4.0
OVERLOAD_SLOTS = 2
OVERLOAD_SERVICE_MS = 40.0
OVERLOAD_SECONDS = 15.0
OVERLOAD_LOAD_RATIOS = (0.7, 1.5)
_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """One of the deployments of section 2.5 of the design page.

    The first domain of ``hosts_by_domain`` is taken out of service.
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
        processes.HostSpec(
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


def _load_configuration(deployment, change_count, *, out_of_service=()):
    configuration = tree.load_tree(
        processes.ROOT / "examples" / deployment.name
    )
    domains_by_name = {
        name: dataclasses.replace(
            domain, in_service=name not in out_of_service
        )
        for name, domain in configuration.failure_domains_by_name.items()
    }
    return dataclasses.replace(
        configuration, failure_domains_by_name=domains_by_name
    )


def offered_rate(deployment):
    """Return the offered calls per second; see ``UTILIZATION``."""
    _, *others = deployment.hosts_by_domain.values()
    upstream_count = sum(
        services.count(deployment.main_service) for services in others
    )
    main_service_ratio = sum(
        path.startswith(f"/{deployment.main_service}/")
        for _, path, _ in deployment.kinds
    ) / len(deployment.kinds)
    mean_seconds = (
        deployment.service_ms
        / _MILLISECONDS
        * math.exp(SERVICE_TIME_SIGMA**2 / 2)
    )
    return (
        UTILIZATION
        * upstream_count
        * deployment.slots
        / mean_seconds
        / main_service_ratio
    )


class DomainMove:
    """Takes the first domain of a fleet under load out and returns it."""

    def __init__(self, *, options, deployment, variant):
        self._options = options
        self._deployment = deployment
        self._variant = variant
        self._time_scale = 0.3 if options.is_quick else 1.0
        self._domain = next(iter(deployment.hosts_by_domain))
        self.fleet = fleet.Fleet(
            options=options,
            hosts=make_hosts(options, deployment),
            variant=variant,
            configure=lambda count, **changes: _load_configuration(
                deployment, count, **changes
            ),
        )

    def start(self):
        """Start the fleet; call this from the main thread."""
        deployment = self._deployment
        self.fleet.start(
            slots=deployment.slots,
            cold_slots=deployment.cold_slots,
            service_ms=deployment.service_ms,
            spread=SERVICE_TIME_SIGMA,
            warm_seconds=deployment.warm_seconds,
            seed=self._options.seed,
        )

    def start_load(self):
        """Start the load generators; call this from the main thread."""
        warm_up = WARM_UP_SECONDS * self._time_scale
        durations = [warm_up, BEFORE_SECONDS, OUT_SECONDS, BACK_SECONDS]
        durations[1:] = [
            seconds * self._time_scale for seconds in durations[1:]
        ]
        self._start_at = time.time() + 2.0
        ends = [self._start_at + sum(durations[: n + 1]) for n in range(4)]
        self._end_by_phase = dict(
            zip(("warm-up", "before", "out", "back"), ends)
        )
        self._load_names = []
        for number in range(CLIENT_COUNT):
            name = f"load-{self._options.octet}-{number}"
            plan = load.Plan(
                addresses=[host.address for host in self.fleet.hosts],
                kinds=self._deployment.kinds,
                rate=offered_rate(self._deployment) / CLIENT_COUNT,
                seconds=sum(durations),
                seed=self._options.seed * 100 + number,
                growth_seconds=warm_up,
                start_at=self._start_at,
            )
            load.start_process(self.fleet.process_manager, name, plan)
            self._load_names.append(name)

    def run(self):
        """Take the domain out and return it at the planned times.

        Returns
        -------
        tuple of (list of dict, dict)
            A row for each phase and a row of totals.
        """
        _sleep_until(self._end_by_phase["before"])
        out_of_service_at = self.fleet.publish(out_of_service=(self._domain,))
        _sleep_until(self._end_by_phase["out"] - RESTART_LEAD_SECONDS)
        for host in self._domain_hosts():
            # The crash may reset this connection as well.
            with contextlib.suppress(httpx.TransportError):
                httpx.post(
                    f"http://{host.address}:{processes.UPSTREAM_PORT}"
                    "/control/crash",
                    trust_env=False,
                )
        _sleep_until(self._end_by_phase["out"])
        back_at = self.fleet.publish()
        records = [
            record
            for name in self._load_names
            for record in load.read_records(
                self.fleet.process_manager, name, 120.0
            )
        ]
        return self._phase_rows(records), self._total_row(
            records, out_of_service_at, back_at
        )

    def _domain_hosts(self):
        return [
            host
            for host in self.fleet.hosts
            if host.failure_domain == self._domain
        ]

    @property
    def _policy_name(self):
        return self._variant or "product"

    def _phase_rows(self, records):
        starts = dict(
            zip(
                self._end_by_phase,
                [self._start_at, *self._end_by_phase.values()],
            )
        )
        rows = []
        for phase, end in list(self._end_by_phase.items())[1:]:
            phase_records = [
                record
                for record in records
                if starts[phase] <= record.sent_at < end
            ]
            succeeded = [
                record for record in phase_records if record.outcome == "run"
            ]
            latencies = [
                record.latency * _MILLISECONDS for record in succeeded
            ]
            codes = collections.Counter(
                f"{record.outcome} {record.code}".strip()
                for record in phase_records
                if record.outcome != "run"
            )
            rows.append(
                {
                    "deployment": self._deployment.name,
                    "policy": self._policy_name,
                    "phase": phase,
                    "calls/s": len(phase_records) / (end - starts[phase]),
                    "goodput": len(succeeded) / len(phase_records),
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

    def _total_row(self, records, out_of_service_at, back_at):
        upstream_records = [
            processes.wait_until_responding(
                self.fleet.process_manager,
                self.fleet.node_name(host),
                lambda host=host: processes.fetch_upstream_record(host),
            )
            for host in self.fleet.hosts
        ]
        runs_by_key = collections.Counter()
        runs_by_request_id = collections.Counter()
        for upstream_record in upstream_records:
            runs_by_key.update(upstream_record["by_key"])
            runs_by_request_id.update(upstream_record["by_request_id"])
        return {
            "deployment": self._deployment.name,
            "policy": self._policy_name,
            "calls": len(records),
            "last start in the domain after out, s": max(
                (
                    at - out_of_service_at
                    for host in self._domain_hosts()
                    for at in admission_times(self.fleet, host)
                    if at < back_at
                ),
                default=0.0,
            ),
            "in force everywhere after, s": max(
                at - out_of_service_at
                for at in self.fleet.wait_until_active(2)
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
            "cold overloads": sum(
                each["cold_overloads"] for each in upstream_records
            ),
            "upstream crashes": sum(
                each["crashes"] for each in upstream_records
            )
            - len(self._domain_hosts()),
            "starts at upstreams a call": sum(runs_by_request_id.values())
            / len(records),
        }


def _sleep_until(wall_time):
    time.sleep(max(0.0, wall_time - time.time()))


def admission_times(node_fleet, host):
    """Return the wall times at which the node of a host admitted requests."""
    admitted_at = []
    with node_fleet.log_path(host).open("rb") as log:
        for line in log:
            if b'"shallotbridge:admit"' in line and b'"admitted"' in line:
                admitted_at.append(json.loads(line)["timestamp"])
    return admitted_at


def run_moves(options):
    """Take a domain out and return it, in each deployment.

    The product and the baseline run concurrently, so that both run under the
    same machine load.
    """
    phases, totals = [], []
    for deployment in DEPLOYMENTS:
        domain_moves = [
            DomainMove(
                options=dataclasses.replace(
                    options, octet=options.octet + 20 * index
                ),
                deployment=deployment,
                variant=variant,
            )
            for index, variant in enumerate(("", "baseline"))
        ]
        try:
            for domain_move in domain_moves:
                domain_move.start()
            for domain_move in domain_moves:
                domain_move.start_load()
            with concurrent.futures.ThreadPoolExecutor() as executor:
                results = list(executor.map(DomainMove.run, domain_moves))
        finally:
            for domain_move in domain_moves:
                domain_move.fleet.close()
        for rows, total in results:
            phases += rows
            totals.append(total)
    fleet.print_table(
        f"A domain leaves and returns, load {UTILIZATION:.0%} of what is left",
        phases,
    )
    fleet.print_table(
        "Guarantees (bound of the last start "
        f"{LAST_START_BOUND_SECONDS:g} s)",
        totals,
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
        ) as node_fleet:
            node_fleet.start(
                service_ms=OVERLOAD_SERVICE_MS,
                spread=SERVICE_TIME_SIGMA,
                slots=OVERLOAD_SLOTS,
                cold_slots=OVERLOAD_SLOTS,
            )
            for load_ratio in OVERLOAD_LOAD_RATIOS:
                before = node_fleet.resource_usage()
                attempts_before = _count_attempts(node_fleet)
                plan = load.Plan(
                    addresses=[host.address for host in hosts],
                    kinds=[["GET", "/alpha/collection-1/x", True]],
                    rate=load_ratio * capacity,
                    seconds=seconds,
                    seed=options.seed,
                )
                name = f"overload-{variant}-{load_ratio}"
                load.start_process(node_fleet.process_manager, name, plan)
                records = load.read_records(
                    node_fleet.process_manager, name, seconds + 60.0
                )
                after = node_fleet.resource_usage()
                latencies_ms = [
                    record.latency * _MILLISECONDS
                    for record in records
                    if record.outcome == "run"
                ]
                rows.append(
                    {
                        "policy": variant or "product",
                        "load / capacity": load_ratio,
                        "calls/s": len(records) / seconds,
                        "answered / capacity": len(latencies_ms)
                        / seconds
                        / capacity,
                        "goodput": len(latencies_ms) / len(records),
                        "p50 ms": fleet.percentile(latencies_ms, 0.5),
                        "p99 ms": fleet.percentile(latencies_ms, 0.99),
                        "attempts a call": (
                            _count_attempts(node_fleet) - attempts_before
                        )
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


def _count_attempts(node_fleet):
    return sum(
        count
        for host in node_fleet.hosts
        for name, count in processes.fetch_node_status(host.address)[
            "counters"
        ].items()
        if name.startswith("attempts.")
    )


def run(options):
    """Measure moves of a domain and retries under overload."""
    return run_moves(options) + run_overload(options)
