"""Who is served under overload, with and without the overload control.

A fleet without a network: real entry and owner nodes, simulated upstreams and
time. The clients and upstreams follow section 3 of docs/design/overview.md.
``python -m bench.overload`` prints the table of docs/design/overload.md.
"""

import collections
import itertools
import math
import random
import statistics
import typing
from unittest import mock

import trio
import trio._core._run as trio_run
import trio.testing

from shallotbridge.core import errors
from shallotbridge.core import model as messages
from shallotbridge.traffic import call_graph
from shallotbridge.traffic import entry
from shallotbridge.traffic import model
from shallotbridge.traffic import owner
from shallotbridge.traffic import retry_budget
from shallotbridge.traffic import routing
from shallotbridge.traffic import selection

from tests.traffic import builders

LINK_SECONDS = 0.0005


class Kind(typing.NamedTuple):
    """Requests of one route; ``call`` is the route of the call they make."""

    service: str
    priority: int
    work: float
    objective: float
    deadline: float
    rate: float = 0.0
    is_idempotent: bool = True
    call: str | None = None


# The kinds of the overview.
KINDS = {
    "call": Kind("b", 1, 0.041, 0.175, 0.43),
    "browse": Kind("a", 2, 0.144, 0.477, 1.575, call="call"),
    "order": Kind("a", 1, 0.178, 0.7, 2.621, is_idempotent=False, call="call"),
    "report": Kind("b", 2, 0.344, 1.153, 4.081),
    "look": Kind("b", 1, 0.0556, 0.233, 0.843),
}
# A kind of the known case of the overview.
URGENT = Kind("b", 0, 0.06, 0.25, 0.9)


def with_rates(kinds=KINDS, **rates):
    """Return kinds with these rates, requests per second."""
    return {
        name: kind._replace(rate=rates.get(name, 0.0))
        for name, kind in kinds.items()
    }


