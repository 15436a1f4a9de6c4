"""A node: connects its traffic, distribution and peer components."""

import dataclasses
import functools
import json
import math
import urllib.parse

import trio

from ..core import byte_budget
from ..core import decisions
from ..core import errors
from ..core import memory_account
from ..core import model as messages
from ..core import supervision
from ..distribution import follower
from ..distribution import mirror
from ..distribution import platform_monitor
from ..distribution import positions
from ..distribution import views
from ..peers import domain_outage
from ..peers import links as peer_links
from ..peers import server as peer_server
from . import quotas
from . import request_preview
from ..traffic import call_graph
from ..traffic import client_connections
from ..traffic import crash_records
from ..traffic import departures
from ..traffic import entry
from ..traffic import model
from ..traffic import owner
from ..traffic import quota
from ..traffic import retry_budget
from ..traffic import routing
from ..traffic import selection
from ..traffic import startup

# A draining node accepts new connections for this long. The platform checks
# readiness once a second and removes a node after two failed checks in a row.
DRAIN_ACCEPT_SECONDS = 2.4
# Part of the grace period that draining must leave unused: on a slow host, a
# process needs some tenths of a second to exit.
GRACE_PERIOD_RESERVE_RATIO = 0.1
# Time at the end of draining in which the last answers are sent.
DRAIN_ANSWER_SECONDS = 0.1
# How often unreachable owner nodes are probed.
RECONNECT_INTERVAL_SECONDS = 0.4
# A node that answers a ping within this time is used again. The latency
# between nodes is some milliseconds.
PING_TIMEOUT_SECONDS = 0.1
# For how long news of crashes are batched before they are sent on.
CRASH_NEWS_DELAY_SECONDS = 0.05
# Minimum interval between two exchanges of whole tables of crash records.
CRASH_EXCHANGE_INTERVAL_SECONDS = 2.0
# Part of the host's memory for the answers that are being read from the
# upstream, so that they leave room for requests.
ANSWER_MEMORY_RATIO = 0.25
METRICS_PATH = "/metrics"
# Log lines for connections that were closed to free memory or descriptors.
CLOSED_LINES_PER_SECOND = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Settings of a node: its host, its addresses and the agreed limits.

    Attributes
    ----------
    own_host : model.OwnHost
    client_address : tuple of (str, int)
        IP address and port on which the node accepts client connections.
    readiness_address : tuple of (str, int)
        IP address and port of the readiness check.
    platform_address : tuple of (str, int)
        IP address and port of the platform's store.
    peer_port : int
        Port for connections between nodes; the same on all hosts.
    retry_ratio, retry_constant, retry_window_seconds : float
        Retry budget of each service, summed over all nodes.
    cold_multiplier, cold_slack : float
        Limit for the requests that all nodes together send to a cold upstream
        in any second: its tolerated rate times the multiplier, plus the
        slack.
    maximum_apply_seconds : float
        Time within which a published change must be active.
    report_interval_seconds : float
        Interval between the reports of an upstream to the platform.
    grace_period_seconds : float
        Time between the stop signal and the forced end of the process.
    memory_bytes : int
        Memory that the process may use.
    file_descriptors : int
        File descriptors that the process may use.
    quota_overage, quota_slack : float
        How far all nodes together may exceed the quota of a customer in any
        window: by a ratio of it, and by a number of requests.
    quota_window_seconds : float
    is_capacity_learned : bool
        Whether the concurrency limit of the upstream is learned from its
        response times. Otherwise it is the number of registered slots.
    is_overload_control_enabled : bool
        Whether admission under overload considers the calls that requests
        make and the times at which refused clients return.
    """

    own_host: model.OwnHost
    client_address: tuple
    readiness_address: tuple
    platform_address: tuple
    peer_port: int
    retry_ratio: float
    retry_constant: float
    retry_window_seconds: float
    cold_multiplier: float
    cold_slack: float
    maximum_apply_seconds: float
    report_interval_seconds: float
    grace_period_seconds: float
    memory_bytes: int
    file_descriptors: int = 4096
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    quota_window_seconds: float = 5.0
    is_capacity_learned: bool = False
    is_overload_control_enabled: bool = False


class Node:
    """One node of the mesh.

    Parameters
    ----------
    settings : NodeSettings
    header_names : model.HeaderNames
    readiness_path : str
    network : transports.network.Network
    upstream_source, configuration_source : follower.ItemSource
    read_nodes : callable
        See ``follower.Follower``.
    read_position : callable
        See ``platform_monitor.PlatformMonitor``.
    decode_item : callable
        See ``views.ViewBuilder``.
    random : random.Random
    metrics : metrics.Metrics
    metrics_port : int or None
        Port of the metrics endpoint; None disables it.
    process_started_at : float, optional
        Start of the process on trio's clock, before its imports.
    read_resident_bytes, trim_heap : callable, optional
        See ``memory_account.MemoryAccount``. Only a node with a process of
        its own can use them.
    """

    def __init__(
        self,
        *,
        settings,
        header_names,
        readiness_path,
        network,
        upstream_source,
        configuration_source,
        read_nodes,
        read_position,
        decode_item,
        random,
        metrics,
        metrics_port=None,
        process_started_at=-math.inf,
        read_resident_bytes=lambda: None,
        trim_heap=lambda: None,
    ):
        self._settings = settings
        self._readiness_path = readiness_path
        self._network = network
        self._metrics = metrics
        self._metrics_port = metrics_port
        self._nursery = None
        self._links_by_address = {}
        self._bulk_links_by_address = {}
        self._is_reachable_by_address = {}
        self._domain_outage_detector = domain_outage.DomainOutageDetector(
            own_domain=settings.own_host.failure_domain,
            starts_at=trio.current_time() + startup.START_SECONDS,
        )
        self._retry_budgets_by_service = {}
        self._is_leaving = False
        self._client_listener_scope = trio.CancelScope()
        self._client_connection_scopes = set()
        self._task_scope = trio.CancelScope()
        self._next_update_at = math.inf
        own_host = settings.own_host
        self._departures = departures.Departures()
        self._view_builder = views.ViewBuilder(
            decode=decode_item, mark_leaving=self._departures.mark
        )
        self._platform_monitor = platform_monitor.PlatformMonitor(
            read_position=read_position,
            on_position=self._on_platform_position,
            maximum_apply_seconds=settings.maximum_apply_seconds,
        )
        make_follower = functools.partial(
            follower.Follower,
            monitor=self._platform_monitor,
            responds=self._peer_responds,
            on_change=self._update_view,
            own_address=own_host.upstream_address,
            own_domain=own_host.failure_domain,
            list_peers=self._list_peers,
            maximum_apply_seconds=settings.maximum_apply_seconds,
            report_interval_seconds=settings.report_interval_seconds,
            random=random,
        )
        self._upstream_mirror = mirror.ItemMirror()
        self._upstream_follower = make_follower(
            mirror=self._upstream_mirror,
            source=upstream_source,
            read_nodes=functools.partial(
                self._read_registered_nodes, read_nodes
            ),
            link_to=self._get_link,
            topic=follower.UPSTREAMS,
            gossip=self._ping_gossip_peer,
        )
        self._configuration_mirror = mirror.ItemMirror()
        self._configuration_follower = make_follower(
            mirror=self._configuration_mirror,
            source=configuration_source,
            read_nodes=self._wait_for_nodes,
            wait_for_peers=self._upstream_follower.wait_until_current,
            link_to=self._get_bulk_link,
            topic=follower.CONFIGURATION,
        )
        # Number of calls to the platform that list the initial peers.
        self._node_read_count = 0
        # The nodes of the first of them that found any.
        self._initial_nodes = []
        self._initial_nodes_known = trio.Event()
        self._selector = selection.Selector(
            own_address=own_host.address,
            own_domain=own_host.failure_domain,
            random=random,
            is_capacity_learned=settings.is_capacity_learned,
        )
        self._traffic_splitter = routing.TrafficSplitter()
        self._crash_records = crash_records.CrashRecords(
            record=decisions.record
        )
        # Fingerprints of the records to send to the gossip peers.
        self._crash_news = set()
        self._crash_exchange_due_at = -math.inf
        self._quotas = quotas.CustomerQuotas(
            own_address=own_host.upstream_address,
            bounds=quota.Bounds(
                overage=settings.quota_overage,
                slack=settings.quota_slack,
                window_seconds=settings.quota_window_seconds,
            ),
            link_to=self._get_link,
            start_soon=lambda *task: self._nursery.start_soon(*task),
            list_open=self._list_open_links,
            responds=self._peer_responds,
            read_unreachable=self._selector.unreachable_addresses,
            random=random,
        )
        self._closed_log = decisions.RateLimitedLog(
            rate=CLOSED_LINES_PER_SECOND
        )
        self._account = memory_account.MemoryAccount(
            memory_bytes=settings.memory_bytes,
            read_resident_bytes=read_resident_bytes,
            trim=trim_heap,
            limit_bytes=memory_account.derive_limit_bytes(
                settings.memory_bytes
            ),
            connection_limit=memory_account.derive_connection_limit(
                settings.memory_bytes, settings.file_descriptors
            ),
            on_closed=self._on_connection_closed,
        )
        self._answer_budget = byte_budget.ByteBudget(
            limit_bytes=int(settings.memory_bytes * ANSWER_MEMORY_RATIO)
        )
        self._calls = None
        if settings.is_overload_control_enabled:
            self._calls = call_graph.CallGraph()
        self._owner = owner.OwnerServer(
            calls=self._calls,
            random=random,
            answer_budget=self._answer_budget,
            account=self._account,
            own_host=own_host,
            header_names=header_names,
            read_view=self.read_view,
            read_mirror_states=self._read_mirror_states,
            open_stream=network.open_stream,
            cold_multiplier=settings.cold_multiplier,
            cold_slack=settings.cold_slack,
            on_leaving=self._on_upstream_leaving,
            known_crashes=self._crash_records,
            on_crash_records_changed=self._spread_crash_records,
            is_capacity_learned=settings.is_capacity_learned,
            process_started_at=process_started_at,
        )
        self._entry = entry.EntryServer(
            calls=self._calls,
            own_host=own_host,
            header_names=header_names,
            read_view=self._read_client_view,
            read_mirror_state=self._upstream_follower.mirror_state,
            wait_for_view=self._wait_until_current,
            selector=self._selector,
            traffic_splitter=self._traffic_splitter,
            run_local=self._owner.run,
            link_to=self._get_link,
            retry_budget_of=self._retry_budget_of,
            random=random,
            count=metrics.count,
            on_leaving=self._on_upstream_leaving,
            known_crashes=self._crash_records,
            quotas=self._quotas,
        )
        self._client_connections = client_connections.ClientConnections(
            handle_request=self._entry.handle_request,
            handle_framing_error=self._entry.handle_framing_error,
            read_limits=self._read_limits,
            account=self._account,
        )
        self._peer_server = peer_server.PeerServer(
            run_work=self._owner.run,
            answer_pull=self._answer_pull,
            read_load=self._owner.load,
            on_position=self._on_position,
            answer_crash_records=self._answer_crash_records,
            answer_quota=self._quotas.answer,
            account=self._account,
        )
        self._register_metrics()

    # State that the components read.

    def read_view(self):
        """Return the current ``model.MeshView``."""
        return self._view_builder.view

    def _read_client_view(self):
        """Return the view for clients; it is empty until it is current."""
        if (
            self._upstream_follower.is_current
            and self._configuration_follower.is_current
        ):
            return self._view_builder.view
        return model.EMPTY_VIEW

    def _read_limits(self):
        configuration = self._view_builder.view.configuration
        if configuration is None:
            return model.DEFAULT_CLIENT_LIMITS
        return configuration.limits

    def _list_peers(self):
        return [
            (upstream.address, upstream.failure_domain)
            for upstream in self._view_builder.view.upstreams_by_id.values()
        ]

    def _retry_budget_of(self, service):
        budget = self._retry_budgets_by_service.get(service)
        if budget is None:
            settings = self._settings
            budget = retry_budget.RetryBudget(
                ratio=settings.retry_ratio,
                constant=settings.retry_constant,
                window_seconds=settings.retry_window_seconds,
            )
            self._retry_budgets_by_service[service] = budget
        return budget

    def _get_link(self, address):
        """Return the link to the node at an address."""
        return self._get_or_create_link(
            self._links_by_address,
            address,
            on_reachability_changed=self._on_reachability_changed,
            on_crash_records=self._on_crash_records,
            keepalive_seconds=peer_links.KEEPALIVE_SECONDS,
        )

    def _list_open_links(self):
        return [
            address
            for address, peer in self._links_by_address.items()
            if peer.is_responsive
        ]

    def _get_bulk_link(self, address):
        """Return the link to a node that carries only large items.

        A separate link keeps other messages from queueing behind large
        items. Its state changes are ignored, because those of the main link
        already show whether the node is reachable.
        """
        return self._get_or_create_link(
            self._bulk_links_by_address,
            address,
            on_reachability_changed=lambda *state: None,
            keepalive_seconds=peer_links.BULK_KEEPALIVE_SECONDS,
        )

    def _get_or_create_link(self, links_by_address, address, **options):
        found = links_by_address.get(address)
        if found is None:
            found = peer_links.PeerLink(
                open_stream=self._network.open_stream,
                address=address,
                port=self._settings.peer_port,
                nursery=self._nursery,
                read_mirror_states=self._read_mirror_states,
                on_position=self._on_position,
                on_load_report=self._on_load_report,
                on_silent=self._on_peer_silent,
                account=self._account,
                silence_seconds=(
                    self._settings.maximum_apply_seconds
                    * follower.PEER_SILENCE_RATIO
                ),
                **options,
            )
            links_by_address[address] = found
        return found

    # Distribution.

    async def _peer_responds(self, address):
        """Return whether a node responds on its main link."""
        return await self._get_link(address).responds()

    def _on_peer_silent(self, address):
        self._upstream_follower.on_peer_silent(address)
        self._configuration_follower.on_peer_silent(address)

    async def _read_registered_nodes(self, read_nodes):
        """Return some of the registered nodes; count the platform call."""
        self._node_read_count += 1
        nodes = await read_nodes()
        if nodes:
            self._initial_nodes = nodes
            self._initial_nodes_known.set()
        return nodes

    async def _wait_for_nodes(self):
        """Return some of the registered nodes once any are known.

        These nodes may already have the configuration, which is the larger
        of the two topics. It is not read after the other one but beside it.
        """

        async def wait(wait_for_event):
            await wait_for_event()
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait, self._initial_nodes_known.wait)
            nursery.start_soon(
                wait, self._upstream_follower.wait_until_current
            )
        return self._list_peers() or self._initial_nodes

    async def _wait_until_current(self):
        await self._upstream_follower.wait_until_current()
        await self._configuration_follower.wait_until_current()

    def _read_mirror_states(self):
        return mirror.MirrorStates(
            upstreams=self._upstream_follower.mirror_state(),
            configuration=self._configuration_follower.mirror_state(),
        )

    def _on_position(self, address, message):
        self._upstream_follower.on_position(
            address, message.position, message.digest
        )
        self._configuration_follower.on_position(
            address,
            message.configuration_position,
            message.configuration_digest,
        )

    def _on_platform_position(self, position, read_at):
        followers = (self._upstream_follower, self._configuration_follower)
        watches_all = all(each.is_reader() for each in followers)
        for each in followers:
            each.on_platform_position(
                position, read_at, watches_all=watches_all
            )

    async def _answer_pull(self, pull):
        if pull.topic == follower.CONFIGURATION:
            return await self._configuration_follower.answer_pull(pull)
        return await self._upstream_follower.answer_pull(pull)

    def _on_upstream_leaving(self, upstream_id, started_ms, *, source):
        """Treat an upstream as draining because an answer says so."""
        if self._departures.add(upstream_id, started_ms):
            decisions.record(
                "upstream_leaving",
                chosen=upstream_id,
                started_ms=started_ms,
                source=source,
            )
            self._update_view()

    def _on_load_report(self, address, load):
        if load.leaving_id:
            self._on_upstream_leaving(
                load.leaving_id, load.leaving_started_ms, source=address
            )
        self._selector.on_load_report(address, load, trio.current_time())

    # Requests that end upstreams.

    def _merge_crash_records(self, records):
        """Add the crash records of another node; pass on what is new."""
        if not records:
            return
        barred_before = self._crash_records.barred_count
        news = self._crash_records.merge(records)
        if not news:
            return
        barred = self._crash_records.barred_count
        if barred != barred_before:
            decisions.record(
                "requests_barred",
                chosen=barred,
                previous=barred_before,
                news=[f"{fingerprint:x}" for fingerprint in sorted(news)],
            )
        self._spread_crash_records(news)

    def _ping_gossip_peer(self, peer):
        if trio.current_time() < self._crash_exchange_due_at:
            peer.ping()
        else:
            peer.compare_crash_records(self._crash_records.digest)

    def _on_crash_records(self, peer, pong):
        """Merge the differing records of a peer, and send it the own ones."""
        self._crash_exchange_due_at = (
            trio.current_time() + CRASH_EXCHANGE_INTERVAL_SECONDS
        )
        self._merge_crash_records(pong.crash_records)
        if pong.crash_digest != self._crash_records.digest:
            peer.send_crash_records(self._crash_records.export())

    def _answer_crash_records(self, ping):
        self._merge_crash_records(ping.crash_records)
        if ping.crash_digest == -1:
            return {}
        digest = self._crash_records.digest
        if ping.crash_digest == digest:
            return {}
        return {
            "crash_digest": digest,
            "crash_records": self._crash_records.export(),
        }

    def _spread_crash_records(self, fingerprints):
        """Send news of crashes to the gossip peers, batched for a moment."""
        if not self._crash_news:
            self._nursery.start_soon(
                supervision.keep_running, self._send_crash_news
            )
        self._crash_news.update(fingerprints)

    async def _send_crash_news(self):
        await trio.sleep(CRASH_NEWS_DELAY_SECONDS)
        records = self._crash_records.export(self._crash_news)
        self._crash_news.clear()
        for address in self._upstream_follower.gossip_peers():
            self._nursery.start_soon(
                supervision.keep_running,
                self._send_crash_records,
                address,
                records,
            )

    async def _send_crash_records(self, address, records):
        peer = self._get_link(address)
        try:
            await peer.connect()
        except errors.UpstreamUnreachableError:
            # The periodic gossip tells this peer when it is back.
            return
        peer.send_crash_records(records)

    def _on_reachability_changed(self, address, is_reachable, reason):
        if self._is_reachable_by_address.get(address) is not is_reachable:
            self._is_reachable_by_address[address] = is_reachable
            decisions.record(
                "peer_connected" if is_reachable else "peer_lost",
                peer=address,
                reason=reason,
            )
        if is_reachable:
            self._selector.on_owner_reachable(address)
            self._entry.on_owners_changed()
        else:
            self._selector.on_owner_unreachable(address)
            if reason in (
                peer_links.PING_TIMEOUT_REASON,
                peer_links.CONNECT_TIMEOUT_REASON,
            ):
                self._on_unresponsive_peer(address)

    def _on_unresponsive_peer(self, address):
        """Avoid the node's failure domain if the domain is unresponsive."""
        domains_by_address = {
            other: domain
            for other, domain in self._list_peers()
            if other in self._links_by_address
        }
        avoided = self._domain_outage_detector.on_node_unresponsive(
            address,
            trio.current_time(),
            domains_by_address,
            lambda other, time: self._get_link(other).has_received_since(time),
        )
        for other in avoided:
            self._selector.on_owner_unreachable(other)
            self._nursery.start_soon(
                supervision.keep_running, self._probe_peer, other
            )
        if avoided:
            decisions.record(
                "domain_doubted",
                chosen=domains_by_address[address],
                peer=address,
                avoided=len(avoided),
            )

    # Updates of the mesh view.

    def _update_view(self):
        now = trio.current_time()
        previous = self._view_builder.view.configuration
        next_update_at = self._view_builder.update(
            self._upstream_mirror.items_by_key
            | self._configuration_mirror.items_by_key,
            now=now,
            outage_ended_at=self._upstream_follower.outage_ended_at,
            position=self._upstream_mirror.position,
            configuration_position=self._configuration_mirror.position,
        )
        view = self._view_builder.view
        self._quotas.on_view_changed(view)
        self._selector.on_view_changed(view)
        self._owner.on_view_changed(view)
        self._entry.on_owners_changed()
        if view.configuration is not previous:
            self._traffic_splitter.prune(view.configuration)
        self._close_unused_links(view)
        if (
            next_update_at is not None
            and next_update_at < self._next_update_at
        ):
            self._next_update_at = next_update_at
            self._nursery.start_soon(
                supervision.keep_running,
                self._update_view_after,
                next_update_at - now,
            )

    async def _update_view_after(self, seconds):
        await trio.sleep(seconds)
        self._next_update_at = math.inf
        self._update_view()

    def _close_unused_links(self, view):
        addresses = {
            upstream.address for upstream in view.upstreams_by_id.values()
        }
        for address in _remove_unused_links(self._links_by_address, addresses):
            self._is_reachable_by_address.pop(address, None)
            self._domain_outage_detector.remove_node(address)
        _remove_unused_links(self._bulk_links_by_address, addresses)

    async def _probe_unreachable_nodes(self):
        """Probe unreachable owner nodes periodically."""
        while True:
            is_starting = self._entry.hold.is_starting(trio.current_time())
            await trio.sleep(
                startup.RECONNECT_INTERVAL_SECONDS
                if is_starting
                else RECONNECT_INTERVAL_SECONDS
            )
            self._quotas.refresh()
            self._quotas.sample()
            for address in self._selector.unreachable_addresses():
                self._nursery.start_soon(
                    supervision.keep_running, self._probe_peer, address
                )

    async def _probe_peer(self, address):
        peer = self._get_link(address)
        started_at = trio.current_time()
        try:
            await peer.connect()
        except errors.UpstreamUnreachableError:
            # The link has already reported this state change.
            return
        peer.ping()
        await trio.sleep(PING_TIMEOUT_SECONDS)
        if peer.is_responsive and peer.has_received_since(started_at):
            self._selector.on_owner_reachable(address)
        elif not peer.pending_count and not peer.has_received_since(
            started_at - peer_links.PEER_TIMEOUT_SECONDS
        ):
            # This connection may never recover, but a new one may work.
            peer.close()

    # Start and stop.

    async def start(self, nursery):
        """Bind the ports and start all tasks in a nursery.

        Raises
        ------
        OSError
            A port cannot be bound.
        """
        await nursery.start(self._run)

    async def _run(self, task_status):
        settings = self._settings
        with self._task_scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                serve = functools.partial(nursery.start, self._network.serve)
                await serve(
                    settings.own_host.address,
                    settings.peer_port,
                    self._peer_server.handle,
                )
                await serve(
                    *settings.readiness_address,
                    self._handle_readiness_connection,
                )
                if self._metrics_port is not None:
                    await serve(
                        settings.own_host.address,
                        self._metrics_port,
                        self._handle_metrics_connection,
                    )
                await nursery.start(self._serve_clients)
                await nursery.start(self._owner.run_tasks)
                for task in (
                    self._platform_monitor.run,
                    self._entry.run_tasks,
                    self._probe_unreachable_nodes,
                ):
                    nursery.start_soon(supervision.keep_running, task)
                nursery.start_soon(self._upstream_follower.run)
                nursery.start_soon(self._configuration_follower.run)
                decisions.record(
                    "node_started",
                    chosen=settings.own_host.name,
                    address=settings.own_host.address,
                    failure_domain=settings.own_host.failure_domain,
                    service=settings.own_host.service,
                )
                task_status.started()

    async def _serve_clients(self, task_status):
        with self._client_listener_scope:
            await self._network.serve(
                *self._settings.client_address,
                self._handle_client_connection,
                task_status=task_status,
            )

    def _on_connection_closed(self, reason, holder):
        """Log that a client connection is closed to free what it holds."""
        now = trio.current_time()
        account = self._account
        self._closed_log.record(
            "connection_closed",
            now,
            reason=reason,
            held_bytes=holder.total_bytes,
            idle_s=round(now - holder.progressed_at, 3),
            all_held_bytes=account.held_bytes,
            limit_bytes=account.limit_bytes,
            connections=account.connection_count,
        )

    async def _handle_client_connection(self, stream):
        # Shielded from the listener's cancellation, which comes before the
        # connections end.
        with trio.CancelScope(shield=True) as scope:
            self._client_connection_scopes.add(scope)
            try:
                await self._client_connections.handle(stream)
            finally:
                self._client_connection_scopes.discard(scope)

    @property
    def is_ready(self):
        """Whether clients should send requests to this node."""
        view = self._read_client_view()
        return view.configuration is not None and not self._is_leaving

    async def drain(self):
        """Leave the mesh and wait until all requests in progress have ended.

        Accepts connections for another `DRAIN_ACCEPT_SECONDS`. Returns at the
        latest when the grace period, less its reserve, has passed.
        """
        deadline = (
            trio.current_time()
            + self._settings.grace_period_seconds
            * (1 - GRACE_PERIOD_RESERVE_RATIO)
        )
        self._is_leaving = True
        decisions.record(
            "node_leaving",
            chosen=self._settings.own_host.name,
            in_progress=self._owner.in_progress,
            busy_clients=self._client_connections.in_flight_count,
        )
        self._entry.begin_drain(deadline - DRAIN_ANSWER_SECONDS)
        self._owner.begin_leaving()
        self._client_connections.begin_drain()
        await trio.sleep(DRAIN_ACCEPT_SECONDS)
        self._client_listener_scope.cancel()
        while trio.current_time() < deadline:
            if not self._client_connections.connection_count and not (
                self._owner.in_progress
            ):
                break
            await trio.sleep(0.02)
        decisions.record(
            "node_drained",
            chosen=self._settings.own_host.name,
            in_progress=self._owner.in_progress,
            connections=self._client_connections.connection_count,
        )

    def close(self):
        """Cancel all tasks and close all connections immediately."""
        for scope in self._client_connection_scopes:
            scope.cancel()
        self._task_scope.cancel()
        self._owner.close()

    # Readiness and metrics endpoints.

    async def _handle_readiness_connection(self, stream):
        await self._serve_http(stream, self._answer_readiness)

    async def _handle_metrics_connection(self, stream):
        await self._serve_http(stream, self._answer_metrics)

    async def _serve_http(self, stream, handle_request):
        connections = client_connections.ClientConnections(
            handle_request=handle_request,
            handle_framing_error=_make_error_response,
            read_limits=self._read_limits,
            account=self._account,
        )
        await connections.handle(stream)

    async def _answer_readiness(self, request):
        if request.target.partition("?")[0] != self._readiness_path:
            return _make_text_response(404, "not found")
        if self.is_ready:
            return _make_text_response(200, "ready")
        return _make_text_response(503, "not ready")

    async def _answer_metrics(self, request):
        if request.target.partition("?")[0] == request_preview.PATH:
            return self._answer_preview(request)
        if request.target.partition("?")[0] != METRICS_PATH:
            return _make_text_response(404, "not found")
        return _make_text_response(200, self._metrics.render())

    def _answer_preview(self, request):
        query = urllib.parse.parse_qs(request.target.partition("?")[2])
        preview = request_preview.make_preview(
            view=self._read_client_view(),
            own_host=self._settings.own_host,
            selector=self._selector,
            quotas=self._quotas,
            host=query.get("host", [""])[0],
            target=query.get("path", ["/"])[0],
            key=request.header(request_preview.KEY_HEADER),
            is_leaving=self._is_leaving,
            now=trio.current_time(),
        )
        return _make_text_response(200, json.dumps(preview))

    def _register_metrics(self):
        gauge = self._metrics.register_gauge
        gauge("version", self._read_version)
        upstreams = self._upstream_follower
        gauge(
            "position",
            lambda: positions.get_revision(self._upstream_mirror.position),
        )
        gauge(
            "configuration_position",
            lambda: positions.get_revision(
                self._configuration_mirror.position
            ),
        )
        gauge(
            "store_era",
            lambda: positions.get_era(self._upstream_mirror.position),
        )
        gauge("view_age_seconds", lambda: upstreams.mirror_state().age)
        gauge("platform_calls_total", self._count_platform_calls)
        gauge(
            "platform_probes_total", lambda: self._platform_monitor.probe_count
        )
        gauge(
            "platform_available", lambda: int(upstreams.is_platform_available)
        )
        gauge("slots", lambda: self._owner.load().slots)
        gauge("slots_free", lambda: self._owner.load().free)
        gauge("slots_learned", lambda: self._owner.learned_slots)
        gauge("upstream_slowdown", lambda: self._owner.slowdown)
        gauge("upstream_limit", self._read_limit)
        gauge(
            "upstreams_limited",
            lambda: self._selector.limited_count(trio.current_time()),
        )
        gauge("crash_records", lambda: len(self._crash_records))
        gauge("requests_barred", lambda: self._crash_records.barred_count)
        gauge("upstreams_leaving_total", lambda: len(self._departures))
        gauge("limit_refusals_total", lambda: self._owner.limit_refused_count)
        gauge(
            "estimate_probes_total", lambda: self._owner.estimate_probe_count
        )
        gauge(
            "invalid_answer_headers_total",
            lambda: self._owner.invalid_header_count,
        )
        gauge("answer_bytes", lambda: self._answer_budget.held_bytes)
        gauge("answer_bytes_peak", lambda: self._answer_budget.peak_bytes)
        gauge(
            "answers_without_memory_total",
            lambda: self._answer_budget.refused_count,
        )
        gauge("quota_customers", lambda: len(self._quotas.home))
        accounts = self._quotas.accounts
        gauge("quota_questions_total", lambda: accounts.question_count)
        gauge("quota_refusals_total", lambda: accounts.refused_count)
        gauge("quota_share_uses_total", lambda: accounts.share_use_count)
        gauge(
            "quota_nodes_reserved",
            lambda: len(self._quotas.home.lost_addresses),
        )
        account = self._account
        gauge("request_bytes", lambda: account.held_bytes)
        gauge("request_bytes_peak", lambda: account.peak_bytes)
        gauge("request_bytes_limit", lambda: account.limit_bytes)
        gauge("reading_paused_total", lambda: account.paused_count)
        gauge("requests_without_memory_total", lambda: account.refused_count)
        gauge("connections_closed_total", lambda: account.closed_count)
        if self._calls is not None:
            gauge("call_routes", lambda: len(self._calls.call_routes()))
            gauge(
                "throttled_requests_total",
                lambda: self._calls.throttled_count,
            )
            gauge("floor_grants_total", lambda: self._owner.floor_grant_count)
        gauge("requests_held", lambda: self._entry.hold.held_count)
        gauge("requests_held_total", lambda: self._entry.hold.held_total)
        gauge(
            "requests_not_held_total",
            lambda: self._entry.hold.rejected_total,
        )
        gauge("runs_total", lambda: self._owner.run_count)
        gauge("refusals_total", lambda: self._owner.refused_count)
        gauge(
            "client_connections",
            lambda: self._client_connections.connection_count,
        )

    def _count_platform_calls(self):
        return (
            self._node_read_count
            + self._platform_monitor.call_count
            + self._upstream_follower.platform_call_count
            + self._configuration_follower.platform_call_count
        )

    def _read_limit(self):
        limit = self._owner.limit
        return -1 if math.isinf(limit) else round(limit, 3)

    def _read_version(self):
        configuration = self._view_builder.view.configuration
        return 0 if configuration is None else configuration.version


def _remove_unused_links(links_by_address, addresses):
    """Close and remove idle links to unknown nodes; return their addresses."""
    unused = [
        address
        for address, peer in links_by_address.items()
        if address not in addresses and not peer.pending_count
    ]
    for address in unused:
        links_by_address.pop(address).close()
    return unused


def _make_text_response(status, text):
    return messages.Response(
        status=status, headers=(), body=text.encode() + b"\n"
    )


def _make_error_response(error):
    return _make_text_response(error.status, error.detail)
