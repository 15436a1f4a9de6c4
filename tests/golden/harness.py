"""Sessions of whole nodes on the mock clock, and their transcripts."""

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
# Bounds of sections 2.1 and 2.5, seconds.
CONVERGENCE_SECONDS = 4.0
SAMPLE_SECONDS = 0.05
ANSWER_SECONDS = 20.0
_HOST = contextvars.ContextVar("host", default="-")
# Decisions that a transcript shows, with the fields that name them.
_SHOWN = {
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
    """An upstream that reports each start and each refusal."""

    def __init__(self, *, on_start, on_refusal, **fields):
        super().__init__(**fields)
        self._on_start = on_start
        self._on_refusal = on_refusal

    def _record_start(self, request, request_id):
        super()._record_start(request, request_id)
        key = request.headers_by_name.get("idempotency-key")
        self._on_start(request_id, key, request.target, self.in_use + 1)

    def _refusal(self, request):
        reason = super()._refusal(request)
        if reason is not None:
            self._on_refusal(reason)
        return reason


class Peers(memory.MemoryPeerNetwork):
    """Messages between nodes over the links of a fabric."""

    def __init__(self, *, fabric, processes_by_address):
        super().__init__()
        self._fabric = fabric
        self._processes_by_address = processes_by_address

    async def _deliver(self, source, target):
        link = self._fabric.link(source, target)
        await trio.sleep(link.latency)
        for address in (source, target):
            await self._processes_by_address[address].wait_running()
        await link.wait_open()


class Session:
    """One mesh with its callers, and what a script does to it.

    Parameters
    ----------
    nursery : trio.Nursery
    seed : int
    example : str
        Directory below ``examples``.
    hosts : str
        ``"cairo-1: showroom 2, cutting-floor 1; cairo-2: showroom 2"``.
    limits : mapping
        Changes to the limits of all services.
    behaviour : mapping
        Changes to the behaviour of all upstreams.
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
        self.without_platform = set()
        self.processes_by_address = collections.defaultdict(
            memory_network.Process
        )
        self._peers = Peers(
            fabric=self.fabric, processes_by_address=self.processes_by_address
        )
        self._nursery = nursery
        self._seed = seed
        self._behaviour = behaviour or {}
        self._scopes_by_id = {}
        self._starts_by_id = collections.Counter()
        self._sent_count = 0
        self._phase_began = trio.current_time()
        self._decisions = {}
        self._phase_answers = collections.Counter()
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
        self.tree = dataclasses.replace(
            loaded, services_by_name=model.by_key(services, "name")
        )
        self.services_by_name = self.tree.services_by_name
        # Callers may still ask for routes that are gone.
        self._routes_by_name = {
            name: route
            for service in services
            for name, route in service.routes_by_name.items()
        }
        self.base = None
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
        """Write one scripted event."""
        self.lines.append(f"{trio.current_time():8.1f} s  {text}")

    def phase(self, text):
        """End a phase: write what was decided and answered in it."""
        now = trio.current_time()
        self.lines.append(
            f"{'':12}== {text} ({now - self._phase_began:.1f} s) =="
        )
        for (action, *fields), host_ids in sorted(self._decisions.items()):
            times = collections.Counter(host_ids)
            if set(times.values()) == {1} and len(times) > 3:
                missing = sorted(self.hosts_by_id.keys() - times.keys())
                if len(missing) <= len(times):
                    listed = "all nodes"
                    if missing:
                        listed += f" but {', '.join(missing)}"
                else:
                    listed = ", ".join(sorted(times))
            else:
                listed = ", ".join(
                    host_id + (f" x{count}" if count > 1 else "")
                    for host_id, count in sorted(times.items())
                )
            self.lines.append(
                f"{'':12}{' '.join([action, *fields])}: {listed}"
            )
        if self._phase_answers:
            listed = ", ".join(
                f"{text} x{count}"
                for text, count in sorted(self._phase_answers.items())
            )
            self.lines.append(f"{'':12}answers: {listed}")
        self._decisions.clear()
        self._phase_answers.clear()
        self._phase_began = now

    def on_decision(self, message):
        """Take one line of the decision log."""
        kind = message.get("message_type", "")
        action = kind.removeprefix(decisions.MESSAGE_PREFIX)
        host_id = _HOST.get()
        if action == "configuration_applied":
            self.history.on_version(
                host_id, self._starts_by_id[host_id], message["chosen"]
            )
        if action in _SHOWN:
            fields = [_short(message[name]) for name in _SHOWN[action]]
            key = (action, *fields)
            self._decisions.setdefault(key, []).append(host_id)

    # The operators and the platform.

    def publish(self, *, out=None, change=None):
        """Build and publish the next version from the accepted one.

        Parameters
        ----------
        out : iterable of str, optional
            The failure domains out of service from now on.
        change : callable, optional
            ``change(configuration)`` returns the content to publish.
        """
        configuration = self.tree if change is None else change(self.tree)
        if out is not None:
            configuration = _with_domains_out(configuration, out)
        made = self.build(configuration)
        self.platform.put(made.values_by_key)
        self.accept(made)

    def build(self, configuration, base=None):
        """Return a build that follows the accepted one."""
        made = build.make_build(
            configuration, base=base or self.base, allow_unchanged=True
        )
        self.history.on_built(made.configuration)
        return made

    def accept(self, made):
        """Take a build as the accepted configuration."""
        self.base = made
        self.tree = made.configuration
        self.history.on_published(trio.current_time(), made.configuration)

    @property
    def version(self):
        """Number of the accepted version."""
        return self.base.configuration.head.version

    async def converge(self, host_ids=None, within=CONVERGENCE_SECONDS):
        """Wait until nodes enforce the accepted version, in time."""
        began = trio.current_time()
        wanted = self.base.configuration.head
        host_ids = host_ids or list(self.nodes_by_id)
        behind = host_ids
        while behind and trio.current_time() <= began + within:
            await trio.sleep(SAMPLE_SECONDS)
            behind = [
                host_id
                for host_id in host_ids
                if self.head_of(host_id) != wanted
            ]
        assert not behind, (
            f"P11: {behind} are not on version {wanted.version} after "
            f"{within} s"
        )
        seconds = trio.current_time() - began
        self.note(
            f"version {wanted.version} in force on {len(host_ids)} nodes "
            f"after {seconds:.1f} s"
        )

    def head_of(self, host_id):
        """Return the head in force on a node."""
        configuration = self.nodes_by_id[host_id].store.configuration
        return model.NO_HEAD if configuration is None else configuration.head

    def list_hosts(self):
        """Put the host lists on the platform."""
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

    def ids(self, *, domain=None, service=None):
        """Return the ids of hosts of a domain or service."""
        return [
            host.host_id
            for host in self.hosts_by_id.values()
            if domain in (None, host.failure_domain)
            and service in (None, host.service)
        ]

    def addresses(self, host_ids):
        """Return the addresses of hosts."""
        return [self.hosts_by_id[host_id].address for host_id in host_ids]

    # Hosts.

    async def start_fleet(self):
        """Publish version 1 and start all hosts."""
        self.list_hosts()
        self.publish()
        for host_id in self.hosts_by_id:
            await self.start_upstream(host_id)
            await self.start_node(host_id)
        await self.converge(within=10.0)
        # Until all know all hosts and have their parents.
        await trio.sleep(10.0)
        self.phase("start")

    async def start_upstream(self, host_id):
        """Start the upstream of a host."""
        service = self.tree.services_by_name[self.hosts_by_id[host_id].service]
        fields = {
            "slots": service.upstream.slots,
            "cold_slots": service.upstream.cold_slots,
            "warm_seconds": service.upstream.ramp_seconds,
            "spread": 0.2,
        } | self._behaviour

        def on_start(request_id, key, target, in_use):
            upstream = self.upstreams_by_id[host_id]
            self.history.on_start(
                checker.Start(
                    at=trio.current_time(),
                    host=self.hosts_by_id[host_id],
                    request_id=request_id,
                    key=key,
                    target=target,
                    in_use=in_use,
                    capacity=upstream.capacity(),
                )
            )

        def on_refusal(reason):
            self.history.on_refusal(trio.current_time(), host_id, reason)

        self.upstreams_by_id[host_id] = RecordedUpstream(
            name=host_id,
            behaviour=upstream_standin.Behaviour(**fields),
            random=random_module.Random(f"{self._seed}-{host_id}"),
            on_start=on_start,
            on_refusal=on_refusal,
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
        """Start the node of a host; it knows nothing."""
        self._starts_by_id[host_id] += 1
        started = trio.Event()
        self._nursery.start_soon(self._run_node, host_id, seeds, started)
        await started.wait()

    async def _run_node(self, host_id, seeds, started):
        _HOST.set(host_id)
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
                    peers=self._peers_of(host),
                    platform=self._platform_of(host, process),
                    random=random_module.Random(
                        f"{self._seed}-{host_id}-{self._starts_by_id[host_id]}"
                    ),
                    clock=process.clock,
                )
                self.nodes_by_id[host_id] = node
                await node.start(nursery)
                started.set()

    def _peers_of(self, host):
        peers = self._peers.peers(host.address)

        def attributed(handler):
            async def handle(message):
                token = _HOST.set(host.host_id)
                try:
                    return await handler(message)
                finally:
                    _HOST.reset(token)

            return handle

        async def serve(address, port, handlers, **fields):
            wrapped = peer_calls.PeerHandlers(
                **{
                    name: attributed(getattr(handlers, name))
                    for name in handlers.__dataclass_fields__
                }
            )
            await peers.serve(address, port, wrapped, **fields)

        return dataclasses.replace(peers, serve=serve)

    def _platform_of(self, host, process):
        reached = self.platform.as_platform(
            lambda: host.host_id not in self.without_platform
        )

        def held(call):
            async def read(*arguments):
                try:
                    return await call(*arguments)
                finally:
                    await process.wait_running()

            return read

        return network.PlatformClient(
            read=held(reached.read), watch=held(reached.watch)
        )

    def kill_node(self, host_id):
        """End the process of a node at once."""
        host = self.hosts_by_id[host_id]
        del self.nodes_by_id[host_id]
        self.processes_by_address[host.address].end()
        self._scopes_by_id.pop(host_id).cancel()

    async def restart_node(self, host_id, seeds=()):
        """End a node and start it again."""
        self.kill_node(host_id)
        await trio.sleep(0.1)
        await self.start_node(host_id, seeds)

    async def stop_node(self, host_id):
        """Stop a node as SIGTERM does."""
        node = self.nodes_by_id[host_id]
        token = _HOST.set(host_id)
        try:
            with trio.fail_after(20.0):
                await node.drain()
            await node.close()
        finally:
            _HOST.reset(token)
        del self.nodes_by_id[host_id]
        self.note(f"node {host_id} has stopped")

    def cut(self, host_ids, others, is_cut=True):
        """Cut or mend the links between two groups of hosts."""
        self.fabric.set_cut(
            self.addresses(host_ids), self.addresses(others), is_cut
        )

    def process(self, host_id):
        """Return the process of a host's node."""
        return self.processes_by_address[self.hosts_by_id[host_id].address]

    def leave(self, host_id):
        """Let the upstream of a host leave."""
        self.upstreams_by_id[host_id].leave()
        self.history.on_leave(trio.current_time(), host_id)

    # Callers.

    def route(self, name):
        """Return a route of the example by its name."""
        return self._routes_by_name[name]

    async def ask(
        self, route, host_id=None, *, show=None, stream=None, **fields
    ):
        """Send one request and return its record.

        Parameters
        ----------
        route : model.Route or str
        host_id : str, optional
            Entry node; any running one by default.
        show : str, optional
            Writes a line with the answer.
        stream : object, optional
            A connection that is kept, with its reader.
        fields : mapping
            ``key``, ``attempt``, ``body`` and ``headers``.
        """
        if isinstance(route, str):
            route = self.route(route)
        host_id = host_id or self.random.choice(sorted(self.nodes_by_id))
        self._sent_count += 1
        sending = checker.Sending(
            request_id=f"r{self._sent_count:04d}",
            route=route,
            target=route.path.replace("{roll}", "7").replace("{parcel}", "9"),
            entry=host_id,
            sent_at=trio.current_time(),
            key=fields.get("key"),
            attempt=fields.get("attempt", 1),
            body=fields.get("body", b"{}" if route.method == "POST" else b""),
        )
        self.history.sendings_by_id[sending.request_id] = sending
        with trio.move_on_after(ANSWER_SECONDS):
            try:
                await self._exchange(sending, stream, fields)
            except (OSError, trio.BrokenResourceError, errors.CallError):
                # The connection ended without a whole answer.
                pass
        self._phase_answers[sending.answer] += 1
        if show is not None:
            self.note(f"{show}: {route.name} at {host_id}: {sending.answer}")
        return sending

    async def _exchange(self, sending, stream, fields):
        pairs = {
            "host": "mesh",
            "x-shallotbridge-request-id": sending.request_id,
            "x-shallotbridge-attempt": str(sending.attempt),
        } | fields.get("headers", {})
        if sending.key is not None:
            pairs["idempotency-key"] = sending.key
        request = model.Request(
            method=sending.route.method,
            target=sending.target,
            headers=tuple(
                model.Header(name=name, value=value)
                for name, value in pairs.items()
            ),
            body=sending.body,
        )
        is_kept = stream is not None
        if not is_kept:
            stream = await self.connect(sending.entry)
        try:
            await stream.send_all(http1_encoding.encode_request(request))
            sending.is_sent = True
            reader = http1.ResponseReader(stream=stream)
            sending.response = await reader.read(request.method)
        finally:
            if not is_kept:
                await trio.aclose_forcefully(stream)

    async def connect(self, host_id):
        """Open a connection of a caller."""
        address = self.hosts_by_id[host_id].address
        return await self.fabric.network_of(CALLER).open_stream(address, 7400)

    @contextlib.asynccontextmanager
    async def load(self, *, rate, routes, entries=None, keys=False):
        """Send requests at a rate during the block; end with the last one.

        ``entries`` is called for the entry nodes of each request.
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
                            fields["key"] = f"k{self._sent_count}"
                        nursery.start_soon(
                            lambda route=route, fields=fields: self.ask(
                                route, **fields
                            )
                        )

            nursery.start_soon(send)
            yield
            stop.cancel()

    def finish(self):
        """Check all invariants and write the table."""
        self.phase("end")
        self.history.check(self)
        self.lines.append("")
        self.lines += checker.table(self)


def _short(value):
    """Return a version without its digest, which a reader cannot use."""
    text = str(value)
    if "@" in text:
        version, _, digest = text.partition("@")
        return f"v{version}" + (f"@{digest[:4]}" if digest else "")
    return text


def _with_domains_out(configuration, out):
    domains = [
        dataclasses.replace(domain, in_service=domain.name not in out)
        for domain in configuration.failure_domains_by_name.values()
    ]
    return dataclasses.replace(
        configuration, failure_domains_by_name=model.by_key(domains, "name")
    )


def with_deadlines(seconds):
    """Return a change that sets the deadline of all routes."""
    return lambda configuration: _with_services(
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
    """Return a change that adds services without hosts."""

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
    """Return a change that removes a service and what depends on it."""

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

    return lambda configuration: _with_services(
        configuration, without_dependency
    )


def unchecked_values(configuration, base):
    """Return values to publish that no build checked."""
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


def _with_services(configuration, change):
    changed = map(change, configuration.services_by_name.values())
    return dataclasses.replace(
        configuration,
        services_by_name=model.by_key(filter(None, changed), "name"),
    )


def _discard(message):
    """Take a message and do nothing with it."""


def run(script, *, seed, **options):
    """Run a script in a session and return the transcript.

    The scheduler's order is drawn from the seed, and all time is that of
    the mock clock, so that the transcript has the same bytes in each run.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            session = Session(nursery=nursery, seed=seed, **options)
            nursery.start_soon(_sample, session)
            # eliot gives the first destination what was logged before it,
            # such as the messages of other tests.
            eliot.add_destinations(_discard)
            eliot.add_destinations(session.on_decision)
            try:
                await script(session)
                session.finish()
            finally:
                eliot.remove_destination(_discard)
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


async def _sample(session):
    """Look at all nodes all the time, beside what they log."""
    while True:
        for host_id in session.nodes_by_id:
            session.history.on_sample(
                host_id,
                session._starts_by_id[host_id],
                session.nodes_by_id[host_id].store.configuration,
            )
        await trio.sleep(SAMPLE_SECONDS)