class Fleet:
    """Runs clients against the nodes and counts their results by kind."""

    def __init__(self, *, kinds, hosts, is_enabled, seed=1):
        self.kinds = kinds
        self._seed = seed
        self.random = random.Random(seed)
        self.down_addresses = set()
        self.calls = []
        self.clear()
        routes = [
            builders.route(
                name=name,
                host=f"{name}.example",
                path_prefix="/",
                destinations=(
                    model.Destination(service=kind.service, weight=1),
                ),
                is_idempotent=kind.is_idempotent,
                timeout_seconds=kind.deadline,
                objective_seconds=kind.objective,
                priority=kind.priority,
            )
            for name, kind in kinds.items()
        ]
        self.upstreams = [
            builders.upstream(number, service=service, slots=slots)
            for number, (service, slots) in enumerate(hosts, 2)
        ]
        self.view = builders.view(
            builders.configuration(*routes), *self.upstreams
        )
        self.owners, self.entries = {}, {}
        for upstream in self.upstreams:
            self._add_node(upstream, is_enabled)

    def clear(self):
        """Forget the results so far."""
        self.results = {name: collections.Counter() for name in self.kinds}
        self.offers = 0

    def _add_node(self, upstream, is_enabled):
        address = upstream.address
        calls = None
        if is_enabled:
            calls = call_graph.CallGraph(record=mock.Mock())
            self.calls.append(calls)
        common = {
            "own_host": model.OwnHost(
                name=upstream.upstream_id,
                address=address,
                failure_domain="a",
                service=upstream.service,
                upstream_address=address,
                upstream_port=upstream.port,
            ),
            "header_names": builders.NAMES,
            "read_view": lambda: self.view,
            "record": lambda action, **fields: None,
            "calls": calls,
        }
        if not is_enabled:
            del common["calls"]
        node = self.owners[address] = owner.OwnerServer(
            read_mirror_states=lambda: builders.MIRROR_STATES,
            open_stream=None,
            cold_multiplier=1.0,
            cold_slack=0.0,
            **common,
            **({"random": self.random} if is_enabled else {}),
        )
        node._is_up = True
        node.on_view_changed(self.view)

        async def exchange(request, *, deadline_at, on_sending, **_):
            on_sending()
            return await self._run(address, request, deadline_at)

        node._client.exchange = exchange
        selector = selection.Selector(
            own_address=address, own_domain="a", random=self.random
        )
        selector.on_view_changed(self.view)
        budget = retry_budget.RetryBudget(
            ratio=0.2, constant=20.0, window_seconds=10.0
        )
        server = self.entries[address] = entry.EntryServer(
            read_mirror_state=lambda: builders.MIRROR_STATE,
            wait_for_view=None,
            selector=selector,
            traffic_splitter=routing.TrafficSplitter(),
            run_local=node.run,
            link_to=lambda other: mock.Mock(
                next_call_id=lambda: 1,
                exchange=lambda work: self._exchange(other, work),
            ),
            retry_budget_of=lambda service: budget,
            random=self.random,
            count=lambda *arguments: None,
            **common,
        )
        silent = mock.Mock()
        node._routine_log = node._overload_log = silent
        server._routine_log = silent

    async def _exchange(self, address, work):
        self.offers += 1
        await trio.sleep(LINK_SECONDS)
        if address in self.down_addresses:
            raise errors.UpstreamUnreachableError("down")
        reply = await self.owners[address].run(work)
        await trio.sleep(LINK_SECONDS)
        return reply

    async def _run(self, address, request, deadline_at):
        """Run a request on an upstream, with the call that it makes."""
        kind = self.kinds[request.header("host").partition(".")[0]]
        work = self.random.gammavariate(4, kind.work / 4)
        status = 504
        with trio.move_on_at(deadline_at):
            await trio.sleep(work / 2)
            answer = 200
            if kind.call is not None:
                left = deadline_at - trio.current_time()
                seconds = min(self.kinds[kind.call].deadline, left)
                called = await self._request(kind.call, address, seconds)
                answer = 200 if called.status == 200 else 500
                name = "served" if answer == 200 else "failed"
                self.results[kind.call][name] += 1
            if answer == 200:
                await trio.sleep(work / 2)
            status = answer
        if address in self.down_addresses:
            raise errors.OutcomeUnknownError("down")
        signature = messages.Header(name="x-signature", value="s")
        return messages.Response(status=status, headers=(signature,), body=b"")

    async def _request(self, name, address, seconds):
        fields = {
            "host": f"{name}.example",
            "x-id": str(self.random.random()),
            "x-deadline": str(seconds * 1000),
        }
        headers = tuple(
            messages.Header(name=key, value=value)
            for key, value in fields.items()
        )
        request = messages.Request(method="GET", target="/", headers=headers)
        return await self.entries[address].handle_request(request)

    async def _call(self, name):
        """Send the request of one caller, which retries it once."""
        kind = self.kinds[name]
        started = trio.current_time()
        end = started + kind.deadline
        refusals = 0
        result = "failed"
        with trio.move_on_at(end):
            for _ in range(2):
                up = [a for a in self.entries if a not in self.down_addresses]
                response = await self._request(
                    name, self.random.choice(up), end - trio.current_time()
                )
                now = trio.current_time()
                if response.status == 200:
                    is_on_time = now - started <= kind.objective
                    result = "served" if is_on_time else "late"
                    break
                is_not_run = response.status in (429, 503, 408, 421)
                refusals += is_not_run
                if not (is_not_run or kind.is_idempotent):
                    break
                told = response.header("retry-after") or 0.0
                await trio.sleep(min(float(told), (end - now) / 3))
        self.results[name][result] += 1
        self.results[name]["refused_twice"] += refusals == 2

    async def _arrive(self, nursery, name, ends_at, factor):
        # Independent of the nodes, so that all rules see the same arrivals.
        own_random = random.Random(f"{self._seed} {name}")
        started = trio.current_time()
        while (now := trio.current_time()) < ends_at:
            rate = self.kinds[name].rate * factor(now - started)
            await trio.sleep(own_random.expovariate(rate))
            nursery.start_soon(self._call, name)

    async def run(self, seconds, factor, lost_at=math.inf, lost=()):
        """Run clients; ``factor(time)`` multiplies the rates.

        The upstreams at the addresses ``lost`` end at the time ``lost_at``.
        """
        async with trio.open_nursery() as nursery:
            now = trio.current_time()
            for node in self.owners.values():
                node._nursery = nursery
            for server in self.entries.values():
                nursery.start_soon(server.run_tasks)
            for name, kind in self.kinds.items():
                if kind.rate:
                    nursery.start_soon(
                        self._arrive, nursery, name, now + seconds, factor
                    )
            await trio.sleep(min(seconds, lost_at))
            for address in lost:
                self.down_addresses.add(address)
                self.owners[address]._is_up = False
                self.owners[address]._update_admission("down")
            await trio.sleep_until(now + seconds + 5.0)
            nursery.cancel_scope.cancel()

    def share(self, name, result="served"):
        """Return the share of the callers of a kind with a result."""
        counts = self.results[name]
        return counts[result] / max(
            1, counts.total() - counts["refused_twice"]
        )

    def value(self):
        """Return the answers in time, and a fifth of the late ones."""
        return sum(
            self.results[name]["served"] + 0.2 * self.results[name]["late"]
            for name, kind in self.kinds.items()
            if kind.rate
        )


