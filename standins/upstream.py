"""Simulated backend servers of a mesh; not part of the product."""

import collections
import dataclasses
import functools
import json
import math
import random as random_module
import signal
import socket
import struct
import typing

import httptools
import trio
import typer

MAXIMUM_RECORDS = 500_000
MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
RECEIVE_BYTES = 65536
CRASH_MARK = b"x-crash"
_REASONS_BY_STATUS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    503: b"Service Unavailable",
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Behaviour:
    """Behaviour of a simulated upstream; times are in seconds.

    Attributes
    ----------
    service_seconds : float
        Median of the log-normally distributed service time.
    spread : float
        Standard deviation of the logarithm of the service time.
    warm_seconds : float
        Duration of slow start, in which the capacity grows from
        ``cold_slots`` to ``slots``.
    fall_over_seconds : float
        Time of load above the capacity of a cold upstream after which it
        crashes.
    restart_seconds : float
        Time for which a crashed upstream refuses connections.
    lag_seconds : float
        Age of the data that the health and load endpoints report.
    late_ratio, crossed_ratio : float
        Ratios of responses that are delayed by ``late_seconds``, or that
        carry the id and body of another request.
    finish_cancelled_ratio : float
        Ratio of cancelled requests that run to completion anyway.
    refuses_when_cold : bool
        Whether a cold upstream refuses requests above its capacity instead
        of accepting them.
    """

    slots: int = 6
    cold_slots: int = 1
    service_seconds: float = 0.02
    spread: float = 0.3
    warm_seconds: float = 10.0
    fall_over_seconds: float = 1.0
    restart_seconds: float = 1.0
    lag_seconds: float = 0.0
    late_ratio: float = 0.0
    late_seconds: float = 1.0
    crossed_ratio: float = 0.0
    finish_cancelled_ratio: float = 0.2
    refuses_when_cold: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Request:
    method: str
    target: str
    headers_by_name: typing.Mapping[str, str]
    body: bytes
    is_kept_alive: bool


class _Parser:
    """Collects the requests of one connection."""

    def __init__(self):
        self.requests = []
        self._parser = httptools.HttpRequestParser(self)
        self.on_message_begin()

    def feed(self, data):
        self._parser.feed_data(data)

    def on_message_begin(self):
        self._target = b""
        self._headers = {}
        self._body = bytearray()

    def on_url(self, url):
        self._target += url

    def on_header(self, name, value):
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body):
        self._body += body
        if len(self._body) > MAXIMUM_BODY_BYTES:
            raise httptools.HttpParserError("the body is too large")

    def on_message_complete(self):
        self.requests.append(
            _Request(
                method=self._parser.get_method().decode(),
                target=self._target.decode("latin-1"),
                headers_by_name=self._headers,
                body=bytes(self._body),
                is_kept_alive=self._parser.should_keep_alive(),
            )
        )


def encode(status, headers, body):
    """Return the bytes of a response."""
    lines = [b"HTTP/1.1 %d %s" % (status, _REASONS_BY_STATUS[status])]
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers]
    lines.append(b"content-length: %d\r\n\r\n" % len(body))
    return b"\r\n".join(lines) + body


