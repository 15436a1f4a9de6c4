"""Tests of the gRPC transport over real sockets on a loopback address."""

import functools
import threading

import pytest
import trio

from shallotbridge._generated import configuration_pb2
from shallotbridge._generated import peer_pb2
from shallotbridge.core import errors
from shallotbridge.transports import grpc_peer
from shallotbridge.transports import network

ADDRESS = "127.0.0.1"
TIMEOUT = 20.0


def make_handlers(sync):
    """Return handlers of which only sync is used."""
    return network.PeerHandlers(
        sync=sync, report_crash=None, lookup_key=None, hand_over=None
    )


async def start(nursery, sync):
    """Serve a handler; return the client side, bound to its port."""
    port = await nursery.start(
        grpc_peer.serve, ADDRESS, 0, make_handlers(sync)
    )
    return grpc_peer.GrpcPeers(port=port)


async def test_calls_are_answered_in_trio():
    """Guards against a handler that runs in one of gRPC's threads."""
    threads = []

    async def sync(request):
        threads.append(threading.current_thread())
        await trio.sleep(0)
        return peer_pb2.SyncReply(sender=request.sender)

    async with trio.open_nursery() as nursery:
        peers = await start(nursery, sync)
        reply = await peers.as_peers().sync(
            ADDRESS, peer_pb2.SyncRequest(sender="h1"), TIMEOUT
        )
        await peers.close()
        nursery.cancel_scope.cancel()
    assert reply.sender == "h1"
    assert threads == [threading.current_thread()]


async def test_cancelling_the_task_ends_the_handler():
    """Guards against held calls of children that are gone."""
    started, ended = trio.Event(), trio.Event()

    async def sync(request):
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            ended.set()

    async with trio.open_nursery() as nursery:
        peers = await start(nursery, sync)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as calls:
                calls.start_soon(
                    peers.as_peers().sync,
                    ADDRESS,
                    peer_pb2.SyncRequest(),
                    TIMEOUT,
                )
                await started.wait()
                scope.cancel()
        with trio.fail_after(TIMEOUT):
            await ended.wait()
        await peers.close()
        nursery.cancel_scope.cancel()


async def test_stopping_the_server_fails_held_calls():
    """Guards against a stop that waits for long polls, or breaks trio."""
    started = trio.Event()

    async def sync(request):
        started.set()
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        peers = await start(nursery, sync)

        async def stop():
            await started.wait()
            nursery.cancel_scope.cancel()

        nursery.start_soon(stop)
        with trio.CancelScope(shield=True):
            with pytest.raises(errors.PeerUnavailableError):
                await peers.as_peers().sync(
                    ADDRESS, peer_pb2.SyncRequest(), TIMEOUT
                )
            await peers.close()


async def test_unreachable_silent_and_oversized_are_typed_errors():
    """Guards against gRPC's errors in the node's logic."""

    async def sync(request):
        if request.sender == "silent":
            await trio.sleep_forever()
        reply = peer_pb2.SyncReply()
        reply.update.changed.append(
            configuration_pb2.Part(
                content=bytes(grpc_peer.MAXIMUM_MESSAGE_BYTES)
            )
        )
        return reply

    async with trio.open_nursery() as nursery:
        peers = await start(nursery, sync)
        call = functools.partial(peers.as_peers().sync, timeout=0.2)
        for address, sender in (
            ("127.0.0.2", "refused"),
            (ADDRESS, "silent"),
            (ADDRESS, "oversized"),
            ("no address", "invalid"),
        ):
            with pytest.raises(errors.PeerUnavailableError):
                await call(address, peer_pb2.SyncRequest(sender=sender))
        await peers.close()
        nursery.cancel_scope.cancel()


async def test_a_second_server_on_a_port_fails_to_start():
    """Guards against two nodes that share the calls of one address."""

    async def sync(request):
        return peer_pb2.SyncReply()

    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            grpc_peer.serve, ADDRESS, 0, make_handlers(sync)
        )
        with pytest.raises(OSError, match=str(port)):
            await grpc_peer.serve(ADDRESS, port, make_handlers(sync))
        nursery.cancel_scope.cancel()


async def test_idle_channels_are_closed():
    """Guards against channels to hosts that are gone."""

    async def sync(request):
        return peer_pb2.SyncReply()

    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            grpc_peer.serve, ADDRESS, 0, make_handlers(sync)
        )
        peers = grpc_peer.GrpcPeers(port=port, idle_seconds=-1.0)
        await peers.as_peers().sync(ADDRESS, peer_pb2.SyncRequest(), TIMEOUT)
        assert not peers.addresses
        nursery.cancel_scope.cancel()
