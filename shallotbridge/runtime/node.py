"""A node: the parts of traffic, distribution and peers, wired together."""

import dataclasses
import functools
import math

import trio

from ..core import decisions
from ..core import errors
from ..core import model as messages
from ..core import supervision
from ..distribution import follower
from ..distribution import mirror
from ..distribution import views
from ..peers import links as peer_links
from ..peers import server as peer_server
from ..peers import silence
from ..traffic import client_connections
from ..traffic import entry
from ..traffic import model
from ..traffic import owner
from ..traffic import retry_budget
from ..traffic import routing
from ..traffic import selection

# A node that is told to stop goes on taking connections for this long, s:
# the platform asks once a second whether it is ready, and two answers in a
# row take it out.
LEAVING_SECONDS = 2.4
# Share of the grace period that is kept in reserve at its end: a process on a
# slow host needs some tenths of a second to end.
GRACE_MARGIN_SHARE = 0.1
# Owner nodes that could not be reached are tried again this often, s.
RECONNECT_SECONDS = 0.4
# A node that answers a ping within this time is used again, s; nodes are some
# ms apart.
PING_SECONDS = 0.1
METRICS_PATH = "/metrics"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeTerms:
    """What a node is told about its host and about the agreed bounds.

    Attributes
    ----------
    client_address, ready_address, platform_address : tuple of (str, int)
    peer_port : int
        The same on all hosts.
    retry_ratio, retry_constant, retry_window_seconds : float
        Budget of repeats of each service over all nodes.
    cold_multiplier, cold_constant : float
        A cold upstream may get, in any second, its tolerated rate times the
        multiplier and the constant besides, from all nodes together.
    apply_seconds : float
        Time after which a published change has to be in force.
    report_seconds : float
        Time between the reports of an upstream to the platform.
    grace_seconds : float
        Time between the request to stop and the end by force.
    """

    own_host: model.OwnHost
    client_address: tuple
    ready_address: tuple
    platform_address: tuple
    peer_port: int
    retry_ratio: float
    retry_constant: float
    retry_window_seconds: float
    cold_multiplier: float
    cold_constant: float
    apply_seconds: float
    report_seconds: float
    grace_seconds: float


