"""Sessions of complete nodes on a mock clock, and their transcripts."""

import collections
import contextlib
import contextvars
import dataclasses
import pathlib
import random as random_module

import eliot
import trio
import trio._core._run as trio_run
import trio.testing

from shallotbridge._generated import settings as generated
from shallotbridge.core import build
from shallotbridge.core import decisions
from shallotbridge.core import errors
from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import model
from shallotbridge.core import node as node_module
from shallotbridge.core import parts
from shallotbridge.core import tree
from shallotbridge.transports import network
from shallotbridge.transports import peer_calls
from standins import platform as platform_standin
from standins import upstream as upstream_standin
from tests.golden import checker
from tests.golden import memory_network
from tests import memory

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
CALLER = "127.0.9.9"
# Limits of sections 2.1 and 2.5.
MAXIMUM_CONVERGENCE_SECONDS = 4.0
SAMPLE_INTERVAL_SECONDS = 0.05
RESPONSE_TIMEOUT_SECONDS = 20.0
_CURRENT_HOST_ID = contextvars.ContextVar("host", default="-")
# Logged actions that a transcript shows, with the fields it shows of them.
_SHOWN_FIELDS_BY_ACTION = {
    "configuration_applied": ("previous", "chosen"),
    "configuration_rejected": ("candidate", "code"),
    "configuration_conflict": ("chosen", "code"),
    "platform_stale": ("candidate", "chosen"),
    "platform_read_failed": ("code",),
    "platform_went_back": (),
    "start": ("chosen",),
    "node_leaving": (),
    "node_drained": (),
    "keys_handed_over": (),
    "keys_taken_over": (),
    "crash": (),
    "pause_detected": ("gap_seconds",),
    "reader_started": (),
}


class RecordedUpstream(upstream_standin.Upstream):
    """An upstream that reports each request that it starts or refuses."""

    def __init__(self, *, on_run_started, on_upstream_refusal, **fields):
        super().__init__(**fields)
        self._on_run_started = on_run_started
        self._on_upstream_refusal = on_upstream_refusal

    def _record_start(self, request, request_id):
        super()._record_start(request, request_id)
        key = request.headers_by_name.get("idempotency-key")
        self._on_run_started(request_id, key, request.target, self.in_use + 1)

    def _refusal(self, request):
        reason = super()._refusal(request)
        if reason is not None:
            self._on_upstream_refusal(reason)
        return reason


class FabricPeerNetwork(memory.MemoryPeerNetwork):
    """Messages between nodes, subject to the links of a memory fabric."""

    def __init__(self, *, fabric, processes_by_address):
        super().__init__()
        self._fabric = fabric
        self._processes_by_address = processes_by_address

    async def _deliver(self, source, target):
        link = self._fabric.link(source, target)
        await trio.sleep(link.latency)
        for address in (source, target):
            await self._processes_by_address[address].wait_until_running()
        await link.wait_until_healed()


