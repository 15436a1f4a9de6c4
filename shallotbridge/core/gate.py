"""Admission control of requests to this host's upstream."""

import dataclasses
import enum

import trio

from . import acceptance
from . import admission_log
from . import crashes
from . import decisions
from . import errors
from . import keys as key_window
from . import model
from . import probes
from . import protocol
from . import service_time
from . import slots
from . import suspects as suspect_table


class AdmissionResult(enum.StrEnum):
    """Results of admissions in the log; refusals have their error code."""

    ADMITTED = "admitted"
    STORED_RESPONSE = "stored response"


class AdmissionController:
    """Admits requests to this host's upstream.

    No other part of the node sends callers' requests to the upstream.

    Parameters
    ----------
    own_host : model.Host
    configuration : callable
        ``configuration()`` returns the active configuration, or None.
    keys : keys.KeyWindow
    suspects : suspects.SuspectTable
    fetch_instance_id : callable, optional
        ``await fetch_instance_id()`` returns the instance id of the
        upstream, or None if it does not respond. It is called after a reset.
    report_crash : callable, optional
        ``await report_crash(finding)`` sends a ``suspects.CrashFinding`` to
        the other nodes of the service.
    record : callable
        ``record(action, **fields)`` writes an entry of the decision log.

    Attributes
    ----------
    reported_load : tuple of (int, int) or None
        Slots in use and total slots, as last reported by the upstream.
    """

    def __init__(
        self,
        *,
        own_host,
        configuration,
        keys,
        suspects,
        fetch_instance_id=None,
        report_crash=None,
        record=decisions.record,
    ):
        self.reported_load = None
        self._own_host = own_host
        self._keys = keys
        self._suspects = suspects
        self._nursery = None
        self._running_count = 0
        self._became_idle = trio.Event()
        self._log = admission_log.AdmissionLog(record=record)
        self._service_time = service_time.ServiceTime()
        self._acceptance = acceptance.Acceptance(
            own_host=own_host, configuration=configuration
        )
        self._slots = slots.SlotQueue(
            acceptance=self._acceptance,
            suspects=suspects,
            service_time=self._service_time,
            on_released=self._notify_if_idle,
        )
        self._crashes = crashes.CrashAttribution(
            own_host=own_host,
            acceptance=self._acceptance,
            slots=self._slots,
            suspects=suspects,
            fetch_instance_id=fetch_instance_id,
            report_crash=report_crash,
            record=record,
        )

    def start(self, nursery):
        """Set the nursery for background tasks and start the log's task."""
        self._nursery = nursery
        self._slots.start(nursery)
        self._acceptance.update_in_service()
        nursery.start_soon(self._log.run)

    def close(self):
        """Write the remaining log entries."""
        self._log.close()

    @property
    def in_use(self):
        """Number of slots in use, including those of cancelled requests."""
        return len(self._slots.held_slots)

    @property
    def queued(self):
        """Number of requests that wait for a slot."""
        return self._slots.queued

    @property
    def allowed(self):
        """Number of slots that may be in use now."""
        return self._acceptance.allowed_slots

    @property
    def free(self):
        """Number of slots that a new request would get without waiting."""
        if self._slots.queued:
            return 0
        try:
            self._acceptance.check()
        except errors.CallError:
            return 0
        return max(0, self.allowed - self.in_use)

    @property
    def is_leaving(self):
        """Whether the node or the upstream is leaving."""
        return self._acceptance.is_leaving

    @property
    def instance_id(self):
        """Instance id of the upstream, or None before its first response."""
        return self._crashes.instance_id

    async def run(self, call, send):
        """Admit a request, send it to the upstream and return the response.

        Parameters
        ----------
        call : model.Call
        send : callable
            ``await send(call)`` sends the request to the upstream and
            returns its response, or raises an ``errors.CallError``. It ends
            by the call's deadline.

        Returns
        -------
        model.Response

        Raises
        ------
        errors.CallError
            Refusals have the outcome "not run".
        """
        arrived_at = trio.current_time()
        # A request in progress delays the end of the node's drain, also while
        # it waits for its idempotency key.
        self._running_count += 1
        try:
            return await self._admit(call, send, arrived_at)
        finally:
            self._running_count -= 1
            self._notify_if_idle()

    async def _admit(self, call, send, arrived_at):
        fingerprint = suspect_table.fingerprint(call)
        key = None
        try:
            self._acceptance.check(call)
            if key_window.needs_key_check(call):
                stored = await self._keys.reserve(call)
                if stored is not None:
                    self._log_admission(
                        call, AdmissionResult.STORED_RESPONSE, arrived_at
                    )
                    return _with_request_id(stored, call.request_id)
                key = key_window.scoped_key(call)
            slot = await self._slots.acquire(call, fingerprint)
        except errors.CallError as error:
            self._log_admission(call, error.code, arrived_at)
            self._release_key(key)
            self._mark_key_moved(call, error)
            raise
        except BaseException:
            self._release_key(key)
            raise
        self._log_admission(call, AdmissionResult.ADMITTED, arrived_at)
        return await self._send(call, send, slot, key)

    def _release_key(self, key):
        if key is not None:
            self._keys.release(key)

    async def _send(self, call, send, slot, key):
        response = None
        may_have_run = True
        try:
            response = await send(call)
            protocol.raise_for_refusal(response, self._own_host)
        except errors.CallError as error:
            may_have_run = error.outcome is not errors.Outcome.NOT_RUN
            if not may_have_run:
                self._release_key(key)
            self._mark_key_moved(call, error)
            await self._handle_error(slot, error)
            raise
        except BaseException:
            # After a cancellation or an unexpected exception of ``send`` the
            # upstream may still run the request.
            self._slots.release_after_grace(slot)
            raise
        finally:
            if key is not None and may_have_run:
                self._keys.finish(key, response)
        self._on_success(slot, response)
        return response

    def _on_success(self, slot, response):
        instance_id = response.header("x-instance")
        if instance_id is not None:
            self.on_instance_id(instance_id)
        self._acceptance.limit.on_success()
        self._service_time.on_success(slot.started)
        self._suspects.on_request_success(slot.fingerprint)
        self._slots.release(slot)

    async def _handle_error(self, slot, error):
        if isinstance(error, errors.UpstreamRefusedError):
            self._on_refusal(slot, error)
        elif isinstance(error, errors.UpstreamUnreachableError):
            self._slots.release(slot)
            await self._crashes.on_upstream_unreachable()
        elif error.outcome is errors.Outcome.NOT_RUN:
            self._slots.release(slot)
        elif type(error) is errors.OutcomeUnknownError:
            # The upstream closed the connection. The slot stays in use until
            # the restart check has ended, because its release lets another
            # request start.
            try:
                await self._crashes.on_connection_lost(slot)
            finally:
                self._slots.release(slot)
        else:
            self._on_timeout(slot, error)
            self._slots.release_after_grace(slot)

    def _on_refusal(self, slot, error):
        if error.reason == errors.RefusalReason.COLD:
            self._acceptance.restart_limit()
        elif error.reason == errors.RefusalReason.LEAVING:
            self._acceptance.on_refused_as_leaving()
            self._slots.dispatch()
        elif error.reason == errors.RefusalReason.OVERLOADED:
            self._acceptance.limit.on_shed(slot.started)
        self._slots.release(slot)
        if error.reason == errors.RefusalReason.LEAVING:
            raise self._acceptance.leaving_error() from error

    def _on_timeout(self, slot, error):
        is_timeout = isinstance(error, errors.DeadlineAfterSendError)
        if is_timeout and self._service_time.is_overload_timeout(slot.started):
            self._acceptance.limit.on_timeout(slot.started)

    def _mark_key_moved(self, call, error):
        is_leaving = (
            isinstance(error, errors.UpstreamRefusedError)
            and error.reason == errors.RefusalReason.LEAVING
        )
        if key_window.needs_key_check(call) and (
            is_leaving or isinstance(error, key_window.FAILOVER_ERRORS)
        ):
            self._keys.mark_moved(key_window.scoped_key(call))

    def on_instance_id(self, instance_id):
        """Process an instance id that the upstream reported."""
        if self._crashes.update_instance(instance_id):
            self._nursery.start_soon(self._crashes.confirm_crash)

    def on_health_report(self, state):
        """Process a state that the upstream's health endpoint reported.

        Parameters
        ----------
        state : str or None
            One of ``probes.HealthState``, or None without a valid response.
            ``ok`` never raises the limit. ``leaving`` takes effect at once.
            ``starting`` and None restart the slow start ramp only if this
            node's requests failed recently too, since the endpoint may be
            wrong.
        """
        self._keys.observe_hosts()
        self._acceptance.update_in_service()
        if state == probes.HealthState.LEAVING:
            if self._acceptance.on_leaving_report():
                self._slots.dispatch()
        elif state == probes.HealthState.OK:
            self._acceptance.on_healthy_report()
        else:
            self._acceptance.on_unhealthy_report()
            if self._crashes.has_failed_recently:
                self._on_confirmed_failure(state)

    def _on_confirmed_failure(self, state):
        self._acceptance.restart_limit()
        if state is None:
            self._nursery.start_soon(self._crashes.confirm_crash)

    def on_load_report(self, load):
        """Store the load that the upstream reported.

        Parameters
        ----------
        load : tuple of (int, int) or None
            Slots in use and total slots. They may be wrong, so they are
            only stored and affect no decision.
        """
        self.reported_load = load

    def on_configuration_changed(self):
        """Check the waiting requests against the active configuration."""
        self._acceptance.update_in_service()
        self._slots.dispatch()

    def begin_leaving(self):
        """Refuse new and waiting requests from now on."""
        self._acceptance.is_node_leaving = True
        self._slots.dispatch()
        self._notify_if_idle()

    async def wait_idle(self):
        """Wait until no request runs or waits and no slot is in use."""
        while not self._is_idle():
            if self._became_idle.is_set():
                self._became_idle = trio.Event()
            await self._became_idle.wait()

    def _is_idle(self):
        return not self._running_count and self._slots.is_idle

    def _notify_if_idle(self):
        if self._is_idle():
            self._became_idle.set()

    def _log_admission(self, call, result, arrived_at):
        self._log.add(
            request_id=call.request_id,
            route=call.route.name,
            result=result,
            limit=self.allowed,
            in_use=self.in_use,
            queued=self.queued,
            waited_ms=round((trio.current_time() - arrived_at) * 1000, 3),
        )


def _with_request_id(response, request_id):
    """Return a copy of a stored response with another request's id."""
    headers = tuple(
        (
            model.Header(name=header.name, value=request_id)
            if header.name == "x-request-id"
            else header
        )
        for header in response.headers
    )
    return dataclasses.replace(response, headers=headers)
