"""Compares owner selection with round robin in a seeded simulation.

A failure domain under load is taken out of service and returns with cold
upstreams. Run ``python -m bench.policy``; all time is simulated.
"""

import argparse
import contextlib
import dataclasses
import math
import random as random_module

import trio
import trio.testing

from shallotbridge.core import errors
from shallotbridge.core import gate
from shallotbridge.core import keys
from shallotbridge.core import model
from shallotbridge.core import owner_selection
from shallotbridge.core import retries
from shallotbridge.core import suspects

# The load ramps up during the warm-up, because nodes treat their upstreams as
# cold when they start.
WARM_UP_SECONDS = 30.0
OUT_AT_SECONDS = 40.0
RESTART_AT_SECONDS = 54.0
BACK_AT_SECONDS = 55.0
END_AT_SECONDS = 90.0
MAXIMUM_CONVERGENCE_SECONDS = 2.0
SAME_DOMAIN_ROUND_TRIP_SECONDS = 0.0002
OTHER_DOMAIN_ROUND_TRIP_SECONDS = 0.001
DEADLINE_SECONDS = 0.8
UPSTREAM_WARM_UP_SECONDS = 20.0
OVERLOAD_TO_CRASH_SECONDS = 1.0
CRASH_DOWNTIME_SECONDS = 1.0
MAXIMUM_ATTEMPTS = 3
PHASES = (
    ("warm-up", WARM_UP_SECONDS),
    ("before", OUT_AT_SECONDS),
    ("out", BACK_AT_SECONDS),
    ("back", END_AT_SECONDS),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """One of the deployments of section 2.5 of the design page."""

    name: str
    service: str
    upstreams_by_domain: dict
    slots: int
    queue: int
    service_seconds: float
    utilization: float


DEPLOYMENTS = (
    Deployment(
        name="nileweave",
        service="showroom",
        upstreams_by_domain={
            "cairo-1": 2,
            "cairo-2": 2,
            "cairo-3": 1,
            "cairo-4": 1,
        },
        slots=6,
        queue=6,
        service_seconds=0.04,
        utilization=0.6,
    ),
    Deployment(
        name="molarline",
        service="tracking-desk",
        upstreams_by_domain={
            "gauteng-1": 4,
            "gauteng-2": 3,
            "gauteng-3": 3,
        },
        slots=12,
        queue=12,
        service_seconds=0.1,
        utilization=0.55,
    ),
)


class SimulatedUpstream:
    """Refuses requests beyond its slots; crashes if overloaded while cold."""

    def __init__(self, *, deployment, random):
        self._deployment = deployment
        self._random = random
        self._warming_since = -UPSTREAM_WARM_UP_SECONDS
        self._down_until = 0.0
        self._overloaded_since = None
        self._scopes = set()
        self.start_count = 1
        self.in_use = 0
        self.cold_overloads = 0
        self.crash_count = 0

    def _capacity(self):
        warm_up_progress = (
            trio.current_time() - self._warming_since
        ) / UPSTREAM_WARM_UP_SECONDS
        slots = self._deployment.slots
        return 1 + (slots - 1) * max(0.0, min(1.0, warm_up_progress))

    def restart(self, down_seconds):
        """Abort all running requests and start cold after a downtime."""
        self.start_count += 1
        self._down_until = trio.current_time() + down_seconds
        self._warming_since = self._down_until
        self._overloaded_since = None
        for scope in self._scopes:
            scope.cancel()

    async def send(self, call):
        """Run one request and return its response."""
        now = trio.current_time()
        if now < self._down_until:
            raise errors.UpstreamUnreachableError("connection refused")
        if self.in_use >= self._deployment.slots:
            raise errors.UpstreamRefusedError(reason="overloaded")
        self.in_use += 1
        with trio.CancelScope(deadline=call.deadline) as scope:
            self._scopes.add(scope)
            try:
                self._track_overload(now)
                seconds = self._random.lognormvariate(
                    math.log(self._deployment.service_seconds), 0.3
                )
                await trio.sleep(
                    seconds * max(1.0, self.in_use / self._capacity())
                )
            finally:
                self._scopes.discard(scope)
                self.in_use -= 1
                if self.in_use <= self._capacity():
                    self._overloaded_since = None
        if scope.cancelled_caught:
            if trio.current_time() >= call.deadline:
                raise errors.DeadlineAfterSendError("late")
            raise errors.OutcomeUnknownError("reset")
        instance = model.Header(name="x-instance", value=str(self.start_count))
        return model.Response(status=200, headers=(instance,))

    def _track_overload(self, now):
        if self.in_use <= math.ceil(self._capacity()):
            return
        self.cold_overloads += 1
        if self._overloaded_since is None:
            self._overloaded_since = now
        elif now - self._overloaded_since > OVERLOAD_TO_CRASH_SECONDS:
            self.crash_count += 1
            self.restart(CRASH_DOWNTIME_SECONDS)


class RoundRobin:
    """Baseline: picks the next host in service, ignoring load and failures."""

    def __init__(self, *, hosts, random):
        self._hosts = hosts
        self._position = random.randrange(len(hosts))

    def choose(self, call, excluded):
        """Return the next host that is in service and not excluded."""
        for _ in self._hosts:
            self._position = (self._position + 1) % len(self._hosts)
            host = self._hosts[self._position]
            if host.host_id not in excluded and (
                call.configuration.is_in_service(host.failure_domain)
            ):
                return host, None
        raise errors.NoUpstreamError("all hosts in service were tried")


class _Hosts:
    def __init__(self, hosts):
        self._hosts = hosts

    def hosts_of_service(self, name):
        return self._hosts


def make_configuration(deployment, out_of_service=()):
    """Return the configuration of a simulated deployment."""
    names = tuple(deployment.upstreams_by_domain)
    route = model.Route(
        name="browse",
        service=deployment.service,
        method="GET",
        path="/stock",
        is_idempotent=True,
        deadline_seconds=DEADLINE_SECONDS,
        retry_ratio=0.1,
    )
    service = model.Service(
        name=deployment.service,
        upstream=model.UpstreamLimits(
            failure_domains=names,
            slots=deployment.slots,
            connections=100,
            cold_slots=1,
            ramp_seconds=UPSTREAM_WARM_UP_SECONDS,
            queue=deployment.queue,
        ),
        routes_by_name={route.name: route},
    )
    domains = [
        model.FailureDomain(
            name=name,
            region=deployment.name,
            in_service=name not in out_of_service,
        )
        for name in names
    ]
    return model.Configuration(
        head=model.NO_HEAD,
        mesh_name=deployment.name,
        failure_domains_by_name=model.by_key(domains, "name"),
        services_by_name={service.name: service},
    )


@dataclasses.dataclass(kw_only=True)
class _Node:
    host: model.Host
    upstream: SimulatedUpstream
    configuration: model.Configuration
    chooser: object = None
    gate: object = None
    budget: object = None


class Simulation:
    """Simulates one policy on one deployment."""

    def __init__(self, *, deployment, is_baseline, seed):
        self._deployment = deployment
        self._is_baseline = is_baseline
        self._random = random_module.Random(seed)
        self._nodes_by_host_id = {}
        self._request_number = 0
        self.sent_by_phase = dict.fromkeys((name for name, _ in PHASES), 0)
        self.latencies_by_phase = {name: [] for name, _ in PHASES}
        self.refusal_count = 0
        self.failed_count = 0

    def _build(self, nursery):
        deployment = self._deployment
        configuration = make_configuration(deployment)
        hosts = [
            model.Host(
                host_id=f"{domain}-{number}",
                address="127.0.0.1",
                service=deployment.service,
                failure_domain=domain,
            )
            for domain, count in deployment.upstreams_by_domain.items()
            for number in range(count)
        ]
        for host in hosts:
            node = _Node(
                host=host,
                upstream=SimulatedUpstream(
                    deployment=deployment, random=self._random
                ),
                configuration=configuration,
                budget=retries.RetryBudget(retry_ratio=0.1),
            )
            self._nodes_by_host_id[host.host_id] = node
            if self._is_baseline:
                node.chooser = RoundRobin(hosts=hosts, random=self._random)
                continue
            node.chooser = owner_selection.OwnerSelector(
                own_host=host, hosts=_Hosts(hosts), random=self._random
            )
            self._add_gate(node, hosts, nursery)

    def _add_gate(self, node, hosts, nursery):
        node.gate = gate.AdmissionController(
            own_host=node.host,
            configuration=lambda: node.configuration,
            keys=keys.KeyWindow(
                own_host=node.host, hosts_of_service=lambda name: hosts
            ),
            suspects=suspects.SuspectTable(),
            record=lambda action, **fields: None,
        )
        node.gate.start(nursery)

    async def run(self):
        """Run the simulation."""
        async with trio.open_nursery() as background:
            self._build(background)
            async with trio.open_nursery() as calls:
                background.start_soon(self._change_configurations)
                await self._generate_arrivals(calls)
            background.cancel_scope.cancel()

    async def _change_configurations(self):
        deployment = self._deployment
        leaving = next(iter(deployment.upstreams_by_domain))

        async def change(node, configuration):
            await trio.sleep(
                self._random.uniform(0.0, MAXIMUM_CONVERGENCE_SECONDS)
            )
            node.configuration = configuration
            if node.gate is not None:
                node.gate.on_configuration_changed()

        async with trio.open_nursery() as nursery:
            for change_at, out_of_service in (
                (OUT_AT_SECONDS, [leaving]),
                (BACK_AT_SECONDS, []),
            ):
                configuration = make_configuration(deployment, out_of_service)
                if change_at == BACK_AT_SECONDS:
                    await trio.sleep_until(RESTART_AT_SECONDS)
                    for node in self._nodes_by_host_id.values():
                        if node.host.failure_domain == leaving:
                            node.upstream.restart(0.0)
                await trio.sleep_until(change_at)
                for node in self._nodes_by_host_id.values():
                    nursery.start_soon(change, node, configuration)

    async def _generate_arrivals(self, calls):
        deployment = self._deployment
        nodes = list(self._nodes_by_host_id.values())
        mean_seconds = deployment.service_seconds * math.exp(0.3**2 / 2)
        rate = (
            len(nodes)
            * deployment.slots
            / mean_seconds
            * deployment.utilization
        )
        arrival_at = 0.0
        while arrival_at < END_AT_SECONDS:
            rate_ratio = min(1.0, (arrival_at + 1.0) / WARM_UP_SECONDS)
            arrival_at += self._random.expovariate(rate * rate_ratio)
            await trio.sleep_until(arrival_at)
            calls.start_soon(self._run_call, self._random.choice(nodes))

    async def _run_call(self, entry):
        now = trio.current_time()
        phase = next((name for name, end in PHASES if now < end), "back")
        self.sent_by_phase[phase] += 1
        self._request_number += 1
        service = entry.configuration.services_by_name[
            self._deployment.service
        ]
        call = model.Call(
            request=model.Request(method="GET", target="/stock", headers=()),
            request_id=str(self._request_number),
            route=service.routes_by_name["browse"],
            configuration=entry.configuration,
            deadline=now + DEADLINE_SECONDS,
            retries_left=1,
        )
        entry.budget.on_request()
        if await self._send_with_retries(entry, call):
            latency = trio.current_time() - now
            self.latencies_by_phase[phase].append(latency)
        else:
            self.failed_count += 1

    async def _send_with_retries(self, entry, call):
        tried = set()
        has_retried = False
        for _ in range(MAXIMUM_ATTEMPTS):
            try:
                host, _choice = entry.chooser.choose(call, tried)
            except errors.NoUpstreamError:
                return False
            tried.add(host.host_id)
            owner = self._nodes_by_host_id[host.host_id]
            try:
                await self._forward(entry, owner, call)
                return True
            except errors.CallError as error:
                if error.outcome is errors.Outcome.NOT_RUN:
                    self.refusal_count += 1
                elif has_retried or not entry.budget.try_spend():
                    return False
                else:
                    has_retried = True
            if trio.current_time() >= call.deadline:
                return False
        return False

    async def _forward(self, entry, owner, call):
        round_trip_seconds = OTHER_DOMAIN_ROUND_TRIP_SECONDS
        if entry.host.failure_domain == owner.host.failure_domain:
            round_trip_seconds = SAME_DOMAIN_ROUND_TRIP_SECONDS
        if self._is_baseline:
            await trio.sleep(round_trip_seconds)
            return await owner.upstream.send(call)
        host_id = owner.host.host_id
        entry.chooser.on_sent(host_id)
        try:
            await trio.sleep(round_trip_seconds / 2)
            try:
                await owner.gate.run(call, owner.upstream.send)
            finally:
                with contextlib.suppress(trio.Cancelled):
                    await trio.sleep(round_trip_seconds / 2)
            entry.chooser.on_response(host_id, owner.gate.free)
        except errors.CallError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                entry.chooser.on_refused(host_id, error, owner.gate.free)
            else:
                entry.chooser.on_failed(host_id, error)
            raise
        finally:
            entry.chooser.on_ended(host_id)

    def upstreams(self):
        """Return the simulated upstreams."""
        return [node.upstream for node in self._nodes_by_host_id.values()]


def _percentile(seconds, fraction):
    """Return a percentile of durations in milliseconds."""
    if not seconds:
        return math.nan
    ordered = sorted(seconds)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] * 1000


