"""The entry node: from a caller's request to its whole answer."""

import dataclasses

import trio

from . import decisions
from . import errors
from . import http1_encoding
from . import keys as key_window
from . import model
from . import protocol
from . import serving

# Sendings of one request, each after a certain "not run".
MAXIMUM_ATTEMPTS = 3
_CALLER_LEFT = "caller left"
# Failures that lie in the request and say nothing about the host, which
# therefore is not avoided for them.
_ERRORS_OF_THE_REQUEST = (
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
        With ``configuration`` in force, or None.
    find_route : callable
        ``find_route(configuration, method, target)``, as in ``routing``.
    directory : directory.OwnerDirectory
        ``choose(call, excluded)`` returns a host and how it was chosen,
        with ``candidates`` and ``reason``.
    forwarder : forwarding.Forwarder
    run_local : callable
        ``await run_local(call)`` of the node's own ``OwnerServer``.
    retry_budget_of : callable
        ``retry_budget_of(service_name)`` returns a ``RetryBudget``.
    random : random.Random
        Makes request ids.
    report_unknown : callable, optional
        ``report_unknown`` of ``key_hints.KeyHints``.
    wait_fresh : callable, optional
        ``await wait_fresh()`` returns once the node's knowledge is fresh
        after a pause of the process.
    on_answered : callable
        ``on_answered(error, seconds, upstream_seconds)`` for metrics; the
        error is None and the last one a number if an upstream answered.
    record : callable
        ``record(action, **fields)`` writes the decision log.
    """

    def __init__(
        self,
        *,
        own_host,
        store,
        find_route,
        directory,
        forwarder,
        run_local,
        retry_budget_of,
        random,
        report_unknown=None,
        wait_fresh=None,
        on_answered=lambda error, seconds, upstream_seconds: None,
        record=decisions.record,
    ):
        self._own_host = own_host
        self._store = store
        self._find_route = find_route
        self._directory = directory
        self._forwarder = forwarder
        self._run_local = run_local
        self._retry_budget_of = retry_budget_of
        self._random = random
        self._report_unknown = report_unknown
        self._wait_fresh = wait_fresh
        self._on_answered = on_answered
        self._record = record
        self._server = serving.ConnectionServer(
            answer=self._answer, refuse=self._refuse
        )

    async def handle(self, stream):
        """Serve a caller's connection until it ends."""
        await self._server.handle(stream)

    def begin_drain(self):
        """End each connection after its next answer, or soon if idle."""
        self._server.begin_drain()

    async def wait_idle(self):
        """Wait until a drain has ended all callers' connections."""
        await self._server.wait_idle()

    def _new_request_id(self):
        return f"{self._random.getrandbits(64):016x}"

    async def _answer(self, request):
        """Return the response to a request and what to do after it."""
        started = trio.current_time()
        trace = _Trace()
        call = None
        request_id = None
        failure = None
        upstream_seconds = None
        try:
            request_id = protocol.read_request_id(request)
            if request_id is None:
                request_id = self._new_request_id()
            if self._wait_fresh is not None:
                await self._wait_fresh()
            call = self._call_of(request, request_id, started)
            response = await self._run(call, trace)
            upstream_seconds = _upstream_seconds(response)
            response = self._success(call, response)
        except errors.CallError as error:
            response = self._failure(error, call, request_id)
            failure = error
        except trio.Cancelled:
            trace.end(outcome=errors.Outcome.UNKNOWN, ended=_CALLER_LEFT)
            self._write(trace, call)
            raise

        def finish():
            self._write(trace, call)
            self._on_answered(
                failure, trio.current_time() - started, upstream_seconds
            )

        return response, finish

    def _call_of(self, request, request_id, now):
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
            deadline=now + seconds,
            retries_left=retries_left,
            attempt=attempt,
            idempotency_key=idempotency_key,
        )

    async def _run(self, call, trace):
        """Send a call until it has an answer or must not be sent again.

        Once the outcome of one sending is unknown, no later "not run" may
        be told to the caller, because the first sending may have run.
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
                host, choice = self._directory.choose(call, excluded)
            except errors.CallError as error:
                trace.begin(attempt, None, None)
                trace.end(error=error)
                last_error = last_error or error
                break
            trace.begin(attempt, host, choice)
            try:
                response = await self._attempt(host, call)
            except errors.CallError as error:
                trace.end(error=error)
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
                trace.end(outcome=errors.Outcome.RUN)
                return response
        if unknown_error is not None:
            await self._report_key(call, host, unknown_error)
        raise unknown_error or last_error

    async def _report_key(self, call, owner, error):
        """Tell the next owners of a key before the caller can repeat it.

        An owner that reported the failure, or is this node, remembers it.
        """
        if (
            self._report_unknown is not None
            and key_window.needs_key_check(call)
            and not error.is_from_owner
            and owner.host_id != self._own_host.host_id
        ):
            await self._report_unknown(call, owner)

    async def _attempt(self, host, call):
        """Send a call to one owner node and tell the directory."""
        directory = self._directory
        host_id = host.host_id
        directory.on_sent(host_id)
        try:
            if host_id == self._own_host.host_id:
                response = await self._run_local(call)
            else:
                response = await self._forwarder.forward(host, call)
        except errors.CallError as error:
            if isinstance(error, errors.UpstreamUnreachableError):
                directory.on_failed(host_id, error)
            elif isinstance(error, _ERRORS_OF_THE_REQUEST):
                pass
            elif error.outcome is errors.Outcome.NOT_RUN:
                directory.on_refused(host_id, error, error.free)
            else:
                directory.on_failed(host_id, error)
            raise
        finally:
            directory.on_ended(host_id)
        directory.on_response(host_id, protocol.read_free(response))
        return response

    def _success(self, call, response):
        retry = "safe" if call.route.is_idempotent else "unsafe"
        return dataclasses.replace(
            response,
            headers=(
                *protocol.without_own_headers(
                    http1_encoding.end_to_end_headers(response.headers)
                ),
                *self._own_headers(
                    call, call.request_id, errors.Outcome.RUN, retry
                ),
            ),
        )

    def _failure(self, error, call, request_id):
        is_safe = error.is_retry_safe or (
            error.outcome is errors.Outcome.UNKNOWN
            and call is not None
            and call.route.is_idempotent
        )
        headers = self._own_headers(
            call,
            request_id or self._new_request_id(),
            error.outcome,
            "safe" if is_safe else "unsafe",
        )
        headers.append(model.Header(name=protocol.CODE, value=error.code))
        return protocol.failure_response(error, headers=headers)

    def _refuse(self, error):
        return self._failure(error, None, None)

    def _own_headers(self, call, request_id, outcome, retry):
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

    def _write(self, trace, call):
        for fields in trace.lines:
            self._record(
                "route",
                request_id=call.request_id,
                service=call.route.service,
                route=call.route.name,
                version=call.configuration.head.version,
                **fields,
            )


def _upstream_seconds(response):
    """Return the time that an owner node measured at its upstream."""
    value = response.header(protocol.UPSTREAM_TIME)
    return int(value) / 1e6 if value and value.isdecimal() else None


class _Trace:
    """The routing decisions of one call, written after its answer."""

    __slots__ = ("lines", "_started")

    def __init__(self):
        self.lines = []
        self._started = None

    def begin(self, attempt, host, choice):
        self._started = trio.current_time()
        self.lines.append(
            {
                "chosen": None if host is None else host.host_id,
                "candidates": len(choice.candidates) if choice else 0,
                "reason": choice.reason if choice else "no candidate",
                "attempt": attempt,
            }
        )

    def end(self, *, error=None, outcome=None, ended=None):
        if self._started is None:
            return
        line = self.lines[-1]
        if error is not None:
            line["outcome"] = str(error.outcome)
            line["code"] = error.code
        else:
            line["outcome"] = str(outcome)
            line["code"] = None
        if ended is not None:
            line["ended"] = ended
        seconds = trio.current_time() - self._started
        line["duration_ms"] = round(seconds * 1000, 3)
        self._started = None
