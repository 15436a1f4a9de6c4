"""Finding the configuration at the start of a node."""

import trio

from . import decisions
from . import errors

START_WAIT_SECONDS = 3.0
# Peers whose answers let a node enforce what it found.
WANTED_PEERS = 3
# First reads of the platform a second after a common start of the fleet.
FIRST_READS_PER_SECOND = 500
SEED_TIMEOUT_SECONDS = 1.0
ASK_TIMEOUT_SECONDS = 1.0
# Hosts of other domains asked too, which may be ahead of the own domain.
REMOTE_PEERS = 3
# Pause before peers that knew nothing are asked again, seconds.
RETRY_SECONDS = 0.2


async def find_configuration(
    *,
    own_host,
    store,
    hosts,
    client,
    reader,
    seed_hosts,
    fleet_size,
    random,
    start_wait=START_WAIT_SECONDS,
):
    """Collect what peers know and then enable enforcement.

    Runs beside ``SyncClient.run`` and ``PlatformReader.run``, or before
    them.

    Parameters
    ----------
    own_host : model.Host
    store : store.ConfigurationStore
    hosts : hosts.HostTable
    client : sync.SyncClient
    reader : platform.PlatformReader
    seed_hosts : iterable of model.Host
        ``Topology.seeds``.
    fleet_size : int
    random : random.Random
    start_wait : float
        Longest wait for peers after the host list was sought, seconds.

    Returns
    -------
    model.HeadReference
        Highest head found; ``model.NO_HEAD`` if none was.
    """
    seeds = list(seed_hosts)
    heads_by_id = await client.ask(seeds, SEED_TIMEOUT_SECONDS)
    if not heads_by_id:
        # Spreads the reads of a fleet that starts as one.
        await trio.sleep(
            random.uniform(0.0, fleet_size / FIRST_READS_PER_SECOND)
        )
        try:
            await reader.read_hosts(own_host.failure_domain)
        except errors.DistributionError as error:
            decisions.record(
                "platform_read_failed", code=error.code, reason=error.detail
            )
    informed = set()
    reason = "start_wait elapsed"
    with trio.move_on_after(start_wait):
        await _ask_until_informed(
            own_host, hosts, client, seeds, random, informed
        )
        reason = "enough peers answered"
    decisions.record(
        "start",
        chosen=store.head.version,
        candidates=sorted(informed),
        reason=reason,
    )
    store.enable_enforcement()
    return store.head


async def _ask_until_informed(
    own_host, hosts, client, seeds, random, informed
):
    """Ask peers until enough of them stated a version.

    Peers that start themselves know nothing, so they don't count: the
    version before the restart may be known to others only.
    """
    while True:
        candidates = _candidates(own_host, hosts, client, random)
        known_ids = {host.host_id for host in candidates}
        if not candidates:
            candidates = seeds
        wanted = min(WANTED_PEERS, len(candidates) + len(informed - known_ids))
        if candidates and len(informed) >= wanted:
            return
        batch = [host for host in candidates if host.host_id not in informed][
            : WANTED_PEERS + REMOTE_PEERS
        ]
        heads_by_id = await client.ask(
            batch, ASK_TIMEOUT_SECONDS, enough=wanted - len(informed)
        )
        found = {
            host_id for host_id, head in heads_by_id.items() if head.version
        }
        informed |= found
        if not found:
            await trio.sleep(random.uniform(0.5, 1.0) * RETRY_SECONDS)


def _candidates(own_host, hosts, client, random):
    """Return hosts to ask: three of the own domain, then of others."""
    own = []
    remote_by_domain = {}
    for host in hosts.hosts_by_id.values():
        if not client.is_other(host):
            continue
        if host.failure_domain == own_host.failure_domain:
            own.append(host)
        else:
            remote_by_domain.setdefault(host.failure_domain, []).append(host)
    random.shuffle(own)
    domains = sorted(remote_by_domain)
    chosen_domains = random.sample(domains, min(REMOTE_PEERS, len(domains)))
    remote = [random.choice(remote_by_domain[name]) for name in chosen_domains]
    return own[:WANTED_PEERS] + remote + own[WANTED_PEERS:]
