"""Real processes on loopback addresses for the demo, benchmarks and tests."""

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
# Generous, since a busy machine may start processes slowly, s.
READY_SECONDS = 60.0
STOP_SECONDS = 30.0
_POLL_SECONDS = 0.05
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


class ProcessError(Exception):
    """A process of the demo did not do what it should."""

    code = "SB-9002"


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostPlan:
    """One host of the demo: an address with an upstream and a node."""

    host_id: str
    address: str
    service: str
    failure_domain: str


def _end_with_parent():
    """Ask the kernel to end this child when its parent ends."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Processes:
    """Started processes by name; leaving the context ends all of them.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for the output of the processes.
    """

    def __init__(self, *, directory):
        self.directory = directory
        self._processes_by_name = {}

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def start(self, name, arguments, *, environment=None):
        """Start a Python module with arguments; output goes to a file.

        Raises
        ------
        ProcessError
            The caller is not the main thread. The kernel ends a child when
            the thread that started it ends, and worker threads of trio end
            after 10 s without work.
        """
        if threading.current_thread() is not threading.main_thread():
            raise ProcessError(f"{name}: not started by the main thread")
        log = (self.directory / f"{name}.log").open("ab")
        with log:
            self._processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ | (environment or {}),
                preexec_fn=_end_with_parent,
            )
        return self._processes_by_name[name]

    def process(self, name):
        """Return the process that was last started under a name."""
        return self._processes_by_name[name]

    def is_running(self, name):
        """Tell whether a process has not ended."""
        return self._processes_by_name[name].poll() is None

    def send_signal(self, name, number):
        """Send a signal to one process."""
        self._processes_by_name[name].send_signal(number)

    def wait(self, name, timeout=STOP_SECONDS):
        """Wait for the end of a process and return its exit status."""
        return self._processes_by_name[name].wait(timeout)

    def output(self, name):
        """Return what a process has written so far."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def close(self):
        """End all processes that still run."""
        for process in self._processes_by_name.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes_by_name.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_SECONDS)


@contextlib.contextmanager
def running_processes() -> collections.abc.Iterator[Processes]:
    """Give ``Processes`` that end on any exit, also on SIGTERM."""

    def on_signal(number, frame):
        raise SystemExit(128 + number)

    previous = signal.signal(signal.SIGTERM, on_signal)
    try:
        with tempfile.TemporaryDirectory(prefix="shallotbridge-") as name:
            with Processes(directory=pathlib.Path(name)) as processes:
                yield processes
    finally:
        signal.signal(signal.SIGTERM, previous)


def free_network():
    """Return a prefix such as ``127.83`` on which nothing listens.

    Each run takes its own, so that runs at the same time do not meet.
    """
    chooser = random.SystemRandom()
    for _ in range(100):
        prefix = f"127.{chooser.randrange(20, 250)}"
        probes = [
            (f"{prefix}.0.1", PLATFORM_PORT),
            (f"{prefix}.1.1", CALLER_PORT),
            (f"{prefix}.1.1", UPSTREAM_PORT),
        ]
        if all(_is_free(address, port) for address, port in probes):
            return prefix
    raise ProcessError("no free loopback addresses were found")


