"""Tests of the choice of an owner."""

import collections
import random

import pytest
import trio

from shallotbridge.core import directory
from shallotbridge.core import errors
from shallotbridge.core import keys
from tests import builders
from tests.core import gates


class _Hosts:
    def __init__(self, hosts):
        self.hosts = hosts

    def hosts_of_service(self, name):
        return [host for host in self.hosts if host.service == name]


def _make(*domains, own="cairo-1"):
    hosts = _Hosts(
        [
            builders.make_host(f"{domain}-{number}", failure_domain=domain)
            for domain in domains
            for number in range(3)
        ]
    )
    own_host = builders.make_host("own", failure_domain=own)
    made = directory.OwnerDirectory(
        own_host=own_host, hosts=hosts, random=random.Random(7)
    )
    return made, hosts


def _call(out_of_service=(), **changes):
    return gates.make_call(
        route=changes.pop("route", builders.make_route()),
        configuration=builders.make_configuration(
            out_of_service=out_of_service
        ),
        **changes,
    )


def _domains(made, call, count=200):
    return collections.Counter(
        made.choose(call)[0].failure_domain for _ in range(count)
    )


async def test_near_hosts_first_and_others_when_they_are_full(autojump_clock):
    """Guards against traffic between domains without need, and against
    refusals while another domain has free slots.
    """
    made, hosts = _make("cairo-1", "cairo-2")
    call = _call()
    assert set(_domains(made, call)) == {"cairo-1"}
    for host in hosts.hosts[:3]:
        made.on_sent(host.host_id)
        made.on_response(host.host_id, 0)
        made.on_ended(host.host_id)
    assert set(_domains(made, call)) == {"cairo-2"}
    await trio.sleep(directory.REPORT_SECONDS + 0.1)
    assert set(_domains(made, call)) == {"cairo-1"}


async def test_out_of_service_and_leaving_hosts_get_nothing(autojump_clock):
    """Guards against new work in a domain that was taken out."""
    made, hosts = _make("cairo-1", "cairo-2", "cairo-3")
    assert set(_domains(made, _call(["cairo-1"]))) == {"cairo-2"}
    leaving = [
        builders.make_host(
            host.host_id, failure_domain="cairo-2", is_leaving=True
        )
        for host in hosts.hosts[3:6]
    ]
    hosts.hosts[3:6] = leaving
    with pytest.raises(errors.NoUpstreamError) as raised:
        made.choose(_call(["cairo-1"]))
    for reason in (
        "cairo-1 is out of service: 3",
        "cairo-3 is not of the service: 3",
        "leaving: 3",
    ):
        assert reason in raised.value.detail


async def test_an_avoided_host_is_used_when_nothing_else_is_left(
    autojump_clock,
):
    """Guards against failing a request while a host may still take it."""
    made, hosts = _make("cairo-1")
    call = _call()
    made.on_refused("cairo-1-0", errors.OverloadedError())
    chosen = {made.choose(call)[0].host_id for _ in range(50)}
    assert "cairo-1-0" not in chosen
    for number in (1, 2):
        made.on_failed(f"cairo-1-{number}")
    host, choice = made.choose(call)
    assert (host.host_id, choice.reason) == ("cairo-1-0", "all are avoided")
    excluded = {host.host_id for host in hosts.hosts}
    with pytest.raises(errors.NoUpstreamError, match="tried for this call"):
        made.choose(call, excluded)


async def test_repeated_failures_are_avoided_longer(autojump_clock):
    """Guards against a dead host that is tried all the time."""
    made, _ = _make("cairo-1")
    seconds = []
    for _ in range(8):
        made.on_failed("cairo-1-0")
        known = made._statistics_by_host_id["cairo-1-0"]
        seconds.append(known.avoid_until - trio.current_time())
        await trio.sleep(seconds[-1])
    assert seconds[-1] > 8 * seconds[0]
    assert max(seconds) <= directory.MAXIMUM_FAILURE_BACKOFF_SECONDS


async def test_a_returning_domain_gets_a_growing_share(autojump_clock):
    """Guards against full load on the cold upstreams of a domain."""
    made, _ = _make("cairo-1", "cairo-2")
    made.choose(_call(["cairo-1"]))
    shares = []
    call = _call()
    for _ in range(5):
        shares.append(_domains(made, call, 1000)["cairo-1"] / 1000)
        await trio.sleep(5.0)
    assert shares == sorted(shares)
    assert shares[0] < 0.1
    assert 0.4 < shares[2] < 0.6
    assert shares[4] == 1.0


async def test_the_less_utilized_of_two_is_taken(autojump_clock):
    """Guards against a busy host that gets as much as an idle one."""
    made, _ = _make("cairo-1")
    made.on_response("cairo-1-0", 1)
    made.on_response("cairo-1-1", 5)
    counts = collections.Counter(
        made.choose(_call())[0].host_id for _ in range(300)
    )
    assert counts["cairo-1-0"] == 0
    assert counts["cairo-1-2"] > counts["cairo-1-1"] > 0


async def test_a_key_stays_with_its_owner(autojump_clock):
    """Guards against a second run of a key on another host."""
    made, hosts = _make("cairo-1", "cairo-2")
    call = _call(key="k", route=builders.make_reserve_route())
    order = keys.key_order(keys.scoped_key(call), hosts.hosts)
    owner = order[0].host_id
    assert made.choose(call)[0].host_id == owner
    made.on_refused(owner, errors.OverloadedError(), 0)
    assert made.choose(call)[0].host_id == owner
    with pytest.raises(errors.NoUpstreamError, match="owns the idempotency"):
        made.choose(call, {owner})
    made.on_failed(owner)
    with pytest.raises(errors.NoUpstreamError, match="owns the idempotency"):
        made.choose(call, {owner})
    made.on_refused(owner, errors.LeavingError())
    assert made.choose(call, {owner})[0] == order[1]


async def test_idle_statistics_are_dropped(autojump_clock):
    """Guards against memory that grows with each replaced host."""
    made, _ = _make("cairo-1")
    for number in range(100):
        made.on_sent(f"gone-{number}")
        made.on_ended(f"gone-{number}")
    await trio.sleep(directory.IDLE_SECONDS + 1)
    made.choose(_call())
    assert len(made) == 0
