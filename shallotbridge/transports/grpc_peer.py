"""Calls between nodes over gRPC, used from trio.

Client and server use grpcio's thread-based API. Its callbacks and server
threads run code in trio through a trio token.
"""

from concurrent import futures
import contextlib
import functools
import math

import grpc
import trio

from .._generated import peer_pb2
from .._generated import peer_pb2_grpc
from ..core import decisions
from ..core import errors
from . import peer_calls

MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024
# Server threads: 32 for Sync calls that are held open, the rest for short
# calls.
SERVER_THREADS = 40
# Calls that may wait for a thread; the server rejects any more.
MAXIMUM_QUEUED_CALLS = 64
# Channels without a call for this long are closed.
IDLE_TIMEOUT_SECONDS = 60.0
# Time that handlers get to end when the server stops.
STOP_GRACE_SECONDS = 1.0
_INITIAL_BACKOFF_MILLISECONDS = 200
_MAXIMUM_BACKOFF_MILLISECONDS = 2000

_COMMON_OPTIONS = (
    ("grpc.max_receive_message_length", MAXIMUM_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAXIMUM_MESSAGE_BYTES),
)
_CHANNEL_OPTIONS = _COMMON_OPTIONS + (
    ("grpc.initial_reconnect_backoff_ms", _INITIAL_BACKOFF_MILLISECONDS),
    ("grpc.min_reconnect_backoff_ms", _INITIAL_BACKOFF_MILLISECONDS),
    ("grpc.max_reconnect_backoff_ms", _MAXIMUM_BACKOFF_MILLISECONDS),
    # Peers are called by address, without any proxy that the environment sets.
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
)
_SERVER_OPTIONS = _COMMON_OPTIONS + (
    # A second process on the same address and port must fail to start.
    ("grpc.so_reuseport", 0),
)


class GrpcPeerTransport:
    """Client channels to peers, and the server for their calls.

    Parameters
    ----------
    port : int
        Port on which all nodes serve peers.
    idle_timeout_seconds : float
        Time without a call after which a channel is closed.

    Notes
    -----
    Must be used within one trio run. ``close`` must not be called while a
    call is in progress.
    """

    def __init__(self, *, port, idle_timeout_seconds=IDLE_TIMEOUT_SECONDS):
        self.port = port
        self._idle_timeout_seconds = idle_timeout_seconds
        self._channels_by_address = {}

    def make_peer_calls(self):
        """Return the call functions that the node uses."""
        return peer_calls.PeerCalls(
            sync=functools.partial(self._call, "Sync"),
            report_crash=functools.partial(
                self._call_without_result, "ReportCrash"
            ),
            lookup_key=functools.partial(self._call, "LookupKey"),
            hand_over=functools.partial(self._call_without_result, "HandOver"),
            serve=serve,
        )

    @property
    def addresses(self):
        """Addresses with an open channel."""
        return frozenset(self._channels_by_address)

    async def close(self):
        """Close all channels."""
        channels = [
            channel.grpc_channel
            for channel in self._channels_by_address.values()
        ]
        self._channels_by_address.clear()
        await _close_channels(channels)

    async def _call_without_result(self, name, address, message, timeout):
        await self._call(name, address, message, timeout)

    async def _call(self, name, address, message, timeout):
        channel = self._get_or_create_channel(address)
        token = trio.lowlevel.current_trio_token()
        done = trio.Event()
        channel.active_call_count += 1
        call = None
        try:
            call = getattr(channel.stub, name).future(message, timeout=timeout)
            call.add_done_callback(lambda _: _run_in_trio(token, done.set))
            try:
                # The margin keeps a lost callback from blocking the task
                # forever.
                with trio.fail_after(timeout + STOP_GRACE_SECONDS):
                    await done.wait()
            finally:
                # This has no effect on a completed call.
                call.cancel()
            return call.result()
        except (
            grpc.RpcError,
            grpc.FutureCancelledError,
            trio.TooSlowError,
            ValueError,
        ) as error:
            raise errors.PeerUnavailableError(
                f"{address}: {name}: {_describe_error(error)}"
            ) from error
        finally:
            channel.active_call_count -= 1
            channel.last_used_at = trio.current_time()
            if _is_unreachable(call):
                # An open channel keeps its memory, and the host list may
                # hold thousands of hosts that no longer exist.
                channel.last_used_at = -math.inf
            await self._close_idle_channels()

    def _get_or_create_channel(self, address):
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = _Channel(address=address, port=self.port)
            self._channels_by_address[address] = channel
        return channel

    async def _close_idle_channels(self):
        used_before = trio.current_time() - self._idle_timeout_seconds
        idle = [
            address
            for address, channel in self._channels_by_address.items()
            if channel.active_call_count == 0
            and channel.last_used_at < used_before
        ]
        if idle:
            channels = [
                self._channels_by_address.pop(address).grpc_channel
                for address in idle
            ]
            await _close_channels(channels)


