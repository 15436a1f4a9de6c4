"""Byte streams between hosts in memory, with latency, loss and cuts.

One ``MemoryFabric`` stands for the network of a session. Each host gets its
own ``transports.network.Network`` from it, so that a cut can be made between
any two hosts, and a host's connections can be reset when it dies.
"""

import collections

import trio
import trio.testing

from shallotbridge.transports import network

BLACK_HOLE_CONNECT_SECONDS = 3.0


class _Link:
    """The direction from one address to another."""

    def __init__(self, *, latency):
        self.latency = latency
        self.is_cut = False
        self._changed = trio.Event()

    def set_cut(self, is_cut):
        self.is_cut = is_cut
        self._changed.set()
        self._changed = trio.Event()

    async def wait_open(self):
        while self.is_cut:
            await self._changed.wait()


class MemoryStream(trio.abc.Stream):
    """One end of a connection between two hosts."""

    def __init__(self, *, stream, link, fabric, local, remote):
        self._stream = stream
        self._link = link
        self._fabric = fabric
        self.local = local
        self.remote = remote

    async def send_all(self, data):
        """Send bytes; a cut link holds them until it is mended."""
        await trio.sleep(self._link.latency)
        await self._link.wait_open()
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        """Wait until sending may succeed."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        """Return received bytes, or none at the end of the stream."""
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        """Close this end; the other end sees the end of the stream."""
        self._fabric.forget(self)
        await self._stream.aclose()

    def break_now(self):
        """Close this end without waiting, as when its process dies."""
        self._fabric.forget(self)
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


class MemoryFabric:
    """All hosts, listeners and links of a session."""

    def __init__(self, *, latency=0.0005):
        self._latency = latency
        self._channels_by_endpoint = {}
        self._links_by_pair = {}
        self._streams_by_address = collections.defaultdict(dict)
        self._stream_count = 0

    def network_of(self, address):
        """Return the network as the host of an address sees it."""

        async def open_stream(remote, port):
            return await self._open_stream(address, remote, port)

        return network.Network(open_stream=open_stream, serve=self._serve)

    def set_cut(self, address, remote, is_cut):
        """Cut or mend both directions between two addresses."""
        self._link(address, remote).set_cut(is_cut)
        self._link(remote, address).set_cut(is_cut)

    def is_cut(self, address, remote):
        """Tell whether bytes from an address cannot reach another."""
        return self._link(address, remote).is_cut

    def set_latency(self, address, remote, latency):
        """Set the one-way latency between two addresses, in seconds."""
        self._link(address, remote).latency = latency
        self._link(remote, address).latency = latency

    def reset_host(self, address):
        """End all connections of a host, as when its process dies."""
        for stream in list(self._streams_by_address[address].values()):
            stream.break_now()

    def forget(self, stream):
        """Drop a closed stream."""
        self._streams_by_address[stream.local].pop(id(stream), None)

    def _link(self, address, remote):
        pair = (address, remote)
        if pair not in self._links_by_pair:
            self._links_by_pair[pair] = _Link(latency=self._latency)
        return self._links_by_pair[pair]

    async def _open_stream(self, address, remote, port):
        outward = self._link(address, remote)
        await trio.sleep(outward.latency * 2)
        if outward.is_cut:
            with trio.move_on_after(BLACK_HOLE_CONNECT_SECONDS):
                await outward.wait_open()
            if outward.is_cut:
                raise TimeoutError(f"no answer from {remote}:{port}")
        channel = self._channels_by_endpoint.get((remote, port))
        if channel is None:
            raise ConnectionRefusedError(f"nothing listens on {remote}:{port}")
        near, far = trio.testing.memory_stream_pair()
        near = self._wrap(near, outward, address, remote)
        far = self._wrap(far, self._link(remote, address), remote, address)
        channel.send_nowait(far)
        return near

    def _wrap(self, stream, link, local, remote):
        wrapped = MemoryStream(
            stream=stream, link=link, fabric=self, local=local, remote=remote
        )
        self._streams_by_address[local][id(wrapped)] = wrapped
        return wrapped

    async def _serve(
        self, address, port, handler, task_status=trio.TASK_STATUS_IGNORED
    ):
        endpoint = (address, port)
        if endpoint in self._channels_by_endpoint:
            raise OSError(f"{address}:{port} is in use")
        send_channel, receive_channel = trio.open_memory_channel(1000)
        self._channels_by_endpoint[endpoint] = send_channel
        async with trio.open_nursery() as nursery:
            # As with TCP, the listener ends before its connections.
            try:
                task_status.started()
                async for stream in receive_channel:
                    nursery.start_soon(_handle, handler, stream)
            finally:
                self._channels_by_endpoint.pop(endpoint, None)


async def _handle(handler, stream):
    try:
        await handler(stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The connection ended under the handler, as with a TCP reset.
        pass
    finally:
        await trio.aclose_forcefully(stream)
