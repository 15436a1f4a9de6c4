"""Interfaces between the node's logic and its transports.

A node receives functions, which use TCP and gRPC in production, and an
in-memory network with a mock clock in tests.
"""

import dataclasses
import typing

import trio

StreamHandler = typing.Callable[[trio.abc.Stream], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Network:
    """Functions that open and accept byte streams between hosts.

    Attributes
    ----------
    open_stream : callable
        ``await open_stream(address, port)`` returns a stream or raises
        ``OSError``.
    serve : callable
        ``await serve(address, port, handler, task_status)`` accepts streams
        until cancelled and runs ``handler(stream)`` in a task for each. It
        calls ``task_status.started()`` once it listens.
    """

    open_stream: typing.Callable[[str, int], typing.Awaitable[trio.abc.Stream]]
    serve: typing.Callable[..., typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformChange:
    """Result of a watch.

    Attributes
    ----------
    revision : int
        Revision of the platform from which to continue the watch.
    keys : tuple of str
        Keys that changed; empty if the wait time passed without a change.
    """

    revision: int
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformClient:
    """Functions that read from the platform.

    Both raise ``PlatformUnavailableError``.

    Attributes
    ----------
    read : callable
        ``await read(key)`` returns the value as bytes, or None.
    watch : callable
        ``await watch(revision, wait)`` returns a ``PlatformChange``. ``wait``
        is in seconds. Revision 0 returns all keys immediately.
    """

    read: typing.Callable[[str], typing.Awaitable[bytes | None]]
    watch: typing.Callable[[int, float], typing.Awaitable[PlatformChange]]
