"""Simulated platform of the users: configuration service and host list.

``PlatformState`` holds the state; tests call it directly, and ``python -m
standins.platform`` serves it over HTTP.
"""

import argparse
import collections
import functools
import json

from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import quart
import quart_trio
import trio

from shallotbridge.core import errors
from shallotbridge.core import hosts as hosts_module
from shallotbridge.transports import network

CALLS_PER_SECOND = 2000
MAXIMUM_VALUE_BYTES = 1_000_000
# Number of revisions to which the platform can be restored.
HISTORY_REVISIONS = 64
_WINDOW_SECONDS = 1.0
_MAXIMUM_BODY_BYTES = 64 * 1024 * 1024


class ControlError(ValueError):
    """A test requested an operation that the stand-in does not support."""

    code = "SB-9003"


class PlatformState:
    """Values with revisions, a rate limit and injected faults.

    Parameters
    ----------
    calls_per_second : int
        Maximum number of calls within any second; further calls are
        rejected.

    Attributes
    ----------
    mode : str
        ``up``, ``down`` (every call fails) or ``stale`` (calls get the
        state at the time when the mode was set).
    host_list_delay_seconds : float
        Delay from ``set_hosts`` until the list is visible, seconds.
    call_count, refused_count, peak_calls : int
        Number of all calls, of calls rejected by the rate limit, and the
        maximum number of calls within one second.

    Examples
    --------
    >>> state = PlatformState()
    >>> state.put({"configuration/head": b"x"})
    1
    """

    def __init__(self, *, calls_per_second=CALLS_PER_SECOND):
        self.mode = "up"
        self.host_list_delay_seconds = 0.0
        self.call_count = 0
        self.refused_count = 0
        self.peak_calls = 0
        self.waiting_count = 0
        self._calls_per_second = calls_per_second
        self._call_times = collections.deque()
        self._values = {}
        self._revisions_by_key = {}
        self._revision = 0
        self._history = {0: ({}, {})}
        self._stale_state = None
        self._delayed_lists = []
        self._host_revisions = {}
        self._changed = trio.Event()

    @property
    def revision(self):
        """Latest revision, even if the mode hides it from nodes."""
        return self._revision

    def put(self, values_by_key):
        """Set values, or delete keys whose value is None, in one revision.

        Returns
        -------
        int
            The new revision.
        """
        for key, value in values_by_key.items():
            if value is not None and len(value) > MAXIMUM_VALUE_BYTES:
                raise ControlError(
                    f"{key}: {len(value)} bytes exceed the size limit"
                )
        self._revision += 1
        self._values = dict(self._values)
        self._revisions_by_key = dict(self._revisions_by_key)
        for key, value in values_by_key.items():
            if value is None:
                self._values.pop(key, None)
            else:
                self._values[key] = value
            self._revisions_by_key[key] = self._revision
        self._history[self._revision] = (self._values, self._revisions_by_key)
        while len(self._history) > HISTORY_REVISIONS:
            del self._history[min(self._history)]
        self._notify_watchers()
        return self._revision

    def set_mode(self, mode):
        """Set the mode: ``up``, ``down`` or ``stale``."""
        if mode not in ("up", "down", "stale"):
            raise ControlError(f"mode {mode!r}; allowed: up, down, stale")
        self._publish_due_lists()
        self.mode = mode
        self._stale_state = None
        if mode == "stale":
            self._stale_state = (
                self._values,
                self._revisions_by_key,
                self._revision,
            )
        self._notify_watchers()

    def restore_revision(self, revision):
        """Restore the state of an earlier revision."""
        if revision not in self._history:
            raise ControlError(f"revision {revision} is not in the history")
        self._values, self._revisions_by_key = self._history[revision]
        self._history = {
            known: state
            for known, state in self._history.items()
            if known <= revision
        }
        self._revision = revision
        self._notify_watchers()

    def set_hosts(self, failure_domain, hosts):
        """Set a host list; it becomes visible after the delay.

        Parameters
        ----------
        failure_domain : str
        hosts : iterable of model.Host
        """
        entries = [
            {
                "host_id": host.host_id,
                "address": host.address,
                "service": host.service,
                "state": "leaving" if host.is_leaving else "live",
            }
            for host in hosts
        ]
        self.set_host_entries(failure_domain, entries)

    def set_host_entries(self, failure_domain, entries):
        """Set a host list from JSON objects."""
        revision = self._host_revisions.get(failure_domain, 0) + 1
        self._host_revisions[failure_domain] = revision
        content = json.dumps({"revision": revision, "hosts": entries}).encode()
        key = hosts_module.KEY_PREFIX + failure_domain
        if self.host_list_delay_seconds <= 0:
            self.put({key: content})
        else:
            visible_at = trio.current_time() + self.host_list_delay_seconds
            self._delayed_lists.append((visible_at, key, content))
            self._notify_watchers()

    async def read(self, key):
        """Return the bytes of a value, or None if it does not exist."""
        self._check_call()
        await trio.lowlevel.checkpoint()
        values, _, _ = self._served_state()
        return values.get(key)

    async def watch(self, revision, wait):
        """Return the keys changed since a revision (design section 12.1)."""
        self._check_call()
        deadline = trio.current_time() + wait
        self.waiting_count += 1
        try:
            while True:
                await trio.lowlevel.checkpoint()
                change = self._change_since(revision)
                remaining = deadline - trio.current_time()
                if change.keys or remaining <= 0:
                    return change
                due = [visible_at for visible_at, _, _ in self._delayed_lists]
                next_due = min(due, default=deadline)
                with trio.move_on_at(min(deadline, next_due)):
                    await self._changed.wait()
                self._check_available()
        finally:
            self.waiting_count -= 1

    def make_client(self, is_reachable=None):
        """Return the platform interface of a node, backed by this state.

        Parameters
        ----------
        is_reachable : callable, optional
            Returns whether the node can reach the platform now.
        """

        def check():
            if is_reachable is not None and not is_reachable():
                raise errors.PlatformUnavailableError("no route to platform")

        async def read(key):
            check()
            content = await self.read(key)
            check()
            return content

        async def watch(revision, wait):
            check()
            change = await self.watch(revision, wait)
            check()
            return change

        return network.PlatformClient(read=read, watch=watch)

    def _check_call(self):
        now = trio.current_time()
        self.call_count += 1
        while (
            self._call_times and self._call_times[0] <= now - _WINDOW_SECONDS
        ):
            self._call_times.popleft()
        self._call_times.append(now)
        self.peak_calls = max(self.peak_calls, len(self._call_times))
        if len(self._call_times) > self._calls_per_second:
            self.refused_count += 1
            raise errors.PlatformRateError("rate limit exceeded")
        self._check_available()
        self._publish_due_lists()

    def _check_available(self):
        if self.mode == "down":
            raise errors.PlatformUnavailableError("the platform is down")

    def _publish_due_lists(self):
        if not self._delayed_lists:
            return
        now = trio.current_time()
        due = [entry for entry in self._delayed_lists if entry[0] <= now]
        self._delayed_lists = [
            entry for entry in self._delayed_lists if entry[0] > now
        ]
        for _, key, content in due:
            self.put({key: content})

    def _served_state(self):
        if self._stale_state is not None:
            return self._stale_state
        return self._values, self._revisions_by_key, self._revision

    def _change_since(self, revision):
        self._publish_due_lists()
        values, revisions_by_key, served_revision = self._served_state()
        if revision == 0 or served_revision < revision:
            keys = values
        else:
            keys = [
                key
                for key, changed_at in revisions_by_key.items()
                if changed_at > revision
            ]
        return network.PlatformChange(
            revision=served_revision, keys=tuple(sorted(keys))
        )

    def _notify_watchers(self):
        changed, self._changed = self._changed, trio.Event()
        changed.set()


