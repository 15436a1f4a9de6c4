"""The history of one request, from the log lines of all nodes."""

import dataclasses

import msgspec

_PREFIX = "shallotbridge:"
# Changes of what a node believes, which explain decisions near them.
BELIEFS = frozenset(
    {
        "configuration_applied",
        "copies_differ",
        "domains_out",
        "node_leaving",
        "node_started",
        "peer_lost",
        "peer_silent",
        "platform_lost",
        "platform_regained",
        "upstream_changed",
        "upstream_closed",
        "upstream_kept",
        "upstream_open",
        "upstream_removed",
    }
)
# Beliefs that changed this long before a step of the request are shown, s.
CONTEXT_SECONDS = 2.0
_HIDDEN = frozenset(
    {"timestamp", "host", "message_type", "task_uuid", "task_level"}
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One line of the log.

    Attributes
    ----------
    at : float
        Unix time, s.
    """

    at: float
    host: str
    action: str
    fields: dict


@dataclasses.dataclass(frozen=True, kw_only=True)
class Explanation:
    """What the logs say of a request.

    Attributes
    ----------
    steps : tuple of Step
        Lines with the request's id, in the order of time.
    context : tuple of Step
        Changes of belief shortly before on the hosts that took part.
    unreadable : int
        Lines that are no JSON object.
    """

    steps: tuple
    context: tuple
    unreadable: int

    def missing(self):
        """Return what the logs do not show, as sentences."""
        sentences = []
        actions = {step.action for step in self.steps}
        if not self.steps:
            sentences.append(
                "No line has this id: the request did not reach these nodes, "
                "or it was routine and left out of a busy second."
            )
        elif "route" not in actions and "refuse" not in actions:
            sentences.append(
                "No line of an entry node: its log is missing, it was killed "
                "before the answer, or the line was left out."
            )
        elif not actions & {"run", "refuse", "fail"}:
            sentences.append(
                "No line of an owner node: its log is missing or the line "
                "was left out."
            )
        if self.unreadable:
            sentences.append(f"{self.unreadable} lines were not readable.")
        return sentences


def explain(request_id, lines):
    """Return what log lines say of a request.

    Parameters
    ----------
    request_id : str
    lines : iterable of str
        Lines of any nodes in any order; text before the first brace of a
        line, as collectors add it, is skipped.

    Returns
    -------
    Explanation

    Examples
    --------
    >>> line = (
    ...     '{"timestamp": 1.0, "host": "n1", "request_id": "r1",'
    ...     ' "message_type": "shallotbridge:route", "status": 503}'
    ... )
    >>> explain("r1", [line]).steps[0].fields
    {'request_id': 'r1', 'status': 503}
    """
    steps = []
    beliefs = []
    unreadable = 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            document = msgspec.json.decode(line[start:], type=dict)
        except msgspec.MsgspecError:
            unreadable += 1
            continue
        step = _step(document)
        if step is None:
            continue
        if document.get("request_id") == request_id:
            steps.append(step)
        elif step.action in BELIEFS:
            beliefs.append(step)
    steps.sort(key=lambda step: step.at)
    return Explanation(
        steps=tuple(steps),
        context=tuple(_context(steps, beliefs)),
        unreadable=unreadable,
    )


def _step(document):
    action = str(document.get("message_type", ""))
    at = document.get("timestamp")
    if not action.startswith(_PREFIX) or not isinstance(at, int | float):
        return None
    return Step(
        at=at,
        host=str(document.get("host", "?")),
        action=action[len(_PREFIX) :],
        fields={
            name: value
            for name, value in document.items()
            if name not in _HIDDEN
        },
    )


def _context(steps, beliefs):
    if not steps:
        return []
    hosts = {step.host for step in steps}
    first = steps[0].at - CONTEXT_SECONDS
    last = steps[-1].at
    found = [
        belief
        for belief in beliefs
        if belief.host in hosts and first <= belief.at <= last
    ]
    return sorted(found, key=lambda step: step.at)
