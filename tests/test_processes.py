"""Tests with real processes and sockets; no result depends on timing."""

import signal

import httpx
import pytest

from bench import processes


@pytest.fixture
def process_manager():
    """Processes that end with the test."""
    with processes.running_processes() as started:
        yield started


@pytest.fixture
def hosts():
    """Two hosts of one failure domain on unused addresses."""
    prefix = processes.find_free_network()
    return [
        processes.HostSpec(
            host_id=f"c1-showroom-{number}",
            address=f"{prefix}.1.{number}",
            service="showroom",
            failure_domain="cairo-1",
        )
        for number in (1, 2)
    ]


@pytest.fixture
def platform(process_manager, hosts):
    """A platform that serves version 1 of the nileweave example."""
    prefix = hosts[0].address.rsplit(".", 2)[0]
    client = processes.PlatformControlClient(address=f"{prefix}.0.1")
    processes.start_platform(process_manager, client)
    client.publish_hosts(hosts)
    output = process_manager.directory / "v1"
    tree = processes.ROOT / "examples" / "nileweave"
    processes.run_command("build", tree, "--base", "none", "--output", output)
    client.publish(output)
    return client


def _start(process_manager, hosts, platform):
    for host in hosts:
        processes.start_upstream(process_manager, host)
        processes.start_node(
            process_manager, host, platform_url=platform.url, fleet_size=2
        )
    processes.wait_until_enforcing(process_manager, hosts)


def _browse(host):
    url = f"http://{host.address}:{processes.CALLER_PORT}/showroom/stock"
    return httpx.get(
        url, timeout=processes.READY_TIMEOUT_SECONDS, trust_env=False
    )


def test_node_serves_drains_and_keeps_its_version(
    process_manager, hosts, platform
):
    """Guards against unclean stops and restarts with an older version.

    The platform is down during the restart, so that only the peer has the
    version.
    """
    _start(process_manager, hosts, platform)
    # On a busy machine a request can miss the route's deadline of 400 ms.
    processes.wait_until(
        lambda: _browse(hosts[0]).headers["x-shallotbridge-outcome"] == "run",
        description="a request ran",
    )
    killed = f"node-{hosts[1].host_id}"
    process_manager.send_signal(killed, signal.SIGKILL)
    assert process_manager.wait(killed) == -signal.SIGKILL
    platform.put("mode", document={"mode": "down"})
    processes.start_node(
        process_manager,
        hosts[1],
        platform_url=platform.url,
        seeds=[hosts[0].address],
        fleet_size=2,
    )
    processes.wait_until_enforcing(process_manager, hosts[1:])
    drained = f"node-{hosts[0].host_id}"
    process_manager.send_signal(drained, signal.SIGTERM)
    assert process_manager.wait(drained) == 0
    with pytest.raises(httpx.ConnectError):
        _browse(hosts[0])
    lines = process_manager.read_output(drained)
    assert '"message_type":"shallotbridge:node_drained"' in lines


def test_port_in_use_and_invalid_setting_give_exit_codes(
    process_manager, hosts, platform
):
    """Guards against a node that keeps running without listening."""
    url = platform.url
    processes.start_node(process_manager, hosts[0], platform_url=url)
    processes.wait_until_responding(
        process_manager,
        f"node-{hosts[0].host_id}",
        lambda: processes.fetch_node_status(hosts[0].address),
    )
    other = processes.HostSpec(
        host_id="other",
        address=hosts[0].address,
        service="showroom",
        failure_domain="cairo-1",
    )
    name = processes.start_node(process_manager, other, platform_url=url)
    assert process_manager.wait(name) == 4
    assert hosts[0].address in process_manager.read_output(name)
    name = processes.start_node(
        process_manager, other, platform_url="x", readers=0
    )
    assert process_manager.wait(name) == 2
    output = process_manager.read_output(name)
    assert "--readers" in output and "SHALLOTBRIDGE_PLATFORM_URL" in output
