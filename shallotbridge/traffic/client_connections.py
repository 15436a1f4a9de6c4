"""Serves client connections and runs pipelined requests concurrently."""

import contextlib
import functools
import math

import trio

from ..core import body_buffer
from ..core import errors
from ..core import http1
from ..core import http1_encoding
from ..core import memory_account
from ..core import turns

# Maximum concurrent requests of one connection. At this number, reading pauses
# until all of them are answered.
MAXIMUM_PIPELINED_REQUESTS = 32
# A client that does not read its response is disconnected after this time.
SEND_TIMEOUT_SECONDS = 10.0
# Clients reuse a connection up to its idle timeout. The server closes it this
# much later, so that it does not close one that a client is about to use.
IDLE_MARGIN_SECONDS = 1.0
# Memory of an answer besides its body.
ANSWER_OVERHEAD_BYTES = 1024
# Idle timeout while draining. It is not 0 because a request may be in transit.
DRAIN_IDLE_TIMEOUT_SECONDS = 1.5


class ClientConnections:
    """Serves client connections.

    Parameters
    ----------
    handle_request : callable
        ``await handle_request(request)`` returns the response. The call is
        cancelled when the client closes the connection.
    handle_framing_error : callable
        ``handle_framing_error(error)`` returns the response to a request that
        raised a ``FramingError``, or whose answer raised an
        ``AnswerMemoryError``.
    read_limits : callable
        Returns the current ``model.ClientLimits``.
    account : memory_account.MemoryAccount, optional
        Counts and bounds the connections and what they hold.
    """

    def __init__(
        self,
        *,
        handle_request,
        handle_framing_error,
        read_limits,
        account=None,
    ):
        self._handle_request = handle_request
        self._handle_framing_error = handle_framing_error
        self._read_limits = read_limits
        self._account = account or memory_account.MemoryAccount()
        self._turns = turns.TurnQueue()
        self._connections = set()
        self._is_draining = False
        self.in_flight_count = 0
        self.connection_count = 0

    async def handle(self, stream):
        """Serve a connection until it is closed by either side."""
        connection = self._open(stream)
        if connection is None:
            stream.close()
            return
        self.connection_count += 1
        self._connections.add(connection)
        try:
            async with trio.open_nursery() as nursery:
                await self._read_requests(connection, nursery)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The connection was closed, so there is no one to answer.
            pass
        finally:
            self.connection_count -= 1
            self._connections.discard(connection)
            self._account.close_connection(connection.holder)
            # Otherwise the connection and its holder refer to each other.
            connection.holder.close = None
            stream.close()

    def _open(self, stream):
        """Return the state of a connection, or None if there are too many."""
        limits = self._read_limits()
        holder = memory_account.Holder(account=self._account)
        connection = _Connection(
            stream=stream,
            holder=holder,
            reader=http1.RequestReader(
                stream=stream,
                maximum_head_bytes=limits.maximum_head_bytes,
                maximum_body_bytes=limits.maximum_body_bytes,
                head_timeout_seconds=limits.head_timeout_seconds,
                holder=holder,
                turns=self._turns,
            ),
        )
        holder.close = functools.partial(self._close_at_once, connection)
        connection.update()
        if self._account.open_connection(holder, trio.current_time()):
            return connection
        holder.close = None
        return None

    def _close_at_once(self, connection):
        """Close a connection to free its memory.

        A request that was not received completely is refused as not run.
        """
        try:
            if connection.is_reading and not connection.in_flight:
                response = self._handle_framing_error(
                    errors.RequestMemoryError(
                        "the rest of the request did not arrive while memory "
                        "was short; it has not run"
                    )
                )
                connection.stream.send_nowait(
                    http1_encoding.encode_response(
                        response, is_persistent=False
                    )
                )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client is gone.
            pass
        connection.stream.close()

    async def _read_requests(self, connection, nursery):
        """Read requests and start a task for each until the connection ends.

        Reading continues while requests are served, so that a disconnect of
        the client is detected at once.
        """
        reader = connection.reader
        holder = connection.holder
        previous_done = trio.Event()
        previous_done.set()
        while True:
            if not await self._wait_for_request(connection):
                # The client has disconnected, or the connection was idle.
                nursery.cancel_scope.cancel()
                return
            connection.is_reading = True
            connection.update()
            # The connection may be older than the node's configuration.
            limits = self._read_limits()
            reader.set_limits(
                maximum_head_bytes=limits.maximum_head_bytes,
                maximum_body_bytes=limits.maximum_body_bytes,
                head_timeout_seconds=limits.head_timeout_seconds,
            )
            reader.before_continue = previous_done.wait
            try:
                request = await reader.read()
            except errors.FramingError as error:
                connection.is_reading = False
                await self._answer_framing_error(
                    error, connection, previous_done
                )
                nursery.cancel_scope.cancel()
                return
            connection.is_reading = False
            is_last = not reader.is_persistent or self._is_draining
            done = trio.Event()
            connection.in_flight += 1
            holder.has_served = True
            connection.update()
            nursery.start_soon(
                self._serve_request,
                request,
                connection,
                previous_done,
                done,
                is_last,
                reader.message_bytes,
            )
            # The task alone refers to the body, and frees it when it ends.
            request = None
            previous_done = done
            if is_last:
                await self._wait_for_last_answer(
                    reader, previous_done, nursery
                )
                await http1.discard_input(connection.stream)
                return
            if connection.in_flight >= MAXIMUM_PIPELINED_REQUESTS:
                await previous_done.wait()

    async def _answer_framing_error(self, error, connection, previous_done):
        data = http1_encoding.encode_response(
            self._handle_framing_error(error), is_persistent=False
        )
        # The error refers to what was read, and the client may take its time.
        errors.release_frames(error)
        if isinstance(error, errors.RequestMemoryError):
            error.headers = ()
        await previous_done.wait()
        with trio.move_on_after(SEND_TIMEOUT_SECONDS):
            await connection.stream.send_all(data)
            # Most clients read only after they have sent their body.
            await http1.discard_input(
                connection.stream, self._read_limits().maximum_body_bytes
            )

    async def _wait_for_request(self, connection):
        with trio.CancelScope() as scope:
            connection.idle_scope = scope
            self._update_idle_deadline(connection)
            try:
                return await connection.reader.wait_request()
            finally:
                connection.idle_scope = None
        return False

    def _update_idle_deadline(self, connection):
        """Set the idle timeout if no request is in flight, or remove it."""
        if connection.idle_scope is None:
            return
        if connection.in_flight:
            connection.idle_scope.deadline = math.inf
            return
        seconds = (
            self._read_limits().idle_timeout_seconds + IDLE_MARGIN_SECONDS
        )
        if self._is_draining:
            seconds = DRAIN_IDLE_TIMEOUT_SECONDS
        connection.idle_scope.deadline = trio.current_time() + seconds

    async def _wait_for_last_answer(self, reader, done, nursery):
        """Wait until the last response is sent or the client disconnects."""

        async def watch_client():
            if await reader.wait_request():
                # Bytes after the last request are not read as a request.
                await done.wait()
            else:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as watch_nursery:
            watch_nursery.start_soon(watch_client)
            await done.wait()
            watch_nursery.cancel_scope.cancel()

    async def _serve_request(
        self,
        request,
        connection,
        previous_done,
        done,
        is_last,
        message_bytes,
    ):
        self.in_flight_count += 1
        holder = connection.holder
        held_bytes = message_bytes
        unsent_bytes = 0
        try:
            response = await self._handle_request(request)
            method = request.method
            request = None
            if not previous_done.is_set():
                response = self._check_room(response, holder)
            # A large body is counted where it was received.
            size = _small_bytes(response)
            if len(response.body) > body_buffer.LARGE_BODY_BYTES:
                unsent_bytes = len(response.body)
                holder.unsent_bytes += unsent_bytes
            holder.hold(size)
            held_bytes += size
            await previous_done.wait()
            await self._send_response(response, method, connection, is_last)
        except trio.TooSlowError as error:
            raise trio.BrokenResourceError(
                "the client did not read the response for "
                f"{SEND_TIMEOUT_SECONDS} s"
            ) from error
        finally:
            self.in_flight_count -= 1
            holder.release(held_bytes)
            holder.unsent_bytes -= unsent_bytes
            connection.in_flight -= 1
            connection.update()
            self._update_idle_deadline(connection)
            done.set()

    def _check_room(self, response, holder):
        """Return an answer that must wait for others, or why it is lost.

        A client that does not read, or whose first request takes long, would
        make the node hold all its other answers.
        """
        size = _small_bytes(response)
        account = self._account
        if holder.can_hold(size):
            return response
        account.close_stalled(trio.current_time(), size)
        if holder.can_hold(size):
            return response
        account.refused_count += 1
        return self._handle_framing_error(
            errors.AnswerMemoryError(
                f"no memory for {size} bytes of the response until those to "
                "earlier requests of its connection are sent"
            )
        )

    async def _send_response(self, response, method, connection, is_last):
        head, body = http1_encoding.encode_response_parts(
            response, method=method, is_persistent=not is_last
        )
        if len(body) > body_buffer.LARGE_BODY_BYTES:
            parts = (head, body)
        else:
            parts = (head + body,)
        stream = connection.stream
        for data in parts:
            sent = stream.send_nowait(data)
            if sent < len(data):
                with trio.fail_after(SEND_TIMEOUT_SECONDS):
                    await self._send_rest(connection, memoryview(data)[sent:])

    async def _send_rest(self, connection, data):
        """Send what the socket does not accept at once."""
        holder = connection.holder
        connection.blocked_sends += 1
        holder.progressed_at = trio.current_time()
        connection.update()
        try:
            with connection.unsent():
                while data:
                    sent = await connection.stream.send_some(data)
                    holder.on_progress(sent, trio.current_time())
                    data = data[sent:]
        finally:
            connection.blocked_sends -= 1
            connection.update()

    def begin_drain(self):
        """Close each connection after its next response, or soon if idle."""
        self._is_draining = True
        for connection in self._connections:
            self._update_idle_deadline(connection)


