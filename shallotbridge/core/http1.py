"""Complete HTTP/1.1 messages over a byte stream, with strict framing.

llhttp parses heads and decodes chunked bodies. This module finds the end of
each message and rejects ambiguous framing that llhttp tolerates: when two
implementations disagree on the end of a message, one of them treats body
bytes as a request (request smuggling).
"""

import math
import re

import httptools
import trio

from . import byte_budget
from . import errors
from . import http1_encoding
from . import model

MAXIMUM_HEAD_BYTES = 32 * 1024
MAXIMUM_REQUEST_BODY_BYTES = 1024 * 1024
MAXIMUM_RESPONSE_BODY_BYTES = 8 * 1024 * 1024
# Limit of the bytes that chunk sizes, extensions and trailers add to a body.
MAXIMUM_CHUNK_OVERHEAD_BYTES = 1024 * 1024
# Idle timeout of a client connection. It is longer than the idle timeout of
# this package's connection pools, so that the pools close first.
IDLE_TIMEOUT_SECONDS = 60.0
# Time limits from the first to the last byte of a head and of a body. They
# bound how long a slow client occupies a connection and its buffer.
HEAD_TIMEOUT_SECONDS = 5.0
BODY_TIMEOUT_SECONDS = 30.0
# After a rejected request the server discards incoming bytes for this time
# (lingering close). Closing at once resets the connection, and the client can
# lose the response before reading it.
DISCARD_SECONDS = 1.0
DISCARD_BYTES = 256 * 1024
_RECEIVE_BYTES = 16 * 1024
# Interim responses (1xx) accepted before the final response.
_MAXIMUM_INTERIM_RESPONSES = 8

# Memory of a chunk besides its bytes.
_CHUNK_OBJECT_BYTES = 48

_HEAD_END = b"\r\n\r\n"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Bare LF, bare CR, obsolete line folding, and control characters.
_INVALID_HEAD_BYTES = re.compile(
    rb"(?<!\r)\n|\r(?=[^\n])|\n[ \t]|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]"
)
_TARGET = re.compile(rb"/[\x21-\x7e]*|\*")


class _ParsedMessage:
    """Collects one message from the callbacks of llhttp."""

    __slots__ = ("target", "fields", "chunks", "is_head_done", "is_complete")

    def __init__(self):
        self.target = b""
        self.fields = []
        self.chunks = []
        self.is_head_done = False
        self.is_complete = False

    def on_url(self, part):
        self.target += part

    def on_header(self, name, value):
        # Fields after the head are trailers and are discarded.
        if not self.is_head_done:
            self.fields.append(
                model.Header(
                    name=name.decode("ascii").lower(),
                    value=value.decode("latin-1").strip(" \t"),
                )
            )

    def on_headers_complete(self):
        self.is_head_done = True

    def on_body(self, part):
        self.chunks.append(part)

    def on_message_complete(self):
        self.is_complete = True


