"""Memory of a node from the one-file binary with the target's state.

``python -m bench.memory [FILE]`` starts a node from the file (by default
``dist/shallotbridge``) against the platform's stand-in, which holds the
target's configuration and host list (section 2.5 of the design), and hands
it the largest number of idempotency keys. Loopback addresses that start
with 127.30 are used. The other hosts of the list are leaving, so the node
calls no peer; with ``--dead-peers`` they are live and refuse connections.
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
SERVICES = 880
ROUTES_PER_SERVICE = 6
HOSTS = 7200
FAILURE_DOMAINS = 11
REGIONS = 3
DEAD_PEERS = "--dead-peers"
KEYS = 20_000
KEY_BYTES = 16
ALLOWED_MEGABYTES = 128.0
RANDOM_SEED = 7
_PLATFORM_ADDRESS = "127.30.0.1"
_HOSTS_PER_ADDRESS_BLOCK = 250
_MEGABYTE = 1e6
# A file in memory takes whole pages.
_PAGE_BYTES = 4096
# Lets the node read all host lists and collect garbage, s.
_SETTLE_SECONDS = 5.0
_PEER_PORT = 7402
_CALL_SECONDS = 30.0
_MILLISECONDS_OF_AGE = 1000


def make_configuration(chooser):
    """Return a configuration of the target's size, without a head."""
    domains = [f"domain-{number}" for number in range(FAILURE_DOMAINS)]
    names = [f"service-{number:03}" for number in range(SERVICES)]
    return model.Configuration(
        head=model.NO_HEAD,
        mesh_name="target",
        failure_domains_by_name=model.by_key(
            [
                model.FailureDomain(
                    name=domain, region=f"region-{number % REGIONS}"
                )
                for number, domain in enumerate(domains)
            ],
            "name",
        ),
        services_by_name=model.by_key(
            [_make_service(chooser, name, names, domains) for name in names],
            "name",
        ),
    )


def _make_service(chooser, name, names, domains):
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
                sorted({chooser.choice(names) for _ in range(2)} - {name})
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
    """Return the target's hosts; the first is the one that is measured.

    Nothing listens at the addresses of the others.
    """
    return [
        processes.HostPlan(
            host_id=f"host-{number:05}",
            address=f"127.30.{1 + number // _HOSTS_PER_ADDRESS_BLOCK}"
            f".{1 + number % _HOSTS_PER_ADDRESS_BLOCK}",
            service=f"service-{number % SERVICES:03}",
            failure_domain=f"domain-{number % FAILURE_DOMAINS}",
        )
        for number in range(HOSTS)
    ]


def hand_over_keys(chooser, host):
    """Give the node of a host the keys of a leaving owner."""
    message = peer_pb2.KeyHandOver(
        sender="bench",
        service=host.service,
        keys=[chooser.randbytes(KEY_BYTES) for _ in range(KEYS)],
        ages_ms=[_MILLISECONDS_OF_AGE] * KEYS,
    )

    async def send():
        transport = grpc_peer.GrpcPeerTransport(port=_PEER_PORT)
        hand_over = transport.make_peer_calls().hand_over
        await hand_over(host.address, message, _CALL_SECONDS)
        await transport.close()

    trio.run(send)


def unpacked_bytes(directory):
    """Return the bytes of all files, and in pages; links count once."""
    sizes_by_inode = {}
    for path in directory.rglob("*"):
        if path.is_file() and not path.is_symlink():
            found = path.stat()
            sizes_by_inode[found.st_ino] = found.st_size
    pages = sum(-(-size // _PAGE_BYTES) for size in sizes_by_inode.values())
    return sum(sizes_by_inode.values()), pages * _PAGE_BYTES


def measure(binary, *, has_dead_peers):
    """Print what a node from the file costs; return whether it fits."""
    chooser = random.Random(RANDOM_SEED)
    hosts = make_hosts()
    platform = processes.PlatformPlan(address=_PLATFORM_ADDRESS)
    with (
        processes.running_processes() as started,
        tempfile.TemporaryDirectory() as name,
    ):
        directory = pathlib.Path(name)
        made = build.make_build(make_configuration(chooser), base=None)
        build.write_build(made, directory / "build")
        processes.start_platform(started, platform)
        platform.publish(directory / "build")
        leaving = set()
        if not has_dead_peers:
            leaving = {each.host_id for each in hosts[1:]}
        platform.publish_hosts(hosts, leaving=leaving)
        root = directory / "pex"
        for start in ("first", "second"):
            began = time.monotonic()
            subprocess.run(
                [str(binary), "version"],
                env=os.environ | {"PEX_ROOT": str(root)},
                check=True,
                stdout=subprocess.DEVNULL,
            )
            elapsed = time.monotonic() - began
            print(f"{start} start of 'version': {elapsed:.2f} s")
        node = processes.start_node(
            started,
            hosts[0],
            platform_url=platform.url,
            command=(str(binary), "node"),
            environment={"PEX_ROOT": str(root)},
            log_file=str(directory / "log"),
        )
        processes.wait_enforcing(started, hosts[:1])
        processes.wait_until(
            functools.partial(_knows_all_hosts, hosts[0]),
            description="all hosts known",
        )
        hand_over_keys(chooser, hosts[0])
        time.sleep(_SETTLE_SECONDS)
        process = started.process(node)
        found = psutil.Process(process.pid)
        anonymous = sum(
            each.anonymous for each in found.memory_maps(grouped=True)
        )
        resident = found.memory_info().rss
        children = len(found.children(recursive=True))
        threads = found.num_threads()
        unpacked, pages = unpacked_bytes(root)
        process.send_signal(signal.SIGTERM)
        status = process.wait(processes.STOP_SECONDS)
    total = (unpacked + anonymous) / _MEGABYTE
    print(f"file: {binary.stat().st_size / _MEGABYTE:.1f} MB")
    print(f"unpacked: {unpacked / _MEGABYTE:.1f} MB")
    print(f"unpacked, in whole pages: {pages / _MEGABYTE:.1f} MB")
    print(f"resident: {resident / _MEGABYTE:.1f} MB")
    print(f"anonymous: {anonymous / _MEGABYTE:.1f} MB")
    print(f"unpacked and anonymous: {total:.1f} MB")
    print(f"in whole pages: {(pages + anonymous) / _MEGABYTE:.1f} MB")
    print(f"threads: {threads}, child processes: {children}")
    print(f"exit status after SIGTERM: {status}")
    return (pages + anonymous) / _MEGABYTE < ALLOWED_MEGABYTES


def _knows_all_hosts(host):
    status = processes.node_status(host.address)
    return status and status["hosts_known"] == HOSTS


def main(arguments):
    """Measure a file; the exit status is 1 if the bound does not hold."""
    has_dead_peers = DEAD_PEERS in arguments
    files = [each for each in arguments if each != DEAD_PEERS]
    binary = pathlib.Path(files[0]) if files else BINARY
    fits = measure(binary.resolve(), has_dead_peers=has_dead_peers)
    return 0 if fits else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
