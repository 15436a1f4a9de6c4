"""Sends slow repeatable requests to a second upstream as well.

The first answer counts. The request stays at the first upstream until the
second one has answered, so that no work is given up for nothing.
"""

import math

import eliot
import trio

from ..core import decisions
from ..core import errors

# Slow requests are looked for this often, s; less often before one is due, and
# not at all without requests: a node at rest needs no timer.
CHECK_SECONDS = 0.05
MAXIMUM_CHECK_SECONDS = 0.25
# From this status on, an answer is the upstream's failure.
_UPSTREAM_ERROR = 500


class Sending:
    """A repeatable request that an upstream has.

    Attributes
    ----------
    slow_at : float
        Time from which it may be hedged.
    reply : object or None
        The answer of the second upstream.
    """

    __slots__ = ("call", "slow_at", "reply", "_scope", "_hedge")

    def __init__(self, *, call, scope, slow_at):
        self.call = call
        self.slow_at = slow_at
        self.reply = None
        self._scope = scope
        self._hedge = None

    @property
    def is_hedged(self):
        """Whether a second upstream was asked."""
        return self._hedge is not None

    def begin_hedge(self):
        """Return the scope in which the second upstream is asked."""
        self._hedge = _Hedge()
        return self._hedge.scope

    def end_hedge(self, reply):
        """Note what the second upstream answered, or None."""
        self.reply = reply
        self._hedge.ended.set()
        if reply is not None:
            self._scope.cancel()

    def cancel_hedge(self):
        """Withdraw the request from the second upstream."""
        if self._hedge is not None:
            self._hedge.scope.cancel()

    async def wait_reply(self):
        """Return what the second upstream answers, None without one."""
        if self._hedge is not None:
            await self._hedge.ended.wait()
        return self.reply


class _Hedge:
    __slots__ = ("scope", "ended")

    def __init__(self):
        self.scope = trio.CancelScope()
        self.ended = trio.Event()


class Hedges:
    """Looks for slow requests and hedges them.

    Parameters
    ----------
    may_hedge : callable
        ``may_hedge(call)`` tells whether another upstream may get it now,
        and takes the repeat out of the budget.
    offer : callable
        ``await offer(call)`` returns the answer of another upstream.
    record : callable
        ``record(action, **fields)`` writes the decision log.
    """

    def __init__(self, *, may_hedge, offer, record=decisions.record):
        self._may_hedge = may_hedge
        self._offer = offer
        self._record = record
        self._sendings = set()
        self._has_sendings = trio.Event()

    def begin(self, call, scope, slow_at):
        """Return the ``Sending`` of a request that is being sent.

        Parameters
        ----------
        call : call.Call
        scope : trio.CancelScope
            Cancelled when another upstream has answered.
        slow_at : float
        """
        sending = Sending(call=call, scope=scope, slow_at=slow_at)
        self._sendings.add(sending)
        self._has_sendings.set()
        return sending

    def end(self, sending):
        """Forget a request that has its answer or has failed."""
        self._sendings.discard(sending)
        sending.cancel_hedge()

    async def run(self):
        """Hedge slow requests until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_due()
                now = trio.current_time()
                for sending in list(self._sendings):
                    if (
                        now >= sending.slow_at
                        and not sending.is_hedged
                        and self._may_hedge(sending.call)
                    ):
                        scope = sending.begin_hedge()
                        nursery.start_soon(self._hedge, sending, scope)

    async def _wait_due(self):
        """Wait until a request may be slow."""
        if not self._sendings:
            self._has_sendings = trio.Event()
            await self._has_sendings.wait()
        now = trio.current_time()
        due_at = min(
            (one.slow_at for one in self._sendings if not one.is_hedged),
            default=math.inf,
        )
        await trio.sleep(
            min(MAXIMUM_CHECK_SECONDS, max(CHECK_SECONDS, due_at - now))
        )

    async def _hedge(self, sending, scope):
        reply = None
        reason = "the first upstream answered"
        try:
            with scope:
                reply = await self._offer(sending.call)
                reason = f"status {reply.status}"
                if reply.status >= _UPSTREAM_ERROR:
                    reply = None
        except errors.CallError as error:
            reason = error.code
        except Exception:
            # A fault of this program must not end the other requests.
            eliot.write_traceback()
            reason = "a fault of the node"
        finally:
            sending.end_hedge(reply)
        self._record(
            "hedge",
            request_id=sending.call.request_id,
            route=sending.call.route.name,
            chosen=reply is not None,
            reason=reason,
        )
