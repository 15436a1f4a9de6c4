"""The main job end to end, with real processes on loopback addresses.

``make demo`` builds and publishes versions through the command line, sends
load through several nodes, takes a failure domain out and back, kills a node
and stops another one, and checks the guarantees against what the upstreams
recorded. The exit status is 0 only if all of them held.
"""

import collections
import functools
import pathlib
import random
import shutil
import signal
import sys

import trio

from . import callers as load
from . import processes

CONVERGENCE_SECONDS = 4.0
OUT_DOMAIN = "cairo-2"
DOMAINS = ("cairo-1", "cairo-2")
CALLERS = 20
CALLER_INTERVAL = 0.1  # s, mean
SAMPLE_SECONDS = 0.2
# Fixed, so that two runs send the same mix; processes still differ.
RANDOM_SEED = 7
EXIT_INTERRUPTED = 130
KINDS = (
    load.Kind(method="GET", path="/showroom/stock", is_idempotent=True),
    load.Kind(
        method="GET", path="/showroom/rolls/r17/bin", is_idempotent=True
    ),
    load.Kind(
        method="POST", path="/showroom/reservations", is_idempotent=False
    ),
    load.Kind(
        method="POST", path="/cutting-floor/orders", is_idempotent=False
    ),
)


class Checks:
    """What was checked and whether it held."""

    def __init__(self):
        self.failed = []

    def expect(self, name, is_held, detail=""):
        """Print one checked guarantee and remember a failure."""
        print(f"  {'held  ' if is_held else 'FAILED'}  {name}  {detail}")
        if not is_held:
            self.failed.append(name)


def make_hosts(prefix):
    """Return two showrooms and one cutting floor in each domain."""
    hosts = []
    for number, domain in enumerate(DOMAINS, start=1):
        services = ("showroom", "showroom", "cutting-floor")
        for place, service in enumerate(services, start=1):
            hosts.append(
                processes.HostPlan(
                    host_id=f"c{number}-{service}-{place}",
                    address=f"{prefix}.{number}.{place}",
                    service=service,
                    failure_domain=domain,
                )
            )
    return hosts


