"""Tests of admission control."""

import contextlib

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from shallotbridge.core import errors
from shallotbridge.core import slots
from tests import builders
from tests.core import gates


async def _respond(call):
    await trio.sleep(0.05)
    return gates.make_response(body=call.request.body)


def _fail_with(error):
    async def send(call):
        await trio.sleep(0.01)
        raise error

    return send


async def _warm_up(upstream_gate, state, rounds=8):
    """Raise the limit to all slots."""
    await trio.sleep(60.0)
    for _ in range(rounds * 6):
        await upstream_gate.run(gates.make_call(), _respond)
    assert upstream_gate.free == 6


@hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
@hypothesis.given(
    delays=strategies.lists(strategies.floats(0.0, 0.4), max_size=60),
    outcomes=strategies.lists(
        strategies.sampled_from(["ok", "shed", "cancel", "late", "reset"]),
        min_size=1,
    ),
)
def test_slots_and_queue_are_never_exceeded(delays, outcomes):
    """Guards against more requests than the limit allows.

    Cancelled requests count while the upstream may still run them.
    """

    async def check():
        running = 0

        async def send(call):
            nonlocal running
            outcome = outcomes[int(call.request.body) % len(outcomes)]
            running += 1
            ramp = 1 + 2.5 * trio.current_time()
            assert running <= upstream_gate.in_use <= min(6, ramp)
            try:
                await trio.sleep(0.3)
            finally:
                running -= 1
            if outcome == "shed":
                raise errors.UpstreamRefusedError(reason="overloaded")
            if outcome == "late":
                raise errors.DeadlineAfterSendError("late")
            if outcome == "reset":
                raise errors.OutcomeUnknownError("reset")
            return gates.make_response()

        async def run(number):
            outcome = outcomes[number % len(outcomes)]
            seconds = 0.1 if outcome == "cancel" else 9.0
            with trio.move_on_after(seconds):
                with contextlib.suppress(errors.CallError):
                    await upstream_gate.run(gates.make_call(number), send)

        async with trio.open_nursery() as nursery:
            upstream_gate, _ = gates.make_gate(
                nursery, limits={"ramp_seconds": 2.0}
            )
            async with trio.open_nursery() as calls:
                for number, delay in enumerate(delays):
                    calls.start_soon(run, number)
                    await trio.sleep(delay)
                    assert upstream_gate.queued <= 6
            await upstream_gate.wait_idle()
            assert (
                upstream_gate.in_use,
                upstream_gate.queued,
                running,
            ) == (0, 0, 0)
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("cause", ["node", "health", "domain"])
async def test_no_queued_request_starts_after_the_gate_has_closed(
    autojump_clock, nursery, cause
):
    """Guards against new requests to an upstream that must not get any.

    The node or the upstream is leaving, or the failure domain is out of
    service. Requests in progress still finish.
    """
    upstream_gate, state = gates.make_gate(nursery)
    results = []

    async def run(number):
        try:
            await upstream_gate.run(gates.make_call(number), _respond)
            results.append("run")
        except errors.CallError as error:
            results.append(type(error))

    for number in range(3):
        nursery.start_soon(run, number)
        await trio.testing.wait_all_tasks_blocked()
    assert (upstream_gate.in_use, upstream_gate.queued) == (1, 2)
    expected = errors.LeavingError
    if cause == "node":
        upstream_gate.begin_leaving()
    elif cause == "health":
        upstream_gate.on_health_report("leaving")
    else:
        expected = errors.OutOfServiceError
        state["configuration"] = builders.make_configuration(
            version=2, out_of_service=["cairo-1"]
        )
        upstream_gate.on_configuration_changed()
    await upstream_gate.wait_idle()
    assert results == [expected, expected, "run"]
    assert upstream_gate.free == 0


async def test_a_waiting_request_ends_at_its_deadline(autojump_clock, nursery):
    """Guards against a request that is sent after its deadline."""
    upstream_gate, _ = gates.make_gate(nursery)
    nursery.start_soon(upstream_gate.run, gates.make_call(1), _respond)
    await trio.testing.wait_all_tasks_blocked()
    late_call = gates.make_call(2, deadline=trio.current_time() + 0.01)
    with pytest.raises(errors.DeadlineBeforeSendError):
        await upstream_gate.run(late_call, _respond)
    assert upstream_gate.queued == 0


