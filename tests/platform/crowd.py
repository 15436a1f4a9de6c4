"""Node processes on loopback, and clients that nobody controls."""

import contextlib
import functools
import pathlib
import socket
import time

import trio

from bench import processes
from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import model
from shallotbridge.transports import tcp
from standins import store as store_standin

# Descriptors of the process that are reserved for files.
FILE_DESCRIPTORS_RESERVED = 200
# Size of the answer to a request whose path ends so; others get the size of
# their body.
ANSWER_BYTES_BY_ENDING = {"large": 4 * 1024 * 1024, "medium": 60_000}
_SERVICES = ("near", "far")
_PIECE_BYTES = 256 * 1024
# How long a client tries to send before it only holds its connection open.
_SEND_SECONDS = 4.0
_ORDINARY_SECONDS = 60.0
# How long a stopped node may take to end: it drains for its grace period, 6 s,
# but does not wait until the bodies of its clients time out, 30 s.
_STOP_SECONDS = 20.0
# Time between the bytes of clients that send a few now and then.
_TRICKLE_SECONDS = 0.25
_SETTINGS = """
[self]
node_name = "{service}"
ip_address = "{address}"
zone = "a"
application_address = "{address}:8080"
service = "{service}"
[self.limits]
memory_mb = {memory_mb}
file_descriptors = {descriptors}
[network]
internal_port_range = [7380, 7380]
[network.listen_addresses]
outbound = "{address}:7400"
ready = "{address}:7403"
[platform.platform]
address = "{store}:7500"
[terms.bounds]
grace_period = "6s"
config_apply = "2000ms"
cold_multiplier = 1.5
cold_slack = 5
retry_budget_ratio = 0.2
budget_window = "10s"
retry_budget_slack = 56
"""


