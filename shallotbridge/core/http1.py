"""Whole HTTP/1.1 messages over a byte stream, with strict framing.

llhttp parses heads and decodes chunked bodies. This module finds where a
message ends and refuses what llhttp tolerates, because two programs that
disagree on the end of a message read each other's bytes as requests.
"""

import math
import re

import httptools
import trio

from . import errors
from . import http1_encoding
from . import model

MAXIMUM_HEAD_BYTES = 32 * 1024
MAXIMUM_REQUEST_BODY_BYTES = 1024 * 1024
MAXIMUM_RESPONSE_BODY_BYTES = 8 * 1024 * 1024
# Bytes that chunk sizes, extensions and trailers may add to a body.
MAXIMUM_CHUNK_OVERHEAD_BYTES = 1024 * 1024
# A connection without a request is closed after this time. It is longer
# than the idle age of this package's own pools, so that they close first.
IDLE_SECONDS = 60.0
# From the first byte of a request to its last one; bounds how long a slow
# client holds a connection and its buffer.
HEAD_SECONDS = 5.0
BODY_SECONDS = 30.0
# After a refused request, bytes that are still arriving are discarded for
# this long, because closing at once resets the connection and can destroy
# the answer before the client reads it.
LINGER_SECONDS = 1.0
LINGER_BYTES = 256 * 1024
_RECEIVE_BYTES = 16 * 1024
# Interim answers (1xx) accepted before the final one.
_MAXIMUM_INTERIM_ANSWERS = 8

_HEAD_END = b"\r\n\r\n"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Bare LF, bare CR, obsolete folding, and control characters.
_BAD_HEAD_BYTES = re.compile(
    rb"(?<!\r)\n|\r(?=[^\n])|\n[ \t]|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]"
)
_TARGET = re.compile(rb"/[\x21-\x7e]*|\*")


