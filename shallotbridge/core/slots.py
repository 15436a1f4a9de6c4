"""Slots of this host's upstream and the queue for them."""

import collections

import trio

from . import errors
from . import suspects as suspect_table

# The upstream may still run a cancelled request after its connection was
# closed, so its slot is released only after this time.
CANCELLATION_GRACE_SECONDS = 1.0


class Slot:
    """Slot that a request holds.

    Parameters
    ----------
    fingerprint : bytes
        Fingerprint of the request.
    is_suspect : bool
        Whether the request was a suspect when it started.
    started : float
        Start time on trio's clock, seconds.

    Attributes
    ----------
    is_crash_candidate : bool
        Whether the request was recorded as in flight at a reset or crash of
        the upstream.
    """

    __slots__ = ("fingerprint", "is_suspect", "started", "is_crash_candidate")

    def __init__(self, *, fingerprint, is_suspect, started):
        self.fingerprint = fingerprint
        self.is_suspect = is_suspect
        self.started = started
        self.is_crash_candidate = False


class _Waiter:
    """Request in the queue."""

    __slots__ = ("call", "fingerprint", "event", "error", "slot")

    def __init__(self, *, call, fingerprint):
        self.call = call
        self.fingerprint = fingerprint
        self.event = trio.Event()
        self.error = None
        self.slot = None


class SlotQueue:
    """Grants slots within the concurrency limit, in the order of arrival.

    Parameters
    ----------
    acceptance : acceptance.Acceptance
    suspects : suspects.SuspectTable
    service_time : service_time.ServiceTime
    on_released : callable
        ``on_released()`` is called after each release of a slot.

    Attributes
    ----------
    held_slots : set of Slot
        Slots in use, including those of cancelled requests.
    cancelled_slots : set of Slot
        Slots of cancelled requests, which the upstream may still run.
    """

    def __init__(self, *, acceptance, suspects, service_time, on_released):
        self.held_slots = set()
        self.cancelled_slots = set()
        self._acceptance = acceptance
        self._suspects = suspects
        self._service_time = service_time
        self._on_released = on_released
        self._nursery = None
        self._waiters = collections.deque()

    def start(self, nursery):
        """Set the nursery for the tasks that release slots later."""
        self._nursery = nursery

    @property
    def queued(self):
        """Number of requests that wait for a slot."""
        return len(self._waiters)

    @property
    def is_idle(self):
        """Whether no slot is held and no request waits."""
        return not (self.held_slots or self._waiters)

    async def acquire(self, call, fingerprint):
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
        service = self._check_request(call, fingerprint)
        if not self._waiters and self._can_start(fingerprint):
            return self._start(fingerprint)
        self._check_queue(call, service.upstream.queue)
        waiter = _Waiter(call=call, fingerprint=fingerprint)
        self._waiters.append(waiter)
        # A free slot that a suspect at the head of the queue may not use goes
        # to a request behind it.
        self.dispatch()
        await self._wait_for_slot(waiter)
        # Another task granted the slot; the state may have changed before
        # this task was resumed.
        try:
            self._check_request(call, fingerprint)
        except errors.CallError:
            self.release(waiter.slot)
            raise
        return waiter.slot

    def _check_request(self, call, fingerprint):
        """Return the host's service; raise if the request must not start."""
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

    def _check_queue(self, call, maximum_queued):
        """Raise an error unless the request may be queued."""
        if len(self._waiters) >= maximum_queued:
            self._refuse_expired()
        is_full = len(self._waiters) >= maximum_queued
        limit = self._acceptance.limit
        if not is_full and not self._service_time.is_wait_too_long(
            queued=len(self._waiters),
            allowed=limit.allowed,
            deadline=call.deadline,
        ):
            return
        error_type = errors.OverloadedError
        if limit.is_ramping:
            error_type = errors.ColdError
        raise error_type(
            f"{len(self.held_slots)} of {limit.allowed} allowed "
            f"slots are in use and {len(self._waiters)} requests wait"
            + ("" if is_full else ", too long for the deadline")
        )

    async def _wait_for_slot(self, waiter):
        try:
            with trio.move_on_at(waiter.call.deadline):
                await waiter.event.wait()
        except trio.Cancelled:
            self._stop_waiting(waiter)
            raise
        if not waiter.event.is_set():
            self._stop_waiting(waiter)
            raise _deadline_error()
        if waiter.error is not None:
            raise waiter.error

    def _stop_waiting(self, waiter):
        if waiter.slot is not None:
            self.release(waiter.slot)
        elif waiter in self._waiters:
            self._waiters.remove(waiter)

    def _can_start(self, fingerprint):
        if len(self.held_slots) >= self._acceptance.limit.allowed:
            return False
        return not (
            self._suspects.is_suspect(fingerprint)
            and any(self._is_suspect(slot) for slot in self.held_slots)
        )

    def _is_suspect(self, slot):
        # A crash report may make a request a suspect while it runs.
        return slot.is_suspect or self._suspects.is_suspect(slot.fingerprint)

    def _start(self, fingerprint):
        slot = Slot(
            fingerprint=fingerprint,
            is_suspect=self._suspects.is_suspect(fingerprint),
            started=self._acceptance.limit.on_request_start(),
        )
        self.held_slots.add(slot)
        return slot

    def _refuse_expired(self):
        now = trio.current_time()
        for waiter in list(self._waiters):
            if now >= waiter.call.deadline:
                self._refuse(waiter, _deadline_error())

    def _refuse(self, waiter, error):
        self._waiters.remove(waiter)
        waiter.error = error
        waiter.event.set()

    def dispatch(self):
        """Grant free slots to waiting requests in the order of arrival."""
        for waiter in list(self._waiters):
            try:
                self._check_request(waiter.call, waiter.fingerprint)
            except errors.CallError as error:
                self._refuse(waiter, error)
                continue
            if len(self.held_slots) >= self._acceptance.limit.allowed:
                return
            if self._can_start(waiter.fingerprint):
                self._waiters.remove(waiter)
                waiter.slot = self._start(waiter.fingerprint)
                waiter.event.set()

    def release(self, slot):
        """Release a slot immediately."""
        self.held_slots.discard(slot)
        self.dispatch()
        self._on_released()

    def release_after_grace(self, slot):
        """Release the slot of a cancelled request, which may still run."""
        self.cancelled_slots.add(slot)
        self._nursery.start_soon(self._release_cancelled, slot)

    async def _release_cancelled(self, slot):
        await trio.sleep(CANCELLATION_GRACE_SECONDS)
        self.cancelled_slots.discard(slot)
        self.release(slot)


def _deadline_error():
    return errors.DeadlineBeforeSendError(
        "the deadline passed while the request waited for a slot"
    )