class _MessageReader:
    """Reads messages from a stream and buffers bytes of the next message."""

    def __init__(
        self,
        *,
        stream,
        maximum_body_bytes,
        maximum_head_bytes=MAXIMUM_HEAD_BYTES,
        budget=None,
    ):
        self._stream = stream
        self._budget = budget
        self._held_bytes = 0
        self._maximum_body_bytes = maximum_body_bytes
        self._maximum_head_bytes = maximum_head_bytes
        self._buffer = b""
        # On trio's clock; when it passes, reading the message fails.
        self._receive_deadline = math.inf
        self.is_persistent = False

    async def _receive(self):
        """Return received bytes, or empty bytes at the end of the stream.

        The cancel scope is created per receive call, so reading a message
        that is already buffered, the usual case, needs none.
        """
        if self._receive_deadline == math.inf:
            return await self._stream.receive_some(_RECEIVE_BYTES)
        with trio.CancelScope(deadline=self._receive_deadline):
            return await self._stream.receive_some(_RECEIVE_BYTES)
        raise errors.RequestTimeoutError(
            "the request did not arrive within the time limit for its head "
            "or body"
        )

    def _hold(self, size):
        """Count the bytes of the message so far towards the budget."""
        if self._budget is None or size <= byte_budget.SMALL_MESSAGE_BYTES:
            return
        if not self._budget.try_resize(self._held_bytes, size):
            raise self._no_memory(size)
        self._held_bytes = size

    def _release(self):
        if self._held_bytes:
            self._budget.release(self._held_bytes)
            self._held_bytes = 0

    async def _read_head(self):
        """Return the bytes of a head, including its final empty line.

        Partial heads are checked with the same pattern as complete ones, so
        the result does not depend on how the bytes were split into packets.
        """
        checked_length = 0
        while True:
            buffer = self._buffer
            end = buffer.find(_HEAD_END, max(0, checked_length - 3))
            stop = len(buffer) if end < 0 else end + len(_HEAD_END)
            found = _INVALID_HEAD_BYTES.search(
                buffer,
                max(0, checked_length - 2),
                min(stop, self._maximum_head_bytes),
            )
            if found:
                raise self._malformed(
                    f"byte {found.start()} of the head is "
                    f"{found.group()!r}; allowed: lines that end in CRLF, "
                    "without folding or control characters"
                )
            if stop > self._maximum_head_bytes:
                raise self._head_too_large()
            if end >= 0:
                self._buffer = buffer[stop:]
                return buffer[:stop]
            checked_length = len(buffer)
            received = await self._receive()
            if not received:
                raise self._truncated("in the head")
            self._buffer += received

    def _feed(self, parser, data):
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported; the offer is ignored.
            pass
        except httptools.HttpParserError as error:
            raise self._malformed(str(error)) from error

    def _body_length(self, parsed, version, *, has_body=True):
        """Return the length of the body.

        None if the body is chunked, -1 if the message states no length.
        """
        lengths = []
        codings = []
        for header in parsed.fields:
            if header.name == "content-length":
                lengths.append(header.value)
            elif header.name == "transfer-encoding":
                codings.append(header.value)
        if codings:
            if lengths:
                raise self._malformed(
                    "both content-length and transfer-encoding; allowed: one "
                    "of them"
                )
            if len(codings) > 1 or codings[0].lower() != "chunked":
                raise self._malformed(
                    f"transfer-encoding {', '.join(codings)!r}; "
                    "allowed: chunked"
                )
            if version != "1.1":
                raise self._malformed(
                    f"transfer-encoding in HTTP/{version}; allowed: HTTP/1.1"
                )
            return None
        if not lengths:
            return -1
        if len(lengths) > 1 or not http1_encoding.LENGTH.fullmatch(lengths[0]):
            raise self._malformed(
                f"content-length {', '.join(lengths)!r}; "
                "allowed: one decimal number"
            )
        length = int(lengths[0])
        if has_body and length > self._maximum_body_bytes:
            raise self._body_too_large(length)
        return length

    async def _read_sized(self, length):
        if len(self._buffer) < length:
            pieces = [self._buffer]
            missing = length - len(self._buffer)
            try:
                while missing > 0:
                    received = await self._receive()
                    if not received:
                        raise self._truncated(
                            f"{missing} bytes before its end"
                        )
                    pieces.append(received)
                    missing -= len(received)
                    self._hold(length - missing)
                self._buffer = b"".join(pieces)
            finally:
                # An exception keeps its frames, and so this list, for longer.
                pieces.clear()
        body = self._buffer[:length]
        self._buffer = self._buffer[length:]
        return body

    async def _read_chunked(self, parser, parsed):
        """Decode a chunked body.

        llhttp does not report where a message ends, but a chunked message
        always ends in CRLF CRLF. Bytes are passed to llhttp only up to each
        CRLF CRLF, so that it never gets bytes of the next message.
        """
        try:
            return await self._read_chunks(parser, parsed)
        finally:
            parsed.chunks.clear()

    async def _read_chunks(self, parser, parsed):
        size = 0
        wire_size = 0
        counted_chunks = 0
        while True:
            end = self._buffer.find(_HEAD_END)
            if end >= 0:
                feed_length = end + len(_HEAD_END)
            else:
                feed_length = max(0, len(self._buffer) - len(_HEAD_END) + 1)
            if feed_length:
                piece = self._buffer[:feed_length]
                self._buffer = self._buffer[feed_length:]
                self._feed(parser, piece)
                wire_size += feed_length
                while counted_chunks < len(parsed.chunks):
                    size += len(parsed.chunks[counted_chunks])
                    counted_chunks += 1
                if size > self._maximum_body_bytes:
                    raise self._body_too_large(size)
                if wire_size - size > MAXIMUM_CHUNK_OVERHEAD_BYTES:
                    raise self._body_too_large(wire_size)
            if parsed.is_complete:
                return b"".join(parsed.chunks)
            if end < 0:
                received = await self._receive()
                if not received:
                    raise self._truncated("in a chunked body")
                self._buffer += received
                self._hold(
                    wire_size
                    + len(self._buffer)
                    + len(parsed.chunks) * _CHUNK_OBJECT_BYTES
                )

    def _is_persistent(self, parsed, version):
        tokens = http1_encoding.connection_tokens(parsed.fields)
        if version == "1.1":
            return "close" not in tokens
        return "keep-alive" in tokens and "close" not in tokens

    def _check_version(self, parser):
        version = parser.get_http_version()
        if version not in ("1.1", "1.0"):
            raise self._malformed(f"HTTP/{version}; allowed: HTTP/1.1")
        return version