class _Channel:
    """A gRPC channel with its stub and usage, which shows when it is idle."""

    def __init__(self, *, address, port):
        self.grpc_channel = grpc.insecure_channel(
            _format_target(address, port), options=_CHANNEL_OPTIONS
        )
        self.stub = peer_pb2_grpc.PeerStub(self.grpc_channel)
        self.active_call_count = 0
        self.last_used_at = trio.current_time()


def _is_unreachable(call):
    return (
        call is not None
        and call.done()
        and not call.cancelled()
        and call.code() is grpc.StatusCode.UNAVAILABLE
    )


async def _close_channels(channels):
    def close():
        for channel in channels:
            channel.close()

    with trio.CancelScope(shield=True):
        await trio.to_thread.run_sync(close)


def _format_target(address, port):
    return f"[{address}]:{port}" if ":" in address else f"{address}:{port}"


def _describe_error(error):
    if isinstance(error, grpc.RpcError):
        return f"{error.code().name}: {error.details()}"
    return f"{type(error).__name__}: {error}"


def _run_in_trio(token, function):
    # A callback may run after the trio run has ended.
    with contextlib.suppress(trio.RunFinishedError):
        token.run_sync_soon(function)


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Runs handlers in trio on behalf of the server's threads."""

    def __init__(self, *, handlers, token):
        self._handlers = handlers
        self._token = token
        # Accessed only from trio.
        self._scopes = set()
        self._is_stopping = False

    def Sync(self, request, context):
        return self._run(self._handlers.sync, request, context)

    def ReportCrash(self, request, context):
        self._run(self._handlers.report_crash, request, context)
        return peer_pb2.Acknowledgement()

    def LookupKey(self, request, context):
        return self._run(self._handlers.lookup_key, request, context)

    def HandOver(self, request, context):
        self._run(self._handlers.hand_over, request, context)
        return peer_pb2.Acknowledgement()

    def stop(self):
        """Cancel the running handlers; must be called from trio."""
        self._is_stopping = True
        for scope in tuple(self._scopes):
            scope.cancel()

    def _run(self, handler, request, context):
        scope = trio.CancelScope()
        # The handler is cancelled when the caller cancels or times out.
        is_active = context.add_callback(
            lambda: _run_in_trio(self._token, scope.cancel)
        )
        if not is_active:
            context.abort(grpc.StatusCode.CANCELLED, "call has ended")
        try:
            is_completed, answer = trio.from_thread.run(
                self._run_handler,
                scope,
                handler,
                request,
                trio_token=self._token,
            )
        except (trio.RunFinishedError, trio.Cancelled):
            is_completed = False
        except errors.ShallotbridgeError as error:
            context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                f"{error.code}: {error.detail}",
            )
        if not is_completed:
            context.abort(grpc.StatusCode.UNAVAILABLE, "node is stopping")
        return answer

    async def _run_handler(self, scope, handler, request):
        if self._is_stopping:
            return False, None
        answer = None
        is_completed = False
        self._scopes.add(scope)
        try:
            with scope:
                answer = await handler(request)
                is_completed = True
        finally:
            self._scopes.discard(scope)
        return is_completed, answer


async def serve(address, port, handlers, task_status=trio.TASK_STATUS_IGNORED):
    """Serve calls of peers until cancelled, then stop gracefully.

    Parameters
    ----------
    address : str
    port : int
        0 selects a free port.
    handlers : peer_calls.PeerHandlers
    task_status
        ``started`` is called with the port once the server listens.

    Raises
    ------
    OSError
        The address and port cannot be bound.
    """
    servicer = _Servicer(
        handlers=handlers, token=trio.lowlevel.current_trio_token()
    )
    server = grpc.server(
        futures.ThreadPoolExecutor(
            max_workers=SERVER_THREADS, thread_name_prefix="peer"
        ),
        options=_SERVER_OPTIONS,
        maximum_concurrent_rpcs=SERVER_THREADS + MAXIMUM_QUEUED_CALLS,
    )
    peer_pb2_grpc.add_PeerServicer_to_server(servicer, server)
    try:
        bound_port = server.add_insecure_port(_format_target(address, port))
    except RuntimeError as error:
        raise OSError(f"cannot listen on {address}:{port}") from error
    if not bound_port:
        raise OSError(f"cannot listen on {address}:{port}")
    server.start()
    try:
        task_status.started(bound_port)
        await trio.sleep_forever()
    finally:
        servicer.stop()
        with trio.CancelScope(shield=True):
            stopped = server.stop(STOP_GRACE_SECONDS)
            await trio.to_thread.run_sync(stopped.wait, 2 * STOP_GRACE_SECONDS)
        decisions.record("peer_server_stopped", address=address)