class _Parsed:
    """Receives the callbacks of llhttp for one message."""

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
        # Fields after the head are trailers, which are discarded.
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
    """Reads messages from a stream and keeps the bytes of the next one."""

    def __init__(
        self,
        *,
        stream,
        maximum_body_bytes,
        maximum_head_bytes=MAXIMUM_HEAD_BYTES,
    ):
        self._stream = stream
        self._maximum_body_bytes = maximum_body_bytes
        self._maximum_head_bytes = maximum_head_bytes
        self._buffer = b""
        # Time on trio's clock by which a message must have arrived.
        self._receive_deadline = math.inf
        self.is_persistent = False

    async def _receive(self):
        """Return received bytes, or none at the end of the stream.

        A message that is in the buffer already, as most are, costs no
        cancel scope.
        """
        if self._receive_deadline == math.inf:
            return await self._stream.receive_some(_RECEIVE_BYTES)
        with trio.CancelScope(deadline=self._receive_deadline):
            return await self._stream.receive_some(_RECEIVE_BYTES)
        raise errors.RequestTimeoutError(
            "the request did not arrive within the time for its head or body"
        )

    async def _read_head(self):
        """Return the bytes of a head, with its final empty line.

        The verdict depends only on the bytes, not on how they were split:
        a partial head is checked with the same pattern as a whole one.
        """
        checked = 0
        while True:
            buffer = self._buffer
            end = buffer.find(_HEAD_END, max(0, checked - 3))
            stop = len(buffer) if end < 0 else end + len(_HEAD_END)
            found = _BAD_HEAD_BYTES.search(
                buffer,
                max(0, checked - 2),
                min(stop, self._maximum_head_bytes),
            )
            if found:
                raise self._malformed(
                    f"byte {found.start()} of the head is "
                    f"{found.group()!r}; allowed: lines that end in CRLF, "
                    "without folding and control characters"
                )
            if stop > self._maximum_head_bytes:
                raise self._head_too_large()
            if end >= 0:
                self._buffer = buffer[stop:]
                return buffer[:stop]
            checked = len(buffer)
            received = await self._receive()
            if not received:
                raise self._ended("in the head")
            self._buffer += received

    def _feed(self, parser, data):
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # An offer to change the protocol, which is ignored.
            pass
        except httptools.HttpParserError as error:
            raise self._malformed(str(error)) from error

    def _body_length(self, parsed, version, *, has_body=True):
        """Return the length of the body, or None if it is chunked.

        A message that states neither returns -1.
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
                    "both content-length and transfer-encoding; allowed: one"
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
            while missing > 0:
                received = await self._receive()
                if not received:
                    raise self._ended(f"{missing} bytes before its end")
                pieces.append(received)
                missing -= len(received)
            self._buffer = b"".join(pieces)
        body = self._buffer[:length]
        self._buffer = self._buffer[length:]
        return body

    async def _read_chunked(self, parser, parsed):
        """Decode a chunked body.

        llhttp does not tell where a message ends, but a chunked one always
        ends in CRLF CRLF. It is fed up to each such place, and never the
        bytes of the next message.
        """
        size = 0
        wire_size = 0
        counted = 0
        while True:
            end = self._buffer.find(_HEAD_END)
            if end >= 0:
                cut = end + len(_HEAD_END)
            else:
                cut = max(0, len(self._buffer) - len(_HEAD_END) + 1)
            if cut:
                piece = self._buffer[:cut]
                self._buffer = self._buffer[cut:]
                self._feed(parser, piece)
                wire_size += cut
                while counted < len(parsed.chunks):
                    size += len(parsed.chunks[counted])
                    counted += 1
                if size > self._maximum_body_bytes:
                    raise self._body_too_large(size)
                if wire_size - size > MAXIMUM_CHUNK_OVERHEAD_BYTES:
                    raise self._body_too_large(wire_size)
            if parsed.is_complete:
                return b"".join(parsed.chunks)
            if end < 0:
                received = await self._receive()
                if not received:
                    raise self._ended("in a chunked body")
                self._buffer += received

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
    head_seconds : float
        Time from the first byte of a head to its last one.

    Attributes
    ----------
    is_persistent : bool
        Whether the client keeps the connection after the last request.
    """

    def __init__(
        self,
        *,
        stream,
        maximum_head_bytes=MAXIMUM_HEAD_BYTES,
        maximum_body_bytes=MAXIMUM_REQUEST_BODY_BYTES,
        head_seconds=HEAD_SECONDS,
    ):
        super().__init__(
            stream=stream,
            maximum_body_bytes=maximum_body_bytes,
            maximum_head_bytes=maximum_head_bytes,
        )
        self._head_seconds = head_seconds

    async def wait_request(self):
        """Wait for the first byte of a request.

        Returns
        -------
        bool
            False when the client closed the connection.
        """
        while True:
            # An empty line before a request line is ignored, as RFC 9112,
            # section 2.2, recommends.
            while self._buffer.startswith(b"\r\n"):
                self._buffer = self._buffer[2:]
            if self._buffer and self._buffer != b"\r":
                return True
            received = await self._receive()
            if not received:
                return False
            self._buffer += received

    async def read(self):
        """Return the next request, whole.

        Returns
        -------
        model.Request

        Raises
        ------
        errors.FramingError
            Or one of its subtypes; the connection must be closed.
        """
        self._receive_deadline = trio.current_time() + self._head_seconds
        try:
            return await self._read()
        finally:
            self._receive_deadline = math.inf

    async def _read(self):
        head = await self._read_head()
        parsed = _Parsed()
        parser = httptools.HttpRequestParser(parsed)
        self._feed(parser, head)
        if not parsed.is_head_done:
            raise self._malformed("the head is not that of a request")
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
                raise self._malformed("an upgrade with a body; allowed: one")
            if expectation and not self._buffer:
                await self._stream.send_all(_CONTINUE)
            self._receive_deadline = trio.current_time() + BODY_SECONDS
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
        """Check Host and Expect; return whether 100 is expected."""
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
            raise self._malformed(f"{hosts} host headers; allowed: one")
        return is_expected

    async def run_while_open(self, function, *arguments):
        """Run an async function until the client closes the connection.

        For streams that cannot report a hang-up themselves.

        Returns
        -------
        object
            What the function returned, or None when it was cancelled
            because the client went away.
        """
        result = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            result = await function(*arguments)
            nursery.cancel_scope.cancel()
        return result

    async def _watch(self, cancel_scope):
        # Pipelined requests are kept; beyond the bound the client waits.
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

    def _ended(self, place):
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
        Whether the end of the connection may end a body.
    accepts_extra_bytes : bool
        Whether a whole response counts although bytes follow it; the
        connection is then not used again.

    Attributes
    ----------
    is_persistent : bool
        Whether the connection may be used for another request.
    """

    def __init__(
        self, *, stream, accepts_unframed=False, accepts_extra_bytes=False
    ):
        super().__init__(
            stream=stream, maximum_body_bytes=MAXIMUM_RESPONSE_BODY_BYTES
        )
        self._accepts_unframed = accepts_unframed
        self._accepts_extra_bytes = accepts_extra_bytes

    async def read(self, method):
        """Return the response to a request of a method, whole.

        Returns
        -------
        model.Response

        Raises
        ------
        errors.AnswerMismatchError
            It is malformed, or bytes follow it.
        errors.AnswerTooLargeError
            It exceeds a bound.
        errors.OutcomeUnknownError
            It ended early.
        """
        self.is_persistent = False
        for _ in range(_MAXIMUM_INTERIM_ANSWERS + 1):
            head = await self._read_head()
            parsed = _Parsed()
            parser = httptools.HttpResponseParser(parsed)
            self._feed(parser, head)
            if not parsed.is_head_done:
                raise self._malformed("the head is not that of a response")
            version = self._check_version(parser)
            status = parser.get_status_code()
            if status >= 200:
                break
            if status == 101:
                raise self._malformed("status 101 without an upgrade")
        else:
            raise self._malformed("too many interim responses")
        if status > 599:
            raise self._malformed(f"status {status}; allowed: 200 to 599")
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
            # Only the end of the connection would end it, which cannot be
            # told from a lost connection.
            raise self._malformed(
                "neither content-length nor transfer-encoding; allowed: one"
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
        while received := await self._receive():
            pieces.append(received)
            size += len(received)
            if size > self._maximum_body_bytes:
                raise self._body_too_large(size)
        return b"".join(pieces)

    def _malformed(self, detail):
        return errors.AnswerMismatchError(f"response: {detail}")

    def _ended(self, place):
        error = errors.OutcomeUnknownError(f"the response ends {place}")
        error.is_reset = True
        return error

    def _head_too_large(self):
        return errors.AnswerTooLargeError(
            f"the head exceeds {MAXIMUM_HEAD_BYTES} bytes"
        )

    def _body_too_large(self, size):
        return errors.AnswerTooLargeError(
            f"the response has {size} bytes or more; allowed: "
            f"{self._maximum_body_bytes}"
        )


async def linger(stream):
    """Discard what a client still sends, for a bounded time and size."""
    with trio.move_on_after(LINGER_SECONDS):
        try:
            if hasattr(stream, "send_eof"):
                await stream.send_eof()
            left = LINGER_BYTES
            while left > 0:
                received = await stream.receive_some(_RECEIVE_BYTES)
                if not received:
                    return
                left -= len(received)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