class RequestReader(_MessageReader):
    """Reads the requests of one connection.

    Parameters
    ----------
    stream : trio.abc.Stream
    maximum_head_bytes : int
    maximum_body_bytes : int
    head_timeout_seconds : float
        Time limit from the first to the last byte of a head, seconds.

    Attributes
    ----------
    is_persistent : bool
        Whether the client keeps the connection open after the request that
        was read last.
    """

    def __init__(
        self,
        *,
        stream,
        maximum_head_bytes=MAXIMUM_HEAD_BYTES,
        maximum_body_bytes=MAXIMUM_REQUEST_BODY_BYTES,
        head_timeout_seconds=HEAD_TIMEOUT_SECONDS,
    ):
        super().__init__(
            stream=stream,
            maximum_body_bytes=maximum_body_bytes,
            maximum_head_bytes=maximum_head_bytes,
        )
        self._head_timeout_seconds = head_timeout_seconds

    async def wait_request(self):
        """Wait for the first byte of the next request.

        Returns
        -------
        bool
            False if the client closed the connection.
        """
        while True:
            # RFC 9112, section 2.2: ignore empty lines before a request
            # line.
            while self._buffer.startswith(b"\r\n"):
                self._buffer = self._buffer[2:]
            if self._buffer and self._buffer != b"\r":
                return True
            received = await self._receive()
            if not received:
                return False
            self._buffer += received

    async def read(self):
        """Return the next complete request.

        Returns
        -------
        model.Request

        Raises
        ------
        errors.FramingError
            The request is invalid; the caller must close the connection.
        """
        self._receive_deadline = (
            trio.current_time() + self._head_timeout_seconds
        )
        try:
            return await self._read()
        finally:
            self._receive_deadline = math.inf

    async def _read(self):
        head = await self._read_head()
        parsed = _ParsedMessage()
        parser = httptools.HttpRequestParser(parsed)
        self._feed(parser, head)
        if not parsed.is_head_done:
            raise self._malformed("the head is not a request head")
        version = self._check_version(parser)
        method = parser.get_method().decode("ascii")
        if not _TARGET.fullmatch(parsed.target) or method == "CONNECT":
            raise self._malformed(
                f"{method} {parsed.target!r}; allowed: a path that starts "
                "with /"
            )
        length = self._body_length(parsed, version)
        expectation = self._check_request_fields(parsed, version)
        body = b""
        if length is None or length > 0:
            if parser.should_upgrade():
                raise self._malformed(
                    "both an upgrade and a body; allowed: one of them"
                )
            if expectation and not self._buffer:
                await self._stream.send_all(_CONTINUE)
            self._receive_deadline = trio.current_time() + BODY_TIMEOUT_SECONDS
            if length is None:
                body = await self._read_chunked(parser, parsed)
            else:
                body = await self._read_sized(length)
        self.is_persistent = self._is_persistent(parsed, version)
        return model.Request(
            method=method,
            target=parsed.target.decode("ascii"),
            headers=tuple(parsed.fields),
            body=body,
        )

    def _check_request_fields(self, parsed, version):
        """Check Host and Expect; return whether the client expects 100."""
        hosts = 0
        is_expected = False
        for header in parsed.fields:
            if header.name == "host":
                hosts += 1
            elif header.name == "expect":
                if header.value.lower() != "100-continue":
                    raise self._malformed(
                        f"expect {header.value!r}; allowed: 100-continue"
                    )
                is_expected = True
        if hosts > 1 or (hosts == 0 and version == "1.1"):
            raise self._malformed(
                f"{hosts} host headers; allowed: exactly one"
            )
        return is_expected

    async def run_until_disconnect(self, function, *arguments):
        """Run an async function; cancel it if the client disconnects.

        For streams that do not report a disconnect by themselves.

        Returns
        -------
        object
            The result of the function, or None if the client disconnected
            first.
        """
        result = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, nursery.cancel_scope
            )
            result = await function(*arguments)
            nursery.cancel_scope.cancel()
        return result

    async def _cancel_on_disconnect(self, cancel_scope):
        # Buffers pipelined requests. Beyond the limit nothing is read, so
        # the client blocks on flow control.
        try:
            while len(self._buffer) < MAXIMUM_HEAD_BYTES:
                received = await self._receive()
                if not received:
                    cancel_scope.cancel()
                    return
                self._buffer += received
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            cancel_scope.cancel()

    def _malformed(self, detail):
        return errors.FramingError(f"request: {detail}")

    def _truncated(self, place):
        return errors.FramingError(f"the request ends {place}")

    def _head_too_large(self):
        return errors.HeadTooLargeError(
            f"the head exceeds {self._maximum_head_bytes} bytes; send fewer "
            "headers"
        )

    def _body_too_large(self, size):
        return errors.BodyTooLargeError(
            f"the body has {size} bytes or more; allowed: "
            f"{self._maximum_body_bytes}"
        )


