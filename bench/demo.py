"""End-to-end demo with real processes on loopback addresses.

``make demo`` builds and publishes versions through the command line, sends
load through several nodes, takes a failure domain out of service and back,
kills a node, stops another one, and checks the guarantees against the records
of the upstreams. The exit status is 0 only if all guarantees held.
"""

import collections
import functools
import pathlib
import random
import shutil
import signal
import sys

import trio

from . import callers as callers_module
from . import processes

CONVERGENCE_SECONDS = 4.0
OUT_OF_SERVICE_DOMAIN = "cairo-2"
DOMAINS = ("cairo-1", "cairo-2")
CALLER_COUNT = 20
MEAN_CALLER_INTERVAL_SECONDS = 0.1
SAMPLE_INTERVAL_SECONDS = 0.2
# Fixed, so that each run sends the same mix of requests; the timing of the
# processes still differs.
RANDOM_SEED = 7
EXIT_INTERRUPTED = 130
KINDS = (
    callers_module.Kind(
        method="GET", path="/showroom/stock", is_idempotent=True
    ),
    callers_module.Kind(
        method="GET", path="/showroom/rolls/r17/bin", is_idempotent=True
    ),
    callers_module.Kind(
        method="POST", path="/showroom/reservations", is_idempotent=False
    ),
    callers_module.Kind(
        method="POST", path="/cutting-floor/orders", is_idempotent=False
    ),
)


class GuaranteeChecks:
    """Prints checked guarantees and collects those that failed."""

    def __init__(self):
        self.failed = []

    def record(self, name, holds, detail=""):
        """Print the result of one check and keep the name of a failed one."""
        print(f"  {'held  ' if holds else 'FAILED'}  {name}  {detail}")
        if not holds:
            self.failed.append(name)


def make_hosts(prefix):
    """Return two showroom hosts and one cutting-floor host per domain."""
    hosts = []
    for number, domain in enumerate(DOMAINS, start=1):
        services = ("showroom", "showroom", "cutting-floor")
        for position, service in enumerate(services, start=1):
            hosts.append(
                processes.HostSpec(
                    host_id=f"c{number}-{service}-{position}",
                    address=f"{prefix}.{number}.{position}",
                    service=service,
                    failure_domain=domain,
                )
            )
    return hosts


