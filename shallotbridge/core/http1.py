"""Complete HTTP/1.1 messages over a byte stream, with strict framing.

llhttp parses heads and decodes chunked bodies. This module finds the end of
each message and rejects ambiguous framing that llhttp tolerates: when two
implementations disagree on the end of a message, one of them treats body
bytes as a request (request smuggling).
"""

import contextlib
import math
import re

import httptools
import trio

from . import body_buffer
from . import byte_budget
from . import errors
from . import http1_encoding
from . import memory_account
from . import model
from . import turns as turns_module

MAXIMUM_HEAD_BYTES = 32 * 1024
MAXIMUM_REQUEST_BODY_BYTES = 1024 * 1024
MAXIMUM_RESPONSE_BODY_BYTES = 8 * 1024 * 1024
# Limit of the bytes that chunk sizes and extensions add to a body: this many
# and a multiple of the body. A chunk of one byte adds 5 bytes, or 12 if its
# size is padded to 8 digits.
MAXIMUM_CHUNK_OVERHEAD_BYTES = 1024 * 1024
MAXIMUM_CHUNK_OVERHEAD_RATIO = 16
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
# The same for the bytes of a large body.
_RECEIVE_BODY_BYTES = 64 * 1024
# Interim responses (1xx) accepted before the final response.
_MAXIMUM_INTERIM_RESPONSES = 8
# Memory of a parsed header field besides its text, and how often the head is
# held: as received and as parsed.
_FIELD_BYTES = 256
_HEAD_COPIES = 2
# Memory of the tasks and objects of a request in progress: measured 11 KB at
# the entry node of a request that another node runs.
_REQUEST_BYTES = 12 * 1024
# Reading pauses if there is no memory. Connections without progress are closed
# after the first time; after the second, the message is given up.
CLOSE_STALLED_SECONDS = 0.5
MAXIMUM_PAUSE_SECONDS = 1.0
_PAUSE_CHECK_SECONDS = 0.05

_HEAD_END = b"\r\n\r\n"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Bare LF, bare CR, obsolete line folding, and control characters.
_INVALID_HEAD_BYTES = re.compile(
    rb"(?<!\r)\n|\r(?=[^\n])|\n[ \t]|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]"
)
_EMPTY_LINES = re.compile(rb"(?:\r\n)*")
# A chunked message ends in an empty line after its last chunk size or trailer.
_CHUNKED_END = re.compile(rb"[^\r\n]\r\n\r\n")
_CHUNKED_END_BYTES = 5
_TARGET = re.compile(rb"/[\x21-\x7e]*|\*")


class _ParsedMessage:
    """Collects one message from the callbacks of llhttp."""

    __slots__ = ("target", "fields", "body", "is_head_done", "is_complete")

    def __init__(self):
        self.target = b""
        self.fields = []
        # Decoded bytes of a chunked body that were not taken yet. One array
        # costs no more for many small chunks than for a large one.
        self.body = bytearray()
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
        self.body += part

    def on_message_complete(self):
        self.is_complete = True


