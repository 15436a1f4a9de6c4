"""Counts the bytes and the connections that requests hold, and bounds both.

Responds to clients that make a node hold more than its host has: many large
bodies, heads, pipelined requests, unread answers or silent connections. The
account decides only; callers pass in the time and close connections.
"""

import math

# Limit of an account that bounds nothing.
UNLIMITED_BYTES = 2**62
# The allowance of a connection: bytes that are counted with it from its start,
# so that ordinary requests always find room and change no sum.
ALLOWANCE_BYTES = 20 * 1024
# Memory of an open connection: 10 KB for its tasks, the allowance, and what
# the kernel receives before it is read.
CONNECTION_BYTES = 40 * 1024
# Connections that hold at most this much may use the part of the memory that
# larger ones leave.
SMALL_BYTES = 64 * 1024
SMALL_RESERVE_RATIO = 1 / 16
# Part of the memory that messages leave for new connections.
CONNECTION_RESERVE_RATIO = 1 / 32
# A connection may hold this multiple of what is left free. So each of many
# greedy ones ends near an equal share, and one alone gets two thirds.
SHARE_FACTOR = 2
# Memory of a node that holds no request (38 MB at the peak of its start), and
# of its view of a large configuration.
BASE_MEMORY_BYTES = 45_000_000
# Part of the other memory that the account may give out. The rest is for what
# it doesn't count: copies of at most 64 KiB, and the allocator's overhead.
COUNTED_RATIO = 0.85
# A host with less than the base gets this part of its memory.
MINIMUM_RATIO = 0.25
# Part of the memory that the connections themselves may take.
CONNECTIONS_RATIO = 0.5
# Part of the memory that stays free of resident memory and of received bytes,
# where resident memory is measured.
RESIDENT_RESERVE_RATIO = 1 / 16
# The account gives out at least this part of its limit. Memory that the
# allocator keeps is resident, but is used again.
MINIMUM_LIMIT_RATIO = 1 / 4
# What the kernel may receive of a connection before it is read, unless its
# receive buffer was enlarged: twice the size that is set, since it doubles
# that, and newer kernels use nearly all of it for bytes of the client.
UNREAD_BYTES = 32 * 1024
# Change of what is held after which resident memory is measured again.
MEASURE_INTERVAL_BYTES = 512 * 1024
# Minimum interval between two returns of free memory to the system.
TRIM_INTERVAL_SECONDS = 1.0
# File descriptors of the process that the platform reserves for files.
RESERVED_DESCRIPTORS = 200
# Part of the others for client connections; the rest is for the connections
# to other nodes, the upstream and the store.
CLIENT_DESCRIPTOR_RATIO = 0.75
# The same of a connection that receives a large message.
LARGE_UNREAD_BYTES = 256 * 1024
# What the kernel holds of a connection whose client doesn't read.
UNSENT_BYTES = 128 * 1024
# Fewer bytes than this are no progress of a connection that holds memory.
PROGRESS_BYTES = 16 * 1024
# A connection without progress for this time is closed if memory is short.
STALL_SECONDS = 1.0
# Minimum interval between two searches for such connections.
SCAN_INTERVAL_SECONDS = 0.05
# Part of the limit that one search frees at least, if it can.
FREED_RATIO = 1 / 8
# Connections that wait for memory at the same time; others are refused.
MAXIMUM_PAUSED = 64
# While so many wait, a new body without room is refused at once, so that those
# received in part can still wait.
MAXIMUM_PAUSED_BEFORE_BODY = MAXIMUM_PAUSED // 2
# Part of the connections that is closed at once when too many are open, so
# that the search for them is rare.
CLOSED_CONNECTIONS_RATIO = 1 / 16


def derive_limit_bytes(memory_bytes):
    """Return what a process with this memory may hold for requests.

    Examples
    --------
    >>> derive_limit_bytes(200_000_000)
    131750000
    """
    return int(
        max(
            (memory_bytes - BASE_MEMORY_BYTES) * COUNTED_RATIO,
            memory_bytes * MINIMUM_RATIO,
        )
    )


def derive_connection_limit(memory_bytes, file_descriptors):
    """Return how many client connections a process may have.

    Examples
    --------
    >>> derive_connection_limit(200_000_000, 4100)
    1608
    >>> derive_connection_limit(552_000_000, 4100)
    2925
    """
    by_descriptors = (
        file_descriptors - RESERVED_DESCRIPTORS
    ) * CLIENT_DESCRIPTOR_RATIO
    by_memory = (
        derive_limit_bytes(memory_bytes) * CONNECTIONS_RATIO / CONNECTION_BYTES
    )
    return max(1, int(min(by_descriptors, by_memory)))


