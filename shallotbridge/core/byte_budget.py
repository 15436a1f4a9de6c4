"""Bounds the bytes that a node holds of messages that it is reading."""

# A message of at most this size is never refused for lack of memory.
SMALL_MESSAGE_BYTES = 64 * 1024


class ByteBudget:
    """The memory for large messages, shared by those that are being read.

    A message may hold as much as is free besides. So each of many endless
    ones ends near an equal share, and a small new one always finds room.

    Parameters
    ----------
    limit_bytes : int

    Attributes
    ----------
    held_bytes : int
        Sum of the sizes of all large messages that are being read.
    peak_bytes : int
        Largest such sum so far.
    refused_count : int
        Number of messages that were refused for lack of memory.

    Examples
    --------
    >>> budget = ByteBudget(limit_bytes=1_000_000)
    >>> budget.try_resize(0, 500_000), budget.try_resize(0, 250_000)
    (True, True)
    >>> budget.try_resize(250_000, 300_000)
    False
    """

    def __init__(self, *, limit_bytes):
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.refused_count = 0

    def try_resize(self, held_bytes, size):
        """Change what one message holds; return whether there is room."""
        free_bytes = self._limit_bytes - (self.held_bytes - held_bytes + size)
        if size > max(held_bytes, SMALL_MESSAGE_BYTES, free_bytes):
            self.refused_count += 1
            return False
        self.held_bytes += size - held_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        return True

    def release(self, held_bytes):
        """Give back what one message held."""
        self.held_bytes -= held_bytes