class _MessageReader:
    """Reads messages from a stream and buffers bytes of the next message."""

    # What the kernel holds of a connection that is not read, besides what is
    # counted with the connection or with the larger socket buffer.
    _pause_bytes = 0

    def __init__(
        self,
        *,
        stream,
        maximum_body_bytes,
        maximum_head_bytes=MAXIMUM_HEAD_BYTES,
        budget=None,
        holder=None,
        turns=None,
    ):
        self._stream = stream
        self._budget = budget
        self._turns = turns or turns_module.TurnQueue()
        # Work in turns since the connection was idle.
        self._served_bytes = 0
        self._held_bytes = 0
        self._holder = holder or memory_account.unlimited_holder()
        # What the message that was read last holds besides a large body,
        # which is counted for as long as it exists.
        self.message_bytes = 0
        self._counted_chunk_bytes = 0
        self._maximum_body_bytes = maximum_body_bytes
        self._maximum_head_bytes = maximum_head_bytes
        self._buffer = b""
        # On trio's clock; when it passes, reading the message fails.
        self._receive_deadline = math.inf
        # Called without arguments after each receipt of bytes, if set.
        self.on_received = None
        self.is_persistent = False

    async def _receive(self, maximum=_RECEIVE_BYTES):
        """Return received bytes, or empty bytes at the end of the stream.

        The cancel scope is created per receive call, so reading a message
        that is already buffered, the usual case, needs none.
        """
        if self._receive_deadline == math.inf:
            received = await self._stream.receive_some(maximum)
            if self.on_received is not None:
                self.on_received()
            return received
        with trio.CancelScope(deadline=self._receive_deadline):
            return await self._stream.receive_some(maximum)
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

    async def _hold_message(self, size):
        """Count bytes of this message besides a large body."""
        if not self._holder.try_hold(size):
            await self._wait_for_memory(size, self._holder.try_hold)
        self.message_bytes += size

    def _release_message(self):
        self._holder.release(self.message_bytes)
        self.message_bytes = 0

    async def _wait_for_memory(self, size, try_hold):
        """Pause reading until ``try_hold(size)`` succeeds.

        Raises
        ------
        errors.RequestMemoryError or errors.AnswerMemoryError
            There was no memory for ``MAXIMUM_PAUSE_SECONDS``, or too many
            connections wait already.
        """
        account = self._holder.account
        if account.paused >= memory_account.MAXIMUM_PAUSED:
            account.refused_count += 1
            raise self._no_memory(size)
        began = trio.current_time()
        account.paused_count += 1
        account.paused += 1
        account.add_unread(self._pause_bytes)
        try:
            with self._client_waits():
                while not try_hold(size):
                    now = trio.current_time()
                    account.relieve(now)
                    if now - began >= MAXIMUM_PAUSE_SECONDS:
                        account.refused_count += 1
                        raise self._no_memory(size)
                    if now - began >= CLOSE_STALLED_SECONDS:
                        account.close_stalled(now, size)
                    await trio.sleep(_PAUSE_CHECK_SECONDS)
        finally:
            account.paused -= 1
            account.add_unread(-self._pause_bytes)

    @contextlib.contextmanager
    def _client_waits(self):
        """Do not count the time as one in which the client makes no progress.

        The client waits for the node meanwhile.
        """
        holder = self._holder
        was_waiting = holder.is_waiting_for_client
        holder.is_waiting_for_client = False
        try:
            yield
        finally:
            holder.is_waiting_for_client = was_waiting
            holder.progressed_at = trio.current_time()

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
        if length > body_buffer.LARGE_BODY_BYTES:
            return await self._read_large(length)
        await self._hold_message(length)
        if len(self._buffer) < length:
            self._buffer = await self._receive_small(length)
        body = self._buffer[:length]
        self._buffer = self._buffer[length:]
        return body

    async def _receive_small(self, length):
        """Return the buffered bytes and those that follow, as one object.

        An array of the final size takes no more than what is counted; one that
        grows is larger than its content, and fragments the heap.
        """
        buffer = bytearray(length)
        size = 0
        received = self._buffer
        while True:
            buffer[size : size + len(received)] = received
            size += len(received)
            if size >= length:
                return bytes(buffer)
            received = await self._receive()
            if not received:
                raise self._truncated(f"{length - size} bytes before its end")
            self._holder.on_progress(len(received), trio.current_time())

    async def _read_large(self, length):
        buffer = body_buffer.BodyBuffer(holder=self._holder, size_hint=length)
        self._enlarge_socket_buffer()
        try:
            received, self._buffer = (
                self._buffer[:length],
                self._buffer[length:],
            )
            while True:
                await self._append(buffer, received)
                self._hold(buffer.size)
                missing = length - buffer.size
                if not missing:
                    return buffer.finish()
                received = await self._receive(
                    min(missing, _RECEIVE_BODY_BYTES)
                )
                if not received:
                    raise self._truncated(f"{missing} bytes before its end")
                if len(received) > missing:
                    self._buffer = received[missing:]
                    received = received[:missing]
        except BaseException:
            # An exception keeps its frames, and so the buffer, for longer.
            buffer.discard()
            raise
        finally:
            self._restore_socket_buffer()

    def _enlarge_socket_buffer(self):
        """Let the kernel receive more at once, if there is room for it."""

    def _restore_socket_buffer(self):
        """Undo ``_enlarge_socket_buffer``."""

    async def _append(self, buffer, data):
        """Append received bytes to a large body when there is room."""
        size = len(data)
        if not buffer.try_reserve(size):
            await self._wait_for_memory(size, buffer.try_reserve)
        buffer.append(data)
        self._holder.on_progress(size, trio.current_time())

    async def _read_chunked(self, parser, parsed):
        """Decode a chunked body."""
        buffer = None
        size = 0
        wire_size = 0
        # Bytes since the last piece that had a part of the body.
        bare_size = 0
        try:
            while True:
                decoded_size = len(parsed.body)
                taken = await self._in_turn(
                    len(self._buffer), self._feed_chunked, parser, parsed
                )
                decoded_size = len(parsed.body) - decoded_size
                size += decoded_size
                wire_size += taken
                bare_size = 0 if decoded_size else bare_size + taken
                self._check_chunked_size(size, wire_size, bare_size)
                if buffer is not None or (
                    len(parsed.body) > body_buffer.LARGE_BODY_BYTES
                ):
                    if buffer is None:
                        buffer = body_buffer.BodyBuffer(holder=self._holder)
                        self._enlarge_socket_buffer()
                    await self._append(buffer, parsed.body)
                    parsed.body = bytearray()
                if parsed.is_complete:
                    if buffer is not None:
                        return buffer.finish()
                    return bytes(parsed.body)
                # llhttp holds a trailer until its end.
                await self._hold_chunked(len(parsed.body) + bare_size)
                received = await self._receive()
                if not received:
                    raise self._truncated("in a chunked body")
                self._holder.on_progress(len(received), trio.current_time())
                self._buffer += received
                self._hold(size + len(self._buffer))
        except BaseException:
            if buffer is not None:
                buffer.discard()
            raise
        finally:
            parsed.body = bytearray()
            self._restore_socket_buffer()

    async def _in_turn(self, size, function, *arguments):
        """Call a function that takes processor time, in turn if it is much."""
        if size <= turns_module.SMALL_WORK_BYTES:
            return function(*arguments)
        with self._client_waits():
            await self._turns.take(self._served_bytes)
        began = trio.current_time()
        try:
            return function(*arguments)
        finally:
            # Not a part of the time in which the client has to send. The wait
            # for a turn is, so that a crowd holds its memory no longer.
            self._receive_deadline += trio.current_time() - began
            self._served_bytes += size
            await self._turns.release()

    def _feed_chunked(self, parser, parsed):
        """Pass buffered bytes of a chunked body to llhttp.

        llhttp does not report where a message ends, so that bytes are passed
        only up to each place where it may end.

        Returns
        -------
        int
            Number of bytes that were taken from the buffer.
        """
        data = self._buffer
        view = memoryview(data)
        position = 0
        while not parsed.is_complete:
            # The pattern takes far longer for a byte than the search.
            candidate = data.find(_HEAD_END, position)
            found = None
            if candidate >= 0:
                found = _CHUNKED_END.search(data, max(position, candidate - 1))
            if found is None:
                end = max(position, len(data) - _CHUNKED_END_BYTES + 1)
            else:
                end = found.end()
            if end > position:
                self._feed(parser, view[position:end])
                position = end
            if found is None:
                break
        if parsed.is_complete and found is None:
            raise self._malformed("a chunked body without an empty line")
        self._buffer = data[position:]
        return position

    async def _hold_chunked(self, size):
        """Count the bytes of a chunked body that is still small."""
        missing = size - self._counted_chunk_bytes
        if missing > 0:
            step = max(missing, _RECEIVE_BYTES)
            await self._hold_message(step)
            self._counted_chunk_bytes += step

    def _check_chunked_size(self, size, wire_size, bare_size):
        if size > self._maximum_body_bytes:
            raise self._body_too_large(size)
        if bare_size > self._maximum_head_bytes:
            raise self._head_too_large()
        if wire_size - size > (
            MAXIMUM_CHUNK_OVERHEAD_BYTES + size * MAXIMUM_CHUNK_OVERHEAD_RATIO
        ):
            raise self._body_too_large(wire_size)

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
    holder : memory_account.Holder, optional
        Counts what the connection holds.
    turns : turns.TurnQueue, optional
        Orders the decoding of bytes of several connections.

    Attributes
    ----------
    is_persistent : bool
        Whether the client keeps the connection open after the request that
        was read last.
    message_bytes : int
        Bytes that the holder counts for that request besides a large body.
        The caller releases them.
    """

    def __init__(
        self,
        *,
        stream,
        maximum_head_bytes=MAXIMUM_HEAD_BYTES,
        maximum_body_bytes=MAXIMUM_REQUEST_BODY_BYTES,
        head_timeout_seconds=HEAD_TIMEOUT_SECONDS,
        holder=None,
        turns=None,
    ):
        super().__init__(
            stream=stream,
            maximum_body_bytes=maximum_body_bytes,
            maximum_head_bytes=maximum_head_bytes,
            holder=holder,
            turns=turns,
        )
        self._head_timeout_seconds = head_timeout_seconds
        # Header fields of the request that is being read.
        self._fields = ()
        # ``await before_continue()`` is called before an interim response is
        # sent. The caller may still be sending earlier answers.
        self.before_continue = trio.lowlevel.checkpoint_if_cancelled
        # Counted for a larger buffer of the socket.
        self._socket_buffer_bytes = 0

    def set_limits(
        self, *, maximum_head_bytes, maximum_body_bytes, head_timeout_seconds
    ):
        """Change the limits for the next request; see the constructor."""
        self._maximum_head_bytes = maximum_head_bytes
        self._maximum_body_bytes = maximum_body_bytes
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
            if self._buffer.startswith(b"\r\n"):
                self._buffer = self._buffer[
                    _EMPTY_LINES.match(self._buffer).end() :
                ]
            if self._buffer and self._buffer != b"\r":
                return True
            self._served_bytes = 0
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
        now = trio.current_time()
        self._receive_deadline = now + self._head_timeout_seconds
        self._holder.progressed_at = now
        self.message_bytes = 0
        self._counted_chunk_bytes = 0
        try:
            return await self._read()
        except BaseException:
            self._release_message()
            raise
        finally:
            self._receive_deadline = math.inf
            # The connection may be kept for long without another request.
            self._fields = ()

    async def _read(self):
        head = await self._read_head()
        parsed = _ParsedMessage()
        self._fields = parsed.fields
        parser = httptools.HttpRequestParser(parsed)
        try:
            # Before the head is parsed: its fields take more memory than it.
            await self._hold_message(
                _REQUEST_BYTES
                + _HEAD_COPIES * len(head)
                + _FIELD_BYTES * head.count(b"\r\n")
            )
        except errors.RequestMemoryError as error:
            await self._in_turn(len(head), self._feed, parser, head)
            error.headers = tuple(parsed.fields)
            raise
        await self._in_turn(len(head), self._feed, parser, head)
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
            if (length or 0) > body_buffer.LARGE_BODY_BYTES:
                await self._wait_for_room(length)
            if expectation and not self._buffer:
                with self._client_waits():
                    await self.before_continue()
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

    def _enlarge_socket_buffer(self):
        # Streams in memory have no buffer in the kernel.
        expect = getattr(self._stream, "expect_large_message", None)
        size = memory_account.LARGE_UNREAD_BYTES
        if expect is not None and self._holder.try_hold(size):
            self._socket_buffer_bytes = size
            self._holder.account.unread_bytes += size
            expect()

    def _restore_socket_buffer(self):
        if self._socket_buffer_bytes:
            self._holder.release(self._socket_buffer_bytes)
            self._holder.account.unread_bytes -= self._socket_buffer_bytes
            self._socket_buffer_bytes = 0
            self._stream.expect_large_message(False)

    async def _wait_for_room(self, length):
        """Wait until a body fits, if others wait for memory already.

        The connection holds only a head meanwhile. So the bodies that were
        received in part can be completed or given up first.

        Raises
        ------
        errors.BodyTooLargeError
        errors.RequestMemoryError
        """
        account = self._holder.account
        if length > account.maximum_message_bytes:
            raise errors.BodyTooLargeError(
                f"the body has {length} bytes; the memory of this host "
                f"suffices for {account.maximum_message_bytes:.0f}"
            )
        if not account.paused or self._holder.can_hold(length):
            return
        if account.paused >= memory_account.MAXIMUM_PAUSED_BEFORE_BODY:
            account.refused_count += 1
            raise self._no_memory(length)
        await self._wait_for_memory(length, self._may_begin)

    def _may_begin(self, length):
        """Return whether a body that waited may be received now.

        One begins in an interval, since the next has to see its bytes.
        """
        account = self._holder.account
        now = trio.current_time()
        if now < account.next_body_at or not self._holder.can_hold(length):
            return False
        account.next_body_at = now + _PAUSE_CHECK_SECONDS
        return True

    def _no_memory(self, size):
        error = errors.RequestMemoryError(
            f"no memory for {size} more bytes of the request; it has not run"
        )
        error.headers = tuple(self._fields)
        return error

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
    holder : memory_account.Holder, optional
        Counts what the connection holds.

    Attributes
    ----------
    is_persistent : bool
        Whether the connection may be used for another request.
    """

    _pause_bytes = memory_account.LARGE_UNREAD_BYTES

    def __init__(
        self,
        *,
        stream,
        accepts_unframed=False,
        accepts_extra_bytes=False,
        budget=None,
        holder=None,
    ):
        super().__init__(
            stream=stream,
            maximum_body_bytes=MAXIMUM_RESPONSE_BODY_BYTES,
            budget=budget,
            holder=holder,
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
        self._counted_chunk_bytes = 0
        try:
            return await self._read(method)
        finally:
            self._release()
            self._release_message()

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
        buffer = body_buffer.BodyBuffer(holder=self._holder)
        received, self._buffer = self._buffer, b""
        try:
            while True:
                await self._append(buffer, received)
                if buffer.size > self._maximum_body_bytes:
                    raise self._body_too_large(buffer.size)
                self._hold(buffer.size)
                received = await self._receive()
                if not received:
                    return buffer.finish()
        except BaseException:
            buffer.discard()
            raise

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


async def discard_input(stream, maximum_bytes=DISCARD_BYTES):
    """Read and discard incoming bytes, up to a time and size limit.

    Parameters
    ----------
    stream : trio.abc.Stream
    maximum_bytes : int, optional
        For a client that may still send its body, the limit of bodies.
    """
    with trio.move_on_after(DISCARD_SECONDS):
        try:
            if hasattr(stream, "send_eof"):
                await stream.send_eof()
            remaining_bytes = max(maximum_bytes, DISCARD_BYTES)
            while remaining_bytes > 0:
                received = await stream.receive_some(_RECEIVE_BODY_BYTES)
                if not received:
                    return
                remaining_bytes -= len(received)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
