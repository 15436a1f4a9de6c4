"""Supervision of the long-running tasks of a node."""

import eliot
import trio

from . import decisions

# Delay before a failed task is restarted.
RESTART_DELAY_SECONDS = 0.5


async def keep_running(task, *arguments, record=decisions.record):
    """Run a task and restart it after each unexpected exception.

    Without this, an unexpected exception would end all tasks of the node and
    thereby the requests of all callers.

    Parameters
    ----------
    task : callable
        Called as ``await task(*arguments)``; not restarted if it returns
        without an exception.
    record : callable
        Called as ``record(action, **fields)`` to write the decision log.

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
                again_s=RESTART_DELAY_SECONDS,
            )
        await trio.sleep(RESTART_DELAY_SECONDS)