class Demo:
    """One run of the demo.

    Parameters
    ----------
    running : processes.Processes
    """

    def __init__(self, *, running):
        self.running = running
        self.checks = Checks()
        prefix = processes.free_network()
        self.hosts = make_hosts(prefix)
        self.hosts_by_id = {host.host_id: host for host in self.hosts}
        self.platform = processes.PlatformPlan(address=f"{prefix}.0.1")
        self.tree = running.directory / "tree"
        self.version = 0
        self.samples_by_id = collections.defaultdict(list)
        shutil.copytree(processes.ROOT / "examples" / "nileweave", self.tree)

    # Steps.

    def build(self):
        """Build the next version and return its directory."""
        directory = self.running.directory
        base = directory / f"v{self.version}" if self.version else "none"
        self.version += 1
        output = directory / f"v{self.version}"
        processes.run_command(
            "build", self.tree, "--base", base, "--output", output
        )
        return output

    async def publish(self, title):
        """Build and publish a version; wait until all nodes enforce it.

        Returns
        -------
        float
            Time of the publication on trio's clock, seconds.
        """
        output = await trio.to_thread.run_sync(self.build)
        published = trio.current_time()
        await trio.to_thread.run_sync(self.platform.publish, output)
        with trio.move_on_after(3 * CONVERGENCE_SECONDS):
            async with trio.open_nursery() as nursery:
                for host in self.hosts:
                    nursery.start_soon(self._wait_version, host)
        behind = [
            host.host_id
            for host in self.hosts
            if self.samples_by_id[host.host_id][-1]["version"] < self.version
        ]
        elapsed = trio.current_time() - published
        self.checks.expect(
            f"version {self.version} ({title}) in force on all nodes within "
            f"{CONVERGENCE_SECONDS:g} s",
            not behind and elapsed <= CONVERGENCE_SECONDS,
            f"{elapsed:.2f} s" + (f", behind: {behind}" if behind else ""),
        )
        return published

    async def _wait_version(self, host):
        while True:
            status = await self._sample(host)
            if status and status["version"] >= self.version:
                return
            await trio.sleep(0.02)

    async def _sample(self, host):
        status = await trio.to_thread.run_sync(
            processes.node_status, host.address
        )
        if status is not None:
            self.samples_by_id[host.host_id].append(status)
        return status

    async def sample(self):
        """Record the status of each node until cancelled."""
        while True:
            for host in self.hosts:
                await self._sample(host)
            await trio.sleep(SAMPLE_SECONDS)

    def start_node(self, host):
        """Start a node with two peers of other hosts as seeds."""
        seeds = [other.address for other in self.hosts if other != host][:2]
        processes.start_node(
            self.running,
            host,
            platform_url=self.platform.url,
            seeds=seeds,
            fleet_size=len(self.hosts),
        )

    def start_all(self):
        """Start platform, upstreams and nodes; wait until they serve."""
        processes.start_platform(self.running, self.platform)
        self.platform.publish_hosts(self.hosts)
        self.platform.publish(self.build())
        for host in self.hosts:
            processes.start_upstream(self.running, host, warm_seconds=5)
        for host in self.hosts:
            self.start_node(host)
        processes.wait_enforcing(self.running, self.hosts)

    async def change_route(self):
        """Give browsing a longer deadline."""
        path = self.tree / "showroom" / "shallotbridge.toml"
        text = path.read_text()
        changed = text.replace("deadline_ms = 400", "deadline_ms = 600")
        path.write_text(changed)
        await self.publish("longer deadline of browse-stock")

    async def take_domain_out_and_back(self):
        """Take a domain out under load, and back."""
        processes.run_command("domain", "out", OUT_DOMAIN, "--tree", self.tree)
        out_at = await self.publish(f"{OUT_DOMAIN} out")
        await trio.sleep_until(out_at + CONVERGENCE_SECONDS)
        runs_before = self._started_in(OUT_DOMAIN)
        await trio.sleep(3)
        runs_after = self._started_in(OUT_DOMAIN)
        self.checks.expect(
            f"no new work in {OUT_DOMAIN} {CONVERGENCE_SECONDS:g} s after it "
            "was taken out",
            runs_after == runs_before,
            f"{runs_after - runs_before} requests started there in 3 s",
        )
        processes.run_command("domain", "in", OUT_DOMAIN, "--tree", self.tree)
        await self.publish(f"{OUT_DOMAIN} back")
        await trio.sleep(4)
        self.checks.expect(
            f"{OUT_DOMAIN} works again after its return",
            self._started_in(OUT_DOMAIN) > runs_after,
            f"{self._started_in(OUT_DOMAIN) - runs_after} requests in 4 s",
        )

    def _record_of(self, host):
        # An upstream that has crashed answers again after its restart.
        return processes.wait_answer(
            self.running,
            f"upstream-{host.host_id}",
            lambda: processes.upstream_record(host),
        )

    def _started_in(self, domain):
        return sum(
            sum(self._record_of(host)["by_request_id"].values())
            for host in self.hosts
            if host.failure_domain == domain
        )

    async def kill_and_restart(self, host):
        """Kill a node and start it again."""
        name = f"node-{host.host_id}"
        before = self.samples_by_id[host.host_id][-1]["version"]
        self.running.send_signal(name, signal.SIGKILL)
        await trio.to_thread.run_sync(self.running.wait, name)
        await trio.sleep(1)
        self.start_node(host)
        started = trio.current_time()
        await trio.to_thread.run_sync(
            functools.partial(
                processes.wait_enforcing, self.running, [host], version=1
            )
        )
        status = await self._sample(host)
        self.checks.expect(
            f"{host.host_id} enforces version {before} or a higher one after "
            "kill -9 and a restart",
            status is not None and status["version"] >= before,
            f"{trio.current_time() - started:.2f} s after its start",
        )

    async def stop_node(self, host, callers):
        """Stop a node under load as operators do it."""
        name = f"node-{host.host_id}"
        started = trio.current_time()
        self.running.send_signal(name, signal.SIGTERM)
        status = await trio.to_thread.run_sync(self.running.wait, name)
        stopped = trio.current_time()
        callers.avoid(host.address)
        self.checks.expect(
            f"{host.host_id} ends its work and exits with 0 after SIGTERM",
            status == 0,
            f"status {status} after {stopped - started:.2f} s",
        )
        return started, stopped

    # The account.

    def report(self, callers, stopped_address, stop_times):
        """Compare what callers were told with what upstreams recorded."""
        runs_by_request_id = collections.Counter()
        runs_by_key = collections.Counter()
        overloads = crashes = 0
        for host in self.hosts:
            record = self._record_of(host)
            overloads += record["cold_overloads"]
            crashes += record["crashes"]
            runs_by_request_id.update(record["by_request_id"])
            runs_by_key.update(record["by_key"])
        sendings = callers.sendings
        false_not_run = [
            each
            for each in sendings
            if each.outcome == "not-run"
            and runs_by_request_id[each.request_id]
        ]
        self.checks.expect(
            "each request that was called not run did not run",
            not false_not_run,
            f"{self._count(sendings, 'not-run')} such answers",
        )
        false_run = [
            each
            for each in sendings
            if each.outcome == "run"
            and not (
                runs_by_request_id[each.request_id]
                or runs_by_key[each.idempotency_key]
            )
        ]
        self.checks.expect(
            "each request that was called run did run",
            not false_run,
            f"{self._count(sendings, 'run')} such answers",
        )
        twice = [key for key, count in runs_by_key.items() if count > 1]
        self.checks.expect(
            "no request that is not idempotent ran twice",
            not twice,
            f"{len(runs_by_key)} keys",
        )
        self.checks.expect(
            "no cold upstream got more than it can bear",
            not overloads and not crashes,
            f"{overloads} overloads, {crashes} crashes",
        )
        begun, ended = stop_times
        cut_off = [
            each
            for each in sendings
            if each.outcome == load.NO_ANSWER
            and each.entry_address == stopped_address
            and each.ended_at >= begun
            and each.sent_at <= ended
            and runs_by_request_id[each.request_id]
        ]
        self.checks.expect(
            "the planned stop cut off no request that ran", not cut_off
        )
        self._check_versions()

    def _count(self, sendings, outcome):
        return sum(each.outcome == outcome for each in sendings)

    def _check_versions(self):
        backward = []
        count = 0
        for host_id, samples in self.samples_by_id.items():
            versions = [
                sample["version"] for sample in samples if sample["enforcing"]
            ]
            count += len(versions)
            if versions != sorted(versions):
                backward.append(host_id)
        self.checks.expect(
            "versions in force only went up on every node",
            not backward,
            f"{count} samples of {len(self.samples_by_id)} nodes",
        )

    def print_account(self, callers, seconds):
        """Print answers by outcome and the control traffic."""
        print("\nAnswers by outcome and status or code:")
        counts = sorted(callers.counts_by_outcome().items())
        for (outcome, code), count in counts:
            print(f"  {outcome:10} {code:24} {count:6}")
        print(f"  total {len(callers.sendings)} sendings in {seconds:.0f} s")
        print("\nControl traffic, bytes of messages, mean of all nodes:")
        totals = collections.Counter()
        uptime = 0.0
        for host in self.hosts:
            last = self.samples_by_id[host.host_id][-1]
            totals.update(last["control_bytes"])
            uptime += last["uptime_seconds"]
        for name, total in sorted(totals.items()):
            print(f"  {name:10} {total / uptime:8.0f} bytes/s a node")


