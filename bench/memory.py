"""Measure the memory of a node of the single-file executable.

``python -m bench.memory [FILE]`` starts a node from the executable (by
default ``dist/shallotbridge``). The simulated platform serves configuration
and host lists of the target's size (section 2.5 of the design page). The
node then gets the largest number of idempotency keys. All addresses start with
127.30. The other hosts are leaving, so that the node calls no peer; with
``--dead-peers`` they are live and refuse connections.
"""

import functools
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import psutil
import trio

from . import processes
from shallotbridge._generated import peer_pb2
from shallotbridge.core import build
from shallotbridge.core import model
from shallotbridge.transports import grpc_peer

BINARY = processes.ROOT / "dist" / "shallotbridge"
SERVICE_COUNT = 880
ROUTES_PER_SERVICE = 6
HOST_COUNT = 7200
FAILURE_DOMAIN_COUNT = 11
REGION_COUNT = 3
DEAD_PEERS_FLAG = "--dead-peers"
KEY_COUNT = 20_000
KEY_BYTES = 16
MAXIMUM_MEGABYTES = 128.0
RANDOM_SEED = 7
_PLATFORM_ADDRESS = "127.30.0.1"
_HOSTS_PER_OCTET = 250
_MEGABYTE = 1e6
# A file that is held in memory occupies whole pages.
_PAGE_BYTES = 4096
# Lets the node read all host lists and collect garbage.
_SETTLE_SECONDS = 5.0
_PEER_PORT = 7402
_CALL_TIMEOUT_SECONDS = 30.0
_KEY_AGE_MS = 1000


def make_configuration(random_source):
    """Return a configuration of the target's size, without a head."""
    domains = [f"domain-{number}" for number in range(FAILURE_DOMAIN_COUNT)]
    names = [f"service-{number:03}" for number in range(SERVICE_COUNT)]
    return model.Configuration(
        head=model.NO_HEAD,
        mesh_name="target",
        failure_domains_by_name=model.by_key(
            [
                model.FailureDomain(
                    name=domain, region=f"region-{number % REGION_COUNT}"
                )
                for number, domain in enumerate(domains)
            ],
            "name",
        ),
        services_by_name=model.by_key(
            [
                _make_service(random_source, name, names, domains)
                for name in names
            ],
            "name",
        ),
    )


def _make_service(random_source, name, names, domains):
    routes = [
        model.Route(
            name=f"route-{number}",
            service=name,
            method="POST" if number % 2 else "GET",
            path=f"/{name}/resources-{number}/{{id}}",
            is_idempotent=number % 2 == 0,
            deadline_seconds=0.8,
            retry_ratio=0.1,
            depends_on=tuple(
                sorted(
                    {random_source.choice(names) for _ in range(2)} - {name}
                )
            ),
        )
        for number in range(ROUTES_PER_SERVICE)
    ]
    return model.Service(
        name=name,
        upstream=model.UpstreamLimits(
            failure_domains=tuple(domains),
            slots=12,
            connections=130,
            cold_slots=1,
            ramp_seconds=20.0,
            queue=12,
        ),
        routes_by_name=model.by_key(routes, "name"),
    )


def make_hosts():
    """Return the target's hosts; the first one is measured.

    Nothing listens at the addresses of the others.
    """
    return [
        processes.HostSpec(
            host_id=f"host-{number:05}",
            address=f"127.30.{1 + number // _HOSTS_PER_OCTET}"
            f".{1 + number % _HOSTS_PER_OCTET}",
            service=f"service-{number % SERVICE_COUNT:03}",
            failure_domain=f"domain-{number % FAILURE_DOMAIN_COUNT}",
        )
        for number in range(HOST_COUNT)
    ]


def send_keys(random_source, host):
    """Send a node idempotency keys as if from a leaving owner node."""
    message = peer_pb2.KeyHandOver(
        sender="bench",
        service=host.service,
        keys=[random_source.randbytes(KEY_BYTES) for _ in range(KEY_COUNT)],
        ages_ms=[_KEY_AGE_MS] * KEY_COUNT,
    )

    async def send():
        transport = grpc_peer.GrpcPeerTransport(port=_PEER_PORT)
        hand_over = transport.make_peer_calls().hand_over
        await hand_over(host.address, message, _CALL_TIMEOUT_SECONDS)
        await transport.close()

    trio.run(send)


