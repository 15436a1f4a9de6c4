"""Interface between the node's logic and its transports.

A node is given closures, so that production binds them to TCP and gRPC and
tests bind them to memory on a mock clock.
"""

import dataclasses
import typing

import trio

StreamHandler = typing.Callable[[trio.abc.Stream], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Network:
    """Byte streams between hosts.

    Attributes
    ----------
    open_stream : callable
        ``await open_stream(address, port)`` returns a stream or raises
        ``OSError``.
    serve : callable
        ``await serve(address, port, handler, task_status)`` accepts streams
        and runs one ``handler(stream)`` task for each until cancelled;
        it calls ``task_status.started()`` once it listens.
    """

    open_stream: typing.Callable[[str, int], typing.Awaitable[trio.abc.Stream]]
    serve: typing.Callable[..., typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformChange:
    """What a watch reports.

    Attributes
    ----------
    revision : int
        Revision of the platform to watch from next.
    keys : tuple of str
        Keys that changed; empty when the wait ended without a change.
    """

    revision: int
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """Reads of the platform; both raise ``PlatformUnavailableError``.

    Attributes
    ----------
    read : callable
        ``await read(key)`` returns the bytes of a value, or None.
    watch : callable
        ``await watch(revision, wait)`` returns a ``PlatformChange``; wait in
        seconds. Revision 0 returns all keys at once.
    """

    read: typing.Callable[[str], typing.Awaitable[bytes | None]]
    watch: typing.Callable[[int, float], typing.Awaitable[PlatformChange]]
