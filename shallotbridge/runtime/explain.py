"""Reconstructs the history of one request from the logs of all nodes."""

import dataclasses

import msgspec

_ACTION_PREFIX = "shallotbridge:"
# Actions that log a change of a node's state; they explain decisions that
# follow them.
STATE_CHANGES = frozenset(
    {
        "configuration_applied",
        "copies_differ",
        "domains_out",
        "history_lost",
        "node_leaving",
        "node_started",
        "peer_lost",
        "peer_silent",
        "platform_lost",
        "platform_regained",
        "quota_reserved",
        "requests_barred",
        "store_era_unknown",
        "upstream_changed",
        "upstream_closed",
        "upstream_crashed",
        "upstream_ignored",
        "upstream_kept",
        "upstream_leaving",
        "upstream_limit",
        "capacity_limit",
        "upstream_open",
        "upstream_removed",
    }
)
# Of these, the last one of a host before the request holds, whatever its age.
LASTING_CHANGES = frozenset({"upstream_limit"})
# State changes up to this long before the first entry of the request are
# included.
CONTEXT_SECONDS = 2.0
_HIDDEN_FIELDS = frozenset(
    {"timestamp", "host", "message_type", "task_uuid", "task_level"}
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogEntry:
    """One structured log line of a node.

    Attributes
    ----------
    at : float
        Unix time in seconds.
    """

    at: float
    host: str
    action: str
    fields: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHistory:
    """Log entries of one request and the state changes that preceded it.

    Attributes
    ----------
    entries : tuple of LogEntry
        Entries with the request's id, by time.
    context : tuple of LogEntry
        State changes of the participating hosts, from `CONTEXT_SECONDS`
        before the first entry to the last one, by time, and the last lasting
        change before that.
    unreadable_count : int
        Number of lines that are not valid JSON objects.
    """

    entries: tuple
    context: tuple
    unreadable_count: int

    def describe_gaps(self):
        """Return sentences that describe what is missing from the logs."""
        sentences = []
        actions = {entry.action for entry in self.entries}
        if not self.entries:
            sentences.append(
                "No line has this id: the request did not reach these nodes, "
                "or the rate limit of the log dropped its lines."
            )
        elif "route" not in actions and "refuse" not in actions:
            sentences.append(
                "No line of an entry node: its log is missing, it was killed "
                "before it responded, or the rate limit dropped the line."
            )
        elif not actions & {"run", "refuse", "fail"}:
            sentences.append(
                "No line of an owner node: its log is missing or the rate "
                "limit dropped the line."
            )
        if self.unreadable_count:
            sentences.append(
                f"{self.unreadable_count} lines could not be parsed."
            )
        return sentences


def explain(request_id, lines):
    """Return the history of a request as found in log lines.

    Parameters
    ----------
    request_id : str
    lines : iterable of str
        Lines of any nodes in any order. Text before the first brace, such
        as a prefix that a log collector adds, is skipped.

    Returns
    -------
    RequestHistory

    Examples
    --------
    >>> line = (
    ...     '{"timestamp": 1.0, "host": "n1", "request_id": "r1",'
    ...     ' "message_type": "shallotbridge:route", "status": 503}'
    ... )
    >>> explain("r1", [line]).entries[0].fields
    {'request_id': 'r1', 'status': 503}
    """
    entries = []
    state_changes = []
    unreadable_count = 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            document = msgspec.json.decode(line[start:], type=dict)
        except msgspec.MsgspecError:
            unreadable_count += 1
            continue
        entry = _parse_entry(document)
        if entry is None:
            continue
        if document.get("request_id") == request_id:
            entries.append(entry)
        elif entry.action in STATE_CHANGES:
            state_changes.append(entry)
    entries.sort(key=lambda entry: entry.at)
    return RequestHistory(
        entries=tuple(entries),
        context=tuple(_find_context(entries, state_changes)),
        unreadable_count=unreadable_count,
    )


def _parse_entry(document):
    action = str(document.get("message_type", ""))
    at = document.get("timestamp")
    if not action.startswith(_ACTION_PREFIX) or not isinstance(
        at, int | float
    ):
        return None
    return LogEntry(
        at=at,
        host=str(document.get("host", "?")),
        action=action[len(_ACTION_PREFIX) :],
        fields={
            name: value
            for name, value in document.items()
            if name not in _HIDDEN_FIELDS
        },
    )


def _find_context(entries, state_changes):
    if not entries:
        return []
    hosts = {entry.host for entry in entries}
    first = entries[0].at - CONTEXT_SECONDS
    last = entries[-1].at
    found = []
    lasting_by_key = {}
    for change in sorted(state_changes, key=lambda entry: entry.at):
        if change.host not in hosts or change.at > last:
            continue
        if change.at >= first:
            found.append(change)
        elif change.action in LASTING_CHANGES:
            lasting_by_key[change.host, change.action] = change
    return [
        *sorted(lasting_by_key.values(), key=lambda entry: entry.at),
        *found,
    ]
