"""Serves the other nodes: runs their requests and answers their pulls."""

import math

import eliot
import trio

from .._generated import link
from ..core import decisions
from ..core import errors
from . import frames


class PeerServer:
    """Serves the connections of other nodes.

    Parameters
    ----------
    run_work : callable
        ``await run_work(work, delay)`` returns an Answer, Refusal or
        Failure; the delay is the time of the request on its way, seconds.
    answer_pull : callable
        ``await answer_pull(pull)`` returns Items.
    read_load : callable
        Returns the ``link.Load`` of this node.
    on_position : callable
        ``on_position(address, ping)``: the Ping tells the peer's revisions.
    """

    def __init__(self, *, run_work, answer_pull, read_load, on_position):
        self._run_work = run_work
        self._answer_pull = answer_pull
        self._read_load = read_load
        self._on_position = on_position
        self.connection_count = 0

    async def handle(self, stream):
        """Serve a connection until it ends; its requests end with it."""
        self.connection_count += 1
        outbox = frames.Outbox(stream=stream)
        reader = frames.FrameReader(stream=stream)
        scopes_by_call = {}
        delays = _Delays()
        reason = "closed by the peer"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(outbox.run)
                while True:
                    message = await reader.read()
                    if message is None:
                        break
                    self._take(
                        message,
                        stream,
                        outbox,
                        nursery,
                        scopes_by_call,
                        delays,
                    )
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as group:
            reason = str(group.exceptions[0])
        except* errors.MalformedFrameError as group:
            reason = str(group.exceptions[0])
        finally:
            self.connection_count -= 1
            if scopes_by_call:
                decisions.record(
                    "peer_connection_lost",
                    peer=stream.peer_address,
                    reason=reason,
                    interrupted=len(scopes_by_call),
                )

    def _take(self, message, stream, outbox, nursery, scopes_by_call, delays):
        kind = type(message)
        if kind is link.Work:
            scope = trio.CancelScope()
            scopes_by_call[message.call_id] = scope
            delay = delays.measure(message.sent_at)
            nursery.start_soon(
                self._run, message, delay, outbox, scope, scopes_by_call
            )
        elif kind is link.Cancel:
            scope = scopes_by_call.get(message.call_id)
            if scope is not None:
                scope.cancel()
        elif kind is link.Ping:
            delays.measure(message.sent_at)
            self._on_position(stream.peer_address, message)
            outbox.send(link.Pong(load=self._read_load()))
        elif kind is link.Pull:
            nursery.start_soon(self._serve_pull, message, outbox)

    async def _run(self, work, delay, outbox, scope, scopes_by_call):
        try:
            with scope:
                reply = await self._run_work(work, delay)
                outbox.send(reply)
        except trio.BrokenResourceError:
            # The reader of the connection ends it.
            pass
        except Exception:
            # A fault of this program must not end the other requests of the
            # connection.
            eliot.write_traceback()
            outbox.send(
                link.Failure(
                    call_id=work.call_id,
                    code=errors.OutcomeUnknownError.code,
                    detail="a fault of the owner node",
                    load=self._read_load(),
                )
            )
        finally:
            scopes_by_call.pop(work.call_id, None)

    async def _serve_pull(self, pull, outbox):
        try:
            outbox.send(await self._answer_pull(pull))
        except trio.BrokenResourceError:
            # The reader of the connection ends it.
            pass


class _Delays:
    """Measures how long messages of one connection were on their way.

    The clocks of two hosts differ by an offset that does not change; the
    message that took least time tells it.
    """

    __slots__ = ("_offset",)

    def __init__(self):
        self._offset = math.inf

    def measure(self, sent_at):
        """Return the delay beyond the shortest one seen, seconds."""
        offset = trio.current_time() - sent_at
        if offset < self._offset:
            self._offset = offset
        return offset - self._offset
