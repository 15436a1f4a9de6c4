"""Tests of hints to the next owners of a key."""

import trio

from shallotbridge.core import errors
from shallotbridge.core import key_hints
from shallotbridge.core import keys
from tests import builders
from tests.core import gates

HOSTS = tuple(
    builders.make_host(
        f"h{number}",
        failure_domain=f"cairo-{number % 4 + 1}",
        is_leaving=number == 5,
    )
    for number in range(8)
)
CONFIGURATION = builders.make_configuration(out_of_service=("cairo-2",))
CALL = gates.make_call(key="k", configuration=CONFIGURATION)
ORDER = keys.key_order(keys.scoped_key(CALL), HOSTS)


class Hints:
    """Hints whose messages are recorded, with some owners unreachable."""

    def __init__(self, nursery, *, own_host, unreachable=()):
        self.told = []
        self.unreachable = unreachable
        self.hints = key_hints.make_key_hints(
            own_host=own_host,
            hosts_of_service=lambda name: HOSTS,
            take_hint=lambda key, is_retracted: self.told.append(
                (own_host.host_id, is_retracted)
            ),
            send=self._send,
            spawn=nursery.start_soon,
        )

    async def _send(self, host, service_name, key, is_retracted, timeout):
        if host.host_id in self.unreachable:
            raise errors.PeerUnavailableError(host.host_id)
        # An announcement takes longer than its retraction would.
        await trio.sleep(0.01 if is_retracted else 0.05)
        self.told.append((host.host_id, is_retracted))


def in_service(hosts):
    """Return the hosts that a repetition may be sent to."""
    return [
        host
        for host in hosts
        if not host.is_leaving
        and CONFIGURATION.is_in_service(host.failure_domain)
    ]


async def test_the_owners_that_a_repetition_may_reach_are_told(
    nursery, autojump_clock
):
    """Guards against an owner that runs a repetition it never heard of."""
    owner = ORDER[0]
    others = ORDER[1:]
    setup = Hints(
        nursery, own_host=others[-1], unreachable={others[0].host_id}
    )
    await setup.hints.report_unknown(CALL, owner)
    expected = {host.host_id for host in in_service(others)[:2]}
    told = {host_id for host_id, _ in setup.told}
    assert told == expected - {others[0].host_id}


async def test_a_retraction_never_comes_before_its_announcement(
    nursery, autojump_clock
):
    """Guards against a key that stays refused though it did not run."""
    setup = Hints(nursery, own_host=ORDER[0])
    setup.hints.retract(CALL, setup.hints.announce(CALL))
    await trio.sleep(1)
    for host_id in {host_id for host_id, _ in setup.told}:
        states = [state for told, state in setup.told if told == host_id]
        assert states == [False, True]


async def test_silent_owners_do_not_hold_the_answer(nursery, autojump_clock):
    """Guards against a caller that waits long past its deadline."""
    setup = Hints(nursery, own_host=ORDER[-1])

    async def send(*arguments):
        await trio.sleep_forever()

    setup.hints = key_hints.make_key_hints(
        own_host=ORDER[-1],
        hosts_of_service=lambda name: HOSTS,
        take_hint=None,
        send=send,
        spawn=nursery.start_soon,
    )
    started = trio.current_time()
    await setup.hints.report_unknown(CALL, ORDER[0])
    elapsed = trio.current_time() - started
    assert elapsed <= key_hints.HINT_TIMEOUT_SECONDS
