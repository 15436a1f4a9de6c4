"""Complete nodes on loopback addresses.

Stand-ins replace the platform's store and the upstreams.
"""

import contextlib
import functools
import itertools
import random
import weakref

import trio

from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import model as messages
from shallotbridge.platform import items
from shallotbridge.platform import names
from shallotbridge.platform import store as store_client
from shallotbridge.runtime import metrics
from shallotbridge.runtime import node as node_module
from shallotbridge.traffic import model
from shallotbridge.transports import network
from shallotbridge.transports import tcp
from standins import store as store_standin

from tests.platform import test_items

_subnets = itertools.count(20)
CLIENT_PORT = 18147
READINESS_PORT = 18141
PEER_PORT = 17380
UPSTREAM_PORT = 18145
STORE_PORT = 18142
# The only route of the configuration without a traffic split; it is not
# idempotent.
UNSPLIT_REQUEST = {"path": "/hold/1", "method": "POST"}


class _Gate:
    """A network path that can be cut silently."""

    def __init__(self):
        self._is_open = trio.Event()
        self._is_open.set()
        self._can_send = True
        self._streams = weakref.WeakSet()

    def close(self, *, can_send=False):
        self._is_open = trio.Event()
        self._can_send = can_send

    def open(self):
        self._is_open.set()

    async def open_stream(self, address, port):
        await self.wait_sendable()
        stream = _GatedStream(await tcp.open_stream(address, port), self)
        self._streams.add(stream)
        return stream

    def silence_watches(self):
        """Let the connections with a watch in flight transfer nothing more."""
        for stream in self._streams:
            if b"/kv-watch" in stream.last_sent:
                stream.is_silent = True

    async def serve(self, address, port, handler, **options):
        async def handle(stream):
            await handler(_GatedStream(stream, self))

        await tcp.serve(address, port, handle, **options)

    @property
    def can_send(self):
        return self._can_send or self._is_open.is_set()

    async def wait_sendable(self):
        if not self._can_send:
            await self._is_open.wait()

    async def wait_receivable(self):
        await self._is_open.wait()


class _GatedStream:
    """A stream that transfers nothing while its gate is closed."""

    def __init__(self, stream, gate):
        self._stream = stream
        self._gate = gate
        self.last_sent = b""
        self.is_silent = False

    def __getattr__(self, name):
        return getattr(self._stream, name)

    async def receive_some(self, max_bytes=65536):
        received = await self._stream.receive_some(max_bytes)
        await self._gate.wait_receivable()
        if self.is_silent:
            await trio.sleep_forever()
        return received

    async def send_some(self, data):
        await self._gate.wait_sendable()
        self.last_sent = bytes(data)
        return await self._stream.send_some(data)

    async def send_all(self, data):
        await self._gate.wait_sendable()
        await self._stream.send_all(data)

    def send_nowait(self, data):
        return self._stream.send_nowait(data) if self._gate.can_send else 0


