"""Fleet of node processes for the measurements, and shared helpers."""

import collections
import dataclasses
import functools
import json
import re
import subprocess
import time

import httpx
import psutil

from shallotbridge.core import build as build_module
from shallotbridge.core import model
from shallotbridge.core import parts
from shallotbridge.core import topology

from . import processes

PEER_PORT = 7402
START_BATCH_SIZE = 24
# The suspicion of a peer lasts 30 s and may be renewed once.
SETTLE_TIMEOUT_SECONDS = 120.0
ROUTES_PER_SERVICE = 9
HOSTS_PER_OCTET = 200
# IPv4 and TCP headers of one segment, with the TCP timestamp option.
SEGMENT_HEADER_BYTES = 52
# Rate of configuration changes in section 2.5 of the design page.
CHANGES_PER_DAY = 4400
SECONDS_PER_DAY = 86400.0
_VERSION_LOG_MARKERS = (
    b"shallotbridge:configuration_applied",
    b"shallotbridge:enforcement",
)
_SOCKET_COUNTERS = re.compile(
    r"bytes_acked:(\d+)|bytes_received:(\d+)|segs_out:(\d+)|segs_in:(\d+)"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Options that all measurements share.

    Attributes
    ----------
    process_manager : processes.ProcessManager
    prefix : str
        First two octets of all addresses.
    octet : int
        Third octet of the platform's address. The third octets of the
        failure domains follow it.
    seed : int
    is_quick : bool
        Whether to run fewer and shorter measurements.
    """

    process_manager: processes.ProcessManager
    prefix: str
    octet: int
    seed: int
    is_quick: bool

    def address(self, domain, position):
        """Return the address at a position of a failure domain.

        Failure domains are numbered from 1. The address at position 1 of
        number 0 is that of the platform.
        """
        return f"{self.prefix}.{self.octet + domain}.{position}"


def percentile(values, fraction):
    """Return the value below which a fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def spread_hosts(options, domains, services, per_domain):
    """Return hosts of all failure domains, with services assigned in turn."""
    return [
        processes.HostSpec(
            host_id=f"{domain}-{position}",
            address=options.address(number, position + 1),
            service=services[
                (position * len(domains) + number) % len(services)
            ],
            failure_domain=domain,
        )
        for number, domain in enumerate(domains, start=1)
        for position in range(per_domain)
    ]


def make_configuration(domains, services, change=0, **limits):
    """Return a configuration of generated services.

    Parameters
    ----------
    domains : sequence of str
    services : sequence of str
    change : int
        Number of earlier changes. Each one changes the deadlines of one
        service.
    **limits
        Fields of ``model.UpstreamLimits`` to override for all upstreams.
    """
    upstream = dataclasses.replace(
        model.UpstreamLimits(
            failure_domains=tuple(domains),
            slots=100,
            connections=200,
            cold_slots=100,
            ramp_seconds=1.0,
            queue=20,
        ),
        **limits,
    )
    service_list = []
    for number, name in enumerate(services):
        changes = change // len(services) + (number < change % len(services))
        routes = [
            model.Route(
                name=f"operation-{route}",
                service=name,
                method="GET" if route % 2 else "POST",
                path=f"/{name}/collection-{route}/{{item}}",
                is_idempotent=bool(route % 2),
                deadline_seconds=1.0 + changes / 1000,
                retry_ratio=0.1,
                depends_on=(services[(number + 1) % len(services)],),
            )
            for route in range(ROUTES_PER_SERVICE)
        ]
        service_list.append(
            model.Service(
                name=name,
                upstream=upstream,
                routes_by_name=model.by_key(routes, "name"),
            )
        )
    return model.Configuration(
        head=model.NO_HEAD,
        mesh_name="bench",
        failure_domains_by_name=model.by_key(
            [
                model.FailureDomain(name=name, region=f"r{index % 3}")
                for index, name in enumerate(domains)
            ],
            "name",
        ),
        services_by_name=model.by_key(service_list, "name"),
    )


class Fleet:
    """Platform, upstreams and nodes of one measurement; a context manager.

    Parameters
    ----------
    options : Options
    hosts : sequence of processes.HostSpec
    services : sequence of str
        Services of the generated configuration.
    variant : str
        Name in ``bench.variants.VARIANTS``, or empty for the product.
    configure : callable, optional
        ``configure(change_count, **changes)`` returns the configuration to
        publish; by default ``make_configuration`` of the services.
    **settings
        Settings of all nodes.
    """

    def __init__(
        self,
        *,
        options,
        hosts,
        services=(),
        variant="",
        configure=None,
        **settings,
    ):
        self.process_manager = options.process_manager
        self.hosts = hosts
        # Part of process names. Concurrent fleets have different addresses.
        self._label = options.address(0, 0)
        self.domains = sorted({host.failure_domain for host in hosts})
        self._configure = configure or functools.partial(
            make_configuration, self.domains, services
        )
        self.platform = processes.PlatformControlClient(
            address=options.address(0, 1)
        )
        self.build = None
        self.change_count = 0
        self._module = (
            ("bench.variants", variant)
            if variant
            else ("shallotbridge", "node")
        )
        self._settings = settings
        self._process_names = []
        self._log_offsets_by_id = collections.Counter()
        self._version_times_by_id = collections.defaultdict(dict)
        self._published_keys = set()
        self._client = httpx.Client(trust_env=False, timeout=30.0)

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def close(self):
        """Kill the processes of this fleet and remove its log files."""
        self._client.close()
        for name in self._process_names:
            if self.process_manager.is_running(name):
                self.process_manager.get_process(name).kill()
        for name in self._process_names:
            self.process_manager.wait(name)
        for host in self.hosts:
            self.log_path(host).unlink(missing_ok=True)

    # Starting processes.

    def start_platform(self):
        """Start the platform and publish host lists and a first version."""
        name = f"platform-{self._label}"
        processes.start_platform(
            self.process_manager, self.platform, name=name
        )
        self._process_names.append(name)
        self.platform.publish_hosts(self.hosts)
        self.publish()

    def start_upstreams(self, **options):
        """Start the upstreams, in one process per failure domain."""
        for domain in self.domains:
            hosts = [
                host for host in self.hosts if host.failure_domain == domain
            ]
            flags = [f"--address={host.address}" for host in hosts]
            flags += [
                f"--{key.replace('_', '-')}={value}"
                for key, value in options.items()
            ]
            name = f"upstreams-{self._label}-{domain}"
            self.process_manager.start(
                name, ["standins.upstream", "--warm", *flags]
            )
            self._process_names.append(name)
            processes.wait_until_responding(
                self.process_manager,
                name,
                lambda hosts=hosts: processes.fetch_upstream_record(hosts[-1]),
            )

    def node_name(self, host):
        """Return the name of the node process of a host."""
        return f"node-{self._label}-{host.host_id}"

    def start_node(self, host, **settings):
        """Start the node of a host; the next two hosts are its seeds."""
        index = self.hosts.index(host)
        seeds = [
            self.hosts[(index + offset) % len(self.hosts)].address
            for offset in (1, 2)
        ]
        name = processes.start_node(
            self.process_manager,
            host,
            platform_url=self.platform.url,
            name=self.node_name(host),
            module=self._module,
            **{
                "seeds": seeds,
                "fleet_size": len(self.hosts),
                "log_file": self.log_path(host),
            }
            | self._settings
            | settings,
        )
        if name not in self._process_names:
            self._process_names.append(name)

    def start_nodes(self):
        """Start all nodes in batches; wait until each batch enforces."""
        for first in range(0, len(self.hosts), START_BATCH_SIZE):
            batch = self.hosts[first : first + START_BATCH_SIZE]
            for host in batch:
                self.start_node(host)
            self.wait_until_active(self.version, batch)

    def wait_for_readers(self, readers=topology.READERS_PER_DOMAIN):
        """Wait until each failure domain has its number of readers.

        Nodes that start together suspect peers that do not listen yet, so
        for a while more nodes than necessary read the platform.
        """
        wanted = sum(
            min(readers, len(self.tree_order(domain)))
            for domain in self.domains
        )
        processes.wait_until(
            lambda: self._reader_count() == wanted,
            description=f"{wanted} readers",
            timeout=SETTLE_TIMEOUT_SECONDS,
        )

    def _reader_count(self):
        return sum(
            processes.fetch_node_status(host.address)["is_reader"]
            for host in self.hosts
        )

    def start(self, **upstream_options):
        """Start the platform, the upstreams and the nodes."""
        self.start_platform()
        self.start_upstreams(**upstream_options)
        self.start_nodes()
        self.wait_for_readers(
            self._settings.get("readers", topology.READERS_PER_DOMAIN)
        )

    # Versions.

    @property
    def version(self):
        """Number of the latest published version."""
        return self.build.configuration.head.version

    def publish(self, **changes):
        """Publish the next configuration.

        Parameters
        ----------
        **changes
            Passed on to ``configure``.

        Returns
        -------
        float
            Wall-clock time just before the new head was sent to the
            platform, seconds.
        """
        configuration = self._configure(self.change_count, **changes)
        self.change_count += 1
        self.build = build_module.make_build(configuration, base=self.build)
        head_sent_at = 0.0
        for key, value in self.build.values_by_key.items():
            if key not in self._published_keys:
                head_sent_at = time.time()
                self.put(f"values/{key}", content=value)
            if key != parts.HEAD_KEY:
                self._published_keys.add(key)
        return head_sent_at

    def put(self, path, **content):
        """Send a control request to the platform over a pooled connection."""
        url = (
            f"http://{self.platform.address}:"
            f"{processes.PLATFORM_CONTROL_PORT}/control/{path}"
        )
        self._client.put(url, **content).raise_for_status()

    def version_times(self, host):
        """Return the wall-clock times at which a node applied versions.

        Reads the part of the log that was written since the last call.

        Returns
        -------
        dict
            Times by version number; the key ``"enforcing"`` has the time
            at which the node started to enforce configurations.
        """
        times = self._version_times_by_id[host.host_id]
        path = self.log_path(host)
        if not path.exists():
            return times
        with path.open("rb") as log:
            log.seek(self._log_offsets_by_id[host.host_id])
            for line in log:
                if not line.endswith(b"\n"):
                    break
                self._log_offsets_by_id[host.host_id] += len(line)
                if not any(marker in line for marker in _VERSION_LOG_MARKERS):
                    continue
                entry = json.loads(line)
                if entry["message_type"].endswith("_applied"):
                    number = int(re.match(r"\d+", entry["chosen"])[0])
                    times.setdefault(number, entry["timestamp"])
                else:
                    times.setdefault("enforcing", entry["timestamp"])
        return times

    def wait_until_active(self, version, hosts=None, timeout=120.0):
        """Wait until nodes enforce a version or a higher one.

        Returns
        -------
        list of float
            Wall-clock times at which the nodes applied it, seconds.
        """
        waiting = list(hosts or self.hosts)

        def is_active(host):
            times = self.version_times(host)
            return "enforcing" in times and any(
                number != "enforcing" and number >= version for number in times
            )

        def check():
            waiting[:] = [host for host in waiting if not is_active(host)]
            for host in waiting:
                name = self.node_name(host)
                if not self.process_manager.is_running(name):
                    raise processes.ProcessError(
                        f"{name} ended: "
                        f"{self.process_manager.read_output(name)[-2000:]}"
                    )
            return not waiting

        processes.wait_until(
            check, description=f"version {version} active", timeout=timeout
        )
        return [
            min(
                at
                for number, at in self.version_times(host).items()
                if number != "enforcing" and number >= version
            )
            for host in hosts or self.hosts
        ]

    def reset_log(self, host):
        """Discard the log of a host before its node is restarted."""
        self.log_path(host).unlink(missing_ok=True)
        self._log_offsets_by_id.pop(host.host_id, None)
        self._version_times_by_id.pop(host.host_id, None)

    def log_path(self, host):
        """Return the path of the decision log of a node."""
        return self.process_manager.directory / f"{self.node_name(host)}.jsonl"

    # Measured values.

    def platform_status(self):
        """Return the status of the simulated platform."""
        return self.platform.status()

    def control_bytes(self):
        """Return the message bytes, sent and received, of nodes by host id."""
        return {
            host.host_id: sum(
                processes.fetch_node_status(host.address)[
                    "control_bytes"
                ].values()
            )
            for host in self.hosts
        }

    def socket_bytes(self):
        """Return the TCP traffic of established control connections.

        These are the connections to the peer ports and to the platform.

        Returns
        -------
        dict
            Bytes and number of segments, in both directions, by server
            and client address, from the kernel's counters at the server.
        """
        servers = {f"{host.address}:{PEER_PORT}" for host in self.hosts}
        servers.add(f"{self.platform.address}:{processes.PLATFORM_PORT}")
        output = subprocess.run(
            ["ss", "-tinHO"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        counts = {}
        for line in output.splitlines():
            fields = line.split()
            # gRPC's sockets show IPv4-mapped IPv6 addresses.
            server = re.sub(r"\[::ffff:([\d.]+)\]", r"\1", fields[3])
            if fields[0] != "ESTAB" or server not in servers:
                continue
            size = segments = 0
            for sent, received, out, into in _SOCKET_COUNTERS.findall(line):
                size += int(sent or 0) + int(received or 0)
                segments += int(out or 0) + int(into or 0)
            counts[server, fields[4]] = size, segments
        return counts

    def resource_usage(self):
        """Return processor seconds and resident bytes of nodes by host id."""
        usage_by_id = {}
        for host in self.hosts:
            process = psutil.Process(
                self.process_manager.get_process(self.node_name(host)).pid
            )
            usage_by_id[host.host_id] = (
                sum(process.cpu_times()[:2]),
                process.memory_info().rss,
            )
        return usage_by_id

    def tree_order(self, domain):
        """Return the hosts of a failure domain in the order of its tree."""
        return topology.rendezvous_order(
            host for host in self.hosts if host.failure_domain == domain
        )


def socket_bytes_per_node(before, after, node_count):
    """Return mean payload and wire bytes of a node between two samples.

    Bytes between two peers count at both. Connections that were closed in
    between are not counted.
    """
    payload = wire = 0
    for key, (size, segments) in after.items():
        size_before, segments_before = before.get(key, (0, 0))
        endpoint_count = 2 if key[0].endswith(f":{PEER_PORT}") else 1
        payload += endpoint_count * (size - size_before)
        wire += endpoint_count * (
            size
            - size_before
            + (segments - segments_before) * SEGMENT_HEADER_BYTES
        )
    return payload / node_count, wire / node_count


def print_table(title, rows):
    """Print rows, dicts with the same keys, as a Markdown table."""
    print(f"\n### {title}\n")
    names = list(rows[0])
    print("| " + " | ".join(names) + " |")
    print("| " + " | ".join("---" for _ in names) + " |")
    for row in rows:
        print(
            "| "
            + " | ".join(_format_cell(row.get(name)) for name in names)
            + " |"
        )
    print(flush=True)


def _format_cell(value):
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 100 else f"{value:.0f}"
    return str(value)
