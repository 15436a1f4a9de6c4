"""Finds out which nodes are unreachable, also without requests to them.

Responds to partitions: a link without requests in flight does not notice that
its peer is gone, and most links of a node have a request in many seconds. A
few peers are pinged at each call of ``sample``. One that does not respond
leads to more pings, and another one among these to pings of all peers with an
open link, so that a partition is known within about a second, and the end of
a single node costs a few pings.
"""

import math

import trio

from ..core import supervision

# Peers that are pinged at each call, and after one that did not respond.
SAMPLE_SIZE = 2
CONFIRMATION_SIZE = 4
# Minimum interval between two pings of all peers.
SWEEP_INTERVAL_SECONDS = 1.0
# Interval of the pings of a peer that did not respond.
RECHECK_SECONDS = 1.0
_SAMPLE, _CONFIRMATION, _SWEEP = range(3)


class ReachabilitySampler:
    """Pings some of the peers.

    Parameters
    ----------
    list_open : callable
        Returns the addresses of the peers with an open link.
    responds : callable
        ``await responds(address)`` returns whether a node answers a ping.
    start_soon : callable
        Starts a task of the node.
    on_changed : callable
        Called when other nodes are unresponsive than before.
    random : random.Random
    """

    def __init__(self, *, list_open, responds, start_soon, on_changed, random):
        self._list_open = list_open
        self._responds = responds
        self._start_soon = start_soon
        self._on_changed = on_changed
        self._random = random
        self._recheck_at_by_address = {}
        self._checked = set()
        self._swept_at = -math.inf

    @property
    def unresponsive(self):
        """Addresses of the nodes that did not respond to the last ping."""
        return self._recheck_at_by_address.keys()

    def sample(self, addresses):
        """Ping some peers; forget nodes that are not among the addresses."""
        now = trio.current_time()
        for address, due in list(self._recheck_at_by_address.items()):
            if address not in addresses:
                del self._recheck_at_by_address[address]
            elif due <= now:
                self._check(address, _SWEEP)
        self._check_some(SAMPLE_SIZE, _SAMPLE)

    def check(self, address):
        """Ping a node that others report to be unreachable."""
        self._check(address, _SAMPLE)

    def on_heard(self, address):
        """Note that a node has sent something."""
        if self._recheck_at_by_address.pop(address, None) is not None:
            self._on_changed()

    def _check_some(self, count, stage):
        addresses = [
            address
            for address in self._list_open()
            if address not in self._recheck_at_by_address
            and address not in self._checked
        ]
        if count < len(addresses):
            addresses = self._random.sample(addresses, count)
        for address in addresses:
            self._check(address, stage)

    def _check(self, address, stage):
        if address not in self._checked:
            self._checked.add(address)
            self._start_soon(
                supervision.keep_running, self._ping, address, stage
            )

    async def _ping(self, address, stage):
        try:
            responds = await self._responds(address)
        finally:
            self._checked.discard(address)
        if responds:
            self.on_heard(address)
            return
        now = trio.current_time()
        is_new = address not in self._recheck_at_by_address
        self._recheck_at_by_address[address] = now + RECHECK_SECONDS
        if is_new:
            self._on_changed()
        if stage == _SAMPLE:
            self._check_some(CONFIRMATION_SIZE, _CONFIRMATION)
        elif (
            stage == _CONFIRMATION
            and now - self._swept_at >= SWEEP_INTERVAL_SECONDS
        ):
            self._swept_at = now
            self._check_some(math.inf, _SWEEP)
