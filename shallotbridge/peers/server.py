"""Serves the other nodes: runs their requests and replies to their pulls."""

import math

import eliot
import trio

from .._generated import link
from ..core import body_buffer
from ..core import decisions
from ..core import errors
from ..core import memory_account
from . import frames

# Memory of a request besides its body, and of each of its header fields.
_REQUEST_BYTES = 6 * 1024
_HEADER_BYTES = 256
# When a request that found no memory may be offered again, milliseconds. Large
# requests are received, run and answered within some tenths of a second.
_MEMORY_RETRY_AFTER_MS = 250.0
# Log lines for such requests.
_MEMORY_LINES_PER_SECOND = 5


class PeerServer:
    """Serves the connections of other nodes.

    Parameters
    ----------
    run_work : callable
        ``await run_work(work, delay)`` returns an Answer, Refusal or Failure;
        `delay` is the network delay of the request, seconds.
    answer_pull : callable
        ``await answer_pull(pull)`` returns Items.
    read_load : callable
        Returns the ``link.Load`` of this node.
    on_position : callable
        ``on_position(address, ping)`` is called with each Ping, which has the
        revisions of the peer's copies.
    answer_crash_records : callable
        ``answer_crash_records(ping)`` merges the crash records of a Ping and
        returns the fields of the Pong on those of this node, as a dict.
    answer_quota : callable
        ``answer_quota(request)`` returns the QuotaGrant of a QuotaRequest, or
        None if it needs no answer.
    account : memory_account.MemoryAccount, optional
        Counts and bounds what the requests hold.
    """

    def __init__(
        self,
        *,
        run_work,
        answer_pull,
        read_load,
        on_position,
        answer_crash_records=lambda ping: {},
        answer_quota=lambda request: None,
        account=None,
    ):
        self._account = account or memory_account.MemoryAccount()
        self._memory_log = decisions.RateLimitedLog(
            rate=_MEMORY_LINES_PER_SECOND
        )
        self._run_work = run_work
        self._answer_pull = answer_pull
        self._read_load = read_load
        self._on_position = on_position
        self._answer_crash_records = answer_crash_records
        self._answer_quota = answer_quota
        self.connection_count = 0

    async def handle(self, stream):
        """Serve a connection until it ends, then cancel its requests."""
        self.connection_count += 1
        stream.expect_large_message()
        holder = memory_account.Holder(account=self._account)
        writer = frames.FrameWriter(stream=stream, holder=holder)
        reader = frames.FrameReader(stream=stream, holder=holder)
        scopes_by_call_id = {}
        transit_delays = _TransitDelays()
        reason = "closed by the peer"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                while True:
                    message = await reader.read()
                    if message is None:
                        break
                    self._dispatch(
                        message,
                        stream,
                        writer,
                        nursery,
                        scopes_by_call_id,
                        transit_delays,
                        holder,
                    )
                    # The request's task alone refers to the body.
                    message = None
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as group:
            reason = str(group.exceptions[0])
        except* errors.MalformedFrameError as group:
            reason = str(group.exceptions[0])
        finally:
            self.connection_count -= 1
            writer.close()
            if scopes_by_call_id:
                decisions.record(
                    "peer_connection_lost",
                    peer=stream.peer_address,
                    reason=reason,
                    interrupted=len(scopes_by_call_id),
                )

    def _dispatch(
        self,
        message,
        stream,
        writer,
        nursery,
        scopes_by_call_id,
        transit_delays,
        holder,
    ):
        kind = type(message)
        if kind is link.Work:
            size = _REQUEST_BYTES + _HEADER_BYTES * len(message.headers)
            if len(message.body) <= body_buffer.LARGE_BODY_BYTES:
                size += len(message.body)
            # All requests of a node come on one connection, and large bodies
            # may have taken its share. A small one needs no share.
            if not (holder.can_hold(size) or self._account.has_room(0, size)):
                self._account.refused_count += 1
                self._refuse(message.call_id, size, writer)
                return
            holder.hold(size)
            scope = trio.CancelScope()
            scopes_by_call_id[message.call_id] = scope
            delay = transit_delays.measure(message.sent_at)
            nursery.start_soon(
                self._run_request,
                message,
                delay,
                writer,
                scope,
                scopes_by_call_id,
                holder,
                size,
            )
        elif kind is frames.SkippedMessage:
            self._refuse(message.call_id, message.size, writer)
        elif kind is link.Cancel:
            scope = scopes_by_call_id.get(message.call_id)
            if scope is not None:
                scope.cancel()
        elif kind is link.Ping:
            transit_delays.measure(message.sent_at)
            self._on_position(stream.peer_address, message)
            writer.send(
                link.Pong(
                    load=self._read_load(),
                    **self._answer_crash_records(message),
                )
            )
        elif kind is link.QuotaRequest:
            grant = self._answer_quota(message)
            if grant is not None:
                writer.send(grant)
        elif kind is link.Pull:
            nursery.start_soon(self._serve_pull, message, writer)

    def _refuse(self, call_id, size, writer):
        """Refuse a request for which there is no memory."""
        self._memory_log.record(
            "refuse_memory",
            trio.current_time(),
            call_id=call_id,
            size=size,
            all_held_bytes=self._account.held_bytes,
            limit_bytes=self._account.limit_bytes,
        )
        writer.send(
            link.Refusal(
                call_id=call_id,
                code=errors.OverloadedError.code,
                detail=f"no memory for {size} bytes of the request",
                retry_after_ms=_MEMORY_RETRY_AFTER_MS,
                has_arrived=False,
                load=self._read_load(),
            )
        )

    async def _run_request(
        self, work, delay, writer, scope, scopes_by_call_id, holder, size
    ):
        call_id = work.call_id
        try:
            with scope:
                reply = await self._run_work(work, delay)
                work = None
                writer.send(reply)
        except trio.BrokenResourceError:
            # The receiving task ends the connection.
            pass
        except Exception:
            # An internal error must not end the other requests of the
            # connection.
            eliot.write_traceback()
            writer.send(
                link.Failure(
                    call_id=call_id,
                    code=errors.OutcomeUnknownError.code,
                    detail="internal error of the owner node",
                    load=self._read_load(),
                )
            )
        finally:
            holder.release(size)
            scopes_by_call_id.pop(call_id, None)

    async def _serve_pull(self, pull, writer):
        try:
            writer.send(await self._answer_pull(pull))
        except trio.BrokenResourceError:
            # The receiving task ends the connection.
            pass


class _TransitDelays:
    """Estimates the network delay of the messages of one connection.

    The clocks of two hosts differ by a constant offset, which is estimated
    from the fastest message.
    """

    __slots__ = ("_minimum_offset",)

    def __init__(self):
        self._minimum_offset = math.inf

    def measure(self, sent_at):
        """Return the delay in excess of the shortest one so far, seconds."""
        offset = trio.current_time() - sent_at
        if offset < self._minimum_offset:
            self._minimum_offset = offset
        return offset - self._minimum_offset