class Demo:
    """One run of the demo.

    Parameters
    ----------
    process_manager : processes.ProcessManager
    """

    def __init__(self, *, process_manager):
        self.process_manager = process_manager
        self.checks = GuaranteeChecks()
        prefix = processes.find_free_network()
        self.hosts = make_hosts(prefix)
        self.hosts_by_id = {host.host_id: host for host in self.hosts}
        self.platform = processes.PlatformControlClient(
            address=f"{prefix}.0.1"
        )
        self.tree = process_manager.directory / "tree"
        self.version = 0
        self.samples_by_id = collections.defaultdict(list)
        shutil.copytree(processes.ROOT / "examples" / "nileweave", self.tree)

    # Steps.

    def build(self):
        """Build the next version and return its output directory."""
        directory = self.process_manager.directory
        base = directory / f"v{self.version}" if self.version else "none"
        self.version += 1
        output = directory / f"v{self.version}"
        processes.run_command(
            "build", self.tree, "--base", base, "--output", output
        )
        return output

    async def publish(self, title):
        """Publish a new version and wait until all nodes enforce it.

        Returns
        -------
        float
            Time of the publication on trio's clock, seconds.
        """
        output = await trio.to_thread.run_sync(self.build)
        published_at = trio.current_time()
        await trio.to_thread.run_sync(self.platform.publish, output)
        with trio.move_on_after(3 * CONVERGENCE_SECONDS):
            async with trio.open_nursery() as nursery:
                for host in self.hosts:
                    nursery.start_soon(self._wait_for_version, host)
        outdated_host_ids = [
            host.host_id
            for host in self.hosts
            if self.samples_by_id[host.host_id][-1]["version"] < self.version
        ]
        elapsed_seconds = trio.current_time() - published_at
        self.checks.record(
            f"version {self.version} ({title}) active on all nodes within "
            f"{CONVERGENCE_SECONDS:g} s",
            not outdated_host_ids and elapsed_seconds <= CONVERGENCE_SECONDS,
            f"{elapsed_seconds:.2f} s"
            + (f", behind: {outdated_host_ids}" if outdated_host_ids else ""),
        )
        return published_at

    async def _wait_for_version(self, host):
        while True:
            status = await self._sample_status(host)
            if status and status["version"] >= self.version:
                return
            await trio.sleep(0.02)

    async def _sample_status(self, host):
        status = await trio.to_thread.run_sync(
            processes.fetch_node_status, host.address
        )
        if status is not None:
            self.samples_by_id[host.host_id].append(status)
        return status

    async def sample_statuses(self):
        """Record the status of each node until cancelled."""
        while True:
            for host in self.hosts:
                await self._sample_status(host)
            await trio.sleep(SAMPLE_INTERVAL_SECONDS)

    def start_node(self, host):
        """Start a node with the nodes of two other hosts as seeds."""
        seeds = [other.address for other in self.hosts if other != host][:2]
        processes.start_node(
            self.process_manager,
            host,
            platform_url=self.platform.url,
            seeds=seeds,
            fleet_size=len(self.hosts),
        )

    def start_all(self):
        """Start platform, upstreams and nodes; wait until nodes enforce."""
        processes.start_platform(self.process_manager, self.platform)
        self.platform.publish_hosts(self.hosts)
        self.platform.publish(self.build())
        for host in self.hosts:
            processes.start_upstream(
                self.process_manager, host, warm_seconds=5
            )
        for host in self.hosts:
            self.start_node(host)
        processes.wait_until_enforcing(self.process_manager, self.hosts)

    async def change_route(self):
        """Publish a longer deadline for the route browse-stock."""
        path = self.tree / "showroom" / "shallotbridge.toml"
        text = path.read_text()
        changed = text.replace("deadline_ms = 400", "deadline_ms = 600")
        path.write_text(changed)
        await self.publish("longer deadline of browse-stock")

    async def take_domain_out_and_back(self):
        """Take a domain out of service under load and return it."""
        processes.run_command(
            "domain", "out", OUT_OF_SERVICE_DOMAIN, "--tree", self.tree
        )
        out_at = await self.publish(f"{OUT_OF_SERVICE_DOMAIN} out")
        await trio.sleep_until(out_at + CONVERGENCE_SECONDS)
        runs_before = self._count_runs(OUT_OF_SERVICE_DOMAIN)
        await trio.sleep(3)
        runs_after = self._count_runs(OUT_OF_SERVICE_DOMAIN)
        self.checks.record(
            f"no new requests in {OUT_OF_SERVICE_DOMAIN} "
            f"{CONVERGENCE_SECONDS:g} s after it was taken out of service",
            runs_after == runs_before,
            f"{runs_after - runs_before} requests started there in 3 s",
        )
        processes.run_command(
            "domain", "in", OUT_OF_SERVICE_DOMAIN, "--tree", self.tree
        )
        await self.publish(f"{OUT_OF_SERVICE_DOMAIN} back")
        await trio.sleep(4)
        self.checks.record(
            f"{OUT_OF_SERVICE_DOMAIN} runs requests after its return",
            self._count_runs(OUT_OF_SERVICE_DOMAIN) > runs_after,
            f"{self._count_runs(OUT_OF_SERVICE_DOMAIN) - runs_after} "
            "requests in 4 s",
        )

    def _fetch_record(self, host):
        # A crashed upstream responds again after its restart.
        return processes.wait_until_responding(
            self.process_manager,
            f"upstream-{host.host_id}",
            lambda: processes.fetch_upstream_record(host),
        )

    def _count_runs(self, domain):
        return sum(
            sum(self._fetch_record(host)["by_request_id"].values())
            for host in self.hosts
            if host.failure_domain == domain
        )

    async def kill_and_restart(self, host):
        """Kill a node with SIGKILL and start it again."""
        name = f"node-{host.host_id}"
        version_before = self.samples_by_id[host.host_id][-1]["version"]
        self.process_manager.send_signal(name, signal.SIGKILL)
        await trio.to_thread.run_sync(self.process_manager.wait, name)
        await trio.sleep(1)
        self.start_node(host)
        started_at = trio.current_time()
        await trio.to_thread.run_sync(
            functools.partial(
                processes.wait_until_enforcing,
                self.process_manager,
                [host],
                version=1,
            )
        )
        status = await self._sample_status(host)
        self.checks.record(
            f"{host.host_id} enforces version {version_before} or a higher "
            "one after kill -9 and a restart",
            status is not None and status["version"] >= version_before,
            f"{trio.current_time() - started_at:.2f} s after its start",
        )

    async def stop_node(self, host, callers):
        """Stop a node under load with SIGTERM, as an operator does."""
        name = f"node-{host.host_id}"
        started_at = trio.current_time()
        self.process_manager.send_signal(name, signal.SIGTERM)
        status = await trio.to_thread.run_sync(self.process_manager.wait, name)
        stopped_at = trio.current_time()
        callers.exclude(host.address)
        self.checks.record(
            f"{host.host_id} finishes its requests and exits with 0 after "
            "SIGTERM",
            status == 0,
            f"status {status} after {stopped_at - started_at:.2f} s",
        )
        return started_at, stopped_at

    # Final checks and summary.

    def check_outcomes(self, callers, stopped_address, stop_times):
        """Compare the callers' responses with the upstreams' records."""
        runs_by_request_id = collections.Counter()
        runs_by_key = collections.Counter()
        overloads = crashes = 0
        for host in self.hosts:
            record = self._fetch_record(host)
            overloads += record["cold_overloads"]
            crashes += record["crashes"]
            runs_by_request_id.update(record["by_request_id"])
            runs_by_key.update(record["by_key"])
        sent_requests = callers.sent_requests
        wrong_not_run = [
            each
            for each in sent_requests
            if each.outcome == "not-run"
            and runs_by_request_id[each.request_id]
        ]
        self.checks.record(
            "no request reported as not run did run",
            not wrong_not_run,
            f"{self._count_outcome(sent_requests, 'not-run')} such responses",
        )
        wrong_run = [
            each
            for each in sent_requests
            if each.outcome == "run"
            and not (
                runs_by_request_id[each.request_id]
                or runs_by_key[each.idempotency_key]
            )
        ]
        self.checks.record(
            "each request reported as run did run",
            not wrong_run,
            f"{self._count_outcome(sent_requests, 'run')} such responses",
        )
        repeated_keys = [
            key for key, count in runs_by_key.items() if count > 1
        ]
        self.checks.record(
            "no non-idempotent request ran twice",
            not repeated_keys,
            f"{len(runs_by_key)} keys",
        )
        self.checks.record(
            "no cold upstream was overloaded",
            not overloads and not crashes,
            f"{overloads} overloads, {crashes} crashes",
        )
        stop_started_at, stop_ended_at = stop_times
        interrupted = [
            each
            for each in sent_requests
            if each.outcome == callers_module.NO_RESPONSE
            and each.entry_address == stopped_address
            and each.ended_at >= stop_started_at
            and each.sent_at <= stop_ended_at
            and runs_by_request_id[each.request_id]
        ]
        self.checks.record(
            "the planned stop interrupted no request that ran",
            not interrupted,
        )
        self._check_versions()

    def _count_outcome(self, sent_requests, outcome):
        return sum(each.outcome == outcome for each in sent_requests)

    def _check_versions(self):
        host_ids_with_decrease = []
        count = 0
        for host_id, samples in self.samples_by_id.items():
            versions = [
                sample["version"] for sample in samples if sample["enforcing"]
            ]
            count += len(versions)
            if versions != sorted(versions):
                host_ids_with_decrease.append(host_id)
        self.checks.record(
            "the active version never decreased on any node",
            not host_ids_with_decrease,
            f"{count} samples of {len(self.samples_by_id)} nodes",
        )

    def print_summary(self, callers, seconds):
        """Print responses by outcome, and the control traffic."""
        print("\nResponses by outcome and status or code:")
        counts = sorted(callers.counts_by_outcome().items())
        for (outcome, code), count in counts:
            print(f"  {outcome:10} {code:24} {count:6}")
        print(
            f"  total {len(callers.sent_requests)} requests sent in "
            f"{seconds:.0f} s"
        )
        print("\nControl traffic, bytes of messages, mean of all nodes:")
        totals = collections.Counter()
        uptime = 0.0
        for host in self.hosts:
            last = self.samples_by_id[host.host_id][-1]
            totals.update(last["control_bytes"])
            uptime += last["uptime_seconds"]
        for name, total in sorted(totals.items()):
            print(f"  {name:10} {total / uptime:8.0f} bytes/s a node")


