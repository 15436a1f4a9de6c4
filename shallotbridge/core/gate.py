"""Admission of requests to the own upstream."""

import collections
import dataclasses
import itertools

import trio

from . import decisions
from . import errors
from . import keys as key_window
from . import limit as concurrency
from . import model
from . import suspects as suspect_table

# Cancelled work may run on after its connection was closed.
CANCELLATION_GRACE_SECONDS = 1.0
# An upstream that resets its connections is examined for this long before
# the callers get their answers, so that a repetition meets the suspicion.
EXAMINATION_TIMEOUT_SECONDS = 0.25
REPORT_TIMEOUT_SECONDS = 0.2
# A reset without a finding is still attributed to a crash if the upstream is
# found restarted within this time.
ATTRIBUTION_SECONDS = 5.0
MAXIMUM_PAST_INSTANCES = 8
MAXIMUM_UNWRITTEN_LINES = 10_000
# Answers in a row that clear ``leaving`` when only health reported it.
HEALTHY_ANSWERS = 3
# Weight of the newest response in the smoothed service time.
SMOOTHING = 0.1
# A request that ran for less than this multiple of the smoothed service time
# says nothing about the upstream when it times out: it was sent too late.
TIMEOUT_FACTOR = 2.0
LEAVING_BY_HEALTH = "health"
LEAVING_BY_REFUSAL = "refusal"


class _Entry:
    """A request that holds a slot."""

    __slots__ = ("fingerprint", "is_suspect", "started", "is_blamed")

    def __init__(self, *, fingerprint, is_suspect, started):
        self.fingerprint = fingerprint
        self.is_suspect = is_suspect
        self.started = started
        self.is_blamed = False


class _Waiter:
    """A request in the queue."""

    __slots__ = ("call", "fingerprint", "event", "error", "entry")

    def __init__(self, *, call, fingerprint):
        self.call = call
        self.fingerprint = fingerprint
        self.event = trio.Event()
        self.error = None
        self.entry = None


class _Examination:
    """One look at an upstream that reset a connection."""

    def __init__(self):
        self.is_done = trio.Event()