async def test_a_cancelled_request_keeps_its_slot_for_a_grace_period(
    autojump_clock, nursery
):
    """Guards against more requests than slots after a cancellation."""
    upstream_gate, _ = gates.make_gate(nursery)
    with trio.move_on_after(0.01):
        await upstream_gate.run(gates.make_call(1), _respond)
    assert upstream_gate.free == 0
    await trio.sleep(slots.CANCELLATION_GRACE_SECONDS + 0.01)
    assert upstream_gate.free == 1


@pytest.mark.parametrize(
    ("error", "free"),
    [
        (errors.UpstreamRefusedError(reason="cold"), 1),
        (errors.UpstreamUnreachableError(), 1),
        (errors.UpstreamRefusedError(reason="overloaded"), 3),
        (errors.UpstreamRefusedError(reason="deadline"), 6),
    ],
)
async def test_the_limit_depends_on_the_kind_of_failure(
    autojump_clock, nursery, error, free
):
    """Guards against full load on an upstream that has become cold."""
    upstream_gate, state = gates.make_gate(nursery)
    await _warm_up(upstream_gate, state)
    with pytest.raises(type(error)):
        await upstream_gate.run(gates.make_call(), _fail_with(error))
    assert upstream_gate.free == free
    upstream_gate.on_health_report("ok")
    assert upstream_gate.free == free


async def test_a_returning_domain_and_a_new_instance_start_cold(
    autojump_clock, nursery
):
    """Guards against full load on an upstream that has restarted."""
    upstream_gate, state = gates.make_gate(nursery)
    await _warm_up(upstream_gate, state)
    upstream_gate.on_instance_id("i2")
    assert upstream_gate.free == 1
    upstream_gate.on_instance_id("i1")
    await _warm_up(upstream_gate, state)
    in_service = state["configuration"]
    state["configuration"] = builders.make_configuration(
        out_of_service=["cairo-1"]
    )
    upstream_gate.on_health_report("ok")
    state["configuration"] = in_service
    assert upstream_gate.free == 1


async def test_a_leaving_refusal_lasts_until_the_next_instance(
    autojump_clock, nursery
):
    """Guards against an outdated health report that ends the leaving state."""
    upstream_gate, _ = gates.make_gate(nursery)
    upstream_gate.on_instance_id("i1")
    refusal = errors.UpstreamRefusedError(reason="leaving")
    with pytest.raises(errors.LeavingError):
        await upstream_gate.run(gates.make_call(), _fail_with(refusal))
    for _ in range(5):
        upstream_gate.on_health_report("ok")
    assert upstream_gate.free == 0
    upstream_gate.on_instance_id("i2")
    assert upstream_gate.free == 1


async def test_each_admission_is_logged_after_the_response(
    autojump_clock, nursery
):
    """Guards against admission decisions that are not logged."""
    upstream_gate, state = gates.make_gate(nursery)
    await upstream_gate.run(gates.make_call(1), _respond)
    upstream_gate.begin_leaving()
    with pytest.raises(errors.LeavingError):
        await upstream_gate.run(gates.make_call(2), _respond)
    await trio.testing.wait_all_tasks_blocked()
    assert [line["result"] for _, line in state["log"]] == [
        "admitted",
        errors.LeavingError.code,
    ]


async def test_a_request_that_would_miss_its_deadline_is_refused_at_once(
    autojump_clock, nursery
):
    """Guards against a lasting collapse of the limit.

    Requests that are sent just before their deadline time out, and their
    timeouts keep the limit low.
    """
    upstream_gate, state = gates.make_gate(nursery)
    await _warm_up(upstream_gate, state)

    async def time_out(call):
        await trio.sleep_until(call.deadline)
        raise errors.DeadlineAfterSendError("late")

    short_call = gates.make_call(deadline=trio.current_time() + 0.06)
    with pytest.raises(errors.DeadlineAfterSendError):
        await upstream_gate.run(short_call, time_out)
    assert upstream_gate.allowed == 6
    for number in range(5):
        nursery.start_soon(
            upstream_gate.run, gates.make_call(number), _respond
        )
    await trio.testing.wait_all_tasks_blocked()
    short_call = gates.make_call(deadline=trio.current_time() + 0.05)
    with pytest.raises(errors.OverloadedError, match="too long"):
        await upstream_gate.run(short_call, _respond)