async def run(process_manager):
    """Run all steps; returns the exit status."""
    demo = Demo(process_manager=process_manager)
    print(f"{len(demo.hosts)} nodes and upstreams in {', '.join(DOMAINS)}")
    # Runs in the main thread; see ProcessManager.start.
    demo.start_all()
    callers = callers_module.Callers(
        addresses=[host.address for host in demo.hosts],
        kinds=KINDS,
        count=CALLER_COUNT,
        mean_interval_seconds=MEAN_CALLER_INTERVAL_SECONDS,
        random=random.Random(RANDOM_SEED),
    )
    print("\nGuarantees:")
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        sampling_scope = trio.CancelScope()

        async def sample_statuses():
            with sampling_scope:
                await demo.sample_statuses()

        nursery.start_soon(sample_statuses)
        nursery.start_soon(callers.run)
        await trio.sleep(3)
        await demo.change_route()
        await trio.sleep(1)
        await demo.take_domain_out_and_back()
        await demo.kill_and_restart(demo.hosts[1])
        await trio.sleep(2)
        stopped_host = demo.hosts[3]
        stop_times = await demo.stop_node(stopped_host, callers)
        await trio.sleep(2)
        callers.stop()
        sampling_scope.cancel()
    demo.check_outcomes(callers, stopped_host.address, stop_times)
    demo.print_summary(callers, trio.current_time() - started_at)
    failed = demo.checks.failed
    if failed:
        log_directory = pathlib.Path(".work") / "demo"
        shutil.rmtree(log_directory, ignore_errors=True)
        shutil.copytree(process_manager.directory, log_directory)
        print(
            f"\n{len(failed)} guarantees failed; logs are in {log_directory}"
        )
        return 1
    print("\nAll guarantees held.")
    return 0


async def run_until_signal(process_manager):
    """Run all steps, or end early at a signal; returns the exit status."""
    status = EXIT_INTERRUPTED
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def cancel_on_signal():
                await signals.__anext__()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_signal)
            status = await run(process_manager)
            nursery.cancel_scope.cancel()
    return status


def main():
    """Run the demo; returns the exit status."""
    with processes.running_processes() as process_manager:
        return trio.run(run_until_signal, process_manager)


if __name__ == "__main__":
    sys.exit(main())
