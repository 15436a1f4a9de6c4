"""Stand-in for the backend servers of a mesh; not part of the product."""

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
    """How an upstream behaves; times are in seconds.

    Attributes
    ----------
    service_seconds : float
        Median of the log-normal service time.
    spread : float
        Standard deviation of its logarithm.
    warm_seconds : float
        Time from ``cold_slots`` to ``slots`` after a start.
    fall_over_seconds : float
        Time of load beyond what a cold upstream bears until it restarts.
    restart_seconds : float
        Time for which a crashed upstream accepts no connection.
    lag_seconds : float
        Age of what the health and load endpoints say.
    late_ratio, crossed_ratio : float
        Shares of answers that come ``late_seconds`` late, or with the id
        and body of another request.
    finish_cancelled_ratio : float
        Share of cancelled requests that run to their end.
    refuses_when_cold : bool
        Refuse what a cold upstream does not bear, instead of trying it.
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
    """Return the bytes of an answer."""
    lines = [b"HTTP/1.1 %d %s" % (status, _REASONS_BY_STATUS[status])]
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers]
    lines.append(b"content-length: %d\r\n\r\n" % len(body))
    return b"\r\n".join(lines) + body


class Upstream:
    """One backend server.

    Parameters
    ----------
    name : str
        Prefix of the instance ids.
    behaviour : Behaviour
    random : random.Random
    is_warm : bool
        Start as if the warm-up were over.
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
        self._lie = {}
        self._past_loads = collections.deque(maxlen=1000)
        self._other_answer = None
        self._began = trio.current_time()
        if is_warm:
            self._began -= behaviour.warm_seconds

    @property
    def instance_id(self):
        """Identifier that changes with each start."""
        return f"{self.name}-{self.starts}"

    def capacity(self):
        """Return how many requests the upstream bears now."""
        behaviour = self.behaviour
        if behaviour.warm_seconds <= 0:
            return float(behaviour.slots)
        warmth = (trio.current_time() - self._began) / behaviour.warm_seconds
        grown = (behaviour.slots - behaviour.cold_slots) * min(1.0, warmth)
        return behaviour.cold_slots + grown

    # Control.

    def leave(self):
        """Refuse new work from now on."""
        self.is_leaving = True
        self._remember()

    def turn_cold(self):
        """Lose all warmth without any sign of it."""
        self._began = trio.current_time()

    def lie(self, answers):
        """Answer with given fields: ``{"health": {...}, "load": {...}}``."""
        self._lie = dict(answers)

    def crash(self):
        """Reset all connections; a new instance starts after a while."""
        self.crashes += 1
        self.starts += 1
        self.is_up = False
        self.is_leaving = False
        self._overloaded_since = None
        self._change_up()
        for scope in self._scopes:
            scope.cancel()
        trio.lowlevel.spawn_system_task(self._restart, self.starts)

    async def _restart(self, start):
        await trio.sleep(self.behaviour.restart_seconds)
        if start == self.starts:
            self._began = trio.current_time()
            self.is_up = True
            self._change_up()

    def _change_up(self):
        self.up_changed.set()
        self.up_changed = trio.Event()
        self._remember()

    def ran(self):
        """Return what was started, and how often."""
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
        """Serve one connection until its end."""
        if not self.is_up:
            await _reset(stream)
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
                        if not await self._answer(stream, request):
                            break
                    nursery.cancel_scope.cancel()
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                # The client went away while an answer was sent to it.
                scope.cancel()
            finally:
                self._scopes.discard(scope)
        if started != self.starts:
            await _reset(stream)
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
                # The end of the connection cancels what runs for it.
                scope.cancel()
                return
            for request in parser.requests:
                await send_requests.send(request)
            parser.requests.clear()

    async def _answer(self, stream, request):
        path = request.target.partition("?")[0]
        if path in ("/health", "/load") or path.startswith("/control/"):
            await stream.send_all(self._answer_control(path, request))
            return request.is_kept_alive
        answer = await self._answer_call(request)
        if answer is None:
            return False
        await stream.send_all(answer)
        return request.is_kept_alive

    def _answer_control(self, path, request):
        status, fields = 200, {}
        action = path.removeprefix("/control/")
        if path == "/health":
            fields = self._lagging()["health"] | self._lie.get("health", {})
        elif path == "/load":
            fields = self._lagging()["load"] | self._lie.get("load", {})
        elif action == "ran":
            fields = self.ran()
        elif request.method == "POST" and action == "leave":
            self.leave()
        elif request.method == "POST" and action == "cold":
            self.turn_cold()
        elif request.method == "POST" and action == "crash":
            self.crash()
        elif request.method == "POST" and action == "lie":
            try:
                self.lie(json.loads(request.body or b"{}"))
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

    def _state(self):
        state = "leaving" if self.is_leaving else "ok"
        if not self.is_up:
            state = "starting"
        return {
            "health": {"state": state, "instance": self.instance_id},
            "load": {"in_use": self.in_use, "slots": self.behaviour.slots},
        }

    def _remember(self):
        if self.behaviour.lag_seconds > 0:
            self._past_loads.append((trio.current_time(), self._state()))

    def _lagging(self):
        now = self._state()
        oldest = trio.current_time() - self.behaviour.lag_seconds
        past = None
        for changed_at, state in self._past_loads:
            if changed_at <= oldest or past is None:
                past = state
        return now if past is None else past

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

    async def _answer_call(self, request):
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
        self._remember()
        try:
            self._watch_overload()
            if (
                request.headers_by_name.get("x-crash") == "1"
                or CRASH_MARK in request.body
            ):
                await trio.sleep(self.behaviour.service_seconds / 2)
                self.crash()
                await trio.sleep_forever()
            is_in_time = await self._work(request)
        finally:
            self.in_use -= 1
            if self.in_use <= self.capacity():
                self._overloaded_since = None
            self._remember()
        if not is_in_time:
            return None
        _count(self._ends_by_request_id, request_id)
        body = f"{request_id} {request.method} {request.target}\n".encode(
            "latin-1"
        )
        return await self._finish(headers, body + request.body)

    async def _work(self, request):
        """Run a request; False if its deadline ends it."""
        behaviour = self.behaviour
        seconds = self._random.lognormvariate(
            math.log(behaviour.service_seconds), behaviour.spread
        )
        # A cold upstream is slower the more it has to bear.
        seconds *= max(1.0, self.in_use / self.capacity())
        finishes = self._random.random() < behaviour.finish_cancelled_ratio
        is_running = trio.current_time()
        with trio.move_on_after(_remaining_seconds(request)) as scope:
            try:
                await trio.sleep(seconds)
            except trio.Cancelled:
                left = is_running + seconds - trio.current_time()
                if finishes and left > 0 and self.is_up:
                    with trio.CancelScope(shield=True):
                        await trio.sleep(left)
                raise
        return not scope.cancelled_caught

    async def _finish(self, headers, body):
        behaviour = self.behaviour
        if self._random.random() < behaviour.late_ratio:
            await trio.sleep(behaviour.late_seconds)
        headers = [*headers, ("x-instance", self.instance_id)]
        own, other = (headers, body), self._other_answer
        self._other_answer = own
        if other is not None and (
            self._random.random() < behaviour.crossed_ratio
        ):
            headers, body = other
        return encode(200, headers, body)

    def _record_start(self, request, request_id):
        _count(self._starts_by_request_id, request_id)
        key = request.headers_by_name.get("idempotency-key")
        if key is not None:
            _count(self._starts_by_key, key)

    def _watch_overload(self):
        """Fall over after too much load while cold."""
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


async def _reset(stream):
    """Close a stream as a process that dies does."""
    if isinstance(stream, trio.SocketStream):
        # Closing with unsent data discarded sends a reset.
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    await trio.aclose_forcefully(stream)


async def serve_upstream(upstream, address, port):
    """Listen for an upstream on TCP whenever it is up, until cancelled."""
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
                # Closes the listeners, so that connections are refused;
                # open connections end by themselves.
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
