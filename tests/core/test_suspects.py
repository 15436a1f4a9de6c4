"""Tests of requests that crash upstreams."""

import contextlib
import functools

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from shallotbridge.core import errors
from shallotbridge.core import suspects
from tests import builders
from tests.core import gates

_POISON = 999


class _Upstream:
    """Crashes on the poison request, which ends all requests in flight."""

    def __init__(self):
        self.crashes = 0
        self._crashed = trio.Event()

    @property
    def instance_id(self):
        return f"i{self.crashes}"

    async def fetch_instance_id(self):
        await trio.sleep(0.002)
        return self.instance_id

    async def send(self, call):
        if call.request.body == b"%d" % _POISON:
            await trio.sleep(0.01)
            self.crashes += 1
            self._crashed.set()
            self._crashed = trio.Event()
            raise errors.OutcomeUnknownError("reset")
        with trio.move_on_after(0.05):
            await self._crashed.wait()
            raise errors.OutcomeUnknownError("reset")
        return gates.make_response(self.instance_id)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(
    owners=strategies.lists(strategies.integers(0, 3), min_size=3, max_size=9),
    neighbours=strategies.lists(strategies.integers(0, 3), max_size=8),
    retry_delay=strategies.floats(0.0, 1.0),
)
def test_one_request_crashes_at_most_two_upstreams(
    owners, neighbours, retry_delay
):
    """Guards against a request that takes the service down when its caller
    retries it, and against concurrent requests that stay refused.
    """

    async def check():
        tables = [suspects.SuspectTable() for _ in range(4)]
        upstreams = [_Upstream() for _ in range(4)]

        async def report_crash(sender, finding):
            await trio.sleep(0.001)
            for number, table in enumerate(tables):
                if number != sender:
                    table.on_crash_report(finding.suspects, False)
                    table.on_crash_report(finding.quarantined, True)

        async def run_neighbour(number, owner):
            for attempt in range(20):
                host_index = (owner + attempt) % 4
                with contextlib.suppress(errors.CallError):
                    await host_gates[host_index].run(
                        gates.make_call(number), upstreams[host_index].send
                    )
                    return
                await trio.sleep(0.05)
            raise AssertionError("a neighbour request never ran")

        async with trio.open_nursery() as nursery:
            host_gates = [
                gates.make_gate(
                    nursery,
                    limits={"cold_slots": 6},
                    host=builders.make_host(f"h{number}"),
                    suspects=tables[number],
                    fetch_instance_id=upstreams[number].fetch_instance_id,
                    report_crash=functools.partial(report_crash, number),
                )[0]
                for number in range(4)
            ]
            for each, upstream in zip(host_gates, upstreams, strict=True):
                await each.run(gates.make_call(500), upstream.send)
            async with trio.open_nursery() as calls:
                for number, owner in enumerate(neighbours):
                    calls.start_soon(run_neighbour, number, owner)
                for owner in owners:
                    with contextlib.suppress(errors.CallError):
                        await host_gates[owner].run(
                            gates.make_call(_POISON), upstreams[owner].send
                        )
                    await trio.sleep(retry_delay)
            with pytest.raises(errors.QuarantinedError):
                await host_gates[0].run(
                    gates.make_call(_POISON), upstreams[0].send
                )
            nursery.cancel_scope.cancel()
        assert sum(upstream.crashes for upstream in upstreams) == 2

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


async def test_a_reset_without_a_restart_creates_no_suspects(
    autojump_clock, nursery
):
    """Guards against quarantine after a lost connection without a crash."""
    upstream = _Upstream()
    table = suspects.SuspectTable()
    tested, _ = gates.make_gate(
        nursery, suspects=table, fetch_instance_id=upstream.fetch_instance_id
    )
    tested.on_instance_id("i0")

    async def send(call):
        raise errors.OutcomeUnknownError("reset")

    for _ in range(3):
        with pytest.raises(errors.OutcomeUnknownError):
            await tested.run(gates.make_call(), send)
    assert len(table) == 0


async def test_suspects_run_one_at_a_time_without_delaying_others(
    autojump_clock, nursery
):
    """Guards against a crash while two suspects run, which could be
    attributed to neither, and against a suspect that delays other requests
    or stays a suspect after success.
    """
    table = suspects.SuspectTable()
    tested, _ = gates.make_gate(
        nursery, suspects=table, limits={"cold_slots": 6}
    )
    calls = [gates.make_call(number) for number in range(3)]
    table.on_crash_report(
        [suspects.fingerprint(each) for each in calls[:2]], False
    )
    running = []
    order = []

    async def send(call):
        running.append(call)
        assert not (calls[0] in running and calls[1] in running)
        await trio.sleep(0.02 if call is calls[2] else 0.05)
        running.remove(call)
        order.append(call.request_id)
        return gates.make_response()

    for call in calls:
        nursery.start_soon(tested.run, call, send)
        await trio.testing.wait_all_tasks_blocked()
    await tested.wait_idle()
    assert order == ["r2", "r0", "r1"]
    assert len(table) == 0


async def test_a_crash_is_attributed_to_a_cancelled_request(
    autojump_clock, nursery
):
    """Guards against a crashing request whose caller disconnects before the
    connection to the upstream is reset.
    """
    table = suspects.SuspectTable()
    tested, _ = gates.make_gate(nursery, suspects=table)
    tested.on_instance_id("i0")
    with trio.move_on_after(0.1):
        await tested.run(gates.make_call(_POISON), lambda _: trio.sleep(9))
    tested.on_instance_id("i1")
    await trio.testing.wait_all_tasks_blocked()
    assert table.is_suspect(suspects.fingerprint(gates.make_call(_POISON)))


async def test_the_table_is_bounded_and_entries_expire(autojump_clock):
    """Guards against memory that grows with each crash, and against a
    request that is refused forever.
    """
    table = suspects.SuspectTable(maximum_entries=3)
    table.on_crash_report([b"q"], True)
    table.on_crash_report([b"%d" % number for number in range(9)], False)
    assert len(table) == 3
    assert table.is_quarantined(b"q")
    await trio.sleep(suspects.QUARANTINE_SECONDS)
    assert not table.is_quarantined(b"q")
    assert not table.is_suspect(b"8")
