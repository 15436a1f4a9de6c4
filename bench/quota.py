"""Compares ways to enforce quotas over a simulated fleet, without a network.

Run as ``python -m bench.quota``. Reports for each way and scenario how far the
served requests exceed the quota in any window, as a part of the bound, and
which part of the offered requests is refused though an exact common bucket
would have served it.
"""

import dataclasses
import random
import time

from shallotbridge.traffic import model
from shallotbridge.traffic import quota
from shallotbridge.traffic import quota_accounts

BOUNDS = quota.Bounds(overage=0.25, slack=20.0, window_seconds=5.0)
NODES = 87
DOMAINS = 3
REFRESH_SECONDS = 0.4
# Time until a node knows that another is unreachable, and until the view
# drops a node that does not report.
DETECTION_SECONDS = 0.5
REMOVAL_SECONDS = 6.0
ANSWER_TIMEOUT_SECONDS = 0.08
# Interval at which shares that follow the demand are told.
SHARE_SECONDS = 1.0
# The customers of the known deployment, about 750 requests per second.
SIZES = (114, 66, 48, 38, 30, 25, 21, 18, 16, 14, 12, 11, 10, 9, 8, 8) + tuple(
    max(2.0, 7 - index / 14) for index in range(70)
)


def make_customer(rate, burst=None, name="c"):
    """Return a customer whose burst is its rate unless given."""
    return model.Customer(
        name=name,
        rate=float(rate),
        burst=float(rate if burst is None else burst),
    )


class LentTokens:
    """Way (a): the nodes of the product, with simulated messages.

    Parameters
    ----------
    count : int
        Number of nodes; the failure domain of a node is its number modulo
        `DOMAINS`.
    has_deputy : bool
        Whether the next node of the order takes the place of a home node
        that does not answer; otherwise each node uses its share.
    """

    def __init__(self, count=NODES, seed=1, has_deputy=True, now=0.0):
        self.addresses = [f"10.0.0.{number}" for number in range(count)]
        self._random = random.Random(seed)
        self._has_deputy = has_deputy
        self.dead = set()
        self.group_by_address = dict.fromkeys(self.addresses, 0)
        # Time of the last change of what reaches what.
        self.changed_at = 0.0
        self.nodes = {each: self._make(each, now) for each in self.addresses}
        for node in self.nodes.values():
            node["order"].update(self.addresses)
        self.messages = 0
        self._whole_order = quota.HomeOrder()
        self._whole_order.update(self.addresses)

    def _make(self, address, now):
        order = quota.HomeOrder()
        home = quota.Home(
            own_address=address, order=order, bounds=BOUNDS, now=now
        )
        accounts = quota_accounts.QuotaAccounts(
            own_address=address,
            order=order,
            home=home,
            bounds=BOUNDS,
            random=random.Random(self._random.random()),
        )
        return {"order": order, "home": home, "accounts": accounts}

    def restart(self, address, now):
        """Restart the process of a node; its view is current at once."""
        self.nodes[address] = self._make(address, now)
        self.nodes[address]["order"].update(self.addresses)
        self.dead.discard(address)

    def stop(self, address, now):
        """Kill or freeze a node."""
        self.dead.add(address)
        self.changed_at = now

    def resume(self, address, now):
        """Let a frozen node run on."""
        self.dead.discard(address)

    def home_of(self, customer):
        return self._whole_order.candidates(customer.name, lambda each: False)[
            0
        ]

    def cut(self, groups, now):
        """Divide the fleet; ``groups`` maps addresses to numbers."""
        self.group_by_address = groups
        self.changed_at = now

    def reaches(self, one, other):
        return (
            other not in self.dead
            and self.group_by_address[one] == self.group_by_address[other]
        )

    def refresh(self, now):
        """Update what each node knows of the others; called periodically."""
        for address, node in self.nodes.items():
            if address in self.dead:
                continue
            unreachable = set()
            if now - self.changed_at >= DETECTION_SECONDS:
                unreachable = {
                    each
                    for each in self.addresses
                    if not self.reaches(address, each)
                }
            node["accounts"].refresh(unreachable, now)
            node["home"].refresh(unreachable, now)
            # The group that reaches the store loses the nodes of the other.
            if (
                unreachable
                and now - self.changed_at >= REMOVAL_SECONDS
                and self.group_by_address[address] == 0
            ):
                removed = node["order"].update(
                    set(self.addresses) - unreachable
                )
                node["home"].on_nodes_removed(removed, now)
            elif not unreachable:
                node["order"].update(self.addresses)

    def serves(self, customer, address, now):
        """Return the time at which a request passes, or None."""
        accounts = self.nodes[address]["accounts"]
        steps = accounts.acquire(customer, now)
        try:
            question = next(steps)
            while True:
                grant = None
                self.messages += 1
                if (
                    self._has_deputy
                    or question.address == self.home_of(customer)
                ) and self.reaches(address, question.address):
                    grant = self.nodes[question.address]["home"].grant(
                        customer,
                        tokens=question.tokens,
                        demand=question.demand,
                        sender=address,
                        now=now,
                    )
                else:
                    now += ANSWER_TIMEOUT_SECONDS
                    accounts.on_silent(question.address, now)
                question = steps.send((grant, now))
        except StopIteration as end:
            return now if end.value is None else None


