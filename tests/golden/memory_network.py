"""Byte streams between processes in memory, with latency, loss and cuts.

One ``MemoryFabric`` stands for the network of a session. Links between two
addresses can be cut, a process can be paused or ended with all its
connections, and a fault can break a connection after a number of bytes.
"""

import collections

import trio

from shallotbridge.transports import network

BLACK_HOLE_CONNECT_SECONDS = 3.0


class _Link:
    """The direction from one address to another."""

    def __init__(self, *, latency):
        self.latency = latency
        self.is_cut = False
        self._held = []
        self._changed = trio.Event()

    def set_cut(self, is_cut):
        self.is_cut = is_cut
        if not is_cut:
            # As TCP, which sends again what was not acknowledged.
            held, self._held = self._held, []
            for action in held:
                action()
        self._changed.set()
        self._changed = trio.Event()

    def deliver(self, action):
        """Run an action now, or when the cut ends."""
        if self.is_cut:
            self._held.append(action)
        else:
            action()

    async def wait_open(self):
        while self.is_cut:
            await self._changed.wait()


class Process:
    """One process of a host: it can be paused, or ended at once.

    ``clock`` stands still during a pause, so that the gap is seen at its
    end, as with the monotonic clock of a process that does not run.
    """

    def __init__(self):
        self.streams = {}
        self._paused_at = None
        self._resumed = trio.Event()

    def clock(self):
        """Return the time that the process sees, seconds."""
        if self._paused_at is not None:
            return self._paused_at
        return trio.current_time()

    def pause(self):
        """Hold all that arrives and all that would be sent."""
        self._paused_at = trio.current_time()

    def resume(self):
        """End the pause."""
        self._paused_at = None
        self._resumed.set()
        self._resumed = trio.Event()

    async def wait_running(self):
        """Wait until the process is not paused."""
        while self._paused_at is not None:
            await self._resumed.wait()

    def end(self):
        """Reset all connections."""
        for stream in list(self.streams.values()):
            stream.break_now()


class _Pipe:
    """Bytes that arrived in one direction."""

    def __init__(self):
        self.data = bytearray()
        self.is_ended = False
        self.is_reset = False
        self._changed = trio.Event()

    def wake(self):
        self._changed.set()
        self._changed = trio.Event()

    def put(self, data):
        self.data += data
        self.wake()

    def end(self):
        self.is_ended = True
        self.wake()

    def reset(self):
        self.is_reset = True
        self.wake()

    @property
    def is_readable(self):
        return bool(self.data) or self.is_ended or self.is_reset

    async def wait_readable(self):
        while not self.is_readable:
            await self._changed.wait()


