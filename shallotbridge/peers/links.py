"""Client connections of a node to the other nodes."""

import itertools
import math

import eliot
import trio

from .._generated import link
from ..core import decisions
from ..core import errors
from ..core import memory_account
from . import frames

# Interval of liveness checks while requests are in flight. A peer that sent
# nothing for the same time is pinged.
KEEPALIVE_SECONDS = 0.1
# The same for a connection that only transfers large items. A long poll is in
# flight on it most of the time, and frequent pings would cost more than the
# poll.
BULK_KEEPALIVE_SECONDS = 0.2
# A peer that does not answer a ping within this time is suspected and gets no
# new requests. The latency between nodes is some ms. A lost packet, which is
# retransmitted after about 0.2 s, diverts requests only briefly.
SUSPICION_TIMEOUT_SECONDS = 0.15
# A peer that sent something within this time responds, without a ping.
RECENTLY_HEARD_SECONDS = 0.1
# Interval of the checks whether a ping was answered.
PING_CHECK_SECONDS = 0.1
# A connection is closed if the peer sends nothing for this long after a ping.
# TCP retransmits a lost packet within about 0.2 to 0.4 s.
PEER_TIMEOUT_SECONDS = 1.2
# The latency between nodes is at most some ms. An attempt whose SYN packet is
# lost counts as failed: TCP retransmits it only after 1 s.
CONNECT_TIMEOUT_SECONDS = 0.15
# A connection without calls is closed after this time.
IDLE_TIMEOUT_SECONDS = 10.0
# Reasons of a lost connection that suggest a network partition: if only the
# peer's process had ended, its host would refuse or reset the connection.
PING_TIMEOUT_REASON = "silent"
CONNECT_TIMEOUT_REASON = "no connection in time"


def silence_detection_seconds(keepalive_seconds, silence_seconds):
    """Return the longest time from a peer's last byte to ``on_silent``.

    A ping is sent at the second check after that byte at the latest.

    Examples
    --------
    >>> round(silence_detection_seconds(0.1, 0.4), 3)
    0.7
    """
    return 2 * keepalive_seconds + silence_seconds + PING_CHECK_SECONDS


class _PendingCall:
    __slots__ = ("reply", "completed", "error")

    def __init__(self):
        self.reply = None
        self.error = None
        self.completed = trio.Event()