class Mesh:
    """Two hosts: one gets the requests, the other has the far upstream.

    Attributes
    ----------
    peak_bytes_by_service : dict
        Largest sum of resident memory and unread received bytes seen.
    peak_descriptors_by_service : dict
    """

    def __init__(
        self, *, memory_mb, descriptors, body_bytes, seconds, entry_mb=None
    ):
        self._memory_mb_by_service = {
            "near": entry_mb or memory_mb,
            "far": memory_mb,
        }
        self._descriptors = descriptors
        self._body_bytes = body_bytes
        self._seconds = seconds
        prefix = processes.find_free_network()
        self._store_address = f"{prefix}.0.1"
        self._address_by_service = {
            service: f"{prefix}.1.{number}"
            for number, service in enumerate(_SERVICES, start=1)
        }
        self.address = self._address_by_service["near"]
        self._processes_by_service = {}
        self._process_manager = None
        self._state = None
        self._nursery = None
        self.peak_bytes_by_service = dict.fromkeys(_SERVICES, 0)
        self.peak_descriptors_by_service = dict.fromkeys(_SERVICES, 0)

    async def start(self, nursery, process_manager):
        self._nursery = nursery
        self._process_manager = process_manager
        state = self._state = store_standin.StoreState()
        await nursery.start(
            tcp.serve,
            self._store_address,
            7500,
            store_standin.make_handler(state.handle_request),
        )
        state.put("op/config", self._configuration())
        for service, address in self._address_by_service.items():
            await nursery.start(
                tcp.serve,
                address,
                8080,
                functools.partial(self._serve_upstream, f"i-{service}"),
            )
            state.put(f"servers/i-{service}", _entry(service, address))
            settings = process_manager.directory / f"{service}.toml"
            settings.write_text(
                _SETTINGS.format(
                    service=service,
                    address=address,
                    memory_mb=self._memory_mb_by_service[service],
                    descriptors=self._descriptors,
                    store=self._store_address,
                )
            )
            self._start_node(service)
        for service in _SERVICES:
            await self.send_ordinary(f"/{service}/")
        nursery.start_soon(self._watch)

    def _start_node(self, service):
        settings = self._process_manager.directory / f"{service}.toml"
        self._processes_by_service[service] = self._process_manager.start(
            service,
            ["shallotbridge.platform"],
            environment={"SHALLOTBRIDGE_SETTINGS": str(settings)},
        )

    async def restart(self, service):
        """Kill a node and start it again."""
        process = self._processes_by_service[service]
        process.kill()
        while process.poll() is None:
            await trio.sleep(0.05)
        self._start_node(service)

    def change_limits(self, version, body_bytes):
        """Publish a configuration with another limit of bodies."""
        self._body_bytes = body_bytes
        self._state.put("op/config", self._configuration(version))

    def _configuration(self, version=1):
        return {
            "version": version,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": self._body_bytes,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
            "listeners": [
                {
                    "host": "shop.example",
                    "rules": [
                        {
                            "name": service,
                            "kind": "non_idempotent",
                            "target_latency": "8000ms",
                            "priority": 1,
                            "match": {"path_prefix": f"/{service}/"},
                            "action": {
                                "service": service,
                                "timeout": "10000ms",
                                "max_attempts": 2,
                            },
                        }
                        for service in _SERVICES
                    ],
                }
            ],
            "clusters": [
                {
                    "name": service,
                    "health_check_path": "/health",
                    "max_connections": 110,
                    "cold_start": "0s",
                    "cold_per_s": 1000.0,
                }
                for service in _SERVICES
            ],
        }

    async def _serve_upstream(self, instance_id, stream):
        reader = http1.RequestReader(
            stream=stream, maximum_body_bytes=self._body_bytes
        )
        while await reader.wait_request():
            request = await reader.read()
            headers = {"instance-id": instance_id, "server-signature": "s"}
            if request.header("attempt-id"):
                headers["attempt-id"] = request.header("attempt-id")
                if request.body:
                    await trio.sleep(self._seconds)
            body = str(len(request.body)).encode()
            ending = request.target.rpartition("/")[2]
            if ending in ANSWER_BYTES_BY_ENDING:
                body = bytes(ANSWER_BYTES_BY_ENDING[ending])
            response = model.Response(
                status=200,
                headers=tuple(
                    model.Header(name=name, value=value)
                    for name, value in headers.items()
                ),
                body=body,
            )
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(http1_encoding.encode_response(response))

    async def _watch(self):
        """Sample what the platform counts; peaks between samples are lost."""
        while True:
            for service, process in self._processes_by_service.items():
                if process.poll() is None:
                    unread = _unread_bytes(self._address_by_service[service])
                    self.peak_bytes_by_service[service] = max(
                        self.peak_bytes_by_service[service],
                        processes.read_memory_bytes(process.pid, "VmRSS")
                        + unread,
                        processes.read_memory_bytes(process.pid, "VmHWM"),
                    )
                    self.peak_descriptors_by_service[service] = max(
                        self.peak_descriptors_by_service[service],
                        len(
                            list(
                                pathlib.Path(
                                    f"/proc/{process.pid}/fd"
                                ).iterdir()
                            )
                        ),
                    )
            await trio.sleep(0.02)

    async def send_ordinary(self, path, body=b""):
        """Send a request until it is answered; return the answer's body."""
        deadline = time.monotonic() + _ORDINARY_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                status, answer = await self._send_one(path, body)
                if status == 200:
                    return answer
            await trio.sleep(0.1)
        raise AssertionError(f"{path} was not answered")

    async def _send_one(self, path, body):
        stream = await trio.open_tcp_stream(self.address, 7400)
        async with stream:
            return await self._exchange(
                stream,
                (head(path, f"content-length: {len(body)}"), body),
            )

    async def _exchange(self, stream, pieces):
        """Send a request; return the status and the body of its answer.

        The status is None if there was no answer. The stand-in answers with
        short bodies only to these requests.
        """
        with trio.move_on_after(_ORDINARY_SECONDS / 2):
            for piece in pieces:
                await stream.send_all(piece)
            received = b""
            while data := await stream.receive_some():
                received += data
                if received.count(b"\r\n\r\n"):
                    _, _, answer = received.partition(b"\r\n\r\n")
                    return int(received.split()[1]), answer
        return None, b""

    async def send_series(self, requests):
        """Send requests on one connection, each after the last answer.

        Parameters
        ----------
        requests : iterable of iterable of bytes

        Returns
        -------
        list of (int or None, bytes)
            Status and body of each answer until the connection is closed or
            the client gives up.
        """
        answers = []
        client = trio.socket.socket()
        with (
            client,
            contextlib.suppress(OSError),
            trio.move_on_after(_ORDINARY_SECONDS),
        ):
            await client.connect((self.address, 7400))
            stream = _PlainStream(client)
            for pieces in requests:
                answers.append(await self._exchange(stream, pieces))
        return answers

    def send_signal(self, service, number):
        """Send a signal to a node."""
        self._processes_by_service[service].send_signal(number)

    async def wait_stopped(self, service):
        """Return the exit status of a node that was told to stop.

        The status is None if the node still runs after a long time.
        """
        process = self._processes_by_service[service]
        with trio.move_on_after(_STOP_SECONDS):
            while process.poll() is None:
                await trio.sleep(0.1)
        return process.poll()

    async def crowd(self, count, pieces_of):
        """Let clients send pieces, each on its own connection, and stay.

        Parameters
        ----------
        count : int
        pieces_of : callable
            ``pieces_of(number)`` yields the bytes to send.
        """
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._send_pieces, pieces_of(number))

    async def _send_pieces(self, pieces):
        """Send pieces on a connection that stays open until the mesh ends."""
        client = trio.socket.socket()
        # The client must not take many bytes of an answer that it ignores.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._nursery.start_soon(_hold, client)
        with trio.move_on_after(_SEND_SECONDS):
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                await client.connect((self.address, 7400))
                stream = trio.SocketStream(client)
                for piece in pieces:
                    await stream.send_all(piece)

    def keep_sending(self, count, pieces_of):
        """Let clients send pieces again and again until the mesh ends.

        Parameters
        ----------
        count : int
        pieces_of : callable
            ``pieces_of(number)`` yields the bytes to send on one connection.
        """
        for number in range(count):
            self._nursery.start_soon(self._keep_sending, pieces_of, number)

    async def _keep_sending(self, pieces_of, number):
        while True:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                stream = await trio.open_tcp_stream(self.address, 7400)
                async with stream:
                    for piece in pieces_of(number):
                        await stream.send_all(piece)
            await trio.sleep(_TRICKLE_SECONDS)

    def trickle(self, count, pieces):
        """Let clients send pieces, then a byte now and then, to the end.

        They connect again when the node closes their connection.
        """
        pieces = tuple(pieces)
        for _ in range(count):
            self._nursery.start_soon(self._trickle, pieces)

    async def _trickle(self, pieces):
        while True:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                stream = await trio.open_tcp_stream(self.address, 7400)
                async with stream:
                    for piece in pieces:
                        await stream.send_all(piece)
                    while True:
                        await trio.sleep(_TRICKLE_SECONDS)
                        await stream.send_all(b"x")
            await trio.sleep(_TRICKLE_SECONDS)

    def check(self):
        """Fail if a process ended or exceeded what its settings allow."""
        for service, process in self._processes_by_service.items():
            assert process.poll() is None, f"{service} ended"
            peak = max(
                self.peak_bytes_by_service[service],
                processes.read_memory_bytes(process.pid, "VmHWM"),
            )
            descriptors = self.peak_descriptors_by_service[service]
            print(f"{service}: {peak} bytes, {descriptors} descriptors")
            assert peak <= self._memory_mb_by_service[service] * 1_000_000
            assert descriptors <= self._descriptors - FILE_DESCRIPTORS_RESERVED


