"""Owner node: runs calls on the upstream of its host.

No other node sends requests to this upstream.
"""

import dataclasses

import trio

from . import errors
from . import http1_encoding
from . import keys
from . import model
from . import pool
from . import protocol
from . import serving

UPSTREAM_PORT = 8080
_UPSTREAM_REQUEST_ID = "x-request-id"
_UPSTREAM_DEADLINE = "x-deadline-ms"
_REPLACED_HEADER_NAMES = frozenset({_UPSTREAM_REQUEST_ID, _UPSTREAM_DEADLINE})


class OwnerServer:
    """Runs forwarded and local calls on the upstream of this host.

    Parameters
    ----------
    own_host : model.Host
    store : object
        Has an attribute ``configuration``, as ``store.ConfigurationStore``.
    gate : gate.AdmissionController
        Admits calls with ``await run(call, send)``; has ``free``.
    open_stream : callable
        ``await open_stream(address, port)``, as in ``network.Network``.
    maximum_connections : int
        Maximum number of open connections to the upstream.
    upstream_port : int
    key_hints : key_hints.KeyHints, optional
        Announces the idempotency keys of local calls to other nodes.
    wait_until_synced : callable, optional
        ``await wait_until_synced()`` returns once the node's state is up to
        date after a pause of the process.
    """

    def __init__(
        self,
        *,
        own_host,
        store,
        gate,
        open_stream,
        maximum_connections,
        upstream_port=UPSTREAM_PORT,
        key_hints=None,
        wait_until_synced=None,
    ):
        self._own_host = own_host
        self._store = store
        self._gate = gate
        self._key_hints = key_hints
        self._wait_until_synced = wait_until_synced
        self._pool = pool.ConnectionPool(
            open_stream=open_stream,
            address=own_host.address,
            port=upstream_port,
            maximum=maximum_connections,
            id_header=_UPSTREAM_REQUEST_ID,
        )
        self._server = serving.ConnectionServer(
            handle_request=self._handle_request,
            handle_framing_error=self._handle_framing_error,
        )

    async def handle(self, stream):
        """Serve a connection of another node until it is closed."""
        await self._server.handle(stream)

    def begin_drain(self):
        """Close each connection after its next response, or soon if idle."""
        self._server.begin_drain()

    async def wait_idle(self):
        """Wait until a drain has closed all connections of other nodes."""
        await self._server.wait_idle()

    async def close(self):
        """Close the idle connections to the upstream."""
        await self._pool.close()

    async def run_local(self, call):
        """Run a call that this node received as the entry node.

        Parameters
        ----------
        call : model.Call

        Returns
        -------
        model.Response
            With the headers for free slots and for the upstream's response
            time, as in responses to other nodes.

        Raises
        ------
        errors.CallError
        """
        return await self._run(call, self._send_local)

    async def _run(self, call, send):
        response = await self._gate.run(call, send)
        return dataclasses.replace(
            response,
            headers=(
                *response.headers,
                model.Header(
                    name=protocol.FREE_SLOTS, value=str(self._gate.free)
                ),
            ),
        )

    async def _send_local(self, call):
        """Announce the idempotency key of a local call, then send the call.

        If this node crashed without the announcement, no other node would
        know that the call was sent.
        """
        if self._key_hints is None or not keys.needs_key_check(call):
            return await self._send(call)
        announced = self._key_hints.announce(call)
        try:
            return await self._send(call)
        except errors.CallError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                self._key_hints.retract(call, announced)
            raise

    async def _send(self, call):
        """Send an admitted call to the upstream."""
        request = model.Request(
            method=call.request.method,
            target=call.request.target,
            headers=tuple(_upstream_headers(call, self._own_host)),
            body=call.request.body,
        )
        started = trio.current_time()
        response = await self._pool.exchange(request, call.deadline)
        microseconds = round((trio.current_time() - started) * 1e6)
        protocol.raise_for_refusal(response, self._own_host)
        return dataclasses.replace(
            response,
            headers=(
                *protocol.strip_protocol_headers(
                    http1_encoding.end_to_end_headers(response.headers)
                ),
                model.Header(
                    name=protocol.UPSTREAM_TIME, value=str(microseconds)
                ),
            ),
        )

    async def _handle_request(self, request):
        request_id = ""
        try:
            request_id = protocol.read_request_id(request) or ""
            if self._wait_until_synced is not None:
                await self._wait_until_synced()
            call = self._build_call(request, request_id)
            response = await self._run(call, self._send)
        except errors.CallError as error:
            return self._build_error_response(error, request_id), _do_nothing
        headers = (
            *response.headers,
            model.Header(name=protocol.REQUEST_ID, value=request_id),
            model.Header(name=protocol.OUTCOME, value=errors.Outcome.RUN),
        )
        return dataclasses.replace(response, headers=headers), _do_nothing

    def _build_call(self, request, request_id):
        """Return the call that the headers of the entry node describe.

        The route is looked up in this node's active configuration, so an
        entry node with an old configuration cannot run a removed route.
        """
        configuration = self._store.configuration
        if configuration is None:
            raise errors.NoConfigurationError(
                f"{self._own_host.host_id} has no configuration yet"
            )
        service_name = request.header(protocol.SERVICE)
        route_name = request.header(protocol.ROUTE)
        service = configuration.services_by_name.get(service_name)
        if service is None or service_name != self._own_host.service:
            raise errors.UnknownServiceError(
                f"{self._own_host.host_id} does not own service "
                f"{service_name!r} in version {configuration.head.version}"
            )
        route = service.routes_by_name.get(route_name)
        if route is None:
            raise errors.UnknownServiceError(
                f"service {service_name!r} has no route {route_name!r} in "
                f"version {configuration.head.version}"
            )
        if not request_id:
            raise errors.BadHeaderError(
                f"{protocol.REQUEST_ID}: found none; allowed: one"
            )
        milliseconds = protocol.read_number(
            request,
            protocol.DEADLINE,
            minimum=0,
            maximum=protocol.MAXIMUM_DEADLINE_MS,
            default=round(route.deadline_seconds * 1000),
        )
        return model.Call(
            request=request,
            request_id=request_id,
            route=route,
            configuration=configuration,
            deadline=trio.current_time() + milliseconds / 1000,
            retries_left=protocol.read_retries_left(request),
            attempt=protocol.read_attempt(request),
            idempotency_key=protocol.read_idempotency_key(request),
        )

    def _build_error_response(self, error, request_id):
        headers = [
            model.Header(name=protocol.OUTCOME, value=error.outcome),
            model.Header(name=protocol.CODE, value=error.code),
            model.Header(name=protocol.FREE_SLOTS, value=str(self._gate.free)),
        ]
        if request_id:
            headers.append(
                model.Header(name=protocol.REQUEST_ID, value=request_id)
            )
        return protocol.failure_response(error, headers=headers)

    def _handle_framing_error(self, error):
        return self._build_error_response(error, "")


def _do_nothing():
    """Do nothing after a response; the gate writes the owner node's log."""


def _upstream_headers(call, own_host):
    headers = [
        header
        for header in protocol.strip_protocol_headers(
            http1_encoding.end_to_end_headers(call.request.headers)
        )
        if header.name not in _REPLACED_HEADER_NAMES
    ]
    if call.request.header("host") is None:
        # HTTP/1.0 callers may omit the Host header; HTTP/1.1 requires it.
        headers.append(model.Header(name="host", value=own_host.address))
    remaining = protocol.remaining_ms(call.deadline, trio.current_time())
    for name, value in (
        (_UPSTREAM_REQUEST_ID, call.request_id),
        (_UPSTREAM_DEADLINE, str(remaining)),
        # Limit for the calls that the upstream makes through this node.
        (protocol.RETRIES_LEFT, str(call.retries_left)),
    ):
        headers.append(model.Header(name=name, value=value))
    return headers
