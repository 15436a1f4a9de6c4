"""Tests of the deduplication window of idempotency keys."""

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from shallotbridge.core import errors
from shallotbridge.core import keys
from tests import builders
from tests.core import gates

_OWN = builders.make_host("own")
_OTHER = builders.make_host("other")


def _make_window(hosts=(_OWN,), **options):
    return keys.KeyWindow(
        own_host=_OWN, hosts_of_service=lambda name: list(hosts), **options
    )


def _owned_call(**changes):
    """Return a call whose key belongs to the own host."""
    for number in range(100):
        call = gates.make_call(key=f"k{number}", **changes)
        order = keys.owner_order(keys.scoped_key(call), [_OWN, _OTHER])
        if order[0] is _OWN:
            return call
    raise AssertionError("no key belongs to the host")


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    attempts=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.floats(0.0, 0.4),
            strategies.sampled_from(["ok", "not run", "unknown", "cancel"]),
        ),
        max_size=40,
    )
)
def test_a_key_never_runs_twice(attempts):
    """Guards against a second run when attempts of a key overlap."""

    async def check():
        started = {}

        async def run(number, outcome):
            call = gates.make_call(
                number,
                key=f"k{number}",
                deadline=trio.current_time() + 0.5,
                request_id=f"{number} {trio.current_time()}",
            )

            async def send(sent):
                await trio.sleep(0.1)
                if outcome == "not run":
                    raise errors.UpstreamRefusedError("full")
                started[number] = started.get(number, 0) + 1
                if outcome == "unknown":
                    raise errors.DeadlineAfterSendError("late")
                if outcome == "cancel":
                    scope.cancel()
                    await trio.sleep(1)
                return gates.make_response(
                    body=b"%d" % number, x_request_id=sent.request_id
                )

            with trio.CancelScope() as scope:
                try:
                    response = await tested.run(call, send)
                    assert response.body == b"%d" % number
                    assert response.header("x-request-id") == call.request_id
                except errors.CallError as error:
                    if error.outcome is errors.Outcome.NOT_RUN:
                        assert error.is_retry_safe

        async with trio.open_nursery() as nursery:
            tested, _ = gates.make_gate(nursery, limits={"cold_slots": 6})
            async with trio.open_nursery() as calls:
                for number, delay, outcome in attempts:
                    calls.start_soon(run, number, outcome)
                    await trio.sleep(delay)
            nursery.cancel_scope.cancel()
        assert max(started.values(), default=0) <= 1

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("is_first_run", [True, False])
async def test_a_second_request_waits_for_the_outcome_of_the_first(
    autojump_clock, nursery, is_first_run
):
    """Guards against a retry that is refused although the first attempt is
    about to finish or did not run.
    """
    window = _make_window()
    call = gates.make_call(key="k")
    key = keys.scoped_key(call)
    assert await window.reserve(call) is None
    results = []

    async def retry():
        results.append(await window.reserve(call))

    nursery.start_soon(retry)
    await trio.sleep(0.1)
    assert not results
    if is_first_run:
        window.finish(key, gates.make_response())
    else:
        window.release(key)
    await trio.testing.wait_all_tasks_blocked()
    assert results == [gates.make_response() if is_first_run else None]


async def test_a_key_used_for_another_request_is_refused(autojump_clock):
    """Guards against returning the response to another caller's request."""
    window = _make_window()
    first = gates.make_call(1, key="k")
    assert await window.reserve(first) is None
    window.finish(keys.scoped_key(first), gates.make_response())
    assert await window.reserve(first) == gates.make_response()
    with pytest.raises(errors.KeySeenError, match="another request"):
        await window.reserve(gates.make_call(2, key="k"))


@pytest.mark.parametrize("answer", [*keys.KeyState, None])
@pytest.mark.parametrize("attempt", [1, 2])
@pytest.mark.parametrize("is_recently_started", [True, False])
async def test_a_retry_runs_only_if_the_first_attempt_is_ruled_out(
    autojump_clock, answer, attempt, is_recently_started
):
    """Guards against a second run after the key's owner was replaced or
    became unreachable.
    """

    async def query_key_state(host, key, timeout):
        assert host is _OTHER
        if answer is None:
            await trio.sleep(timeout + 1)
        return answer

    window = _make_window([_OWN, _OTHER], query_key_state=query_key_state)
    window.observe_hosts()
    if not is_recently_started:
        await trio.sleep(keys.WINDOW_SECONDS + 1)
    call = _owned_call(attempt=attempt)
    is_asked = is_recently_started or attempt > 1
    is_refused = (is_asked and answer is keys.KeyState.SEEN) or (
        is_recently_started
        and attempt > 1
        and answer is not keys.KeyState.NOT_SEEN
    )
    if is_refused:
        with pytest.raises(errors.KeySeenError):
            await window.reserve(call)
    else:
        assert await window.reserve(call) is None


