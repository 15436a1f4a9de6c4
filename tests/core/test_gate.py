"""Tests of admission."""

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


async def _answer(call):
    await trio.sleep(0.05)
    return gates.make_response(body=call.request.body)


def _raising(error):
    async def send(call):
        await trio.sleep(0.01)
        raise error

    return send


async def _warm(tested, state, rounds=8):
    """Bring the limit up to all slots."""
    await trio.sleep(60.0)
    for _ in range(rounds * 6):
        await tested.run(gates.make_call(), _answer)
    assert tested.free == 6


@hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
@hypothesis.given(
    delays=strategies.lists(strategies.floats(0.0, 0.4), max_size=60),
    outcomes=strategies.lists(
        strategies.sampled_from(["ok", "shed", "cancel", "late", "reset"]),
        min_size=1,
    ),
)
def test_slots_and_queue_are_never_exceeded(delays, outcomes):
    """Guards against more work than the limit allows, cancelled work that
    may still run included.
    """

    async def check():
        running = 0

        async def send(call):
            nonlocal running
            outcome = outcomes[int(call.request.body) % len(outcomes)]
            running += 1
            ramp = 1 + 2.5 * trio.current_time()
            assert running <= tested.in_use <= min(6, ramp)
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
                    await tested.run(gates.make_call(number), send)

        async with trio.open_nursery() as nursery:
            tested, _ = gates.make_gate(nursery, limits={"ramp_seconds": 2.0})
            async with trio.open_nursery() as calls:
                for number, delay in enumerate(delays):
                    calls.start_soon(run, number)
                    await trio.sleep(delay)
                    assert tested.queued <= 6
            await tested.wait_idle()
            assert (tested.in_use, tested.queued, running) == (0, 0, 0)
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("cause", ["node", "health", "domain"])
async def test_nothing_starts_from_the_queue_after_the_end(
    autojump_clock, nursery, cause
):
    """Guards against new work on an upstream that leaves or whose domain
    was taken out of service, while the work in progress finishes.
    """
    tested, state = gates.make_gate(nursery)
    results = []

    async def run(number):
        try:
            await tested.run(gates.make_call(number), _answer)
            results.append("run")
        except errors.CallError as error:
            results.append(type(error))

    for number in range(3):
        nursery.start_soon(run, number)
        await trio.testing.wait_all_tasks_blocked()
    assert (tested.in_use, tested.queued) == (1, 2)
    expected = errors.LeavingError
    if cause == "node":
        tested.begin_leaving()
    elif cause == "health":
        tested.on_health_report("leaving")
    else:
        expected = errors.OutOfServiceError
        state["configuration"] = builders.make_configuration(
            version=2, out_of_service=["cairo-1"]
        )
        tested.on_configuration()
    await tested.wait_idle()
    assert results == [expected, expected, "run"]
    assert tested.free == 0


async def test_a_waiting_request_ends_at_its_deadline(autojump_clock, nursery):
    """Guards against a request that is sent after its deadline."""
    tested, _ = gates.make_gate(nursery)
    nursery.start_soon(tested.run, gates.make_call(1), _answer)
    await trio.testing.wait_all_tasks_blocked()
    late = gates.make_call(2, deadline=trio.current_time() + 0.01)
    with pytest.raises(errors.DeadlineBeforeSendError):
        await tested.run(late, _answer)
    assert tested.queued == 0


async def test_a_cancelled_request_keeps_its_slot_for_the_grace(
    autojump_clock, nursery
):
    """Guards against work beyond the slots after a cancellation."""
    tested, _ = gates.make_gate(nursery)
    with trio.move_on_after(0.01):
        await tested.run(gates.make_call(1), _answer)
    assert tested.free == 0
    await trio.sleep(slots.CANCELLATION_GRACE_SECONDS + 0.01)
    assert tested.free == 1


@pytest.mark.parametrize(
    ("error", "free"),
    [
        (errors.UpstreamRefusedError(reason="cold"), 1),
        (errors.UpstreamUnreachableError(), 1),
        (errors.UpstreamRefusedError(reason="overloaded"), 3),
        (errors.UpstreamRefusedError(reason="deadline"), 6),
    ],
)
async def test_the_limit_follows_what_the_upstream_says(
    autojump_clock, nursery, error, free
):
    """Guards against full load on an upstream that turned cold."""
    tested, state = gates.make_gate(nursery)
    await _warm(tested, state)
    with pytest.raises(type(error)):
        await tested.run(gates.make_call(), _raising(error))
    assert tested.free == free
    tested.on_health_report("ok")
    assert tested.free == free


async def test_a_returning_domain_and_a_new_instance_are_cold(
    autojump_clock, nursery
):
    """Guards against full load on an upstream that was started again."""
    tested, state = gates.make_gate(nursery)
    await _warm(tested, state)
    tested.on_instance("i2")
    assert tested.free == 1
    tested.on_instance("i1")
    await _warm(tested, state)
    in_service = state["configuration"]
    state["configuration"] = builders.make_configuration(
        out_of_service=["cairo-1"]
    )
    tested.on_health_report("ok")
    state["configuration"] = in_service
    assert tested.free == 1


async def test_leaving_by_refusal_lasts_until_the_next_instance(
    autojump_clock, nursery
):
    """Guards against a lagging health answer that undoes leaving."""
    tested, _ = gates.make_gate(nursery)
    tested.on_instance("i1")
    refusal = errors.UpstreamRefusedError(reason="leaving")
    with pytest.raises(errors.LeavingError):
        await tested.run(gates.make_call(), _raising(refusal))
    for _ in range(5):
        tested.on_health_report("ok")
    assert tested.free == 0
    tested.on_instance("i2")
    assert tested.free == 1


async def test_each_admission_is_logged_after_the_answer(
    autojump_clock, nursery
):
    """Guards against a decision without a line in the log."""
    tested, state = gates.make_gate(nursery)
    await tested.run(gates.make_call(1), _answer)
    tested.begin_leaving()
    with pytest.raises(errors.LeavingError):
        await tested.run(gates.make_call(2), _answer)
    await trio.testing.wait_all_tasks_blocked()
    assert [line["result"] for _, line in state["log"]] == [
        "admitted",
        errors.LeavingError.code,
    ]


async def test_a_wait_past_the_deadline_is_refused_at_once(
    autojump_clock, nursery
):
    """Guards against a lasting collapse: requests that are sent just before
    their deadline time out, and their timeouts keep the limit low.
    """
    tested, state = gates.make_gate(nursery)
    await _warm(tested, state)

    async def time_out(call):
        await trio.sleep_until(call.deadline)
        raise errors.DeadlineAfterSendError("late")

    short = gates.make_call(deadline=trio.current_time() + 0.06)
    with pytest.raises(errors.DeadlineAfterSendError):
        await tested.run(short, time_out)
    assert tested.allowed == 6
    for number in range(5):
        nursery.start_soon(tested.run, gates.make_call(number), _answer)
    await trio.testing.wait_all_tasks_blocked()
    short = gates.make_call(deadline=trio.current_time() + 0.05)
    with pytest.raises(errors.OverloadedError, match="too long"):
        await tested.run(short, _answer)
