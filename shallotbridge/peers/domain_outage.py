"""Detects from unresponsive nodes that a failure domain is unreachable."""

import math

# A domain is suspected as a whole if at least this number of its nodes become
# unresponsive within this time.
DETECTION_WINDOW_SECONDS = 1.0
MINIMUM_UNRESPONSIVE_NODES = 2
# A domain is reachable if any of its nodes has sent something within this
# time. A node is suspected only after a longer time.
RECENTLY_RECEIVED_SECONDS = 0.15


class DomainOutageDetector:
    """Detects that a whole failure domain is unresponsive.

    Parameters
    ----------
    own_domain : str
        This node's failure domain, which is never suspected as a whole.
    starts_at : float
        No domain is suspected before. Nodes that start at once, with little
        processor time, time out without a partition: after a loss of power
        28 domains were suspected that were not cut off.
    """

    def __init__(self, *, own_domain, starts_at=-math.inf):
        self._own_domain = own_domain
        self._starts_at = starts_at
        self._unresponsive_at_by_address = {}

    def on_node_unresponsive(
        self, address, now, domains_by_address, has_received_since
    ):
        """Return the other nodes of the domain that are to be avoided.

        Otherwise requests would fail at each node of an unreachable domain
        before that node is avoided.

        Parameters
        ----------
        address : str
            Node that became unresponsive.
        now : float
        domains_by_address : mapping of str to str
            Failure domains of the nodes with a connection.
        has_received_since : callable
            ``has_received_since(address, time)`` returns whether anything was
            received from a node after a time.

        Returns
        -------
        list of str
            Empty unless the domain as a whole is suspected.

        Examples
        --------
        >>> detector = DomainOutageDetector(own_domain="a")
        >>> domains = {"b1": "b", "b2": "b", "b3": "b", "c1": "c"}
        >>> def never(address, time):
        ...     return False
        >>> detector.on_node_unresponsive("b1", 1.0, domains, never)
        []
        >>> detector.on_node_unresponsive("b2", 1.1, domains, never)
        ['b3']
        """
        if now < self._starts_at:
            return []
        unresponsive_at = self._unresponsive_at_by_address
        unresponsive_at[address] = now
        domain = domains_by_address.get(address)
        if domain is None or domain == self._own_domain:
            return []
        others = []
        unresponsive_count = 0
        for other, other_domain in domains_by_address.items():
            if other_domain != domain:
                continue
            if has_received_since(other, now - RECENTLY_RECEIVED_SECONDS):
                # Nothing is received from a domain that is cut off, so this
                # one is reachable.
                return []
            if (
                now - unresponsive_at.get(other, -math.inf)
                < DETECTION_WINDOW_SECONDS
            ):
                unresponsive_count += 1
            else:
                others.append(other)
        return (
            others if unresponsive_count >= MINIMUM_UNRESPONSIVE_NODES else []
        )

    def remove_node(self, address):
        """Remove a node that is not registered any more."""
        self._unresponsive_at_by_address.pop(address, None)