def _small_bytes(response):
    """Return what an answer holds besides a large body."""
    size = len(response.body)
    if size > body_buffer.LARGE_BODY_BYTES:
        size = 0
    return size + ANSWER_OVERHEAD_BYTES


class _Connection:
    """State of a client connection.

    Attributes
    ----------
    in_flight : int
        Number of requests that were read and not answered yet.
    is_reading : bool
        Whether a request was received in part.
    blocked_sends : int
        Number of answers that wait until the client reads.
    idle_scope : trio.CancelScope or None
        Cancel scope of the wait for the next request.
    """

    __slots__ = (
        "stream",
        "holder",
        "reader",
        "in_flight",
        "is_reading",
        "blocked_sends",
        "idle_scope",
    )

    def __init__(self, *, stream, holder, reader):
        self.stream = stream
        self.holder = holder
        self.reader = reader
        self.in_flight = 0
        self.is_reading = False
        self.blocked_sends = 0
        self.idle_scope = None

    def update(self):
        """Tell the holder whether the node waits for the client."""
        self.holder.is_waiting_for_client = bool(
            self.is_reading or self.blocked_sends or not self.in_flight
        )

    @contextlib.contextmanager
    def unsent(self):
        """Count the socket's buffer while the client does not read it."""
        account = self.holder.account
        account.add(memory_account.UNSENT_BYTES)
        try:
            yield
        finally:
            account.add(-memory_account.UNSENT_BYTES)
