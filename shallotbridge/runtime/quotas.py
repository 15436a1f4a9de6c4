"""Connects the quotas of the customers with the other nodes."""

import trio

from .._generated import link
from ..core import decisions
from ..core import errors
from ..core import supervision
from ..peers import reachability
from ..traffic import quota
from ..traffic import quota_accounts

# The latency between nodes is below 1 ms, but a host with less than half a
# core may be without processor time for 57 of each 100 ms.
ANSWER_TIMEOUT_SECONDS = 0.08
# Lines of nodes that did not answer in time.
SILENCE_LINES_PER_SECOND = 5
# Change of the reserved nodes, as a part of all, that is logged.
LOGGED_RESERVATION_RATIO = 0.05


class CustomerQuotas:
    """Quotas of the customers at one node, as lender and as borrower.

    Parameters
    ----------
    own_address : str
    bounds : quota.Bounds
    link_to : callable
        See ``entry.EntryServer``.
    start_soon : callable
        Starts a task of the node.
    list_open, responds : callable
        See ``reachability.ReachabilitySampler``.
    read_unreachable : callable
        Returns the addresses of the nodes that are known to be unreachable.
    random : random.Random
    record : callable
        ``record(action, **fields)`` writes a line of the decision log.
    """

    def __init__(
        self,
        *,
        own_address,
        bounds,
        link_to,
        start_soon,
        list_open,
        responds,
        read_unreachable,
        random,
        record=decisions.record,
    ):
        self._own_address = own_address
        self._link_to = link_to
        self._start_soon = start_soon
        self._read_unreachable = read_unreachable
        self._sampler = reachability.ReachabilitySampler(
            list_open=list_open,
            responds=responds,
            start_soon=start_soon,
            on_changed=self.refresh,
            random=random,
        )
        self._record = record
        self._log = decisions.RateLimitedLog(
            rate=SILENCE_LINES_PER_SECOND, record=record
        )
        self._order = quota.HomeOrder()
        self.home = quota.Home(
            own_address=own_address,
            order=self._order,
            bounds=bounds,
            now=trio.current_time(),
        )
        self.accounts = quota_accounts.QuotaAccounts(
            own_address=own_address,
            order=self._order,
            home=self.home,
            bounds=bounds,
            random=random,
        )
        self._has_configuration = False
        self._version = 0
        self._customers_by_key = None
        self._customers_by_name = {}
        self._logged_reservation = 0

    def on_view_changed(self, view):
        """Take over the customers and the nodes of a new view."""
        configuration = view.configuration
        if configuration is None:
            return
        self._version = configuration.version
        if configuration.customers_by_key is not self._customers_by_key or (
            not self._has_configuration
        ):
            self._update_customers(configuration.customers_by_key)
        if not self._customers_by_name:
            return
        addresses = {
            upstream.address
            for upstream in view.upstreams_by_id.values()
            if not upstream.is_draining
        }
        if addresses == self._order.addresses:
            return
        self.refresh()
        removed = self._order.update(addresses)
        self.home.on_nodes_removed(removed, trio.current_time())
        self.refresh()

    def _update_customers(self, customers_by_key):
        previous_names = (
            self._customers_by_name.keys() if self._has_configuration else None
        )
        self._has_configuration = True
        self._customers_by_key = customers_by_key
        customers_by_name = {
            customer.name: customer
            for customer in (customers_by_key or {}).values()
            if customer.rate
        }
        self.home.on_customers_changed(
            previous_names, customers_by_name, trio.current_time()
        )
        self.accounts.prune(customers_by_name.keys())
        self._order.prune(customers_by_name.keys())
        self._customers_by_name = customers_by_name

    def sample(self):
        """Ping some nodes if this node lends; called periodically."""
        if len(self.home):
            self._sampler.sample(self._order.addresses)

    def refresh(self):
        """Note the nodes that are unreachable; called periodically."""
        if not self._customers_by_name:
            return
        now = trio.current_time()
        unreachable = self._sampler.unresponsive | self._read_unreachable()
        self.home.refresh(unreachable, now)
        self.accounts.refresh(unreachable, now)
        reserved = len(self.home.lost_addresses)
        change = abs(reserved - self._logged_reservation)
        if change > LOGGED_RESERVATION_RATIO * len(self._order.addresses):
            self._logged_reservation = reserved
            self._record(
                "quota_reserved",
                chosen=reserved,
                nodes=len(self._order.addresses),
                reason="shares of the quotas for unreachable nodes",
            )

    async def acquire(self, customer):
        """Wait for a token for one request of a customer.

        Raises
        ------
        errors.QuotaExceededError
        """
        steps = self.accounts.acquire(customer, trio.current_time())
        try:
            question = next(steps)
            while True:
                grant = await self._ask(customer, question)
                question = steps.send((grant, trio.current_time()))
        except StopIteration as end:
            retry_after = end.value
        finally:
            steps.close()
        if retry_after is not None:
            source = self.accounts.refused_by(customer)
            error = errors.QuotaExceededError(
                f"customer {customer.name!r} exceeds its quota of "
                f"{customer.rate:g} requests a second and {customer.burst:g} "
                f"at once, by {source or 'the share of this node'}"
            )
            error.retry_after = retry_after
            raise error

    async def _ask(self, customer, question):
        """Return the grant of a node; None without an answer in time."""
        peer = self._link_to(question.address)
        try:
            with trio.move_on_after(ANSWER_TIMEOUT_SECONDS):
                if not peer.is_responsive:
                    await self._connect(peer)
                    if not peer.is_responsive:
                        raise errors.UpstreamUnreachableError(
                            "no connection, or one without answers"
                        )
                reply = await peer.exchange(
                    link.QuotaRequest(
                        call_id=peer.next_call_id(),
                        customer=customer.name,
                        tokens=question.tokens,
                        demand=question.demand,
                        version=self._version,
                        sender=self._own_address,
                    )
                )
                return quota.Grant(
                    tokens=reply.tokens,
                    valid=reply.valid_ms / 1000,
                    retry_after=reply.retry_after_ms / 1000,
                    share=reply.share,
                )
            reason = "no answer in time"
        except errors.CallError as error:
            reason = error.detail
        now = trio.current_time()
        self.accounts.on_silent(question.address, now)
        self._log.record(
            "quota_home_silent",
            now,
            peer=question.address,
            customer=customer.name,
            reason=reason,
        )
        return None

    async def _connect(self, peer):
        """Wait for a connection.

        A task of its own opens it: other requests that wait for the same
        connection must not fail because this one stops waiting.
        """
        finished = trio.Event()

        async def connect():
            try:
                await peer.connect()
            except errors.UpstreamUnreachableError:
                # The question fails too, as the link has no connection.
                pass
            finally:
                finished.set()

        self._start_soon(supervision.keep_running, connect)
        await finished.wait()

    def give_back(self, customer):
        """Return the token of a request that was refused and did not run."""
        now = trio.current_time()
        address = self.accounts.give_back(customer, now)
        if address is None:
            return
        if address == self._own_address:
            self.home.give_back(customer, 1.0, now)
            return
        peer = self._link_to(address)
        peer.notify(
            link.QuotaRequest(
                call_id=0,
                customer=customer.name,
                tokens=-1.0,
                demand=0.0,
                version=self._version,
                sender=self._own_address,
            )
        )

    def is_near_limit(self, customer):
        """Return whether a customer has nearly used up its quota."""
        return self.accounts.is_near_limit(customer, trio.current_time())

    def describe(self, customer):
        """Return the home node of a customer and whether its limit is near."""
        candidates = self._order.candidates(
            customer.name, self._is_unresponsive
        )
        return {
            "home": candidates[0] if candidates else None,
            "is_near_limit": self.is_near_limit(customer),
        }

    def answer(self, request):
        """Return the answer to a question of another node.

        Negative tokens are given back, which needs no answer.
        """
        self._sampler.on_heard(request.sender)
        customer = self._customers_by_name.get(request.customer)
        now = trio.current_time()
        if request.tokens < 0:
            if customer is not None:
                self.home.give_back(customer, -request.tokens, now)
            return None
        if customer is None:
            return link.QuotaGrant(
                call_id=request.call_id,
                tokens=quota.NO_ANSWER,
                valid_ms=0.0,
                retry_after_ms=0.0,
                share=0.0,
            )
        grant = self.home.grant(
            customer,
            tokens=request.tokens,
            demand=request.demand,
            sender=request.sender,
            now=now,
        )
        self._check_home(customer.name)
        return link.QuotaGrant(
            call_id=request.call_id,
            tokens=grant.tokens,
            valid_ms=grant.valid * 1000,
            retry_after_ms=grant.retry_after * 1000,
            share=grant.share,
        )

    def _check_home(self, name):
        """Find out whether the home node, which others miss, responds."""
        for address in self._order.candidates(name, self._is_unresponsive):
            if address != self._own_address:
                self._sampler.check(address)
            return

    def _is_unresponsive(self, address):
        return address in self._sampler.unresponsive
