"""Hedged requests: sends slow idempotent requests to a second upstream.

The first answer is used. The request is not cancelled at the first upstream
until the second one has answered, because the second one may refuse it.
"""

import math

import eliot
import trio

from ..core import decisions
from ..core import errors

# Interval of the checks for slow requests. It is longer while none is due, and
# there are no checks without requests, so that an idle node needs no timer.
MINIMUM_CHECK_INTERVAL_SECONDS = 0.05
MAXIMUM_CHECK_INTERVAL_SECONDS = 0.25
# An answer with this status or a higher one is a failure of the upstream.
_SERVER_ERROR_STATUS = 500


class HedgeableRequest:
    """An idempotent request that was sent to an upstream.

    Attributes
    ----------
    hedge_at : float
        Time from which it may be hedged.
    hedge_reply : link.Answer or None
        The answer of the second upstream.
    """

    __slots__ = ("call", "hedge_at", "hedge_reply", "_scope", "_hedge")

    def __init__(self, *, call, scope, hedge_at):
        self.call = call
        self.hedge_at = hedge_at
        self.hedge_reply = None
        self._scope = scope
        self._hedge = None

    @property
    def is_hedged(self):
        """Whether the request was sent to a second upstream."""
        return self._hedge is not None

    def begin_hedge(self):
        """Return the cancel scope of the hedged request."""
        self._hedge = _HedgeAttempt()
        return self._hedge.scope

    def end_hedge(self, reply):
        """Store the answer of the second upstream, or None."""
        self.hedge_reply = reply
        self._hedge.ended.set()
        if reply is not None:
            self._scope.cancel()

    def cancel_hedge(self):
        """Cancel the request at the second upstream."""
        if self._hedge is not None:
            self._hedge.scope.cancel()

    async def wait_for_hedge(self):
        """Return the answer of the second upstream, or None."""
        if self._hedge is not None:
            await self._hedge.ended.wait()
        return self.hedge_reply


class _HedgeAttempt:
    __slots__ = ("scope", "ended")

    def __init__(self):
        self.scope = trio.CancelScope()
        self.ended = trio.Event()


class Hedger:
    """Hedges slow requests.

    Parameters
    ----------
    try_reserve_hedge : callable
        ``try_reserve_hedge(call)`` returns whether another upstream may get
        the request now. If so, one retry is taken out of the retry budget.
    send_hedge : callable
        ``await send_hedge(call)`` returns the answer of another upstream.
    record : callable
        ``record(action, **fields)`` writes a line of the decision log.
    """

    def __init__(
        self, *, try_reserve_hedge, send_hedge, record=decisions.record
    ):
        self._try_reserve_hedge = try_reserve_hedge
        self._send_hedge = send_hedge
        self._record = record
        self._requests = set()
        self._has_requests = trio.Event()

    def track(self, call, scope, hedge_at):
        """Return the ``HedgeableRequest`` of a request that is being sent.

        Parameters
        ----------
        call : call.Call
        scope : trio.CancelScope
            Cancelled when the second upstream has answered without a server
            error.
        hedge_at : float
            Time from which the request may be hedged.
        """
        request = HedgeableRequest(call=call, scope=scope, hedge_at=hedge_at)
        self._requests.add(request)
        self._has_requests.set()
        return request

    def untrack(self, request):
        """Stop tracking a request that has its answer or has failed."""
        self._requests.discard(request)
        request.cancel_hedge()

    async def run(self):
        """Hedge slow requests until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_until_due()
                self._begin_hedges(nursery)

    def _begin_hedges(self, nursery):
        # Not a part of ``run``, whose names would keep the last request, and
        # so its body, until another one is slow.
        now = trio.current_time()
        for request in list(self._requests):
            if (
                now >= request.hedge_at
                and not request.is_hedged
                and self._try_reserve_hedge(request.call)
            ):
                scope = request.begin_hedge()
                nursery.start_soon(self._run_hedge, request, scope)

    async def _wait_until_due(self):
        """Wait until a request may be due for hedging."""
        if not self._requests:
            self._has_requests = trio.Event()
            await self._has_requests.wait()
        now = trio.current_time()
        due_at = min(
            (
                request.hedge_at
                for request in self._requests
                if not request.is_hedged
            ),
            default=math.inf,
        )
        await trio.sleep(
            min(
                MAXIMUM_CHECK_INTERVAL_SECONDS,
                max(MINIMUM_CHECK_INTERVAL_SECONDS, due_at - now),
            )
        )

    async def _run_hedge(self, request, scope):
        reply = None
        reason = "the first upstream answered"
        try:
            with scope:
                reply = await self._send_hedge(request.call)
                reason = f"status {reply.status}"
                if reply.status >= _SERVER_ERROR_STATUS:
                    reply = None
        except errors.CallError as error:
            errors.release_frames(error)
            reason = error.code
        except Exception:
            # An unexpected exception must not end the other requests.
            eliot.write_traceback()
            reason = "internal error of the entry node"
        finally:
            request.end_hedge(reply)
        self._record(
            "hedge",
            request_id=request.call.request_id,
            route=request.call.route.name,
            chosen=reply is not None,
            reason=reason,
        )
