"""The connections of an owner node to its upstream."""

import collections

import trio

from ..core import errors
from ..core import http1
from ..core import http1_encoding
from ..core import model as messages

# An idle connection is used again up to this age, s, unless the upstream
# states a shorter time. It is well below the 10 s after which upstreams of
# the users' deployments close idle connections.
IDLE_SECONDS = 5.0
# A request that must not run twice uses only connections that were busy just
# before, because the upstream may close idle ones without notice.
FRESH_IDLE_SECONDS = 2.0
# Margin between the upstream's idle timeout and the last use, s.
IDLE_MARGIN_SECONDS = 0.5
CONNECT_SECONDS = 0.5
# Late answers to earlier requests that are skipped on one connection.
_MAXIMUM_STRAY_ANSWERS = 3


class _Connection:
    __slots__ = ("stream", "reader", "idle_since", "idle_seconds")

    def __init__(self, stream):
        self.stream = stream
        self.reader = http1.ResponseReader(
            stream=stream, accepts_unframed=True, accepts_extra_bytes=True
        )
        self.idle_since = 0.0
        self.idle_seconds = IDLE_SECONDS


class UpstreamClient:
    """Sends requests to one address, each on a connection of its own.

    Parameters
    ----------
    open_stream : callable
        ``await open_stream(address, port)``.
    address : str
    port : int
    names : model.HeaderNames
    """

    def __init__(self, *, open_stream, address, port, names):
        self._open_stream = open_stream
        self.address = address
        self.port = port
        self._names = names
        self._idle = collections.deque()
        self._is_closed = False
        self.connect_count = 0

    async def exchange(self, request, *, deadline_at, is_idempotent=True):
        """Send a request and return the upstream's whole answer.

        Parameters
        ----------
        request : core.model.Request
        deadline_at : float
            Time on trio's clock until which the answer is awaited.
        is_idempotent : bool
            Whether a connection that has been idle for long may be used.

        Returns
        -------
        core.model.Response

        Raises
        ------
        errors.UpstreamUnreachableError
            No byte was sent.
        errors.UpstreamRefusedError
            The upstream says that it did not run the request.
        errors.OutcomeUnknownError
            The connection broke or the answer is not whole.
        errors.DeadlineAfterSendError
            No answer by the deadline.
        """
        data = http1_encoding.encode_request(request)
        with trio.CancelScope(deadline=deadline_at):
            response = await self._exchange(request, data, is_idempotent)
            self._check(request, response)
            return response
        raise errors.DeadlineAfterSendError(
            f"{self.address}:{self.port} did not answer before the deadline"
        )

    def _check(self, request, response):
        names = self._names
        if response.header(names.not_run) is not None:
            error = errors.UpstreamRefusedError(
                f"status {response.status} from {self.address}:{self.port}",
                reason=str(response.status),
            )
            error.has_arrived = response.status != 421
            raise error
        if response.status == 421:
            raise errors.UpstreamRefusedError(
                f"{self.address}:{self.port} is another upstream than "
                f"{request.header(names.expected_instance)!r}",
                reason="421",
            )

    async def _exchange(self, request, data, is_idempotent):
        while True:
            connection = self._take_idle(is_idempotent)
            is_reused = connection is not None
            if not is_reused:
                connection = await self._connect()
            is_kept = False
            try:
                stream = connection.stream
                try:
                    sent = await stream.send_some(data)
                except trio.BrokenResourceError as error:
                    if is_reused:
                        continue
                    raise errors.UpstreamUnreachableError(
                        f"{self.address}:{self.port} closed the connection "
                        "before the request was sent"
                    ) from error
                response, is_kept = await self._finish(
                    request, data, sent, connection
                )
                return response
            finally:
                if is_kept and not self._is_closed:
                    connection.idle_since = trio.current_time()
                    self._idle.append(connection)
                else:
                    connection.stream.close()

    async def _finish(self, request, data, sent, connection):
        """Send the rest, read the answer; tell whether to keep it."""
        try:
            if sent < len(data):
                await connection.stream.send_all(memoryview(data)[sent:])
        except trio.BrokenResourceError as error:
            # An upstream may answer a long request before it is in.
            try:
                response = await self._read(request, connection)
            except errors.OutcomeUnknownError:
                raise self._lost(error) from error
            return response, False
        response = await self._read(request, connection)
        self._note_idle_timeout(connection, response)
        return response, connection.reader.is_persistent

    async def _read(self, request, connection):
        expected = request.header(self._names.request_id)
        for _ in range(_MAXIMUM_STRAY_ANSWERS + 1):
            try:
                response = await connection.reader.read(request.method)
            except (trio.BrokenResourceError, OSError) as error:
                raise self._lost(error) from error
            found = response.header(self._names.request_id)
            if found == expected:
                return response
            # A health check has no id; an answer with one is a late copy.
            if found is None:
                break
        raise errors.AnswerMismatchError(
            f"the answer of {self.address}:{self.port} is for "
            f"{found!r}; expected {expected!r}"
        )

    def _lost(self, cause):
        error = errors.OutcomeUnknownError(
            f"the connection to {self.address}:{self.port} was lost with "
            f"the request in flight: {cause}"
        )
        error.is_reset = True
        return error

    def _note_idle_timeout(self, connection, response):
        value = response.header("keep-alive")
        if value is None:
            return
        for part in value.split(","):
            name, _, number = part.strip().partition("=")
            if name.lower() == "timeout" and number.isdecimal():
                connection.idle_seconds = min(
                    IDLE_SECONDS, int(number) - IDLE_MARGIN_SECONDS
                )

    def _take_idle(self, is_idempotent):
        """Return the idle connection used last, or None."""
        now = trio.current_time()
        while self._idle:
            connection = self._idle[-1]
            age = now - connection.idle_since
            if not is_idempotent and age > FRESH_IDLE_SECONDS:
                return None
            self._idle.pop()
            if age < connection.idle_seconds and not (
                connection.stream.is_readable()
            ):
                return connection
            connection.stream.close()
        return None

    async def _connect(self):
        self.connect_count += 1
        try:
            with trio.move_on_after(CONNECT_SECONDS):
                return _Connection(
                    await self._open_stream(self.address, self.port)
                )
        except OSError as error:
            raise errors.UpstreamUnreachableError(
                f"no connection to {self.address}:{self.port}: {error}"
            ) from error
        raise errors.UpstreamUnreachableError(
            f"no connection to {self.address}:{self.port} within "
            f"{CONNECT_SECONDS} s"
        )

    def close_idle(self):
        """Close the connections that are too old to be used again."""
        now = trio.current_time()
        while self._idle:
            connection = self._idle[0]
            if now - connection.idle_since < connection.idle_seconds:
                return
            self._idle.popleft()
            connection.stream.close()

    def drop_idle(self):
        """Close all idle connections, as after a crash of the upstream."""
        while self._idle:
            self._idle.popleft().stream.close()

    def close(self):
        """Close idle connections now and others when they become idle."""
        self._is_closed = True
        self.drop_idle()


def make_request(*, method, target, headers, body=b""):
    """Return a request from pairs of header names and values."""
    return messages.Request(
        method=method,
        target=target,
        headers=tuple(
            messages.Header(name=name, value=value) for name, value in headers
        ),
        body=body,
    )
