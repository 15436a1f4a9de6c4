"""One node: creates, connects, starts and stops its components."""

import dataclasses
import functools
import time

import trio

from .._generated import configuration_pb2
from . import convergence
from . import decisions
from . import entry
from . import errors
from . import forwarding
from . import gate
from . import hosts
from . import key_hints
from . import keys
from . import metrics as metrics_module
from . import model
from . import owner
from . import owner_selection
from . import parts
from . import pauses
from . import platform as platform_module
from . import pool
from . import probes
from . import retries
from . import routing
from . import service_messages
from . import startup
from . import store
from . import suspects
from . import sync
from . import topology
from ..transports import peer_calls

# A safety limit only: the gate limits requests in flight to the service's
# slots, and the checks require at least as many connections as slots.
MAXIMUM_UPSTREAM_CONNECTIONS = 1000
# One for the health and load probes, which run one after the other, and one
# for the restart check after a lost connection.
PROBE_CONNECTIONS = 2


class Node:
    """One node; must be created inside a running trio event loop.

    Parameters
    ----------
    settings : NodeSettings
    network : network.Network
    peers : peer_calls.PeerCalls
    platform : network.PlatformClient
    random : random.Random
    metrics : metrics.Metrics, optional
    serve_operator : callable, optional
        ``await serve_operator(read_status, address, port, task_status)``
        serves the operator endpoint until cancelled. Without it, the node
        has no operator endpoint.
    clock : callable
        Monotonic clock, seconds, used to detect pauses of the process.
    """

    def __init__(
        self,
        *,
        settings,
        network,
        peers,
        platform,
        random,
        metrics=None,
        serve_operator=None,
        clock=time.monotonic,
    ):
        self.metrics = metrics or metrics_module.Metrics(address=None)
        self._settings = settings
        self._network = network
        self._random = random
        self._clock = clock
        self._serve_operator = serve_operator
        self._started_at = trio.current_time()
        self._nursery = None
        self._is_leaving = False
        self._ended = trio.Event()
        self._caller_listener_scope = trio.CancelScope()
        self._connection_scopes = set()
        self._convergence_timer = convergence.ConvergenceTimer()
        self._retry_budgets_by_service = {}
        self.own_host = model.Host(
            host_id=settings.host_id,
            address=settings.address,
            service=settings.service,
            failure_domain=settings.failure_domain,
        )
        self._make_distribution(
            self._observe_peer_heads(peers),
            self._observe_platform_heads(platform),
        )
        self._make_admission(network)
        self._make_request_servers(network)
        self._register_metrics()

    def _make_distribution(self, peers, platform):
        settings = self._settings
        self._peers = peers
        self.store = store.ConfigurationStore()
        self.hosts = hosts.HostTable()
        self._topology = topology.Topology(
            own_host=self.own_host,
            hosts=self.hosts,
            seeds=settings.seeds,
            readers=settings.readers,
            fan_out=settings.fan_out,
        )
        self._platform_reader = platform_module.PlatformReader(
            platform=platform,
            store=self.store,
            hosts=self.hosts,
            random=self._random,
            topology=self._topology,
            failure_domain=settings.failure_domain,
            watch_wait=settings.watch_wait,
            fleet_size=settings.fleet_size,
        )
        self._sync_client = sync.SyncClient(
            own_host=self.own_host,
            store=self.store,
            hosts=self.hosts,
            topology=self._topology,
            peers=peers,
            random=self._random,
            poll_wait=settings.poll_wait,
        )
        self._sync_server = sync.SyncServer(
            host_id=settings.host_id,
            store=self.store,
            hosts=self.hosts,
            on_sender_ahead=self._sync_client.schedule_pull,
        )

    def _make_admission(self, network):
        self._service_sender = service_messages.ServiceMessageSender(
            own_host=self.own_host,
            hosts=self.hosts,
            peers=self._peers,
            spawn=self._spawn,
            read_uptime=self._uptime,
        )
        self._keys = keys.KeyWindow(
            own_host=self.own_host,
            hosts_of_service=self.hosts.hosts_of_service,
            query_key_state=self._service_sender.query_key_state,
        )
        self._suspects = suspects.SuspectTable()
        self._service_handler = service_messages.ServiceMessageHandler(
            own_host=self.own_host, keys=self._keys, suspects=self._suspects
        )
        self._gate = gate.AdmissionController(
            own_host=self.own_host,
            configuration=lambda: self.store.configuration,
            keys=self._keys,
            suspects=self._suspects,
            fetch_instance_id=self._fetch_instance_id,
            report_crash=self._service_sender.report_crash,
            record=self._record_admission,
        )
        self._probe_pool = pool.ConnectionPool(
            open_stream=network.open_stream,
            address=self._settings.address,
            port=self._settings.upstream_port,
            maximum=PROBE_CONNECTIONS,
        )

    def _make_request_servers(self, network):
        settings = self._settings
        self._pause_detector = pauses.PauseDetector(
            sync_once=self._sync_client.sync_once, clock=self._clock
        )
        self._owner_selector = owner_selection.OwnerSelector(
            own_host=self.own_host, hosts=self.hosts, random=self._random
        )
        self._forwarder = forwarding.Forwarder(
            open_stream=network.open_stream, port=settings.forward_port
        )
        hints = key_hints.make_key_hints(
            own_host=self.own_host,
            hosts_of_service=self.hosts.hosts_of_service,
            apply_hint=self._keys.apply_hint,
            send=self._service_sender.send_key_hint,
            spawn=self._spawn,
        )
        self._owner_server = owner.OwnerServer(
            own_host=self.own_host,
            store=self.store,
            gate=self._gate,
            open_stream=network.open_stream,
            maximum_connections=MAXIMUM_UPSTREAM_CONNECTIONS,
            upstream_port=settings.upstream_port,
            key_hints=hints,
            wait_until_synced=self._pause_detector.wait_until_synced,
        )
        self._entry_server = entry.EntryServer(
            own_host=self.own_host,
            store=self.store,
            find_route=routing.find_route,
            owner_selector=self._owner_selector,
            forwarder=self._forwarder,
            run_local=self._owner_server.run_local,
            retry_budget_of=self._retry_budget_of,
            random=self._random,
            report_unknown_outcome=hints.report_unknown_outcome,
            wait_until_synced=self._pause_detector.wait_until_synced,
            on_request_completed=self._on_request_completed,
            record=self._record_routing,
        )

    # Starting and stopping.

    async def start(self, nursery):
        """Bind the ports and start all tasks.

        The node then accepts requests. Until a configuration is active, it
        responds that the request was not run.

        Parameters
        ----------
        nursery : trio.Nursery

        Raises
        ------
        OSError
            A port cannot be bound.
        """
        await nursery.start(self._run)

    async def _run(self, task_status):
        settings = self._settings
        address = settings.address
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._cancel_connections_on_exit)
                self._gate.start(nursery)
                await nursery.start(
                    self._network.serve,
                    address,
                    settings.forward_port,
                    self._owner_server.handle,
                )
                await nursery.start(
                    self._peers.serve,
                    address,
                    settings.peer_port,
                    self._peer_handlers(),
                )
                await nursery.start(self._serve_callers)
                if self._serve_operator is not None:
                    await nursery.start(
                        self._serve_operator,
                        self.status,
                        settings.operator_address or address,
                        settings.operator_port,
                    )
                nursery.start_soon(self._run_distribution)
                nursery.start_soon(self._watch_configuration)
                nursery.start_soon(self._pause_detector.run)
                nursery.start_soon(self._run_probes)
                nursery.start_soon(self.metrics.run)
                decisions.record(
                    "node_started",
                    chosen=self.own_host.host_id,
                    address=address,
                    failure_domain=self.own_host.failure_domain,
                    service=self.own_host.service,
                )
                task_status.started()
        finally:
            self._gate.close()
            self._ended.set()

    async def _serve_callers(self, task_status):
        with self._caller_listener_scope:
            await self._network.serve(
                self._settings.address,
                self._settings.caller_port,
                self._handle_caller,
                task_status=task_status,
            )

    async def _handle_caller(self, stream):
        # Shielded, so that closing the listener does not cancel the
        # connections that it accepted.
        with trio.CancelScope(shield=True) as scope:
            self._connection_scopes.add(scope)
            try:
                await self._entry_server.handle(stream)
            finally:
                self._connection_scopes.discard(scope)

    async def _cancel_connections_on_exit(self):
        try:
            await trio.sleep_forever()
        finally:
            for scope in self._connection_scopes:
                scope.cancel()

    async def drain(self):
        """Refuse new requests and wait until those in progress have ended.

        Hands the idempotency keys over to their next owners before the owner
        server stops. Has no timeout of its own; the calling code sets one.
        """
        self._is_leaving = True
        decisions.record(
            "node_leaving",
            chosen=self.own_host.host_id,
            in_use=self._gate.in_use,
            queued=self._gate.queued,
        )
        self._gate.begin_leaving()
        self._caller_listener_scope.cancel()
        self._entry_server.begin_drain()
        await self._entry_server.wait_idle()
        await self._gate.wait_idle()
        await self._service_sender.hand_over_keys(self._keys.plan_hand_over())
        self._owner_server.begin_drain()
        await self._owner_server.wait_idle()
        decisions.record("node_drained", chosen=self.own_host.host_id)

    async def close(self):
        """Cancel all tasks and close all connections immediately."""
        if self._nursery is None:
            return
        self._nursery.cancel_scope.cancel()
        await self._ended.wait()
        with trio.CancelScope(shield=True):
            await self._forwarder.close()
            await self._owner_server.close()
            await self._probe_pool.close()

    async def wait_until_enforcing(self):
        """Wait until a configuration is active."""
        await self.store.wait_until_active()

    # Configuration.

    async def _run_distribution(self):
        """Find the first configuration and keep it up to date.

        The platform reader and the sync client start only when the first
        peers are known. Otherwise they would defeat the random delays that
        spread the first platform reads of a fleet whose nodes all start at
        the same time.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(
                functools.partial(
                    startup.find_configuration,
                    own_host=self.own_host,
                    store=self.store,
                    hosts=self.hosts,
                    client=self._sync_client,
                    reader=self._platform_reader,
                    seed_hosts=self._topology.seeds,
                    fleet_size=self._settings.fleet_size,
                    random=self._random,
                    start_wait=self._settings.start_wait,
                )
            )
            nursery.start_soon(self._platform_reader.run)
            nursery.start_soon(self._sync_client.run)

    async def _watch_configuration(self):
        head = (await self.store.wait_until_active()).head
        while True:
            configuration = self.store.configuration
            seconds = self._convergence_timer.on_head_active(
                configuration.head
            )
            if seconds is not None:
                self.metrics.timing("convergence_time", seconds)
            self._gate.on_configuration_changed()
            for name in (
                self._retry_budgets_by_service.keys()
                - configuration.services_by_name.keys()
            ):
                del self._retry_budgets_by_service[name]
            head = await self.store.wait_for_newer_head(head)

    def _retry_budget_of(self, service_name):
        budget = self._retry_budgets_by_service.get(service_name)
        if budget is None:
            # Each request deposits the retry ratio of its own route.
            budget = retries.RetryBudget(retry_ratio=0.0)
            self._retry_budgets_by_service[service_name] = budget
        return budget

    def _observe_platform_heads(self, platform):
        """Wrap a platform to record when it first returns each head."""

        async def read(key):
            content = await platform.read(key)
            if key == parts.HEAD_KEY and content is not None:
                try:
                    head = parts.decode_message(
                        configuration_pb2.Head, content, key
                    )
                except errors.MalformedPartError:
                    # The platform reader reports the error.
                    return content
                self._on_head_seen(head)
            return content

        return dataclasses.replace(platform, read=read)

    def _observe_peer_heads(self, peers):
        """Wrap the peers to record when one first returns each head."""

        async def sync_and_observe(address, message, timeout):
            reply = await peers.sync(address, message, timeout)
            self._on_head_seen(reply.head)
            return reply

        return dataclasses.replace(peers, sync=sync_and_observe)

    def _on_head_seen(self, head):
        self._convergence_timer.on_head_seen(
            model.HeadReference(version=head.version, digest=head.digest)
        )

    def _peer_handlers(self):
        return peer_calls.PeerHandlers(
            sync=self._sync_server.sync,
            report_crash=self._service_handler.handle_crash_report,
            lookup_key=self._service_handler.handle_key_query,
            hand_over=self._service_handler.handle_hand_over,
        )

    def _spawn(self, function, *arguments):
        self._nursery.start_soon(function, *arguments)

    # Upstream probes.

    async def _fetch_probe_response(self, path):
        """Request a health or load endpoint of this host's upstream."""
        request = model.Request(
            method="GET",
            target=path,
            headers=(
                model.Header(name="host", value=self._settings.address),
                model.Header(
                    name="x-request-id",
                    value=f"probe-{self._random.getrandbits(32):08x}",
                ),
            ),
        )
        deadline = trio.current_time() + probes.TIMEOUT_SECONDS
        return await self._probe_pool.exchange(request, deadline)

    async def _run_probes(self):
        await probes.probe_upstream(
            fetch=self._fetch_probe_response,
            gate=self._gate,
            random=self._random,
        )

    async def _fetch_instance_id(self):
        _, instance_id = await probes.read_health(self._fetch_probe_response)
        return instance_id

    # Metrics and status.

    def _on_request_completed(self, error, seconds, upstream_seconds):
        if error is None:
            self.metrics.count("requests.run")
        else:
            self.metrics.count(f"requests.{error.outcome}.{error.code}")
        self.metrics.timing("response_time", seconds)
        if upstream_seconds is not None:
            # A stored response carries the upstream duration of the first
            # request, which may exceed the duration of this one.
            added_seconds = max(0.0, seconds - upstream_seconds)
            self.metrics.timing("added_latency", added_seconds)

    def _record_routing(self, action, **fields):
        code = fields.get("code")
        if action == "route":
            self.metrics.count(f"attempts.{code or 'run'}")
            if fields.get("attempt", 1) > 1:
                self.metrics.count("retries")
        decisions.record(action, **fields)

    def _record_admission(self, action, **fields):
        result = fields.get("result")
        if action == "admit":
            name = result.replace(" ", "_")
            self.metrics.count(f"admissions.{name}")
        decisions.record(action, **fields)

    def _register_metrics(self):
        metrics = self.metrics
        metrics.register_gauge("version", lambda: self._active_version())
        metrics.register_gauge("slots.in_use", lambda: self._gate.in_use)
        metrics.register_gauge("slots.queued", lambda: self._gate.queued)
        metrics.register_gauge("slots.limit", lambda: self._gate.allowed)
        metrics.register_total(
            "platform_calls", lambda: self._platform_reader.call_count
        )
        metrics.register_total(
            "versions.rejected", lambda: self.store.rejected_count
        )
        metrics.register_total(
            "versions.conflicts", lambda: self.store.conflict_count
        )
        metrics.register_total(
            "pauses", lambda: self._pause_detector.pause_count
        )
        for direction in ("sent", "received"):
            metrics.register_total(
                f"control_bytes.{direction}",
                lambda direction=direction: self.control_bytes()[direction],
            )

    def control_bytes(self):
        """Return the bytes of control messages sent and received.

        Counts platform values and protobuf messages without the framing of
        HTTP and gRPC.
        """
        return {
            "sent": self._sync_client.bytes_sent
            + self._sync_server.bytes_sent
            + self._service_handler.bytes_sent
            + self._service_sender.bytes_sent,
            "received": self._sync_client.bytes_received
            + self._sync_server.bytes_received
            + self._platform_reader.bytes_received
            + self._service_handler.bytes_received
            + self._service_sender.bytes_received,
        }

    def _active_version(self):
        configuration = self.store.configuration
        return 0 if configuration is None else configuration.head.version

    def _uptime(self):
        return trio.current_time() - self._started_at

    def status(self):
        """Return JSON-compatible status values for the operator endpoint."""
        configuration = self.store.configuration
        head = model.NO_HEAD if configuration is None else configuration.head
        service = None
        if configuration is not None:
            service = configuration.services_by_name.get(self.own_host.service)
        parents = self._topology.parents() + self._topology.remote_parents()
        return {
            "host_id": self.own_host.host_id,
            "address": self.own_host.address,
            "failure_domain": self.own_host.failure_domain,
            "service": self.own_host.service,
            "version": head.version,
            "digest": head.digest.hex(),
            "accepted_version": self.store.head.version,
            "enforcing": configuration is not None,
            "conflict": self.store.conflict is not None,
            "is_reader": self._topology.is_reader(),
            "platform_available": self._platform_reader.is_available,
            "parents": [parent.host_id for parent in parents],
            "suspects": sorted(self._topology.suspected_ids()),
            "hosts_known": len(self.hosts.hosts_by_id),
            "slots": 0 if service is None else service.upstream.slots,
            "limit": self._gate.allowed,
            "in_use": self._gate.in_use,
            "queued": self._gate.queued,
            "leaving": self._is_leaving or self._gate.is_leaving,
            "node_leaving": self._is_leaving,
            "counters": self.metrics.totals(),
            "control_bytes": self.control_bytes(),
            "convergence_seconds": (
                self._convergence_timer.last_convergence_seconds
            ),
            "uptime_seconds": self._uptime(),
        }