class Upstream:
    """One simulated backend server.

    Parameters
    ----------
    name : str
        Prefix of its instance ids.
    behaviour : Behaviour
    random : random.Random
    is_warm : bool
        Whether slow start is over from the beginning.
    """

    def __init__(self, *, name, behaviour, random, is_warm=False):
        self.name = name
        self.behaviour = behaviour
        self._random = random
        self.starts = 1
        self.crashes = 0
        self.cold_overloads = 0
        self.refusals = collections.Counter()
        self.in_use = 0
        self.peak_in_use = 0
        self.is_leaving = False
        self.is_up = True
        self.up_changed = trio.Event()
        self._starts_by_key = collections.OrderedDict()
        self._starts_by_request_id = collections.OrderedDict()
        self._ends_by_request_id = collections.OrderedDict()
        self._scopes = set()
        self._overloaded_since = None
        self._overrides = {}
        self._past_reports = collections.deque(maxlen=1000)
        self._previous_response = None
        self._warming_since = trio.current_time()
        if is_warm:
            self._warming_since -= behaviour.warm_seconds

    @property
    def instance_id(self):
        """Identifier that changes with each restart."""
        return f"{self.name}-{self.starts}"

    def capacity(self):
        """Return the number of concurrent requests it can handle now."""
        behaviour = self.behaviour
        if behaviour.warm_seconds <= 0:
            return float(behaviour.slots)
        warm_ratio = (
            trio.current_time() - self._warming_since
        ) / behaviour.warm_seconds
        added = (behaviour.slots - behaviour.cold_slots) * min(1.0, warm_ratio)
        return behaviour.cold_slots + added

    # Control.

    def leave(self):
        """Start draining: refuse new requests."""
        self.is_leaving = True
        self._save_reports()

    def reset_warm_up(self):
        """Restart slow start without a new instance id."""
        self._warming_since = trio.current_time()

    def override_reports(self, overrides):
        """Override reported fields: ``{"health": {...}, "load": {...}}``."""
        self._overrides = dict(overrides)

    def crash(self):
        """Reset all connections; restart after ``restart_seconds``."""
        self.crashes += 1
        self.starts += 1
        self.is_up = False
        self.is_leaving = False
        self._overloaded_since = None
        self._notify_up_changed()
        for scope in self._scopes:
            scope.cancel()
        trio.lowlevel.spawn_system_task(self._restart, self.starts)

    async def _restart(self, start):
        await trio.sleep(self.behaviour.restart_seconds)
        if start == self.starts:
            self._warming_since = trio.current_time()
            self.is_up = True
            self._notify_up_changed()

    def _notify_up_changed(self):
        self.up_changed.set()
        self.up_changed = trio.Event()
        self._save_reports()

    def read_counts(self):
        """Return counts of started and completed requests and of faults."""
        return {
            "by_key": dict(self._starts_by_key),
            "by_request_id": dict(self._starts_by_request_id),
            "completed": dict(self._ends_by_request_id),
            "instance": self.instance_id,
            "crashes": self.crashes,
            "cold_overloads": self.cold_overloads,
            "peak_in_use": self.peak_in_use,
            "refusals": dict(self.refusals),
        }

    # Connections.

    async def handle(self, stream):
        """Serve one connection until it is closed."""
        if not self.is_up:
            await _abort_stream(stream)
            return
        started = self.starts
        send_requests, requests = trio.open_memory_channel(16)
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._read, stream, send_requests, scope
                    )
                    async for request in requests:
                        if not await self._handle_request(stream, request):
                            break
                    nursery.cancel_scope.cancel()
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                # The client disconnected while a response was being sent.
                scope.cancel()
            finally:
                self._scopes.discard(scope)
        if started != self.starts:
            await _abort_stream(stream)
        else:
            await trio.aclose_forcefully(stream)

    async def _read(self, stream, send_requests, scope):
        parser = _Parser()
        while True:
            try:
                data = await stream.receive_some(RECEIVE_BYTES)
                if data:
                    parser.feed(data)
            except (trio.BrokenResourceError, httptools.HttpParserError):
                data = b""
            if not data:
                # The end of the connection cancels its running requests.
                scope.cancel()
                return
            for request in parser.requests:
                await send_requests.send(request)
            parser.requests.clear()

    async def _handle_request(self, stream, request):
        path = request.target.partition("?")[0]
        if path in ("/health", "/load") or path.startswith("/control/"):
            await stream.send_all(self._handle_control(path, request))
            return request.is_kept_alive
        response = await self._handle_call(request)
        if response is None:
            return False
        await stream.send_all(response)
        return request.is_kept_alive

    def _handle_control(self, path, request):
        status, fields = 200, {}
        action = path.removeprefix("/control/")
        if path == "/health":
            fields = self._lagging_reports()["health"] | self._overrides.get(
                "health", {}
            )
        elif path == "/load":
            fields = self._lagging_reports()["load"] | self._overrides.get(
                "load", {}
            )
        elif action == "ran":
            fields = self.read_counts()
        elif request.method == "POST" and action == "leave":
            self.leave()
        elif request.method == "POST" and action == "cold":
            self.reset_warm_up()
        elif request.method == "POST" and action == "crash":
            self.crash()
        elif request.method == "POST" and action == "lie":
            try:
                self.override_reports(json.loads(request.body or b"{}"))
            except ValueError:
                status = 400
        else:
            status = 404
        body = json.dumps(fields).encode()
        headers = (
            ("content-type", "application/json"),
            ("x-instance", self.instance_id),
        )
        return encode(status, headers, body)

    def _make_reports(self):
        state = "leaving" if self.is_leaving else "ok"
        if not self.is_up:
            state = "starting"
        return {
            "health": {"state": state, "instance": self.instance_id},
            "load": {"in_use": self.in_use, "slots": self.behaviour.slots},
        }

    def _save_reports(self):
        if self.behaviour.lag_seconds > 0:
            self._past_reports.append(
                (trio.current_time(), self._make_reports())
            )

    def _lagging_reports(self):
        """Return the reports as they were ``lag_seconds`` ago."""
        current_reports = self._make_reports()
        cutoff = trio.current_time() - self.behaviour.lag_seconds
        past_reports = None
        for changed_at, reports in self._past_reports:
            if changed_at <= cutoff or past_reports is None:
                past_reports = reports
        return current_reports if past_reports is None else past_reports

    # Requests.

    def _refusal(self, request):
        if self.is_leaving:
            return "leaving"
        if _remaining_seconds(request) <= 0:
            return "deadline"
        if self.in_use >= self.behaviour.slots:
            return "overloaded"
        if self.behaviour.refuses_when_cold and (
            self.in_use >= math.floor(self.capacity())
        ):
            return "cold"
        return None

    async def _handle_call(self, request):
        request_id = request.headers_by_name.get("x-request-id", "")
        headers = [("x-request-id", request_id)]
        reason = self._refusal(request)
        if reason is not None:
            self.refusals[reason] += 1
            headers += [("x-instance", self.instance_id)]
            headers += [("x-refused", reason)]
            return encode(503, headers, b"")
        self._record_start(request, request_id)
        self.in_use += 1
        self.peak_in_use = max(self.peak_in_use, self.in_use)
        self._save_reports()
        try:
            self._crash_if_overloaded()
            if (
                request.headers_by_name.get("x-crash") == "1"
                or CRASH_MARK in request.body
            ):
                await trio.sleep(self.behaviour.service_seconds / 2)
                self.crash()
                await trio.sleep_forever()
            is_finished = await self._run_request(request)
        finally:
            self.in_use -= 1
            if self.in_use <= self.capacity():
                self._overloaded_since = None
            self._save_reports()
        if not is_finished:
            return None
        _count(self._ends_by_request_id, request_id)
        body = f"{request_id} {request.method} {request.target}\n".encode(
            "latin-1"
        )
        return await self._encode_response(headers, body + request.body)

    async def _run_request(self, request):
        """Run a request; return whether it finished before its deadline."""
        behaviour = self.behaviour
        seconds = self._random.lognormvariate(
            math.log(behaviour.service_seconds), behaviour.spread
        )
        # Above the capacity, the service time grows with the load.
        seconds *= max(1.0, self.in_use / self.capacity())
        finishes_anyway = (
            self._random.random() < behaviour.finish_cancelled_ratio
        )
        started_at = trio.current_time()
        with trio.move_on_after(_remaining_seconds(request)) as scope:
            try:
                await trio.sleep(seconds)
            except trio.Cancelled:
                remaining_seconds = started_at + seconds - trio.current_time()
                if finishes_anyway and remaining_seconds > 0 and self.is_up:
                    with trio.CancelScope(shield=True):
                        await trio.sleep(remaining_seconds)
                raise
        return not scope.cancelled_caught

    async def _encode_response(self, headers, body):
        behaviour = self.behaviour
        if self._random.random() < behaviour.late_ratio:
            await trio.sleep(behaviour.late_seconds)
        headers = [*headers, ("x-instance", self.instance_id)]
        response, previous_response = (headers, body), self._previous_response
        self._previous_response = response
        if previous_response is not None and (
            self._random.random() < behaviour.crossed_ratio
        ):
            headers, body = previous_response
        return encode(200, headers, body)

    def _record_start(self, request, request_id):
        _count(self._starts_by_request_id, request_id)
        key = request.headers_by_name.get("idempotency-key")
        if key is not None:
            _count(self._starts_by_key, key)

    def _crash_if_overloaded(self):
        """Crash after ``fall_over_seconds`` of load above the capacity."""
        now = trio.current_time()
        if self.in_use <= math.ceil(self.capacity()):
            return
        self.cold_overloads += 1
        if self._overloaded_since is None:
            self._overloaded_since = now
        elif now - self._overloaded_since > self.behaviour.fall_over_seconds:
            self.crash()


