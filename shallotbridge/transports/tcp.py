"""Byte streams over TCP."""

import errno
import select
import socket

import eliot
import trio

from . import network

# Connections that the kernel queues until they are accepted. Thousands of
# peers may reconnect at the same time.
LISTEN_BACKLOG = 1024
# Connections that are accepted before other tasks run. Those for which there
# is no room take a descriptor until they are closed.
MAXIMUM_ACCEPTED_PER_PASS = 8
# Delay before the next accept when one fails for lack of file descriptors or
# memory.
ACCEPT_RETRY_DELAY_SECONDS = 0.1
_RESOURCE_EXHAUSTION_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
CONNECT_TIMEOUT_SECONDS = 3.0
# A connection to an unresponsive peer is reset after about 3 s: by keepalive
# probes while it is idle, else by the timeout of unacknowledged bytes.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Buffers of a connection in the kernel. Without these limits they grow to
# several megabytes each while their bytes are not read.
SOCKET_BUFFER_BYTES = 128 * 1024
# The same for receiving on accepted connections until a large message comes.
# It takes what a client sends before the first acknowledgement. Hundreds of
# clients that begin large bodies at once made 39 MB of unread bytes with the
# larger buffer.
INITIAL_RECEIVE_BUFFER_BYTES = 16 * 1024
# Largest segment that an accepted connection receives. The loopback device's
# segments of 64 KB don't fit into the smaller receive buffer: once the larger
# one was announced, its kernel would send only what a timer of 0.2 s allows.
MAXIMUM_RECEIVED_SEGMENT_BYTES = 4 * 1024
UNACKNOWLEDGED_TIMEOUT_MILLISECONDS = 3000
# A stream whose peer keeps it readable lets other tasks run after this many
# bytes.
BYTES_BETWEEN_CHECKPOINTS = 256 * 1024


