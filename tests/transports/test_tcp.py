"""Tests of byte streams over TCP."""

import array
import contextlib
import fcntl
import socket
import termios

import pytest
import trio
import trio.testing

from shallotbridge.core import memory_account
from shallotbridge.transports import tcp


class _HandlerError(Exception):
    """An error of a handler that the server does not know."""

    code = "SB-9004"


async def test_error_names_the_port_in_use(nursery):
    """Guards against a failed start whose error does not name the port."""
    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, None)
    with pytest.raises(OSError, match=f"127.0.0.1:{port}"):
        await tcp.serve("127.0.0.1", port, None)
    nursery.cancel_scope.cancel()


async def test_failing_handler_closes_only_its_connection(nursery):
    """Guards against an exception in one handler that stops the node."""
    handled = []

    async def handle(stream):
        handled.append(await stream.receive_some(1))
        if len(handled) == 1:
            raise _HandlerError("a fault")

    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, handle)
    for _ in range(2):
        async with await tcp.open_stream("127.0.0.1", port) as stream:
            await stream.send_all(b"x")
            assert await stream.receive_some(1) == b""
    assert handled == [b"x", b"x"]
    nursery.cancel_scope.cancel()


async def test_client_disconnect_cancels_its_request(nursery):
    """Guards against requests that run on after the client disconnected."""
    ended = trio.Event()

    async def handle(stream):
        with trio.CancelScope() as scope:
            stream.cancel_on_disconnect(scope)
            await trio.sleep_forever()
        ended.set()

    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, handle)
    for _ in range(2):
        stream = await tcp.open_stream("127.0.0.1", port)
        await stream.send_all(b"unread")
        await stream.aclose()
        await ended.wait()
        ended = trio.Event()
    nursery.cancel_scope.cancel()


async def test_large_message_arrives_complete(nursery):
    """Guards against bytes that are lost when the send buffer is full."""
    content = bytes(range(256)) * 16384
    received = []

    async def handle(stream):
        await stream.send_all(content)

    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, handle)
    async with await tcp.open_stream("127.0.0.1", port) as stream:
        while piece := await stream.receive_some():
            received.append(piece)
    assert b"".join(received) == content
    nursery.cancel_scope.cancel()


async def test_queued_connections_are_served_when_the_listener_closes(nursery):
    """Guards against requests that a planned stop leaves unanswered.

    Clients connect and send while the listener closes. The kernel has
    established their connections, but the process has not accepted them.
    """

    async def handle(stream):
        with trio.CancelScope(shield=True):
            await stream.send_all(await stream.receive_some(10))

    scope = trio.CancelScope()

    async def serve(task_status):
        with scope:
            await tcp.serve("127.0.0.1", 0, handle, task_status=task_status)

    _, port = await nursery.start(serve)
    clients = []
    for number in range(5):
        client = socket.create_connection(("127.0.0.1", port))
        client.sendall(b"request %d" % number)
        clients.append(client)
    scope.cancel()
    for number, client in enumerate(clients):
        client.settimeout(2.0)
        answer = await trio.to_thread.run_sync(client.recv, 10)
        assert answer == b"request %d" % number
        client.close()


@pytest.mark.parametrize("address", ["....", "10.0.0.1\x00", "x" * 300])
async def test_an_address_that_cannot_be_encoded_is_an_os_error(address):
    """Guards against an odd address that ends the task that connects."""
    with pytest.raises(OSError):
        await tcp.open_stream(address, 80)
    with pytest.raises(OSError):
        await tcp.open_stream("127.0.0.1", 2**70)


class _ReadableSocket(socket.socket):
    """Has bytes to read at any time."""

    def recv(self, size, flags=0):
        return bytes(size)


async def test_a_peer_that_sends_all_the_time_lets_other_tasks_run():
    """Guards against one fast sender that stops all other work."""
    passes = 0

    async def count_passes():
        nonlocal passes
        while True:
            await trio.lowlevel.checkpoint()
            passes += 1

    with _ReadableSocket() as connection:
        stream = tcp.TcpStream(connection)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_passes)
            for _ in range(256):
                await stream.receive_some(65536)
            nursery.cancel_scope.cancel()
    # 16 MB.
    assert passes >= 32


async def test_segments_fit_into_the_receive_buffer(nursery):
    """Guards against a sender that waits for more room than there is.

    After a large message the receive buffer is small again.
    """
    accepted = []

    async def handle(stream):
        accepted.append(
            stream._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG)
        )

    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, handle)
    async with await tcp.open_stream("127.0.0.1", port) as stream:
        assert await stream.receive_some(1) == b""
        accepted.append(
            stream._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG)
        )
    for size in accepted:
        assert 2 * size <= tcp.INITIAL_RECEIVE_BUFFER_BYTES
    nursery.cancel_scope.cancel()


async def test_queued_connections_do_not_wait_for_each_other(nursery):
    """Guards against new clients that wait while other tasks take long."""
    count = 50
    passes = 0
    accepted = []
    all_accepted = trio.Event()

    async def handle(stream):
        accepted.append(passes)
        if len(accepted) == count:
            all_accepted.set()

    async def count_passes():
        nonlocal passes
        while True:
            await trio.lowlevel.checkpoint()
            passes += 1

    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, handle)
    await trio.testing.wait_all_tasks_blocked()
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            client = stack.enter_context(socket.socket())
            # Completed by the kernel, without a pass of the scheduler.
            client.connect(("127.0.0.1", port))
        nursery.start_soon(count_passes)
        await all_accepted.wait()
    assert accepted[-1] - accepted[0] < count / 5
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("is_large", [False, True])
async def test_unread_bytes_are_no_more_than_is_counted(is_large, nursery):
    """Guards against memory of the kernel that the account does not know.

    The kernel receives more than the size that is set for the buffer.
    """
    unread = array.array("i", [0])
    measured = trio.Event()

    async def handle(stream):
        if is_large:
            stream.expect_large_message()
        with trio.move_on_after(1.0):
            await measured.wait()
        fcntl.ioctl(stream.descriptor, termios.FIONREAD, unread)
        measured.set()

    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, handle)
    async with await tcp.open_stream("127.0.0.1", port) as stream:
        while not measured.is_set():
            stream.send_nowait(bytes(65536))
            await trio.sleep(0.001)
    counted = memory_account.UNREAD_BYTES
    if is_large:
        counted = memory_account.LARGE_UNREAD_BYTES
    assert 0 < unread[0] <= counted
    nursery.cancel_scope.cancel()