def _is_free(address, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
        return True


def wait_until(check, *, description, timeout=READY_SECONDS):
    """Wait until ``check()`` is true and return what it returned.

    Raises
    ------
    ProcessError
        It did not become true in time.
    """
    end = time.monotonic() + timeout
    while True:
        found = check()
        if found:
            return found
        if time.monotonic() > end:
            raise ProcessError(f"after {timeout:g} s: not yet {description}")
        time.sleep(_POLL_SECONDS)


def get_json(url, timeout=5.0):
    """Return the JSON document at a URL, or None if there is no answer."""
    try:
        answer = httpx.get(url, timeout=timeout, trust_env=False)
        return answer.json() if answer.status_code == 200 else None
    except (httpx.HTTPError, ValueError):
        return None


def node_status(address):
    """Return the status of a node, or None if it does not answer."""
    return get_json(f"http://{address}:{OPERATOR_PORT}/status")


def start_node(processes, host, *, platform_url, seeds=(), **settings):
    """Start the node of a host.

    Parameters
    ----------
    processes : Processes
    host : HostPlan
    platform_url : str
    seeds : iterable of str
        Addresses of peers.
    **settings
        Further settings by name.

    Returns
    -------
    str
        Name of the process.
    """
    name = f"node-{host.host_id}"
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
    processes.start(name, ["shallotbridge", "node", *arguments])
    return name


def wait_enforcing(processes, hosts, *, version=1):
    """Wait until the nodes of hosts enforce a version or a higher one."""

    def is_enforcing(host):
        name = f"node-{host.host_id}"
        if not processes.is_running(name):
            raise ProcessError(
                f"{name} ended: {processes.output(name)[-2000:]}"
            )
        status = node_status(host.address)
        return status and status["enforcing"] and status["version"] >= version

    for host in hosts:
        wait_until(
            lambda host=host: is_enforcing(host),
            description=f"{host.host_id} enforcing version {version}",
        )


def run_command(*arguments):
    """Run a shallotbridge command and return its standard output.

    Raises
    ------
    ProcessError
        The command failed.
    """
    done = subprocess.run(
        [sys.executable, "-m", "shallotbridge", *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    if done.returncode != 0:
        raise ProcessError(
            f"{' '.join(map(str, arguments))}: status {done.returncode}: "
            f"{done.stdout}{done.stderr}"
        )
    return done.stdout


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformPlan:
    """The stand-in of the platform and its control endpoint."""

    address: str

    @property
    def url(self):
        """Base URL that nodes read."""
        return f"http://{self.address}:{PLATFORM_PORT}"

    def put(self, path, *, content=None, document=None):
        """Send one control request.

        Raises
        ------
        ProcessError
            The platform did not accept it.
        """
        url = f"http://{self.address}:{PLATFORM_CONTROL_PORT}/control/{path}"
        with httpx.Client(trust_env=False, timeout=READY_SECONDS) as client:
            answer = client.put(url, content=content, json=document)
        if answer.status_code != 200:
            raise ProcessError(f"{url}: {answer.status_code} {answer.text}")
        return answer.json()

    def publish(self, build_directory):
        """Put a build on the platform: the bundles first, the head last."""
        for path in sorted(build_directory.glob("configuration/bundle/*")):
            key = f"configuration/bundle/{path.name}"
            self.put(f"values/{key}", content=path.read_bytes())
        head = build_directory / "configuration" / "head"
        self.put("values/configuration/head", content=head.read_bytes())

    def publish_hosts(self, hosts, *, leaving=()):
        """Put the host lists of all failure domains."""
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
        """Return the counts of the stand-in, or None."""
        return get_json(
            f"http://{self.address}:{PLATFORM_CONTROL_PORT}/control/status"
        )


def start_platform(processes, plan):
    """Start the platform and wait until it answers."""
    processes.start(
        "platform",
        [
            "standins.platform",
            f"--address={plan.address}",
            f"--port={PLATFORM_PORT}",
            f"--control-port={PLATFORM_CONTROL_PORT}",
        ],
    )
    wait_answer(processes, "platform", plan.status)


def start_upstream(processes, host, **options):
    """Start the upstream of a host and wait until it answers.

    Parameters
    ----------
    processes : Processes
    host : HostPlan
    **options
        Options of ``standins.upstream``, such as ``service_ms``.
    """
    name = f"upstream-{host.host_id}"
    flags = [
        f"--{key.replace('_', '-')}={value}" for key, value in options.items()
    ]
    processes.start(
        name, ["standins.upstream", f"--address={host.address}", *flags]
    )
    wait_answer(processes, name, lambda: upstream_record(host))


def wait_answer(processes, name, check):
    """Wait until a running process answers, and return its answer.

    Raises
    ------
    ProcessError
        The process ended or did not answer in time.
    """

    def is_ready():
        if not processes.is_running(name):
            raise ProcessError(
                f"{name} ended: {processes.output(name)[-2000:]}"
            )
        return check()

    return wait_until(is_ready, description=f"{name} answers")


def upstream_record(host):
    """Return what the upstream of a host ran, or None."""
    return get_json(f"http://{host.address}:{UPSTREAM_PORT}/control/ran")
