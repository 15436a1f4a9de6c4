"""Entry node: serves callers' requests through owner nodes."""

import dataclasses

import trio

from . import decisions
from . import errors
from . import http1_encoding
from . import keys as key_window
from . import model
from . import protocol
from . import serving

# Attempts of one request. Each further attempt follows the outcome "not run"
# or is a retry of an idempotent request.
MAXIMUM_ATTEMPTS = 3
_CALLER_DISCONNECTED = "caller left"
# Failures caused by the request. They say nothing about the health of the
# host, so the owner selector does not avoid it.
_REQUEST_ERRORS = (
    errors.DeadlineBeforeSendError,
    errors.FramingError,
    errors.KeySeenError,
    errors.QuarantinedError,
)


class EntryServer:
    """Serves callers.

    Parameters
    ----------
    own_host : model.Host
    store : object
        Its attribute ``configuration`` is the active one, or None.
    find_route : callable
        ``find_route(configuration, method, target)``, as in ``routing``.
    owner_selector : owner_selection.OwnerSelector
        ``choose(call, excluded)`` returns a host and a description of the
        choice with ``candidates`` and ``reason``.
    forwarder : forwarding.Forwarder
    run_local : callable
        ``await run_local(call)`` of the node's own ``OwnerServer``.
    retry_budget_of : callable
        ``retry_budget_of(service_name)`` returns a ``RetryBudget``.
    random : random.Random
        Generates request ids.
    report_unknown_outcome : callable, optional
        ``report_unknown_outcome`` of ``key_hints.KeyHints``.
    wait_until_synced : callable, optional
        ``await wait_until_synced()`` returns once the node's state is up to
        date after a pause of the process.
    on_request_completed : callable
        ``on_request_completed(error, seconds, upstream_seconds)`` is called
        after each response, for metrics. On success ``error`` is None and
        ``upstream_seconds`` is the upstream's response time, or None if the
        owner node did not report it.
    record : callable
        ``record(action, **fields)`` writes an entry of the decision log.
    """

    def __init__(
        self,
        *,
        own_host,
        store,
        find_route,
        owner_selector,
        forwarder,
        run_local,
        retry_budget_of,
        random,
        report_unknown_outcome=None,
        wait_until_synced=None,
        on_request_completed=lambda error, seconds, upstream_seconds: None,
        record=decisions.record,
    ):
        self._own_host = own_host
        self._store = store
        self._find_route = find_route
        self._owner_selector = owner_selector
        self._forwarder = forwarder
        self._run_local = run_local
        self._retry_budget_of = retry_budget_of
        self._random = random
        self._report_unknown_outcome = report_unknown_outcome
        self._wait_until_synced = wait_until_synced
        self._on_request_completed = on_request_completed
        self._record = record
        self._server = serving.ConnectionServer(
            handle_request=self._handle_request,
            handle_framing_error=self._handle_framing_error,
        )

    async def handle(self, stream):
        """Serve a caller's connection until it is closed."""
        await self._server.handle(stream)

    def begin_drain(self):
        """Close each connection after its next response, or soon if idle."""
        self._server.begin_drain()

    async def wait_idle(self):
        """Wait until a drain has closed all callers' connections."""
        await self._server.wait_idle()

    def _new_request_id(self):
        return f"{self._random.getrandbits(64):016x}"

    async def _handle_request(self, request):
        """Return the response and a callback to call after it was sent."""
        started = trio.current_time()
        trace = _RoutingTrace()
        call = None
        request_id = None
        failure = None
        upstream_seconds = None
        try:
            request_id = protocol.read_request_id(request)
            if request_id is None:
                request_id = self._new_request_id()
            if self._wait_until_synced is not None:
                await self._wait_until_synced()
            call = self._build_call(request, request_id, started)
            response = await self._send_with_retries(call, trace)
            upstream_seconds = _read_upstream_seconds(response)
            response = self._build_response(call, response)
        except errors.CallError as error:
            response = self._build_error_response(error, call, request_id)
            failure = error
        except trio.Cancelled:
            trace.end_attempt(
                outcome=errors.Outcome.UNKNOWN, ended=_CALLER_DISCONNECTED
            )
            self._write_log(trace, call)
            raise

        def finish():
            self._write_log(trace, call)
            self._on_request_completed(
                failure, trio.current_time() - started, upstream_seconds
            )

        return response, finish

    def _build_call(self, request, request_id, received_at):
        attempt = protocol.read_attempt(request)
        retries_left = protocol.read_retries_left(request)
        idempotency_key = protocol.read_idempotency_key(request)
        milliseconds = protocol.read_number(
            request,
            protocol.DEADLINE,
            minimum=1,
            maximum=protocol.MAXIMUM_DEADLINE_MS,
            default=protocol.MAXIMUM_DEADLINE_MS,
        )
        configuration = self._store.configuration
        if configuration is None:
            raise errors.NoConfigurationError(
                f"{self._own_host.host_id} has no configuration yet"
            )
        route = self._find_route(configuration, request.method, request.target)
        seconds = min(milliseconds / 1000, route.deadline_seconds)
        return model.Call(
            request=request,
            request_id=request_id,
            route=route,
            configuration=configuration,
            deadline=received_at + seconds,
            retries_left=retries_left,
            attempt=attempt,
            idempotency_key=idempotency_key,
        )

    async def _send_with_retries(self, call, trace):
        """Send a call until it gets a response or must not be sent again.

        After an attempt with an unknown outcome, the caller never gets the
        "not run" of a later attempt, because the first one may have run.
        """
        budget = self._retry_budget_of(call.route.service)
        budget.on_request(call.route.retry_ratio)
        excluded = set()
        last_error = None
        unknown_error = None
        for attempt in range(1, MAXIMUM_ATTEMPTS + 1):
            if trio.current_time() >= call.deadline:
                last_error = last_error or errors.DeadlineBeforeSendError(
                    "the deadline passed before an owner node was chosen"
                )
                break
            try:
                host, choice = self._owner_selector.choose(call, excluded)
            except errors.CallError as error:
                trace.begin_attempt(attempt, None, None)
                trace.end_attempt(error=error)
                last_error = last_error or error
                break
            trace.begin_attempt(attempt, host, choice)
            try:
                response = await self._send_attempt(host, call)
            except errors.CallError as error:
                trace.end_attempt(error=error)
                last_error = error
                excluded.add(host.host_id)
                if error.outcome is errors.Outcome.UNKNOWN:
                    may_retry = (
                        call.route.is_idempotent
                        and unknown_error is None
                        and call.retries_left > 0
                        and attempt < MAXIMUM_ATTEMPTS
                        and trio.current_time() < call.deadline
                        and budget.try_spend()
                    )
                    unknown_error = error
                    if not may_retry:
                        break
                    call = dataclasses.replace(
                        call,
                        attempt=call.attempt + 1,
                        retries_left=call.retries_left - 1,
                    )
                elif not error.is_retry_safe:
                    break
            else:
                trace.end_attempt(outcome=errors.Outcome.RUN)
                return response
        if unknown_error is not None:
            await self._report_unknown_key(call, host, unknown_error)
        raise unknown_error or last_error

    async def _report_unknown_key(self, call, owner, error):
        """Report the key of a call with an unknown outcome.

        The next owners of the key get the report before the caller can
        retry. An owner node that reported the failure itself, or this node,
        has the key already.
        """
        if (
            self._report_unknown_outcome is not None
            and key_window.needs_key_check(call)
            and not error.is_from_owner
            and owner.host_id != self._own_host.host_id
        ):
            await self._report_unknown_outcome(call, owner)

    async def _send_attempt(self, host, call):
        """Send a call to one owner node and update the owner selector."""
        owner_selector = self._owner_selector
        host_id = host.host_id
        owner_selector.on_sent(host_id)
        try:
            if host_id == self._own_host.host_id:
                response = await self._run_local(call)
            else:
                response = await self._forwarder.forward(host, call)
        except errors.CallError as error:
            if isinstance(error, errors.UpstreamUnreachableError):
                owner_selector.on_failed(host_id, error)
            elif isinstance(error, _REQUEST_ERRORS):
                pass
            elif error.outcome is errors.Outcome.NOT_RUN:
                owner_selector.on_refused(host_id, error, error.free)
            else:
                owner_selector.on_failed(host_id, error)
            raise
        finally:
            owner_selector.on_ended(host_id)
        owner_selector.on_response(host_id, protocol.read_free_slots(response))
        return response

    def _build_response(self, call, response):
        retry = "safe" if call.route.is_idempotent else "unsafe"
        return dataclasses.replace(
            response,
            headers=(
                *protocol.strip_protocol_headers(
                    http1_encoding.end_to_end_headers(response.headers)
                ),
                *self._protocol_headers(
                    call, call.request_id, errors.Outcome.RUN, retry
                ),
            ),
        )

    def _build_error_response(self, error, call, request_id):
        is_safe = error.is_retry_safe or (
            error.outcome is errors.Outcome.UNKNOWN
            and call is not None
            and call.route.is_idempotent
        )
        headers = self._protocol_headers(
            call,
            request_id or self._new_request_id(),
            error.outcome,
            "safe" if is_safe else "unsafe",
        )
        headers.append(model.Header(name=protocol.CODE, value=error.code))
        return protocol.failure_response(error, headers=headers)

    def _handle_framing_error(self, error):
        return self._build_error_response(error, None, None)

    def _protocol_headers(self, call, request_id, outcome, retry):
        if call is not None:
            configuration = call.configuration
        else:
            configuration = self._store.configuration
        version = configuration.head.version if configuration else 0
        return [
            model.Header(name=protocol.REQUEST_ID, value=request_id),
            model.Header(name=protocol.OUTCOME, value=str(outcome)),
            model.Header(name=protocol.RETRY, value=retry),
            model.Header(name=protocol.VERSION, value=str(version)),
        ]

    def _write_log(self, trace, call):
        for fields in trace.entries:
            self._record(
                "route",
                request_id=call.request_id,
                service=call.route.service,
                route=call.route.name,
                version=call.configuration.head.version,
                **fields,
            )