def make_application(state):
    """Return the HTTP application that serves nodes."""
    application = quart_trio.QuartTrio("platform")
    # A watch may wait longer than the default timeout of 60 s.
    application.config["RESPONSE_TIMEOUT"] = None

    @application.get("/v1/values/<path:key>")
    async def read(key):
        value = await state.read(key)
        if value is None:
            return {"error": "not found"}, 404
        return quart.Response(value, mimetype="application/octet-stream")

    @application.get("/v1/watch")
    async def watch():
        change = await state.watch(
            quart.request.args.get("revision", 0, int),
            quart.request.args.get("wait", 0.0, float),
        )
        return {"revision": change.revision, "keys": list(change.keys)}

    @application.errorhandler(errors.PlatformRateError)
    async def on_rate_error(error):
        return {"error": error.detail}, 429

    @application.errorhandler(errors.PlatformUnavailableError)
    async def on_unavailable_error(error):
        return {"error": error.detail}, 503

    return application


def make_control_application(state):
    """Return the HTTP application with which tests control the platform."""
    application = quart_trio.QuartTrio("platform-control")
    application.config["MAX_CONTENT_LENGTH"] = _MAXIMUM_BODY_BYTES

    @application.put("/control/values/<path:key>")
    async def put_value(key):
        revision = state.put({key: await quart.request.get_data()})
        return {"revision": revision}

    @application.put("/control/hosts/<failure_domain>")
    async def put_hosts(failure_domain):
        entries = await quart.request.get_json()
        state.set_host_entries(failure_domain, entries)
        return {"revision": state.revision}

    @application.put("/control/mode")
    async def put_mode():
        state.set_mode((await quart.request.get_json())["mode"])
        return {"mode": state.mode}

    @application.put("/control/lag")
    async def put_lag():
        document = await quart.request.get_json()
        state.host_list_delay_seconds = float(document["seconds"])
        return {"seconds": state.host_list_delay_seconds}

    @application.put("/control/rewind")
    async def put_rewind():
        state.restore_revision((await quart.request.get_json())["revision"])
        return {"revision": state.revision}

    @application.get("/control/status")
    async def status():
        return {
            "mode": state.mode,
            "revision": state.revision,
            "call_count": state.call_count,
            "refused_count": state.refused_count,
            "peak_calls": state.peak_calls,
            "waiting_count": state.waiting_count,
        }

    @application.errorhandler(ValueError)
    async def on_value_error(error):
        return {"error": str(error)}, 400

    return application


async def serve(
    state,
    *,
    address,
    port,
    control_port,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Serve the node and control applications until cancelled.

    Reports a tuple of their two URLs once both listen.
    """
    async with trio.open_nursery() as nursery:
        urls = []
        for application, bound_port in (
            (make_application(state), port),
            (make_control_application(state), control_port),
        ):
            configuration = hypercorn_config.Config()
            configuration.bind = [f"{address}:{bound_port}"]
            configuration.accesslog = None
            configuration.errorlog = None
            # A watch is idle for longer than the default timeout.
            configuration.keep_alive_timeout = 120.0
            bound = await nursery.start(
                functools.partial(
                    hypercorn_trio.serve,
                    application,
                    configuration,
                    mode="asgi",
                )
            )
            urls.append(bound[0])
        task_status.started(tuple(urls))


def main():
    """Run the simulated platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=7500)
    parser.add_argument("--control-port", type=int, default=7501)
    arguments = parser.parse_args()
    trio.run(
        functools.partial(
            serve,
            PlatformState(),
            address=arguments.address,
            port=arguments.port,
            control_port=arguments.control_port,
        )
    )


if __name__ == "__main__":
    main()
