"""Which peers a node reads from, and whether it reads the platform."""

import functools
import hashlib

import trio

from . import decisions
from . import model

READERS = 3
FAN_OUT = 8
REMOTE_DOMAINS = 3
PARENTS = 2
# Time after which an unreachable peer is tried again, seconds.
SUSPICION_SECONDS = 30.0
_HASH_BYTES = 8
# Hosts whose hash is remembered; above the 7,200 of the target.
_REMEMBERED_HASHES = 16384


@functools.lru_cache(maxsize=_REMEMBERED_HASHES)
def _hash_of(host_id):
    # Python's hash() of a string differs between processes.
    return hashlib.blake2b(host_id.encode(), digest_size=_HASH_BYTES).digest()


def _order_key(host):
    return _hash_of(host.host_id), host.host_id


def order_of(hosts):
    """Return hosts in rendezvous order, which all nodes agree on.

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
    >>> order_of(hosts) == order_of(reversed(hosts))
    True
    """
    return sorted(hosts, key=_order_key)


class Topology:
    """The place of one node in the distribution tree.

    Parameters
    ----------
    own_host : model.Host
    hosts : hosts.HostTable
    seeds : iterable of str
        Addresses of peers that are asked while the own domain's host list
        is empty.
    readers, fan_out : int
        The same on all hosts.

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
        readers=READERS,
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
        self._expiry_by_id = {}
        self._faulty_ids = set()
        self._suspicion_generation = 0
        self._changed = trio.Event()
        self._orders_by_domain = {}
        self._orders_generation = None

    @property
    def seeds(self):
        """Seeds as hosts, with ids that no host list uses."""
        return self._seeds

    def is_reader(self):
        """Tell whether this node reads the platform now."""
        return self._position() < self._readers

    def parents(self):
        """Return the peers of the own domain to read from, at most two.

        A reader has none, except seeds while the host list is empty.
        """
        order = self._own_order()
        if not order:
            return [seed for seed in self._seeds if self._is_usable(seed)][
                :PARENTS
            ]
        position = self._position()
        if position < self._readers:
            return []
        first = (position - self._readers) // self._fan_out
        candidates = [
            host for host in order if host.host_id != self._own_host.host_id
        ]
        return candidates[first : first + PARENTS]

    def remote_parents(self):
        """Return a reader in up to three other domains, for a reader."""
        rank = self._position()
        if rank >= self._readers:
            return []
        names = sorted(
            set(self._hosts.revisions_by_domain)
            | {self._own_host.failure_domain}
        )
        own = names.index(self._own_host.failure_domain)
        others = names[own + 1 :] + names[:own]
        if not others:
            return []
        # Readers of different rank ask different domains where there are
        # enough, so that three readers cover up to nine.
        shift = rank * REMOTE_DOMAINS % len(others)
        remote_parents = []
        for name in others[shift:] + others[:shift]:
            order = self._order(name)
            if order and len(remote_parents) < REMOTE_DOMAINS:
                remote_parents.append(
                    order[rank % min(self._readers, len(order))]
                )
        return remote_parents

    def suspect(self, host_id, *, is_faulty=False):
        """Exclude a peer for a while.

        A failed trial meanwhile does not prolong it.

        Parameters
        ----------
        host_id : str
        is_faulty : bool
            It answered, but not as a correct node does; such a peer is not
            among ``unreachable_ids``.
        """
        self._expire()
        if host_id in self._expiry_by_id:
            return
        decisions.record(
            "peer_suspected",
            chosen=host_id,
            reason=f"no usable answer; excluded for "
            f"{self._suspicion_seconds} s",
        )
        self._expiry_by_id[host_id] = (
            trio.current_time() + self._suspicion_seconds
        )
        if is_faulty:
            self._faulty_ids.add(host_id)
        self._suspicions_changed()

    def clear_suspicion(self, host_id):
        """Use a peer again that answered."""
        self._faulty_ids.discard(host_id)
        if self._expiry_by_id.pop(host_id, None) is not None:
            self._suspicions_changed()

    def suspected_ids(self):
        """Return the ids of the peers that are excluded now."""
        self._expire()
        return frozenset(self._expiry_by_id)

    def unreachable_ids(self):
        """Return the ids of the excluded peers that did not answer."""
        return self.suspected_ids() - self._faulty_ids

    async def wait_for_change(self, generation):
        """Wait until hosts or suspicions changed since a generation.

        Parameters
        ----------
        generation : tuple
            A value of ``generation``.
        """
        while self.generation == generation:
            with trio.move_on_after(self._time_to_expiry()):
                async with trio.open_nursery() as nursery:

                    async def wait_for_hosts():
                        await self._hosts.wait_for_change(generation[0])
                        nursery.cancel_scope.cancel()

                    nursery.start_soon(wait_for_hosts)
                    await self._changed.wait()
                    nursery.cancel_scope.cancel()

    @property
    def generation(self):
        """Changes whenever the answers of this object may change."""
        self._expire()
        return self._hosts.generation, self._suspicion_generation

    def _suspicions_changed(self):
        self._suspicion_generation += 1
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _time_to_expiry(self):
        if not self._expiry_by_id:
            return float("inf")
        return max(0.0, min(self._expiry_by_id.values()) - trio.current_time())

    def _expire(self):
        if not self._expiry_by_id:
            return
        now = trio.current_time()
        expired = [
            host_id
            for host_id, expiry in self._expiry_by_id.items()
            if expiry <= now
        ]
        for host_id in expired:
            del self._expiry_by_id[host_id]
            self._faulty_ids.discard(host_id)
        if expired:
            self._suspicions_changed()

    def _is_usable(self, host):
        return (
            not host.is_leaving
            and host.host_id not in self._expiry_by_id
            and host.host_id != self._own_host.host_id
        )

    def _order(self, failure_domain):
        """Return the usable other hosts of a domain in order."""
        generation = self.generation
        if self._orders_generation != generation:
            self._orders_by_domain = {}
            self._orders_generation = generation
        order = self._orders_by_domain.get(failure_domain)
        if order is None:
            order = order_of(
                host
                for host in self._hosts.hosts_of_domain(failure_domain)
                if self._is_usable(host)
            )
            self._orders_by_domain[failure_domain] = order
        return order

    def _own_order(self):
        return self._order(self._own_host.failure_domain)

    def _position(self):
        """Return the own place in the order of the own domain.

        A node that the list lacks or marks as leaving is not counted by the
        others, so it reads the platform only if there are too few readers
        without it.
        """
        order = self._own_order()
        own_key = _order_key(self._own_host)
        position = sum(_order_key(host) < own_key for host in order)
        listed = self._hosts.hosts_by_id.get(self._own_host.host_id)
        if listed is None or listed.is_leaving:
            return max(position, min(self._readers, len(order)))
        return position