def _read_upstream_seconds(response):
    """Return the upstream's response time that an owner node measured.

    In seconds, or None if the response has none.
    """
    value = response.header(protocol.UPSTREAM_TIME)
    return int(value) / 1e6 if value and value.isdecimal() else None


class _RoutingTrace:
    """Routing decisions of one call, logged after its response."""

    __slots__ = ("entries", "_attempt_started_at")

    def __init__(self):
        self.entries = []
        self._attempt_started_at = None

    def begin_attempt(self, attempt, host, choice):
        self._attempt_started_at = trio.current_time()
        self.entries.append(
            {
                "chosen": None if host is None else host.host_id,
                "candidates": len(choice.candidates) if choice else 0,
                "reason": choice.reason if choice else "no candidate",
                "attempt": attempt,
            }
        )

    def end_attempt(self, *, error=None, outcome=None, ended=None):
        if self._attempt_started_at is None:
            return
        entry = self.entries[-1]
        if error is not None:
            entry["outcome"] = str(error.outcome)
            entry["code"] = error.code
        else:
            entry["outcome"] = str(outcome)
            entry["code"] = None
        if ended is not None:
            entry["ended"] = ended
        seconds = trio.current_time() - self._attempt_started_at
        entry["duration_ms"] = round(seconds * 1000, 3)
        self._attempt_started_at = None
