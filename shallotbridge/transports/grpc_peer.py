"""Messages between nodes over gRPC, beside trio.

grpcio's thread interface is used on both sides: its callbacks and its
server's threads enter trio through a token.
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
# Threads of the server: 32 held Sync calls and some for short calls.
SERVER_THREADS = 40
# Calls queued beyond the threads; more are refused.
QUEUED_CALLS = 64
# Channels without a call for this time are closed, seconds.
CHANNEL_IDLE_SECONDS = 60.0
# Time for handlers to end when the server stops, seconds.
STOP_SECONDS = 1.0
_RECONNECT_FIRST_MILLISECONDS = 200
_RECONNECT_MAXIMUM_MILLISECONDS = 2000

_COMMON_OPTIONS = (
    ("grpc.max_receive_message_length", MAXIMUM_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAXIMUM_MESSAGE_BYTES),
)
_CHANNEL_OPTIONS = _COMMON_OPTIONS + (
    ("grpc.initial_reconnect_backoff_ms", _RECONNECT_FIRST_MILLISECONDS),
    ("grpc.min_reconnect_backoff_ms", _RECONNECT_FIRST_MILLISECONDS),
    ("grpc.max_reconnect_backoff_ms", _RECONNECT_MAXIMUM_MILLISECONDS),
    # Peers are called by address; a proxy from the environment is not used.
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),
)
_SERVER_OPTIONS = _COMMON_OPTIONS + (
    # A second process on the same address and port must fail to start.
    ("grpc.so_reuseport", 0),
)


class GrpcPeers:
    """Channels to peers by address, and the server for peers.

    Parameters
    ----------
    port : int
        Port on which all nodes serve peers.

    idle_seconds : float
        Time without a call after which a channel is closed.

    Notes
    -----
    Used from one trio run. ``close`` is called when no call is in flight.
    """

    def __init__(self, *, port, idle_seconds=CHANNEL_IDLE_SECONDS):
        self.port = port
        self._idle_seconds = idle_seconds
        self._channels_by_address = {}

    def as_peers(self):
        """Return the closures that the node uses."""
        return peer_calls.Peers(
            sync=functools.partial(self._call, "Sync"),
            report_crash=functools.partial(
                self._call_without_answer, "ReportCrash"
            ),
            lookup_key=functools.partial(self._call, "LookupKey"),
            hand_over=functools.partial(self._call_without_answer, "HandOver"),
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

    async def _call_without_answer(self, name, address, message, timeout):
        await self._call(name, address, message, timeout)

    async def _call(self, name, address, message, timeout):
        channel = self._channel(address)
        token = trio.lowlevel.current_trio_token()
        done = trio.Event()
        channel.call_count += 1
        call = None
        try:
            call = getattr(channel.stub, name).future(message, timeout=timeout)
            call.add_done_callback(lambda _: _run_in_trio(token, done.set))
            try:
                # The margin covers a callback that is lost, which would
                # otherwise hold the task for ever.
                with trio.fail_after(timeout + STOP_SECONDS):
                    await done.wait()
            finally:
                # Has no effect on a call that is done.
                call.cancel()
            return call.result()
        except (
            grpc.RpcError,
            grpc.FutureCancelledError,
            trio.TooSlowError,
            ValueError,
        ) as error:
            raise errors.PeerUnavailableError(
                f"{address}: {name}: {_reason(error)}"
            ) from error
        finally:
            channel.call_count -= 1
            channel.last_used = trio.current_time()
            if _is_unreachable(call):
                # A channel keeps its memory, and a list of hosts that are
                # gone may name thousands.
                channel.last_used = -math.inf
            await self._close_idle()

    def _channel(self, address):
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = _Channel(address=address, port=self.port)
            self._channels_by_address[address] = channel
        return channel

    async def _close_idle(self):
        limit = trio.current_time() - self._idle_seconds
        idle = [
            address
            for address, channel in self._channels_by_address.items()
            if channel.call_count == 0 and channel.last_used < limit
        ]
        if idle:
            channels = [
                self._channels_by_address.pop(address).grpc_channel
                for address in idle
            ]
            await _close_channels(channels)


class _Channel:
    """A channel with the stub and what is needed to close it when idle."""

    def __init__(self, *, address, port):
        self.grpc_channel = grpc.insecure_channel(
            _target(address, port), options=_CHANNEL_OPTIONS
        )
        self.stub = peer_pb2_grpc.PeerStub(self.grpc_channel)
        self.call_count = 0
        self.last_used = trio.current_time()


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


def _target(address, port):
    return f"[{address}]:{port}" if ":" in address else f"{address}:{port}"


def _reason(error):
    if isinstance(error, grpc.RpcError):
        return f"{error.code().name}: {error.details()}"
    return f"{type(error).__name__}: {error}"


def _run_in_trio(token, function):
    # A callback may come after the end of the trio run.
    with contextlib.suppress(trio.RunFinishedError):
        token.run_sync_soon(function)


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Runs the handlers in trio from the server's threads."""

    def __init__(self, *, handlers, token):
        self._handlers = handlers
        self._token = token
        # Only used within trio.
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
        """Cancel the handlers; called within trio."""
        self._is_stopping = True
        for scope in tuple(self._scopes):
            scope.cancel()

    def _run(self, handler, request, context):
        scope = trio.CancelScope()
        # The caller's cancellation or timeout ends the handler.
        is_active = context.add_callback(
            lambda: _run_in_trio(self._token, scope.cancel)
        )
        if not is_active:
            context.abort(grpc.StatusCode.CANCELLED, "call has ended")
        try:
            is_answered, answer = trio.from_thread.run(
                self._run_handler,
                scope,
                handler,
                request,
                trio_token=self._token,
            )
        except (trio.RunFinishedError, trio.Cancelled):
            is_answered = False
        except errors.ShallotbridgeError as error:
            context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                f"{error.code}: {error.detail}",
            )
        if not is_answered:
            context.abort(grpc.StatusCode.UNAVAILABLE, "node is stopping")
        return answer

    async def _run_handler(self, scope, handler, request):
        if self._is_stopping:
            return False, None
        answer = None
        is_answered = False
        self._scopes.add(scope)
        try:
            with scope:
                answer = await handler(request)
                is_answered = True
        finally:
            self._scopes.discard(scope)
        return is_answered, answer


