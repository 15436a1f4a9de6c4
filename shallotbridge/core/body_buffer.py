"""Holds a large message body once, counted for as long as it exists."""

import contextlib
import mmap

from . import memory_account

# Larger bodies are held in a `BodyBuffer`, without any further copy.
LARGE_BODY_BYTES = memory_account.SMALL_BYTES
# Bytes that are counted at once while a body grows.
STEP_BYTES = 64 * 1024
# Address space of a body at first; it doubles.
INITIAL_BYTES = 1024 * 1024


class _Mapping(mmap.mmap):
    """Private memory that goes back to the system when nothing refers to it.

    Memory of the allocator's heap would stay with the process.
    """

    holder = None
    counted_bytes = 0

    def __del__(self):
        self.release()

    def release(self):
        if self.counted_bytes:
            self.holder.release(self.counted_bytes)
            self.counted_bytes = 0


class BodyBuffer:
    """A body that is being received.

    Parameters
    ----------
    holder : memory_account.Holder
    size_hint : int, optional
        Size of the complete body, if it is known.

    Attributes
    ----------
    size : int
        Number of bytes received.

    Examples
    --------
    >>> buffer = BodyBuffer(holder=memory_account.unlimited_holder())
    >>> buffer.try_reserve(5)
    True
    >>> buffer.append(b"hello")
    >>> bytes(buffer.finish())
    b'hello'
    """

    def __init__(self, *, holder, size_hint=None):
        # Pages take memory only when they are written.
        self._mapping = _Mapping(
            -1,
            min(size_hint or INITIAL_BYTES, INITIAL_BYTES),
            flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS,
        )
        # Pages of 2 MB would take more than is counted.
        with contextlib.suppress(OSError):
            self._mapping.madvise(mmap.MADV_NOHUGEPAGE)
        self._mapping.holder = holder
        self.size = 0

    def try_reserve(self, size):
        """Count the next bytes; return False if there is no room for them."""
        mapping = self._mapping
        missing = self.size + size - mapping.counted_bytes
        if missing <= 0:
            return True
        step = max(missing, STEP_BYTES)
        if not mapping.holder.try_hold(step):
            return False
        mapping.counted_bytes += step
        return True

    def reserve(self, size):
        """Count the next bytes whether or not there is room."""
        mapping = self._mapping
        missing = self.size + size - mapping.counted_bytes
        if missing > 0:
            mapping.holder.hold(missing)
            mapping.counted_bytes += missing

    def append(self, data):
        """Append reserved bytes."""
        mapping = self._mapping
        self.size += len(data)
        if self.size > len(mapping):
            mapping.resize(max(self.size, 2 * len(mapping)))
        mapping.write(data)

    def finish(self):
        """Return the body as a read-only view, which keeps it counted."""
        mapping, self._mapping = self._mapping, None
        return memoryview(mapping)[: self.size].toreadonly()

    def discard(self):
        """Free the memory at once, although a traceback may refer to it."""
        mapping, self._mapping = self._mapping, None
        if mapping is not None:
            mapping.close()
            mapping.release()
