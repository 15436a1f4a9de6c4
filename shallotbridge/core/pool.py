"""Pool of connections to one server, each with one request at a time.

A request is never resent after one of its bytes was written, because the
server may have run it.
"""

import collections

import trio

from . import errors
from . import http1
from . import http1_encoding

# Below the 5 s after which common servers close idle connections: a request
# written to a connection that the server is closing ends with an unknown
# outcome.
IDLE_TIMEOUT_SECONDS = 4.0
# A connection attempt to a host behind a partition gets no response. It must
# fail before the shortest deadlines (250 ms) pass, or requests would choose
# that host again and again. A connection to a reachable host takes 1 to
# 100 ms.
CONNECT_TIMEOUT_SECONDS = 0.1


class IdleConnectionLimit:
    """Number of idle connections of several pools, and its maximum."""

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
    """Pool of a bounded number of connections to one address and port.

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
        Header in which the server returns the id of the request.
    is_id_required : bool
        Whether a response without that header is rejected.
    idle_limit : IdleConnectionLimit, optional
        Shared with other pools to bound their idle connections together.
    connect_timeout_seconds : float
        Time limit of one connection attempt.

    Attributes
    ----------
    in_use : int
        Requests in progress, including those that wait for a connection.
    last_used : float
        Time on trio's clock when the last request ended.
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
        idle_limit=None,
        connect_timeout_seconds=CONNECT_TIMEOUT_SECONDS,
    ):
        self._open_stream = open_stream
        self.address = address
        self.port = port
        self._id_header = id_header
        self._is_id_required = is_id_required
        self._idle_limit = idle_limit or IdleConnectionLimit(maximum=maximum)
        self._connect_timeout_seconds = connect_timeout_seconds
        self._idle = collections.deque()
        self._permits = trio.Semaphore(maximum, max_value=maximum)
        self._is_closed = False
        self.last_used = 0.0
        self.in_use = 0

    @property
    def idle_count(self):
        """Number of idle connections."""
        return len(self._idle)

    async def exchange(self, request, deadline):
        """Send a request and return the complete response.

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
            The request may have run. ``is_connection_lost`` is true if the
            connection was lost while the request was in flight.
        errors.AnswerMismatchError, errors.AnswerTooLargeError
            A response arrived but is not valid for the request.
        """
        data = http1_encoding.encode_request(request)
        progress = _SendProgress()
        self.in_use += 1
        try:
            with trio.CancelScope(deadline=deadline):
                await self._acquire_permit()
                try:
                    return await self._exchange(
                        request, data, deadline, progress
                    )
                finally:
                    self._permits.release()
        finally:
            self.in_use -= 1
            self.last_used = trio.current_time()
        if progress.is_started:
            raise errors.DeadlineAfterSendError(
                f"no response from {self.address}:{self.port} before the "
                "deadline"
            )
        raise self._make_deadline_error()

    def _make_deadline_error(self):
        return errors.DeadlineBeforeSendError(
            "the deadline passed before the request was sent to "
            f"{self.address}:{self.port}"
        )

    async def _acquire_permit(self):
        try:
            self._permits.acquire_nowait()
        except trio.WouldBlock:
            await self._permits.acquire()

    async def _exchange(self, request, data, deadline, progress):
        while True:
            connection = await self._pop_idle()
            is_reused = connection is not None
            if not is_reused:
                connection = await self._connect()
            is_kept = False
            try:
                if trio.current_time() >= deadline:
                    is_kept = True
                    raise self._make_deadline_error()
                try:
                    await _send(connection.stream, data, progress)
                except (
                    trio.BrokenResourceError,
                    trio.ClosedResourceError,
                    OSError,
                ) as error:
                    if progress.is_started:
                        raise self._make_lost_error(error) from error
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
                idle_limit = self._idle_limit
                if (
                    is_kept
                    and not self._is_closed
                    and idle_limit.count < idle_limit.maximum
                ):
                    connection.idle_since = trio.current_time()
                    self._idle.append(connection)
                    idle_limit.count += 1
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
            raise self._make_lost_error(error) from error
        expected = request.header(self._id_header)
        found = response.header(self._id_header)
        if found != expected and (found is not None or self._is_id_required):
            raise errors.AnswerMismatchError(
                f"the response of {self.address}:{self.port} carries "
                f"{self._id_header} {found!r}; expected {expected!r}"
            )
        return response

    def _make_lost_error(self, cause):
        error = errors.OutcomeUnknownError(
            f"the connection to {self.address}:{self.port} was lost with "
            f"the request in flight: {cause or type(cause).__name__}"
        )
        error.is_connection_lost = True
        return error

    async def _pop_idle(self):
        """Return the most recently used idle connection, or None.

        Closes connections that exceeded the idle timeout, were closed by the
        server or received unexpected bytes.
        """
        idle_cutoff = trio.current_time() - IDLE_TIMEOUT_SECONDS
        while self._idle:
            connection = self._idle.pop()
            self._idle_limit.count -= 1
            if connection.idle_since > idle_cutoff and not _is_readable(
                connection.stream
            ):
                return connection
            await trio.aclose_forcefully(connection.stream)
        return None

    async def _connect(self):
        stream = None
        try:
            with trio.move_on_after(self._connect_timeout_seconds):
                stream = await self._open_stream(self.address, self.port)
        except OSError as error:
            raise errors.UpstreamUnreachableError(
                f"no connection to {self.address}:{self.port}: {error}"
            ) from error
        if stream is None:
            raise errors.UpstreamUnreachableError(
                f"no connection to {self.address}:{self.port} within "
                f"{self._connect_timeout_seconds} s"
            )
        return _Connection(stream)

    async def close_idle(self):
        """Close the connections that exceeded the idle timeout."""
        idle_cutoff = trio.current_time() - IDLE_TIMEOUT_SECONDS
        while self._idle and self._idle[0].idle_since <= idle_cutoff:
            connection = self._idle.popleft()
            self._idle_limit.count -= 1
            await trio.aclose_forcefully(connection.stream)

    async def close(self):
        """Close idle connections now and others after their request."""
        self._is_closed = True
        while self._idle:
            connection = self._idle.popleft()
            self._idle_limit.count -= 1
            await trio.aclose_forcefully(connection.stream)


class _SendProgress:
    """Whether a byte of the request may have reached the server."""

    __slots__ = ("is_started",)

    def __init__(self):
        self.is_started = False


def _is_readable(stream):
    """Return whether an idle connection has data or end of file to read."""
    is_readable = getattr(stream, "is_readable", None)
    return is_readable is not None and is_readable()


async def _send(stream, data, progress):
    """Write all bytes, recording whether the stream accepted any.

    ``send_some`` of a TCP stream raises if no byte was accepted. If the
    server closed the connection before the first byte, the outcome of the
    request is then not unknown.
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
