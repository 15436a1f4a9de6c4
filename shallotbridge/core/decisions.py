"""The decision log: one JSON line per routing or placement decision."""

import os
import time

import eliot

MESSAGE_PREFIX = "shallotbridge:"
# Lines that are kept until the log library is loaded; one more loads it.
MAXIMUM_DEFERRED_LINES = 2000

# Time, action and fields of the lines to write; None unless they are kept.
_deferred_lines = None
# Called when too many lines are kept.
_start_logging = None


def record(action, **fields):
    """Log one decision with its inputs and its reason.

    Parameters
    ----------
    action : str
        Type of decision, such as ``route`` or ``configuration_applied``;
        docs/log.md lists all of them.
    **fields
        JSON-serializable values, by convention ``chosen``,
        ``candidates`` and ``reason``.
    """
    if _deferred_lines is not None:
        if len(_deferred_lines) < MAXIMUM_DEFERRED_LINES:
            _deferred_lines.append((time.time(), action, fields))
            return
        _start_logging()
    eliot.log_message(message_type=MESSAGE_PREFIX + action, **fields)


def begin_deferral(start_logging):
    """Keep the lines in memory, so that the log library need not be loaded.

    Parameters
    ----------
    start_logging : callable
        Called without arguments if too many lines are kept; it must call
        ``end_deferral``.
    """
    global _deferred_lines, _start_logging
    _deferred_lines = []
    _start_logging = start_logging


def end_deferral():
    """Write the lines that were kept, with their own times."""
    global _deferred_lines
    lines, _deferred_lines = _deferred_lines or (), None
    logger = eliot.Logger()
    for written_at, action, fields in lines:
        logger.write(
            {
                **fields,
                "timestamp": written_at,
                "task_uuid": os.urandom(16).hex(),
                "task_level": [1],
                "message_type": MESSAGE_PREFIX + action,
            }
        )


class RateLimitedLog:
    """Rate-limited log of frequent outcomes; counts the omitted lines.

    Parameters
    ----------
    rate : int
        Maximum lines per second.
    record : callable, optional
        ``record(action, **fields)`` writes a line; this module's function by
        default.
    """

    def __init__(self, *, rate, record=None):
        self._rate = rate
        self._record = record
        self._second = 0
        self._written = 0
        self._left_out = 0

    def record(self, action, now, **fields):
        """Log a decision unless the limit of this second is reached.

        The next line that is written contains the number of omitted lines.
        """
        second = int(now)
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self._rate:
            self._left_out += 1
            return
        self._written += 1
        write = self._record or record
        write(action, left_out=self._left_out, **fields)
        self._left_out = 0