async def test_an_absent_key_is_uncertain_if_its_owner_departed_or_it_moved(
    autojump_clock,
):
    """Guards against "not seen" from a node that did not own the key all the
    time, or that passed it to another owner.
    """
    hosts = [_OWN, _OTHER]
    window = _make_window(hosts)
    window.observe_hosts()
    await trio.sleep(keys.WINDOW_SECONDS + 1)
    owned = keys.scoped_key(_owned_call())
    owned_by_other = next(
        key
        for key in (b"%d" % number for number in range(100))
        if keys.owner_order(key, hosts)[0] is _OTHER
    )
    hosts.remove(_OTHER)
    state = keys.KeyState
    assert window.get_state(owned, "x") is state.NOT_SEEN
    assert window.get_state(owned_by_other, "x") is state.UNCERTAIN
    window.mark_moved(owned)
    assert window.get_state(owned, "x") is state.UNCERTAIN
    await trio.sleep(keys.WINDOW_SECONDS + 1)
    assert window.get_state(owned_by_other, "x") is state.NOT_SEEN


async def test_the_window_is_bounded_and_evicted_keys_are_uncertain(
    autojump_clock,
):
    """Guards against "not seen" for a key that was evicted early."""
    window = _make_window(maximum_keys=3, maximum_response_bytes=1000)
    await trio.sleep(keys.WINDOW_SECONDS + 1)
    for number in range(5):
        window.begin(b"%d" % number)
        window.finish(b"%d" % number, gates.make_response(body=bytes(300)))
        await trio.sleep(1)
    assert len(window) == 3
    assert window.get_entry(b"2").response is None
    assert window.get_state(b"0", "x") is keys.KeyState.UNCERTAIN


async def test_keys_handed_over_by_a_leaving_owner_are_seen(autojump_clock):
    """Guards against a second run after a drain."""
    leaving_window = _make_window([_OWN, _OTHER])
    call = gates.make_call(key="k")
    assert await leaving_window.reserve(call) is None
    await trio.sleep(5)
    plan = leaving_window.plan_hand_over()
    assert list(plan) == ["other"]
    next_window = _make_window()
    next_window.add_handed_over_keys(
        [entry.key for entry in plan["other"]],
        [entry.age for entry in plan["other"]],
    )
    with pytest.raises(errors.KeySeenError, match="5.0 s ago"):
        await next_window.reserve(call)


async def test_a_restarted_owner_gets_uncertain_for_its_own_keys(
    autojump_clock,
):
    """Guards against a second run after the owner crashed and lost its
    window: the next owner has not seen the key, but the owner's earlier
    process may have run it.
    """
    hosts = [_OWN]
    window = _make_window(hosts)
    window.observe_hosts()
    await trio.sleep(keys.WINDOW_SECONDS + 1)
    hosts.append(_OTHER)
    window.observe_hosts()
    await trio.sleep(60)
    owned_by_other = next(
        key
        for key in (b"%d" % number for number in range(100))
        if keys.owner_order(key, hosts)[0] is _OTHER
    )
    state = keys.KeyState
    for uptime, expected in (
        (61.0, state.NOT_SEEN),
        (59.0, state.UNCERTAIN),
        (None, state.UNCERTAIN),
    ):
        assert window.get_state(owned_by_other, "other", uptime) is expected
    hosts.remove(_OTHER)
    window.observe_hosts()
    hosts.append(_OTHER)
    assert window.get_state(owned_by_other, "other", 999.0) is state.UNCERTAIN


async def test_the_gate_answers_a_retry_with_the_stored_response(
    autojump_clock, nursery
):
    """Guards against a retry that waits until its deadline although the
    first attempt has finished.
    """
    tested, _ = gates.make_gate(nursery)

    async def send(call):
        return gates.make_response(body=b"reserved")

    for _ in range(2):
        response = await tested.run(gates.make_call(key="k"), send)
        assert response.body == b"reserved"
    assert trio.current_time() == 0.0
