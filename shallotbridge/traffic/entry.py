"""The entry node: from a client's request to its whole answer."""

import functools
import math

import eliot
import trio

from .._generated import link
from . import admission
from . import call as calls
from ..core import decisions
from ..core import errors
from ..core import http1_encoding
from ..core import model as messages
from . import hedging
from . import routing

# Offers of a request that may be refused before it goes back to its client.
MAXIMUM_OFFERS = 8
# The same while more than this share of the offers to a service is refused for
# overload: a free slot is hardly found then, and offers cost processor time.
OVERLOAD_SHARE = 0.75
MAXIMUM_OFFERS_IN_OVERLOAD = 2
# In all but the last offers a request waits only about as long as expected:
# what an entry node of a large fleet knows of most owner nodes is seconds old.
PATIENT_OFFERS = 2
BRIEF_WAIT_SHARE = 1.5
BRIEF_WAIT_SECONDS = 0.01
# A slow request is hedged only at owner nodes with a shorter expected wait
# than this, s.
SHORT_WAIT_SECONDS = 0.1
# A repeatable request without an answer after this multiple of its usual
# duration, and after its objective, is sent to another upstream as well: its
# answer may be lost, or the upstream be far slower than the others.
SLOW_SHARE = 5.0
# An owner node ends a request at its deadline; this much later the entry
# node stops waiting for its reply, s.
REPLY_MARGIN_SECONDS = 0.1
# Time after which a client may come back if no owner node named one, s.
DEFAULT_RETRY_AFTER_SECONDS = 0.25
# The same after a refusal by an upstream itself, which may have room already.
REFUSED_RETRY_AFTER_SECONDS = 0.05
# Share of the time after which refused clients come back that is random, so
# that they do not come back together.
RETRY_AFTER_SPREAD = 0.5
# A repeat of a request that is still worth it has this share of the usual
# duration left.
REPEAT_SHARE = 0.8
# A service that fails this share of its requests gets no repeats: they would
# fail too, and load what it calls.
WIDE_FAILURE_SHARE = 0.2
# A node that has just started has its first view after some tenths of a
# second; until this long after its start, s, it keeps requests until then.
FIRST_VIEW_SECONDS = 2.0
# Share of the time until its deadline that such a request is kept at most.
FIRST_VIEW_SHARE = 0.3
# Lines of the log for requests that ran at the first offer, a second.
ROUTINE_LINES = 20
_RETRY_AFTER = "retry-after"
_UPSTREAM_ERROR = 500