class MemoryAccount:
    """What all connections of a node hold.

    Parameters
    ----------
    limit_bytes : int
    connection_limit : float
        Maximum number of client connections.
    on_closed : callable
        ``on_closed(reason, holder)`` is called with each connection that the
        account closes.
    memory_bytes : float
        Memory of the process.
    read_resident_bytes : callable
        Returns the resident memory of the process, or None.
    trim : callable
        Returns free memory of the process to the system.

    Attributes
    ----------
    limit_bytes : int
        What the account gives out now: `limit_bytes` of the constructor, or
        less while resident memory exceeds what is counted.
    unread_bytes : int
        The part of what is held that is not resident, but in receive buffers
        of sockets that were enlarged.
    held_bytes : int
    peak_bytes : int
        Largest value of `held_bytes` so far.
    connection_count : int
        Open client connections.
    paused : int
        Connections that wait for memory now.
    next_body_at : float
        When a body that waited for room may be received next.
    paused_count, refused_count, closed_count : int
        How often reading paused, a request was refused and a connection was
        closed.

    Examples
    --------
    >>> account = MemoryAccount(limit_bytes=3_000_000)
    >>> holder = Holder(account=account)
    >>> holder.try_hold(2_000_000), holder.try_hold(1_000_000)
    (False, True)
    >>> holder.release(1_000_000)
    >>> account.held_bytes
    0
    """

    def __init__(
        self,
        *,
        limit_bytes=UNLIMITED_BYTES,
        connection_limit=math.inf,
        on_closed=lambda reason, holder: None,
        memory_bytes=math.inf,
        read_resident_bytes=lambda: None,
        trim=lambda: None,
    ):
        self._full_limit_bytes = limit_bytes
        self.limit_bytes = limit_bytes
        self._memory_bytes = memory_bytes
        self._read_resident_bytes = read_resident_bytes
        self._trim = trim
        self._next_trim_at = -math.inf
        self._measured_at_bytes = 0
        self.unread_bytes = 0
        self._connection_limit = connection_limit
        self._on_closed = on_closed
        self._holders = set()
        self._next_scan_at = -math.inf
        self.held_bytes = 0
        self.peak_bytes = 0
        self.paused = 0
        self.next_body_at = -math.inf
        self.paused_count = 0
        self.refused_count = 0
        self.closed_count = 0

    @property
    def connection_count(self):
        """Number of open client connections."""
        return len(self._holders)

    @property
    def maximum_message_bytes(self):
        """Size of the largest message that fits if nothing else is held."""
        return (
            self._full_limit_bytes
            * (1 - SMALL_RESERVE_RATIO)
            * SHARE_FACTOR
            / (SHARE_FACTOR + 1)
        )

    def has_room(self, held_bytes, size):
        """Return whether a connection that holds bytes may hold more."""
        if abs(self.held_bytes - self._measured_at_bytes) > (
            MEASURE_INTERVAL_BYTES
        ):
            self.measure()
        total = held_bytes + size
        free = self.limit_bytes - self.held_bytes - size
        if total <= SMALL_BYTES:
            return free >= self.limit_bytes * CONNECTION_RESERVE_RATIO
        reserve = self.limit_bytes * SMALL_RESERVE_RATIO
        return total <= SHARE_FACTOR * (free - reserve)

    def add(self, size):
        """Count bytes, or count fewer if the size is negative."""
        self.held_bytes += size
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes

    def add_unread(self, size):
        """Count bytes in the receive buffer of a socket, or count fewer."""
        self.unread_bytes += size
        self.add(size)

    def measure(self):
        """Adapt the limit to the resident memory of the process.

        The heap has more than is counted: copies, and free memory between
        objects that are in use.
        """
        self._measured_at_bytes = self.held_bytes
        resident = self._read_resident_bytes()
        if resident is None:
            return
        free = (
            self._memory_bytes * (1 - RESIDENT_RESERVE_RATIO)
            - resident
            - self.unread_bytes
            - len(self._holders) * UNREAD_BYTES
        )
        self.limit_bytes = max(
            self._full_limit_bytes * MINIMUM_LIMIT_RATIO,
            min(self._full_limit_bytes, self.held_bytes + free),
        )

    def relieve(self, now):
        """Return free memory to the system if the limit had to be lowered."""
        self.measure()
        if self.limit_bytes < self._full_limit_bytes and (
            now >= self._next_trim_at
        ):
            self._next_trim_at = now + TRIM_INTERVAL_SECONDS
            self._trim()
            self.measure()

    def open_connection(self, holder, now):
        """Count a client connection; return whether it may stay.

        If there are too many, or no memory for one more, connections for
        whose clients the node waits are closed: those that never had a
        request first, the longest idle first.
        """
        if not self._has_room_for_connection():
            self.relieve(now)
        if not self._has_room_for_connection():
            self._close_idle()
            if not self._has_room_for_connection():
                return False
        holder.progressed_at = now
        self._holders.add(holder)
        self.add(CONNECTION_BYTES)
        return True

    def _has_room_for_connection(self):
        return (
            len(self._holders) < self._connection_limit
            and self.held_bytes + CONNECTION_BYTES <= self.limit_bytes
        )

    def close_connection(self, holder):
        """Stop counting a client connection."""
        if holder in self._holders:
            self._holders.discard(holder)
            self.add(-CONNECTION_BYTES)

    def _close_idle(self):
        idle = [each for each in self._holders if each.is_waiting_for_client]
        idle.sort(key=lambda each: (each.has_served, each.progressed_at))
        count = 1 + int(len(self._holders) * CLOSED_CONNECTIONS_RATIO)
        for holder in idle[:count]:
            self._close("connections", holder)

    def close_stalled(self, now, size):
        """Close connections that make no progress, the largest first.

        Parameters
        ----------
        now : float
        size : int
            Bytes for which there is no room.
        """
        if now < self._next_scan_at:
            return
        self._next_scan_at = now + SCAN_INTERVAL_SECONDS
        self.relieve(now)
        stalled = [
            each
            for each in self._holders
            if each.is_waiting_for_client
            and each.total_bytes > ALLOWANCE_BYTES
            and now - each.progressed_at >= STALL_SECONDS
        ]
        stalled.sort(key=lambda each: each.total_bytes, reverse=True)
        missing = max(size, self.limit_bytes * FREED_RATIO)
        for holder in stalled:
            if missing <= 0:
                return
            missing -= holder.total_bytes
            self._close("memory", holder)

    def _close(self, reason, holder):
        self.closed_count += 1
        self._on_closed(reason, holder)
        self.close_connection(holder)
        holder.close()


