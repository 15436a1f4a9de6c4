"""Tests of the selection of an owner node."""

import collections
import random

import pytest
import trio

from shallotbridge.core import errors
from shallotbridge.core import keys
from shallotbridge.core import owner_selection
from tests import builders
from tests.core import gates


class _HostList:
    def __init__(self, hosts):
        self.hosts = hosts

    def hosts_of_service(self, name):
        return [host for host in self.hosts if host.service == name]


def _make_selector(*domains, own="cairo-1"):
    hosts = _HostList(
        [
            builders.make_host(f"{domain}-{number}", failure_domain=domain)
            for domain in domains
            for number in range(3)
        ]
    )
    own_host = builders.make_host("own", failure_domain=own)
    owners = owner_selection.OwnerSelector(
        own_host=own_host, hosts=hosts, random=random.Random(7)
    )
    return owners, hosts


def _call(out_of_service=(), **changes):
    return gates.make_call(
        route=changes.pop("route", builders.make_route()),
        configuration=builders.make_configuration(
            out_of_service=out_of_service
        ),
        **changes,
    )


def _count_domains(owners, call, count=200):
    return collections.Counter(
        owners.choose(call)[0].failure_domain for _ in range(count)
    )


async def test_other_domains_are_used_only_when_near_hosts_are_full(
    autojump_clock,
):
    """Guards against needless traffic between domains, and against refusals
    while another domain has free slots.
    """
    owners, hosts = _make_selector("cairo-1", "cairo-2")
    call = _call()
    assert set(_count_domains(owners, call)) == {"cairo-1"}
    for host in hosts.hosts[:3]:
        owners.on_sent(host.host_id)
        owners.on_response(host.host_id, 0)
        owners.on_ended(host.host_id)
    assert set(_count_domains(owners, call)) == {"cairo-2"}
    await trio.sleep(owner_selection.REPORT_VALIDITY_SECONDS + 0.1)
    assert set(_count_domains(owners, call)) == {"cairo-1"}


async def test_out_of_service_and_leaving_hosts_get_no_requests(
    autojump_clock,
):
    """Guards against new work in a domain that is out of service."""
    owners, hosts = _make_selector("cairo-1", "cairo-2", "cairo-3")
    assert set(_count_domains(owners, _call(["cairo-1"]))) == {"cairo-2"}
    leaving = [
        builders.make_host(
            host.host_id, failure_domain="cairo-2", is_leaving=True
        )
        for host in hosts.hosts[3:6]
    ]
    hosts.hosts[3:6] = leaving
    with pytest.raises(errors.NoUpstreamError) as raised:
        owners.choose(_call(["cairo-1"]))
    for reason in (
        "cairo-1 is out of service: 3",
        "cairo-3 is not of the service: 3",
        "leaving: 3",
    ):
        assert reason in raised.value.detail


async def test_host_in_a_cooldown_is_used_when_no_other_is_left(
    autojump_clock,
):
    """Guards against failing a request while a host may still take it."""
    owners, hosts = _make_selector("cairo-1")
    call = _call()
    owners.on_refused("cairo-1-0", errors.OverloadedError())
    chosen = {owners.choose(call)[0].host_id for _ in range(50)}
    assert "cairo-1-0" not in chosen
    for number in (1, 2):
        owners.on_failed(f"cairo-1-{number}")
    host, choice = owners.choose(call)
    assert (host.host_id, choice.reason) == (
        "cairo-1-0",
        "all are in a cooldown",
    )
    excluded = {host.host_id for host in hosts.hosts}
    with pytest.raises(errors.NoUpstreamError, match="tried for this call"):
        owners.choose(call, excluded)


async def test_repeated_failures_extend_the_cooldown(autojump_clock):
    """Guards against frequent requests to a host that is down."""
    owners, _ = _make_selector("cairo-1")
    cooldowns = []
    for _ in range(8):
        owners.on_failed("cairo-1-0")
        statistics = owners._statistics_by_host_id["cairo-1-0"]
        cooldowns.append(statistics.cooldown_until - trio.current_time())
        await trio.sleep(cooldowns[-1])
    assert cooldowns[-1] > 8 * cooldowns[0]
    assert max(cooldowns) <= owner_selection.MAXIMUM_FAILURE_BACKOFF_SECONDS


async def test_returning_domain_gets_a_growing_ratio_of_requests(
    autojump_clock,
):
    """Guards against full load on the cold upstreams of a returned domain."""
    owners, _ = _make_selector("cairo-1", "cairo-2")
    owners.choose(_call(["cairo-1"]))
    ratios = []
    call = _call()
    for _ in range(5):
        ratios.append(_count_domains(owners, call, 1000)["cairo-1"] / 1000)
        await trio.sleep(5.0)
    assert ratios == sorted(ratios)
    assert ratios[0] < 0.1
    assert 0.4 < ratios[2] < 0.6
    assert ratios[4] == 1.0


async def test_less_utilized_of_two_hosts_is_chosen(autojump_clock):
    """Guards against equal load on a busy and an idle host."""
    owners, _ = _make_selector("cairo-1")
    owners.on_response("cairo-1-0", 1)
    owners.on_response("cairo-1-1", 5)
    counts = collections.Counter(
        owners.choose(_call())[0].host_id for _ in range(300)
    )
    assert counts["cairo-1-0"] == 0
    assert counts["cairo-1-2"] > counts["cairo-1-1"] > 0


async def test_key_stays_with_its_owner(autojump_clock):
    """Guards against running the request of a key on a second host."""
    owners, hosts = _make_selector("cairo-1", "cairo-2")
    call = _call(key="k", route=builders.make_reserve_route())
    order = keys.owner_order(keys.scoped_key(call), hosts.hosts)
    owner = order[0].host_id
    assert owners.choose(call)[0].host_id == owner
    owners.on_refused(owner, errors.OverloadedError(), 0)
    assert owners.choose(call)[0].host_id == owner
    with pytest.raises(errors.NoUpstreamError, match="owns the idempotency"):
        owners.choose(call, {owner})
    owners.on_failed(owner)
    with pytest.raises(errors.NoUpstreamError, match="owns the idempotency"):
        owners.choose(call, {owner})
    owners.on_refused(owner, errors.LeavingError())
    assert owners.choose(call, {owner})[0] == order[1]


async def test_idle_statistics_are_dropped(autojump_clock):
    """Guards against a memory leak with each replaced host."""
    owners, _ = _make_selector("cairo-1")
    for number in range(100):
        owners.on_sent(f"gone-{number}")
        owners.on_ended(f"gone-{number}")
    await trio.sleep(owner_selection.RETENTION_SECONDS + 1)
    owners.choose(_call())
    assert len(owners) == 0
