"""Tests of the order of costly work of several connections."""

import trio
import trio.testing

from shallotbridge.core import turns


async def _work(queue, served_bytes, log):
    await queue.take(served_bytes)
    log.append(served_bytes)
    await queue.release()


async def test_a_crowd_does_not_delay_a_connection_that_was_served_less():
    """Guards against a crowd of small chunks that takes all turns.

    The load is that of many connections with bytes to decode at any time.
    """
    queue = turns.TurnQueue()
    log = []
    async with trio.open_nursery() as nursery:
        await queue.take(0)
        for number in range(100):
            nursery.start_soon(_work, queue, 100_000 + number, log)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(_work, queue, 0, log)
        await trio.testing.wait_all_tasks_blocked()
        await queue.release()
    assert log[0] == 0
    assert len(log) == 101


async def test_a_cancelled_connection_keeps_no_turn():
    """Guards against work that stops when a client leaves."""
    queue = turns.TurnQueue()
    log = []
    async with trio.open_nursery() as nursery:
        await queue.take(0)
        with trio.move_on_after(0.01):
            await queue.take(0)
        nursery.start_soon(_work, queue, 1, log)
        await trio.testing.wait_all_tasks_blocked()
        await queue.release()
    with trio.fail_after(1):
        await queue.take(0)
    assert log == [1]


async def test_a_turn_granted_to_a_cancelled_connection_is_passed_on():
    """Guards against a node that decodes nothing any more.

    A connection is cancelled, and gets the turn before its task has run. Trio
    runs the tasks of one pass in random order, so that this takes some tries.
    """
    queue = turns.TurnQueue()

    async def wait(scope):
        with scope:
            await queue.take(0)
            await queue.release()

    async def cancel(scope):
        await trio.lowlevel.checkpoint()
        scope.cancel()

    for _ in range(50):
        scope = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            with trio.fail_after(1):
                await queue.take(0)
            nursery.start_soon(wait, scope)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(cancel, scope)
            await trio.lowlevel.checkpoint()
            await queue.release()


async def test_all_tasks_run_between_two_turns():
    """Guards against a node that does nothing but decode."""
    queue = turns.TurnQueue()
    passes = 0
    log = []

    async def count_passes():
        nonlocal passes
        while len(log) < 20:
            await trio.lowlevel.checkpoint()
            passes += 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_passes)
        for number in range(20):
            nursery.start_soon(_work, queue, number, log)
    assert passes >= 20
