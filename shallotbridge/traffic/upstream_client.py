"""HTTP client with a connection pool, for an upstream or the platform."""

import collections
import functools
import math

import trio

from ..core import body_buffer
from ..core import errors
from ..core import http1
from ..core import http1_encoding
from ..core import memory_account
from ..core import model as messages

# Longest idle time after which a connection is reused, unless the upstream
# announces a shorter one. It is well below the 10 s after which upstreams in
# the users' deployments close idle connections.
IDLE_TIMEOUT_SECONDS = 5.0
# A request that must not run twice only reuses connections that were in use
# shortly before, because the upstream may close idle ones without notice.
NON_IDEMPOTENT_MAXIMUM_IDLE_SECONDS = 2.0
# Connections are no longer reused this long before the idle timeout that the
# upstream announces.
IDLE_MARGIN_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 0.5
# Number of late responses to earlier requests that are skipped before the
# connection is given up.
_MAXIMUM_STALE_RESPONSES = 3
# Number of refused requests after which a connection is no longer reused.
_MAXIMUM_REFUSED_IDS = 64


class _Connection:
    """A connection to the upstream.

    Attributes
    ----------
    refused_ids : set of int
        Hashes of the ids of the requests that were refused on it; clients
        choose the ids, and their length. If one of the requests is sent again
        here, a late duplicate of the refusal looks like its response.
    """

    __slots__ = (
        "stream",
        "reader",
        "idle_since",
        "idle_timeout_seconds",
        "refused_ids",
    )

    def __init__(self, stream, budget, account):
        self.stream = stream
        self.reader = http1.ResponseReader(
            stream=stream,
            accepts_unframed=True,
            accepts_extra_bytes=True,
            budget=budget,
            holder=account and memory_account.Holder(account=account),
        )
        self.idle_since = 0.0
        self.idle_timeout_seconds = IDLE_TIMEOUT_SECONDS
        self.refused_ids = set()