class LoopbackMesh:
    """A store and some nodes with their upstreams, one address per host.

    Parameters
    ----------
    nursery : trio.Nursery
    repeats_refusals : bool
        Whether the upstreams send each refusal once more.
    **settings
        Fields of ``NodeSettings``.
    """

    def __init__(self, nursery, *, repeats_refusals=False, **settings):
        self._settings = settings
        self.nursery = nursery
        self._repeats_refusals = repeats_refusals
        self.subnet = next(_subnets)
        self.store = store_standin.StoreState()
        self.nodes = []
        self.upstreams = []
        self._store_gates = {}
        self._peer_gates = {}

    def address(self, number):
        return f"127.0.{self.subnet}.{number}"

    async def start(self, count, domains="ab"):
        await self.nursery.start(
            tcp.serve,
            self.address(200),
            STORE_PORT,
            store_standin.make_handler(self.store.handle_request),
        )
        configuration = dict(test_items.CONFIGURATION)
        self.store.put("op/config", configuration)
        for number in range(1, count + 1):
            await self._start_host(number, domains[number % len(domains)])
        with trio.fail_after(10):
            while not all(self._has_full_view(node) for node in self.nodes):
                await trio.sleep(0.02)

    def _has_full_view(self, node):
        view = node.read_view()
        return node.is_ready and len(view.upstreams_by_id) == len(self.nodes)

    async def _start_host(self, number, domain):
        address = self.address(number)
        upstream = store_standin.UpstreamState(f"i-{number}")
        self.upstreams.append(upstream)
        await self.nursery.start(
            functools.partial(
                store_standin.serve_upstream,
                repeats_refusals=self._repeats_refusals,
            ),
            upstream,
            upstream.handle_request,
            address,
            UPSTREAM_PORT,
        )
        self.store.put(f"servers/i-{number}", self.make_entry(number, domain))
        node = self.make_node(number, domain)
        self.nodes.append(node)
        await node.start(self.nursery)

    def make_entry(self, number, domain, *, restarts=0, **status):
        entry = dict(test_items.ENTRY)
        entry["born"] += 1000 * restarts
        entry["address"] = f"{self.address(number)}:{UPSTREAM_PORT}"
        entry["information"] = dict(
            service="shop", version="v1", zone=domain, slots=2
        )
        entry["status"] = {
            "state": "ready",
            "sequence": 1,
            "cold_remaining": "0ms",
        } | status
        return entry

    def make_node(self, number, domain):
        address = self.address(number)
        store_gate = _Gate()
        peer_gate = _Gate()
        client = store_client.StoreClient(
            open_stream=store_gate.open_stream,
            address=self.address(200),
            port=STORE_PORT,
        )
        node = node_module.Node(
            settings=node_module.NodeSettings(
                own_host=model.OwnHost(
                    name=f"node-{number}",
                    address=address,
                    failure_domain=domain,
                    service="shop",
                    upstream_address=address,
                    upstream_port=UPSTREAM_PORT,
                ),
                client_address=(address, CLIENT_PORT),
                readiness_address=(address, READINESS_PORT),
                platform_address=(self.address(200), STORE_PORT),
                peer_port=PEER_PORT,
                retry_ratio=0.2,
                retry_constant=50.0,
                retry_window_seconds=10.0,
                cold_multiplier=1.5,
                cold_slack=5.0,
                maximum_apply_seconds=2.0,
                report_interval_seconds=1.5,
                grace_period_seconds=6.0,
                memory_bytes=200_000_000,
                **self._settings,
            ),
            header_names=names.HEADER_NAMES,
            readiness_path=names.READINESS_PATH,
            network=network.Network(
                open_stream=peer_gate.open_stream, serve=peer_gate.serve
            ),
            upstream_source=client.source(items.UPSTREAM_PREFIX),
            configuration_source=client.source(items.OPERATOR_PREFIX),
            read_nodes=client.read_nodes,
            read_position=client.read_position,
            decode_item=items.decode_item,
            random=random.Random(number),
            metrics=metrics.Metrics(),
        )
        self._store_gates[node] = store_gate
        self._peer_gates[node] = peer_gate
        return node

    def readers(self):
        """Return the nodes that watch the upstreams in the store."""
        return [
            node for node in self.nodes if node._upstream_follower.is_reader()
        ]

    def cut_store(self, node):
        """Let nothing pass between a node and the store, silently."""
        self._store_gates[node].close()

    def cut_store_one_way(self, node):
        """Let no response of the store reach a node, silently."""
        self._store_gates[node].close(can_send=True)

    def silence_watches(self, node):
        """Let a node's watches get no response, while new calls do."""
        self._store_gates[node].silence_watches()

    def freeze(self, node):
        """Let a node neither receive nor send anything, except to clients."""
        self._store_gates[node].close()
        self._peer_gates[node].close()

    def thaw(self, node):
        """End ``freeze``."""
        self._store_gates[node].open()
        self._peer_gates[node].open()

    async def send_request(
        self,
        number,
        request_id,
        *,
        path="/browse/1",
        method="GET",
        host="shop.example",
        headers=(),
    ):
        """Send one request to a node and return the response."""
        stream = await tcp.open_stream(self.address(number), CLIENT_PORT)
        try:
            await stream.send_all(
                http1_encoding.encode_request(
                    messages.Request(
                        method=method,
                        target=path,
                        headers=tuple(
                            messages.Header(name=name, value=value)
                            for name, value in (
                                ("host", host),
                                ("attempt-id", request_id),
                                ("deadline-remaining", "3000"),
                                *headers,
                            )
                        ),
                    )
                )
            )
            return await http1.ResponseReader(stream=stream).read(method)
        finally:
            stream.close()

    def run_count(self, request_id):
        """Return how many times the upstreams have run a request."""
        return sum(
            request.header("attempt-id") == request_id
            for upstream in self.upstreams
            for request in upstream.requests
        )


@contextlib.asynccontextmanager
async def start_mesh(
    count, *, repeats_refusals=False, settings=None, **options
):
    """Start a mesh of nodes; stop it at the end of the block."""
    async with trio.open_nursery() as nursery:
        mesh = LoopbackMesh(
            nursery, repeats_refusals=repeats_refusals, **(settings or {})
        )
        await mesh.start(count, **options)
        with trio.fail_after(30):
            yield mesh
        for node in mesh.nodes:
            node.close()
        nursery.cancel_scope.cancel()


async def wait_until(condition):
    """Wait until a condition holds, for some seconds."""
    with trio.fail_after(8):
        while not condition():
            await trio.sleep(0.02)