class Session:
    """A mesh with its callers, and the operations of a test script on it.

    Parameters
    ----------
    nursery : trio.Nursery
    seed : int
    example : str
        Directory below ``examples``.
    hosts : str
        Numbers of hosts by failure domain and service, such as
        ``"cairo-1: showroom 2, cutting-floor 1; cairo-2: showroom 2"``.
    limits : mapping
        Overrides for the limits of all services.
    behaviour : mapping
        Overrides for the behaviour of all upstreams.
    """

    def __init__(
        self, *, nursery, seed, example, hosts, limits=None, behaviour=None
    ):
        self.lines = []
        self.history = checker.History()
        self.random = random_module.Random(seed)
        self.fabric = memory_network.MemoryFabric()
        self.platform = platform_standin.PlatformState()
        self.hosts_by_id = {}
        self.nodes_by_id = {}
        self.upstreams_by_id = {}
        self.hosts_without_platform = set()
        self.processes_by_address = collections.defaultdict(
            memory_network.Process
        )
        self._peers = FabricPeerNetwork(
            fabric=self.fabric, processes_by_address=self.processes_by_address
        )
        self._nursery = nursery
        self._seed = seed
        self._behaviour = behaviour or {}
        self._scopes_by_id = {}
        self._start_counts_by_id = collections.Counter()
        self._request_count = 0
        self._phase_started_at = trio.current_time()
        self._host_ids_by_decision = {}
        self._phase_response_counts = collections.Counter()
        loaded = tree.load_tree(EXAMPLES / example)
        services = [
            dataclasses.replace(
                service,
                upstream=dataclasses.replace(
                    service.upstream, **(limits or {})
                ),
            )
            for service in loaded.services_by_name.values()
        ]
        self.accepted_configuration = dataclasses.replace(
            loaded, services_by_name=model.by_key(services, "name")
        )
        self.services_by_name = self.accepted_configuration.services_by_name
        # Callers may still request routes that were removed.
        self._routes_by_name = {
            name: route
            for service in services
            for name, route in service.routes_by_name.items()
        }
        self.accepted_build = None
        self._make_hosts(hosts)

    def _make_hosts(self, text):
        for index, group in enumerate(text.split(";"), start=1):
            domain, _, services = group.strip().partition(":")
            number = 0
            for entry in services.split(","):
                service, count = entry.split()
                for place in range(1, int(count) + 1):
                    number += 1
                    host = model.Host(
                        host_id=f"{domain[0]}{index}-{service}-{place}",
                        address=f"127.0.{index}.{number}",
                        service=service,
                        failure_domain=domain,
                    )
                    self.hosts_by_id[host.host_id] = host

    # The transcript.

    def note(self, text):
        """Write an event of the script to the transcript."""
        self.lines.append(f"{trio.current_time():8.1f} s  {text}")

    def phase(self, text):
        """End a phase and write its logged actions and responses."""
        now = trio.current_time()
        self.lines.append(
            f"{'':12}== {text} ({now - self._phase_started_at:.1f} s) =="
        )
        for (action, *fields), host_ids in sorted(
            self._host_ids_by_decision.items()
        ):
            counts_by_id = collections.Counter(host_ids)
            if set(counts_by_id.values()) == {1} and len(counts_by_id) > 3:
                missing = sorted(self.hosts_by_id.keys() - counts_by_id.keys())
                if len(missing) <= len(counts_by_id):
                    summary = "all nodes"
                    if missing:
                        summary += f" but {', '.join(missing)}"
                else:
                    summary = ", ".join(sorted(counts_by_id))
            else:
                summary = ", ".join(
                    host_id + (f" x{count}" if count > 1 else "")
                    for host_id, count in sorted(counts_by_id.items())
                )
            self.lines.append(
                f"{'':12}{' '.join([action, *fields])}: {summary}"
            )
        if self._phase_response_counts:
            summary = ", ".join(
                f"{text} x{count}"
                for text, count in sorted(self._phase_response_counts.items())
            )
            self.lines.append(f"{'':12}answers: {summary}")
        self._host_ids_by_decision.clear()
        self._phase_response_counts.clear()
        self._phase_started_at = now

    def on_decision(self, message):
        """Record one entry of the decision log."""
        kind = message.get("message_type", "")
        action = kind.removeprefix(decisions.MESSAGE_PREFIX)
        host_id = _CURRENT_HOST_ID.get()
        if action == "configuration_applied":
            self.history.on_version_applied(
                host_id, self._start_counts_by_id[host_id], message["chosen"]
            )
        if action in _SHOWN_FIELDS_BY_ACTION:
            fields = [
                _shorten_version(message[name])
                for name in _SHOWN_FIELDS_BY_ACTION[action]
            ]
            key = (action, *fields)
            self._host_ids_by_decision.setdefault(key, []).append(host_id)

    # Operators and the platform.

    def publish(self, *, out_of_service=None, change=None):
        """Build and publish the version that follows the accepted one.

        Parameters
        ----------
        out_of_service : iterable of str, optional
            Failure domains that are out of service in the new version.
        change : callable, optional
            ``change(configuration)`` returns the configuration to publish.
        """
        configuration = (
            self.accepted_configuration
            if change is None
            else change(self.accepted_configuration)
        )
        if out_of_service is not None:
            configuration = _with_domains_out(configuration, out_of_service)
        new_build = self.build(configuration)
        self.platform.put(new_build.values_by_key)
        self.accept(new_build)

    def build(self, configuration, base=None):
        """Return a build that follows the accepted one, or ``base``."""
        new_build = build.make_build(
            configuration,
            base=base or self.accepted_build,
            allow_unchanged=True,
        )
        self.history.on_configuration_built(new_build.configuration)
        return new_build

    def accept(self, new_build):
        """Make a build the accepted one that all nodes should enforce."""
        self.accepted_build = new_build
        self.accepted_configuration = new_build.configuration
        self.history.on_configuration_published(
            trio.current_time(), new_build.configuration
        )

    @property
    def version(self):
        """Number of the accepted version."""
        return self.accepted_build.configuration.head.version

    async def converge(
        self, host_ids=None, maximum_seconds=MAXIMUM_CONVERGENCE_SECONDS
    ):
        """Wait until nodes enforce the accepted version; fail if too late."""
        started_at = trio.current_time()
        expected_head = self.accepted_build.configuration.head
        host_ids = host_ids or list(self.nodes_by_id)
        behind = host_ids
        while behind and trio.current_time() <= started_at + maximum_seconds:
            await trio.sleep(SAMPLE_INTERVAL_SECONDS)
            behind = [
                host_id
                for host_id in host_ids
                if self.head_of(host_id) != expected_head
            ]
        assert not behind, (
            f"P11: {behind} are not on version {expected_head.version} after "
            f"{maximum_seconds} s"
        )
        seconds = trio.current_time() - started_at
        self.note(
            f"version {expected_head.version} in force on "
            f"{len(host_ids)} nodes after {seconds:.1f} s"
        )

    def head_of(self, host_id):
        """Return the head of the active configuration of a node."""
        configuration = self.nodes_by_id[host_id].store.configuration
        return model.NO_HEAD if configuration is None else configuration.head

    def publish_host_lists(self):
        """Publish the host list of each failure domain."""
        for domain in sorted(
            {host.failure_domain for host in self.hosts_by_id.values()}
        ):
            self.platform.set_hosts(
                domain,
                [
                    host
                    for host in self.hosts_by_id.values()
                    if host.failure_domain == domain
                ],
            )

    def find_host_ids(self, *, domain=None, service=None):
        """Return the ids of all hosts, or of one domain or service."""
        return [
            host.host_id
            for host in self.hosts_by_id.values()
            if domain in (None, host.failure_domain)
            and service in (None, host.service)
        ]

    def addresses(self, host_ids):
        """Return the addresses of hosts by id."""
        return [self.hosts_by_id[host_id].address for host_id in host_ids]

    # Hosts.

    async def start_fleet(self):
        """Publish version 1 and start all hosts."""
        self.publish_host_lists()
        self.publish()
        for host_id in self.hosts_by_id:
            await self.start_upstream(host_id)
            await self.start_node(host_id)
        await self.converge(maximum_seconds=10.0)
        # By then all nodes know all hosts and have chosen their parents.
        await trio.sleep(10.0)
        self.phase("start")

    async def start_upstream(self, host_id):
        """Start the upstream of a host."""
        service = self.accepted_configuration.services_by_name[
            self.hosts_by_id[host_id].service
        ]
        fields = {
            "slots": service.upstream.slots,
            "cold_slots": service.upstream.cold_slots,
            "warm_seconds": service.upstream.ramp_seconds,
            "spread": 0.2,
        } | self._behaviour

        def on_run_started(request_id, key, target, in_use):
            upstream = self.upstreams_by_id[host_id]
            self.history.on_run_started(
                checker.UpstreamRun(
                    at=trio.current_time(),
                    host=self.hosts_by_id[host_id],
                    request_id=request_id,
                    key=key,
                    target=target,
                    in_use=in_use,
                    capacity=upstream.capacity(),
                )
            )

        def on_upstream_refusal(reason):
            self.history.on_upstream_refusal(
                trio.current_time(), host_id, reason
            )

        self.upstreams_by_id[host_id] = RecordedUpstream(
            name=host_id,
            behaviour=upstream_standin.Behaviour(**fields),
            random=random_module.Random(f"{self._seed}-{host_id}"),
            on_run_started=on_run_started,
            on_upstream_refusal=on_upstream_refusal,
        )
        await self._nursery.start(self._serve_upstream, host_id)

    async def _serve_upstream(self, host_id, task_status):
        upstream = self.upstreams_by_id[host_id]
        address = self.hosts_by_id[host_id].address
        while self.upstreams_by_id[host_id] is upstream:
            changed = upstream.up_changed
            if not upstream.is_up:
                await changed.wait()
                continue
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    self.fabric.network_of(address).serve,
                    address,
                    8080,
                    upstream.handle,
                )
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
                await changed.wait()
                nursery.cancel_scope.cancel()

    async def start_node(self, host_id, seeds=()):
        """Start the node of a host without any state from an earlier run."""
        self._start_counts_by_id[host_id] += 1
        started = trio.Event()
        self._nursery.start_soon(self._run_node, host_id, seeds, started)
        await started.wait()

    async def _run_node(self, host_id, seeds, started):
        _CURRENT_HOST_ID.set(host_id)
        host = self.hosts_by_id[host_id]
        process = memory_network.Process()
        self.processes_by_address[host.address] = process
        scope = self._scopes_by_id[host_id] = trio.CancelScope()
        with scope:
            async with trio.open_nursery() as nursery:
                node = node_module.Node(
                    settings=generated.NodeSettings(
                        host_id=host_id,
                        address=host.address,
                        failure_domain=host.failure_domain,
                        service=host.service,
                        platform_url="http://127.0.0.1:7500",
                        fleet_size=len(self.hosts_by_id),
                        seeds=tuple(seeds),
                    ),
                    network=self.fabric.network_of(host.address, process),
                    peers=self._make_peers(host),
                    platform=self._make_platform(host, process),
                    random=random_module.Random(
                        f"{self._seed}-{host_id}-"
                        f"{self._start_counts_by_id[host_id]}"
                    ),
                    clock=process.clock,
                )
                self.nodes_by_id[host_id] = node
                await node.start(nursery)
                started.set()

    def _make_peers(self, host):
        peers = self._peers.peers(host.address)

        def with_host_id(handler):
            async def handle(message):
                token = _CURRENT_HOST_ID.set(host.host_id)
                try:
                    return await handler(message)
                finally:
                    _CURRENT_HOST_ID.reset(token)

            return handle

        async def serve(address, port, handlers, **fields):
            wrapped = peer_calls.PeerHandlers(
                **{
                    name: with_host_id(getattr(handlers, name))
                    for name in handlers.__dataclass_fields__
                }
            )
            await peers.serve(address, port, wrapped, **fields)

        return dataclasses.replace(peers, serve=serve)

    def _make_platform(self, host, process):
        platform = self.platform.make_client(
            lambda: host.host_id not in self.hosts_without_platform
        )

        def delay_while_paused(call):
            async def read(*arguments):
                try:
                    return await call(*arguments)
                finally:
                    await process.wait_until_running()

            return read

        return network.PlatformClient(
            read=delay_while_paused(platform.read),
            watch=delay_while_paused(platform.watch),
        )

    def kill_node(self, host_id):
        """Kill the process of a node."""
        host = self.hosts_by_id[host_id]
        del self.nodes_by_id[host_id]
        self.processes_by_address[host.address].reset_connections()
        self._scopes_by_id.pop(host_id).cancel()

    async def restart_node(self, host_id, seeds=()):
        """Kill a node and start it again."""
        self.kill_node(host_id)
        await trio.sleep(0.1)
        await self.start_node(host_id, seeds)

    async def stop_node(self, host_id):
        """Stop a node gracefully, as SIGTERM does."""
        node = self.nodes_by_id[host_id]
        token = _CURRENT_HOST_ID.set(host_id)
        try:
            with trio.fail_after(20.0):
                await node.drain()
            await node.close()
        finally:
            _CURRENT_HOST_ID.reset(token)
        del self.nodes_by_id[host_id]
        self.note(f"node {host_id} has stopped")

    def set_partition(self, host_ids, others, is_partitioned=True):
        """Partition or heal the links between two groups of hosts."""
        self.fabric.set_partitioned(
            self.addresses(host_ids), self.addresses(others), is_partitioned
        )

    def process(self, host_id):
        """Return the process of the node of a host."""
        return self.processes_by_address[self.hosts_by_id[host_id].address]

    def mark_upstream_leaving(self, host_id):
        """Start a planned stop of the upstream of a host."""
        self.upstreams_by_id[host_id].leave()
        self.history.on_upstream_leaving(trio.current_time(), host_id)

    # Callers.

    def route(self, name):
        """Return a route of the example by its name."""
        return self._routes_by_name[name]

    async def send_request(
        self, route, host_id=None, *, label=None, stream=None, **fields
    ):
        """Send one request and return its record.

        Parameters
        ----------
        route : model.Route or str
        host_id : str, optional
            Host of the entry node; by default a random running node.
        label : str, optional
            Writes a line with this label and the response to the transcript.
        stream : object, optional
            Open connection to use; by default a new one for the request.
        fields : mapping
            ``key``, ``attempt``, ``body`` and ``headers``.
        """
        if isinstance(route, str):
            route = self.route(route)
        host_id = host_id or self.random.choice(sorted(self.nodes_by_id))
        self._request_count += 1
        request = checker.CallerRequest(
            request_id=f"r{self._request_count:04d}",
            route=route,
            target=route.path.replace("{roll}", "7").replace("{parcel}", "9"),
            entry=host_id,
            sent_at=trio.current_time(),
            key=fields.get("key"),
            attempt=fields.get("attempt", 1),
            body=fields.get("body", b"{}" if route.method == "POST" else b""),
        )
        self.history.requests_by_id[request.request_id] = request
        with trio.move_on_after(RESPONSE_TIMEOUT_SECONDS):
            try:
                await self._send_and_receive(request, stream, fields)
            except (OSError, trio.BrokenResourceError, errors.CallError):
                # The connection ended without a complete response.
                pass
        self._phase_response_counts[request.response_summary] += 1
        if label is not None:
            self.note(
                f"{label}: {route.name} at {host_id}: "
                f"{request.response_summary}"
            )
        return request

    async def _send_and_receive(self, request, stream, fields):
        pairs = {
            "host": "mesh",
            "x-shallotbridge-request-id": request.request_id,
            "x-shallotbridge-attempt": str(request.attempt),
        } | fields.get("headers", {})
        if request.key is not None:
            pairs["idempotency-key"] = request.key
        http_request = model.Request(
            method=request.route.method,
            target=request.target,
            headers=tuple(
                model.Header(name=name, value=value)
                for name, value in pairs.items()
            ),
            body=request.body,
        )
        is_reused = stream is not None
        if not is_reused:
            stream = await self.connect(request.entry)
        try:
            await stream.send_all(http1_encoding.encode_request(http_request))
            request.was_sent = True
            reader = http1.ResponseReader(stream=stream)
            request.response = await reader.read(http_request.method)
        finally:
            if not is_reused:
                await trio.aclose_forcefully(stream)

    async def connect(self, host_id):
        """Open a caller's connection to a node."""
        address = self.hosts_by_id[host_id].address
        return await self.fabric.network_of(CALLER).open_stream(address, 7400)

    @contextlib.asynccontextmanager
    async def load(self, *, rate, routes, entries=None, keys=False):
        """Send requests during the block and wait until all have ended.

        Parameters
        ----------
        rate : float
            Mean number of requests per second, with random intervals.
        routes : list of str
            Each request takes a random one.
        entries : callable, optional
            ``entries()`` returns the ids of the hosts whose nodes may be the
            entry node of the next request.
        keys : bool
            Whether requests that are not idempotent get an idempotency key.
        """
        async with trio.open_nursery() as nursery:
            stop = trio.CancelScope()

            async def send():
                with stop:
                    while True:
                        await trio.sleep(self.random.expovariate(rate))
                        fields = {}
                        route = self.random.choice(routes)
                        if entries is not None:
                            names = sorted(entries())
                            fields["host_id"] = self.random.choice(names)
                        if keys and not self.route(route).is_idempotent:
                            fields["key"] = f"k{self._request_count}"
                        nursery.start_soon(
                            lambda route=route, fields=fields: (
                                self.send_request(route, **fields)
                            )
                        )

            nursery.start_soon(send)
            yield
            stop.cancel()

    def finish(self):
        """Check all invariants and write the table to the transcript."""
        self.phase("end")
        self.history.check(self)
        self.lines.append("")
        self.lines += checker.format_table(self)