class UpstreamClient:
    """Sends requests to one address and reuses idle connections.

    A connection carries one request at a time.

    Parameters
    ----------
    open_stream : callable
        ``await open_stream(address, port)``.
    address : str
    port : int
    header_names : model.HeaderNames
    on_response : callable, optional
        ``on_response(request, response, sent_at)`` is called with each
        complete response that belongs to its request, also a refusal.
        `sent_at` is a time on trio's clock before the request was sent.
    budget : byte_budget.ByteBudget, optional
        Bounds the sum of the responses that are being read.
    account : memory_account.MemoryAccount, optional
        Counts what the responses hold.
    """

    def __init__(
        self,
        *,
        open_stream,
        address,
        port,
        header_names,
        on_response=None,
        budget=None,
        account=None,
    ):
        self._open_stream = open_stream
        self.address = address
        self.port = port
        self._header_names = header_names
        self._on_response = on_response
        self._budget = budget
        self._account = account
        self._idle = collections.deque()
        self._is_closed = False
        self.connect_count = 0

    async def exchange(
        self,
        request,
        *,
        deadline_at,
        is_idempotent=True,
        stall_seconds=math.inf,
        on_sending=None,
    ):
        """Send a request and return the upstream's complete response.

        Parameters
        ----------
        request : core.model.Request
        deadline_at : float
            Time on trio's clock until which to wait for the response.
        is_idempotent : bool
            Whether the request may run twice. Otherwise it only reuses
            connections that were idle for at most
            ``NON_IDEMPOTENT_MAXIMUM_IDLE_SECONDS``.
        stall_seconds : float
            Longest time without receiving any bytes.
        on_sending : callable, optional
            Called just before the request is written to a connection.

        Returns
        -------
        core.model.Response

        Raises
        ------
        errors.UpstreamUnreachableError
            No connection could be made, or it was closed before any byte
            was sent.
        errors.UpstreamRefusedError
            The upstream reported that it did not run the request.
        errors.OutcomeUnknownError
            The connection was lost or the response is incomplete.
        errors.AnswerMismatchError
            The response is for another request.
        errors.AnswerTooLargeError
            The response exceeds a size limit, or its memory.
        errors.DeadlineAfterSendError
            No response before the deadline, or it stalled.
        """
        # A large body is not copied to join it with the head.
        data = http1_encoding.encode_request_head(request)
        if len(request.body) <= body_buffer.LARGE_BODY_BYTES:
            data += request.body
        sent_at = trio.current_time()
        with trio.CancelScope(deadline=deadline_at) as scope:
            on_received = None
            if stall_seconds < math.inf:
                on_received = functools.partial(
                    _extend_deadline, scope, deadline_at, stall_seconds
                )
                on_received()
            response = await self._exchange(
                request, data, is_idempotent, on_received, on_sending
            )
            if self._on_response is not None:
                self._on_response(request, response, sent_at)
            self._check_response(request, response)
            return response
        raise errors.DeadlineAfterSendError(
            f"{self.address}:{self.port} did not respond before the deadline"
        )

    def _check_response(self, request, response):
        header_names = self._header_names
        if response.header(header_names.not_run) is not None:
            error = errors.UpstreamRefusedError(
                f"status {response.status} from {self.address}:{self.port}",
                reason=str(response.status),
            )
            error.has_arrived = response.status != 421
            raise error
        if response.status == 421:
            raise errors.UpstreamRefusedError(
                f"the upstream at {self.address}:{self.port} is not "
                f"{request.header(header_names.expected_instance)!r}",
                reason="421",
            )

    async def _exchange(
        self, request, data, is_idempotent, on_received, on_sending
    ):
        request_id = request.header(self._header_names.request_id)
        while True:
            connection = self._pop_idle(is_idempotent, request_id)
            is_reused = connection is not None
            if not is_reused:
                connection = await self._connect()
            is_reusable = False
            connection.reader.on_received = on_received
            try:
                stream = connection.stream
                if on_sending is not None:
                    on_sending()
                try:
                    sent = await stream.send_some(data)
                except trio.BrokenResourceError as error:
                    if is_reused:
                        continue
                    raise errors.UpstreamUnreachableError(
                        f"{self.address}:{self.port} closed the connection "
                        "before the request was sent"
                    ) from error
                response, is_reusable = await self._complete_exchange(
                    request, data, sent, connection
                )
                return response
            finally:
                if is_reusable and not self._is_closed:
                    connection.idle_since = trio.current_time()
                    self._idle.append(connection)
                else:
                    connection.stream.close()

    async def _complete_exchange(self, request, data, sent, connection):
        """Send the rest of a request and read the response.

        Returns
        -------
        core.model.Response
        bool
            Whether the connection can be reused.
        """
        try:
            if sent < len(data):
                await connection.stream.send_all(memoryview(data)[sent:])
            if len(request.body) > body_buffer.LARGE_BODY_BYTES:
                await connection.stream.send_all(request.body)
        except trio.BrokenResourceError as error:
            # An upstream may respond, and stop reading, before it has received
            # all of a long request.
            try:
                response = await self._read_response(request, connection)
            except errors.OutcomeUnknownError:
                raise self._make_connection_lost_error(error) from error
            return response, False
        response = await self._read_response(request, connection)
        self._apply_keep_alive_timeout(connection, response)
        if (
            response.header(self._header_names.not_run) is not None
            or response.status == 421
        ):
            connection.refused_ids.add(
                hash(request.header(self._header_names.request_id))
            )
        is_reusable = (
            connection.reader.is_persistent
            and len(connection.refused_ids) < _MAXIMUM_REFUSED_IDS
        )
        return response, is_reusable

    async def _read_response(self, request, connection):
        expected = request.header(self._header_names.request_id)
        for _ in range(_MAXIMUM_STALE_RESPONSES + 1):
            try:
                response = await connection.reader.read(request.method)
            except (trio.BrokenResourceError, OSError) as error:
                raise self._make_connection_lost_error(error) from error
            received_id = response.header(self._header_names.request_id)
            if received_id == expected:
                return response
            # A response with another id is a late duplicate and is skipped.
            # Health checks have no id, and neither do their responses.
            if received_id is None:
                break
        raise errors.AnswerMismatchError(
            f"response from {self.address}:{self.port} is for request "
            f"{received_id!r}; expected {expected!r}"
        )

    def _make_connection_lost_error(self, cause):
        error = errors.OutcomeUnknownError(
            f"the connection to {self.address}:{self.port} was lost with "
            f"the request in flight: {cause}"
        )
        error.is_connection_lost = True
        return error

    def _apply_keep_alive_timeout(self, connection, response):
        value = response.header("keep-alive")
        if value is None:
            return
        for part in value.split(","):
            name, _, number = part.strip().partition("=")
            if name.lower() == "timeout" and number.isdecimal():
                connection.idle_timeout_seconds = min(
                    IDLE_TIMEOUT_SECONDS, int(number) - IDLE_MARGIN_SECONDS
                )

    def _pop_idle(self, is_idempotent, request_id):
        """Return the most recently used idle connection, or None.

        A readable connection is closed: the upstream closed it or sent an
        unexpected response. One on which this request was refused is skipped.
        """
        now = trio.current_time()
        for connection in reversed(tuple(self._idle)):
            age = now - connection.idle_since
            if not is_idempotent and age > NON_IDEMPOTENT_MAXIMUM_IDLE_SECONDS:
                return None
            if request_id is not None and (
                hash(request_id) in connection.refused_ids
            ):
                continue
            self._idle.remove(connection)
            if age < connection.idle_timeout_seconds and not (
                connection.stream.is_readable()
            ):
                return connection
            connection.stream.close()
        return None

    async def _connect(self):
        self.connect_count += 1
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
                return _Connection(
                    await self._open_stream(self.address, self.port),
                    self._budget,
                    self._account,
                )
        except OSError as error:
            raise errors.UpstreamUnreachableError(
                f"no connection to {self.address}:{self.port}: {error}"
            ) from error
        raise errors.UpstreamUnreachableError(
            f"no connection to {self.address}:{self.port} within "
            f"{CONNECT_TIMEOUT_SECONDS} s"
        )

    def close_expired_idle(self):
        """Close the connections that were idle for too long to be reused."""
        now = trio.current_time()
        while self._idle:
            connection = self._idle[0]
            if now - connection.idle_since < connection.idle_timeout_seconds:
                return
            self._idle.popleft()
            connection.stream.close()

    def close_all_idle(self):
        """Close all idle connections, for example after a crash."""
        while self._idle:
            self._idle.popleft().stream.close()

    def close(self):
        """Close idle connections now and others when they become idle."""
        self._is_closed = True
        self.close_all_idle()


def _extend_deadline(scope, deadline_at, stall_seconds):
    scope.deadline = min(deadline_at, trio.current_time() + stall_seconds)


def make_request(*, method, target, headers, body=b""):
    """Return a request with headers given as pairs of name and value."""
    return messages.Request(
        method=method,
        target=target,
        headers=tuple(
            messages.Header(name=name, value=value) for name, value in headers
        ),
        body=body,
    )