class Shares:
    """Ways (b) and (c): each node has its own bucket for its share.

    Parameters
    ----------
    follows_demand : bool
        Whether the shares follow the recent demand of the nodes, as far as
        the node that adds it up is reached; otherwise they are equal.
    """

    def __init__(self, count=NODES, follows_demand=False, **_):
        self.addresses = [f"10.0.0.{number}" for number in range(count)]
        self._follows_demand = follows_demand
        self.dead = set()
        self.group_by_address = dict.fromkeys(self.addresses, 0)
        self._buckets = {}
        self._counts = {}
        self._shares = {}
        self.messages = 0
        self._refreshed_at = 0.0

    def home_of(self, customer):
        return self.addresses[0]

    def stop(self, address, now):
        self.dead.add(address)

    def cut(self, groups, now):
        self.group_by_address = groups

    def restart(self, address, now):
        self.dead.discard(address)

    def refresh(self, now):
        if (
            not self._follows_demand
            or now - self._refreshed_at < SHARE_SECONDS
        ):
            return
        self._refreshed_at = now
        for name, counts in self._counts.items():
            for address in self.addresses:
                counts[address] = 0.8 * counts.get(address, 0.0)
            total = sum(counts.values()) or 1.0
            self._shares[name] = {
                each: 0.2 / len(self.addresses) + 0.8 * counts[each] / total
                for each in self.addresses
            }
            self.messages += 2 * len(self.addresses)

    def serves(self, customer, address, now):
        counts = self._counts.setdefault(customer.name, {})
        counts[address] = counts.get(address, 0.0) + 1.0
        share = self._shares.get(customer.name, {}).get(
            address, 1 / len(self.addresses)
        )
        key = customer.name, address
        # They may use as much of the permitted excess as shares of way (a).
        excess = quota_accounts.SHARE_EXCESS_RATIO * BOUNDS.excess(customer)
        cap = max(1.0, (customer.burst + excess) * share)
        tokens, at = self._buckets.get(key, (cap, now))
        tokens = min(cap, tokens + (now - at) * customer.rate * share)
        passes = tokens >= 1
        self._buckets[key] = (tokens - passes, now)
        return now if passes else None


@dataclasses.dataclass
class Result:
    """Result of one customer.

    Attributes
    ----------
    excess : float
        Requests served in the worst window, as a part of the bound.
    refused_below : float
        Part of the offered requests that was refused, less that which an
        exact bucket refuses.
    """

    offered: int
    served: int
    excess: float
    refused_below: float
    served_at: list


def simulate(
    fleet, customer, *, load, seconds=20.0, events=(), seed=1, entry=None
):
    """Send requests of one customer to random nodes that are alive.

    Parameters
    ----------
    load : callable
        ``load(now)`` returns the requests per second.
    events : sequence of (float, callable)
        ``function(fleet, now)`` is called at a time. It may return a customer
        that replaces the present one.
    """
    rng = random.Random(seed)
    now = refreshed_at = 0.0
    pending = sorted(events, key=lambda event: event[0])
    served_at = []
    offered = ideal_served = 0
    tokens, updated_at = customer.burst, 0.0
    addresses = entry or fleet.addresses
    while True:
        now += rng.expovariate(load(now))
        if now > seconds:
            break
        while refreshed_at + REFRESH_SECONDS < now:
            refreshed_at += REFRESH_SECONDS
            while pending and pending[0][0] <= refreshed_at:
                customer = pending.pop(0)[1](fleet, refreshed_at) or customer
            fleet.refresh(refreshed_at)
        address = rng.choice(addresses)
        if address in fleet.dead:
            continue
        offered += 1
        tokens = min(
            max(1.0, customer.burst),
            tokens + (now - updated_at) * customer.rate,
        )
        updated_at = now
        if tokens >= 1:
            tokens -= 1
            ideal_served += 1
        at = fleet.serves(customer, address, now)
        if at is not None:
            served_at.append(at)
    served_at.sort()
    return Result(
        offered=offered,
        served=len(served_at),
        excess=worst_window(served_at) / bound(customer),
        refused_below=max(0, ideal_served - len(served_at)) / offered,
        served_at=served_at,
    )


