"""Hosts on loopback: nodes are processes, upstreams and store are tasks."""

import functools
import random
import signal
import sys
import sysconfig
import tomllib

import trio

from bench import processes
from shallotbridge.core import model
from shallotbridge.transports import tcp
from standins import store as store_standin

from . import proxy

CALLER_PORT = 7400
READY_PORT = 7403
PEER_PORT = 7380
UPSTREAM_PORT = 8080
STORE_PORT = 7500
HOST_NAME = "shop.example"
SERVICE = "shop"
# One of so many hosts has an upstream of the other service.
OTHER_SERVICE = "lab"
OTHER_SERVICE_INTERVAL = 3
SLOTS = 6
RESTART_DELAY_SECONDS = 0.3
# Time from the announcement of a drain to the replacement of the upstream.
REPLACEMENT_DELAY_SECONDS = 2.5
# An upstream that ended is back after a time in this range.
CRASH_SECONDS = (0.2, 2.5)
SILENT_CRASH_SECONDS = (1.0, 6.0)
SILENT_CRASH_RATIO = 0.2
SAME_ID_RATIO = 0.3
# Last part of the paths of the requests that end upstreams.
HARMFUL_PREFIX = "harmful"
# Longest time from the first answer that says that an upstream is leaving to
# the platform's news of it.
MAXIMUM_ANNOUNCEMENT_DELAY_SECONDS = 1.5
# Customers, unless nodes are of an older build: one without a quota, and one
# that sends more than its quota.
CUSTOMER = "open"
LIMITED_CUSTOMER = "limited"
KEYS_BY_CUSTOMER = {CUSTOMER: "soak-key-1", LIMITED_CUSTOMER: "soak-key-2"}
QUOTA_RATE = 8.0
QUOTA_BURST = 8.0
QUOTA_WINDOW_SECONDS = 5.0
QUOTA_OVERAGE = 0.25
QUOTA_SLACK = 20.0
# Memory of a node, so small that untrusted clients can fill it.
MEMORY_MB = 100
MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
TIMEOUT_MS = 1200
# The settings of a starting process change as often as this, with these pauses
# between two signals.
START_SIGNALS = 4
START_SIGNAL_SECONDS = (0.0, 0.2)
# Exit statuses of processes that were stopped or killed.
_PLANNED_EXIT_STATUSES = (0, -signal.SIGKILL)
_HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
_DEPLOYMENT = tomllib.loads(
    (processes.ROOT / "deploy" / "system.toml").read_text()
)
# Without the interpreter, which is the one of this process.
_NODE_ARGUMENTS = _DEPLOYMENT["roles"]["node"]["run"].split()[1:]
LIMITS_PER_SECOND = (0.0, 1.5, 5.0, 16.9, 40.0)
_EXIT_POLL_SECONDS = 0.05

_SETTINGS = """
[self]
node_name = "host-{number}"
ip_address = "{own}"
zone = "{domain}"
application_address = "{public}:{upstream_port}"
service = "{service}"
[self.limits]
memory_mb = {memory_mb}
file_descriptors = 1000
[network]
internal_port_range = [{peer_port}, {peer_port}]
[network.listen_addresses]
outbound = "{own}:{caller_port}"
ready = "{own}:{ready_port}"
[platform.platform]
address = "{store}:{store_port}"
[terms.bounds]
grace_period = "6s"
config_apply = "2000ms"
cold_multiplier = 1.5
cold_slack = 5
retry_budget_ratio = 0.2
budget_window = "10s"
quota_window = "5s"
quota_overage = 0.25
quota_slack = 20
retry_budget_slack = 56
"""


class Host:
    """One host: a node process, its upstream and its fault proxies.

    Attributes
    ----------
    incarnation : int
        Number of starts of the node process.
    crashes_silently : bool
    down_seconds : float
        How the upstream ends; see ``standins.store.UpstreamState``.
    start_number : int
        Number of starts of the upstream, also under the same id.
    limit : float or None
        Requests per second that the upstream names in its answers.
    is_leaving : bool
        Whether its answers say that it is leaving.
    is_older : bool
        Whether the node is of an older build.
    """

    def __init__(self, *, number, prefix, domain, service):
        self.number = number
        self.domain = domain
        self.node_address = f"{prefix}.1.{number + 1}"
        # Address that peers connect to; the link proxy listens on it.
        self.public_address = f"{prefix}.2.{number + 1}"
        self.store_address = f"{prefix}.3.{number + 1}"
        self.name = f"host-{number}"
        self.incarnation = 0
        # Signals that the process got before it handled or ignored them.
        self.early_signals = set()
        self.service = service
        self.upstream_number = 0
        self.start_number = 0
        self.report_number = 0
        self.crashed = trio.Event()
        self.crashes_silently = False
        self.down_seconds = 0.0
        self.limit = None
        self.slowness = 1.0
        self.is_leaving = False
        self.is_older = False
        self.link_proxy = proxy.Proxy(
            address=self.node_address, port=PEER_PORT
        )
        self.store_proxy = proxy.Proxy(
            address=f"{prefix}.0.1", port=STORE_PORT
        )

    @property
    def upstream_id(self):
        """Id of the current upstream instance."""
        return f"u{self.number}-{self.upstream_number}"