class MemoryStream(trio.abc.Stream):
    """One end of a connection between two processes.

    Attributes
    ----------
    port : int
        The port that was connected to, also at the server's end.
    is_client : bool
        Whether this end made the connection.
    """

    def __init__(
        self, *, fabric, process, incoming, outgoing, ends, port, is_client
    ):
        self.local, self.remote = ends
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
        """Send bytes as a TCP stream does; return their number."""
        await trio.lowlevel.checkpoint()
        await self._process.wait_running()
        if self._is_closed:
            raise trio.ClosedResourceError("this end is closed")
        if self._incoming.is_reset:
            raise trio.BrokenResourceError("the connection was reset")
        kept = None
        if self._fabric.fault is not None:
            kept = self._fabric.fault(self, bytes(data))
        sent = bytes(data) if kept is None else bytes(data)[:kept]
        if kept == 0:
            self.break_now()
            raise trio.BrokenResourceError("the connection was reset")
        await trio.sleep(self._link.latency)
        self._link.deliver(lambda: self._outgoing.put(sent))
        if kept is not None:
            # Time for the other end to take what was sent.
            await trio.sleep(self._fabric.fault_delay)
            self.break_now()
        return len(sent)

    def is_readable(self):
        """Tell whether bytes, or the end, can be read."""
        return self._incoming.is_readable

    async def send_all(self, data):
        """Send bytes; a cut link holds them until the cut ends."""
        if await self.send_some(data) < len(data):
            raise trio.BrokenResourceError("the connection was reset")

    async def wait_send_all_might_not_block(self):
        """Wait until sending may succeed."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        """Return received bytes, or none at the end of the stream."""
        await trio.lowlevel.checkpoint()
        if self._is_closed:
            raise trio.ClosedResourceError("this end is closed")
        await self._incoming.wait_readable()
        await self._process.wait_running()
        if self._incoming.is_reset:
            raise trio.BrokenResourceError("the connection was reset")
        data = bytes(self._incoming.data[:max_bytes])
        del self._incoming.data[: len(data)]
        return data

    async def aclose(self):
        """Close this end; the other end sees the end of the stream."""
        self._close(self._outgoing.end)
        await trio.lowlevel.checkpoint()

    def break_now(self):
        """Reset the connection, as when its process dies."""
        self._close(self._outgoing.reset)
        self._incoming.reset()

    def end_now(self):
        """Close this end at once; the other end sees the end."""
        self._close(self._outgoing.end)
        self._incoming.reset()

    def _close(self, tell_other):
        if not self._is_closed:
            self._is_closed = True
            self._process.streams.pop(id(self), None)
            self._link.deliver(tell_other)
            self._incoming.wake()


class MemoryFabric:
    """All processes, listeners and links of a session.

    Attributes
    ----------
    fault : callable, optional
        ``fault(stream, data)`` is asked before each sending and returns the
        number of bytes after which the connection is reset, or None.
    fault_delay : float
        Seconds between the last bytes and the reset.
    """

    def __init__(self, *, latency=0.0005):
        self.fault = None
        self.fault_delay = 0.002
        self._latency = latency
        self._listeners_by_endpoint = {}
        self._links_by_pair = {}
        self._processes_by_address = collections.defaultdict(list)

    def reset_host(self, address):
        """End all connections of a host; the others see their end."""
        for process in self._processes_by_address[address]:
            for stream in list(process.streams.values()):
                stream.end_now()

    def network_of(self, address, process=None):
        """Return the network as a process at an address sees it."""
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
        """Return the link from an address to another."""
        pair = (address, remote)
        if pair not in self._links_by_pair:
            self._links_by_pair[pair] = _Link(latency=self._latency)
        return self._links_by_pair[pair]

    def all_links(self):
        """Return the links that were used."""
        return list(self._links_by_pair.values())

    def set_cut(self, addresses, others, is_cut):
        """Cut or mend all links between two groups of addresses."""
        for address in addresses:
            for other in others:
                self.link(address, other).set_cut(is_cut)
                self.link(other, address).set_cut(is_cut)

    async def _open_stream(self, process, address, remote, port):
        outward = self.link(address, remote)
        await trio.sleep(outward.latency * 2)
        await process.wait_running()
        if outward.is_cut:
            with trio.move_on_after(BLACK_HOLE_CONNECT_SECONDS):
                await outward.wait_open()
            if outward.is_cut:
                raise TimeoutError(f"no answer from {remote}:{port}")
        listener = self._listeners_by_endpoint.get((remote, port))
        if listener is None:
            raise ConnectionRefusedError(f"nothing listens on {remote}:{port}")
        channel, server = listener
        there, back = _Pipe(), _Pipe()
        near = MemoryStream(
            fabric=self,
            process=process,
            incoming=back,
            outgoing=there,
            ends=(address, remote),
            port=port,
            is_client=True,
        )
        far = MemoryStream(
            fabric=self,
            process=server,
            incoming=there,
            outgoing=back,
            ends=(remote, address),
            port=port,
            is_client=False,
        )
        channel.send_nowait(far)
        return near

    async def _serve(self, process, address, port, handler, task_status):
        endpoint = (address, port)
        if endpoint in self._listeners_by_endpoint:
            raise OSError(f"{address}:{port} is in use")
        send_channel, receive_channel = trio.open_memory_channel(1000)
        self._listeners_by_endpoint[endpoint] = send_channel, process
        async with trio.open_nursery() as nursery:
            # As with TCP, the listener ends before its connections.
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
        # The connection ended under the handler, as with a TCP reset.
        pass
    finally:
        await trio.aclose_forcefully(stream)
