"""Encodes messages between nodes as length-prefixed MessagePack arrays.

A large body is held once: it is sent from where it is, and a received message
refers to the frame that it came in.
"""

import collections
import dataclasses
import typing

import msgspec
import trio

from .._generated import link
from ..core import body_buffer
from ..core import errors
from ..core import memory_account

# Fits the largest body that a configuration may allow and the request's head.
MAXIMUM_FRAME_BYTES = 72 * 1024 * 1024
_RECEIVE_CHUNK_BYTES = 64 * 1024
_LENGTH_PREFIX_BYTES = 4

Message = typing.Union[
    link.Work,
    link.Cancel,
    link.Answer,
    link.Refusal,
    link.Failure,
    link.Ping,
    link.Pong,
    link.Pull,
    link.Items,
    link.QuotaRequest,
    link.QuotaGrant,
]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
# Messages with a body, which may be large.
_BODY_TYPES = (link.Work, link.Answer)
_BODY_TYPES_BY_TAG = {each.__struct_config__.tag: each for each in _BODY_TYPES}
_MAXIMUM_FIXARRAY = 15
_MAXIMUM_FIXINT = 0x7F
# Bytes at the start of a frame that have its tag and call id.
_PREFIX_BYTES = 16


def _with_body_view(message_type):
    """Return a type whose body is decoded as a view of the frame."""
    fields = []
    for field in msgspec.structs.fields(message_type):
        type_ = memoryview if field.name == "body" else field.type
        if field.default is msgspec.NODEFAULT:
            fields.append((field.name, type_))
        else:
            fields.append((field.name, type_, field.default))
    return msgspec.defstruct(
        message_type.__name__,
        fields,
        array_like=True,
        tag=message_type.__struct_config__.tag,
        gc=False,
    )