def _remaining_seconds(request):
    value = request.headers_by_name.get("x-deadline-ms")
    try:
        return math.inf if value is None else float(value) / 1000
    except ValueError:
        return math.inf


def _count(counts, name):
    counts[name] = counts.get(name, 0) + 1
    if len(counts) > MAXIMUM_RECORDS:
        counts.popitem(last=False)


async def _abort_stream(stream):
    """Close a stream the way a crashing process does."""
    if isinstance(stream, trio.SocketStream):
        # With a linger time of 0, closing sends a TCP reset.
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    await trio.aclose_forcefully(stream)


async def serve_upstream(upstream, address, port):
    """Accept TCP connections while an upstream is up, until cancelled."""
    async with trio.open_nursery() as connections:
        while True:
            up_changed = upstream.up_changed
            if not upstream.is_up:
                await up_changed.wait()
                continue
            listeners = await trio.open_tcp_listeners(
                port, host=address, backlog=512
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    functools.partial(
                        trio.serve_listeners,
                        upstream.handle,
                        listeners,
                        handler_nursery=connections,
                    )
                )
                await up_changed.wait()
                # Closes the listeners, so that new connections are refused;
                # the handlers close open connections themselves.
                nursery.cancel_scope.cancel()


async def _run(addresses, port, behaviour, seed, is_warm):
    upstreams = []
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            for number, address in enumerate(addresses):
                upstream = Upstream(
                    name=address,
                    behaviour=behaviour,
                    random=random_module.Random(seed + number),
                    is_warm=is_warm,
                )
                upstreams.append(upstream)
                nursery.start_soon(serve_upstream, upstream, address, port)
            async for _ in signals:
                break
            for upstream in upstreams:
                upstream.leave()
            with trio.move_on_after(5.0):
                while any(upstream.in_use for upstream in upstreams):
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()


