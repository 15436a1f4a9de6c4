"""Encodes messages between nodes as length-prefixed MessagePack arrays."""

import collections
import typing

import msgspec
import trio

from .._generated import link
from ..core import errors

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


def encode_frame(message):
    """Return the frame of a message: its length and its encoding.

    Examples
    --------
    >>> encode_frame(link.Cancel(call_id=7)).hex()
    '00000003920207'
    """
    content = _encoder.encode(message)
    return len(content).to_bytes(_LENGTH_PREFIX_BYTES, "big") + content


class FrameReader:
    """Reads the messages of one connection.

    Parameters
    ----------
    stream : trio.abc.ReceiveStream
    on_received : callable
        Called without arguments after each receipt of bytes, which may be a
        part of a message only.
    """

    def __init__(self, *, stream, on_received=lambda: None):
        self._stream = stream
        self._on_received = on_received
        self._buffer = bytearray()
        self.bytes_received = 0

    async def read(self):
        """Return the next message, or None at the end of the stream.

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
                    return _decode(content)
            received = await self._stream.receive_some(_RECEIVE_CHUNK_BYTES)
            if not received:
                return None
            self.bytes_received += len(received)
            self._on_received()
            buffer += received


def _decode(content):
    try:
        return _decoder.decode(content)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.MalformedFrameError(str(error)) from error


class FrameWriter:
    """Writes the frames of many tasks to one stream without interleaving.

    A frame that fits into the socket's buffer is sent without a task switch.
    """

    def __init__(self, *, stream):
        self._stream = stream
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
        data = encode_frame(message)
        self.bytes_sent += len(data)
        if not self._pending:
            sent = self._stream.send_nowait(data)
            if sent == len(data):
                return
            data = memoryview(data)[sent:]
        self._pending.append(data)
        self._has_pending.set()

    async def run(self):
        """Send queued data until cancelled."""
        while True:
            await self._has_pending.wait()
            while self._pending:
                await self._stream.send_all(self._pending[0])
                self._pending.popleft()
            self._has_pending = trio.Event()