class PeerLink:
    """A connection to one node, opened on demand and reopened after a loss.

    Parameters
    ----------
    open_stream : callable
        ``await open_stream(address, port)`` returns the stream of a new
        connection.
    address : str
    port : int
    nursery : trio.Nursery
        Runs the tasks of the connection.
    read_mirror_states : callable
        Returns the ``mirror.MirrorStates`` of this node.
    on_position : callable
        ``on_position(address, load)`` is called with each Load of the peer,
        which has the revisions of its mirrors.
    on_load_report : callable
        ``on_load_report(address, load)`` is called with each Load of the peer.
    on_crash_records : callable
        ``on_crash_records(link, pong)`` is called with each Pong of a peer
        whose crash records differ.
    on_reachability_changed : callable
        ``on_reachability_changed(address, is_reachable, reason)`` is called
        when the peer becomes reachable or unreachable.
    on_silent : callable
        ``on_silent(address)`` is called when the peer, with requests in
        flight, has sent nothing for ``silence_seconds`` after a ping.
    silence_seconds : float
    keepalive_seconds : float
        Interval of liveness checks, and the time without received bytes after
        which a peer with requests in flight is pinged.
    account : memory_account.MemoryAccount, optional
        Counts and bounds what the connection holds.
    """

    def __init__(
        self,
        *,
        open_stream,
        address,
        port,
        nursery,
        read_mirror_states,
        on_position,
        on_load_report,
        on_reachability_changed,
        on_crash_records=lambda link, pong: None,
        on_silent=lambda address: None,
        silence_seconds=PEER_TIMEOUT_SECONDS,
        keepalive_seconds=KEEPALIVE_SECONDS,
        account=None,
    ):
        self._holder = memory_account.Holder(
            account=account or memory_account.MemoryAccount()
        )
        self.address = address
        self._open_stream = open_stream
        self._port = port
        self._nursery = nursery
        self._read_mirror_states = read_mirror_states
        self._on_position = on_position
        self._on_load_report = on_load_report
        self._on_reachability_changed = on_reachability_changed
        self._on_crash_records = on_crash_records
        self._on_silent = on_silent
        self._silence_seconds = silence_seconds
        self._keepalive_seconds = keepalive_seconds
        self._call_ids = itertools.count(1)
        self._calls_by_id = {}
        self._stream = None
        self._writer = None
        self._scope = None
        self._connect_finished = None
        self._call_started = trio.Event()
        self._is_suspected = False
        # Whether this node closes the connection because it is idle.
        self._is_closing_idle = False
        self._last_received_at = 0.0
        # Unlike the time above, not set by a new connection.
        self._heard_at = -math.inf
        self._heard = trio.Event()
        self._last_used_at = 0.0

    @property
    def is_responsive(self):
        """Whether the connection is open and the peer answers its pings."""
        return self._stream is not None and not self._is_suspected

    def has_received_since(self, time):
        """Return whether the peer has sent anything after a time."""
        return self._stream is not None and self._last_received_at > time

    async def responds(self):
        """Ping the peer; return whether it answers.

        Sends no ping if the peer has sent something in the last moments.
        """
        started_at = trio.current_time()
        if self._heard_at > started_at - RECENTLY_HEARD_SECONDS:
            return True
        try:
            await self.connect()
        except errors.UpstreamUnreachableError:
            return False
        self.ping()
        with trio.move_on_after(SUSPICION_TIMEOUT_SECONDS):
            while self._heard_at < started_at:
                await self._heard.wait()
            return True
        return False

    @property
    def pending_count(self):
        """Number of requests that wait for the peer's reply."""
        return len(self._calls_by_id)

    def next_call_id(self):
        """Return a new id for a message that expects a reply."""
        return next(self._call_ids)

    async def connect(self):
        """Open the connection if it is not open.

        Raises
        ------
        errors.UpstreamUnreachableError
        """
        while self._stream is None:
            if self._connect_finished is not None:
                await self._connect_finished.wait()
                if self._stream is None:
                    raise self._unreachable_error(
                        "the connection attempt failed"
                    )
                return
            self._connect_finished = trio.Event()
            try:
                await self._connect()
            finally:
                self._connect_finished.set()
                self._connect_finished = None

    async def _connect(self):
        stream = None
        reason = CONNECT_TIMEOUT_REASON
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                stream = await self._open_stream(self.address, self._port)
        except OSError as error:
            reason = str(error)
        if stream is None:
            self._on_reachability_changed(self.address, False, reason)
            raise self._unreachable_error(reason)
        self._stream = stream
        self._writer = frames.FrameWriter(
            stream=stream, holder=self._holder, on_sent=self._on_bytes_sent
        )
        self._last_received_at = trio.current_time()
        self._last_used_at = self._last_received_at
        self._nursery.start_soon(self._run_connection, stream, self._writer)
        self._on_reachability_changed(self.address, True, "connected")

    def _unreachable_error(self, reason):
        return errors.UpstreamUnreachableError(
            f"cannot connect to the node at {self.address}:{self._port}: "
            f"{reason}"
        )

    async def exchange(self, message):
        """Send a message with a call id and return the peer's reply.

        If the calling task is cancelled, a Cancel is sent to the peer.

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
        self._call_started.set()
        self._last_used_at = trio.current_time()
        writer = self._writer
        try:
            try:
                writer.send(message)
            except trio.BrokenResourceError as error:
                self._scope.cancel()
                raise self._unreachable_error(str(error)) from error
            try:
                await call.completed.wait()
            except trio.Cancelled:
                self._cancel_call(message.call_id, writer)
                raise
        finally:
            self._calls_by_id.pop(message.call_id, None)
        if call.error is not None:
            raise call.error
        return call.reply

    def _cancel_call(self, call_id, writer):
        if writer is self._writer and self._stream is not None:
            try:
                writer.send(link.Cancel(call_id=call_id))
            except trio.BrokenResourceError:
                # The receiving task detects and reports the broken
                # connection; the peer drops the request along with it.
                self._scope.cancel()

    async def _run_connection(self, stream, writer):
        reason = "closed by the peer"
        self._is_closing_idle = False
        try:
            async with trio.open_nursery() as nursery:
                self._scope = nursery.cancel_scope
                nursery.start_soon(writer.run)
                nursery.start_soon(
                    self._monitor_liveness, writer, nursery.cancel_scope
                )
                await self._receive(stream)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError) as group:
            reason = str(group.exceptions[0])
        except* errors.MalformedFrameError as group:
            reason = str(group.exceptions[0])
        except* Exception as group:
            # An internal error must not end the node.
            eliot.write_traceback()
            reason = f"internal error of this node: {group.exceptions[0]!r}"
        finally:
            stream.close()
            writer.close()
            self._stream = None
            self._writer = None
            calls = list(self._calls_by_id.values())
            self._calls_by_id.clear()
            for call in calls:
                error = errors.OutcomeUnknownError(
                    f"lost the connection to the node at {self.address} "
                    f"with the request in flight: {reason}"
                )
                error.is_connection_lost = True
                call.error = error
                call.completed.set()
            if not self._is_closing_idle:
                self._on_reachability_changed(self.address, False, reason)

    async def _receive(self, stream):
        reader = frames.FrameReader(
            stream=stream,
            on_received=self._on_bytes_received,
            holder=self._holder,
        )
        while True:
            message = await reader.read()
            if message is None:
                return
            if type(message) is frames.SkippedMessage:
                self._on_skipped(message)
                continue
            load = getattr(message, "load", None)
            if load is not None:
                self._on_load_report(self.address, load)
                self._on_position(self.address, load)
            if type(message) is link.Pong and message.crash_digest >= 0:
                self._on_crash_records(self, message)
            call = self._calls_by_id.get(getattr(message, "call_id", None))
            if call is not None:
                call.reply = message
                call.completed.set()
            # The caller alone refers to the body.
            message = call = None

    def _on_skipped(self, message):
        call = self._calls_by_id.get(message.call_id)
        if call is not None:
            call.error = errors.AnswerMemoryError(
                f"no memory for {message.size} bytes of the response"
            )
            call.completed.set()

    def _on_bytes_sent(self):
        # The peer acknowledges the parts of a large frame, but its answer to
        # a ping can come only after the whole frame.
        self._last_received_at = trio.current_time()

    def _on_bytes_received(self):
        self._heard_at = self._last_received_at = trio.current_time()
        self._heard.set()
        self._heard = trio.Event()

    async def _monitor_liveness(self, writer, scope):
        """Ping during calls; close an unresponsive or idle connection."""
        pinged_at = None
        stalled_seconds = 0.0
        is_silent = False
        self._is_suspected = False
        while True:
            if pinged_at is None and not self._calls_by_id:
                if await self._stays_idle():
                    self._is_closing_idle = True
                    scope.cancel()
                    return
            due = trio.current_time() + (
                self._keepalive_seconds
                if pinged_at is None
                else PING_CHECK_SECONDS
            )
            await trio.sleep_until(due)
            now = trio.current_time()
            # While this process had no CPU time it could not receive, so the
            # delay does not count towards the peer's timeouts.
            stalled_seconds += now - due
            if pinged_at is not None and self._last_received_at >= pinged_at:
                pinged_at = None
                is_silent = False
                if self._is_suspected:
                    self._is_suspected = False
                    self._on_reachability_changed(
                        self.address, True, "answers again"
                    )
            if pinged_at is None:
                quiet_seconds = now - self._last_received_at
                if (
                    self._calls_by_id
                    and quiet_seconds > self._keepalive_seconds
                ):
                    pinged_at = now
                    stalled_seconds = 0.0
                    self._send_ping(writer, now)
            elif now - pinged_at - stalled_seconds > PEER_TIMEOUT_SECONDS:
                decisions.record(
                    "peer_silent",
                    peer=self.address,
                    silent_s=round(now - self._last_received_at, 3),
                    pending=len(self._calls_by_id),
                )
                scope.cancel()
                return
            elif (
                now - pinged_at - stalled_seconds > self._silence_seconds
                and not is_silent
            ):
                is_silent = True
                self._on_silent(self.address)
            elif (
                now - pinged_at - stalled_seconds > SUSPICION_TIMEOUT_SECONDS
                and not self._is_suspected
            ):
                self._is_suspected = True
                self._on_reachability_changed(
                    self.address, False, PING_TIMEOUT_REASON
                )

    async def _stays_idle(self):
        """Return whether no call starts within ``IDLE_TIMEOUT_SECONDS``.

        Waits on an event instead of a periodic check, because most of a
        node's many connections have no calls.
        """
        self._call_started = trio.Event()
        with trio.move_on_after(IDLE_TIMEOUT_SECONDS):
            await self._call_started.wait()
            return False
        return not self._calls_by_id

    def _send_ping(self, writer, now, **gossip):
        states = self._read_mirror_states()
        writer.send(
            link.Ping(
                position=states.upstreams.position,
                sent_at=now,
                digest=states.upstreams.digest,
                configuration_position=states.configuration.position,
                configuration_digest=states.configuration.digest,
                **gossip,
            )
        )

    def notify(self, message):
        """Send a message without a reply if the peer is connected."""
        if self._stream is not None:
            try:
                self._writer.send(message)
            except trio.BrokenResourceError:
                self._scope.cancel()

    def ping(self):
        """Request the peer's load and revisions if it is connected."""
        self._ping()

    def compare_crash_records(self, digest):
        """Ping the peer, which replies with its crash records if they differ.

        Parameters
        ----------
        digest : int
            Of the crash records of this node.
        """
        self._ping(crash_digest=digest)

    def send_crash_records(self, records):
        """Send crash records, with a ping, if the peer is connected."""
        self._ping(crash_records=records)

    def _ping(self, **gossip):
        if self._stream is not None:
            try:
                self._send_ping(self._writer, trio.current_time(), **gossip)
            except trio.BrokenResourceError:
                self._scope.cancel()

    def close(self):
        """Close the connection."""
        if self._scope is not None:
            self._scope.cancel()
