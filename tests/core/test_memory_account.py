"""Tests of what connections may hold, without a network."""

import pytest

from shallotbridge.core import memory_account

LIMIT_BYTES = 100_000_000


def _open(account, **state):
    closed = []
    holder = memory_account.Holder(account=account)

    def close():
        closed.append(holder)
        holder.release(holder.held_bytes)

    holder.close = close
    assert account.open_connection(holder, 0.0)
    for name, value in state.items():
        setattr(holder, name, value)
    return holder, closed


def _fill(holder):
    while holder.try_hold(memory_account.SMALL_BYTES):
        pass


@pytest.mark.parametrize("count", [1, 5, 500])
def test_greedy_connections_leave_room_for_others(count):
    """Guards against a few clients that take all memory."""
    account = memory_account.MemoryAccount(limit_bytes=LIMIT_BYTES)
    for _ in range(count):
        _fill(_open(account, is_waiting_for_client=True)[0])
        assert account.held_bytes <= LIMIT_BYTES
    holder, _ = _open(account)
    assert holder.try_hold(memory_account.ALLOWANCE_BYTES)
    assert count > 1 or account.held_bytes > LIMIT_BYTES * 0.6
    account.close_stalled(10.0, memory_account.SMALL_BYTES)
    assert holder.try_hold(memory_account.SMALL_BYTES)


def test_the_largest_body_fits_on_the_smallest_host():
    """Guards against a bound that a client inside the limits meets in calm."""
    account = memory_account.MemoryAccount(
        limit_bytes=memory_account.derive_limit_bytes(200_000_000)
    )
    for _ in range(500):
        _open(account)
    assert _open(account)[0].try_hold(67_108_864)


def test_connections_without_progress_are_closed_the_largest_first():
    """Guards against closing clients that make progress, or many small ones.

    A connection whose reading pauses waits for the node, not for its client.
    """
    account = memory_account.MemoryAccount(limit_bytes=LIMIT_BYTES)
    waiting = {"is_waiting_for_client": True}
    small, small_closed = _open(account, **waiting)
    large, large_closed = _open(account, **waiting)
    paused, paused_closed = _open(account)
    quick, quick_closed = _open(account, **waiting)
    for holder, size in ((small, 1), (large, 20), (paused, 30), (quick, 20)):
        assert holder.try_hold(size * 1_000_000)
    quick.on_progress(memory_account.PROGRESS_BYTES, 1.9)
    account.close_stalled(2.0, 1_000_000)
    assert (large_closed, small_closed) == ([large], [])
    account.close_stalled(2.1, 30_000_000)
    assert small_closed == [small]
    assert not paused_closed and not quick_closed
    assert account.closed_count == 2


def test_idle_connections_give_way_to_new_ones():
    """Guards against silent clients that use up the descriptors.

    Clients that had requests keep their connections longest.
    """
    account = memory_account.MemoryAccount(connection_limit=3)
    idle = {"is_waiting_for_client": True}
    served, served_closed = _open(account, has_served=True, **idle)
    _, silent_closed = _open(account, progressed_at=5.0, **idle)
    _open(account)
    _open(account)
    assert len(silent_closed) == 1 and not served_closed
    _open(account)
    assert served_closed
    busy = memory_account.Holder(account=account)
    assert not account.open_connection(busy, 6.0)
    assert account.connection_count == 3


def _measured(uncounted_bytes, **options):
    """Return an account of a process with 200 MB, and what it measures.

    All that is held is resident, but for received bytes that nobody reads.
    """
    measured = {"uncounted_bytes": uncounted_bytes}

    def read_resident_bytes():
        return (
            measured["uncounted_bytes"]
            + account.held_bytes
            - account.unread_bytes
        )

    account = memory_account.MemoryAccount(
        limit_bytes=LIMIT_BYTES,
        memory_bytes=200_000_000,
        read_resident_bytes=read_resident_bytes,
        **options,
    )
    return account, measured


def test_memory_that_is_not_counted_lowers_the_limit():
    """Guards against a process that ends for memory that nothing counts."""
    account, measured = _measured(50_000_000)
    holder, _ = _open(account)
    _fill(holder)
    assert account.held_bytes > LIMIT_BYTES * 0.6
    assert account.limit_bytes == LIMIT_BYTES
    holder.release(holder.held_bytes)
    measured["uncounted_bytes"] = 150_000_000
    _fill(holder)
    # 187.5 MB may be resident.
    assert 0 < account.held_bytes <= 37_500_000
    assert account.limit_bytes == 37_500_000 - memory_account.UNREAD_BYTES


def test_received_bytes_that_nobody_reads_are_part_of_the_memory():
    """Guards against memory of sockets, which the host counts as well."""
    account, measured = _measured(150_000_000)
    account.add_unread(10_000_000)
    account.measure()
    assert account.limit_bytes == 37_500_000


def test_memory_that_the_allocator_keeps_refuses_no_client_for_good():
    """Guards against a node that refuses all after its heap was large.

    Free memory goes back to the system; what the allocator can't return is
    used again.
    """
    trimmed = []

    def trim():
        trimmed.append(True)
        measured["uncounted_bytes"] = 60_000_000

    account, measured = _measured(199_000_000, trim=trim)
    account.measure()
    assert account.limit_bytes == LIMIT_BYTES * 0.25
    holder = memory_account.Holder(account=account)
    assert account.open_connection(holder, 1.0)
    account.relieve(1.0)
    account.relieve(1.1)
    assert trimmed == [True]
    assert account.limit_bytes == LIMIT_BYTES


def test_a_body_that_the_host_can_hold_later_is_not_too_large():
    """Guards against 413 while memory is short, which ends all retries."""
    account, _ = _measured(190_000_000)
    account.measure()
    assert account.limit_bytes < LIMIT_BYTES
    assert account.maximum_message_bytes > LIMIT_BYTES * 0.6
