"""Request handling at the entry node.

The entry node sends a request to the owner node of an upstream as an offer,
which the owner node may refuse before the upstream gets the request. An offer
that reaches the upstream is an attempt and counts towards the maximum attempts
of the route. Each attempt after the first one is a retry or a hedged request
and is taken out of the retry budget of the service. A request that may have
run gets another attempt only if it is idempotent.
"""

import functools
import math

import eliot
import trio

from .._generated import link
from . import admission
from . import call as calls
from . import call_graph
from ..core import decisions
from ..core import errors
from ..core import http1_encoding
from ..core import model as messages
from . import crash_records
from . import customers
from ..distribution import positions
from . import hedging
from . import offer_limits
from . import return_times
from . import routing
from . import self_report
from . import startup

# Maximum offers of a request before the client gets the refusal.
MAXIMUM_OFFERS = 8
# The maximum is lower while more than this ratio of the offers to a service is
# refused for overload: another offer then rarely finds a free slot but costs
# processor time.
OVERLOAD_REFUSAL_RATIO = 0.75
MAXIMUM_OFFERS_IN_OVERLOAD = 2
# Number of the last offers of a request without a bound on their queue time.
UNBOUNDED_WAIT_OFFERS = 2
# The bound of the earlier offers is the expected queue time times the factor,
# plus the margin. The expectation may be wrong: in a large fleet the load
# reports that an entry node has of most owner nodes are seconds old.
WAIT_BOUND_FACTOR = 1.5
WAIT_BOUND_MARGIN_SECONDS = 0.01
# A slow request is hedged only at owner nodes with at most this expected queue
# time.
MAXIMUM_HEDGE_WAIT_SECONDS = 0.1
# An idempotent request is hedged when it has no answer after its latency
# objective or this multiple of its expected duration, whichever is longer. The
# answer may be lost, or the upstream may be far slower than the others.
HEDGE_DELAY_FACTOR = 5.0
# An owner node ends a request at its deadline. The entry node waits this much
# longer for the reply.
REPLY_MARGIN_SECONDS = 0.1
# Retry-After value when no owner node reported one.
DEFAULT_RETRY_AFTER_SECONDS = 0.25
# Retry-After value after a refusal by an upstream itself, which may already
# have capacity again.
UPSTREAM_REFUSED_RETRY_AFTER_SECONDS = 0.05
# Random part of the Retry-After value. Keeps refused clients from retrying at
# the same time.
RETRY_AFTER_JITTER_RATIO = 0.5
# A request is retried only if more than this ratio of its expected duration is
# left until its deadline.
RETRY_DURATION_RATIO = 0.8
# A service that fails this ratio of its requests gets no retries: they would
# fail too and add load to the services that it calls.
MAXIMUM_RETRY_FAILURE_RATIO = 0.2
# A node gets its first view some tenths of a second after its start. It holds
# requests until then, but at most until this time after its start.
FIRST_VIEW_WAIT_SECONDS = 2.0
# Maximum ratio of the time until its deadline for which a request is held.
FIRST_VIEW_DEADLINE_RATIO = 0.3
# A node that shuts down sends a request on only if this multiple of its
# expected duration, or its latency objective, is left until the end of the
# drain, or if its deadline comes first. Rarely a request takes that long.
DRAIN_DURATION_FACTOR = 10.0
# Log lines for requests that succeeded at the first offer.
ROUTINE_LINES_PER_SECOND = 20
_RETRY_AFTER = "retry-after"
_SERVER_ERROR_STATUS = 500


