"""Interface between the node's logic and the calls between nodes.

It is a separate module because it imports the protobuf messages. They take
4 MB of memory that a node on the users' platform does not need.
"""

import dataclasses
import typing

from .._generated import peer_pb2


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerHandlers:
    """Async handlers for the calls that a node receives from its peers."""

    sync: typing.Callable[
        [peer_pb2.SyncRequest], typing.Awaitable[peer_pb2.SyncReply]
    ]
    report_crash: typing.Callable[
        [peer_pb2.CrashReport], typing.Awaitable[None]
    ]
    lookup_key: typing.Callable[
        [peer_pb2.KeyQuery], typing.Awaitable[peer_pb2.KeyAnswer]
    ]
    hand_over: typing.Callable[[peer_pb2.KeyHandOver], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerCalls:
    """Functions that call peers, and one that serves their calls.

    Each call is ``await call(address, message, timeout)``, with the timeout
    in seconds, and may raise ``errors.PeerUnavailableError``.
    ``serve(address, port, handlers, task_status)`` serves calls until
    cancelled.
    """

    sync: typing.Callable[..., typing.Awaitable[peer_pb2.SyncReply]]
    report_crash: typing.Callable[..., typing.Awaitable[None]]
    lookup_key: typing.Callable[..., typing.Awaitable[peer_pb2.KeyAnswer]]
    hand_over: typing.Callable[..., typing.Awaitable[None]]
    serve: typing.Callable[..., typing.Awaitable[None]]
