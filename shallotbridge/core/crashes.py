"""Attribution of upstream crashes to the requests in flight."""

import collections

import trio

from . import suspects as suspect_table

# Time limit of the check whether an upstream that reset a connection has
# restarted. The response to the caller waits for it, so that a retry is
# already treated as a suspect.
RESTART_CHECK_TIMEOUT_SECONDS = 0.25
REPORT_TIMEOUT_SECONDS = 0.2
# A reset is still attributed to a crash if the restart of the upstream is
# detected within this time.
ATTRIBUTION_WINDOW_SECONDS = 5.0
MAXIMUM_PAST_INSTANCE_IDS = 8


class CrashAttribution:
    """Detects crashes of the upstream and marks the requests in flight.

    Parameters
    ----------
    own_host : model.Host
    acceptance : acceptance.Acceptance
        Notified of a restart, after which the upstream counts as cold.
    slots : slots.SlotQueue
        Slots of the requests that run, or may run, on the upstream.
    suspects : suspects.SuspectTable
    fetch_instance_id : callable or None
        ``await fetch_instance_id()`` returns the instance id of the
        upstream, or None if it does not respond.
    report_crash : callable or None
        ``await report_crash(finding)`` sends a ``suspects.CrashFinding`` to
        the other nodes of the service.
    record : callable
        ``record(action, **fields)`` writes an entry of the decision log.

    Attributes
    ----------
    instance_id : str or None
        Instance id of the upstream; None before its first response.
    """

    def __init__(
        self,
        *,
        own_host,
        acceptance,
        slots,
        suspects,
        fetch_instance_id,
        report_crash,
        record,
    ):
        self.instance_id = None
        self._own_host = own_host
        self._acceptance = acceptance
        self._slots = slots
        self._suspects = suspects
        self._fetch_instance_id = fetch_instance_id
        self._report_crash = report_crash
        self._record = record
        self._past_instance_ids = collections.deque(
            maxlen=MAXIMUM_PAST_INSTANCE_IDS
        )
        # Set when the restart check in progress ends; None without one.
        self._restart_checked = None
        # Pairs of the time of a reset and the fingerprint of a request that
        # was in flight at that time.
        self._reset_requests = collections.deque(
            maxlen=suspect_table.MAXIMUM_ENTRIES
        )
        self._last_failure_at = None

    @property
    def has_failed_recently(self):
        """Whether the upstream failed within the attribution window.

        It was unreachable, or lost the connection of a request.
        """
        return (
            self._last_failure_at is not None
            and trio.current_time() - self._last_failure_at
            < ATTRIBUTION_WINDOW_SECONDS
        )

    def update_instance(self, instance_id):
        """Update the instance id; return whether the upstream restarted."""
        if instance_id == self.instance_id:
            return False
        if instance_id in self._past_instance_ids:
            # A late response of an earlier instance.
            return False
        previous_id = self.instance_id
        self.instance_id = instance_id
        if previous_id is None:
            return False
        self._past_instance_ids.append(previous_id)
        self._acceptance.on_upstream_restarted()
        return True

    async def on_upstream_unreachable(self):
        """Treat an upstream that refuses connections as crashed."""
        self._last_failure_at = trio.current_time()
        self._acceptance.restart_limit()
        await self.confirm_crash()

    async def on_connection_lost(self, slot):
        """Mark the requests in flight as suspects if the upstream crashed.

        Parameters
        ----------
        slot : slots.Slot
            Slot of the request whose connection was reset.
        """
        self._last_failure_at = trio.current_time()
        if not slot.is_crash_candidate:
            self._record_held_requests()
        if self._fetch_instance_id is None:
            return
        if self._restart_checked is not None:
            await self._restart_checked.wait()
            return
        self._restart_checked = trio.Event()
        try:
            await self._check_for_restart()
        finally:
            self._restart_checked.set()
            self._restart_checked = None

    def _record_held_requests(self):
        """Record all requests that hold a slot.

        These include cancelled requests, which may still run.
        """
        now = trio.current_time()
        for each in self._slots.held_slots:
            if not each.is_crash_candidate:
                each.is_crash_candidate = True
                self._reset_requests.append((now, each.fingerprint))

    async def _check_for_restart(self):
        instance_id = None
        with trio.move_on_after(RESTART_CHECK_TIMEOUT_SECONDS):
            instance_id = await self._fetch_instance_id()
        if instance_id is None:
            await self.on_upstream_unreachable()
        elif self.update_instance(instance_id):
            await self.confirm_crash()
        else:
            # No restart was detected, so requests that still run may be
            # recorded again at a later reset.
            for each in self._slots.held_slots:
                each.is_crash_candidate = False

    async def confirm_crash(self):
        """Mark the requests in flight at recent resets as suspects.

        The finding is reported to the other nodes of the service.
        """
        fingerprints = self._pop_crash_candidates()
        if not fingerprints:
            return
        finding = self._suspects.on_upstream_crash(fingerprints)
        self._record(
            "crash",
            host=self._own_host.host_id,
            suspects=[each.hex() for each in finding.suspects],
            quarantined=[each.hex() for each in finding.quarantined],
        )
        if self._report_crash is not None:
            with trio.move_on_after(REPORT_TIMEOUT_SECONDS):
                await self._report_crash(finding)

    def _pop_crash_candidates(self):
        """Return and clear the fingerprints that a crash is attributed to."""
        window_start = trio.current_time() - ATTRIBUTION_WINDOW_SECONDS
        fingerprints = {
            fingerprint
            for reset_at, fingerprint in self._reset_requests
            if reset_at >= window_start
        }
        self._reset_requests.clear()
        # The connection of a cancelled request is already closed, so a crash
        # causes no reset that would have recorded it.
        for each in self._slots.cancelled_slots:
            if not each.is_crash_candidate:
                each.is_crash_candidate = True
                fingerprints.add(each.fingerprint)
        return fingerprints