def _shorten_version(value):
    """Return a value as text; readers need only the start of a digest."""
    text = str(value)
    if "@" in text:
        version, _, digest = text.partition("@")
        return f"v{version}" + (f"@{digest[:4]}" if digest else "")
    return text


def _with_domains_out(configuration, out_of_service):
    domains = [
        dataclasses.replace(
            domain, in_service=domain.name not in out_of_service
        )
        for domain in configuration.failure_domains_by_name.values()
    ]
    return dataclasses.replace(
        configuration, failure_domains_by_name=model.by_key(domains, "name")
    )


def with_deadlines(seconds):
    """Return a function that sets the deadline of all routes."""
    return lambda configuration: _map_services(
        configuration,
        lambda service: dataclasses.replace(
            service,
            routes_by_name=model.by_key(
                [
                    dataclasses.replace(route, deadline_seconds=seconds)
                    for route in service.routes_by_name.values()
                ],
                "name",
            ),
        ),
    )


def with_more_services(count):
    """Return a function that adds services without hosts."""

    def add(configuration):
        services = list(configuration.services_by_name.values())
        services += [
            dataclasses.replace(
                services[0], name=f"annex-{number}", routes_by_name={}
            )
            for number in range(count)
        ]
        return dataclasses.replace(
            configuration, services_by_name=model.by_key(services, "name")
        )

    return add