def main(
    address: list[str] = typer.Option(..., help="Repeat for several."),
    port: int = 8080,
    slots: int = 6,
    cold_slots: int = 1,
    service_ms: float = 20.0,
    spread: float = 0.3,
    warm_seconds: float = 10.0,
    fall_over_seconds: float = 1.0,
    restart_seconds: float = 1.0,
    lag_seconds: float = 0.0,
    late_ratio: float = 0.0,
    late_seconds: float = 1.0,
    crossed_ratio: float = 0.0,
    finish_cancelled_ratio: float = 0.2,
    refuses_when_cold: bool = False,
    seed: int = 1,
    warm: bool = False,
):
    """Run one upstream on each address until SIGTERM."""
    behaviour = Behaviour(
        slots=slots,
        cold_slots=cold_slots,
        service_seconds=service_ms / 1000,
        spread=spread,
        warm_seconds=warm_seconds,
        fall_over_seconds=fall_over_seconds,
        restart_seconds=restart_seconds,
        lag_seconds=lag_seconds,
        late_ratio=late_ratio,
        late_seconds=late_seconds,
        crossed_ratio=crossed_ratio,
        finish_cancelled_ratio=finish_cancelled_ratio,
        refuses_when_cold=refuses_when_cold,
    )
    trio.run(_run, address, port, behaviour, seed, warm)


if __name__ == "__main__":
    typer.run(main)