async def run(running):
    """Run all steps; returns the exit status."""
    demo = Demo(running=running)
    print(f"{len(demo.hosts)} nodes and upstreams in {', '.join(DOMAINS)}")
    # Not in a worker thread: see Processes.start.
    demo.start_all()
    callers = load.Callers(
        addresses=[host.address for host in demo.hosts],
        kinds=KINDS,
        count=CALLERS,
        interval=CALLER_INTERVAL,
        random=random.Random(RANDOM_SEED),
    )
    print("\nGuarantees:")
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        sampler = trio.CancelScope()

        async def sample():
            with sampler:
                await demo.sample()

        nursery.start_soon(sample)
        nursery.start_soon(callers.run)
        await trio.sleep(3)
        await demo.change_route()
        await trio.sleep(1)
        await demo.take_domain_out_and_back()
        await demo.kill_and_restart(demo.hosts[1])
        await trio.sleep(2)
        stopped = demo.hosts[3]
        stop_times = await demo.stop_node(stopped, callers)
        await trio.sleep(2)
        callers.stop()
        sampler.cancel()
    demo.report(callers, stopped.address, stop_times)
    demo.print_account(callers, trio.current_time() - started)
    failed = demo.checks.failed
    if failed:
        keep = pathlib.Path(".work") / "demo"
        shutil.rmtree(keep, ignore_errors=True)
        shutil.copytree(running.directory, keep)
        print(f"\n{len(failed)} guarantees failed; logs are in {keep}")
        return 1
    print("\nAll guarantees held.")
    return 0


async def run_until_signal(running):
    """Run all steps, or end early at a signal; returns the exit status."""
    status = EXIT_INTERRUPTED
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def end_at_signal():
                await signals.__anext__()
                nursery.cancel_scope.cancel()

            nursery.start_soon(end_at_signal)
            status = await run(running)
            nursery.cancel_scope.cancel()
    return status


def main():
    """Run the demo; returns the exit status."""
    with processes.running_processes() as running:
        return trio.run(run_until_signal, running)


if __name__ == "__main__":
    sys.exit(main())