class EntryServer:
    """Handles the requests of clients.

    Parameters
    ----------
    own_host : model.OwnHost
    header_names : model.HeaderNames
    read_view : callable
        Returns the current ``model.MeshView``.
    read_mirror_state : callable
        Returns the ``mirror.MirrorState`` of this node's mirror of the
        registered upstreams.
    wait_for_view : callable
        ``await wait_for_view()`` returns when the node has its first view.
    selector : selection.Selector
    traffic_splitter : routing.TrafficSplitter
    run_local : callable
        ``await run_local(work)`` returns the reply of the ``OwnerServer`` in
        this node.
    link_to : callable
        ``link_to(address)`` returns the ``PeerLink`` to the node at an
        address.
    retry_budget_of : callable
        ``retry_budget_of(service)`` returns the ``RetryBudget`` of a service.
    on_leaving : callable
        ``on_leaving(upstream_id, started_ms, **source)`` is called when an
        answer says that its upstream is leaving.
    known_crashes : crash_records.CrashRecords, optional
    calls : call_graph.CallGraph, optional
        Calls of the upstream of this host; the same as that of the owner
        node. With it, offers and refusals follow what callers gain.
    random : random.Random
    count : callable
        ``count(name)`` increments a counter; ``count(name, seconds)`` records
        a duration.
    quotas : runtime.quotas.CustomerQuotas, optional
        Quotas of the customers; without it there are none.
    record : callable
        ``record(action, **fields)`` writes a line of the decision log.
    """

    def __init__(
        self,
        *,
        own_host,
        header_names,
        read_view,
        read_mirror_state,
        wait_for_view,
        selector,
        traffic_splitter,
        run_local,
        link_to,
        retry_budget_of,
        random,
        count,
        on_leaving=lambda upstream_id, started_ms, **source: None,
        known_crashes=None,
        quotas=None,
        calls=None,
        record=decisions.record,
    ):
        self._calls = calls
        self._own_host = own_host
        self._header_names = header_names
        self._read_view = read_view
        self._read_mirror_state = read_mirror_state
        self._wait_for_view = wait_for_view
        self._node_started_at = trio.current_time()
        self.hold = startup.RequestHold(started_at=self._node_started_at)
        self._owners_changed = trio.Event()
        self._selector = selector
        self._traffic_splitter = traffic_splitter
        self._run_local = run_local
        self._link_to = link_to
        self._retry_budget_of = retry_budget_of
        self._random = random
        self._count = count
        self._on_leaving = on_leaving
        if known_crashes is None:
            known_crashes = crash_records.CrashRecords()
        self._known_crashes = known_crashes
        self._quotas = quotas
        self._record = record
        self._is_hedging_stopped = False
        # End of the drain, on trio's clock; infinite before one.
        self._drain_ends_at = math.inf
        self._exchange_scopes = set()
        self._hedger = hedging.Hedger(
            try_reserve_hedge=self._try_reserve_hedge,
            send_hedge=self._send_hedge,
            record=record,
        )
        self._hold_log = decisions.RateLimitedLog(
            rate=ROUTINE_LINES_PER_SECOND, record=record
        )
        self._routine_log = decisions.RateLimitedLog(
            rate=ROUTINE_LINES_PER_SECOND
        )
        # Requests beyond a quota come in large numbers.
        self._quota_log = decisions.RateLimitedLog(
            rate=ROUTINE_LINES_PER_SECOND, record=record
        )
        self._memory_log = decisions.RateLimitedLog(
            rate=ROUTINE_LINES_PER_SECOND
        )
        self._reserved_header_names = frozenset(
            {
                header_names.deadline,
                header_names.expected_instance,
                header_names.not_run,
                header_names.caller_service,
                header_names.signature,
                header_names.instance,
            }
        )

    def begin_drain(self, ends_at):
        """Send on only requests that are expected to end before the drain.

        No hedges are sent. A request that has no answer at the end of the
        drain gets an error response.

        Parameters
        ----------
        ends_at : float
            End of the drain on trio's clock.
        """
        self._is_hedging_stopped = True
        self._drain_ends_at = ends_at
        self.on_owners_changed()
        for scope in self._exchange_scopes:
            scope.deadline = min(scope.deadline, ends_at)

    def _check_drain(self, call):
        """Raise an error if a request would outlast the drain.

        Raises
        ------
        errors.LeavingError
        """
        now = trio.current_time()
        left = self._drain_ends_at - now
        needed = min(
            call.deadline_at - now,
            max(
                call.route.objective_seconds,
                self._selector.expected_seconds(call.route)
                * DRAIN_DURATION_FACTOR,
            ),
        )
        if needed > left:
            raise errors.LeavingError(
                f"the node shuts down in {max(0.0, left):.3f} s; the request "
                f"may need {needed:.3f} s"
            )

    async def handle_request(self, request):
        """Return the response to a client's request."""
        started = trio.current_time()
        call = None
        try:
            await self._wait_for_first_view(request, started)
            call = self._make_call(request, started)
            if self._calls is not None:
                call.is_upstream_call = self._calls.on_arrival(
                    call.route.name, call.service, started
                )
            response = await self._route_within_quota(call)
        except errors.CallError as error:
            errors.release_frames(error)
            response = self._failure_response(error, call, request)
        except trio.Cancelled:
            if call is not None:
                self._record_outcome(call, "left", None)
            raise
        except Exception:
            # An unexpected exception must not end the other requests of the
            # connection. The upstream may have run the request.
            eliot.write_traceback()
            error = errors.OutcomeUnknownError(
                "internal error of the entry node"
            )
            response = self._failure_response(error, call, request)
        now = trio.current_time()
        seconds = now - started
        if call is not None and self._calls is not None:
            self._count_result(call, response.status, now)
        self._count("request_seconds", seconds)
        return response

    def _count_result(self, call, status, now):
        is_served = status < _SERVER_ERROR_STATUS
        if call.is_upstream_call:
            self._calls.on_call_result(call.route.name, is_served, now)
        else:
            priority, _ = self._priorities(call)
            self._calls.on_client_result(
                call.service, priority, is_served, now
            )

    def handle_framing_error(self, error):
        """Return the response to a request that was not read completely.

        Also to one whose answer found no memory until it could be sent.
        """
        self._count(f"requests_total.{error.code}")
        if isinstance(error, errors.AnswerMemoryError):
            self._memory_log.record(
                "give_up_answer",
                trio.current_time(),
                code=error.code,
                detail=error.detail,
            )
            return self._error_response(error.status, error, None, None)
        if not isinstance(error, errors.RequestMemoryError):
            self._record(
                "refuse_malformed", code=error.code, detail=error.detail
            )
            return self._error_response(error.status, error, None, None)
        request_id = error.request_header(self._header_names.request_id)
        retry_after = self._retry_after_seconds(error)
        self._memory_log.record(
            "refuse_memory",
            trio.current_time(),
            request_id=request_id,
            code=error.code,
            detail=error.detail,
            retry_after_s=round(retry_after, 3),
        )
        return self._error_response(
            error.status, error, request_id, retry_after
        )

    async def _wait_for_first_view(self, request, now):
        """Hold a request until a node that has just started has a view.

        A refused client may have no attempt left, or may retry before the
        node has its view.
        """
        if self._read_view().configuration is not None:
            return
        until = self._node_started_at + FIRST_VIEW_WAIT_SECONDS
        value = request.header(self._header_names.deadline)
        if value is not None:
            seconds = calls.parse_deadline_seconds(value)
            until = min(until, now + seconds * FIRST_VIEW_DEADLINE_RATIO)
        if now >= until or not self.hold.try_begin():
            return
        try:
            with trio.CancelScope(deadline=until):
                await self._wait_for_view()
        finally:
            self.hold.end()

    def on_owners_changed(self):
        """Let held requests check whether an owner node is eligible now."""
        self._owners_changed.set()
        self._owners_changed = trio.Event()

    async def _wait_for_owner(self, call, error):
        """Hold a request until an owner node of its service is eligible.

        Only while this node or the owner nodes are starting, and not if the
        wait would be longer than the request may be held, as for an upstream
        that names a limit.

        Returns
        -------
        bool
            False if the request is to be refused.
        """
        now = trio.current_time()
        until = startup.hold_until(
            call.started_at,
            call.deadline_at,
            self._selector.expected_seconds(call.route),
        )
        if (
            now + (error.retry_after or 0.0) >= until
            or (
                isinstance(error, errors.NoUpstreamError)
                and error.retry_after is not None
            )
            or not (call.starting_refusals or self.hold.is_starting(now))
            or not self._may_become_eligible(call, until)
            or not self.hold.try_begin()
        ):
            return False
        is_eligible = False
        try:
            while (
                not is_eligible
                and now < until
                and math.isinf(self._drain_ends_at)
                and self._may_become_eligible(call, until)
            ):
                due_at = min(until, now + startup.CHECK_INTERVAL_SECONDS)
                with trio.move_on_at(due_at):
                    await self._owners_changed.wait()
                now = trio.current_time()
                call.excluded_ids -= {
                    upstream_id
                    for upstream_id, room_at in call.room_at_by_id.items()
                    if room_at <= now
                }
                is_eligible = self._is_owner_eligible(call, now)
            return is_eligible
        finally:
            self.hold.end()
            self._hold_log.record(
                "request_held",
                now,
                request_id=call.request_id,
                route=call.route.name,
                service=call.service,
                chosen="offer" if is_eligible else "refuse",
                reason="no owner node was eligible",
                held_ms=round((now - call.started_at) * 1000, 1),
                starting_refusals=call.starting_refusals,
                position=positions.describe(
                    self._read_mirror_state().position
                ),
            )

    def _must_wait_for_owner(self, call, error):
        """Return whether to wait instead of offering to the next owner.

        While a fleet starts, the next ones may not accept connections either.
        """
        if isinstance(error, errors.NoUpstreamError):
            return True
        if not self.hold.is_starting(trio.current_time()):
            return False
        upstream_id = call.offers[-1].upstream.upstream_id
        if isinstance(error, errors.OverloadedError):
            if not (
                call.starting_refusals
                or self._selector.has_unreachable_owner()
            ):
                return False
            # The few owners that are open get what all are to share soon.
            call.room_at_by_id[upstream_id] = trio.current_time() + (
                error.retry_after or 0.0
            )
            return self._has_made_all_offers(call)
        if (
            not isinstance(error, errors.UpstreamUnreachableError)
            or error.retry_after is not None
        ):
            return False
        call.starting_refusals += 1
        call.excluded_ids.discard(upstream_id)
        return call.starting_refusals > startup.MAXIMUM_STARTING_REFUSALS

    def _may_become_eligible(self, call, until):
        """Return whether waiting may make an owner node eligible."""
        upstreams = self._read_view().usable_upstreams(call.service)
        return not upstreams or any(
            one.upstream_id not in call.excluded_ids
            or call.room_at_by_id.get(one.upstream_id, math.inf) < until
            for one in upstreams
        )

    def _is_owner_eligible(self, call, now):
        try:
            self._choose_upstream(call, now)
        except errors.NoUpstreamError:
            return False
        return True

    def _make_call(self, request, now):
        header_names = self._header_names
        configuration = self._read_view().configuration
        request_id = request.header(header_names.request_id) or ""
        if configuration is None:
            raise errors.NoConfigurationError(
                f"{self._own_host.name} has no configuration yet"
            )
        route = routing.find_route(
            configuration, request.header("host"), request.target
        )
        seconds = route.timeout_seconds
        value = request.header(header_names.deadline)
        if value is not None:
            seconds = min(seconds, calls.parse_deadline_seconds(value))
        headers = [
            (header.name, header.value)
            for header in http1_encoding.end_to_end_headers(request.headers)
            if header.name not in self._reserved_header_names
        ]
        headers.append((header_names.caller_service, self._own_host.service))
        customer = None
        if configuration.customers_by_key is not None:
            customer = customers.authenticate(
                configuration, route, request.header(header_names.api_key)
            )
            headers = customers.replace_headers(
                headers, customer, header_names
            )
        return calls.Call(
            request=request,
            request_id=request_id,
            route=route,
            version=configuration.version,
            service=self._traffic_splitter.choose(route),
            headers=tuple(headers),
            started_at=now,
            deadline_at=now + seconds,
            fingerprints=crash_records.make_fingerprints(
                method=request.method,
                target=request.target,
                host=request.header("host"),
                caller_service=self._own_host.service,
                body=request.body,
            ),
            customer=customer,
        )

    def _has_quota(self, call):
        """Return whether a request counts towards a quota."""
        return (
            self._quotas is not None
            and call.customer is not None
            and call.customer.rate > 0
            and not call.route.is_public
        )

    async def _route_within_quota(self, call):
        """Send a request to owner nodes if its customer's quota allows it.

        Raises
        ------
        errors.CallError
        """
        customer = call.customer
        quotas = self._quotas
        if not self._has_quota(call):
            return await self._route_call(call)
        await quotas.acquire(customer)
        try:
            return await self._route_call(call)
        except errors.CallError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                quotas.give_back(customer)
            raise

    async def _route_call(self, call):
        """Send a request to owner nodes until it has an answer.

        Raises
        ------
        errors.CallError
            There is no answer. The outcome of the error is "not run" only if
            no upstream can have run the request.
        """
        route = call.route
        budget = self._retry_budget_of(call.service)
        budget.on_request(call.started_at)
        unknown_error = None
        refusal = None
        failed_answer = None
        offers_left = MAXIMUM_OFFERS
        while offers_left > 0:
            offers_left -= 1
            try:
                self._check_drain(call)
            except errors.LeavingError as error:
                refusal = refusal or error
                break
            try:
                reply = await self._offer(call)
            except errors.CallError as error:
                errors.release_frames(error)
                if error.outcome is errors.Outcome.UNKNOWN:
                    unknown_error = error
                else:
                    refusal = _refusal_with_lower_retry_after(refusal, error)
                    if self._must_wait_for_owner(call, error):
                        if not await self._wait_for_owner(call, error):
                            break
                        if not isinstance(error, errors.OverloadedError):
                            # The time to be held bounds the number of these.
                            offers_left += 1
                    elif not self._prepare_next_offer(call, error):
                        break
                    if not error.has_arrived:
                        continue
            else:
                if (
                    reply.status < _SERVER_ERROR_STATUS
                    or not route.is_idempotent
                ):
                    return self._success_response(call, reply)
                failed_answer = reply
            if unknown_error is not None and not route.is_idempotent:
                break
            if not self._try_spend_retry(call):
                break
        if failed_answer is not None:
            return self._success_response(call, failed_answer)
        raise unknown_error or refusal

    def _prepare_next_offer(self, call, error):
        """Prepare another offer after a refusal; return whether to make it."""
        if not error.is_retry_safe:
            return False
        if self._has_made_all_offers(call):
            return False
        if (
            self._calls is not None
            and isinstance(error, errors.OverloadedError)
            and not self._is_worth_offering(call, error)
        ):
            return False
        upstream_id = call.offers[-1].upstream.upstream_id
        if isinstance(error, errors.UpstreamUnreachableError):
            if error.retry_after is not None:
                # It is starting, and may open while the request waits there.
                call.starting_refusals += 1
                call.excluded_ids.discard(upstream_id)
        elif (
            isinstance(error, errors.OverloadedError)
            and upstream_id not in call.reoffered_ids
            and self._would_meet_objective(call, error.retry_after or 0.0)
        ):
            # The refusal reported the current queue time of the owner node,
            # which may still be the shortest.
            call.reoffered_ids.add(upstream_id)
            call.excluded_ids.discard(upstream_id)
        return True

    def _is_worth_offering(self, call, error):
        """Return whether to offer a request again after it was refused."""
        now = trio.current_time()
        return offer_limits.is_worth_offering(
            wait=error.retry_after or 0.0,
            objective_at=call.objective_at,
            expected_seconds=self._selector.expected_seconds(call.route),
            now=now,
        )

    def _has_made_all_offers(self, call):
        offers = len(call.offers) - call.starting_refusals
        return offers >= self._maximum_offers(call)

    def _maximum_offers(self, call):
        if self._calls is not None:
            return offer_limits.MAXIMUM_OFFERS
        refusal_ratio = self._selector.overload_refusal_ratio(call.service)
        if refusal_ratio > OVERLOAD_REFUSAL_RATIO:
            return MAXIMUM_OFFERS_IN_OVERLOAD
        return MAXIMUM_OFFERS

    def _would_meet_objective(self, call, wait):
        expected_duration = self._selector.expected_seconds(call.route)
        end = (
            trio.current_time()
            + wait
            + expected_duration * admission.ON_TIME_DURATION_FACTOR
        )
        return end <= call.started_at + call.route.objective_seconds

    def _try_spend_retry(self, call):
        """Return whether one more upstream may get the request.

        If so, the retry is taken out of the retry budget of the service.
        """
        now = trio.current_time()
        expected_duration = self._selector.expected_seconds(call.route)
        return (
            self._known_crashes.crash_count(*call.fingerprints)
            < crash_records.CRASH_LIMIT - 1
            and self._selector.service_failure_ratio(call.service)
            < MAXIMUM_RETRY_FAILURE_RATIO
            and call.attempts < call.route.maximum_attempts
            and now + expected_duration * RETRY_DURATION_RATIO
            < call.deadline_at
            and self._retry_budget_of(call.service).try_spend(
                now, len(self._read_view().upstreams_by_id)
            )
        )

    def _hedge_due_at(self, call, now):
        """Return when an idempotent request is slow enough to be hedged."""
        expected_duration = self._selector.expected_seconds(call.route)
        return now + max(
            expected_duration * HEDGE_DELAY_FACTOR,
            call.route.objective_seconds,
        )

    async def run_tasks(self):
        """Hedge slow requests until cancelled."""
        await self._hedger.run()

    def _try_reserve_hedge(self, call):
        """Return whether to hedge a slow request.

        An upstream that did not get the request yet must have a short queue.
        The hedged request is taken out of the retry budget. A node that shuts
        down does not hedge and only waits for the answers.
        """
        if self._is_hedging_stopped:
            return False
        if self._has_quota(call) and self._quotas.is_near_limit(call.customer):
            # Both upstreams would count towards the quota.
            return False
        call.maximum_wait_seconds = min(
            call.maximum_wait_seconds, MAXIMUM_HEDGE_WAIT_SECONDS
        )
        try:
            self._choose_upstream(call, trio.current_time())
        except errors.NoUpstreamError:
            return False
        return self._try_spend_retry(call)

    def _choose_upstream(self, call, now):
        return self._selector.choose(
            self._read_view().usable_upstreams(call.service),
            call.route,
            call.excluded_ids,
            now,
            call.maximum_wait_seconds,
        )

    async def _offer(self, call):
        """Return the answer of an upstream; hedge an idempotent request."""
        if not call.route.is_idempotent:
            return await self._send(call)
        scope = trio.CancelScope()
        hedge_at = self._hedge_due_at(call, trio.current_time())
        hedgeable = self._hedger.track(call, scope, hedge_at)
        try:
            with scope:
                reply = await self._send(call)
                if reply.status >= _SERVER_ERROR_STATUS:
                    reply = await hedgeable.wait_for_hedge() or reply
                return reply
        except errors.CallError as error:
            reply = await hedgeable.wait_for_hedge()
            if reply is None:
                raise
            errors.release_frames(error)
            return reply
        finally:
            self._hedger.untrack(hedgeable)
        return hedgeable.hedge_reply

    async def _send_hedge(self, call):
        """Return the answer of a second upstream to a slow request.

        Unless the answer is a server error, the time since the request was
        sent to the first upstream is recorded as a duration there, because a
        request that is cancelled there has no measured duration.
        """
        first_upstream = call.offers[-1].upstream
        sent_at = call.sent_at
        reply = await self._send(call)
        if reply.status < _SERVER_ERROR_STATUS:
            now = trio.current_time()
            self._selector.on_answer(
                first_upstream, call.route, now - sent_at, now
            )
        return reply

    async def _send(self, call):
        """Send a request to the best owner node and return the answer."""
        now = trio.current_time()
        self._known_crashes.check(*call.fingerprints)
        if now >= call.deadline_at:
            raise errors.DeadlineBeforeSendError(
                "the deadline passed before an owner node was chosen"
            )
        choice = self._choose_upstream(call, now)
        upstream = choice.upstream
        call.excluded_ids.add(upstream.upstream_id)
        call.offers.append(choice)
        call.sent_at = now
        call.mirror_state = self._read_mirror_state()
        selector = self._selector
        selector.on_sent(upstream.upstream_id, now)
        try:
            reply = await self._exchange(call, upstream, now)
        except errors.CallError as error:
            self._on_exchange_error(upstream, error)
            raise
        finally:
            selector.on_ended(upstream.upstream_id)
        sent_at = now
        now = trio.current_time()
        selector.on_load_report(upstream.address, reply.load, now)
        kind = type(reply)
        if kind is link.Refusal:
            error = _REFUSAL_ERRORS_BY_CODE.get(
                reply.code, errors.OverloadedError
            )(reply.detail)
            error.has_arrived = reply.has_arrived
            error.retry_after = reply.retry_after_ms / 1000 or None
            if isinstance(error, errors.UnknownServiceError):
                selector.on_instance_mismatch(upstream.upstream_id, now)
            if isinstance(error, errors.OverloadedError):
                selector.on_admission_result(call.service, True)
            if reply.has_arrived:
                selector.on_refused(upstream, now)
            else:
                call.attempts -= 1
            raise error
        if kind is link.Failure:
            selector.on_failure(upstream, now)
            raise _FAILURE_ERRORS_BY_CODE.get(
                reply.code, errors.OutcomeUnknownError
            )(reply.detail)
        selector.on_admission_result(call.service, False)
        self._apply_self_report(call, upstream, reply, sent_at, now)
        self._validate_answer(upstream, reply)
        if reply.status >= _SERVER_ERROR_STATUS:
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

    def _apply_self_report(self, call, upstream, reply, sent_at, now):
        """Apply what an answer reports about its upstream.

        The owner node reports the same, but one of an older build does not,
        and its report may be lost.
        """
        report = self_report.read_self_report(
            reply.headers, self._header_names
        )
        self._selector.on_self_report(
            upstream.upstream_id, report, sent_at, now
        )
        if report.is_leaving:
            self._on_leaving(
                upstream.upstream_id,
                upstream.started_ms,
                source=call.request_id,
            )

    def _on_exchange_error(self, upstream, error):
        if isinstance(error, errors.UpstreamUnreachableError):
            self._selector.on_owner_unreachable(upstream.address)

    def _validate_answer(self, upstream, reply):
        """Raise an error for an answer that no healthy upstream sends.

        Status 408, 421, 429 and 503 would tell the client that the request
        was not run. An upstream that did not run it sends the ``not_run``
        header or status 421, and the owner node reports that as a refusal.
        """
        header_names = self._header_names
        has_signature = any(
            name == header_names.signature for name, _ in reply.headers
        )
        is_encoded = any(
            name == "content-encoding" for name, _ in reply.headers
        )
        is_reserved_status = reply.status in (408, 421, 429, 503)
        # An owner node of an older build passes on statuses such as 000.
        is_final_status = 200 <= reply.status <= 599
        if (
            not is_final_status
            or (reply.status < 300 and not has_signature)
            or is_encoded
            or is_reserved_status
        ):
            self._selector.on_failure(upstream, trio.current_time())
            raise errors.AnswerMismatchError(
                f"invalid answer: status {reply.status} from "
                f"{upstream.upstream_id} "
                f"{'with' if has_signature else 'without'} a signature"
            )

    async def _exchange(self, call, upstream, now):
        own = self._own_host
        is_local = (
            upstream.address == own.upstream_address
            and upstream.port == own.upstream_port
        )
        peer = None if is_local else self._link_to(upstream.address)
        known_limit = self._selector.known_limit(upstream.upstream_id, now)
        priority, route_priority = self._priorities(call)
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
            objective_ms=(call.objective_at - now) * 1000,
            priority=priority,
            is_idempotent=call.route.is_idempotent,
            expected_ms=self._selector.expected_seconds(call.route) * 1000,
            sent_at=now,
            maximum_wait_ms=self._slot_wait_limit(call) * 1000,
            sender=own.address,
            known_limit=-1.0 if known_limit is None else known_limit,
            route_priority=route_priority,
        )
        end_at = min(
            call.deadline_at + REPLY_MARGIN_SECONDS, self._drain_ends_at
        )
        call.attempts += 1
        with trio.CancelScope(deadline=end_at) as scope:
            self._exchange_scopes.add(scope)
            try:
                if is_local:
                    return await self._run_local(work)
                return await peer.exchange(work)
            except errors.CallError as error:
                if error.outcome is errors.Outcome.NOT_RUN:
                    call.attempts -= 1
                raise
            finally:
                self._exchange_scopes.discard(scope)
        raise errors.DeadlineAfterSendError(
            f"no reply from the owner node at {upstream.address}"
        )

    def _priorities(self, call):
        """Return both priorities at owner nodes; calls of upstreams are first.

        See ``customers.priorities``.
        """
        priority, route_priority = customers.priorities(
            call.customer, call.route
        )
        if call.is_upstream_call:
            priority = min(call_graph.CALL_PRIORITY, priority)
        return priority, route_priority

    def _slot_wait_limit(self, call):
        """Return the maximum queue time of the current offer, seconds."""
        if (
            len(call.offers)
            > self._maximum_offers(call) - UNBOUNDED_WAIT_OFFERS
            or call.starting_refusals >= startup.MAXIMUM_STARTING_REFUSALS
        ):
            return math.inf
        expected = call.offers[-1].expected_wait
        return expected * WAIT_BOUND_FACTOR + WAIT_BOUND_MARGIN_SECONDS

    def _success_response(self, call, reply):
        self._record_outcome(call, "run", None, reply.status)
        self._count(f"requests_total.{reply.status}")
        return messages.Response(
            status=reply.status,
            headers=tuple(
                messages.Header(name=name, value=value)
                for name, value in reply.headers
                if name not in _FRAMING_HEADER_NAMES
            ),
            body=reply.body,
        )

    def _failure_response(self, error, call, request):
        """Return the response to a request without an upstream's answer."""
        status = error.status
        is_beyond_quota = isinstance(error, errors.QuotaExceededError)
        keeps_status = is_beyond_quota or isinstance(
            error, errors.QuarantinedError
        )
        if (
            error.outcome is errors.Outcome.NOT_RUN
            and status >= 429
            and not keeps_status
        ):
            status = 503
        retry_after = None
        if is_beyond_quota:
            # Spread already; an earlier retry would be refused again.
            retry_after = error.retry_after
        elif status == 503 or keeps_status:
            retry_after = self._retry_after_seconds(error, call)
        if call is None:
            self._record(
                "refuse",
                request_id=request.header(self._header_names.request_id),
                host=request.header("host"),
                target=request.target[:100],
                code=error.code,
                detail=error.detail,
            )
        else:
            self._record_outcome(
                call, str(error.outcome), error, status, retry_after
            )
        self._count(f"requests_total.{error.code}")
        request_id = request.header(self._header_names.request_id)
        return self._error_response(status, error, request_id, retry_after)

    def _retry_after_seconds(self, error, call=None):
        if (
            call is not None
            and self._calls is not None
            and isinstance(error, errors.OverloadedError)
        ):
            now = trio.current_time()
            return return_times.choose(
                wait=error.retry_after or DEFAULT_RETRY_AFTER_SECONDS,
                useful_seconds=call.objective_at
                - now
                - self._selector.expected_seconds(call.route)
                * admission.ON_TIME_DURATION_FACTOR,
                random=self._random,
            )
        seconds = error.retry_after or (
            UPSTREAM_REFUSED_RETRY_AFTER_SECONDS
            if isinstance(error, errors.UpstreamRefusedError)
            else DEFAULT_RETRY_AFTER_SECONDS
        )
        jitter = RETRY_AFTER_JITTER_RATIO * self._random.random()
        return seconds * (1 - RETRY_AFTER_JITTER_RATIO / 2 + jitter)

    def _error_response(self, status, error, request_id, retry_after):
        headers = []
        if request_id is not None:
            headers.append(
                messages.Header(
                    name=self._header_names.request_id, value=request_id
                )
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

    def _record_outcome(
        self, call, outcome, error, status=None, retry_after=None
    ):
        now = trio.current_time()
        record = self._record
        if outcome == "run" and len(call.offers) == 1:
            record = functools.partial(self._routine_log.record, now=now)
        elif isinstance(error, errors.QuotaExceededError):
            record = functools.partial(self._quota_log.record, now=now)
        fields = {}
        if self._calls is not None:
            fields["is_call"] = call.is_upstream_call
        record(
            "route",
            **fields,
            request_id=call.request_id,
            route=call.route.name,
            service=call.service,
            version=call.version,
            customer=call.customer and call.customer.name,
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
                    choice.limit,
                    *(
                        ()
                        if choice.slowdown is None
                        else (round(choice.slowdown, 2),)
                    ),
                ]
                for choice in call.offers
            ],
            outcome=outcome,
            status=status,
            fingerprints=[f"{each:x}" for each in call.fingerprints],
            crashes=self._known_crashes.crash_count(*call.fingerprints),
            code=None if error is None else error.code,
            detail=None if error is None else error.detail,
            retry_after_s=retry_after and round(retry_after, 3),
            held_ms=round((now - call.started_at) * 1000, 1),
            position=call.mirror_state
            and positions.describe(call.mirror_state.position),
            view_age_ms=call.mirror_state and call.mirror_state.age_ms,
        )


# The node frames the response itself, so the framing headers of the upstream's
# answer are removed.
_FRAMING_HEADER_NAMES = frozenset({"content-length", "transfer-encoding"})
_REFUSAL_ERRORS_BY_CODE = {
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
_FAILURE_ERRORS_BY_CODE = {
    error_type.code: error_type
    for error_type in (
        errors.AnswerMemoryError,
        errors.AnswerMismatchError,
        errors.AnswerTooLargeError,
        errors.DeadlineAfterSendError,
        errors.OutcomeUnknownError,
    )
}


def _refusal_with_lower_retry_after(first, second):
    """Return the refusal with the lower Retry-After value."""
    if first is None:
        return second
    if second.retry_after is None:
        return first
    if first.retry_after is None or second.retry_after < first.retry_after:
        return second
    return first
