"""Attribution of upstream crashes to the requests that ran then."""

import collections

import trio

from . import suspects as suspect_table

# An upstream that resets its connections is examined for this long before
# the callers get their answers, so that a repetition meets the suspicion.
EXAMINATION_TIMEOUT_SECONDS = 0.25
REPORT_TIMEOUT_SECONDS = 0.2
# A reset without a finding is still attributed to a crash if the upstream is
# found restarted within this time.
ATTRIBUTION_SECONDS = 5.0
MAXIMUM_PAST_INSTANCES = 8


class CrashAttribution:
    """Finds out whether the upstream crashed, and blames what ran on it.

    Parameters
    ----------
    own_host : model.Host
    acceptance : acceptance.Acceptance
        Made cold after a restart.
    slots : slots.SlotQueue
        Holds what runs on the upstream.
    suspects : suspects.SuspectTable
    examine : callable or None
        ``await examine()`` returns the instance id of the upstream, or None
        if it does not answer.
    report : callable or None
        ``await report(finding)`` sends a ``suspects.CrashFinding`` to the
        other nodes of the service.
    record : callable
        Writes a line of the decision log.

    Attributes
    ----------
    instance_id : str or None
        That of the upstream; None before its first answer.
    """

    def __init__(
        self, *, own_host, acceptance, slots, suspects, examine, report, record
    ):
        self.instance_id = None
        self._own_host = own_host
        self._acceptance = acceptance
        self._slots = slots
        self._suspects = suspects
        self._examine = examine
        self._report = report
        self._record = record
        self._past_instance_ids = collections.deque(
            maxlen=MAXIMUM_PAST_INSTANCES
        )
        # Set at the end of the examination that runs, if any.
        self._examined = None
        # Pairs of the time of a reset and a fingerprint in flight then.
        self._unattributed = collections.deque(
            maxlen=suspect_table.MAXIMUM_ENTRIES
        )
        self._last_failure = None

    @property
    def has_failed_recently(self):
        """Whether an own request failed a short time ago."""
        return (
            self._last_failure is not None
            and trio.current_time() - self._last_failure < ATTRIBUTION_SECONDS
        )

    def note_instance(self, instance_id):
        """Return whether the upstream was started again."""
        if instance_id == self.instance_id:
            return False
        if instance_id in self._past_instance_ids:
            # A late answer of an instance that is gone.
            return False
        previous = self.instance_id
        self.instance_id = instance_id
        if previous is None:
            return False
        self._past_instance_ids.append(previous)
        self._acceptance.on_upstream_restarted()
        return True

    async def on_unreachable(self):
        """Treat an upstream that refuses connections as crashed."""
        self._last_failure = trio.current_time()
        self._acceptance.restart_limit()
        await self.confirm()

    async def on_reset(self, slot):
        """Blame what ran on the upstream, if the upstream crashed.

        Parameters
        ----------
        slot : slots.Slot
            That of the request whose connection was reset.
        """
        self._last_failure = trio.current_time()
        if not slot.is_blamed:
            self._blame_held()
        if self._examine is None:
            return
        if self._examined is not None:
            await self._examined.wait()
            return
        self._examined = trio.Event()
        try:
            await self._run_examination()
        finally:
            self._examined.set()
            self._examined = None

    def _blame_held(self):
        """Blame all that hold a slot, with cancelled work that may run."""
        now = trio.current_time()
        for each in self._slots.held:
            if not each.is_blamed:
                each.is_blamed = True
                self._unattributed.append((now, each.fingerprint))

    async def _run_examination(self):
        instance_id = None
        with trio.move_on_after(EXAMINATION_TIMEOUT_SECONDS):
            instance_id = await self._examine()
        if instance_id is None:
            await self.on_unreachable()
        elif self.note_instance(instance_id):
            await self.confirm()
        else:
            # Not restarted as far as is known: what still runs may be
            # blamed for a later reset.
            for each in self._slots.held:
                each.is_blamed = False

    async def confirm(self):
        """Turn the requests of recent resets into suspects."""
        fingerprints = self._take_blamed()
        if not fingerprints:
            return
        finding = self._suspects.on_crash(fingerprints)
        self._record(
            "crash",
            host=self._own_host.host_id,
            suspects=[each.hex() for each in finding.suspects],
            quarantined=[each.hex() for each in finding.quarantined],
        )
        if self._report is not None:
            with trio.move_on_after(REPORT_TIMEOUT_SECONDS):
                await self._report(finding)

    def _take_blamed(self):
        """Return the fingerprints of what a crash is attributed to."""
        oldest = trio.current_time() - ATTRIBUTION_SECONDS
        fingerprints = {
            fingerprint
            for reset_at, fingerprint in self._unattributed
            if reset_at >= oldest
        }
        self._unattributed.clear()
        # Nobody sees a reset of a connection that was closed before.
        for each in self._slots.abandoned:
            if not each.is_blamed:
                each.is_blamed = True
                fingerprints.add(each.fingerprint)
        return fingerprints
