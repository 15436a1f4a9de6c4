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
