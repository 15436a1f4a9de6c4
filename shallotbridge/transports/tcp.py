"""Byte streams over TCP."""

import errno
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
    # SocketStream sets TCP_NODELAY.
    return trio.SocketStream(connection)


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
    listener = await _listen(address, port)
    async with trio.open_nursery() as nursery:
        # The listener closes before the connections end, so that a drain
        # can shield them.
        with listener:
            task_status.started(listener.getsockname()[:2])
            while True:
                try:
                    connection, _ = await listener.accept()
                except OSError as error:
                    if error.errno in _OVERLOAD_ERRORS:
                        await trio.sleep(ACCEPT_RETRY_SECONDS)
                    elif error.errno != errno.ECONNABORTED:
                        raise
                    continue
                nursery.start_soon(
                    _serve_stream, handler, trio.SocketStream(connection)
                )


async def _listen(address, port):
    listener = trio.socket.socket(_family(address), socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        await listener.bind((address, port))
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
