"""The slots of the own upstream and the queue for them."""

import collections

import trio

from . import errors
from . import suspects as suspect_table

# Cancelled work may run on after its connection was closed.
CANCELLATION_GRACE_SECONDS = 1.0


class Slot:
    """A slot that a request holds.

    Parameters
    ----------
    fingerprint : bytes
    is_suspect : bool
        Whether the request was a suspect when it started.
    started : float
        Time on trio's clock.

    Attributes
    ----------
    is_blamed : bool
        Whether a reset of the upstream was already held against it.
    """

    __slots__ = ("fingerprint", "is_suspect", "started", "is_blamed")

    def __init__(self, *, fingerprint, is_suspect, started):
        self.fingerprint = fingerprint
        self.is_suspect = is_suspect
        self.started = started
        self.is_blamed = False


class _Waiter:
    """A request in the queue."""

    __slots__ = ("call", "fingerprint", "event", "error", "slot")

    def __init__(self, *, call, fingerprint):
        self.call = call
        self.fingerprint = fingerprint
        self.event = trio.Event()
        self.error = None
        self.slot = None


class SlotQueue:
    """Gives out slots within the limit, in the order of arrival.

    Parameters
    ----------
    acceptance : acceptance.Acceptance
    suspects : suspects.SuspectTable
    service_time : service_time.ServiceTime
    on_released : callable
        Called without arguments after each release of a slot.

    Attributes
    ----------
    held : set of Slot
        Including those of cancelled work.
    abandoned : set of Slot
        Those of cancelled work, which may still run.
    """

    def __init__(self, *, acceptance, suspects, service_time, on_released):
        self.held = set()
        self.abandoned = set()
        self._acceptance = acceptance
        self._suspects = suspects
        self._service_time = service_time
        self._on_released = on_released
        self._nursery = None
        self._waiters = collections.deque()

    def start(self, nursery):
        """Take the nursery for the tasks that release slots later."""
        self._nursery = nursery

    @property
    def queued(self):
        """Requests that wait for a slot."""
        return len(self._waiters)

    @property
    def is_idle(self):
        """Whether no slot is held and nothing waits."""
        return not (self.held or self._waiters)

    async def take(self, call, fingerprint):
        """Wait for a slot.

        Parameters
        ----------
        call : model.Call
        fingerprint : bytes

        Returns
        -------
        Slot

        Raises
        ------
        errors.CallError
            With outcome "not run".
        """
        service = self._check(call, fingerprint)
        if not self._waiters and self._may_start(fingerprint):
            return self._start(fingerprint)
        self._check_place(call, service.upstream.queue)
        waiter = _Waiter(call=call, fingerprint=fingerprint)
        self._waiters.append(waiter)
        # A waiting suspect does not keep those behind it from a slot.
        self.dispatch()
        await self._wait(waiter)
        # The slot was taken in another task; the state may have changed
        # before this one was resumed.
        try:
            self._check(call, fingerprint)
        except errors.CallError:
            self.release(waiter.slot)
            raise
        return waiter.slot

    def _check(self, call, fingerprint):
        """Return the own service, or raise if the request must not start."""
        service = self._acceptance.check(call)
        if self._suspects.is_quarantined(fingerprint):
            raise errors.QuarantinedError(
                "this request crashed two upstreams and is refused for "
                f"{suspect_table.QUARANTINE_SECONDS:.0f} s"
            )
        if trio.current_time() >= call.deadline:
            raise errors.DeadlineBeforeSendError(
                "the deadline passed before the request was sent"
            )
        return service

    def _check_place(self, call, maximum):
        """Raise unless the request may join the queue."""
        if len(self._waiters) >= maximum:
            self._drop_passed()
        is_full = len(self._waiters) >= maximum
        limit = self._acceptance.limit
        if not is_full and not self._service_time.is_wait_too_long(
            queued=len(self._waiters),
            allowed=limit.allowed,
            deadline=call.deadline,
        ):
            return
        kind = errors.OverloadedError
        if limit.is_ramping:
            kind = errors.ColdError
        raise kind(
            f"{len(self.held)} of {limit.allowed} allowed "
            f"slots are in use and {len(self._waiters)} requests wait"
            + ("" if is_full else ", too long for the deadline")
        )

    async def _wait(self, waiter):
        try:
            with trio.move_on_at(waiter.call.deadline):
                await waiter.event.wait()
        except trio.Cancelled:
            self._leave(waiter)
            raise
        if not waiter.event.is_set():
            self._leave(waiter)
            raise _deadline_error()
        if waiter.error is not None:
            raise waiter.error

    def _leave(self, waiter):
        if waiter.slot is not None:
            self.release(waiter.slot)
        elif waiter in self._waiters:
            self._waiters.remove(waiter)

    def _may_start(self, fingerprint):
        if len(self.held) >= self._acceptance.limit.allowed:
            return False
        return not (
            self._suspects.is_suspect(fingerprint)
            and any(self._is_suspect(slot) for slot in self.held)
        )

    def _is_suspect(self, slot):
        # A report may make a request a suspect while it runs.
        return slot.is_suspect or self._suspects.is_suspect(slot.fingerprint)

    def _start(self, fingerprint):
        slot = Slot(
            fingerprint=fingerprint,
            is_suspect=self._suspects.is_suspect(fingerprint),
            started=self._acceptance.limit.on_start(),
        )
        self.held.add(slot)
        return slot

    def _drop_passed(self):
        now = trio.current_time()
        for waiter in list(self._waiters):
            if now >= waiter.call.deadline:
                self._refuse(waiter, _deadline_error())

    def _refuse(self, waiter, error):
        self._waiters.remove(waiter)
        waiter.error = error
        waiter.event.set()

    def dispatch(self):
        """Give free slots to those that wait, in their order."""
        for waiter in list(self._waiters):
            try:
                self._check(waiter.call, waiter.fingerprint)
            except errors.CallError as error:
                self._refuse(waiter, error)
                continue
            if len(self.held) >= self._acceptance.limit.allowed:
                return
            if self._may_start(waiter.fingerprint):
                self._waiters.remove(waiter)
                waiter.slot = self._start(waiter.fingerprint)
                waiter.event.set()

    def release(self, slot):
        """Give back a slot at once."""
        self.held.discard(slot)
        self.dispatch()
        self._on_released()

    def release_later(self, slot):
        """Give back the slot of cancelled work, which may run on."""
        self.abandoned.add(slot)
        self._nursery.start_soon(self._release_after_grace, slot)

    async def _release_after_grace(self, slot):
        await trio.sleep(CANCELLATION_GRACE_SECONDS)
        self.abandoned.discard(slot)
        self.release(slot)


def _deadline_error():
    return errors.DeadlineBeforeSendError(
        "the deadline passed while the request waited for a slot"
    )