class Fleet:
    """All hosts and the platform's store.

    Parameters
    ----------
    process_manager : processes.ProcessManager
    records : records.Records
    clock : callable
        Seconds since the start of the run.
    older : str, optional
        Directory of an older build, which every second host runs.
    """

    def __init__(
        self,
        *,
        process_manager,
        records,
        clock,
        hosts,
        domains,
        seed,
        older=None,
    ):
        prefix = processes.find_free_network()
        self.hosts = [
            Host(
                number=number,
                prefix=prefix,
                domain=f"d{number % domains + 1}",
                service=(
                    OTHER_SERVICE
                    if number >= hosts - hosts // OTHER_SERVICE_INTERVAL
                    else SERVICE
                ),
            )
            for number in range(hosts)
        ]
        self._older = older
        for host in self.hosts[1::2]:
            host.is_older = older is not None
        self.store = store_standin.StoreState()
        self.records = records
        self.clock = clock
        self.version = 0
        self.are_readers_lost = False
        self._store_address = f"{prefix}.0.1"
        self._process_manager = process_manager
        self.random = self._random = random.Random(seed)
        # Has its own sequence, so that the plans of earlier seeds stay.
        self._signal_random = random.Random(f"signals {seed}")
        self.timeout_ms = TIMEOUT_MS
        self._nursery = None

    async def start(self, nursery):
        """Start the store, the upstreams, the proxies and the nodes."""
        self._nursery = nursery
        await nursery.start(
            tcp.serve,
            self._store_address,
            STORE_PORT,
            store_standin.make_handler(self.store.handle_request),
        )
        self.publish()
        for host in self.hosts:
            await self._start_host(host)

    async def _start_host(self, host):
        await self._nursery.start(
            store_standin.serve_upstream,
            host,
            functools.partial(self._respond, host),
            host.public_address,
            UPSTREAM_PORT,
        )
        for address, port, handler in (
            (host.public_address, PEER_PORT, host.link_proxy.handle),
            (host.store_address, STORE_PORT, host.store_proxy.handle),
        ):
            await self._nursery.start(tcp.serve, address, port, handler)
        self.register(host)
        settings = self._process_manager.directory / f"{host.name}.toml"
        settings.write_text(
            _SETTINGS.format(
                number=host.number,
                own=host.node_address,
                public=host.public_address,
                domain=host.domain,
                store=host.store_address,
                service=host.service,
                memory_mb=MEMORY_MB,
                upstream_port=UPSTREAM_PORT,
                peer_port=PEER_PORT,
                caller_port=CALLER_PORT,
                ready_port=READY_PORT,
                store_port=STORE_PORT,
            )
        )
        self._nursery.start_soon(self._supervise, host, str(settings))

    async def _supervise(self, host, settings):
        """Run the node process and restart it whenever it ends."""
        while True:
            host.incarnation += 1
            host.early_signals.clear()
            command, arguments = (sys.executable,), _NODE_ARGUMENTS
            search_path = sysconfig.get_path("purelib")
            if host.is_older:
                # The older build is imported, not the one of this directory.
                search_path = self._older
                command = (sys.executable, "-P", "-m")
                arguments = ["shallotbridge.platform"]
            process = self._process_manager.start(
                host.name,
                arguments,
                command=command,
                environment={
                    "SHALLOTBRIDGE_SETTINGS": settings,
                    "PYTHONPATH": search_path,
                },
            )
            if not host.is_older:
                self._nursery.start_soon(self._signal_starting, host, process)
            peak_bytes = 0
            while process.poll() is None:
                peak_bytes = processes.read_memory_bytes(process.pid, "VmHWM")
                await trio.sleep(_EXIT_POLL_SECONDS)
            if not host.is_older:
                self._check_ended(host, process.returncode, peak_bytes)
            await trio.sleep(RESTART_DELAY_SECONDS)

    async def _signal_starting(self, host, process):
        """Tell a process several times that its settings changed."""
        for _ in range(START_SIGNALS):
            await trio.sleep(
                self._signal_random.uniform(*START_SIGNAL_SECONDS)
            )
            if self._process_manager.get_process(host.name) is process:
                self.send_signal(host, signal.SIGHUP)

    def _check_ended(self, host, status, peak_bytes):
        violations = self.records.process_violations
        if -status in host.early_signals:
            self.records.early_ends += 1
        elif status not in _PLANNED_EXIT_STATUSES:
            violations.append(f"{host.name}: ended by itself, status {status}")
        self._check_memory(host, peak_bytes)

    def _check_memory(self, host, peak_bytes):
        if peak_bytes > MEMORY_MB * 1_000_000:
            self.records.process_violations.append(
                f"{host.name}: took {peak_bytes} bytes; allowed: "
                f"{MEMORY_MB} MB"
            )

    def check_memory(self):
        """Check the memory of the processes that run."""
        for host in self.hosts:
            process = self._process_manager.get_process(host.name)
            if process.poll() is None and not host.is_older:
                self._check_memory(
                    host, processes.read_memory_bytes(process.pid, "VmHWM")
                )

    def find_readers(self):
        """Return the host of each domain that began a watch last."""
        hosts_by_domain = {}
        for host in sorted(
            self.hosts, key=lambda each: each.store_proxy.watched_at
        ):
            hosts_by_domain[host.domain] = host
        return list(hosts_by_domain.values())

    def is_running(self, host):
        """Return whether the node process of a host runs."""
        return self._process_manager.is_running(host.name)

    def send_signal(self, host, number):
        """Send a signal to the node process if it is running.

        Before its first line runs, a process cannot handle or ignore one.
        """
        if not self.is_running(host):
            return
        process = self._process_manager.get_process(host.name)
        # The interpreter starts with a handler of SIGINT, which ends it.
        checked = signal.SIGTERM if number == signal.SIGINT else number
        if number in _HANDLED_SIGNALS and not processes.ignores_signal(
            process.pid, checked
        ):
            host.early_signals.add(number)
        process.send_signal(number)

    def resume(self, host):
        """Resume a paused process."""
        self.send_signal(host, signal.SIGCONT)

    # Items that the platform publishes.

    def publish(self):
        """Publish the next configuration; each version adds a route."""
        self.version += self._random.randint(1, 3)
        published = self.records.published_at_by_version
        published[self.version] = self.clock()
        rule = functools.partial(_rule, timeout_ms=self.timeout_ms)
        rules = [
            rule("browse", "idempotent"),
            rule("hold", "unsafe"),
            rule("order", "idempotent", service=OTHER_SERVICE),
        ]
        rules.extend(
            rule(f"v{version}", "idempotent") | {"public": True}
            for version in published
        )
        customers = {
            "tenants": [
                {"name": CUSTOMER, "api_keys": [KEYS_BY_CUSTOMER[CUSTOMER]]},
                {
                    "name": LIMITED_CUSTOMER,
                    "api_keys": [KEYS_BY_CUSTOMER[LIMITED_CUSTOMER]],
                    "rate_per_s": QUOTA_RATE,
                    "burst": QUOTA_BURST,
                },
            ]
        }
        self.store.put(
            "op/config",
            ({} if self._older else customers)
            | {
                "version": self.version,
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": MAXIMUM_BODY_BYTES,
                    "header_timeout": "3000ms",
                    "idle_timeout": "15s",
                },
                "listeners": [{"host": HOST_NAME, "rules": rules}],
                "clusters": [
                    {
                        "name": service,
                        "health_check_path": "/health",
                        "max_connections": 110,
                        "cold_start": "0s",
                        "cold_per_s": 100.0,
                    }
                    for service in (SERVICE, OTHER_SERVICE)
                ],
            },
        )

    def register(self, host, state="ready"):
        """Publish the item of a host's upstream."""
        self.records.domain_by_upstream[host.upstream_id] = host.domain
        if host.is_older:
            self.records.older_upstream_ids.add(host.upstream_id)
        host.report_number += 1
        self.store.put(
            f"servers/{host.upstream_id}",
            {
                "address": f"{host.public_address}:{UPSTREAM_PORT}",
                "information": {
                    "service": host.service,
                    "version": "v1",
                    "zone": host.domain,
                    "slots": SLOTS,
                },
                "status": {
                    "state": state,
                    "sequence": host.report_number,
                    "cold_remaining": "0ms",
                },
                "born": 1_700_000_000_000 + host.start_number,
            },
        )

    async def drain(self, host):
        """Announce that a host's upstream drains, then replace it.

        Its answers say so before the platform's store does.
        """
        leaving = host.upstream_id
        if host.is_leaving:
            return
        host.is_leaving = True
        await trio.sleep(
            self._random.uniform(0.0, MAXIMUM_ANNOUNCEMENT_DELAY_SECONDS)
        )
        self.register(host, "draining")
        self.records.leaving_at_by_id[leaving] = self.clock()
        await trio.sleep(REPLACEMENT_DELAY_SECONDS)
        self.store.delete(f"servers/{leaving}")
        host.upstream_number += 1
        host.start_number += 1
        host.is_leaving = False
        host.limit = None
        self.register(host)

    async def _replace_crashed(self, host, identity):
        """End a host's upstream; another one starts later."""
        if host.crashed.is_set() or host.is_leaving:
            return
        crashed_id = host.upstream_id
        random_source = self._random
        host.crashes_silently = random_source.random() < SILENT_CRASH_RATIO
        host.down_seconds = random_source.uniform(
            *SILENT_CRASH_SECONDS if host.crashes_silently else CRASH_SECONDS
        )
        keeps_id = host.limit is None and (
            random_source.random() < SAME_ID_RATIO
        )
        host.crashed.set()
        began = self.clock()
        self.records.crashed_at_by_identity[identity].append(began)
        await trio.sleep(host.down_seconds)
        self.records.faults.append(("crash", host.number, began, self.clock()))
        if host.upstream_id == crashed_id:
            host.start_number += 1
            if not keeps_id:
                self.store.delete(f"servers/{crashed_id}")
                host.upstream_number += 1
            host.limit = None
            self.register(host)

    async def name_limit(self, host, seconds):
        """Let a host's upstream name a limit in its answers for a time."""
        if host.limit is not None or host.crashed.is_set():
            return
        upstream_id = host.upstream_id
        limit = self._random.choice(LIMITS_PER_SECOND)
        host.limit = limit
        began = self.clock()
        await trio.sleep(seconds)
        if host.upstream_id == upstream_id:
            host.limit = None
        self.records.limits.append((upstream_id, limit, began, self.clock()))

    async def take_domain_out_of_service(self, domain, seconds):
        """Take a failure domain out of service for a given time."""
        key = f"op/evacuate/{domain}"
        if key in self.store.items_by_key:
            return
        self.store.put(key, {"zone": domain})
        began = self.clock()
        await trio.sleep(seconds)
        self.store.delete(key)
        self.records.domains_out.append((domain, began, self.clock()))

    # Upstreams.

    def _check_headers(self, request, request_id):
        is_probe = request_id in self.records.probe_request_ids
        if self._older is None and (
            request.header("x-api-key") is not None
            or (request.header("tenant-name") in KEYS_BY_CUSTOMER) is is_probe
        ):
            self.records.header_violations.append(
                f"{request_id}: wrong customer, or a key, at the upstream"
            )

    async def _respond(self, host, request):
        if host.crashed.is_set():
            await trio.sleep_forever()
        own = model.Header(name="instance-id", value=host.upstream_id)
        if request.target == "/health":
            return model.Response(
                status=503 if host.is_leaving else 200,
                headers=(own, *_self_report(host)),
            )
        if request.header("target-instance") != host.upstream_id:
            return model.Response(status=421, headers=())
        request_id = request.header("attempt-id")
        upstream_id = host.upstream_id
        self.records.add_run(request_id, upstream_id, self.clock())
        self._check_headers(request, request_id)
        await trio.sleep(self._random.uniform(0.005, 0.06) * host.slowness)
        identity = self.records.harmful_identities_by_id.get(request_id)
        if identity is not None and not host.is_leaving:
            self._nursery.start_soon(self._replace_crashed, host, identity)
            await trio.sleep_forever()
        if host.is_leaving and host.upstream_id == upstream_id:
            self.records.said_leaving_at_by_id.setdefault(
                upstream_id, self.clock()
            )
        return model.Response(
            status=200,
            headers=(
                model.Header(name="server-signature", value="s"),
                model.Header(name="attempt-id", value=request_id),
                *_self_report(host),
            ),
            body=make_body(request_id),
        )


def _self_report(host):
    """Return the headers with which an upstream reports about itself."""
    headers = []
    if host.limit is not None:
        headers.append(
            model.Header(name="server-limit", value=f"{host.limit:.1f}")
        )
    if host.is_leaving:
        headers.append(model.Header(name="server-leaving", value="1"))
    return headers


def make_body(request_id):
    """Return the response body of an upstream for a request."""
    return request_id.encode() * 40


def _rule(name, kind, *, timeout_ms, service=SERVICE):
    return {
        "name": name,
        "kind": "idempotent" if kind == "idempotent" else "non_idempotent",
        "target_latency": "300ms",
        "priority": 1,
        "match": {"path_prefix": f"/{name}/"},
        "action": {
            "service": service,
            "timeout": f"{timeout_ms}ms",
            "max_attempts": 2,
        },
    }
