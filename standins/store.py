"""Simulated store of the platform and simulated upstream.

Both read requests with the HTTP/1.1 reader of the product, but are not part
of it.
"""

import base64
import dataclasses
import json
import urllib.parse

import trio

from shallotbridge.core import http1
from shallotbridge.core import http1_encoding
from shallotbridge.core import model
from shallotbridge.transports import tcp

PAGE_ITEMS = 50


class StoreState:
    """Items with revisions, and injected faults.

    Attributes
    ----------
    status : int or None
        If set, the status of all responses, to simulate an outage.
    is_unresponsive : bool
        Whether calls get no response.
    is_silent : bool
        Whether watches report no changes.
    era : int or None
        Number of the store's lives, in a header of all answers.
    configuration_delay_seconds : float
        Network delay of each watch response with a configuration, seconds.
    in_transit : int
        Number of responses that are being delayed.
    """

    def __init__(self):
        self.items_by_key = {}
        self.revision = 1
        self.oldest_revision = 0
        self.status = None
        self.is_unresponsive = False
        self.is_silent = False
        self.era = 1
        self.configuration_delay_seconds = 0.0
        self.in_transit = 0
        self.calls = []
        self._events = []
        self._changed = trio.Event()
        self._cuts = trio.Event()
        self._restored_to = 0

    def put(self, key, document):
        """Write an item; a dictionary is encoded as JSON."""
        if isinstance(document, dict):
            document = json.dumps(document).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(document).decode(),
            "revision": self.revision,
            "created_at": self.revision,
            "lease_id": 0,
        }
        self.items_by_key[key] = item
        self._add_event(item)

    def delete(self, key):
        """Delete an item if it exists."""
        if self.items_by_key.pop(key, None) is None:
            return
        self.revision += 1
        self._add_event(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def compact_history(self):
        """Compact the history: watches from older revisions get 410.

        A watch that is waiting gets it only at the next change of an item
        with its prefix.
        """
        self.oldest_revision = self.revision
        self._events.clear()

    def copy(self):
        """Return a copy of the items, from which ``restore`` starts."""
        return self.revision, dict(self.items_by_key)

    def restore(self, copy):
        """Go back to a copy: what was written since is lost.

        Revisions are given out again, and a new era begins. A watch from a
        revision that the copy does not have gets 410.
        """
        self.revision, items_by_key = copy
        self.items_by_key = dict(items_by_key)
        self._restored_to = self.revision
        self.era += 1
        self._events.clear()
        self.oldest_revision = 0
        self.cut_watches()

    def write_again(self, items_by_key):
        """Write what a restore has lost or brought back.

        Items that were written since the restore stay.
        """
        for key in self.items_by_key.keys() | items_by_key.keys():
            wanted = items_by_key.get(key)
            found = self.items_by_key.get(key)
            if found is not None and found["revision"] > self._restored_to:
                continue
            if wanted is None:
                self.delete(key)
            elif found is None or found["value"] != wanted["value"]:
                self.put(key, base64.b64decode(wanted["value"]))

    def cut_watches(self):
        """End the connections of all waiting watches."""
        self._cuts.set()
        self._cuts = trio.Event()

    def _add_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = trio.Event()

    async def handle_request(self, request):
        """Return the response to a call."""
        response = await self._respond(request)
        if self.era is None or isinstance(response, bytes):
            return response
        era = model.Header(name="store-era", value=str(self.era))
        return dataclasses.replace(response, headers=(era,))

    async def _respond(self, request):
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.calls.append(path)
        if self.is_unresponsive:
            await trio.sleep_forever()
        if self.status is not None:
            return _response(self.status, {})
        if path == "/v1/kv-range":
            return self._range(fields)
        if path == "/v1/kv-watch":
            return await self._watch(fields)
        return _response(404, {})

    def _range(self, fields):
        keys = sorted(
            key
            for key in self.items_by_key
            if key.startswith(fields["path_prefix"])
            and key > fields.get("after", "")
        )
        page = [self.items_by_key[key] for key in keys[:PAGE_ITEMS]]
        return _response(
            200,
            {
                "items": page,
                "has_more": len(keys) > PAGE_ITEMS,
                "at": self.revision,
            },
        )

    async def _watch(self, fields):
        after = int(fields["after"])
        if not self.oldest_revision <= after <= self.revision:
            return _response(410, {})
        events = []
        cuts = self._cuts
        with trio.move_on_after(int(fields["wait_timeout_ms"]) / 1000):
            while not cuts.is_set():
                events = [
                    event
                    for event in self._events
                    if event["revision"] > after
                    and event["key"].startswith(fields["path_prefix"])
                ]
                if events and not self.is_silent:
                    break
                async with trio.open_nursery() as nursery:
                    for event in (self._changed, cuts):
                        nursery.start_soon(_cancel_after, event, nursery)
        if cuts.is_set():
            return b""
        if self.is_silent:
            events = []
        if events and after < self.oldest_revision:
            return _response(410, {})
        response = _response(200, {"events": events, "at": self.revision})
        if any(event["key"] == "op/config" for event in events):
            self.in_transit += 1
            await trio.sleep(self.configuration_delay_seconds)
            self.in_transit -= 1
        return response


class UpstreamState:
    """An upstream that responds to each request after a fixed time.

    Attributes
    ----------
    requests : list of model.Request
        The requests that it ran.
    arrived_at : list of float
        Times at which requests arrived, also refused ones, on trio's clock.
    limit : str or None
        Value of the limit header of all its answers, valid or not.
    leaving : str or None
        Value of the header that says that it is shutting down.
    refusals_left : int
        Number of further requests that it refuses.
    cut_response : bytes or None
        If set, sent in place of each answer before the connection is closed.
    crashing_paths : frozenset of str
        Paths of the requests that end it; see ``serve_upstream``.
    crash_count : int
        Number of times that it has ended.
    crashes_silently : bool
        Whether its connections stay open without answers after a crash,
        until it starts again.
    down_seconds : float
        Time from a crash until it accepts connections again. With 0, it is
        back before anything but the connection of the request has ended.
    """

    def __init__(self, instance_id, *, seconds=0.01):
        self.instance_id = instance_id
        self.seconds = seconds
        self.requests = []
        self.arrived_at = []
        self.limit = None
        self.leaving = None
        self.refusals_left = 0
        self.cut_response = None
        self.crashing_paths = frozenset()
        self.crash_count = 0
        self.crashes_silently = False
        self.down_seconds = 1.0
        self.crashed = trio.Event()
        self.cold_ms = 0
        self.may_respond = trio.Event()
        self.may_respond.set()

    async def handle_request(self, request):
        """Return the response to a request, or bytes that end a connection."""
        response = await self._handle_request(request)
        if isinstance(response, bytes):
            return response
        added = tuple(
            model.Header(name=name, value=value)
            for name, value in (
                ("server-limit", self.limit),
                ("server-leaving", self.leaving),
            )
            if value is not None
        )
        return dataclasses.replace(response, headers=response.headers + added)

    async def _handle_request(self, request):
        if self.crashed.is_set():
            await trio.sleep_forever()
        instance = model.Header(name="instance-id", value=self.instance_id)
        if request.target == "/health":
            cold = model.Header(name="cold-remaining", value=str(self.cold_ms))
            return model.Response(status=200, headers=(instance, cold))
        if request.header("target-instance") != self.instance_id:
            refused = model.Header(name="not-executed", value="1")
            return model.Response(status=421, headers=(instance, refused))
        self.arrived_at.append(trio.current_time())
        if self.refusals_left > 0:
            self.refusals_left -= 1
            return make_refusal(request)
        self.requests.append(request)
        if request.target.partition("?")[0] in self.crashing_paths:
            await trio.sleep(self.seconds)
            self.crash()
            if self.crashed.is_set():
                await trio.sleep_forever()
            return b""
        if self.cut_response is not None:
            return self.cut_response
        await trio.sleep(self.seconds)
        await self.may_respond.wait()
        request_id = request.header("attempt-id")
        return model.Response(
            status=200,
            headers=(
                model.Header(name="attempt-id", value=request_id),
                model.Header(name="server-signature", value="s"),
            ),
            body=f"{self.instance_id} {request_id}".encode(),
        )

    def crash(self):
        """End all connections, or stop answering, and start again later."""
        self.crash_count += 1
        if self.down_seconds:
            self.crashed.set()


async def serve_upstream(
    state,
    respond,
    address,
    port,
    *,
    repeats_refusals=False,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Serve an upstream until cancelled, and again after each crash.

    Parameters
    ----------
    state : UpstreamState
        Its event `crashed` ends the upstream; it is replaced then.
    respond : callable
        See ``make_handler``.
    address : str
    port : int
    repeats_refusals : bool
        See ``make_handler``.
    """
    handler = make_handler(respond, repeats_refusals=repeats_refusals)
    while True:
        state.crashed = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(tcp.serve, address, port, handler)
            if task_status is not None:
                task_status.started()
                task_status = None
            await state.crashed.wait()
            if state.crashes_silently:
                await trio.sleep(state.down_seconds)
            nursery.cancel_scope.cancel()
        if not state.crashes_silently:
            await trio.sleep(state.down_seconds)


def make_refusal(request):
    """Return the refusal of a request that was not run."""
    return model.Response(
        status=503,
        headers=(
            model.Header(
                name="attempt-id", value=request.header("attempt-id")
            ),
            model.Header(name="not-executed", value="1"),
        ),
    )


async def _cancel_after(event, nursery):
    await event.wait()
    nursery.cancel_scope.cancel()


def _response(status, document):
    return model.Response(
        status=status, headers=(), body=json.dumps(document).encode()
    )


def make_handler(respond, *, repeats_refusals=False):
    """Return a connection handler that serves requests sequentially.

    Parameters
    ----------
    respond : callable
        ``await respond(request)`` returns a response, or the bytes to send
        before the connection is closed.
    repeats_refusals : bool
        Whether each refusal is sent once more when the next request of the
        connection has arrived, before its own response.
    """

    async def handle(stream):
        reader = http1.RequestReader(stream=stream)
        repeated = b""
        while await reader.wait_request():
            request = await reader.read()
            if repeated:
                await stream.send_all(repeated)
                repeated = b""
            response = await respond(request)
            if isinstance(response, bytes):
                await stream.send_all(response)
                return
            data = http1_encoding.encode_response(
                response, method=request.method
            )
            await stream.send_all(data)
            if repeats_refusals and response.status == 503:
                repeated = data

    return handle