class ResponseReader(_MessageReader):
    """Reads the responses of one connection.

    Parameters
    ----------
    stream : trio.abc.Stream
    accepts_unframed : bool
        Whether a body may be delimited by the end of the connection.
    accepts_extra_bytes : bool
        Whether a complete response is accepted when more bytes follow it;
        the connection is then not persistent.
    budget : byte_budget.ByteBudget, optional
        Bounds the sum of the responses that are being read.

    Attributes
    ----------
    is_persistent : bool
        Whether the connection may be used for another request.
    """

    def __init__(
        self,
        *,
        stream,
        accepts_unframed=False,
        accepts_extra_bytes=False,
        budget=None,
    ):
        super().__init__(
            stream=stream,
            maximum_body_bytes=MAXIMUM_RESPONSE_BODY_BYTES,
            budget=budget,
        )
        self._accepts_unframed = accepts_unframed
        self._accepts_extra_bytes = accepts_extra_bytes

    async def read(self, method):
        """Return the complete response to a request with the given method.

        Returns
        -------
        model.Response

        Raises
        ------
        errors.AnswerMismatchError
            The response is malformed, or more bytes follow it.
        errors.AnswerTooLargeError
            The response exceeds a size limit.
        errors.AnswerMemoryError
            The responses that are being read exceed their memory.
        errors.OutcomeUnknownError
            The connection ended within the response.
        """
        try:
            return await self._read(method)
        finally:
            self._release()

    async def _read(self, method):
        self.is_persistent = False
        for _ in range(_MAXIMUM_INTERIM_RESPONSES + 1):
            head = await self._read_head()
            parsed = _ParsedMessage()
            parser = httptools.HttpResponseParser(parsed)
            self._feed(parser, head)
            if not parsed.is_head_done:
                raise self._malformed("the head is not a response head")
            version = self._check_version(parser)
            status = parser.get_status_code()
            if status == 101:
                raise self._malformed("status 101 without an upgrade request")
            if not 100 <= status <= 599:
                raise self._malformed(
                    f"status {status:03}; allowed: 100 to 599"
                )
            if status >= 200:
                break
        else:
            raise self._malformed("too many interim responses")
        has_body = method != "HEAD" and status not in (204, 304)
        length = self._body_length(parsed, version, has_body=has_body)
        if not has_body:
            body = b""
        elif length is None:
            body = await self._read_chunked(parser, parsed)
        elif length >= 0:
            body = await self._read_sized(length)
        elif self._accepts_unframed:
            body = await self._read_to_end()
        else:
            # The body would end with the connection, which looks the same
            # as a lost connection.
            raise self._malformed(
                "neither content-length nor transfer-encoding; expected: one "
                "of them"
            )
        if self._buffer and not self._accepts_extra_bytes:
            raise self._malformed(
                f"{len(self._buffer)} bytes follow the complete response"
            )
        self.is_persistent = (
            self._is_persistent(parsed, version)
            and not self._buffer
            and (length is None or length >= 0 or not has_body)
        )
        return model.Response(
            status=status, headers=tuple(parsed.fields), body=body
        )

    async def _read_to_end(self):
        pieces = [self._buffer]
        size = len(self._buffer)
        self._buffer = b""
        try:
            while received := await self._receive():
                pieces.append(received)
                size += len(received)
                if size > self._maximum_body_bytes:
                    raise self._body_too_large(size)
                self._hold(size)
            return b"".join(pieces)
        finally:
            pieces.clear()

    def _malformed(self, detail):
        return errors.AnswerMismatchError(f"response: {detail}")

    def _truncated(self, place):
        error = errors.OutcomeUnknownError(f"the response ends {place}")
        error.is_connection_lost = True
        return error

    def _head_too_large(self):
        return errors.AnswerTooLargeError(
            f"the head exceeds {MAXIMUM_HEAD_BYTES} bytes"
        )

    def _no_memory(self, size):
        return errors.AnswerMemoryError(
            f"the response has {size} bytes or more, and others are being "
            "read; their memory does not suffice for all"
        )

    def _body_too_large(self, size):
        return errors.AnswerTooLargeError(
            f"the response has {size} bytes or more; allowed: "
            f"{self._maximum_body_bytes}"
        )


async def discard_input(stream):
    """Read and discard incoming bytes, up to a time and size limit."""
    with trio.move_on_after(DISCARD_SECONDS):
        try:
            if hasattr(stream, "send_eof"):
                await stream.send_eof()
            remaining_bytes = DISCARD_BYTES
            while remaining_bytes > 0:
                received = await stream.receive_some(_RECEIVE_BYTES)
                if not received:
                    return
                remaining_bytes -= len(received)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
