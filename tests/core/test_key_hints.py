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
ORDER = keys.owner_order(keys.scoped_key(CALL), HOSTS)


class HintRecorder:
    """Hints whose messages are recorded; some owners are unreachable."""

    def __init__(self, nursery, *, own_host, unreachable=()):
        self.sent_hints = []
        self.unreachable = unreachable
        self.hints = key_hints.make_key_hints(
            own_host=own_host,
            hosts_of_service=lambda name: HOSTS,
            apply_hint=lambda key, is_retracted: self.sent_hints.append(
                (own_host.host_id, is_retracted)
            ),
            send=self._send,
            spawn=nursery.start_soon,
        )

    async def _send(self, host, service_name, key, is_retracted, timeout):
        if host.host_id in self.unreachable:
            raise errors.PeerUnavailableError(host.host_id)
        # Would deliver a retraction before its announcement if both were
        # sent at the same time.
        await trio.sleep(0.01 if is_retracted else 0.05)
        self.sent_hints.append((host.host_id, is_retracted))


def filter_in_service(hosts):
    """Return the hosts that a retry may be sent to."""
    return [
        host
        for host in hosts
        if not host.is_leaving
        and CONFIGURATION.is_in_service(host.failure_domain)
    ]


async def test_the_owners_that_a_retry_may_reach_get_a_hint(
    nursery, autojump_clock
):
    """Guards against an owner that runs a retry because it does not know of
    the first attempt.
    """
    owner = ORDER[0]
    others = ORDER[1:]
    setup = HintRecorder(
        nursery, own_host=others[-1], unreachable={others[0].host_id}
    )
    await setup.hints.report_unknown_outcome(CALL, owner)
    expected = {host.host_id for host in filter_in_service(others)[:2]}
    host_ids = {host_id for host_id, _ in setup.sent_hints}
    assert host_ids == expected - {others[0].host_id}


async def test_a_retraction_never_arrives_before_its_announcement(
    nursery, autojump_clock
):
    """Guards against a key that stays refused although it did not run."""
    setup = HintRecorder(nursery, own_host=ORDER[0])
    setup.hints.retract(CALL, setup.hints.announce(CALL))
    await trio.sleep(1)
    for host_id in {host_id for host_id, _ in setup.sent_hints}:
        states = [
            state
            for hinted_id, state in setup.sent_hints
            if hinted_id == host_id
        ]
        assert states == [False, True]


async def test_unresponsive_owners_delay_the_response_by_the_hint_timeout(
    nursery, autojump_clock
):
    """Guards against a caller that waits long after its deadline."""
    setup = HintRecorder(nursery, own_host=ORDER[-1])

    async def send(*arguments):
        await trio.sleep_forever()

    setup.hints = key_hints.make_key_hints(
        own_host=ORDER[-1],
        hosts_of_service=lambda name: HOSTS,
        apply_hint=None,
        send=send,
        spawn=nursery.start_soon,
    )
    started = trio.current_time()
    await setup.hints.report_unknown_outcome(CALL, ORDER[0])
    elapsed = trio.current_time() - started
    assert elapsed <= key_hints.HINT_TIMEOUT_SECONDS
