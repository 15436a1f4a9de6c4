"""Distribution tree: a node's parents, and whether it reads the platform."""

import functools
import hashlib

import trio

from . import decisions
from . import model

READERS_PER_DOMAIN = 3
FAN_OUT = 8
MAXIMUM_REMOTE_DOMAINS = 3
MAXIMUM_PARENTS = 2
# Time after which a suspected peer is used again.
SUSPICION_SECONDS = 30.0
_HASH_BYTES = 8
# Maximum number of cached host hashes; the target fleet has 7,200 hosts.
_CACHED_HASHES = 16384


@functools.lru_cache(maxsize=_CACHED_HASHES)
def _hash_host_id(host_id):
    # Not hash(), whose value for a string differs between processes.
    return hashlib.blake2b(host_id.encode(), digest_size=_HASH_BYTES).digest()


def _rendezvous_key(host):
    return _hash_host_id(host.host_id), host.host_id


def rendezvous_order(hosts):
    """Return hosts in rendezvous order, which is the same on all nodes.

    Parameters
    ----------
    hosts : iterable of model.Host

    Returns
    -------
    list of model.Host

    Examples
    --------
    >>> hosts = [
    ...     model.Host(host_id=name, address="127.0.0.1", service="showroom",
    ...                failure_domain="cairo-1")
    ...     for name in ("h1", "h2", "h3")
    ... ]
    >>> rendezvous_order(hosts) == rendezvous_order(reversed(hosts))
    True
    """
    return sorted(hosts, key=_rendezvous_key)