def without_service(name):
    """Return a function that removes a service and dependencies on it."""

    def without_dependency(service):
        if service.name == name:
            return None
        routes = [
            dataclasses.replace(
                route,
                depends_on=tuple(
                    each for each in route.depends_on if each != name
                ),
            )
            for route in service.routes_by_name.values()
        ]
        return dataclasses.replace(
            service, routes_by_name=model.by_key(routes, "name")
        )

    return lambda configuration: _map_services(
        configuration, without_dependency
    )


def make_unchecked_values(configuration, base):
    """Return values to publish that bypass the checks of a build."""
    head = base.configuration.head
    digests_by_name = {
        name: parts.part_digest(content)
        for name, content in parts.encode_parts(configuration).items()
    }
    digest = parts.root_digest(
        version=head.version + 1,
        base_digest=head.digest,
        digests_by_name=digests_by_name,
    )
    reference = model.HeadReference(version=head.version + 1, digest=digest)
    return memory.platform_values(
        dataclasses.replace(configuration, head=reference),
        base_digest=head.digest,
    )


def _map_services(configuration, change):
    changed = map(change, configuration.services_by_name.values())
    return dataclasses.replace(
        configuration,
        services_by_name=model.by_key(filter(None, changed), "name"),
    )


def _discard_message(message):
    """Discard a log message."""


def run_session(script, *, seed, **options):
    """Run a script in a session and return the transcript.

    The transcript is identical in each run: the seed determines the order of
    the scheduler, and the mock clock is the only source of time.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            session = Session(nursery=nursery, seed=seed, **options)
            nursery.start_soon(_sample_configurations, session)
            # eliot passes earlier messages, such as those of other tests, to
            # the first destination that is added.
            eliot.add_destinations(_discard_message)
            eliot.add_destinations(session.on_decision)
            try:
                await script(session)
                session.finish()
            finally:
                eliot.remove_destination(_discard_message)
                eliot.remove_destination(session.on_decision)
            nursery.cancel_scope.cancel()
        return "\n".join(session.lines) + "\n"

    state = trio_run._r.getstate()
    allowed = trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    trio_run._r.seed(seed)
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    try:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)
    finally:
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = allowed
        trio_run._r.setstate(state)


async def _sample_configurations(session):
    """Sample the active configurations, independently of the log."""
    while True:
        for host_id in session.nodes_by_id:
            session.history.on_configuration_sampled(
                host_id,
                session._start_counts_by_id[host_id],
                session.nodes_by_id[host_id].store.configuration,
            )
        await trio.sleep(SAMPLE_INTERVAL_SECONDS)