async def serve(address, port, handlers, task_status=trio.TASK_STATUS_IGNORED):
    """Answer peers until cancelled; then stop gracefully.

    Parameters
    ----------
    address : str
    port : int
        0 takes a free port.
    handlers : peer_calls.PeerHandlers
    task_status
        ``started`` is called with the port once it listens.

    Raises
    ------
    OSError
        The address and port can not be bound.
    """
    servicer = _Servicer(
        handlers=handlers, token=trio.lowlevel.current_trio_token()
    )
    server = grpc.server(
        futures.ThreadPoolExecutor(
            max_workers=SERVER_THREADS, thread_name_prefix="peer"
        ),
        options=_SERVER_OPTIONS,
        maximum_concurrent_rpcs=SERVER_THREADS + QUEUED_CALLS,
    )
    peer_pb2_grpc.add_PeerServicer_to_server(servicer, server)
    try:
        bound_port = server.add_insecure_port(_target(address, port))
    except RuntimeError as error:
        raise OSError(f"can not listen on {address}:{port}") from error
    if not bound_port:
        raise OSError(f"can not listen on {address}:{port}")
    server.start()
    try:
        task_status.started(bound_port)
        await trio.sleep_forever()
    finally:
        servicer.stop()
        with trio.CancelScope(shield=True):
            stopped = server.stop(STOP_SECONDS)
            await trio.to_thread.run_sync(stopped.wait, 2 * STOP_SECONDS)
        decisions.record("peer_server_stopped", address=address)