def wave(time):
    """Return the factor of the load at a time: period 13 s, swing 0.55."""
    return 1 + 0.55 * math.sin(2 * math.pi * time / 13)


def burst(time):
    """Return the factor of the load at a time: 1.7 for 3 s of 8 s."""
    return 1.7 if time % 8 > 5 else 1.0


def run(
    *, learn_seconds=15.0, seconds, factor, lost_at=math.inf, lost=(), **kw
):
    """Return a fleet after a time of low load and one of overload."""

    async def main():
        fleet = Fleet(**kw)
        await fleet.run(learn_seconds, lambda time: 0.4)
        fleet.clear()
        await fleet.run(seconds, factor, lost_at, lost)
        return fleet

    clock = trio.testing.MockClock(autojump_threshold=0)
    # The same order of tasks in each run.
    with (
        mock.patch.object(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(trio_run, "_r", random.Random(1)),
    ):
        return trio.run(main, clock=clock)


HOSTS = [("a", 5)] * 4 + [("b", 5)] * 4
# For each case: kinds, hosts, and how the load and the upstreams change.
CASES = {
    "waves, one upstream lost": (
        with_rates(browse=50, order=25, report=15, look=330),
        HOSTS,
        {"factor": wave, "lost_at": 4.0, "lost": ["10.0.0.9"]},
    ),
    "bursts, one upstream lost": (
        with_rates(browse=55, order=30, report=25, look=75),
        HOSTS,
        {"factor": burst, "lost_at": 6.0, "lost": ["10.0.0.9"]},
    ),
    "one of two upstreams left": (
        with_rates(browse=50, order=25, report=15, look=60),
        [("a", 5)] * 4 + [("b", 3)] * 2,
        {
            "factor": lambda time: 1.0,
            "lost_at": 3.0,
            "lost": ["10.0.0.7"],
        },
    ),
    "one of three upstreams left": (
        with_rates(
            {**KINDS, "urgent": URGENT},
            browse=110,
            urgent=80,
            report=28,
        ),
        [("a", 12)] * 4 + [("b", 12)] * 3,
        {
            "factor": lambda time: 1.0,
            "lost_at": 2.0,
            "lost": ["10.0.0.7", "10.0.0.8"],
        },
    ),
    "waves": (
        with_rates(browse=55, order=30, report=25, look=75),
        HOSTS,
        {"factor": wave, "lost_at": 8.0, "lost": ["10.0.0.9"]},
    ),
    "low load": (
        with_rates(browse=55, order=30, report=25, look=75),
        HOSTS,
        {"factor": lambda time: 0.5},
    ),
}


def measure(case, is_enabled, seed=1):
    """Return a fleet after a case."""
    kinds, hosts, changes = CASES[case]
    return run(
        kinds=kinds,
        hosts=hosts,
        is_enabled=is_enabled,
        seed=seed,
        seconds=13.0,
        **changes,
    )


def main():
    """Print the results of all cases, means of three seeds."""
    for case, is_enabled in itertools.product(CASES, (False, True)):
        fleets = [measure(case, is_enabled, seed) for seed in (1, 2, 3)]
        kinds = fleets[0].kinds
        callers = [
            sum(
                fleet.results[name].total()
                - fleet.results[name]["refused_twice"]
                for name, kind in kinds.items()
                if kind.rate
            )
            for fleet in fleets
        ]
        figures = {
            "worth": [fleet.value() for fleet in fleets],
            "offers": [fleet.offers for fleet in fleets],
            "refused_twice": [
                sum(each["refused_twice"] for each in fleet.results.values())
                for fleet in fleets
            ],
        }
        print(case, "outcome" if is_enabled else "basic", end=":")
        for name, values in figures.items():
            print(f" {name}={sum(values) / sum(callers):.3f}", end="")
        for name in kinds:
            share = statistics.mean(fleet.share(name) for fleet in fleets)
            print(f" {name}={share:.3f}", end="")
        print()


if __name__ == "__main__":
    main()