def simulate_all(fleet, customers, *, load, seconds=12.0, seed=1):
    """Return for each customer the offered, served and ideally served.

    Parameters
    ----------
    load : float
        Requests of each customer as a part of its rate.
    """
    rng = random.Random(seed)
    now = refreshed_at = 0.0
    counts = [[0, 0, 0] for _ in customers]
    buckets = [[customer.burst, 0.0] for customer in customers]
    rates = [customer.rate for customer in customers]
    total = sum(rates) * load
    while now < seconds:
        now += rng.expovariate(total)
        if refreshed_at + REFRESH_SECONDS < now:
            refreshed_at += REFRESH_SECONDS
            fleet.refresh(refreshed_at)
        index = rng.choices(range(len(customers)), rates)[0]
        customer, bucket = customers[index], buckets[index]
        bucket[0] = min(
            max(1.0, customer.burst),
            bucket[0] + (now - bucket[1]) * customer.rate,
        )
        bucket[1] = now
        ideal = bucket[0] >= 1
        bucket[0] -= ideal
        served = fleet.serves(customer, rng.choice(fleet.addresses), now)
        for position, count in enumerate((1, served is not None, ideal)):
            counts[index][position] += count
    return counts


def bound(customer):
    """Return the most requests of a customer that may run in a window."""
    quota_of_window = customer.rate * BOUNDS.window_seconds + customer.burst
    return quota_of_window * (1 + BOUNDS.overage) + BOUNDS.slack


def worst_window(times):
    """Return the largest number of times within any window."""
    worst = first = 0
    for index, served_at in enumerate(times):
        while times[first] < served_at - BOUNDS.window_seconds:
            first += 1
        worst = max(worst, index - first + 1)
    return worst


def kill_home(customer, *, restart_after):
    """Return events that end the process of the home node and restart it."""
    return (
        (8.0, lambda fleet, now: fleet.stop(fleet.home_of(customer), now)),
        (
            8.0 + restart_after,
            lambda fleet, now: fleet.restart(fleet.home_of(customer), now),
        ),
    )


def cut_fleet(is_in_group, *, until):
    """Return events that divide the fleet for some time."""

    def divide(fleet, now):
        fleet.cut(
            {
                address: int(is_in_group(number))
                for number, address in enumerate(fleet.addresses)
            },
            now,
        )

    def heal(fleet, now):
        fleet.cut(dict.fromkeys(fleet.addresses, 0), now)

    return ((8.0, divide), (until, heal))


def scenarios(customer):
    """Return pairs of events and load by scenario."""
    rate = customer.rate

    def usual(now):
        return 0.8 * rate

    def surge(now):
        return 0.8 * rate * (7.5 if 8.0 <= now < 14.5 else 1.0)

    def double(now):
        return 2.0 * rate

    halves = cut_fleet(lambda number: number % 2, until=22.0)
    domain = cut_fleet(lambda number: number % DOMAINS == 0, until=22.0)
    crash = kill_home(customer, restart_after=1.5)
    return {
        "usual": ((), usual),
        "7.5-fold for 6.5 s": ((), surge),
        "home crashes 1.5 s, usual": (crash, usual),
        "home crashes 1.5 s, 7.5-fold": (crash, surge),
        "home gone, double": (
            kill_home(customer, restart_after=60.0),
            double,
        ),
        "halves 14 s, usual": (halves, usual),
        "halves 14 s, double": (halves, double),
        "domain cut 14 s, usual": (domain, usual),
        "domain cut 14 s, double": (domain, double),
    }


WAYS = {
    "(a) lent, deputy": lambda seed: LentTokens(seed=seed),
    "(a) lent, shares": lambda seed: LentTokens(seed=seed, has_deputy=False),
    "(b) by demand": lambda seed: Shares(follows_demand=True),
    "(c) fixed": lambda seed: Shares(),
}


def main():
    """Print a table of all ways and scenarios."""
    for rate in (114, 16, 3):
        customer = make_customer(rate)
        for name, (events, load) in scenarios(customer).items():
            cells = []
            for make in WAYS.values():
                results = [
                    simulate(
                        make(seed),
                        customer,
                        load=load,
                        seconds=26.0,
                        events=events,
                        seed=seed,
                    )
                    for seed in range(1, 6)
                ]
                cells.append(
                    f"{max(each.excess for each in results):.2f} / "
                    f"{sum(e.refused_below for e in results) / 5:.3f}"
                )
            print(f"| {rate} | {name} | {' | '.join(cells)} |", flush=True)
    customers = [
        make_customer(rate, name=f"customer-{number}")
        for number, rate in enumerate(SIZES)
    ]
    for name, make in WAYS.items():
        for load in (0.8, 2.0):
            fleet = make(1)
            started = time.process_time()
            counts = simulate_all(fleet, customers, load=load)
            spent = time.process_time() - started
            offered, served, ideal = map(sum, zip(*counts))
            print(
                f"{name}, 86 customers, load {load}: {offered} offered, "
                f"{served} served, {ideal} by an exact bucket, "
                f"{fleet.messages / offered:.2f} questions and "
                f"{spent / offered * 1e6:.0f} us each"
            )


if __name__ == "__main__":
    main()
