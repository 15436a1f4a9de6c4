"""The connections of a node to the other nodes."""

import itertools

import eliot
import trio

from .._generated import link
from ..core import decisions
from ..core import errors
from . import frames

# A connection with requests in flight is looked at this often, s, and the
# peer is asked for a sign of life after the same time without any byte.
WATCH_SECONDS = 0.1
# The same of a connection that only brings large items and on which a request
# waits most of the time.
BULK_WATCH_SECONDS = 0.5
# A peer that does not answer a ping for this long gets no new requests, s.
# Nodes are some ms apart. A lost packet, sent again after about 0.2 s, only
# diverts requests for a moment.
DOUBT_SECONDS = 0.15
# Without any byte for this long after a ping, the connection is given up; a
# lost packet is sent again by TCP within about 0.2 to 0.4 s.
SILENCE_SECONDS = 1.2
# A connection attempt that takes longer counts as failed, s. Nodes are at
# most some ms apart; a lost opening packet is sent again only after 1 s.
CONNECT_SECONDS = 0.15
# A connection that nothing used for this long is closed, s.
IDLE_SECONDS = 10.0
# Reasons of a lost connection that speak for a partition: the peer's host
# would refuse or reset the connection if only the process had ended.
SILENT = "silent"
NO_CONNECTION = "no connection in time"


class _PendingCall:
    __slots__ = ("reply", "event", "error")

    def __init__(self):
        self.reply = None
        self.error = None
        self.event = trio.Event()


