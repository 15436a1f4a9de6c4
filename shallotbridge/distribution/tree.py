"""Chooses the node from which a node pulls published items.

Every node ranks the nodes of its failure domain by the same hash of their
addresses, so that all of them derive the same tree without coordination.
"""

import bisect
import functools
import hashlib
import heapq

import trio

# Fan-out of the tree. One node of each failure domain, the reader, watches the
# platform, and the others pull from it through the tree. Sending a changed
# configuration of 2,300 routes takes 0.03 s per child on a link of 10 Mbit/s.
# Changes that the reader misses are detected by pings to other domains.
MAXIMUM_CHILDREN = 8
# Highest-ranked nodes of a domain that may become its reader while the
# platform rejects those before them. More candidates would only add load to a
# platform that is down.
READER_CANDIDATES = 3
# How long an unresponsive node, or a reader that the platform rejects, is
# replaced by the next in the ranking.
EXCLUSION_SECONDS = 2.0
# Number of peers with which a node exchanges revisions, so that either side
# detects if it is behind. It bounds the connections per node in a fleet of any
# size; four peers per node keep the gossip graph connected.
GOSSIP_PEERS = 4


class DistributionTree:
    """Determines a node's parent from the nodes that are available.

    Nodes that do not respond are left out, and nodes whose calls the platform
    rejects are not chosen as reader.

    Parameters
    ----------
    own_address : str
    own_domain : str
    list_peers : callable
        ``list_peers()`` returns pairs of address and failure domain of all
        nodes with a registered upstream, including this one.
    """

    def __init__(self, *, own_address, own_domain, list_peers):
        self._own_address = own_address
        self._own_domain = own_domain
        self._list_peers = list_peers
        self._excluded_until = {}
        self._reader_excluded_until = {}

    def parent(self):
        """Return the address of the node to pull from; None for a reader."""
        now = trio.current_time()
        ranked = self._ranked_own_domain(now)
        if not ranked:
            # No upstream of the own domain is registered, as during startup.
            fallbacks = self._fallback_parents(now)
            return fallbacks[0] if fallbacks else None
        candidates = ranked[:READER_CANDIDATES]
        reader = next(
            (
                address
                for address in candidates
                if not self.is_excluded_reader(address)
            ),
            ranked[0],
        )
        if reader == self._own_address:
            return None
        ranked.remove(reader)
        own_rank = rank_key(self._own_address)
        index = 1 + bisect.bisect_left(ranked, own_rank, key=rank_key)
        parent_index = (index - 1) // MAXIMUM_CHILDREN
        return reader if parent_index == 0 else ranked[parent_index - 1]

    def is_reader_candidate(self):
        """Return whether this node may replace the reader of its domain."""
        ranked = self._ranked_own_domain(trio.current_time())
        return self._own_address in ranked[:READER_CANDIDATES]

    def bootstrap_parents(self, nodes):
        """Return the nodes to pull a first copy from, in order.

        They are of the own domain, or of others if it has none, and rank
        before this node. The list is empty for the first node of a domain,
        which reads the platform itself.

        Parameters
        ----------
        nodes : iterable of (str, str)
            Pairs of address and failure domain.
        """
        own, others = set(), set()
        for address, failure_domain in nodes:
            is_own = failure_domain == self._own_domain
            (own if is_own else others).add(address)
        ranked = sorted(own, key=rank_key) or sorted(others, key=rank_key)
        if self._own_address in ranked:
            ranked = ranked[: ranked.index(self._own_address)]
        return ranked[:READER_CANDIDATES]

    def gossip_peers(self, unreachable):
        """Return the nodes to ping for their revision.

        Rendezvous hashing gives each node its own choice.

        Parameters
        ----------
        unreachable : set of str
            Addresses to leave out.
        """
        addresses = {address for address, _ in self._list_peers()}
        addresses -= unreachable
        addresses.discard(self._own_address)
        return heapq.nsmallest(
            GOSSIP_PEERS,
            addresses,
            key=lambda address: rank_key(f"{self._own_address} {address}"),
        )

    def exclude(self, address):
        """Leave an unresponsive node out of the tree for a while."""
        until = trio.current_time() + EXCLUSION_SECONDS
        self._excluded_until[address] = until

    def exclude_reader(self, address):
        """Exclude a node as reader while the platform rejects its calls."""
        until = trio.current_time() + EXCLUSION_SECONDS
        self._reader_excluded_until[address] = until

    def include_reader(self, address):
        """End the exclusion of a node as reader."""
        self._reader_excluded_until.pop(address, None)

    def is_excluded_reader(self, address):
        """Return whether the platform has recently rejected a node."""
        now = trio.current_time()
        return self._reader_excluded_until.get(address, now) > now

    def _ranked_own_domain(self, now):
        """Return the responsive nodes of the own domain by rank."""
        addresses = {
            address
            for address, failure_domain in self._list_peers()
            if failure_domain == self._own_domain
            and self._excluded_until.get(address, now) <= now
        }
        return sorted(addresses, key=rank_key)

    def _fallback_parents(self, now):
        """Return the responsive ones of the first nodes of other domains."""
        addresses = {
            address
            for address, failure_domain in self._list_peers()
            if failure_domain != self._own_domain
        }
        return [
            address
            for address in heapq.nsmallest(
                READER_CANDIDATES, addresses, key=rank_key
            )
            if self._excluded_until.get(address, now) <= now
        ]


@functools.lru_cache(maxsize=16384)
def rank_key(text):
    """Return a hash of an address as sort key of the ranking."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
