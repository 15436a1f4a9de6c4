"""Detects that the platform has stopped responding to this node.

A long poll tells nothing until it ends. While one waits, small reads show
whether the platform still responds.
"""

import math

import trio

from ..core import errors

# Fractions of the maximum apply time: the longest time without a response
# before the platform is probed, and the time within which it must respond.
PROBE_INTERVAL_RATIO = 0.15
PROBE_TIMEOUT_RATIO = 0.25
# Delay before the next attempt of a probe that failed at once.
PROBE_RETRY_SECONDS = 0.1
# The timeout of a probe is counted in this many parts, of which each counts
# in full at most, so that a stall of this process is not taken for silence.
_TIMEOUT_PARTS = 5


class PlatformMonitor:
    """Ends the calls of this node when the platform does not respond.

    Parameters
    ----------
    probe : callable
        ``await probe()`` makes a cheap call that reads little; raises
        ``errors.PlatformUnavailableError``.
    maximum_apply_seconds : float
        Longest time until a published change must be active.

    Attributes
    ----------
    heard_at : float
        Time of the last response, on trio's clock.
    probe_count : int
        Number of probes sent.
    """

    def __init__(self, *, probe, maximum_apply_seconds):
        self._probe = probe
        self._interval_seconds = maximum_apply_seconds * PROBE_INTERVAL_RATIO
        self._timeout_seconds = maximum_apply_seconds * PROBE_TIMEOUT_RATIO
        self._failed_at = -math.inf
        self._failure = ""
        self._lock = trio.Lock()
        self._scopes = set()
        self._call_started = trio.Event()
        self.heard_at = -math.inf
        self.probe_count = 0

    async def run(self):
        """Probe the platform while calls wait, until cancelled."""
        while True:
            if not self._scopes:
                self._call_started = trio.Event()
                await self._call_started.wait()
            await trio.sleep_until(self.heard_at + self._interval_seconds)
            if self._scopes and not await self._responds():
                for scope in self._scopes:
                    scope.cancel()
                self._scopes.clear()

    async def call(self, function, *arguments):
        """Call the platform; give up when it stops responding meanwhile.

        Parameters
        ----------
        function : callable
            ``await function(*arguments)`` returns the response.

        Raises
        ------
        errors.PlatformUnavailableError
            The platform did not respond to probes during the call.
        """
        scope = trio.CancelScope()
        self._scopes.add(scope)
        self._call_started.set()
        try:
            with scope:
                result = await function(*arguments)
                self.heard_at = trio.current_time()
                return result
        except errors.HistoryLostError:
            self.heard_at = trio.current_time()
            raise
        finally:
            self._scopes.discard(scope)
        raise self._make_error()

    async def check(self):
        """Probe the platform unless it has responded just before.

        Raises
        ------
        errors.PlatformUnavailableError
            It did not respond in time.
        """
        is_recent = (
            trio.current_time() - self.heard_at < self._interval_seconds
        )
        if not is_recent and not await self._responds():
            raise self._make_error()

    async def _responds(self):
        """Return whether the platform responds; tasks share one probe."""
        began_at = trio.current_time()
        async with self._lock:
            if max(self.heard_at, self._failed_at) < began_at:
                await self._send_probe()
            return self.heard_at > self._failed_at

    async def _send_probe(self):
        responded = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_until_response, responded)
            for _ in range(_TIMEOUT_PARTS):
                with trio.move_on_after(
                    self._timeout_seconds / _TIMEOUT_PARTS
                ):
                    await responded.wait()
                    break
            nursery.cancel_scope.cancel()
        if not responded.is_set():
            self._failed_at = trio.current_time()

    async def _probe_until_response(self, responded):
        self._failure = "no response to a probe"
        while True:
            self.probe_count += 1
            try:
                await self._probe()
            except errors.PlatformUnavailableError as error:
                self._failure = error.detail
                await trio.sleep(PROBE_RETRY_SECONDS)
            else:
                self.heard_at = trio.current_time()
                responded.set()
                return

    def _make_error(self):
        error = errors.PlatformUnavailableError(
            f"the platform has not responded for {self._timeout_seconds} s: "
            f"{self._failure}"
        )
        error.is_unanswered = True
        return error
