"""Quota accounts of the customers at the nodes that get their requests.

Responds to the same load as ``quota``: decides from where a request gets its
token. A node uses tokens that it was lent, asks the home node, then the node
that takes its place, and without any of them uses its own share of the quota.
The module starts no tasks and reads no clock.
"""

import dataclasses
import math

from . import quota

# Tokens for the expected requests of this time are lent with the one asked
# for. Most customers send less than one request in it to a node, so their
# requests ask for one token.
BATCH_SECONDS = 0.25
_BATCH_DEMAND_SECONDS = 2.0
# A node that did not answer is not asked for this time.
SILENCE_SECONDS = 0.5
# Part of the permitted excess that nodes without a home node may use
# together at the beginning.
SHARE_EXCESS_RATIO = 0.4
# Random part of the time told to refused clients.
RETRY_SPREAD_RATIO = 0.25
MINIMUM_RETRY_SECONDS = 0.02
_FIRST_SHARE_RATIO = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Question:
    """Question to a home node; see ``link.QuotaRequest``."""

    address: str
    tokens: float
    demand: float


class _Account:
    __slots__ = (
        "tokens",
        "expires_at",
        "refused_until",
        "retry_at",
        "near_until",
        "share",
        "share_tokens",
        "share_updated_at",
        "is_on_share",
        "demand",
        "batch_demand",
        "requested_at",
        "is_asking",
        "lender",
        "refused_by",
    )

    def __init__(self, now):
        self.tokens = 0.0
        self.expires_at = -math.inf
        self.refused_until = -math.inf
        self.retry_at = -math.inf
        self.near_until = -math.inf
        self.share = 0.0
        self.share_tokens = 0.0
        self.share_updated_at = now
        self.is_on_share = False
        self.demand = 0.0
        self.batch_demand = 0.0
        self.requested_at = now
        self.is_asking = False
        # Address of the node that lent the last token; None: own share.
        self.lender = None
        # Address of the node that refused last; None: own share.
        self.refused_by = None

    def count_request(self, now):
        elapsed = now - self.requested_at
        self.requested_at = now
        self.demand = (
            self.demand * math.exp(-elapsed / quota.DEMAND_SECONDS)
            + 1 / quota.DEMAND_SECONDS
        )
        self.batch_demand = (
            self.batch_demand * math.exp(-elapsed / _BATCH_DEMAND_SECONDS)
            + 1 / _BATCH_DEMAND_SECONDS
        )

    def take_loan(self, now):
        if self.tokens >= 1 and now < self.expires_at:
            self.tokens -= 1
            return True
        return False

    def add_loan(self, tokens, expires_at, now):
        if now >= self.expires_at:
            self.tokens = 0.0
        self.tokens += tokens
        self.expires_at = expires_at


