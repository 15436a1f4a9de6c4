"""Tests of the gRPC transport over sockets on loopback addresses."""

import contextlib
import threading

import pytest
import trio

from shallotbridge._generated import peer_pb2
from shallotbridge.core import errors
from shallotbridge.transports import grpc_peer
from shallotbridge.transports import peer_calls

ADDRESS = "127.0.0.1"
TIMEOUT = 20.0


@contextlib.asynccontextmanager
async def serving(sync, **options):
    """Serve a handler for Sync; yield the client side and the nursery."""
    handlers = peer_calls.PeerHandlers(
        sync=sync, report_crash=None, lookup_key=None, hand_over=None
    )
    async with trio.open_nursery() as nursery:
        port = await nursery.start(grpc_peer.serve, ADDRESS, 0, handlers)
        transport = grpc_peer.GrpcPeerTransport(port=port, **options)
        yield transport, nursery
        with trio.CancelScope(shield=True):
            await transport.close()
        nursery.cancel_scope.cancel()


async def reply_to_sync(request):
    """Reply to a Sync call immediately."""
    return peer_pb2.SyncReply(sender=request.sender)


async def test_handlers_run_in_the_trio_thread():
    """Guards against a handler that runs in one of gRPC's threads."""
    threads = []

    async def sync(request):
        threads.append(threading.current_thread())
        return await reply_to_sync(request)

    async with serving(sync) as (transport, _):
        reply = await transport.make_peer_calls().sync(
            ADDRESS, peer_pb2.SyncRequest(sender="h1"), TIMEOUT
        )
    assert reply.sender == "h1"
    assert threads == [threading.current_thread()]


async def test_cancelling_a_call_cancels_its_handler():
    """Guards against long polls that outlive the child that made them."""
    started, ended = trio.Event(), trio.Event()

    async def sync(request):
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            ended.set()

    async with serving(sync) as (transport, _):
        async with trio.open_nursery() as calls:
            calls.start_soon(
                transport.make_peer_calls().sync,
                ADDRESS,
                peer_pb2.SyncRequest(),
                TIMEOUT,
            )
            await started.wait()
            calls.cancel_scope.cancel()
        with trio.fail_after(TIMEOUT):
            await ended.wait()


async def test_stopping_the_server_fails_pending_calls():
    """Guards against a stop that waits for long polls or crashes trio."""

    async with serving(lambda request: hold()) as (transport, nursery):

        async def hold():
            nursery.cancel_scope.cancel()
            await trio.sleep_forever()

        with trio.CancelScope(shield=True):
            with pytest.raises(errors.PeerUnavailableError):
                await transport.make_peer_calls().sync(
                    ADDRESS, peer_pb2.SyncRequest(), TIMEOUT
                )


async def test_failed_calls_raise_peer_unavailable_error():
    """Guards against gRPC exceptions in the node's logic."""

    async def sync(request):
        if request.sender == "silent":
            await trio.sleep_forever()
        size = grpc_peer.MAXIMUM_MESSAGE_BYTES
        return peer_pb2.SyncReply(sender="x" * size)

    async with serving(sync) as (transport, _):
        for address, sender, timeout, reason in (
            ("127.0.0.2", "refused", TIMEOUT, "UNAVAILABLE"),
            (ADDRESS, "silent", 0.2, "DEADLINE_EXCEEDED"),
            (ADDRESS, "oversized", TIMEOUT, "RESOURCE_EXHAUSTED"),
        ):
            with pytest.raises(errors.PeerUnavailableError, match=reason):
                await transport.make_peer_calls().sync(
                    address, peer_pb2.SyncRequest(sender=sender), timeout
                )


async def test_second_server_on_the_same_port_fails_to_start():
    """Guards against two nodes that both receive calls for one address."""
    async with serving(reply_to_sync) as (transport, _):
        await transport.make_peer_calls().sync(
            ADDRESS, peer_pb2.SyncRequest(), TIMEOUT
        )
        with pytest.raises(OSError, match="cannot listen"):
            await grpc_peer.serve(ADDRESS, transport.port, None)


async def test_idle_channels_are_closed():
    """Guards against channels that stay open to hosts that were removed."""
    async with serving(reply_to_sync, idle_timeout_seconds=-1.0) as (
        transport,
        _,
    ):
        await transport.make_peer_calls().sync(
            ADDRESS, peer_pb2.SyncRequest(), TIMEOUT
        )
        assert not transport.addresses


async def test_channels_to_unreachable_peers_are_closed_immediately():
    """Guards against memory use that grows with the unreachable hosts."""
    async with serving(reply_to_sync) as (transport, _):
        await transport.make_peer_calls().sync(
            ADDRESS, peer_pb2.SyncRequest(), TIMEOUT
        )
        for number in range(2, 5):
            with pytest.raises(errors.PeerUnavailableError):
                await transport.make_peer_calls().sync(
                    f"127.0.0.{number}", peer_pb2.SyncRequest(), TIMEOUT
                )
        assert transport.addresses == {ADDRESS}
