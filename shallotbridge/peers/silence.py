"""Tells from silent nodes when a whole failure domain is cut off."""

import math

# Nodes of one failure domain that fall silent within this time, s, and their
# number from which the domain as a whole is doubted.
MEMORY_SECONDS = 1.0
SILENT_NODES = 2
# A domain of which any node was heard within this time, s, is not cut off. A
# node is doubted only after a longer silence.
HEARD_SECONDS = 0.15


class DomainSilence:
    """Remembers which nodes fell silent, and when.

    Parameters
    ----------
    own_domain : str
        This node's failure domain, which is never doubted as a whole.
    """

    def __init__(self, *, own_domain):
        self._own_domain = own_domain
        self._silent_at_by_address = {}

    def on_silence(self, address, now, domains_by_address, has_heard_since):
        """Return the other nodes of the domain that are to be avoided.

        Without this each node of a domain that is cut off costs requests
        before it is avoided.

        Parameters
        ----------
        address : str
            Node that fell silent.
        now : float
        domains_by_address : mapping of str to str
            Failure domains of the nodes with a connection.
        has_heard_since : callable
            ``has_heard_since(address, time)``.

        Returns
        -------
        list of str
            Empty unless the domain as a whole is doubted.

        Examples
        --------
        >>> silence = DomainSilence(own_domain="a")
        >>> domains = {"b1": "b", "b2": "b", "b3": "b", "c1": "c"}
        >>> def never(address, time):
        ...     return False
        >>> silence.on_silence("b1", 1.0, domains, never)
        []
        >>> silence.on_silence("b2", 1.1, domains, never)
        ['b3']
        """
        silent_at = self._silent_at_by_address
        silent_at[address] = now
        domain = domains_by_address.get(address)
        if domain is None or domain == self._own_domain:
            return []
        quiet = []
        silent = 0
        for other, other_domain in domains_by_address.items():
            if other_domain != domain:
                continue
            if has_heard_since(other, now - HEARD_SECONDS):
                # Nothing passes into or out of a domain that is cut off.
                return []
            if now - silent_at.get(other, -math.inf) < MEMORY_SECONDS:
                silent += 1
            else:
                quiet.append(other)
        return quiet if silent >= SILENT_NODES else []

    def forget(self, address):
        """Forget a node that is not registered any more."""
        self._silent_at_by_address.pop(address, None)