class _PlainStream:
    """A stream without the socket options of ``trio.SocketStream``.

    Those make the kernel send smaller segments than most clients do.
    """

    def __init__(self, client):
        self._client = client

    async def send_all(self, data):
        data = memoryview(data)
        while data:
            data = data[await self._client.send(data) :]

    async def receive_some(self):
        return await self._client.recv(65536)


async def _hold(client):
    try:
        await trio.sleep_forever()
    finally:
        client.close()


def head(path, *fields):
    """Return the head of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "host: shop.example",
        "attempt-id: a-1",
        "deadline-remaining: 10000",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def sized(path, size, *, is_whole=False):
    """Yield a body that stops 100 bytes before its end, or all of it."""
    yield head(path, f"content-length: {size}")
    left = size if is_whole else size - 100
    while left > 0:
        yield bytes(min(left, _PIECE_BYTES))
        left -= _PIECE_BYTES


def chunked(path, size, chunk_bytes, *, is_whole=False, content=b"x"):
    """Yield a chunked body without its end, or all of it.

    The body repeats the content; its length divides that of a chunk.
    """
    chunk = b"%x\r\n%b\r\n" % (
        chunk_bytes,
        content * (chunk_bytes // len(content)),
    )
    repeated = max(1, _PIECE_BYTES // len(chunk))
    left = size // chunk_bytes
    yield head(path, "transfer-encoding: chunked")
    while left > 0:
        yield chunk * min(left, repeated)
        left -= repeated
    if is_whole:
        yield b"0\r\n\r\n"


def _entry(service, address):
    return {
        "address": f"{address}:8080",
        "information": {
            "service": service,
            "version": "v1",
            "zone": "a",
            "slots": 12,
        },
        "status": {"state": "ready", "sequence": 1, "cold_remaining": "0ms"},
        "born": 1_700_000_000_000,
    }


def _unread_bytes(address):
    """Return the bytes that the kernel holds for the sockets of a host."""
    number = int.from_bytes(socket.inet_aton(address), "little")
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # The upstream's port belongs to this process, listeners to none.
        local = fields[1].split(":")
        if (
            int(local[0], 16) == number
            and int(local[1], 16) != 8080
            and fields[3] != "0A"
        ):
            total += int(fields[4].split(":")[1], 16)
    return total


@contextlib.asynccontextmanager
async def start_mesh(**options):
    """Start a mesh; end all its processes at the end of the block."""
    with processes.running_processes() as process_manager:
        async with trio.open_nursery() as nursery:
            mesh = Mesh(**options)
            await mesh.start(nursery, process_manager)
            yield mesh
            nursery.cancel_scope.cancel()