class TcpStream(trio.abc.HalfCloseableStream):
    """A TCP stream with fewer scheduler passes than ``trio.SocketStream``.

    An operation that does not have to wait checks for cancellation but does
    not yield to the scheduler. In request handling, each scheduler pass costs
    as much as parsing a message.

    Parameters
    ----------
    connection : socket.socket
    watcher : _DisconnectWatcher, optional
        Reports when the peer closes the connection.
    """

    def __init__(self, connection, watcher=None):
        self._socket = connection
        self._disconnect_watcher = watcher
        self._disconnect_scope = None
        self._is_disconnected = False
        # Whether the last read emptied the receive buffer, so that the next
        # one waits first.
        self._is_buffer_empty = False
        self._bytes_without_wait = 0
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self.peer_address = connection.getpeername()[0]
        except OSError:
            # The peer reset the connection before this node accepted it.
            self.peer_address = ""
        self.descriptor = connection.fileno()
        if watcher is not None:
            watcher.add(self)
        else:
            self.cancel_on_disconnect = None

    async def receive_some(self, max_bytes=65536):
        """Return received bytes; empty at the end of the stream."""
        self._check_open()
        if self._is_buffer_empty:
            await self._wait_readable()
        elif self._bytes_without_wait >= BYTES_BETWEEN_CHECKPOINTS:
            self._bytes_without_wait = 0
            await trio.lowlevel.checkpoint()
        else:
            await trio.lowlevel.checkpoint_if_cancelled()
        while True:
            try:
                received = self._socket.recv(max_bytes)
            except BlockingIOError:
                await self._wait_readable()
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
            else:
                self._is_buffer_empty = 0 < len(received) < max_bytes
                self._bytes_without_wait += len(received)
                return received

    async def _wait_readable(self):
        self._bytes_without_wait = 0
        await trio.lowlevel.wait_readable(self._socket)

    def expect_large_message(self, is_expected=True):
        """Choose how much the kernel receives before it is read."""
        size = (
            SOCKET_BUFFER_BYTES
            if is_expected
            else INITIAL_RECEIVE_BUFFER_BYTES
        )
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        except OSError:
            # The stream was closed, which the next operation reports.
            pass

    async def send_some(self, data):
        """Send at least one byte; return the number of bytes sent.

        Raises
        ------
        trio.BrokenResourceError
            No byte of the data was sent.
        """
        self._check_open()
        await trio.lowlevel.checkpoint_if_cancelled()
        while True:
            try:
                return self._socket.send(data)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._socket)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    def send_nowait(self, data):
        """Send without waiting; return the number of bytes sent."""
        self._check_open()
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def send_all(self, data):
        """Send all bytes."""
        sent = await self.send_some(data)
        while sent < len(data):
            sent += await self.send_some(memoryview(data)[sent:])

    async def wait_send_all_might_not_block(self):
        """Wait until a send may complete without blocking."""
        self._check_open()
        await trio.lowlevel.wait_writable(self._socket)

    async def send_eof(self):
        """Close the sending side of the connection."""
        self._check_open()
        await trio.lowlevel.checkpoint_if_cancelled()
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    def is_readable(self):
        """Return whether bytes or the end of the stream can be read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def cancel_on_disconnect(self, scope):
        """Cancel a scope when the peer disconnects; None cancels nothing."""
        self._disconnect_scope = scope
        if self._is_disconnected and scope is not None:
            scope.cancel()

    def on_disconnect(self):
        """Handle that the peer closed its sending side or the connection."""
        self._is_disconnected = True
        if self._disconnect_scope is not None:
            self._disconnect_scope.cancel()

    def _check_open(self):
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("the stream was closed")

    def close(self):
        """Close the connection."""
        if self._socket.fileno() >= 0:
            if self._disconnect_watcher is not None:
                self._disconnect_watcher.remove(self)
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    async def aclose(self):
        """Close the connection."""
        self.close()
        await trio.lowlevel.checkpoint()


class _DisconnectWatcher:
    """Detects when peers close the connections that a listener accepted.

    A single task with its own epoll set adds no cost per request, unlike a
    task per connection that reads while a request runs.
    """

    def __init__(self):
        self._epoll = select.epoll()
        self._streams_by_descriptor = {}

    def add(self, stream):
        self._streams_by_descriptor[stream.descriptor] = stream
        self._epoll.register(
            stream.descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT
        )

    def remove(self, stream):
        if self._streams_by_descriptor.pop(stream.descriptor, None):
            self._epoll.unregister(stream.descriptor)

    async def run(self):
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for descriptor, _ in self._epoll.poll(0):
                stream = self._streams_by_descriptor.get(descriptor)
                if stream is not None:
                    stream.on_disconnect()

    def close(self):
        self._streams_by_descriptor.clear()
        self._epoll.close()


def _limit_buffers(connection, receive_bytes):
    level = socket.SOL_SOCKET
    connection.setsockopt(level, socket.SO_RCVBUF, receive_bytes)
    connection.setsockopt(level, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)


async def open_stream(address, port):
    """Connect to an IP address and port.

    Raises
    ------
    OSError
        The connection was refused, or was not established within
        ``CONNECT_TIMEOUT_SECONDS``.
    """
    connection = trio.socket.socket(_family(address), socket.SOCK_STREAM)
    try:
        _limit_buffers(connection, SOCKET_BUFFER_BYTES)
        with trio.move_on_after(CONNECT_TIMEOUT_SECONDS) as scope:
            try:
                await connection.connect((address, port))
            except (ValueError, OverflowError) as error:
                # Names that cannot be encoded, and ports out of range.
                raise OSError(
                    errno.EINVAL, f"invalid address {address[:60]!r}:{port}"
                ) from error
        if scope.cancelled_caught:
            raise TimeoutError(
                errno.ETIMEDOUT,
                f"{address}:{port} did not accept a connection within "
                f"{CONNECT_TIMEOUT_SECONDS} s",
            )
    except BaseException:
        connection.close()
        raise
    return TcpStream(
        _enable_dead_peer_detection(socket.socket(fileno=connection.detach()))
    )


def _enable_dead_peer_detection(connection):
    """Make the kernel detect a peer that no longer responds."""
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(
        tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(
        tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLISECONDS
    )
    return connection


async def serve(address, port, handler, task_status=trio.TASK_STATUS_IGNORED):
    """Accept connections and run a task for each until cancelled.

    Parameters
    ----------
    address : str
    port : int
    handler : callable
        ``await handler(stream)``. An exception is logged and closes only
        that connection.

    Raises
    ------
    OSError
        The port is in use or the address is not one of this host.
    """
    listener = _open_listener(address, port)
    async with trio.open_nursery() as nursery:
        watcher = _DisconnectWatcher()
        nursery.start_soon(watcher.run)
        # The listener closes before the connections do, so that handlers can
        # complete their requests, shielded from the cancellation.
        with listener:
            task_status.started(listener.getsockname()[:2])
            try:
                await _accept_connections(listener, handler, watcher, nursery)
            finally:
                _serve_queued(listener, handler, watcher, nursery)


async def _accept_connections(listener, handler, watcher, nursery):
    """Run a task for each connection until cancelled.

    Several are accepted before other tasks run. While these take long, each
    new client would wait for a pass of the scheduler, and what the kernel
    received of those in the queue is in no account.
    """
    while True:
        await trio.lowlevel.wait_readable(listener)
        for _ in range(MAXIMUM_ACCEPTED_PER_PASS):
            try:
                connection, _ = listener.accept()
                stream = TcpStream(connection, watcher)
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno in _RESOURCE_EXHAUSTION_ERRORS:
                    await trio.sleep(ACCEPT_RETRY_DELAY_SECONDS)
                elif error.errno != errno.ECONNABORTED:
                    raise
                break
            nursery.start_soon(_serve_stream, handler, stream)


def _serve_queued(listener, handler, watcher, nursery):
    """Serve the established connections that are still in the backlog.

    The kernel would reset them when the listener closes, and the requests
    that clients sent on them would be lost. Handlers must shield themselves
    from the cancellation.
    """
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            # The queue is empty, or no file descriptor is free.
            return
        nursery.start_soon(
            _serve_stream, handler, TcpStream(connection, watcher)
        )


def _open_listener(address, port):
    listener = socket.socket(_family(address), socket.SOCK_STREAM)
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit the limits.
    _limit_buffers(listener, INITIAL_RECEIVE_BUFFER_BYTES)
    listener.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_MAXSEG, MAXIMUM_RECEIVED_SEGMENT_BYTES
    )
    try:
        listener.bind((address, port))
        listener.listen(LISTEN_BACKLOG)
    except OSError as error:
        listener.close()
        raise OSError(
            error.errno,
            f"cannot listen on {address}:{port}: {error.strerror}; stop "
            "the process that uses it or change the setting",
        ) from error
    return listener


async def _serve_stream(handler, stream):
    try:
        await handler(stream)
    except Exception:
        eliot.write_traceback()
    finally:
        await trio.aclose_forcefully(stream)


def _family(address):
    return socket.AF_INET6 if ":" in address else socket.AF_INET


def tcp_network():
    """Return the network that a node uses in production."""
    return network.Network(open_stream=open_stream, serve=serve)
