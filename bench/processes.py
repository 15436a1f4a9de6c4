"""Runs real processes on loopback addresses for demo, benchmarks and tests."""

import collections.abc
import contextlib
import ctypes
import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import httpx

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALLER_PORT = 7400
OPERATOR_PORT = 7403
UPSTREAM_PORT = 8080
PLATFORM_PORT = 7500
PLATFORM_CONTROL_PORT = 7501
# Long, because a busy machine may start processes slowly.
READY_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 30.0
_POLL_INTERVAL_SECONDS = 0.05
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


class ProcessError(Exception):
    """A process failed, exited early or did not respond in time."""

    code = "SB-9002"


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostSpec:
    """One host: an address with an upstream and a node."""

    host_id: str
    address: str
    service: str
    failure_domain: str


def _kill_with_parent():
    """Ask the kernel to kill this child when its parent thread ends."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ProcessManager:
    """Starts named processes and kills them when the context is left.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for the log files with the output of the processes.
    """

    def __init__(self, *, directory):
        self.directory = directory
        self._processes_by_name = {}

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def start(self, name, arguments, *, command=None, environment=None):
        """Start a Python module with arguments; log its output to a file.

        ``command``, if given, replaces the Python interpreter and its
        ``-m`` option.

        Raises
        ------
        ProcessError
            The caller is not the main thread. The kernel kills a child when
            the thread that started it ends, and worker threads of trio end
            after 10 s without work.
        """
        if threading.current_thread() is not threading.main_thread():
            raise ProcessError(
                f"{name}: processes must be started by the main thread"
            )
        log = (self.directory / f"{name}.log").open("ab")
        with log:
            self._processes_by_name[name] = subprocess.Popen(
                [*(command or (sys.executable, "-m")), *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ | (environment or {}),
                preexec_fn=_kill_with_parent,
            )
        return self._processes_by_name[name]

    def get_process(self, name):
        """Return the process last started under a name."""
        return self._processes_by_name[name]

    def is_running(self, name):
        """Return whether a process has not exited."""
        return self._processes_by_name[name].poll() is None

    def send_signal(self, name, number):
        """Send a signal to one process."""
        self._processes_by_name[name].send_signal(number)

    def wait(self, name, timeout=STOP_TIMEOUT_SECONDS):
        """Wait until a process exits and return its exit status."""
        return self._processes_by_name[name].wait(timeout)

    def read_output(self, name):
        """Return the output that a process has written so far."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def close(self):
        """Kill all processes that still run."""
        for process in self._processes_by_name.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes_by_name.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_TIMEOUT_SECONDS)


@contextlib.contextmanager
def running_processes() -> collections.abc.Iterator[ProcessManager]:
    """Yield a manager whose processes any exit kills, also one by SIGTERM."""

    def on_signal(number, frame):
        raise SystemExit(128 + number)

    previous_handler = signal.signal(signal.SIGTERM, on_signal)
    try:
        with tempfile.TemporaryDirectory(prefix="shallotbridge-") as name:
            with ProcessManager(
                directory=pathlib.Path(name)
            ) as process_manager:
                yield process_manager
    finally:
        signal.signal(signal.SIGTERM, previous_handler)


def read_memory_bytes(pid, name):
    """Return a memory figure of a running process.

    Parameters
    ----------
    pid : int
    name : str
        Field of ``/proc/PID/status``: ``VmRSS`` is the resident memory,
        ``VmHWM`` its peak.
    """
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * 1024
    return 0


def ignores_signal(pid, number):
    """Return whether a running process ignores or handles a signal."""
    mask = 0
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(("SigIgn:", "SigCgt:")):
            mask |= int(line.split()[1], 16)
    return bool(mask >> (number - 1) & 1)


def find_free_network():
    """Return a network prefix such as ``127.83`` on which nothing listens.

    The prefix is random, so that concurrent runs use different addresses.
    """
    random_source = random.SystemRandom()
    for _ in range(100):
        prefix = f"127.{random_source.randrange(20, 250)}"
        probes = [
            (f"{prefix}.0.1", PLATFORM_PORT),
            (f"{prefix}.1.1", CALLER_PORT),
            (f"{prefix}.1.1", UPSTREAM_PORT),
        ]
        if all(_is_unused(address, port) for address, port in probes):
            return prefix
    raise ProcessError("found no network of unused loopback addresses")


