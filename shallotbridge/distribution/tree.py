"""Which node a node gets published items from.

Every node ranks the nodes of its failure domain alike, by a hash of their
addresses, so that they agree on a tree without talking about it.
"""

import bisect
import functools
import hashlib
import heapq

import trio

# One node of a failure domain watches the platform. The others pull from it
# in a tree with this many children a node: a changed configuration of 2,300
# routes takes 0.03 s for each child on a link of 10 Mbit/s. What the reader of
# a domain misses, those of the other domains bring by the pings.
MAXIMUM_CHILDREN = 8
# Nodes of a domain that may read, in their order, when the platform turns the
# first away; more would only load a platform that is down.
READER_CANDIDATES = 3
# A node that does not answer, or a reader that the platform turns away, is
# passed over for this long, s, and the next one takes its place.
PASS_OVER_SECONDS = 2.0
# Nodes that a node tells its revision and asks for theirs. Its connections do
# not grow with the fleet; each pair learns who is behind, and four others of
# each node connect a fleet of any size.
NEIGHBOURS = 4


class ReadingTree:
    """Tells a node's parent, by who answers and whom the platform serves.

    Parameters
    ----------
    own_address : str
    own_domain : str
    peers_of : callable
        ``peers_of()`` returns pairs of address and failure domain of all
        nodes with a registered upstream.
    """

    def __init__(self, *, own_address, own_domain, peers_of):
        self._own_address = own_address
        self._own_domain = own_domain
        self._peers_of = peers_of
        self._passed_over_until = {}
        self._turned_away_until = {}

    def parent(self):
        """Return the node to pull from; None for one that reads itself."""
        now = trio.current_time()
        ranked = self._live_domain(now)
        if not ranked:
            # No upstream of the own domain is registered, as at first.
            elsewhere = self._first_elsewhere(now)
            return elsewhere[0] if elsewhere else None
        candidates = ranked[:READER_CANDIDATES]
        reader = next(
            (
                address
                for address in candidates
                if not self.is_turned_away(address)
            ),
            ranked[0],
        )
        if reader == self._own_address:
            return None
        ranked.remove(reader)
        own_rank = rank(self._own_address)
        place = 1 + bisect.bisect_left(ranked, own_rank, key=rank)
        parent_place = (place - 1) // MAXIMUM_CHILDREN
        return reader if parent_place == 0 else ranked[parent_place - 1]

    def may_read(self):
        """Tell whether this node may take the reader's place."""
        ranked = self._live_domain(trio.current_time())
        return self._own_address in ranked[:READER_CANDIDATES]

    def first_parents(self, nodes):
        """Return the nodes to ask for a first copy, of the own domain first.

        The first of the own domain reads the platform itself.

        Parameters
        ----------
        nodes : iterable of (str, str)
            Pairs of address and failure domain.
        """
        own, others = set(), set()
        for address, failure_domain in nodes:
            is_own = failure_domain == self._own_domain
            (own if is_own else others).add(address)
        ranked = sorted(own, key=rank) or sorted(others, key=rank)
        if self._own_address in ranked:
            ranked = ranked[: ranked.index(self._own_address)]
        return ranked[:READER_CANDIDATES]

    def neighbours(self, unreachable):
        """Return the nodes that are asked for their revision."""
        addresses = {address for address, _ in self._peers_of()}
        addresses -= unreachable
        addresses.discard(self._own_address)
        return heapq.nsmallest(
            NEIGHBOURS,
            addresses,
            key=lambda address: rank(f"{self._own_address} {address}"),
        )

    def pass_over(self, address):
        """Take a node that does not answer out of the tree for a while."""
        until = trio.current_time() + PASS_OVER_SECONDS
        self._passed_over_until[address] = until

    def turn_away(self, address):
        """Let another node read in place of one without the platform."""
        until = trio.current_time() + PASS_OVER_SECONDS
        self._turned_away_until[address] = until

    def is_turned_away(self, address):
        """Tell whether the platform lately turned a node away."""
        now = trio.current_time()
        return self._turned_away_until.get(address, now) > now

    def _live_domain(self, now):
        """Return the nodes of the own domain that answer, in their ranking."""
        addresses = {
            address
            for address, failure_domain in self._peers_of()
            if failure_domain == self._own_domain
            and self._passed_over_until.get(address, now) <= now
        }
        return sorted(addresses, key=rank)

    def _first_elsewhere(self, now):
        """Return those of the first nodes of other domains that answer."""
        addresses = {
            address
            for address, failure_domain in self._peers_of()
            if failure_domain != self._own_domain
        }
        return [
            address
            for address in heapq.nsmallest(
                READER_CANDIDATES, addresses, key=rank
            )
            if self._passed_over_until.get(address, now) <= now
        ]


@functools.lru_cache(maxsize=16384)
def rank(text):
    """Return the sort key of an address among others."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
