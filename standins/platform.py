"""Stand-in of the users' platform: configuration service and host list.

``PlatformState`` is the logic; tests bind it directly, and ``python -m
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
# Revisions to which the platform can be restored.
HISTORY_REVISIONS = 64
_WINDOW_SECONDS = 1.0
_MAXIMUM_BODY_BYTES = 64 * 1024 * 1024


class ControlError(ValueError):
    """A test asks the stand-in for what it cannot do."""

    code = "SB-9003"


class PlatformState:
    """Values with revisions, limits and faults.

    Parameters
    ----------
    calls_per_second : int
        Calls answered within any second; further ones are refused.

    Attributes
    ----------
    mode : str
        ``up``, ``down`` (every call fails) or ``stale`` (calls see the state
        of the moment when the mode was set).
    host_lag : float
        Time from ``set_hosts`` until the list is visible, seconds.
    call_count, refused_count, peak_calls : int
        All calls, calls above the limit, and the most calls that arrived
        within one second.

    Examples
    --------
    >>> state = PlatformState()
    >>> state.put({"configuration/head": b"x"})
    1
    """

    def __init__(self, *, calls_per_second=CALLS_PER_SECOND):
        self.mode = "up"
        self.host_lag = 0.0
        self.call_count = 0
        self.refused_count = 0
        self.peak_calls = 0
        self.waiting_count = 0
        self._calls_per_second = calls_per_second
        self._arrivals = collections.deque()
        self._values = {}
        self._revisions_by_key = {}
        self._revision = 0
        self._history = {0: ({}, {})}
        self._frozen = None
        self._delayed = []
        self._host_revisions = {}
        self._changed = trio.Event()

    @property
    def revision(self):
        """Revision of the newest state, also while it is not served."""
        return self._revision

    def put(self, values_by_key):
        """Set values, or delete those that are None, in one revision.

        Returns
        -------
        int
            The new revision.
        """
        for key, value in values_by_key.items():
            if value is not None and len(value) > MAXIMUM_VALUE_BYTES:
                raise ControlError(f"{key}: {len(value)} bytes are too many")
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
        self._wake()
        return self._revision

    def set_mode(self, mode):
        """Set the mode; see the class."""
        if mode not in ("up", "down", "stale"):
            raise ControlError(f"mode {mode!r} is none of up, down, stale")
        self._publish_due()
        self.mode = mode
        self._frozen = None
        if mode == "stale":
            self._frozen = (
                self._values,
                self._revisions_by_key,
                self._revision,
            )
        self._wake()

    def rewind(self, revision):
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
        self._wake()

    def set_hosts(self, failure_domain, hosts):
        """Set a host list; it is visible after the lag.

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
        if self.host_lag <= 0:
            self.put({key: content})
        else:
            visible_at = trio.current_time() + self.host_lag
            self._delayed.append((visible_at, key, content))
            self._wake()

    async def read(self, key):
        """Return a value's bytes or None."""
        self._admit()
        await trio.lowlevel.checkpoint()
        values, _, _ = self._served()
        return values.get(key)

    async def watch(self, revision, wait):
        """Return the keys that changed after a revision; see section 12.1."""
        self._admit()
        deadline = trio.current_time() + wait
        self.waiting_count += 1
        try:
            while True:
                await trio.lowlevel.checkpoint()
                change = self._change_since(revision)
                remaining = deadline - trio.current_time()
                if change.keys or remaining <= 0:
                    return change
                due = [visible_at for visible_at, _, _ in self._delayed]
                next_due = min(due, default=deadline)
                with trio.move_on_at(min(deadline, next_due)):
                    await self._changed.wait()
                self._check_up()
        finally:
            self.waiting_count -= 1

    def as_platform(self, is_reachable=None):
        """Return closures for a node.

        Parameters
        ----------
        is_reachable : callable, optional
            Tells whether the node reaches the platform now.
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

        return network.Platform(read=read, watch=watch)

    def _admit(self):
        now = trio.current_time()
        self.call_count += 1
        while self._arrivals and self._arrivals[0] <= now - _WINDOW_SECONDS:
            self._arrivals.popleft()
        self._arrivals.append(now)
        self.peak_calls = max(self.peak_calls, len(self._arrivals))
        if len(self._arrivals) > self._calls_per_second:
            self.refused_count += 1
            raise errors.PlatformRateError("more calls than the limit")
        self._check_up()
        self._publish_due()

    def _check_up(self):
        if self.mode == "down":
            raise errors.PlatformUnavailableError("the platform is down")

    def _publish_due(self):
        if not self._delayed:
            return
        now = trio.current_time()
        due = [entry for entry in self._delayed if entry[0] <= now]
        self._delayed = [entry for entry in self._delayed if entry[0] > now]
        for _, key, content in due:
            self.put({key: content})

    def _served(self):
        if self._frozen is not None:
            return self._frozen
        return self._values, self._revisions_by_key, self._revision

    def _change_since(self, revision):
        self._publish_due()
        values, revisions_by_key, served_revision = self._served()
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

    def _wake(self):
        changed, self._changed = self._changed, trio.Event()
        changed.set()


def make_application(state):
    """Return the HTTP application that nodes read."""
    application = quart_trio.QuartTrio("platform")
    # A watch may wait for longer than the default of 60 s.
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
    async def on_rate(error):
        return {"error": error.detail}, 429

    @application.errorhandler(errors.PlatformUnavailableError)
    async def on_down(error):
        return {"error": error.detail}, 503

    return application


def make_control_application(state):
    """Return the HTTP application with which tests operate the platform."""
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
        state.host_lag = float(document["seconds"])
        return {"seconds": state.host_lag}

    @application.put("/control/rewind")
    async def put_rewind():
        state.rewind((await quart.request.get_json())["revision"])
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
    async def on_value(error):
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
    """Serve a state on two ports until cancelled.

    Reports the bound URLs of both as a tuple once it listens.
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
            # A watch is idle for longer than the default.
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
    """Run the stand-in."""
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