def print_report(deployment, name, simulation):
    """Print the figures of one run."""
    upstreams = simulation.upstreams()
    for phase, _ in PHASES:
        latencies = simulation.latencies_by_phase[phase]
        sent = simulation.sent_by_phase[phase]
        print(
            f"{deployment.name:10} {name:11} {phase:7} sent {sent:6} "
            f"goodput {len(latencies) / max(1, sent):8.3%} "
            f"p50 {_percentile(latencies, 0.5):6.1f} ms "
            f"p99 {_percentile(latencies, 0.99):6.1f} ms"
        )
    print(
        f"{deployment.name:10} {name:11} all     "
        f"failed {simulation.failed_count} "
        f"refusals {simulation.refusal_count} cold overloads "
        f"{sum(upstream.cold_overloads for upstream in upstreams)} falls "
        f"{sum(upstream.crash_count for upstream in upstreams)}"
    )


def main():
    """Simulate both policies on each deployment and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--utilization",
        type=float,
        help="offered load as a fraction of all slots; "
        "by default that of each deployment",
    )
    arguments = parser.parse_args()
    seed = arguments.seed
    # Makes trio run ready tasks in a fixed order, so that a seed reproduces
    # its figures.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    for deployment in DEPLOYMENTS:
        if arguments.utilization is not None:
            deployment = dataclasses.replace(
                deployment, utilization=arguments.utilization
            )
        for name, is_baseline in (("policy", False), ("round robin", True)):
            trio._core._run._r.seed(seed)
            simulation = Simulation(
                deployment=deployment, is_baseline=is_baseline, seed=seed
            )
            clock = trio.testing.MockClock(autojump_threshold=0)
            trio.run(simulation.run, clock=clock)
            print_report(deployment, name, simulation)


if __name__ == "__main__":
    main()