class PeerLink:
    """One connection to one node, opened when it is needed.

    Parameters
    ----------
    open_stream : callable
        ``await open_stream(address, port)``.
    address : str
    port : int
    nursery : trio.Nursery
        Runs the tasks of the connection.
    read_copies : callable
        Returns the ``mirror.CopyStates`` of this node.
    on_position : callable
        ``on_position(address, message)``: a Ping or a Load of the peer, which
        tell the revisions that it has.
    on_load : callable
        ``on_load(address, load)`` with each load that the peer reports.
    on_state : callable
        ``on_state(address, is_connected, reason)``.
    watch_seconds : float
        Time without a byte after which a peer that owes an answer is asked
        for a sign of life.
    """

    def __init__(
        self,
        *,
        open_stream,
        address,
        port,
        nursery,
        read_copies,
        on_position,
        on_load,
        on_state,
        watch_seconds=WATCH_SECONDS,
    ):
        self.address = address
        self._open_stream = open_stream
        self._port = port
        self._nursery = nursery
        self._read_copies = read_copies
        self._on_position = on_position
        self._on_load = on_load
        self._on_state = on_state
        self._watch_seconds = watch_seconds
        self._call_ids = itertools.count(1)
        self._calls_by_id = {}
        self._stream = None
        self._outbox = None
        self._scope = None
        self._connecting = None
        self._has_calls = trio.Event()
        self._is_doubted = False
        # Whether this node closes the connection because nothing uses it.
        self._is_closing = False
        self._last_received = 0.0
        self._last_used = 0.0

    @property
    def is_answering(self):
        """Whether the connection is open and the peer not silent on it."""
        return self._stream is not None and not self._is_doubted

    def has_heard_since(self, time):
        """Tell whether bytes of the peer arrived after a time."""
        return self._stream is not None and self._last_received > time

    @property
    def pending_count(self):
        """Requests that wait for the peer's answer."""
        return len(self._calls_by_id)

    def next_call_id(self):
        """Return a new id for a message that is answered."""
        return next(self._call_ids)

    async def connect(self):
        """Open the connection if it is not open.

        Raises
        ------
        errors.UpstreamUnreachableError
        """
        while self._stream is None:
            if self._connecting is not None:
                await self._connecting.wait()
                if self._stream is None:
                    raise self._unreachable("the connection failed")
                return
            self._connecting = trio.Event()
            try:
                await self._connect()
            finally:
                self._connecting.set()
                self._connecting = None

    async def _connect(self):
        stream = None
        reason = NO_CONNECTION
        try:
            with trio.move_on_after(CONNECT_SECONDS):
                stream = await self._open_stream(self.address, self._port)
        except OSError as error:
            reason = str(error)
        if stream is None:
            self._on_state(self.address, False, reason)
            raise self._unreachable(reason)
        self._stream = stream
        self._outbox = frames.Outbox(stream=stream)
        self._last_received = trio.current_time()
        self._last_used = self._last_received
        self._nursery.start_soon(self._run, stream, self._outbox)
        self._on_state(self.address, True, "connected")

    def _unreachable(self, reason):
        return errors.UpstreamUnreachableError(
            f"no connection to the node at {self.address}:{self._port}: "
            f"{reason}"
        )

    async def exchange(self, message):
        """Send a message with a call id and return the peer's reply.

        When the caller is cancelled, the peer is told.

        Raises
        ------
        errors.UpstreamUnreachableError
            Nothing was sent.
        errors.OutcomeUnknownError
            The connection was lost before the reply.
        """
        await self.connect()
        call = _PendingCall()
        self._calls_by_id[message.call_id] = call
        self._has_calls.set()
        self._last_used = trio.current_time()
        outbox = self._outbox
        try:
            try:
                outbox.send(message)
            except trio.BrokenResourceError as error:
                self._scope.cancel()
                raise self._unreachable(str(error)) from error
            try:
                await call.event.wait()
            except trio.Cancelled:
                self._cancel_call(message.call_id, outbox)
                raise
        finally:
            self._calls_by_id.pop(message.call_id, None)
        if call.error is not None:
            raise call.error
        return call.reply

    def _cancel_call(self, call_id, outbox):
        if outbox is self._outbox and self._stream is not None:
            try:
                outbox.send(link.Cancel(call_id=call_id))
            except trio.BrokenResourceError:
                # The reader notices the broken connection too and reports
                # it; the peer drops the request with the connection.
                self._scope.cancel()

    async def _run(self, stream, outbox):
        reason = "closed by the peer"
        self._is_closing = False
        try:
            async with trio.open_nursery() as nursery:
                self._scope = nursery.cancel_scope
                nursery.start_soon(outbox.run)
                nursery.start_soon(self._watch, outbox, nursery.cancel_scope)
                await self._read(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as group:
            reason = str(group.exceptions[0])
        except* errors.MalformedFrameError as group:
            reason = str(group.exceptions[0])
        except* Exception as group:
            # A fault of this program must not end the node.
            eliot.write_traceback()
            reason = f"a fault of this node: {group.exceptions[0]!r}"
        finally:
            stream.close()
            self._stream = None
            self._outbox = None
            calls = list(self._calls_by_id.values())
            self._calls_by_id.clear()
            for call in calls:
                error = errors.OutcomeUnknownError(
                    f"the connection to the node at {self.address} was lost "
                    f"with the request in flight: {reason}"
                )
                error.is_reset = True
                call.error = error
                call.event.set()
            if not self._is_closing:
                self._on_state(self.address, False, reason)

    async def _read(self, stream):
        reader = frames.FrameReader(stream=stream)
        while True:
            message = await reader.read()
            if message is None:
                return
            self._last_received = trio.current_time()
            load = getattr(message, "load", None)
            if load is not None:
                self._on_load(self.address, load)
                self._on_position(self.address, load)
            call = self._calls_by_id.get(getattr(message, "call_id", None))
            if call is not None:
                call.reply = message
                call.event.set()

    async def _watch(self, outbox, scope):
        """Ping while calls wait; give up a silent or unused connection."""
        pinged_at = None
        unheard_seconds = 0.0
        self._is_doubted = False
        while True:
            if pinged_at is None and not self._calls_by_id:
                if await self._is_unused():
                    self._is_closing = True
                    scope.cancel()
                    return
            due = trio.current_time() + self._watch_seconds
            await trio.sleep_until(due)
            now = trio.current_time()
            # While this node had no processor time, it could not hear.
            unheard_seconds += now - due
            if pinged_at is not None and self._last_received >= pinged_at:
                pinged_at = None
                if self._is_doubted:
                    self._is_doubted = False
                    self._on_state(self.address, True, "answers again")
            if pinged_at is None:
                silence = now - self._last_received
                if self._calls_by_id and silence > self._watch_seconds:
                    pinged_at = now
                    unheard_seconds = 0.0
                    self._send_ping(outbox, now)
            elif now - pinged_at - unheard_seconds > SILENCE_SECONDS:
                decisions.record(
                    "peer_silent",
                    peer=self.address,
                    silent_s=round(now - self._last_received, 3),
                    pending=len(self._calls_by_id),
                )
                scope.cancel()
                return
            elif (
                now - pinged_at - unheard_seconds > DOUBT_SECONDS
                and not self._is_doubted
            ):
                self._is_doubted = True
                self._on_state(self.address, False, SILENT)

    async def _is_unused(self):
        """Wait for a call; tell whether none came for ``IDLE_SECONDS``.

        A node has connections to many peers, most of them without calls.
        """
        self._has_calls = trio.Event()
        with trio.move_on_after(IDLE_SECONDS):
            await self._has_calls.wait()
            return False
        return not self._calls_by_id

    def _send_ping(self, outbox, now):
        copies = self._read_copies()
        outbox.send(
            link.Ping(
                position=copies.upstreams.position,
                sent_at=now,
                digest=copies.upstreams.digest,
                configuration_position=copies.configuration.position,
                configuration_digest=copies.configuration.digest,
            )
        )

    def ping(self):
        """Ask the peer for its load and revision, if it is connected."""
        if self._stream is not None:
            try:
                self._send_ping(self._outbox, trio.current_time())
            except trio.BrokenResourceError:
                self._scope.cancel()

    def close(self):
        """Close the connection."""
        if self._scope is not None:
            self._scope.cancel()
