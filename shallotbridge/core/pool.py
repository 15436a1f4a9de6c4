"""Connections to one server, each with one request at a time.

Nothing is ever resent after a byte of the request was written, because
the server may have run it.
"""

import collections

import trio

from . import errors
from . import http1
from . import http1_encoding

# Common servers close idle connections after 5 s. Closing earlier on this
# side keeps a request from being written to a connection that the server
# closes at that moment, which ends in "outcome unknown".
IDLE_SECONDS = 4.0
# A host behind a partition does not answer at all. It must count as
# unreachable before the shortest deadlines (250 ms) pass, or requests would
# choose it again and again; a connection takes 1 to 100 ms otherwise.
CONNECT_SECONDS = 0.1


class IdleCounter:
    """Idle connections of all pools that share it, with their bound."""

    def __init__(self, *, maximum):
        self.maximum = maximum
        self.count = 0


class _Connection:
    __slots__ = ("stream", "reader", "idle_since")

    def __init__(self, stream):
        self.stream = stream
        self.reader = http1.ResponseReader(stream=stream)
        self.idle_since = 0.0


class ConnectionPool:
    """A bounded number of connections to one address and port.

    Parameters
    ----------
    open_stream : callable
        ``await open_stream(address, port)`` returns a stream or raises
        ``OSError``.
    address : str
    port : int
    maximum : int
        Connections that may be open at the same time.
    id_header : str
        Header in which a response echoes the request's id.
    is_id_required : bool
        Whether a response without that header is refused.
    idle_counter : IdleCounter, optional
        Shared with other pools; bounds the idle connections of all.
    connect_seconds : float
        Time after which a server that does not answer is unreachable.
    """

    def __init__(
        self,
        *,
        open_stream,
        address,
        port,
        maximum,
        id_header="x-request-id",
        is_id_required=False,
        idle_counter=None,
        connect_seconds=CONNECT_SECONDS,
    ):
        self._open_stream = open_stream
        self.address = address
        self.port = port
        self._id_header = id_header
        self._is_id_required = is_id_required
        self._idle_counter = idle_counter or IdleCounter(maximum=maximum)
        self._connect_seconds = connect_seconds
        self._idle = collections.deque()
        self._places = trio.Semaphore(maximum, max_value=maximum)
        self._is_closed = False
        self.last_used = 0.0
        self.in_use = 0

    @property
    def idle_count(self):
        """Number of idle connections."""
        return len(self._idle)

    async def exchange(self, request, deadline):
        """Send a request and return the whole response.

        Parameters
        ----------
        request : model.Request
        deadline : float
            Time on trio's clock, seconds. It is checked immediately before
            the first byte is written.

        Returns
        -------
        model.Response

        Raises
        ------
        errors.DeadlineBeforeSendError, errors.UpstreamUnreachableError
            The server received no byte of the request.
        errors.DeadlineAfterSendError, errors.OutcomeUnknownError
            The request may have run. ``is_connection_lost`` tells whether the
            connection was lost while the request was in flight.
        errors.AnswerMismatchError, errors.AnswerTooLargeError
            A response arrived but cannot be accepted.
        """
        data = http1_encoding.encode_request(request)
        progress = _Progress()
        self.in_use += 1
        try:
            with trio.CancelScope(deadline=deadline):
                await self._acquire_place()
                try:
                    return await self._exchange(
                        request, data, deadline, progress
                    )
                finally:
                    self._places.release()
        finally:
            self.in_use -= 1
            self.last_used = trio.current_time()
        if progress.is_started:
            raise errors.DeadlineAfterSendError(
                f"no response from {self.address}:{self.port} before the "
                "deadline"
            )
        raise self._deadline_before_send()

    def _deadline_before_send(self):
        return errors.DeadlineBeforeSendError(
            "the deadline passed before the request was sent to "
            f"{self.address}:{self.port}"
        )

    async def _acquire_place(self):
        try:
            self._places.acquire_nowait()
        except trio.WouldBlock:
            await self._places.acquire()

    async def _exchange(self, request, data, deadline, progress):
        while True:
            connection = await self._take_idle()
            is_reused = connection is not None
            if not is_reused:
                connection = await self._connect()
            is_kept = False
            try:
                if trio.current_time() >= deadline:
                    is_kept = True
                    raise self._deadline_before_send()
                try:
                    await _send(connection.stream, data, progress)
                except (
                    trio.BrokenResourceError,
                    trio.ClosedResourceError,
                    OSError,
                ) as error:
                    if progress.is_started:
                        raise self._lost(error) from error
                    if is_reused:
                        continue
                    raise errors.UpstreamUnreachableError(
                        f"{self.address}:{self.port} closed the connection "
                        "before the request was sent"
                    ) from error
                response = await self._receive(request, connection)
                is_kept = connection.reader.is_persistent
                return response
            finally:
                counter = self._idle_counter
                if (
                    is_kept
                    and not self._is_closed
                    and counter.count < counter.maximum
                ):
                    connection.idle_since = trio.current_time()
                    self._idle.append(connection)
                    counter.count += 1
                else:
                    await trio.aclose_forcefully(connection.stream)

    async def _receive(self, request, connection):
        try:
            response = await connection.reader.read(request.method)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            OSError,
        ) as error:
            raise self._lost(error) from error
        expected = request.header(self._id_header)
        found = response.header(self._id_header)
        if found != expected and (found is not None or self._is_id_required):
            raise errors.AnswerMismatchError(
                f"the response of {self.address}:{self.port} carries "
                f"{self._id_header} {found!r}; expected {expected!r}"
            )
        return response

    def _lost(self, cause):
        error = errors.OutcomeUnknownError(
            f"the connection to {self.address}:{self.port} was lost with "
            f"the request in flight: {cause or type(cause).__name__}"
        )
        error.is_connection_lost = True
        return error

    async def _take_idle(self):
        """Return the idle connection used last, or None.

        Connections that are too old, closed by the server, or on which
        unexpected bytes arrived are closed.
        """
        oldest = trio.current_time() - IDLE_SECONDS
        while self._idle:
            connection = self._idle.pop()
            self._idle_counter.count -= 1
            if connection.idle_since > oldest and not _is_readable(
                connection.stream
            ):
                return connection
            await trio.aclose_forcefully(connection.stream)
        return None

    async def _connect(self):
        stream = None
        try:
            with trio.move_on_after(self._connect_seconds):
                stream = await self._open_stream(self.address, self.port)
        except OSError as error:
            raise errors.UpstreamUnreachableError(
                f"no connection to {self.address}:{self.port}: {error}"
            ) from error
        if stream is None:
            raise errors.UpstreamUnreachableError(
                f"no connection to {self.address}:{self.port} within "
                f"{self._connect_seconds} s"
            )
        return _Connection(stream)

    async def close_idle(self):
        """Close the idle connections that are older than the idle age."""
        oldest = trio.current_time() - IDLE_SECONDS
        while self._idle and self._idle[0].idle_since <= oldest:
            connection = self._idle.popleft()
            self._idle_counter.count -= 1
            await trio.aclose_forcefully(connection.stream)

    async def close(self):
        """Close idle connections now and others when they become idle."""
        self._is_closed = True
        while self._idle:
            connection = self._idle.popleft()
            self._idle_counter.count -= 1
            await trio.aclose_forcefully(connection.stream)


class _Progress:
    """Whether a byte of the request may have reached the server."""

    __slots__ = ("is_started",)

    def __init__(self):
        self.is_started = False


def _is_readable(stream):
    """Tell whether an idle connection has bytes or its end to read."""
    is_readable = getattr(stream, "is_readable", None)
    return is_readable is not None and is_readable()


async def _send(stream, data, progress):
    """Write all bytes, recording whether any was accepted.

    A TCP stream tells that nothing was accepted, so that a connection that
    the server closed before the first byte does not make the outcome
    unknown.
    """
    send_some = getattr(stream, "send_some", None)
    if send_some is None:
        progress.is_started = True
        await stream.send_all(data)
        return
    sent = await send_some(data)
    progress.is_started = True
    if sent < len(data):
        await stream.send_all(memoryview(data)[sent:])