def _is_unused(address, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
        return True


def wait_until(check, *, description, timeout=READY_TIMEOUT_SECONDS):
    """Poll ``check()`` until its result is true, and return the result.

    Raises
    ------
    ProcessError
        The result was not true within the timeout.
    """
    deadline = time.monotonic() + timeout
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() > deadline:
            raise ProcessError(
                f"timed out after {timeout:g} s waiting for: {description}"
            )
        time.sleep(_POLL_INTERVAL_SECONDS)


def get_json(url, timeout=5.0):
    """Return the JSON document at a URL, or None if the request fails."""
    try:
        response = httpx.get(url, timeout=timeout, trust_env=False)
        return response.json() if response.status_code == 200 else None
    except (httpx.HTTPError, ValueError):
        return None


def fetch_node_status(address):
    """Return the status of a node, or None if the request fails."""
    return get_json(f"http://{address}:{OPERATOR_PORT}/status")


def start_node(
    process_manager,
    host,
    *,
    platform_url,
    seeds=(),
    name=None,
    module=("shallotbridge", "node"),
    command=None,
    environment=None,
    **settings,
):
    """Start the node of a host.

    Parameters
    ----------
    process_manager : ProcessManager
    host : HostSpec
    platform_url : str
    seeds : iterable of str
        Addresses of peers.
    name : str, optional
        Name of the process; ``node-`` and the host's id by default.
    module : sequence of str
        Python module and its first arguments; the flags with the settings
        follow.
    command : sequence of str, optional
        Command that replaces the Python interpreter and the module.
    environment : mapping of str to str, optional
        Environment variables in addition to those of this process.
    **settings
        Further settings by name, passed as flags.

    Returns
    -------
    str
        Name of the process.
    """
    name = name or f"node-{host.host_id}"
    flags_by_name = {
        "host_id": host.host_id,
        "address": host.address,
        "failure_domain": host.failure_domain,
        "service": host.service,
        "platform_url": platform_url,
        "seeds": ",".join(seeds),
    } | settings
    arguments = [
        f"--{key.replace('_', '-')}={value}"
        for key, value in flags_by_name.items()
    ]
    if command is not None:
        module = ()
    process_manager.start(
        name, [*module, *arguments], command=command, environment=environment
    )
    return name


def wait_until_enforcing(process_manager, hosts, *, version=1):
    """Wait until the nodes of hosts enforce a version or a higher one."""

    def is_enforcing(host):
        name = f"node-{host.host_id}"
        if not process_manager.is_running(name):
            raise ProcessError(
                f"{name} exited: {process_manager.read_output(name)[-2000:]}"
            )
        status = fetch_node_status(host.address)
        return status and status["enforcing"] and status["version"] >= version

    for host in hosts:
        wait_until(
            lambda host=host: is_enforcing(host),
            description=f"{host.host_id} to enforce version {version}",
        )


def run_command(*arguments):
    """Run a shallotbridge command and return its standard output.

    Raises
    ------
    ProcessError
        The command failed.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "shallotbridge", *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    if completed.returncode != 0:
        raise ProcessError(
            f"{' '.join(map(str, arguments))}: exit status "
            f"{completed.returncode}: {completed.stdout}{completed.stderr}"
        )
    return completed.stdout


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformControlClient:
    """Client of the platform stand-in's control endpoint."""

    address: str

    @property
    def url(self):
        """Base URL of the platform's interface for nodes."""
        return f"http://{self.address}:{PLATFORM_PORT}"

    def put(self, path, *, content=None, document=None):
        """Send one control request and return the JSON response.

        Raises
        ------
        ProcessError
            The platform rejected the request.
        """
        url = f"http://{self.address}:{PLATFORM_CONTROL_PORT}/control/{path}"
        with httpx.Client(
            trust_env=False, timeout=READY_TIMEOUT_SECONDS
        ) as client:
            response = client.put(url, content=content, json=document)
        if response.status_code != 200:
            raise ProcessError(
                f"{url}: {response.status_code} {response.text}"
            )
        return response.json()

    def publish(self, build_directory):
        """Publish a build: the bundles first, the head last."""
        for path in sorted(build_directory.glob("configuration/bundle/*")):
            key = f"configuration/bundle/{path.name}"
            self.put(f"values/{key}", content=path.read_bytes())
        head = build_directory / "configuration" / "head"
        self.put("values/configuration/head", content=head.read_bytes())

    def publish_hosts(self, hosts, *, leaving=()):
        """Publish the host lists of all failure domains."""
        for domain in sorted({host.failure_domain for host in hosts}):
            entries = [
                {
                    "host_id": host.host_id,
                    "address": host.address,
                    "service": host.service,
                    "state": "leaving" if host.host_id in leaving else "live",
                }
                for host in hosts
                if host.failure_domain == domain
            ]
            self.put(f"hosts/{domain}", document=entries)

    def status(self):
        """Return the stand-in's counters, or None if the request fails."""
        return get_json(
            f"http://{self.address}:{PLATFORM_CONTROL_PORT}/control/status"
        )


def start_platform(process_manager, platform, *, name="platform"):
    """Start the platform and wait until it responds."""
    process_manager.start(
        name,
        [
            "standins.platform",
            f"--address={platform.address}",
            f"--port={PLATFORM_PORT}",
            f"--control-port={PLATFORM_CONTROL_PORT}",
        ],
    )
    wait_until_responding(process_manager, name, platform.status)


def start_upstream(process_manager, host, **options):
    """Start the upstream of a host and wait until it responds.

    Parameters
    ----------
    process_manager : ProcessManager
    host : HostSpec
    **options
        Options of ``standins.upstream``, such as ``service_ms``.
    """
    name = f"upstream-{host.host_id}"
    flags = [
        f"--{key.replace('_', '-')}={value}" for key, value in options.items()
    ]
    process_manager.start(
        name, ["standins.upstream", f"--address={host.address}", *flags]
    )
    wait_until_responding(
        process_manager, name, lambda: fetch_upstream_record(host)
    )


def wait_until_responding(process_manager, name, check):
    """Wait until a running process responds, and return its response.

    Raises
    ------
    ProcessError
        The process exited or did not respond in time.
    """

    def check_process():
        if not process_manager.is_running(name):
            raise ProcessError(
                f"{name} exited: {process_manager.read_output(name)[-2000:]}"
            )
        return check()

    return wait_until(check_process, description=f"response of {name}")


def fetch_upstream_record(host):
    """Return the upstream's record of the requests that it ran, or None.

    None means that the upstream does not respond.
    """
    return get_json(f"http://{host.address}:{UPSTREAM_PORT}/control/ran")