class Node:
    """One node of the mesh.

    Parameters
    ----------
    terms : NodeTerms
    names : model.HeaderNames
    ready_path : str
    network : transports.network.Network
    upstream_source, configuration_source : follower.Source
    read_nodes : callable
        See ``follower.Follower``.
    decode_item : callable
        See ``views.ViewBuilder``.
    random : random.Random
    metrics : metrics.Metrics
    metrics_port : int or None
    """

    def __init__(
        self,
        *,
        terms,
        names,
        ready_path,
        network,
        upstream_source,
        configuration_source,
        read_nodes,
        decode_item,
        random,
        metrics,
        metrics_port=None,
    ):
        self._terms = terms
        self._ready_path = ready_path
        self._network = network
        self._metrics = metrics
        self._metrics_port = metrics_port
        self._nursery = None
        self._links_by_address = {}
        self._bulk_links_by_address = {}
        self._reached_by_address = {}
        self._silence = silence.DomainSilence(
            own_domain=terms.own_host.failure_domain
        )
        self._budgets_by_service = {}
        self._is_leaving = False
        self._client_scope = trio.CancelScope()
        self._client_scopes = set()
        self._work_scope = trio.CancelScope()
        self._update_at = math.inf
        own_host = terms.own_host
        self._views = views.ViewBuilder(decode=decode_item)
        make_follower = functools.partial(
            follower.Follower,
            on_change=self._update_view,
            own_address=own_host.upstream_address,
            own_domain=own_host.failure_domain,
            peers_of=self._peers,
            apply_seconds=terms.apply_seconds,
            report_seconds=terms.report_seconds,
            random=random,
        )
        self._upstreams = mirror.ItemMirror()
        self._upstream_follower = make_follower(
            mirror=self._upstreams,
            source=upstream_source,
            read_nodes=functools.partial(self._read_nodes, read_nodes),
            links=self._link,
            topic=follower.UPSTREAMS,
        )
        self._configuration = mirror.ItemMirror()
        self._configuration_follower = make_follower(
            mirror=self._configuration,
            source=configuration_source,
            read_nodes=self._known_nodes,
            links=self._bulk_link,
            topic=follower.CONFIGURATION,
        )
        # Calls to the platform for the nodes to start from.
        self._node_read_count = 0
        self._selector = selection.Selector(
            own_address=own_host.address,
            own_domain=own_host.failure_domain,
            random=random,
        )
        self._splits = routing.SplitCounters()
        self._owner = owner.OwnerServer(
            own_host=own_host,
            names=names,
            read_view=self.read_view,
            read_copies=self._copies,
            open_stream=network.open_stream,
            cold_multiplier=terms.cold_multiplier,
            cold_constant=terms.cold_constant,
        )
        self._entry = entry.EntryServer(
            own_host=own_host,
            names=names,
            read_view=self._read_client_view,
            read_copy=self._upstream_follower.copy_state,
            wait_view=self._wait_current,
            selector=self._selector,
            splits=self._splits,
            run_local=self._owner.run,
            links=self._link,
            budget_of=self._budget_of,
            random=random,
            count=metrics.count,
        )
        self._clients = client_connections.ClientConnections(
            answer=self._entry.answer,
            refuse=self._entry.refuse,
            read_limits=self._read_limits,
        )
        self._peer_server = peer_server.PeerServer(
            run_work=self._owner.run,
            answer_pull=self._answer_pull,
            read_load=self._owner.load,
            on_position=self._on_position,
        )
        self._register_metrics()

    # Reads of the parts.

    def read_view(self):
        """Return the ``model.MeshView`` in force."""
        return self._views.view

    def _read_client_view(self):
        """Return the view for clients: none before it was up to date."""
        if (
            self._upstream_follower.is_current
            and self._configuration_follower.is_current
        ):
            return self._views.view
        return model.EMPTY_VIEW

    def _read_limits(self):
        configuration = self._views.view.configuration
        if configuration is None:
            return model.DEFAULT_CLIENT_LIMITS
        return configuration.limits

    def _peers(self):
        return [
            (upstream.address, upstream.failure_domain)
            for upstream in self._views.view.upstreams_by_id.values()
        ]

    def _budget_of(self, service):
        budget = self._budgets_by_service.get(service)
        if budget is None:
            terms = self._terms
            budget = retry_budget.RetryBudget(
                ratio=terms.retry_ratio,
                constant=terms.retry_constant,
                window_seconds=terms.retry_window_seconds,
            )
            self._budgets_by_service[service] = budget
        return budget

    def _link(self, address):
        """Return the connection to the node at an address."""
        return self._find_link(
            self._links_by_address,
            address,
            on_state=self._on_link_state,
            watch_seconds=peer_links.WATCH_SECONDS,
        )

    def _bulk_link(self, address):
        """Return a connection on which nothing else waits behind large items.

        Its loss says nothing of the node that the other one does not.
        """
        return self._find_link(
            self._bulk_links_by_address,
            address,
            on_state=lambda *state: None,
            watch_seconds=peer_links.BULK_WATCH_SECONDS,
        )

    def _find_link(self, links_by_address, address, **options):
        found = links_by_address.get(address)
        if found is None:
            found = peer_links.PeerLink(
                open_stream=self._network.open_stream,
                address=address,
                port=self._terms.peer_port,
                nursery=self._nursery,
                read_copies=self._copies,
                on_position=self._on_position,
                on_load=self._on_load,
                **options,
            )
            links_by_address[address] = found
        return found

    # Distribution.

    async def _read_nodes(self, read_nodes):
        """Ask the platform where some upstreams are registered."""
        self._node_read_count += 1
        return await read_nodes()

    async def _known_nodes(self):
        """Return the nodes that may have the configuration already."""
        await self._upstream_follower.wait_current()
        return self._peers()

    async def _wait_current(self):
        await self._upstream_follower.wait_current()
        await self._configuration_follower.wait_current()

    def _copies(self):
        return mirror.CopyStates(
            upstreams=self._upstream_follower.copy_state(),
            configuration=self._configuration_follower.copy_state(),
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

    async def _answer_pull(self, pull):
        if pull.topic == follower.CONFIGURATION:
            return await self._configuration_follower.answer_pull(pull)
        return await self._upstream_follower.answer_pull(pull)

    def _on_load(self, address, load):
        self._selector.on_load(address, load, trio.current_time())

    def _on_link_state(self, address, is_connected, reason):
        if self._reached_by_address.get(address) is not is_connected:
            self._reached_by_address[address] = is_connected
            decisions.record(
                "peer_connected" if is_connected else "peer_lost",
                peer=address,
                reason=reason,
            )
        if is_connected:
            self._selector.on_reached(address)
        else:
            self._selector.on_unreachable(address)
            if reason in (peer_links.SILENT, peer_links.NO_CONNECTION):
                self._on_silence(address)

    def _on_silence(self, address):
        """Avoid the failure domain of a silent node if it is cut off."""
        domains_by_address = {
            other: domain
            for other, domain in self._peers()
            if other in self._links_by_address
        }
        avoided = self._silence.on_silence(
            address,
            trio.current_time(),
            domains_by_address,
            lambda other, time: self._link(other).has_heard_since(time),
        )
        for other in avoided:
            self._selector.on_unreachable(other)
            self._nursery.start_soon(
                supervision.keep_running, self._try_link, other
            )
        if avoided:
            decisions.record(
                "domain_doubted",
                chosen=domains_by_address[address],
                peer=address,
                avoided=len(avoided),
            )

    # The published state.

    def _update_view(self):
        now = trio.current_time()
        previous = self._views.view.configuration
        again_at = self._views.update(
            self._upstreams.items_by_key | self._configuration.items_by_key,
            now=now,
            outage_ended_at=self._upstream_follower.outage_ended_at,
            position=self._upstreams.position,
        )
        view = self._views.view
        self._selector.on_view(view)
        self._owner.on_view(view)
        if view.configuration is not previous:
            self._splits.forget(view.configuration)
        self._forget_links(view)
        if again_at is not None and again_at < self._update_at:
            self._update_at = again_at
            self._nursery.start_soon(
                supervision.keep_running, self._update_later, again_at - now
            )

    async def _update_later(self, seconds):
        await trio.sleep(seconds)
        self._update_at = math.inf
        self._update_view()

    def _forget_links(self, view):
        known = {
            upstream.address for upstream in view.upstreams_by_id.values()
        }
        for address in _drop_unused(self._links_by_address, known):
            self._reached_by_address.pop(address, None)
            self._silence.forget(address)
        _drop_unused(self._bulk_links_by_address, known)

    async def _reconnect(self):
        """Try the owner nodes again that could not be reached."""
        while True:
            await trio.sleep(RECONNECT_SECONDS)
            for address in self._selector.suspect_addresses():
                self._nursery.start_soon(
                    supervision.keep_running, self._try_link, address
                )

    async def _try_link(self, address):
        peer = self._link(address)
        began = trio.current_time()
        try:
            await peer.connect()
        except errors.UpstreamUnreachableError:
            # The link reports its state itself.
            return
        peer.ping()
        await trio.sleep(PING_SECONDS)
        if peer.is_answering and peer.has_heard_since(began):
            self._selector.on_reached(address)
        elif not peer.pending_count and not peer.has_heard_since(
            began - peer_links.SILENCE_SECONDS
        ):
            # It may be dead for good while a new connection works.
            peer.close()

    # Start and stop.

    async def start(self, nursery):
        """Bind the ports and start all tasks.

        Raises
        ------
        OSError
            A port cannot be bound.
        """
        await nursery.start(self._run)

    async def _run(self, task_status):
        terms = self._terms
        with self._work_scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                serve = functools.partial(nursery.start, self._network.serve)
                await serve(
                    terms.own_host.address,
                    terms.peer_port,
                    self._peer_server.handle,
                )
                await serve(*terms.ready_address, self._handle_ready)
                if self._metrics_port is not None:
                    await serve(
                        terms.own_host.address,
                        self._metrics_port,
                        self._handle_metrics,
                    )
                await nursery.start(self._serve_clients)
                await nursery.start(self._owner.run_tasks)
                for task in (self._entry.run_tasks, self._reconnect):
                    nursery.start_soon(supervision.keep_running, task)
                nursery.start_soon(self._upstream_follower.run)
                nursery.start_soon(self._configuration_follower.run)
                decisions.record(
                    "node_started",
                    chosen=terms.own_host.name,
                    address=terms.own_host.address,
                    failure_domain=terms.own_host.failure_domain,
                    service=terms.own_host.service,
                )
                task_status.started()

    async def _serve_clients(self, task_status):
        with self._client_scope:
            await self._network.serve(
                *self._terms.client_address,
                self._handle_client,
                task_status=task_status,
            )

    async def _handle_client(self, stream):
        # Shielded, since the listener closes before its connections end.
        with trio.CancelScope(shield=True) as scope:
            self._client_scopes.add(scope)
            try:
                await self._clients.handle(stream)
            finally:
                self._client_scopes.discard(scope)

    @property
    def is_ready(self):
        """Whether clients may send requests here."""
        view = self._read_client_view()
        return view.configuration is not None and not self._is_leaving

    async def drain(self):
        """Stop taking work and wait until all work in progress has ended."""
        deadline = trio.current_time() + self._terms.grace_seconds * (
            1 - GRACE_MARGIN_SHARE
        )
        self._is_leaving = True
        decisions.record(
            "node_leaving",
            chosen=self._terms.own_host.name,
            in_progress=self._owner.in_progress,
            busy_clients=self._clients.busy_count,
        )
        self._entry.begin_leaving()
        self._owner.begin_leaving()
        self._clients.begin_drain()
        await trio.sleep(LEAVING_SECONDS)
        self._client_scope.cancel()
        while trio.current_time() < deadline:
            if not self._clients.connection_count and not (
                self._owner.in_progress
            ):
                break
            await trio.sleep(0.02)
        decisions.record(
            "node_drained",
            chosen=self._terms.own_host.name,
            in_progress=self._owner.in_progress,
            connections=self._clients.connection_count,
        )

    def close(self):
        """End all tasks and connections at once."""
        for scope in self._client_scopes:
            scope.cancel()
        self._work_scope.cancel()
        self._owner.close()

    # Ready and metrics.

    async def _handle_ready(self, stream):
        await self._serve_small(stream, self._answer_ready)

    async def _handle_metrics(self, stream):
        await self._serve_small(stream, self._answer_metrics)

    async def _serve_small(self, stream, answer):
        connections = client_connections.ClientConnections(
            answer=answer,
            refuse=_refuse_small,
            read_limits=self._read_limits,
        )
        await connections.handle(stream)

    async def _answer_ready(self, request):
        if request.target.partition("?")[0] != self._ready_path:
            return _plain(404, "not found")
        if self.is_ready:
            return _plain(200, "ready")
        return _plain(503, "not ready")

    async def _answer_metrics(self, request):
        if request.target.partition("?")[0] != METRICS_PATH:
            return _plain(404, "not found")
        return _plain(200, self._metrics.text())

    def _register_metrics(self):
        gauge = self._metrics.gauge
        gauge("version", self._version)
        upstreams = self._upstream_follower
        gauge("position", lambda: self._upstreams.position)
        gauge("configuration_position", lambda: self._configuration.position)
        gauge("view_age_seconds", lambda: upstreams.copy_state().age)
        gauge("platform_calls_total", self._platform_calls)
        gauge("platform_available", lambda: int(upstreams.is_available))
        gauge("slots", lambda: self._owner.load().slots)
        gauge("slots_free", lambda: self._owner.load().free)
        gauge("runs_total", lambda: self._owner.run_count)
        gauge("refusals_total", lambda: self._owner.refused_count)
        gauge("client_connections", lambda: self._clients.connection_count)

    def _platform_calls(self):
        return (
            self._node_read_count
            + self._upstream_follower.call_count
            + self._configuration_follower.call_count
        )

    def _version(self):
        configuration = self._views.view.configuration
        return 0 if configuration is None else configuration.version


def _drop_unused(links_by_address, known):
    """Close the links to unknown nodes; return the nodes' addresses."""
    dropped = [
        address
        for address, peer in links_by_address.items()
        if address not in known and not peer.pending_count
    ]
    for address in dropped:
        links_by_address.pop(address).close()
    return dropped


def _plain(status, text):
    return messages.Response(
        status=status, headers=(), body=text.encode() + b"\n"
    )


def _refuse_small(error):
    return _plain(error.status, error.detail)
