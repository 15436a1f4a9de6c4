"""Keeps the least urgent kind of requests at an upstream from starving.

The load that this module responds to is more work than an upstream has slots
for, for so long that the queue gives all of them to more urgent kinds. The
queue itself is ordered by ``admission.Ticket.rank``. A kind that gets less
than a quarter as much as all requests counts as starved, so the least urgent
kind gets the next slot while it is below a ratio near that.

A fixed share of the slots was tried instead. It took slots from the more
urgent kinds also while the least urgent one was far from starving.

The module starts no tasks and reads no clock: callers pass the current time.
"""

import math

# The least urgent kind gets the next slot while the ratio of its offers that
# are granted is below this part of that of all offers. It is below a quarter
# because offers are counted, and a request that is refused is offered to
# several owner nodes.
FLOOR_RATIO = 0.12
# Half-life of the counts of offers and grants: a few times the deadline of
# most requests, which see the average of it.
HALF_LIFE_SECONDS = 3.0
# Offers of the least urgent kind in the counts below which it is not compared.
MINIMUM_OFFERS = 3.0


class GrantOrder:
    """Decides when the least urgent request gets a slot out of order.

    Attributes
    ----------
    floor_grants : int
        Number of slots that the least urgent kind got out of order.
    """

    def __init__(self):
        self._least_urgent = -math.inf
        # Decaying counts, of all requests and of the least urgent kind.
        self._offers = 0.0
        self._grants = 0.0
        self._least_offers = 0.0
        self._least_grants = 0.0
        self._updated_at = 0.0
        self.floor_grants = 0

    def on_offered(self, ticket, now):
        """Count a request that is offered to the upstream."""
        weight = 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)
        self._updated_at = now
        self._offers = self._offers * weight + 1
        self._grants *= weight
        self._least_offers *= weight
        self._least_grants *= weight
        if ticket.priority > self._least_urgent:
            self._least_urgent = ticket.priority
            self._least_offers = 0.0
            self._least_grants = 0.0
        if ticket.priority == self._least_urgent:
            self._least_offers += 1

    def on_granted(self, ticket):
        """Count a request that got a slot."""
        self._grants += 1
        if ticket.priority == self._least_urgent:
            self._least_grants += 1

    def is_starved(self):
        """Return whether the least urgent kind is below its floor."""
        return (
            self._least_offers >= MINIMUM_OFFERS
            and self._least_grants * self._offers
            < FLOOR_RATIO * self._grants * self._least_offers
        )

    def choose(self, waiting):
        """Return the index of the next request to get a slot.

        Parameters
        ----------
        waiting : list of admission.Ticket
            Ordered by ``admission.Ticket.rank``; not empty.
        """
        least_urgent = self._least_urgent
        if (
            waiting[-1].priority < least_urgent
            or waiting[0].priority == least_urgent
            or not self.is_starved()
        ):
            return 0
        index = len(waiting) - 1
        while waiting[index - 1].priority == least_urgent:
            index -= 1
        self.floor_grants += 1
        return index

    def bound_wait(self, ticket, wait, ahead, slots):
        """Return the expected wait of a request with the floor considered.

        Parameters
        ----------
        ticket : admission.Ticket
        wait : float
            Expected wait if all requests ahead of it are served before it,
            seconds.
        ahead : list of admission.Ticket
            The requests that rank before it.
        slots : int
        """
        if (
            ticket.priority < self._least_urgent
            or ticket.is_late
            or not ahead
            or ahead[-1].priority == ticket.priority
            or not self.is_starved()
        ):
            return wait
        # It gets the next slot.
        return min(wait, ticket.expected_seconds / slots)
