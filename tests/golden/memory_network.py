"""In-memory network with latency, partitions and connection faults.

One ``MemoryFabric`` simulates the network of a session. The links between
two addresses can be partitioned, a process can be paused or killed with all
its connections, and a fault can reset a connection after a number of bytes.
"""

import collections

import trio

from shallotbridge.transports import network

# Connection attempts over a partitioned link fail after this time.
CONNECT_TIMEOUT_SECONDS = 3.0


class _Link:
    """The network path from one address to another, in one direction."""

    def __init__(self, *, latency):
        self.latency = latency
        self.is_partitioned = False
        self._pending_deliveries = []
        self._changed = trio.Event()

    def set_partitioned(self, is_partitioned):
        self.is_partitioned = is_partitioned
        if not is_partitioned:
            # Like TCP, which retransmits unacknowledged data.
            deliveries, self._pending_deliveries = self._pending_deliveries, []
            for action in deliveries:
                action()
        self._changed.set()
        self._changed = trio.Event()

    def deliver(self, action):
        """Run an action now, or when the partition heals."""
        if self.is_partitioned:
            self._pending_deliveries.append(action)
        else:
            action()

    async def wait_until_healed(self):
        while self.is_partitioned:
            await self._changed.wait()


class Process:
    """One process of a host, which can be paused or killed.

    ``clock`` stops during a pause, so that the process sees the gap only
    when it resumes, like a suspended process with a monotonic clock.
    """

    def __init__(self):
        self.streams = {}
        self._paused_at = None
        self._resumed = trio.Event()

    def clock(self):
        """Return the monotonic time of the process, seconds."""
        if self._paused_at is not None:
            return self._paused_at
        return trio.current_time()

    def pause(self):
        """Hold back all incoming and outgoing data."""
        self._paused_at = trio.current_time()

    def resume(self):
        """End the pause."""
        self._paused_at = None
        self._resumed.set()
        self._resumed = trio.Event()

    async def wait_until_running(self):
        """Wait until the process is not paused."""
        while self._paused_at is not None:
            await self._resumed.wait()

    def reset_connections(self):
        """Reset all connections."""
        for stream in list(self.streams.values()):
            stream.reset_connection()


class _Pipe:
    """Receive buffer of one direction of a connection."""

    def __init__(self):
        self.data = bytearray()
        self.is_eof = False
        self.is_reset = False
        self._changed = trio.Event()

    def notify(self):
        self._changed.set()
        self._changed = trio.Event()

    def put(self, data):
        self.data += data
        self.notify()

    def set_eof(self):
        self.is_eof = True
        self.notify()

    def reset(self):
        self.is_reset = True
        self.notify()

    @property
    def is_readable(self):
        return bool(self.data) or self.is_eof or self.is_reset

    async def wait_readable(self):
        while not self.is_readable:
            await self._changed.wait()


