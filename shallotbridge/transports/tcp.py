"""Byte streams over TCP."""

import errno
import select
import socket

import eliot
import trio

from . import network

# Connections that the kernel queues until they are accepted; a node takes
# part in reconnection storms of thousands of peers.
BACKLOG = 1024
# After an accept that failed for lack of file descriptors or memory, time
# until the next one.
ACCEPT_RETRY_SECONDS = 0.1
_OVERLOAD_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
CONNECT_SECONDS = 3.0
# A connection whose other end is silent is reset after about 3 s: by probes
# when it is idle, by the bound on unacknowledged bytes when it is not.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 3000


class TcpStream(trio.abc.HalfCloseableStream):
    """A TCP connection with fewer scheduler passes than trio's own.

    An operation that does not have to wait is no checkpoint for the
    scheduler, only for cancellation. On the call path each scheduler pass
    costs as much as the parsing of a message.

    Parameters
    ----------
    connection : socket.socket
    hang_ups : _HangUps, optional
        Reports that the peer closed the connection.
    """

    def __init__(self, connection, hang_ups=None):
        self._socket = connection
        self._hang_ups = hang_ups
        self._hang_up_scope = None
        self._is_hung_up = False
        # Whether the last read took all there was, so that the next one
        # waits at once.
        self._is_drained = False
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self.peer_address = connection.getpeername()[0]
        except OSError:
            # The peer reset the connection before it was accepted.
            self.peer_address = ""
        self.descriptor = connection.fileno()
        if hang_ups is not None:
            hang_ups.add(self)
        else:
            self.cancel_on_hang_up = None

    async def receive_some(self, max_bytes=65536):
        """Return received bytes, or none at the end of the stream."""
        self._check_open()
        if self._is_drained:
            await trio.lowlevel.wait_readable(self._socket)
        else:
            await trio.lowlevel.checkpoint_if_cancelled()
        while True:
            try:
                received = self._socket.recv(max_bytes)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._socket)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
            else:
                self._is_drained = 0 < len(received) < max_bytes
                return received

    async def send_some(self, data):
        """Write at least one byte; return how many were accepted.

        Raises
        ------
        trio.BrokenResourceError
            No byte of the data was accepted.
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

    def send_now(self, data):
        """Write what fits without waiting; return how many bytes did."""
        self._check_open()
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def send_all(self, data):
        """Write all bytes."""
        sent = await self.send_some(data)
        while sent < len(data):
            sent += await self.send_some(memoryview(data)[sent:])

    async def wait_send_all_might_not_block(self):
        """Wait until sending may succeed."""
        self._check_open()
        await trio.lowlevel.wait_writable(self._socket)

    async def send_eof(self):
        """Tell the peer that nothing more will be sent."""
        self._check_open()
        await trio.lowlevel.checkpoint_if_cancelled()
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    def is_readable(self):
        """Tell whether bytes or the end of the stream can be read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def cancel_on_hang_up(self, scope):
        """Cancel a scope once the peer closes; None ends the watch."""
        self._hang_up_scope = scope
        if self._is_hung_up and scope is not None:
            scope.cancel()

    def on_hang_up(self):
        """Note that the peer closed its side or the connection."""
        self._is_hung_up = True
        if self._hang_up_scope is not None:
            self._hang_up_scope.cancel()

    def _check_open(self):
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("the stream was closed")

    def close(self):
        """Close the connection."""
        if self._socket.fileno() >= 0:
            if self._hang_ups is not None:
                self._hang_ups.remove(self)
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    async def aclose(self):
        """Close the connection."""
        self.close()
        await trio.lowlevel.checkpoint()


class _HangUps:
    """Watches all accepted connections of a listener for their end.

    One task with an epoll set of its own costs nothing for each request,
    unlike a task that reads from each connection while a request runs.
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
                    stream.on_hang_up()

    def close(self):
        self._streams_by_descriptor.clear()
        self._epoll.close()


async def open_stream(address, port):
    """Connect to an IP address and port.

    Raises
    ------
    OSError
        The connection was refused or did not open in ``CONNECT_SECONDS``.
    """
    connection = trio.socket.socket(_family(address), socket.SOCK_STREAM)
    try:
        with trio.move_on_after(CONNECT_SECONDS) as scope:
            await connection.connect((address, port))
        if scope.cancelled_caught:
            raise TimeoutError(
                errno.ETIMEDOUT,
                f"{address}:{port} did not accept a connection within "
                f"{CONNECT_SECONDS} s",
            )
    except BaseException:
        connection.close()
        raise
    return TcpStream(
        _without_silence(socket.socket(fileno=connection.detach()))
    )


def _without_silence(connection):
    """Let the kernel notice that the other end of a connection is gone."""
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(
        tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(
        tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS
    )
    return connection


async def serve(address, port, handler, task_status=trio.TASK_STATUS_IGNORED):
    """Accept connections and run a task for each until cancelled.

    Parameters
    ----------
    address : str
    port : int
    handler : callable
        ``await handler(stream)``; a failure is logged and ends only its
        own connection.

    Raises
    ------
    OSError
        The port is taken or the address is not one of this host.
    """
    listener = _listen(address, port)
    async with trio.open_nursery() as nursery:
        hang_ups = _HangUps()
        nursery.start_soon(hang_ups.run)
        # The listener closes before the connections end, so that a drain
        # can shield them.
        with listener:
            task_status.started(listener.getsockname()[:2])
            try:
                await _accept(
                    trio.socket.from_stdlib_socket(listener),
                    handler,
                    hang_ups,
                    nursery,
                )
            finally:
                _accept_queued(listener, handler, hang_ups, nursery)


async def _accept(listener, handler, hang_ups, nursery):
    """Run a task for each connection until cancelled."""
    while True:
        try:
            connection, _ = await listener.accept()
            stream = TcpStream(
                socket.socket(fileno=connection.detach()), hang_ups
            )
        except OSError as error:
            if error.errno in _OVERLOAD_ERRORS:
                await trio.sleep(ACCEPT_RETRY_SECONDS)
            elif error.errno != errno.ECONNABORTED:
                raise
            continue
        nursery.start_soon(_serve_stream, handler, stream)


def _accept_queued(listener, handler, hang_ups, nursery):
    """Serve the connections that the kernel has established already.

    The kernel would reset them when the listener closes, with the requests
    that their clients have sent. The handler has to shield itself.
    """
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            # Nothing is queued, or no descriptor is left for it.
            return
        nursery.start_soon(
            _serve_stream, handler, TcpStream(connection, hang_ups)
        )


def _listen(address, port):
    listener = socket.socket(_family(address), socket.SOCK_STREAM)
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address, port))
        listener.listen(BACKLOG)
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