class QuotaAccounts:
    """Accounts of one node.

    Parameters
    ----------
    own_address : str
    order : quota.HomeOrder
    home : quota.Home
    bounds : quota.Bounds
    random : random.Random
    """

    def __init__(self, *, own_address, order, home, bounds, random):
        self._own_address = own_address
        self._order = order
        self._home = home
        self._bounds = bounds
        self._random = random
        self._accounts_by_name = {}
        self._unreachable = frozenset()
        self._silent_until_by_address = {}
        self.question_count = 0
        self.share_use_count = 0
        self.refused_count = 0

    def __len__(self):
        return len(self._accounts_by_name)

    def prune(self, names):
        """Drop the accounts of customers that are not among the names."""
        for name in self._accounts_by_name.keys() - names:
            del self._accounts_by_name[name]

    def refresh(self, unreachable, now):
        """Note the nodes that are unreachable."""
        self._unreachable = frozenset(unreachable)
        silent = self._silent_until_by_address
        for address in [each for each in silent if silent[each] <= now]:
            del silent[address]

    def on_silent(self, address, now):
        """Ask a node that did not answer no more for a moment."""
        self._silent_until_by_address[address] = now + SILENCE_SECONDS

    def is_near_limit(self, customer, now):
        """Return whether a customer has nearly used up its quota."""
        account = self._accounts_by_name.get(customer.name)
        return account is not None and (
            account.is_on_share or now < account.near_until
        )

    def refused_by(self, customer):
        """Return the node that refused last; None for the own share."""
        account = self._accounts_by_name.get(customer.name)
        # A configuration without the customer may have come meanwhile.
        return None if account is None else account.refused_by

    def acquire(self, customer, now):
        """Get a token for one request.

        A generator: it yields each ``Question`` and is sent a pair of the
        ``quota.Grant``, or None without an answer, and the time. It returns
        None if the request may pass, else the time in seconds after which
        the client may try again.
        """
        account = self._accounts_by_name.get(customer.name)
        if account is None:
            account = _Account(now)
            self._accounts_by_name[customer.name] = account
        account.count_request(now)
        if account.take_loan(now):
            return None
        if now < account.refused_until:
            # The next client in line; no token is due before.
            account.retry_at += 1 / customer.rate
            return self._refuse(account.retry_at - now)
        is_first = not account.is_asking
        account.is_asking = True
        try:
            for address in self._order.candidates(
                customer.name, self._is_excluded
            ):
                question = Question(
                    address=address,
                    tokens=1.0
                    + is_first
                    * math.floor(account.batch_demand * BATCH_SECONDS),
                    demand=account.demand,
                )
                if address == self._own_address:
                    grant = self._home.grant(
                        customer,
                        # Its own requests need no batches.
                        tokens=1.0,
                        demand=account.demand,
                        sender=address,
                        now=now,
                    )
                else:
                    self.question_count += 1
                    grant, now = yield question
                if grant is not None and grant.tokens >= 0:
                    return self._apply(account, grant, address, now)
        finally:
            if is_first:
                account.is_asking = False
        return self._take_share(customer, account, now)

    def _is_excluded(self, address):
        return (
            address in self._unreachable
            or address in self._silent_until_by_address
        )

    def _apply(self, account, grant, address, now):
        account.is_on_share = False
        account.share = grant.share
        if grant.tokens < 1:
            account.refused_until = now + grant.valid
            account.retry_at = now + grant.retry_after
            account.near_until = account.refused_until
            account.refused_by = address
            return self._refuse(grant.retry_after)
        account.near_until = now + grant.retry_after
        account.lender = address
        if grant.tokens > 1:
            account.add_loan(grant.tokens - 1, now + grant.valid, now)
        return None

    def _take_share(self, customer, account, now):
        """Take a token of this node's own share of the quota.

        Most shares are less than a token. The random part of the first
        tokens makes the sum over all nodes the sum of their shares.
        """
        count = max(1, len(self._order.addresses))
        share = account.share or _FIRST_SHARE_RATIO / count
        rate = customer.rate * share
        burst = SHARE_EXCESS_RATIO * self._bounds.excess(customer) * share
        if not account.is_on_share:
            account.is_on_share = True
            limit = burst + self._random.random()
        else:
            limit = burst + 1
        elapsed = now - account.share_updated_at
        account.share_updated_at = now
        account.share_tokens = min(
            limit, account.share_tokens + elapsed * rate
        )
        if account.share_tokens >= 1:
            account.share_tokens -= 1
            account.lender = None
            self.share_use_count += 1
            return None
        account.refused_by = None
        due = (1 - account.share_tokens) / rate
        return self._refuse(min(due, SILENCE_SECONDS))

    def _refuse(self, seconds):
        self.refused_count += 1
        seconds = min(seconds, quota.MAXIMUM_PROMISE_SECONDS)
        spread = RETRY_SPREAD_RATIO * self._random.random()
        return max(MINIMUM_RETRY_SECONDS, seconds) * (1 + spread)

    def give_back(self, customer, now):
        """Return a token of a request that did not run.

        Returns
        -------
        str or None
            Address of the node that the token belongs to; None if this node
            keeps it, as it probably gets another request in time.
        """
        account = self._accounts_by_name.get(customer.name)
        if account is None:
            return None
        if account.lender is None:
            account.share_tokens += 1
            return None
        if account.batch_demand * quota.LOAN_SECONDS >= 1:
            account.add_loan(1.0, now + quota.LOAN_SECONDS, now)
            return None
        return account.lender