def unpacked_bytes(directory):
    """Return the total size of all files, exact and in whole pages.

    Hard links to a file count once. Both sizes are in bytes.
    """
    sizes_by_inode = {}
    for path in directory.rglob("*"):
        if path.is_file() and not path.is_symlink():
            metadata = path.stat()
            sizes_by_inode[metadata.st_ino] = metadata.st_size
    pages = sum(-(-size // _PAGE_BYTES) for size in sizes_by_inode.values())
    return sum(sizes_by_inode.values()), pages * _PAGE_BYTES


def measure(binary, *, has_unreachable_peers):
    """Print the memory use of a node; return whether it is below the limit."""
    random_source = random.Random(RANDOM_SEED)
    hosts = make_hosts()
    platform = processes.PlatformControlClient(address=_PLATFORM_ADDRESS)
    with (
        processes.running_processes() as started,
        tempfile.TemporaryDirectory() as name,
    ):
        directory = pathlib.Path(name)
        build_result = build.make_build(
            make_configuration(random_source), base=None
        )
        build.write_build(build_result, directory / "build")
        processes.start_platform(started, platform)
        platform.publish(directory / "build")
        leaving = set()
        if not has_unreachable_peers:
            leaving = {each.host_id for each in hosts[1:]}
        platform.publish_hosts(hosts, leaving=leaving)
        pex_root = directory / "pex"
        for start in ("first", "second"):
            started_at = time.monotonic()
            subprocess.run(
                [str(binary), "version"],
                env=os.environ | {"PEX_ROOT": str(pex_root)},
                check=True,
                stdout=subprocess.DEVNULL,
            )
            elapsed = time.monotonic() - started_at
            print(f"{start} start of 'version': {elapsed:.2f} s")
        node = processes.start_node(
            started,
            hosts[0],
            platform_url=platform.url,
            command=(str(binary), "node"),
            environment={"PEX_ROOT": str(pex_root)},
            log_file=str(directory / "log"),
        )
        processes.wait_until_enforcing(started, hosts[:1])
        processes.wait_until(
            functools.partial(_knows_all_hosts, hosts[0]),
            description="all hosts known",
        )
        send_keys(random_source, hosts[0])
        time.sleep(_SETTLE_SECONDS)
        process = started.get_process(node)
        node_process = psutil.Process(process.pid)
        anonymous = sum(
            each.anonymous for each in node_process.memory_maps(grouped=True)
        )
        resident = node_process.memory_info().rss
        children = len(node_process.children(recursive=True))
        threads = node_process.num_threads()
        unpacked, page_bytes = unpacked_bytes(pex_root)
        process.send_signal(signal.SIGTERM)
        status = process.wait(processes.STOP_TIMEOUT_SECONDS)
    total = (unpacked + anonymous) / _MEGABYTE
    print(f"file: {binary.stat().st_size / _MEGABYTE:.1f} MB")
    print(f"unpacked: {unpacked / _MEGABYTE:.1f} MB")
    print(f"unpacked, in whole pages: {page_bytes / _MEGABYTE:.1f} MB")
    print(f"resident: {resident / _MEGABYTE:.1f} MB")
    print(f"anonymous: {anonymous / _MEGABYTE:.1f} MB")
    print(f"unpacked and anonymous: {total:.1f} MB")
    print(f"in whole pages: {(page_bytes + anonymous) / _MEGABYTE:.1f} MB")
    print(f"threads: {threads}, child processes: {children}")
    print(f"exit status after SIGTERM: {status}")
    return (page_bytes + anonymous) / _MEGABYTE < MAXIMUM_MEGABYTES


def _knows_all_hosts(host):
    status = processes.fetch_node_status(host.address)
    return status and status["hosts_known"] == HOST_COUNT


def main(arguments):
    """Measure an executable; return 1 if its node exceeds the limit."""
    has_unreachable_peers = DEAD_PEERS_FLAG in arguments
    files = [each for each in arguments if each != DEAD_PEERS_FLAG]
    binary = pathlib.Path(files[0]) if files else BINARY
    fits = measure(
        binary.resolve(), has_unreachable_peers=has_unreachable_peers
    )
    return 0 if fits else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
