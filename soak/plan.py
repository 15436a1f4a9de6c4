"""Random schedule of the faults and operator actions of one run."""

import dataclasses
import random

# No entry starts before this time, while the hosts start.
START_MARGIN_SECONDS = 2.0
# No entry starts in this last part of a run; traffic continues after the last
# fault.
END_MARGIN_SECONDS = 5.0
# Mean time between the starts of two entries; entries may overlap.
MEAN_INTERVAL_SECONDS = 0.9
# Each seed that is a multiple of this only loses readers while operators act,
# so that the hosts that are not lost must keep the limits.
READER_SEED_INTERVAL = 3

# Mean time between two stops with further signals.
MEAN_STOP_INTERVAL_SECONDS = 4.0
# Start and duration of the time in which all upstreams of a service are slow,
# and the least length of a run that has one: what follows is checked.
SLOW_AT_SECONDS = (2.0, 5.0)
SLOW_SECONDS = (2.0, 4.0)
MINIMUM_SLOW_RUN_SECONDS = 20.0

# Weight, minimum and maximum duration in seconds of each kind.
KINDS = {
    "link_delay": (2, 0.5, 3.0),
    "link_stall": (2, 0.5, 3.0),
    "link_stall_one_way": (2, 0.5, 3.0),
    "link_reset": (2, 0.0, 0.0),
    "store_reset": (1, 0.0, 0.0),
    "store_stall": (2, 0.5, 4.0),
    "store_status": (2, 0.5, 3.0),
    "store_history": (1, 0.4, 1.2),
    "store_restore": (2, 0.5, 5.0),
    "readers_lost": (3, 2.0, 5.0),
    "kill": (2, 0.0, 0.0),
    "pause": (2, 0.3, 3.0),
    "sighup": (1, 0.0, 0.0),
    "terminate": (3, 0.0, 0.0),
    "configuration": (4, 0.0, 0.0),
    "configurations": (1, 1.0, 2.0),
    "drain": (2, 0.0, 0.0),
    "limit": (3, 3.0, 7.0),
    "harmful": (2, 6.0, 9.0),
    "domain_out": (1, 3.0, 6.0),
    # Not chosen with the others; see ``_make_stops`` and ``run.run_seed``.
    "stop_signals": (0, 0.0, 0.0),
    "slow_upstreams": (0, *SLOW_SECONDS),
    "kill_all": (0, 0.0, 0.0),
}
# Actions of operators; all other kinds are faults.
PLANNED = frozenset(
    {
        "sighup",
        "terminate",
        "stop_signals",
        "slow_upstreams",
        "configuration",
        "configurations",
        "drain",
        "limit",
        "harmful",
        "domain_out",
    }
)
READER_KINDS = frozenset(
    {
        "readers_lost",
        "sighup",
        "configuration",
        "configurations",
        "drain",
        "domain_out",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One fault or operator action.

    Attributes
    ----------
    at, seconds : float
        Start, relative to the start of the traffic, and duration, seconds.
    host : int
        Number of the host; ignored by kinds that affect all hosts.
    """

    at: float
    kind: str
    host: int
    seconds: float


def make_plan(seed, *, seconds, hosts):
    """Return the entries of a run, ordered by start time.

    Examples
    --------
    >>> make_plan(1, seconds=9.0, hosts=4) == make_plan(
    ...     1, seconds=9.0, hosts=4
    ... )
    True
    """
    random_source = random.Random(seed)
    kinds = list(KINDS)
    if seed % READER_SEED_INTERVAL == 0:
        kinds = [kind for kind in KINDS if kind in READER_KINDS]
    weights = [KINDS[kind][0] for kind in kinds]
    at = START_MARGIN_SECONDS
    entries = []
    while at < seconds - END_MARGIN_SECONDS:
        (kind,) = random_source.choices(kinds, weights)
        _, minimum_seconds, maximum_seconds = KINDS[kind]
        entries.append(
            Entry(
                at=at,
                kind=kind,
                host=random_source.randrange(hosts),
                seconds=random_source.uniform(
                    minimum_seconds, maximum_seconds
                ),
            )
        )
        at += random_source.expovariate(1 / MEAN_INTERVAL_SECONDS)
    if seed % READER_SEED_INTERVAL:
        entries.extend(_make_stops(seed, seconds=seconds, hosts=hosts))
    return sorted(entries, key=lambda entry: entry.at)


def _make_stops(seed, *, seconds, hosts):
    """Return stops with signals in series, and slow upstreams.

    Their own sequence keeps the other entries of earlier seeds.
    """
    random_source = random.Random(f"stops {seed}")
    entries = []
    if seconds >= MINIMUM_SLOW_RUN_SECONDS:
        entries.append(
            Entry(
                at=random_source.uniform(*SLOW_AT_SECONDS),
                kind="slow_upstreams",
                host=random_source.randrange(hosts),
                seconds=random_source.uniform(*SLOW_SECONDS),
            )
        )
    at = START_MARGIN_SECONDS
    while True:
        at += random_source.expovariate(1 / MEAN_STOP_INTERVAL_SECONDS)
        if at >= seconds - END_MARGIN_SECONDS:
            return entries
        entries.append(
            Entry(
                at=at,
                kind="stop_signals",
                host=random_source.randrange(hosts),
                seconds=0.0,
            )
        )