class EntryServer:
    """Answers the requests of clients.

    Parameters
    ----------
    own_host : model.OwnHost
    names : model.HeaderNames
    read_view : callable
        Returns the ``model.MeshView`` in force.
    read_copy : callable
        Returns the ``mirror.CopyState`` of the upstreams at this node.
    wait_view : callable
        ``await wait_view()`` returns when the first view is in force.
    selector : selection.Selector
    splits : routing.SplitCounters
    run_local : callable
        ``await run_local(work)`` of the node's own ``OwnerServer``.
    links : callable
        ``links(address)`` returns the ``PeerLink`` to a node.
    budget_of : callable
        ``budget_of(service)`` returns its ``RetryBudget``.
    random : random.Random
    count : callable
        ``count(name)`` and ``count(name, seconds)`` for metrics.
    record : callable
        ``record(action, **fields)`` writes the decision log.
    """

    def __init__(
        self,
        *,
        own_host,
        names,
        read_view,
        read_copy,
        wait_view,
        selector,
        splits,
        run_local,
        links,
        budget_of,
        random,
        count,
        record=decisions.record,
    ):
        self._own_host = own_host
        self._names = names
        self._read_view = read_view
        self._read_copy = read_copy
        self._wait_view = wait_view
        self._started_at = trio.current_time()
        self._selector = selector
        self._splits = splits
        self._run_local = run_local
        self._links = links
        self._budget_of = budget_of
        self._random = random
        self._count = count
        self._record = record
        self._is_leaving = False
        self._hedges = hedging.Hedges(
            may_hedge=self._may_hedge, offer=self._hedge, record=record
        )
        self._routine = decisions.RoutineLog(rate=ROUTINE_LINES)
        self._own_names = frozenset(
            {
                names.deadline,
                names.expected_instance,
                names.not_run,
                names.caller_service,
                names.signature,
                names.instance,
            }
        )

    def begin_leaving(self):
        """Wait for each answer from now on, however long it takes."""
        self._is_leaving = True

    async def answer(self, request):
        """Return the response to a client's request."""
        started = trio.current_time()
        call = None
        try:
            await self._wait_first_view(request, started)
            call = self._make_call(request, started)
            response = await self._run(call)
        except errors.CallError as error:
            response = self._failure(error, call, request)
        except trio.Cancelled:
            if call is not None:
                self._write(call, "left", None)
            raise
        except Exception:
            # A fault of this program must not end the other requests of the
            # connection. What was sent may have run.
            eliot.write_traceback()
            error = errors.OutcomeUnknownError("a fault of the node")
            response = self._failure(error, call, request)
        seconds = trio.current_time() - started
        self._count("request_seconds", seconds)
        return response

    def refuse(self, error):
        """Return the response to a request that could not be read."""
        self._record("refuse_malformed", code=error.code, detail=error.detail)
        self._count(f"requests_total.{error.code}")
        return self._response(error.status, error, None, None)

    async def _wait_first_view(self, request, now):
        """Keep a request of a node that has just started for a moment.

        Its client may have no further attempt, or come back too soon again.
        """
        if self._read_view().configuration is not None:
            return
        until = self._started_at + FIRST_VIEW_SECONDS
        value = request.header(self._names.deadline)
        if value is not None:
            seconds = calls.read_deadline(value)
            until = min(until, now + seconds * FIRST_VIEW_SHARE)
        with trio.CancelScope(deadline=until):
            await self._wait_view()

    def _make_call(self, request, now):
        names = self._names
        configuration = self._read_view().configuration
        request_id = request.header(names.request_id) or ""
        if configuration is None:
            raise errors.NoConfigurationError(
                f"{self._own_host.name} has no configuration yet"
            )
        route = routing.find_route(
            configuration, request.header("host"), request.target
        )
        seconds = route.timeout_seconds
        value = request.header(names.deadline)
        if value is not None:
            seconds = min(seconds, calls.read_deadline(value))
        headers = [
            (header.name, header.value)
            for header in http1_encoding.end_to_end_headers(request.headers)
            if header.name not in self._own_names
        ]
        headers.append((names.caller_service, self._own_host.service))
        return calls.Call(
            request=request,
            request_id=request_id,
            route=route,
            version=configuration.version,
            service=self._splits.choose(route),
            headers=tuple(headers),
            started_at=now,
            deadline_at=now + seconds,
        )

    async def _run(self, call):
        """Offer a request to owner nodes until it has an answer.

        Raises
        ------
        errors.CallError
            Its outcome is "not run" only if no attempt may have run.
        """
        route = call.route
        budget = self._budget_of(call.service)
        budget.on_request(call.started_at)
        unknown_error = None
        refusal = None
        failed_answer = None
        for _ in range(MAXIMUM_OFFERS):
            try:
                reply = await self._offer(call)
            except errors.CallError as error:
                if error.outcome is errors.Outcome.UNKNOWN:
                    unknown_error = error
                else:
                    refusal = _sooner(refusal, error)
                    if not self._may_offer_again(call, error):
                        break
                    if not error.has_arrived:
                        continue
            else:
                if reply.status < _UPSTREAM_ERROR or not route.is_idempotent:
                    return self._success(call, reply)
                failed_answer = reply
            if unknown_error is not None and not route.is_idempotent:
                break
            if not self._may_repeat(call):
                break
        if failed_answer is not None:
            return self._success(call, failed_answer)
        raise unknown_error or refusal

    def _may_offer_again(self, call, error):
        """Prepare the next offer after a refusal; tell whether to make it."""
        if not error.is_retry_safe:
            return False
        if isinstance(error, errors.NoUpstreamError) or (
            len(call.offers) >= self._maximum_offers(call)
        ):
            return False
        upstream_id = call.offers[-1].upstream.upstream_id
        if (
            isinstance(error, errors.OverloadedError)
            and upstream_id not in call.busy
            and self._would_be_on_time(call, error.retry_after or 0.0)
        ):
            # Its wait is known now and may still be the shortest.
            call.busy.add(upstream_id)
            call.tried.discard(upstream_id)
        return True

    def _maximum_offers(self, call):
        share = self._selector.overload_share(call.service)
        if share > OVERLOAD_SHARE:
            return MAXIMUM_OFFERS_IN_OVERLOAD
        return MAXIMUM_OFFERS

    def _would_be_on_time(self, call, wait):
        usual = self._selector.expected_seconds(call.route)
        end = trio.current_time() + wait + usual * admission.ON_TIME_SHARE
        return end <= call.started_at + call.route.objective_seconds

    def _may_repeat(self, call):
        """Tell whether one more upstream may get the request.

        If so, the repeat is taken out of the service's budget.
        """
        now = trio.current_time()
        usual = self._selector.expected_seconds(call.route)
        return (
            self._selector.failure_share(call.service) < WIDE_FAILURE_SHARE
            and call.arrivals < call.route.maximum_attempts
            and now + usual * REPEAT_SHARE < call.deadline_at
            and self._budget_of(call.service).try_spend(
                now, len(self._read_view().upstreams_by_id)
            )
        )

    def _slow_at(self, call, now):
        """Return when a repeatable request is much slower than usual."""
        usual = self._selector.expected_seconds(call.route)
        return now + max(usual * SLOW_SHARE, call.route.objective_seconds)

    async def run_tasks(self):
        """Look after slow requests until cancelled."""
        await self._hedges.run()

    def _may_hedge(self, call):
        """Tell whether a slow request may go to another upstream as well.

        One that is not asked yet must be able to take it now. A node that
        is leaving only waits for the answers.
        """
        if self._is_leaving:
            return False
        call.maximum_wait = min(call.maximum_wait, SHORT_WAIT_SECONDS)
        try:
            self._choose(call, trio.current_time())
        except errors.NoUpstreamError:
            return False
        return self._may_repeat(call)

    def _choose(self, call, now):
        return self._selector.choose(
            self._read_view().usable_upstreams(call.service),
            call.route,
            call.tried,
            now,
            call.maximum_wait,
        )

    async def _offer(self, call):
        """Return the answer of an upstream; hedges what may be repeated."""
        if not call.route.is_idempotent:
            return await self._send(call)
        scope = trio.CancelScope()
        slow_at = self._slow_at(call, trio.current_time())
        sending = self._hedges.begin(call, scope, slow_at)
        try:
            with scope:
                reply = await self._send(call)
                if reply.status >= _UPSTREAM_ERROR:
                    reply = await sending.wait_reply() or reply
                return reply
        except errors.CallError:
            reply = await sending.wait_reply()
            if reply is None:
                raise
            return reply
        finally:
            self._hedges.end(sending)
        return sending.reply

    async def _hedge(self, call):
        """Return the answer of a second upstream to a slow request."""
        slow = call.offers[-1].upstream
        sent_at = call.sent_at
        reply = await self._send(call)
        if reply.status < _UPSTREAM_ERROR:
            now = trio.current_time()
            self._selector.on_answer(slow, call.route, now - sent_at, now)
        return reply

    async def _send(self, call):
        """Send a request to the best owner node and return its answer."""
        now = trio.current_time()
        if now >= call.deadline_at:
            raise errors.DeadlineBeforeSendError(
                "the deadline passed before an owner node was chosen"
            )
        choice = self._choose(call, now)
        upstream = choice.upstream
        call.tried.add(upstream.upstream_id)
        call.offers.append(choice)
        call.sent_at = now
        call.sent_under = self._read_copy()
        selector = self._selector
        selector.on_sent(upstream.upstream_id)
        try:
            reply = await self._exchange(call, upstream, now)
        except errors.CallError as error:
            self._learn_failure(upstream, error)
            raise
        finally:
            selector.on_ended(upstream.upstream_id)
        now = trio.current_time()
        selector.on_load(upstream.address, reply.load, now)
        kind = type(reply)
        if kind is link.Refusal:
            error = _REFUSALS.get(reply.code, errors.OverloadedError)(
                reply.detail
            )
            error.has_arrived = reply.has_arrived
            error.retry_after = reply.retry_after_ms / 1000 or None
            if isinstance(error, errors.UnknownServiceError):
                selector.on_other_instance(upstream.upstream_id, now)
            if isinstance(error, errors.OverloadedError):
                selector.on_overload(call.service, True)
            if reply.has_arrived:
                selector.on_refused(upstream, now)
            else:
                call.arrivals -= 1
            raise error
        if kind is link.Failure:
            selector.on_failure(upstream, now)
            raise _FAILURES.get(reply.code, errors.OutcomeUnknownError)(
                reply.detail
            )
        selector.on_overload(call.service, False)
        self._check_answer(upstream, reply)
        if reply.status >= _UPSTREAM_ERROR:
            selector.on_failure(upstream, now)
        else:
            selector.on_answer(
                upstream,
                call.route,
                reply.run_ms / 1000,
                now,
                len(call.request.body) + len(reply.body),
            )
        return reply

    def _learn_failure(self, upstream, error):
        if isinstance(error, errors.UpstreamUnreachableError):
            self._selector.on_unreachable(upstream.address)

    def _check_answer(self, upstream, reply):
        """Refuse what no sound upstream sends."""
        names = self._names
        has_signature = any(
            name == names.signature for name, _ in reply.headers
        )
        is_encoded = any(
            name == "content-encoding" for name, _ in reply.headers
        )
        is_promise = reply.status in (408, 421, 429, 503)
        if (
            (reply.status < 300 and not has_signature)
            or is_encoded
            or is_promise
        ):
            self._selector.on_failure(upstream, trio.current_time())
            raise errors.AnswerMismatchError(
                f"status {reply.status} of {upstream.upstream_id} "
                f"{'with' if has_signature else 'without'} a signature"
            )

    async def _exchange(self, call, upstream, now):
        own = self._own_host
        is_local = (
            upstream.address == own.upstream_address
            and upstream.port == own.upstream_port
        )
        peer = None if is_local else self._links(upstream.address)
        work = link.Work(
            call_id=0 if is_local else peer.next_call_id(),
            upstream_id=upstream.upstream_id,
            service=call.service,
            route=call.route.name,
            request_id=call.request_id,
            method=call.request.method,
            target=call.request.target,
            headers=call.headers,
            body=call.request.body,
            remaining_ms=(call.deadline_at - now) * 1000,
            objective_ms=(call.started_at + call.route.objective_seconds - now)
            * 1000,
            priority=call.route.priority,
            is_idempotent=call.route.is_idempotent,
            expected_ms=self._selector.expected_seconds(call.route) * 1000,
            sent_at=now,
            maximum_wait_ms=self._acceptable_wait(call) * 1000,
        )
        end_at = call.deadline_at + REPLY_MARGIN_SECONDS
        call.arrivals += 1
        with trio.CancelScope(deadline=end_at):
            try:
                if is_local:
                    return await self._run_local(work)
                return await peer.exchange(work)
            except errors.CallError as error:
                if error.outcome is errors.Outcome.NOT_RUN:
                    call.arrivals -= 1
                raise
        raise errors.DeadlineAfterSendError(
            f"no reply from the owner node at {upstream.address}"
        )

    def _acceptable_wait(self, call):
        """Return how long the next offer may wait for a slot, seconds."""
        if len(call.offers) > self._maximum_offers(call) - PATIENT_OFFERS:
            return math.inf
        expected = call.offers[-1].expected_wait
        return expected * BRIEF_WAIT_SHARE + BRIEF_WAIT_SECONDS

    def _success(self, call, reply):
        self._write(call, "run", None, reply.status)
        self._count(f"requests_total.{reply.status}")
        return messages.Response(
            status=reply.status,
            headers=tuple(
                messages.Header(name=name, value=value)
                for name, value in reply.headers
                if name not in _DROPPED_NAMES
            ),
            body=reply.body,
        )

    def _failure(self, error, call, request):
        """Return the answer to a request that has none of an upstream."""
        status = error.status
        if error.outcome is errors.Outcome.NOT_RUN and status >= 429:
            status = 503
        retry_after = None
        if status == 503:
            retry_after = self._retry_after(error)
        if call is None:
            self._record(
                "refuse",
                request_id=request.header(self._names.request_id),
                host=request.header("host"),
                target=request.target[:100],
                code=error.code,
                detail=error.detail,
            )
        else:
            self._write(call, str(error.outcome), error, status, retry_after)
        self._count(f"requests_total.{error.code}")
        request_id = request.header(self._names.request_id)
        return self._response(status, error, request_id, retry_after)

    def _retry_after(self, error):
        seconds = error.retry_after or (
            REFUSED_RETRY_AFTER_SECONDS
            if isinstance(error, errors.UpstreamRefusedError)
            else DEFAULT_RETRY_AFTER_SECONDS
        )
        spread = RETRY_AFTER_SPREAD * self._random.random()
        return seconds * (1 - RETRY_AFTER_SPREAD / 2 + spread)

    def _response(self, status, error, request_id, retry_after):
        headers = []
        if request_id is not None:
            headers.append(
                messages.Header(name=self._names.request_id, value=request_id)
            )
        if retry_after is not None:
            headers.append(
                messages.Header(name=_RETRY_AFTER, value=f"{retry_after:.3f}")
            )
        return messages.Response(
            status=status,
            headers=tuple(headers),
            body=f"{error.code}: {error.detail}\n".encode(),
        )

    def _write(self, call, outcome, error, status=None, retry_after=None):
        now = trio.current_time()
        record = self._record
        if outcome == "run" and len(call.offers) == 1:
            record = functools.partial(self._routine.record, now=now)
        record(
            "route",
            request_id=call.request_id,
            route=call.route.name,
            service=call.service,
            version=call.version,
            offers=[
                [
                    choice.upstream.upstream_id,
                    choice.candidates,
                    round(choice.expected_wait * 1000, 1),
                    (
                        None
                        if choice.load_age is None
                        else round(choice.load_age * 1000)
                    ),
                ]
                for choice in call.offers
            ],
            outcome=outcome,
            status=status,
            code=None if error is None else error.code,
            detail=None if error is None else error.detail,
            retry_after_s=retry_after and round(retry_after, 3),
            held_ms=round((now - call.started_at) * 1000, 1),
            position=call.sent_under and call.sent_under.position,
            view_age_ms=call.sent_under and call.sent_under.age_ms,
        )


# Framing of the upstream's answer that is not that of this node's.
_DROPPED_NAMES = frozenset({"content-length", "transfer-encoding"})
_REFUSALS = {
    error_type.code: error_type
    for error_type in (
        errors.DeadlineBeforeSendError,
        errors.LeavingError,
        errors.OutOfServiceError,
        errors.OverloadedError,
        errors.QuarantinedError,
        errors.UnknownServiceError,
        errors.UpstreamRefusedError,
        errors.UpstreamUnreachableError,
    )
}
_FAILURES = {
    error_type.code: error_type
    for error_type in (
        errors.AnswerMismatchError,
        errors.AnswerTooLargeError,
        errors.DeadlineAfterSendError,
        errors.OutcomeUnknownError,
    )
}


def _sooner(first, second):
    """Return the refusal after which the client may come back sooner."""
    if first is None:
        return second
    if second.retry_after is None:
        return first
    if first.retry_after is None or second.retry_after < first.retry_after:
        return second
    return first