class MemoryStream(trio.abc.Stream):
    """One end of a connection between two processes.

    Attributes
    ----------
    port : int
        Port of the server, at both ends of the connection.
    is_client : bool
        Whether this end opened the connection.
    """

    def __init__(
        self,
        *,
        fabric,
        process,
        incoming,
        outgoing,
        address_pair,
        port,
        is_client,
    ):
        self.local, self.remote = address_pair
        self.port = port
        self.is_client = is_client
        self.peer = None
        self._fabric = fabric
        self._process = process
        self._incoming = incoming
        self._outgoing = outgoing
        self._is_closed = False
        process.streams[id(self)] = self

    @property
    def _link(self):
        return self._fabric.link(self.local, self.remote)

    async def send_some(self, data):
        """Send bytes like a TCP stream; return the number sent."""
        await trio.lowlevel.checkpoint()
        await self._process.wait_until_running()
        if self._is_closed:
            raise trio.ClosedResourceError("this end is closed")
        if self._incoming.is_reset:
            raise trio.BrokenResourceError("the connection was reset")
        byte_limit = None
        if self._fabric.fault is not None:
            byte_limit = self._fabric.fault(self, bytes(data))
        sent_data = (
            bytes(data) if byte_limit is None else bytes(data)[:byte_limit]
        )
        if byte_limit == 0:
            self.reset_connection()
            raise trio.BrokenResourceError("the connection was reset")
        await trio.sleep(self._link.latency)
        self._link.deliver(lambda: self._outgoing.put(sent_data))
        if byte_limit is not None:
            # Lets the other end receive the data before the reset.
            await trio.sleep(self._fabric.fault_delay_seconds)
            self.reset_connection()
        return len(sent_data)

    def is_readable(self):
        """Return whether data, end of stream or a reset can be received."""
        return self._incoming.is_readable

    async def send_all(self, data):
        """Send bytes; a partitioned link delays them until it heals."""
        if await self.send_some(data) < len(data):
            raise trio.BrokenResourceError("the connection was reset")

    async def wait_send_all_might_not_block(self):
        """Return after a checkpoint; sending never blocks."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        """Return received bytes, or empty bytes at the end of the stream."""
        await trio.lowlevel.checkpoint()
        if self._is_closed:
            raise trio.ClosedResourceError("this end is closed")
        await self._incoming.wait_readable()
        await self._process.wait_until_running()
        if self._incoming.is_reset:
            raise trio.BrokenResourceError("the connection was reset")
        data = bytes(self._incoming.data[:max_bytes])
        del self._incoming.data[: len(data)]
        return data

    async def aclose(self):
        """Close this end; the other end receives the end of the stream."""
        self._close(self._outgoing.set_eof)
        await trio.lowlevel.checkpoint()

    def reset_connection(self):
        """Reset the connection, as when its process is killed."""
        self._close(self._outgoing.reset)
        self._incoming.reset()

    def close_immediately(self):
        """Close this end without a checkpoint.

        The other end receives the end of the stream. A pending receive at
        this end fails.
        """
        self._close(self._outgoing.set_eof)
        self._incoming.reset()

    def _close(self, notify_remote):
        if not self._is_closed:
            self._is_closed = True
            self._process.streams.pop(id(self), None)
            self._link.deliver(notify_remote)
            self._incoming.notify()


class MemoryFabric:
    """All processes, listeners and links of a session.

    Attributes
    ----------
    fault : callable, optional
        ``fault(stream, data)`` is called before each send. It returns the
        number of bytes after which the connection is reset, or None for no
        reset.
    fault_delay_seconds : float
        Time between the last bytes and the reset.
    """

    def __init__(self, *, latency=0.0005):
        self.fault = None
        self.fault_delay_seconds = 0.002
        self._latency = latency
        self._listeners_by_endpoint = {}
        self._links_by_pair = {}
        self._processes_by_address = collections.defaultdict(list)

    def close_host_connections(self, address):
        """Close all connections of a host; the peers receive their end."""
        for process in self._processes_by_address[address]:
            for stream in list(process.streams.values()):
                stream.close_immediately()

    def network_of(self, address, process=None):
        """Return the network for a process at an address."""
        process = process or Process()
        self._processes_by_address[address].append(process)

        async def open_stream(remote, port):
            return await self._open_stream(process, address, remote, port)

        async def serve(
            listened, port, handler, task_status=trio.TASK_STATUS_IGNORED
        ):
            await self._serve(process, listened, port, handler, task_status)

        return network.Network(open_stream=open_stream, serve=serve)

    def link(self, address, remote):
        """Return the link from one address to another."""
        pair = (address, remote)
        if pair not in self._links_by_pair:
            self._links_by_pair[pair] = _Link(latency=self._latency)
        return self._links_by_pair[pair]

    def all_links(self):
        """Return all links that were used so far."""
        return list(self._links_by_pair.values())

    def set_partitioned(self, addresses, others, is_partitioned):
        """Partition or heal all links between two groups of addresses."""
        for address in addresses:
            for other in others:
                self.link(address, other).set_partitioned(is_partitioned)
                self.link(other, address).set_partitioned(is_partitioned)

    async def _open_stream(self, process, address, remote, port):
        outward_link = self.link(address, remote)
        await trio.sleep(outward_link.latency * 2)
        await process.wait_until_running()
        if outward_link.is_partitioned:
            with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                await outward_link.wait_until_healed()
            if outward_link.is_partitioned:
                raise TimeoutError(f"no response from {remote}:{port}")
        listener = self._listeners_by_endpoint.get((remote, port))
        if listener is None:
            raise ConnectionRefusedError(f"nothing listens on {remote}:{port}")
        channel, server = listener
        request_pipe, response_pipe = _Pipe(), _Pipe()
        client_stream = MemoryStream(
            fabric=self,
            process=process,
            incoming=response_pipe,
            outgoing=request_pipe,
            address_pair=(address, remote),
            port=port,
            is_client=True,
        )
        server_stream = MemoryStream(
            fabric=self,
            process=server,
            incoming=request_pipe,
            outgoing=response_pipe,
            address_pair=(remote, address),
            port=port,
            is_client=False,
        )
        channel.send_nowait(server_stream)
        return client_stream

    async def _serve(self, process, address, port, handler, task_status):
        endpoint = (address, port)
        if endpoint in self._listeners_by_endpoint:
            raise OSError(f"{address}:{port} is in use")
        send_channel, receive_channel = trio.open_memory_channel(1000)
        self._listeners_by_endpoint[endpoint] = send_channel, process
        async with trio.open_nursery() as nursery:
            # As with TCP, the listener closes before its connections.
            try:
                task_status.started()
                async for stream in receive_channel:
                    nursery.start_soon(_handle, handler, stream)
            finally:
                self._listeners_by_endpoint.pop(endpoint, None)


async def _handle(handler, stream):
    try:
        await handler(stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The connection closed while the handler used it, as with a TCP
        # reset.
        pass
    finally:
        await trio.aclose_forcefully(stream)
