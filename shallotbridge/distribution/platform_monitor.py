"""Shows whether the platform responds to this node, and what is its latest.

A long poll tells nothing until it ends. While one waits, small reads show
whether the platform still responds, and its latest position shows whether the
long poll has missed a change.
"""

import collections
import math

import trio

from ..core import errors

# Fractions of the maximum apply time: the longest time without a response
# before the platform is probed, the time within which it must respond, and
# the interval at which a probe reads the latest position. The others may be
# stale and cost a tenth.
PROBE_INTERVAL_RATIO = 0.2
PROBE_TIMEOUT_RATIO = 0.25
POSITION_INTERVAL_RATIO = 0.5
# Delay before the next attempt of a probe that failed at once.
PROBE_RETRY_SECONDS = 0.2
# Positions of the latest changes that are remembered.
MAXIMUM_CHANGES = 1000
# The timeout of a probe is counted in this many parts, of which each counts
# in full at most, so that a stall of this process is not taken for silence.
_TIMEOUT_PARTS = 5


class PlatformMonitor:
    """Ends the calls of this node when the platform does not respond.

    While calls wait, it probes the platform and reports its latest position.

    Parameters
    ----------
    read_position : callable
        ``await read_position(may_be_stale)`` returns the platform's latest
        position, of any topic; raises ``errors.PlatformUnavailableError``.
    on_position : callable
        ``on_position(position, read_at)`` is called with each position that
        is not stale and the time before it was read, and again when watches
        have delivered changes since.
    maximum_apply_seconds : float
        Longest time until a published change must be active.

    Attributes
    ----------
    heard_at : float
        Time of the last response, on trio's clock.
    probe_count : int
        Number of probes sent that may be stale.
    call_count : int
        Number of other calls, which read the latest position.
    """

    def __init__(self, *, read_position, on_position, maximum_apply_seconds):
        self._read_position = read_position
        self._on_position = on_position
        self._interval_seconds = maximum_apply_seconds * PROBE_INTERVAL_RATIO
        self._timeout_seconds = maximum_apply_seconds * PROBE_TIMEOUT_RATIO
        self._position_interval_seconds = (
            maximum_apply_seconds * POSITION_INTERVAL_RATIO
        )
        self._position_due_at = -math.inf
        self._failed_at = -math.inf
        self._failure = ""
        self._lock = trio.Lock()
        self._scopes = set()
        # The latest position and the time before it was read.
        self._latest = None
        self._change_positions = collections.deque(maxlen=MAXIMUM_CHANGES)
        self._call_started = trio.Event()
        self.heard_at = -math.inf
        self.probe_count = 0
        self.call_count = 0

    async def run(self):
        """Probe the platform while calls wait, until cancelled."""
        while True:
            if not self._scopes:
                self._call_started = trio.Event()
                await self._call_started.wait()
            # A position is due while calls wait, also if responses come.
            await trio.sleep_until(
                min(
                    self.heard_at + self._interval_seconds,
                    self._position_due_at,
                )
            )
            if self._scopes and not await self._responds(
                may_be_stale=trio.current_time() < self._position_due_at
            ):
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

    async def read_all(self, function, *arguments):
        """Make a call that returns items and the latest position.

        It takes the place of a position read.
        """
        began_at = trio.current_time()
        self._position_due_at = max(
            self._position_due_at, began_at + self._position_interval_seconds
        )
        items, position = await self.call(function, *arguments)
        self._latest = (position, began_at)
        return items, position

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
        if not is_recent and not await self._responds(may_be_stale=True):
            raise self._make_error()

    def add_changes(self, change_positions):
        """Remember the positions of changes that a watch has delivered.

        Followers compare their copies with the latest position again, as
        these may be the changes that they wait for.
        """
        self._change_positions.extend(change_positions)
        self.report_position()

    def report_position(self):
        """Call ``on_position`` with the latest position that was read."""
        if self._latest is not None:
            self._on_position(*self._latest)

    def has_all_changes(self, after, until):
        """Return whether watches have delivered all changes in a range.

        Each change of any topic has a position of its own, one higher than
        that before.

        Parameters
        ----------
        after, until : int
            The changes after the first position, up to the second.
        """
        return until - after <= MAXIMUM_CHANGES and set(
            range(after + 1, until + 1)
        ).issubset(self._change_positions)

    async def _responds(self, may_be_stale):
        """Return whether the platform responds; tasks share one probe."""
        began_at = trio.current_time()
        async with self._lock:
            if (
                max(self.heard_at, self._failed_at) < began_at
                or not may_be_stale
            ):
                await self._send_probe(may_be_stale)
            return self.heard_at > self._failed_at

    async def _send_probe(self, may_be_stale):
        responded = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._probe_until_response, may_be_stale, responded
            )
            for _ in range(_TIMEOUT_PARTS):
                with trio.move_on_after(
                    self._timeout_seconds / _TIMEOUT_PARTS
                ):
                    await responded.wait()
                    break
            nursery.cancel_scope.cancel()
        if not responded.is_set():
            self._failed_at = trio.current_time()

    async def _probe_until_response(self, may_be_stale, responded):
        self._failure = "no response to a probe"
        while True:
            began_at = trio.current_time()
            if may_be_stale:
                self.probe_count += 1
            else:
                self.call_count += 1
                # Also if it fails: a platform at its rate limit may still
                # answer stale reads.
                self._position_due_at = (
                    began_at + self._position_interval_seconds
                )
            try:
                position = await self._read_position(may_be_stale)
            except errors.PlatformUnavailableError as error:
                self._failure = error.detail
                may_be_stale = True
                await trio.sleep(PROBE_RETRY_SECONDS)
            else:
                self.heard_at = trio.current_time()
                if not may_be_stale:
                    self._latest = (position, began_at)
                    self._on_position(position, began_at)
                responded.set()
                return

    def _make_error(self):
        error = errors.PlatformUnavailableError(
            f"the platform has not responded for {self._timeout_seconds} s: "
            f"{self._failure}"
        )
        error.is_unanswered = True
        return error
