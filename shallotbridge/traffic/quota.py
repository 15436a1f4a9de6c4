"""Token buckets of customers at their home nodes.

Responds to customers that send more than their quota. The home node of a
customer is the first node of a rendezvous order that can be reached, and lends
tokens to the nodes that ask. The module starts no tasks and reads no clock:
callers pass the current time. docs/design/customers-and-quotas.md has the
reasons.
"""

import dataclasses
import hashlib
import heapq
import math

# Lent tokens are void after this time: in any window, at most the tokens of
# this much more time are used.
LOAN_SECONDS = 0.5
# A bucket without a refresh for longer was in a process that stood still,
# while others lent in its place.
MAXIMUM_REFILL_SECONDS = 1.0
# A node that is asked although it reaches the home node lends only this part
# of the rate: the home node lends all of it at the same time.
DEPUTY_RATE_RATIO = 0.25
# The first tokens of a bucket whose predecessor is unknown, as a part of the
# permitted excess over the quota and of the burst.
START_EXCESS_RATIO = 0.3
START_BURST_RATIO = 0.5
# In a partition, the part of the permitted excess by which the sides may
# exceed the burst together. Without it the burst of the customers with a few
# requests a second is less than a request on each side.
PARTITION_EXCESS_RATIO = 0.3
# Half of the share of a node follows its recent demand, the other half is
# equal for all: the demand of small customers at one node is mostly chance.
EQUAL_SHARE_RATIO = 0.5
DEMAND_SECONDS = 30.0
_WEIGHTS_SECONDS = 1.0
# Nodes that were unreachable when they were removed from the view may be
# alive behind a partition; their share stays reserved for this time.
RESERVATION_SECONDS = 30.0
# A customer is near its limit while its bucket has less than this part.
NEAR_LIMIT_RATIO = 0.25
# The longest time told to a refused client.
MAXIMUM_PROMISE_SECONDS = 2.0
# A refusal holds no longer, as tokens may be given back and a home node may
# be reached again.
MAXIMUM_REFUSAL_SECONDS = 0.5
# Time after which a bucket that nobody asks for, and another node is home of,
# is dropped.
_UNUSED_SECONDS = 60.0
# First nodes of an order that are kept for each customer.
_KEPT_CANDIDATES = 6
# ``tokens`` of the answer of a node that does not know the customer yet.
NO_ANSWER = -1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """How far all nodes together may exceed a quota in any window."""

    overage: float = 0.0
    slack: float = 0.0
    window_seconds: float = 5.0

    def excess(self, customer):
        """Return the permitted excess of a customer, requests a window."""
        quota = customer.rate * self.window_seconds + customer.burst
        return quota * self.overage + self.slack

    def start_tokens(self, customer):
        """Return the first tokens of a bucket that follows an unknown one."""
        return min(
            START_BURST_RATIO * customer.burst,
            START_EXCESS_RATIO * self.excess(customer),
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Answer of a home node; times are in seconds.

    Attributes
    ----------
    tokens : float
        Whole number of requests that may pass; 0 is a refusal, `NO_ANSWER`
        means that the node cannot answer.
    valid : float
        Time until the tokens are void, or until a refusal is.
    retry_after : float
        After a refusal, the time told to the client. With tokens, the time
        for which the customer is near its limit.
    share : float
        Part of the quota for the asking node while it reaches no home node.
    """

    tokens: float
    valid: float = LOAN_SECONDS
    retry_after: float = 0.0
    share: float = 0.0


class HomeOrder:
    """Orders the nodes for each customer by rendezvous hash."""

    def __init__(self):
        self.addresses = frozenset()
        self._candidates_by_name = {}

    def update(self, addresses):
        """Replace the nodes; return the addresses that were removed."""
        addresses = frozenset(addresses)
        removed = self.addresses - addresses
        added = addresses - self.addresses
        self.addresses = addresses
        if not removed and not added:
            return removed
        candidates_by_name = self._candidates_by_name
        for name, candidates in list(candidates_by_name.items()):
            if removed and any(each in removed for _, each in candidates):
                del candidates_by_name[name]
                continue
            new = [(_weight(name, each), each) for each in added]
            if new and (
                len(candidates) < _KEPT_CANDIDATES or max(new) > candidates[-1]
            ):
                candidates_by_name[name] = heapq.nlargest(
                    _KEPT_CANDIDATES, [*candidates, *new]
                )
        return removed

    def prune(self, names):
        """Drop the orders of customers that are not among the names."""
        for name in self._candidates_by_name.keys() - names:
            del self._candidates_by_name[name]

    def candidates(self, name, is_excluded):
        """Return the first two nodes of a customer that are not excluded.

        Parameters
        ----------
        name : str
        is_excluded : callable
            ``is_excluded(address)``.
        """
        kept = self._candidates_by_name.get(name)
        if kept is None:
            kept = heapq.nlargest(_KEPT_CANDIDATES, self._weigh_all(name))
            self._candidates_by_name[name] = kept
        found = [each for _, each in kept if not is_excluded(each)]
        if not found and len(self.addresses) > len(kept):
            found = [
                each
                for _, each in heapq.nlargest(
                    2,
                    (
                        pair
                        for pair in self._weigh_all(name)
                        if not is_excluded(pair[1])
                    ),
                )
            ]
        return found[:2]

    def _weigh_all(self, name):
        return ((_weight(name, each), each) for each in self.addresses)


def _is_never_excluded(address):
    return False


def _weight(name, address):
    return hashlib.blake2b(
        f"{name}\n{address}".encode(), digest_size=8
    ).digest()


class _Bucket:
    __slots__ = (
        "customer",
        "tokens",
        "updated_at",
        "asked_at",
        "promised_at",
        "rate_ratio",
        "capacity",
        "demands_by_sender",
        "weights_by_sender",
        "weighed_at",
    )

    def __init__(self, customer, tokens, now):
        self.customer = customer
        self.tokens = tokens
        self.updated_at = now
        self.asked_at = now
        self.promised_at = now
        self.rate_ratio = 1.0
        self.capacity = max(1.0, customer.burst)
        # Pairs of requests a second and the time of the last question.
        self.demands_by_sender = {}
        # Parts of the demand; frozen while nodes are lost.
        self.weights_by_sender = {}
        self.weighed_at = -math.inf

    @property
    def rate(self):
        return self.customer.rate * self.rate_ratio

    def refill(self, now):
        elapsed = min(MAXIMUM_REFILL_SECONDS, now - self.updated_at)
        self.updated_at = now
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate)

    def seconds_until(self, tokens):
        missing = tokens - self.tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else math.inf


class Home:
    """Lends the tokens of the customers whose home this node is.

    ``refresh`` must be called more often than `MAXIMUM_REFILL_SECONDS`.

    Parameters
    ----------
    own_address : str
    order : HomeOrder
    bounds : Bounds
    now : float
    """

    def __init__(self, *, own_address, order, bounds, now):
        self._own_address = own_address
        self._order = order
        self._bounds = bounds
        self._buckets_by_name = {}
        # Customers that no node knew before, so that none had lent to them,
        # and when they were added.
        self._added_at_by_name = {}
        # Since when this node may be home of customers that nobody asked for.
        self._since = now
        self._refreshed_at = now
        self._unreachable = frozenset()
        # Unreachable nodes, and until when their share is reserved.
        self._reserved_until_by_address = {}
        self.granted_count = 0
        self.refused_count = 0

    def __len__(self):
        return len(self._buckets_by_name)

    @property
    def lost_addresses(self):
        """Nodes whose shares are reserved."""
        return self._reserved_until_by_address.keys()

    def on_customers_changed(self, previous_names, customers_by_name, now):
        """Take over the customers of a new configuration.

        Parameters
        ----------
        previous_names : container of str or None
            Customers of the configuration before; None if there was none.
        customers_by_name : mapping of str to model.Customer
        now : float
        """
        if previous_names is None:
            self._since = now
        else:
            self._added_at_by_name = {
                name: self._added_at_by_name.get(name, now)
                for name in customers_by_name
                if name not in previous_names or name in self._added_at_by_name
            }
        for name in self._buckets_by_name.keys() - customers_by_name.keys():
            del self._buckets_by_name[name]

    def on_nodes_removed(self, removed, now):
        """Reserve the shares of removed nodes that were unreachable."""
        if removed:
            self._since = now
        for address in removed & self._unreachable:
            self._reserved_until_by_address[address] = (
                now + RESERVATION_SECONDS
            )

    def refresh(self, unreachable, now):
        """Refill the buckets and note which nodes are unreachable."""
        self._unreachable = frozenset(unreachable)
        reserved = self._reserved_until_by_address
        for address in list(reserved):
            if reserved[address] <= now and address not in self._unreachable:
                del reserved[address]
        for address in self._unreachable & self._order.addresses:
            reserved[address] = now
        for address in reserved.keys() & self._order.addresses:
            if address not in self._unreachable:
                del reserved[address]
        self._detect_pause(now)
        for name, bucket in list(self._buckets_by_name.items()):
            bucket.refill(now)
            is_home = self.is_home(name)
            self._update_ratio(bucket, is_home)
            if not is_home and now - bucket.asked_at > _UNUSED_SECONDS:
                del self._buckets_by_name[name]

    def _detect_pause(self, now):
        if now - self._refreshed_at > MAXIMUM_REFILL_SECONDS:
            self._since = now
        self._refreshed_at = now

    def is_home(self, name):
        """Return whether this node is the first that it reaches itself."""
        first = self._order.candidates(name, self._unreachable.__contains__)
        return first[:1] == [self._own_address]

    def is_first(self, name):
        """Return whether this node is home while all nodes are reachable."""
        first = self._order.candidates(name, _is_never_excluded)
        return first[:1] == [self._own_address]

    def _update_ratio(self, bucket, is_home):
        """Set which parts of the rate and of the burst this node lends."""
        reserved = self._reserved_until_by_address
        lost = sum(self._share(bucket, each) for each in reserved)
        ratio = max(0.0, 1.0 - lost)
        if not is_home:
            ratio *= DEPUTY_RATE_RATIO
        bucket.rate_ratio = ratio
        customer = bucket.customer
        burst = customer.burst
        if lost > 0:
            burst += (
                PARTITION_EXCESS_RATIO
                * self._bounds.excess(customer)
                * min(1.0, 2 * lost)
            )
        bucket.capacity = max(1.0, burst * ratio)

    def _share(self, bucket, sender):
        count = len(self._order.addresses | self.lost_addresses) or 1
        weights = bucket.weights_by_sender
        if not weights:
            return 1.0 / count
        return EQUAL_SHARE_RATIO / count + (
            1 - EQUAL_SHARE_RATIO
        ) * weights.get(sender, 0.0)

    def _note_demand(self, bucket, sender, demand, now):
        bucket.demands_by_sender[sender] = (demand, now)
        if (
            now - bucket.weighed_at < _WEIGHTS_SECONDS
            or self._reserved_until_by_address
        ):
            return
        bucket.weighed_at = now
        demands = {
            each: known * math.exp(-(now - at) / DEMAND_SECONDS)
            for each, (known, at) in bucket.demands_by_sender.items()
            if now - at < 3 * DEMAND_SECONDS
        }
        bucket.demands_by_sender = {
            each: bucket.demands_by_sender[each] for each in demands
        }
        total = sum(demands.values())
        if total > 0:
            bucket.weights_by_sender = {
                each: demand / total for each, demand in demands.items()
            }

    def grant(self, customer, *, tokens, demand, sender, now):
        """Lend up to some tokens to a node; return the ``Grant``.

        A node gets at most half of the bucket at once, so that one with a
        large batch leaves some to the others.
        """
        bucket = self._bucket(customer, now)
        bucket.asked_at = now
        self._note_demand(bucket, sender, demand, now)
        share = self._share(bucket, sender)
        if bucket.tokens >= 1:
            granted = min(
                max(1.0, math.floor(tokens)),
                max(1.0, math.floor(bucket.tokens / 2)),
            )
            bucket.tokens -= granted
            self.granted_count += int(granted)
            near = max(1.0, NEAR_LIMIT_RATIO * bucket.capacity)
            return Grant(
                tokens=granted,
                retry_after=min(
                    MAXIMUM_PROMISE_SECONDS, bucket.seconds_until(near)
                ),
                share=share,
            )
        self.refused_count += 1
        due = min(MAXIMUM_PROMISE_SECONDS, bucket.seconds_until(1.0))
        # Each refused client is told the time of another token.
        promised = max(bucket.promised_at, now + due)
        bucket.promised_at = min(
            promised + 1 / max(bucket.rate, 1 / MAXIMUM_PROMISE_SECONDS),
            now + MAXIMUM_PROMISE_SECONDS,
        )
        return Grant(
            tokens=0.0,
            valid=min(due, MAXIMUM_REFUSAL_SECONDS),
            retry_after=promised - now,
            share=share,
        )

    def give_back(self, customer, tokens, now):
        """Add tokens that were lent and not used."""
        bucket = self._bucket(customer, now)
        bucket.tokens = min(bucket.capacity, bucket.tokens + tokens)

    def _bucket(self, customer, now):
        name = customer.name
        bucket = self._buckets_by_name.get(name)
        if bucket is None:
            self._detect_pause(now)
            bucket = _Bucket(customer, 0.0, now)
            self._update_ratio(bucket, self.is_home(name))
            added_at = self._added_at_by_name.pop(name, -math.inf)
            tokens = self._bounds.start_tokens(customer)
            if self.is_first(name):
                # It has been home at least since the last node was removed.
                if added_at >= self._since:
                    tokens = bucket.capacity
                tokens += (now - self._since) * bucket.rate
            bucket.tokens = min(bucket.capacity, tokens)
            self._buckets_by_name[name] = bucket
            return bucket
        bucket.refill(now)
        if customer is not bucket.customer:
            bucket.customer = customer
            self._update_ratio(bucket, self.is_home(name))
            bucket.tokens = min(bucket.tokens, bucket.capacity)
        return bucket