_TYPES_BY_VIEW_TYPE = {_with_body_view(each): each for each in _BODY_TYPES}
_view_decoder = msgspec.msgpack.Decoder(
    typing.Union[
        tuple(
            each
            for each in typing.get_args(Message)
            if each not in _BODY_TYPES
        )
        + tuple(_TYPES_BY_VIEW_TYPE)
    ]
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SkippedMessage:
    """A message with a large body for which there was no memory.

    Attributes
    ----------
    message_type : type
    call_id : int
    size : int
        Size of its frame, bytes.
    """

    message_type: type
    call_id: int
    size: int


def encode_frame(message):
    """Return the frame of a message: its length and its encoding.

    Examples
    --------
    >>> encode_frame(link.Cancel(call_id=7)).hex()
    '00000003920207'
    """
    content = _encoder.encode(message)
    return len(content).to_bytes(_LENGTH_PREFIX_BYTES, "big") + content


def encode_parts(message):
    """Return the frame of a message as buffers; a large body is one of them.

    Examples
    --------
    >>> [part.hex() for part in encode_parts(link.Cancel(call_id=7))]
    ['00000003920207']
    """
    if (
        type(message) not in _BODY_TYPES
        or len(message.body) <= body_buffer.LARGE_BODY_BYTES
    ):
        return (encode_frame(message),)
    values = msgspec.structs.astuple(message)
    index = message.__struct_fields__.index("body")
    tag = message.__struct_config__.tag
    count = len(values) + 1
    array_head = (
        bytes([0x90 + count])
        if count <= _MAXIMUM_FIXARRAY
        else b"\xdc" + count.to_bytes(2, "big")
    )
    size = len(message.body)
    before = b"".join(
        (
            array_head,
            _encode_values((tag, *values[:index])),
            b"\xc6",
            size.to_bytes(4, "big"),
        )
    )
    after = _encode_values(values[index + 1 :])
    length = len(before) + size + len(after)
    return (
        length.to_bytes(_LENGTH_PREFIX_BYTES, "big") + before,
        message.body,
        after,
    )


def _encode_values(values):
    return b"".join(_encoder.encode(value) for value in values)


def _read_call(prefix):
    """Return the type and the call id of a message with a body, or None.

    Parameters
    ----------
    prefix : bytes
        The first bytes of the encoded message.
    """
    position = 1 if prefix[0] >> 4 == 0x9 else 3
    message_type = _BODY_TYPES_BY_TAG.get(prefix[position])
    if message_type is None:
        return None
    first = prefix[position + 1]
    if first <= _MAXIMUM_FIXINT:
        return message_type, first
    # 0xcc to 0xcf are unsigned integers of 1, 2, 4 and 8 bytes.
    size = 1 << (first - 0xCC) if 0xCC <= first <= 0xCF else 0
    start = position + 2
    return message_type, int.from_bytes(prefix[start : start + size], "big")


class FrameReader:
    """Reads the messages of one connection.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
    on_received : callable
        Called without arguments after each receipt of bytes, which may be a
        part of a message only.
    holder : memory_account.Holder, optional
        Counts what the connection holds.
    """

    def __init__(self, *, stream, on_received=lambda: None, holder=None):
        self._stream = stream
        self._on_received = on_received
        self._holder = holder or memory_account.unlimited_holder()
        self._buffer = bytearray()
        self.bytes_received = 0

    async def read(self):
        """Return the next message, or None at the end of the stream.

        A message with a large body for which there is no memory is received
        and dropped; the result is a ``SkippedMessage`` then. Reading does not
        pause, because it would delay the other messages of the connection.

        Raises
        ------
        errors.MalformedFrameError
            The caller must close the connection.
        """
        buffer = self._buffer
        while True:
            if len(buffer) >= _LENGTH_PREFIX_BYTES:
                end = _LENGTH_PREFIX_BYTES + int.from_bytes(
                    buffer[:_LENGTH_PREFIX_BYTES], "big"
                )
                if end > MAXIMUM_FRAME_BYTES:
                    raise errors.MalformedFrameError(
                        f"frame of {end} bytes exceeds the limit of "
                        f"{MAXIMUM_FRAME_BYTES} bytes"
                    )
                if len(buffer) >= end:
                    content = bytes(buffer[_LENGTH_PREFIX_BYTES:end])
                    del buffer[:end]
                    return _decode(_decoder, content)
                if (
                    end > body_buffer.LARGE_BODY_BYTES
                    and len(buffer) >= _LENGTH_PREFIX_BYTES + _PREFIX_BYTES
                ):
                    return await self._read_large(end - _LENGTH_PREFIX_BYTES)
            received = await self._receive(_RECEIVE_CHUNK_BYTES)
            if not received:
                return None
            buffer += received

    async def _receive(self, maximum):
        received = await self._stream.receive_some(maximum)
        self.bytes_received += len(received)
        if received:
            self._on_received()
        return received

    async def _read_large(self, size):
        """Read a frame whose first bytes were received."""
        received = bytes(self._buffer[_LENGTH_PREFIX_BYTES:])
        self._buffer.clear()
        call = _read_call(received[:_PREFIX_BYTES])
        content = body_buffer.BodyBuffer(holder=self._holder, size_hint=size)
        missing = size
        try:
            while True:
                missing -= len(received)
                if content is not None:
                    content = self._append(content, received, call)
                if not missing:
                    break
                received = await self._receive(
                    min(missing, _RECEIVE_CHUNK_BYTES)
                )
                if not received:
                    return None
                if len(received) > missing:
                    self._buffer += received[missing:]
                    received = received[:missing]
            if content is None:
                message_type, call_id = call
                return SkippedMessage(
                    message_type=message_type, call_id=call_id, size=size
                )
            view, content = content.finish(), None
            message = _decode(_view_decoder, view)
        finally:
            if content is not None:
                content.discard()
        message_type = _TYPES_BY_VIEW_TYPE.get(type(message))
        if message_type is None:
            return message
        return message_type(*msgspec.structs.astuple(message))

    def _append(self, content, received, call):
        """Append bytes; return None if there is no memory for them.

        Only messages with a body are bounded: items of the configuration
        must arrive.
        """
        size = len(received)
        if call is None:
            content.reserve(size)
        elif not content.try_reserve(size):
            account = self._holder.account
            account.close_stalled(trio.current_time(), size)
            if not content.try_reserve(size):
                account.refused_count += 1
                content.discard()
                return None
        content.append(received)
        return content


def _decode(decoder, content):
    try:
        return decoder.decode(content)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.MalformedFrameError(str(error)) from error


class FrameWriter:
    """Writes the frames of many tasks to one stream without interleaving.

    A frame that fits into the socket's buffer is sent without a task switch.

    Parameters
    ----------
    stream : trio.abc.SendStream
    holder : memory_account.Holder, optional
        Counts what waits to be sent, besides large bodies, which are counted
        for as long as they exist.
    on_sent : callable
        Called without arguments after each part of a large body that the
        socket accepted.
    """

    def __init__(self, *, stream, holder=None, on_sent=lambda: None):
        self._stream = stream
        self._holder = holder or memory_account.unlimited_holder()
        self._on_sent = on_sent
        self._pending = collections.deque()
        self._has_pending = trio.Event()
        self.bytes_sent = 0

    def send(self, message):
        """Send a message at once and queue what the socket does not accept.

        Raises
        ------
        trio.BrokenResourceError
            The connection is broken; no part of the message was sent.
        """
        for data in encode_parts(message):
            self.bytes_sent += len(data)
            if not self._pending:
                sent = self._stream.send_nowait(data)
                if sent == len(data):
                    continue
                data = memoryview(data)[sent:]
            counted = (
                0 if len(data) > body_buffer.LARGE_BODY_BYTES else len(data)
            )
            self._holder.hold(counted)
            self._pending.append((data, counted))
            self._has_pending.set()

    async def run(self):
        """Send queued data until cancelled."""
        while True:
            await self._has_pending.wait()
            while self._pending:
                data, counted = self._pending[0]
                while data:
                    sent = await self._stream.send_some(data)
                    if sent < len(data):
                        self._on_sent()
                    data = memoryview(data)[sent:]
                self._pending.popleft()
                self._holder.release(counted)
            self._has_pending = trio.Event()

    def close(self):
        """Drop what waits to be sent."""
        while self._pending:
            self._holder.release(self._pending.popleft()[1])