class Topology:
    """The position of one node in the distribution tree.

    In each failure domain, the first hosts in rendezvous order read the
    platform; every other host has two earlier hosts as parents.

    Parameters
    ----------
    own_host : model.Host
    hosts : hosts.HostTable
    seeds : iterable of str
        Addresses of the peers that are parents while the host list of the
        node's own domain is empty.
    readers : int
        Readers of the platform per failure domain, the same on all hosts.
    fan_out : int
        Number of successive hosts in the order that share their two
        parents, the same on all hosts.
    suspicion_seconds : float
        Time after which a suspected peer is used again.

    Examples
    --------
    >>> from shallotbridge.core import hosts
    >>> own_host = model.Host(host_id="h1", address="127.0.0.1",
    ...     service="showroom", failure_domain="cairo-1")
    >>> topology = Topology(own_host=own_host, hosts=hosts.HostTable())
    >>> topology.is_reader(), topology.parents()
    (True, [])
    """

    def __init__(
        self,
        *,
        own_host,
        hosts,
        seeds=(),
        readers=READERS_PER_DOMAIN,
        fan_out=FAN_OUT,
        suspicion_seconds=SUSPICION_SECONDS,
    ):
        self._own_host = own_host
        self._hosts = hosts
        self._seeds = tuple(
            model.Host(
                host_id=f"seed-{address}",
                address=address,
                service="",
                failure_domain=own_host.failure_domain,
            )
            for address in seeds
            if address != own_host.address
        )
        self._readers = readers
        self._fan_out = fan_out
        self._suspicion_seconds = suspicion_seconds
        self._suspected_until_by_id = {}
        self._faulty_ids = set()
        self._suspicion_generation = 0
        self._changed = trio.Event()
        self._orders_by_domain = {}
        self._orders_generation = None

    @property
    def seeds(self):
        """Seeds as hosts, with ids that do not occur in host lists."""
        return self._seeds

    def is_reader(self):
        """Return whether this node currently reads the platform."""
        return self._own_rank() < self._readers

    def parents(self):
        """Return the parents in the node's own domain, at most two.

        A reader has none, except seeds while the host list is empty.
        """
        order = self._own_order()
        if not order:
            return [seed for seed in self._seeds if self._is_usable(seed)][
                :MAXIMUM_PARENTS
            ]
        rank = self._own_rank()
        if rank < self._readers:
            return []
        first_index = (rank - self._readers) // self._fan_out
        candidates = [
            host for host in order if host.host_id != self._own_host.host_id
        ]
        return candidates[first_index : first_index + MAXIMUM_PARENTS]

    def remote_parents(self):
        """Return the parents in other domains; only a reader has them.

        They are readers of up to three other domains, one of each.
        """
        rank = self._own_rank()
        if rank >= self._readers:
            return []
        names = sorted(
            set(self._hosts.revisions_by_domain)
            | {self._own_host.failure_domain}
        )
        own_index = names.index(self._own_host.failure_domain)
        other_names = names[own_index + 1 :] + names[:own_index]
        if not other_names:
            return []
        # Readers of different ranks use different domains if there are
        # enough, so three readers cover up to nine domains.
        offset = rank * MAXIMUM_REMOTE_DOMAINS % len(other_names)
        remote_parents = []
        for name in other_names[offset:] + other_names[:offset]:
            order = self._usable_order(name)
            if order and len(remote_parents) < MAXIMUM_REMOTE_DOMAINS:
                remote_parents.append(
                    order[rank % min(self._readers, len(order))]
                )
        return remote_parents

    def suspect(self, host_id, *, is_faulty=False):
        """Exclude a peer until its suspicion expires.

        A further failure in the meantime does not extend the suspicion.

        Parameters
        ----------
        host_id : str
        is_faulty : bool
            Whether the peer sent an invalid response; such a peer is not
            among ``unreachable_ids``.
        """
        self._drop_expired_suspicions()
        if host_id in self._suspected_until_by_id:
            return
        decisions.record(
            "peer_suspected",
            chosen=host_id,
            reason=f"no valid response; excluded for "
            f"{self._suspicion_seconds} s",
        )
        self._suspected_until_by_id[host_id] = (
            trio.current_time() + self._suspicion_seconds
        )
        if is_faulty:
            self._faulty_ids.add(host_id)
        self._notify_suspicions_changed()

    def clear_suspicion(self, host_id):
        """Use a peer again, because it responded."""
        self._faulty_ids.discard(host_id)
        if self._suspected_until_by_id.pop(host_id, None) is not None:
            self._notify_suspicions_changed()

    def suspected_ids(self):
        """Return the ids of the peers that are currently excluded."""
        self._drop_expired_suspicions()
        return frozenset(self._suspected_until_by_id)

    def unreachable_ids(self):
        """Return the ids of the excluded peers that did not respond."""
        return self.suspected_ids() - self._faulty_ids

    async def wait_for_change(self, generation):
        """Wait until hosts or suspicions have changed since a generation.

        Parameters
        ----------
        generation : tuple
            Earlier value of ``generation``.
        """
        while self.generation == generation:
            with trio.move_on_after(self._seconds_to_next_expiry()):
                async with trio.open_nursery() as nursery:

                    async def wait_for_hosts():
                        await self._hosts.wait_for_change(generation[0])
                        nursery.cancel_scope.cancel()

                    nursery.start_soon(wait_for_hosts)
                    await self._changed.wait()
                    nursery.cancel_scope.cancel()

    @property
    def generation(self):
        """Value that changes whenever a result of this object may change."""
        self._drop_expired_suspicions()
        return self._hosts.generation, self._suspicion_generation

    def _notify_suspicions_changed(self):
        self._suspicion_generation += 1
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _seconds_to_next_expiry(self):
        if not self._suspected_until_by_id:
            return float("inf")
        return max(
            0.0,
            min(self._suspected_until_by_id.values()) - trio.current_time(),
        )

    def _drop_expired_suspicions(self):
        if not self._suspected_until_by_id:
            return
        now = trio.current_time()
        expired = [
            host_id
            for host_id, suspected_until in self._suspected_until_by_id.items()
            if suspected_until <= now
        ]
        for host_id in expired:
            del self._suspected_until_by_id[host_id]
            self._faulty_ids.discard(host_id)
        if expired:
            self._notify_suspicions_changed()

    def _is_usable(self, host):
        return (
            not host.is_leaving
            and host.host_id not in self._suspected_until_by_id
            and host.host_id != self._own_host.host_id
        )

    def _usable_order(self, failure_domain):
        """Return the usable other hosts of a domain in rendezvous order."""
        generation = self.generation
        if self._orders_generation != generation:
            self._orders_by_domain = {}
            self._orders_generation = generation
        order = self._orders_by_domain.get(failure_domain)
        if order is None:
            order = rendezvous_order(
                host
                for host in self._hosts.hosts_of_domain(failure_domain)
                if self._is_usable(host)
            )
            self._orders_by_domain[failure_domain] = order
        return order

    def _own_order(self):
        return self._usable_order(self._own_host.failure_domain)

    def _own_rank(self):
        """Return this node's rank in the rendezvous order of its domain.

        Other nodes do not count a node that is leaving or not in the host
        list, so it is a reader only if there are too few others.
        """
        order = self._own_order()
        own_key = _rendezvous_key(self._own_host)
        rank = sum(_rendezvous_key(host) < own_key for host in order)
        own_entry = self._hosts.hosts_by_id.get(self._own_host.host_id)
        if own_entry is None or own_entry.is_leaving:
            return max(rank, min(self._readers, len(order)))
        return rank
