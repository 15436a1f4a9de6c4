"""The decision log: one JSON line for each routing or placement decision."""

import eliot

MESSAGE_PREFIX = "shallotbridge:"


def record(action, **fields):
    """Write one line that says what was decided, from what and why.

    Parameters
    ----------
    action : str
        Kind of decision, such as ``route`` or ``configuration_applied``;
        docs/log.md lists them.
    **fields
        JSON-serializable facts; the custom is ``chosen``, ``candidates``
        and ``reason``.
    """
    eliot.log_message(message_type=MESSAGE_PREFIX + action, **fields)


class RoutineLog:
    """Writes lines of routine outcomes up to a rate, and counts the others.

    Parameters
    ----------
    rate : int
        Lines a second.
    """

    def __init__(self, *, rate):
        self._rate = rate
        self._second = 0
        self._written = 0
        self._left_out = 0

    def record(self, action, now, **fields):
        """Write a line unless this second had enough of them.

        The next line that is written says how many were left out.
        """
        second = int(now)
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= self._rate:
            self._left_out += 1
            return
        self._written += 1
        record(action, left_out=self._left_out, **fields)
        self._left_out = 0
