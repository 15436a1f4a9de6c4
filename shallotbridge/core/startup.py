"""Discovery of the latest configuration at the startup of a node."""

import trio

from . import decisions
from . import errors

START_WAIT_SECONDS = 3.0
# Responses with a version that a node waits for, from peers of its own
# domain, before it starts to enforce.
SUFFICIENT_OWN_PEERS = 3
# Rate of first reads of the platform when the whole fleet starts at once.
FIRST_READS_PER_SECOND = 500
SEED_TIMEOUT_SECONDS = 1.0
QUERY_TIMEOUT_SECONDS = 1.0
# Number of other domains that are queried too (one host of each), because
# they may have a higher version than the own domain.
REMOTE_PEERS = 3
# Upper bound of the random delay after a query in which no peer had a version.
RETRY_DELAY_SECONDS = 0.2


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
    """Collect versions from peers and then enable enforcement.

    Call with ``await nursery.start(...)``. It returns after the initial
    queries of seeds and platform; then start ``SyncClient.run`` and
    ``PlatformReader.run``, which run concurrently with this function.
    Starting them earlier would defeat the random delay of the first reads.
    They must not start later either, because they deliver the hosts of other
    domains and the platform's version.

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
        Time limit for the responses of peers, from the end of the initial
        queries, seconds.

    Returns
    -------
    model.HeadReference
        Highest head found; ``model.NO_HEAD`` if none was.
    """
    seeds = list(seed_hosts)
    heads_by_id = await client.query_peers(seeds, SEED_TIMEOUT_SECONDS)
    if not heads_by_id:
        # Jitter, for the case that the whole fleet starts at once.
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
    responders_by_id = {}
    reason = "start_wait elapsed"
    with trio.move_on_after(start_wait):
        await _query_until_sufficient(
            own_host, hosts, client, seeds, random, responders_by_id
        )
        reason = "enough peers responded"
    decisions.record(
        "start",
        chosen=store.head.version,
        candidates=sorted(responders_by_id),
        reason=reason,
    )
    store.enable_enforcement()
    return store.head


async def _query_until_sufficient(
    own_host, hosts, client, seeds, random, responders_by_id
):
    """Query peers until own and other domains have responded with versions.

    Peers without a version don't count, since they are starting up too. A
    peer of another domain is needed because the whole own domain may have
    been restarted, and then has no higher version than a stale platform.
    """

    def is_enough(heads_by_id):
        responders = [
            host
            for host in own + remote
            if host.host_id in heads_by_id
            and heads_by_id[host.host_id].version
        ] + list(responders_by_id.values())
        is_own = [
            host.failure_domain == own_host.failure_domain
            for host in responders
        ]
        return is_own.count(True) >= needed_own_count and (
            False in is_own or not remote
        )

    while True:
        own, remote = _select_candidates(
            own_host, hosts, client, random, responders_by_id
        )
        needed_own_count = min(
            SUFFICIENT_OWN_PEERS,
            len(own)
            + sum(
                host.failure_domain == own_host.failure_domain
                for host in responders_by_id.values()
            ),
        )
        if (own or remote or responders_by_id) and is_enough({}):
            return
        queried = own[:SUFFICIENT_OWN_PEERS] + remote
        heads_by_id = await client.query_peers(
            queried or seeds, QUERY_TIMEOUT_SECONDS, is_enough
        )
        new_responders = [
            host
            for host in queried
            if host.host_id in heads_by_id
            and heads_by_id[host.host_id].version
        ]
        responders_by_id.update(
            (host.host_id, host) for host in new_responders
        )
        if not new_responders:
            await trio.sleep(random.uniform(0.5, 1.0) * RETRY_DELAY_SECONDS)


def _select_candidates(own_host, hosts, client, random, responders_by_id):
    """Select hosts that have not responded with a version yet.

    Returns
    -------
    tuple of (list of model.Host, list of model.Host)
        All such hosts of the own domain, in random order, and one host each
        of randomly chosen other domains. The second list is empty once a host
        of any other domain has responded.
    """
    own = []
    remote_by_domain = {}
    for host in hosts.hosts_by_id.values():
        if not client.is_usable_peer(host) or host.host_id in responders_by_id:
            continue
        if host.failure_domain == own_host.failure_domain:
            own.append(host)
        else:
            remote_by_domain.setdefault(host.failure_domain, []).append(host)
    random.shuffle(own)
    if any(
        host.failure_domain != own_host.failure_domain
        for host in responders_by_id.values()
    ):
        return own, []
    domains = sorted(remote_by_domain)
    chosen_domains = random.sample(domains, min(REMOTE_PEERS, len(domains)))
    remote = [random.choice(remote_by_domain[name]) for name in chosen_domains]
    return own, remote