class Holder:
    """What one connection holds.

    Parameters
    ----------
    account : MemoryAccount
    close : callable, optional
        Closes the connection at once.

    Attributes
    ----------
    held_bytes : int
        Bytes of the messages of this connection.
    unsent_bytes : int
        Bytes of answers that wait until the client reads them and that are
        counted elsewhere.
    is_waiting_for_client : bool
        Whether the node waits for the client to send or to read.
    has_served : bool
        Whether a request of the connection was read completely.
    progressed_at : float
    """

    __slots__ = (
        "account",
        "close",
        "held_bytes",
        "unsent_bytes",
        "is_waiting_for_client",
        "has_served",
        "progressed_at",
        "_progress_bytes",
    )

    def __init__(self, *, account, close=lambda: None):
        self.account = account
        self.close = close
        self.held_bytes = 0
        self.unsent_bytes = 0
        self.is_waiting_for_client = False
        self.has_served = False
        self.progressed_at = -math.inf
        self._progress_bytes = 0

    @property
    def total_bytes(self):
        """Bytes that closing the connection frees."""
        return self.held_bytes + self.unsent_bytes

    def can_hold(self, size):
        """Return whether there is room for more bytes."""
        held = self.held_bytes
        return held + size <= ALLOWANCE_BYTES or self.account.has_room(
            held, size
        )

    def try_hold(self, size):
        """Count more bytes; return False if there is no room for them."""
        if not self.can_hold(size):
            return False
        self.hold(size)
        return True

    def hold(self, size):
        """Count more bytes whether or not there is room."""
        held = self.held_bytes
        self.held_bytes = held + size
        if self.held_bytes > ALLOWANCE_BYTES:
            self.account.add(self.held_bytes - max(held, ALLOWANCE_BYTES))

    def release(self, size):
        """Count fewer bytes."""
        held = self.held_bytes
        self.held_bytes = held - size
        if held > ALLOWANCE_BYTES:
            self.account.add(max(self.held_bytes, ALLOWANCE_BYTES) - held)

    def on_progress(self, size, now):
        """Note bytes that the client sent or read."""
        self._progress_bytes += size
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progressed_at = now


def unlimited_holder():
    """Return a holder without a limit."""
    return Holder(account=MemoryAccount())
