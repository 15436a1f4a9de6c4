"""Faults and planned work of one run, drawn from a seed."""

import dataclasses
import random

# Until this time all hosts start without faults, s.
QUIET_START_SECONDS = 2.0
# After the last fault ends, the run goes on for this long, s.
QUIET_END_SECONDS = 5.0
# Mean time between two entries of a plan, s; entries overlap.
GAP_SECONDS = 0.9
DRAIN_SECONDS = 2.0

# For each kind, its weight and the bounds of its length, s.
KINDS = {
    "link_delay": (2, 0.5, 3.0),
    "link_silence": (2, 0.5, 3.0),
    "link_one_way": (2, 0.5, 3.0),
    "link_reset": (2, 0.0, 0.0),
    "store_reset": (1, 0.0, 0.0),
    "store_silence": (2, 0.5, 4.0),
    "store_status": (2, 0.5, 3.0),
    "store_history": (1, 0.0, 0.0),
    "kill": (2, 0.0, 0.0),
    "pause": (2, 0.3, 3.0),
    "hang_up_signal": (1, 0.0, 0.0),
    "terminate": (3, 0.0, 0.0),
    "configuration": (4, 0.0, 0.0),
    "configurations": (1, 1.0, 2.0),
    "drain": (2, 0.0, 0.0),
    "domain_out": (1, 3.0, 6.0),
}
# Work of operators; all others are faults.
PLANNED = frozenset(
    {
        "hang_up_signal",
        "terminate",
        "configuration",
        "configurations",
        "drain",
        "domain_out",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One fault or one piece of planned work.

    Attributes
    ----------
    at, seconds : float
        Start and length, seconds from the start of the traffic.
    host : int
        Number of the host; kinds that concern all ignore it.
    """

    at: float
    kind: str
    host: int
    seconds: float


def make_plan(seed, *, seconds, hosts):
    """Return the entries of a run in the order of their times.

    Examples
    --------
    >>> make_plan(1, seconds=9.0, hosts=4) == make_plan(
    ...     1, seconds=9.0, hosts=4
    ... )
    True
    """
    source = random.Random(seed)
    kinds = list(KINDS)
    weights = [KINDS[kind][0] for kind in kinds]
    at = QUIET_START_SECONDS
    entries = []
    while at < seconds - QUIET_END_SECONDS:
        (kind,) = source.choices(kinds, weights)
        _, shortest, longest = KINDS[kind]
        entries.append(
            Entry(
                at=at,
                kind=kind,
                host=source.randrange(hosts),
                seconds=source.uniform(shortest, longest),
            )
        )
        at += source.expovariate(1 / GAP_SECONDS)
    return entries
