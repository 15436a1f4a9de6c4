"""Keeps the long-lived tasks of a node running."""

import eliot
import trio

from . import decisions

# Time until a task that failed by a fault of the program runs again, s.
RESTART_SECONDS = 0.5


async def keep_running(task, *arguments, record=decisions.record):
    """Run a task again whenever it fails by a fault of the program.

    An exception that nobody expected would end all tasks of the node, and
    with them the requests of all callers.

    Parameters
    ----------
    task : callable
        ``await task(*arguments)``; its end without an exception ends this.
    record : callable
        ``record(action, **fields)`` writes the decision log.

    Examples
    --------
    >>> failures = [ValueError("once")]
    >>> async def task():
    ...     if failures:
    ...         raise failures.pop()
    >>> lines = []
    >>> def record(action, **fields):
    ...     lines.append((action, fields["reason"]))
    >>> trio.run(lambda: keep_running(task, record=record))
    >>> lines
    [('task_failed', "ValueError('once')")]
    """
    while True:
        try:
            await task(*arguments)
            return
        except Exception as error:
            eliot.write_traceback()
            record(
                "task_failed",
                chosen=task.__qualname__,
                reason=repr(error),
                again_s=RESTART_SECONDS,
            )
        await trio.sleep(RESTART_SECONDS)
