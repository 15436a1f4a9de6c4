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
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Collect what peers know and then enable enforcement.

    Use ``await nursery.start(...)``: it returns when the first peers are
    known, and ``SyncClient.run`` and ``PlatformReader.run`` are started then,
    beside this function. Not before, because that would undo the spreading
    of first reads; not after, because the hosts of other domains and the
    platform's version come from them.

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
    heads_by_id = await client.query_peers(seeds, SEED_TIMEOUT_SECONDS)
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
    task_status.started()
    informed_by_id = {}
    reason = "start_wait elapsed"
    with trio.move_on_after(start_wait):
        await _ask_until_informed(
            own_host, hosts, client, seeds, random, informed_by_id
        )
        reason = "enough peers answered"
    decisions.record(
        "start",
        chosen=store.head.version,
        candidates=sorted(informed_by_id),
        reason=reason,
    )
    store.enable_enforcement()
    return store.head


async def _ask_until_informed(
    own_host, hosts, client, seeds, random, informed_by_id
):
    """Ask until peers of the own and of another domain stated a version.

    Peers that start themselves know nothing, so they don't count. Another
    domain is asked because the own one may have been restarted as a whole,
    and then know no more than a stale platform.
    """

    def is_enough(heads_by_id):
        answered = [
            host
            for host in own + remote
            if host.host_id in heads_by_id
            and heads_by_id[host.host_id].version
        ] + list(informed_by_id.values())
        is_own = [
            host.failure_domain == own_host.failure_domain for host in answered
        ]
        return is_own.count(True) >= wanted_own and (
            False in is_own or not remote
        )

    while True:
        own, remote = _candidates(
            own_host, hosts, client, random, informed_by_id
        )
        wanted_own = min(
            WANTED_PEERS,
            len(own)
            + sum(
                host.failure_domain == own_host.failure_domain
                for host in informed_by_id.values()
            ),
        )
        if (own or remote or informed_by_id) and is_enough({}):
            return
        batch = own[:WANTED_PEERS] + remote
        heads_by_id = await client.query_peers(
            batch or seeds, ASK_TIMEOUT_SECONDS, is_enough
        )
        found = [
            host
            for host in batch
            if host.host_id in heads_by_id
            and heads_by_id[host.host_id].version
        ]
        informed_by_id.update((host.host_id, host) for host in found)
        if not found:
            await trio.sleep(random.uniform(0.5, 1.0) * RETRY_SECONDS)


def _candidates(own_host, hosts, client, random, informed_by_id):
    """Return hosts not yet informed: own domain, and one in each of others.

    No other domain is returned once one of its hosts answered.
    """
    own = []
    remote_by_domain = {}
    for host in hosts.hosts_by_id.values():
        if not client.is_usable_peer(host) or host.host_id in informed_by_id:
            continue
        if host.failure_domain == own_host.failure_domain:
            own.append(host)
        else:
            remote_by_domain.setdefault(host.failure_domain, []).append(host)
    random.shuffle(own)
    if any(
        host.failure_domain != own_host.failure_domain
        for host in informed_by_id.values()
    ):
        return own, []
    domains = sorted(remote_by_domain)
    chosen_domains = random.sample(domains, min(REMOTE_PEERS, len(domains)))
    remote = [random.choice(remote_by_domain[name]) for name in chosen_domains]
    return own, remote