class UpstreamGate:
    """The only sender to the own upstream.

    Parameters
    ----------
    own_host : model.Host
    configuration : callable
        ``configuration()`` returns the one in force, or None.
    keys : keys.KeyWindow
    suspects : suspects.SuspectTable
    examine : callable, optional
        ``await examine()`` returns the instance id of the upstream, or None
        if it does not answer. Called after a reset.
    report : callable, optional
        ``await report(finding)`` sends a ``suspects.CrashFinding`` to the
        other nodes of the service.
    record : callable
        Writes a line of the decision log.

    Notes
    -----
    What the upstream still runs from before the node's start is not known,
    so the limit starts cold.
    """

    def __init__(
        self,
        *,
        own_host,
        configuration,
        keys,
        suspects,
        examine=None,
        report=None,
        record=decisions.record,
    ):
        self._own_host = own_host
        self._configuration = configuration
        self._keys = keys
        self._suspects = suspects
        self._examine = examine
        self._report = report
        self._record = record
        self._nursery = None
        self._limit = None
        self._entries = set()
        # Those of cancelled work, which may still run.
        self._abandoned = set()
        self._queue = collections.deque()
        self._running = 0
        self._is_node_leaving = False
        self._upstream_leaving = None
        self._healthy_answers = 0
        self._instance_id = None
        self._past_instance_ids = collections.deque(
            maxlen=MAXIMUM_PAST_INSTANCES
        )
        self.reported_load = None
        self._idle = trio.Event()
        self._examination = None
        # Pairs of the time of a reset and a fingerprint in flight then.
        self._unattributed = collections.deque(
            maxlen=suspect_table.MAXIMUM_ENTRIES
        )
        self._service_seconds = None
        self._last_failure = None
        self._was_in_service = None
        self._lines = collections.deque()
        self._lost_lines = 0
        self._has_lines = trio.Event()

    def start(self, nursery):
        """Start the tasks that release slots and write the log."""
        self._nursery = nursery
        self._observe_configuration()
        nursery.start_soon(self._write_lines)

    def close(self):
        """Write the remaining lines of the log."""
        self._flush_lines(len(self._lines))

    @property
    def in_use(self):
        """Slots held, including those of cancelled work."""
        return len(self._entries)

    @property
    def queued(self):
        """Requests that wait for a slot."""
        return len(self._queue)

    @property
    def allowed(self):
        """Slots that may be held now."""
        return 0 if self._limit is None else self._limit.allowed

    @property
    def free(self):
        """Slots for which a request would not wait."""
        if self._queue:
            return 0
        try:
            self._check_state()
        except errors.CallError:
            return 0
        return max(0, self._limit.allowed - len(self._entries))

    @property
    def is_leaving(self):
        """Whether node or upstream is leaving."""
        return self._is_node_leaving or self._upstream_leaving is not None

    @property
    def instance_id(self):
        """Instance id of the upstream, or None before its first answer."""
        return self._instance_id

    async def run(self, call, send):
        """Admit a request to the upstream and return the answer.

        Parameters
        ----------
        call : model.Call
        send : callable
            ``await send(call)`` sends the request to the upstream and
            returns its response, or raises a typed error. It ends by the
            call's deadline.

        Returns
        -------
        model.Response

        Raises
        ------
        errors.CallError
            With outcome "not run" for each refusal.
        """
        arrived = trio.current_time()
        fingerprint = suspect_table.fingerprint(call)
        key = None
        # Work in progress keeps the node from ending, also while it waits
        # for a key.
        self._running += 1
        try:
            try:
                self._check_state(call)
                if key_window.needs_key_check(call):
                    stored = await self._keys.reserve(call)
                    if stored is not None:
                        self._note(call, "stored response", arrived)
                        return _with_request_id(stored, call.request_id)
                    key = key_window.scoped_key(call)
                entry = await self._take_slot(call, fingerprint)
            except errors.CallError as error:
                self._note(call, error.code, arrived)
                if key is not None:
                    self._keys.forget(key)
                self._mark_moved(call, error)
                raise
            except BaseException:
                if key is not None:
                    self._keys.forget(key)
                raise
            self._note(call, "admitted", arrived)
            return await self._send(call, send, entry, key)
        finally:
            self._running -= 1
            self._check_idle()

    def _check_state(self, call=None):
        """Raise unless service, domain and upstream accept new work."""
        configuration = self._configuration()
        if configuration is None:
            raise errors.NoConfigurationError(
                "this node has no configuration yet; send the request to "
                "another node"
            )
        own = self._own_host
        service = configuration.services_by_name.get(own.service)
        if service is None or (
            call is not None and call.route.service != own.service
        ):
            wanted = own.service if call is None else call.route.service
            raise errors.UnknownServiceError(
                f"host {own.host_id} runs {own.service}, asked for {wanted}; "
                f"version in force is {configuration.head.version}"
            )
        if self._limit is None:
            self._limit = concurrency.ConcurrencyLimit(limits=service.upstream)
        else:
            self._limit.configure(service.upstream)
        is_in_service = (
            configuration.is_in_service(own.failure_domain)
            and own.failure_domain in service.upstream.failure_domains
        )
        if is_in_service and self._was_in_service is False:
            # Upstreams of a returning failure domain are treated as cold.
            self._limit.restart()
        self._was_in_service = is_in_service
        if not is_in_service:
            raise errors.OutOfServiceError(
                f"failure domain {own.failure_domain} is out of service for "
                f"{own.service} in version {configuration.head.version}"
            )
        if self._is_node_leaving:
            raise errors.LeavingError(f"node {own.host_id} is leaving")
        if self._upstream_leaving is not None:
            raise errors.LeavingError(
                f"the upstream of {own.host_id} is leaving"
            )
        return service

    def _check_request(self, call, fingerprint):
        if self._suspects.is_quarantined(fingerprint):
            raise errors.QuarantinedError(
                "this request crashed two upstreams and is refused for "
                f"{suspect_table.QUARANTINE_SECONDS:.0f} s"
            )
        if trio.current_time() >= call.deadline:
            raise errors.DeadlineBeforeSendError(
                "the deadline passed before the request was sent"
            )

    async def _take_slot(self, call, fingerprint):
        service = self._check_state(call)
        self._check_request(call, fingerprint)
        if not self._queue and self._may_start(fingerprint):
            return self._start(fingerprint)
        if len(self._queue) >= service.upstream.queue:
            self._drop_passed()
        is_full = len(self._queue) >= service.upstream.queue
        if is_full or self._is_wait_too_long(call):
            kind = errors.OverloadedError
            if self._limit.is_ramping:
                kind = errors.ColdError
            raise kind(
                f"{len(self._entries)} of {self._limit.allowed} allowed "
                f"slots are in use and {len(self._queue)} requests wait"
                + ("" if is_full else ", too long for the deadline")
            )
        waiter = _Waiter(call=call, fingerprint=fingerprint)
        self._queue.append(waiter)
        # A waiting suspect does not keep those behind it from a slot.
        self._dispatch()
        try:
            with trio.move_on_at(call.deadline):
                await waiter.event.wait()
        except trio.Cancelled:
            self._leave_queue(waiter)
            raise
        if not waiter.event.is_set():
            self._leave_queue(waiter)
            raise errors.DeadlineBeforeSendError(
                "the deadline passed while the request waited for a slot"
            )
        if waiter.error is not None:
            raise waiter.error
        # The slot was taken in another task; the state may have changed
        # before this one was resumed.
        try:
            self._check_state(call)
            self._check_request(call, fingerprint)
        except errors.CallError:
            self._release(waiter.entry)
            raise
        return waiter.entry

    def _is_wait_too_long(self, call):
        """Tell whether a place in the queue would not help the request.

        Requests that are sent just before their deadline use slots without
        a result, and their timeouts would keep the limit low.
        """
        if self._service_seconds is None:
            return False
        rounds = (len(self._queue) + 1) / self._limit.allowed
        seconds = (rounds + 1) * self._service_seconds
        return trio.current_time() + seconds > call.deadline

    def _note_service_time(self, seconds):
        if self._service_seconds is None:
            self._service_seconds = seconds
        else:
            self._service_seconds += SMOOTHING * (
                seconds - self._service_seconds
            )

    def _is_evidence(self, entry):
        """Tell whether a timeout speaks against the upstream."""
        seconds = trio.current_time() - entry.started
        return (
            self._service_seconds is None
            or seconds >= TIMEOUT_FACTOR * self._service_seconds
        )

    def _leave_queue(self, waiter):
        if waiter.entry is not None:
            self._release(waiter.entry)
        elif waiter in self._queue:
            self._queue.remove(waiter)

    def _may_start(self, fingerprint):
        if len(self._entries) >= self._limit.allowed:
            return False
        return not (
            self._suspects.is_suspect(fingerprint)
            and any(self._is_suspect(entry) for entry in self._entries)
        )

    def _is_suspect(self, entry):
        # A report may make a request a suspect while it runs.
        return entry.is_suspect or self._suspects.is_suspect(entry.fingerprint)

    def _start(self, fingerprint):
        entry = _Entry(
            fingerprint=fingerprint,
            is_suspect=self._suspects.is_suspect(fingerprint),
            started=self._limit.on_start(),
        )
        self._entries.add(entry)
        return entry

    def _drop_passed(self):
        now = trio.current_time()
        for waiter in list(self._queue):
            if now >= waiter.call.deadline:
                self._refuse(
                    waiter,
                    errors.DeadlineBeforeSendError(
                        "the deadline passed while the request waited for a "
                        "slot"
                    ),
                )

    def _refuse(self, waiter, error):
        self._queue.remove(waiter)
        waiter.error = error
        waiter.event.set()

    def _dispatch(self):
        """Give free slots to those that wait, in their order."""
        for waiter in list(self._queue):
            try:
                self._check_state(waiter.call)
                self._check_request(waiter.call, waiter.fingerprint)
            except errors.CallError as error:
                self._refuse(waiter, error)
                continue
            if len(self._entries) >= self._limit.allowed:
                return
            if self._may_start(waiter.fingerprint):
                self._queue.remove(waiter)
                waiter.entry = self._start(waiter.fingerprint)
                waiter.event.set()

    def _release(self, entry):
        self._entries.discard(entry)
        self._dispatch()
        self._check_idle()

    def _release_later(self, entry):
        self._abandoned.add(entry)
        self._nursery.start_soon(self._release_after_grace, entry)

    async def _release_after_grace(self, entry):
        await trio.sleep(CANCELLATION_GRACE_SECONDS)
        self._abandoned.discard(entry)
        self._release(entry)

    async def _send(self, call, send, entry, key):
        response = None
        is_run = True
        try:
            response = _check_refusal(await send(call))
        except errors.CallError as error:
            is_run = error.outcome is not errors.Outcome.NOT_RUN
            if not is_run and key is not None:
                self._keys.forget(key)
            self._mark_moved(call, error)
            await self._handle_error(entry, error)
            raise
        except BaseException:
            # Cancelled, or a fault of the sender: the work may still run.
            self._release_later(entry)
            raise
        finally:
            if key is not None and is_run:
                self._keys.finish(key, response)
        self._on_answer(response.header("x-instance"))
        self._limit.on_success()
        self._note_service_time(trio.current_time() - entry.started)
        self._suspects.on_success(entry.fingerprint)
        self._release(entry)
        return response

    async def _handle_error(self, entry, error):
        if isinstance(error, errors.UpstreamRefusedError):
            self._on_refusal(entry, error.reason)
            self._release(entry)
            if error.reason == "leaving":
                raise errors.LeavingError(
                    f"the upstream of {self._own_host.host_id} is leaving"
                ) from error
        elif isinstance(error, errors.UpstreamUnreachableError):
            self._release(entry)
            await self._on_unreachable()
        elif error.outcome is errors.Outcome.NOT_RUN:
            self._release(entry)
        elif type(error) is errors.OutcomeUnknownError:
            # The connection ended, so the upstream closed it; until the
            # examination the slot stays held, because others may run.
            self._last_failure = trio.current_time()
            try:
                await self._attribute_crash(entry)
            finally:
                self._release(entry)
        else:
            if isinstance(
                error, errors.DeadlineAfterSendError
            ) and self._is_evidence(entry):
                self._limit.on_timeout(entry.started)
            self._release_later(entry)

    def _mark_moved(self, call, error):
        is_leaving = (
            isinstance(error, errors.UpstreamRefusedError)
            and error.reason == "leaving"
        )
        if key_window.needs_key_check(call) and (
            is_leaving or isinstance(error, key_window.MOVING_ERRORS)
        ):
            self._keys.mark_moved(key_window.scoped_key(call))

    def _on_refusal(self, entry, reason):
        if reason == "cold":
            self._limit.restart()
        elif reason == "leaving":
            self._set_leaving(LEAVING_BY_REFUSAL)
        elif reason == "overloaded":
            self._limit.on_shed(entry.started)

    async def _on_unreachable(self):
        self._last_failure = trio.current_time()
        self._limit.restart()
        await self._confirm_crash()

    async def _attribute_crash(self, entry):
        """Blame what ran on the upstream, if the upstream crashed."""
        if not entry.is_blamed:
            # All that hold a slot, including cancelled work that may run on.
            for each in self._entries:
                if not each.is_blamed:
                    each.is_blamed = True
                    self._unattributed.append(
                        (trio.current_time(), each.fingerprint)
                    )
        if self._examine is None:
            return
        if self._examination is None:
            self._examination = _Examination()
            try:
                await self._run_examination()
            finally:
                self._examination.is_done.set()
                self._examination = None
        else:
            await self._examination.is_done.wait()

    async def _run_examination(self):
        instance_id = None
        with trio.move_on_after(EXAMINATION_TIMEOUT_SECONDS):
            instance_id = await self._examine()
        if instance_id is None:
            await self._on_unreachable()
        elif self._note_instance(instance_id):
            await self._confirm_crash()
        else:
            # Not restarted as far as is known: what still runs may be
            # blamed for a later reset.
            for each in self._entries:
                each.is_blamed = False

    async def _confirm_crash(self):
        """Turn the requests of recent resets into suspects."""
        oldest = trio.current_time() - ATTRIBUTION_SECONDS
        fingerprints = {
            fingerprint
            for reset_at, fingerprint in self._unattributed
            if reset_at >= oldest
        }
        self._unattributed.clear()
        # Nobody sees a reset of a connection that was closed before.
        for each in self._abandoned:
            if not each.is_blamed:
                each.is_blamed = True
                fingerprints.add(each.fingerprint)
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

    def _on_answer(self, instance_id):
        if instance_id is not None and self._note_instance(instance_id):
            self._nursery.start_soon(self._confirm_crash)

    def _note_instance(self, instance_id):
        """Return whether the upstream was started again."""
        if instance_id == self._instance_id:
            return False
        if instance_id in self._past_instance_ids:
            # A late answer of an instance that is gone.
            return False
        previous = self._instance_id
        self._instance_id = instance_id
        if previous is None:
            return False
        self._past_instance_ids.append(previous)
        self._upstream_leaving = None
        if self._limit is not None:
            self._limit.restart()
        return True

    def on_instance(self, instance_id):
        """Take the instance id that the upstream reported."""
        self._on_answer(instance_id)

    def on_health(self, state):
        """Take a hint of the upstream's health endpoint.

        Parameters
        ----------
        state : str or None
            ``ok`` never raises the limit. ``leaving`` is believed at once.
            ``starting`` and None (no answer) restart the ramp only if the
            own requests failed too, since the endpoint may be wrong.
        """
        self._keys.observe_hosts()
        self._observe_configuration()
        if state == "leaving":
            self._healthy_answers = 0
            if self._upstream_leaving is None:
                self._set_leaving(LEAVING_BY_HEALTH)
            return
        if state == "ok":
            self._healthy_answers += 1
            if (
                self._upstream_leaving == LEAVING_BY_HEALTH
                and self._healthy_answers >= HEALTHY_ANSWERS
            ):
                self._upstream_leaving = None
                self._limit_restart()
            return
        self._healthy_answers = 0
        failed_recently = (
            self._last_failure is not None
            and trio.current_time() - self._last_failure < ATTRIBUTION_SECONDS
        )
        if failed_recently:
            self._limit_restart()
            if state is None:
                self._nursery.start_soon(self._confirm_crash)

    def on_load(self, load):
        """Keep the load that the upstream reported, for status only.

        Parameters
        ----------
        load : tuple of (int, int) or None
            Slots in use and slots. It may be wrong, so it decides nothing.
        """
        self.reported_load = load

    def on_configuration(self):
        """Check those that wait against the configuration in force."""
        self._observe_configuration()
        self._dispatch()

    def _observe_configuration(self):
        """Note whether the domain is in service, also without requests."""
        try:
            self._check_state()
        except errors.CallError:
            return

    def _limit_restart(self):
        if self._limit is not None:
            self._limit.restart()

    def _set_leaving(self, source):
        self._upstream_leaving = source
        self._dispatch()

    def begin_leaving(self):
        """Refuse new work from now on, also that which waits."""
        self._is_node_leaving = True
        self._dispatch()
        self._check_idle()

    async def wait_idle(self):
        """Wait until nothing runs or waits and no slot is held."""
        while self._entries or self._queue or self._running:
            if self._idle.is_set():
                self._idle = trio.Event()
            await self._idle.wait()

    def _check_idle(self):
        if not (self._entries or self._queue or self._running):
            self._idle.set()

    def _note(self, call, result, arrived):
        """Queue one line of the log; a task writes it later."""
        if len(self._lines) >= MAXIMUM_UNWRITTEN_LINES:
            self._lost_lines += 1
            return
        self._lines.append(
            {
                "request_id": call.request_id,
                "route": call.route.name,
                "result": result,
                "limit": self.allowed,
                "in_use": len(self._entries),
                "queued": len(self._queue),
                "waited_ms": round((trio.current_time() - arrived) * 1000, 3),
            }
        )
        self._has_lines.set()

    async def _write_lines(self):
        try:
            while True:
                await self._has_lines.wait()
                self._has_lines = trio.Event()
                while self._lines:
                    # One line between two turns of the scheduler, so that
                    # a batch of lines does not hold up requests.
                    self._flush_lines(1)
                    await trio.lowlevel.checkpoint()
        finally:
            self.close()

    def _flush_lines(self, count):
        for line in itertools.islice(iter(self._pop_line, None), count):
            self._record("admit", **line)
        if self._lost_lines and not self._lines:
            self._record("admit_lines_lost", count=self._lost_lines)
            self._lost_lines = 0

    def _pop_line(self):
        return self._lines.popleft() if self._lines else None


def _check_refusal(response):
    """Raise if the upstream's answer guarantees that it did not run."""
    reason = response.header("x-refused")
    if response.status == 503 and reason is not None:
        raise errors.UpstreamRefusedError(
            f"the upstream refused the request: {reason}", reason=reason
        )
    return response


def _with_request_id(response, request_id):
    """Return a stored response as the answer to another request."""
    headers = tuple(
        (
            model.Header(name=header.name, value=request_id)
            if header.name == "x-request-id"
            else header
        )
        for header in response.headers
    )
    return dataclasses.replace(response, headers=headers)
