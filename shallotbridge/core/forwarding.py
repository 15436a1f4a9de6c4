"""Forwarding of calls to owner nodes on other hosts."""

import trio

from . import errors
from . import http1_encoding
from . import model
from . import pool
from . import protocol

FORWARD_PORT = 7401
# Idle connections to all owner nodes together. This limits the memory and
# file descriptors of a node that forwards to many owner nodes.
MAXIMUM_IDLE_CONNECTIONS = 32
# Connections to one owner node. The slots and the queue of one upstream are
# far smaller than this number of concurrent calls.
MAXIMUM_CONNECTIONS = 256
# A pool that is unused for longer than this is removed.
POOL_IDLE_TIMEOUT_SECONDS = 60.0

_ERRORS_BY_CODE = errors.errors_by_code()


class Forwarder:
    """Forwards calls to owner nodes over a connection pool for each host.

    Parameters
    ----------
    open_stream : callable
        ``await open_stream(address, port)``, as in ``network.Network``.
    port : int
        Port of the owner nodes.
    """

    def __init__(self, *, open_stream, port=FORWARD_PORT):
        self._open_stream = open_stream
        self._port = port
        self._pools_by_host_id = {}
        self._idle_limit = pool.IdleConnectionLimit(
            maximum=MAXIMUM_IDLE_CONNECTIONS
        )
        self._next_sweep_at = 0.0

    async def forward(self, host, call):
        """Send a call to the owner node of a host.

        Parameters
        ----------
        host : model.Host
        call : model.Call

        Returns
        -------
        model.Response
            With the headers of the owner node, such as its free slots.

        Raises
        ------
        errors.CallError
            Reported by the owner node, or raised by the exchange itself.
        """
        await self._close_unused()
        owner_pool = self._pools_by_host_id.get(host.host_id)
        if owner_pool is None or owner_pool.address != host.address:
            old_pool, owner_pool = owner_pool, self._add_pool(host)
            if old_pool is not None:
                # A replacement of a host may have its id and a new address.
                await old_pool.close()
        request = model.Request(
            method=call.request.method,
            target=call.request.target,
            headers=tuple(_owner_headers(host, call)),
            body=call.request.body,
        )
        response = await owner_pool.exchange(request, call.deadline)
        code = response.header(protocol.CODE)
        if code is None:
            if response.header(protocol.OUTCOME) != errors.Outcome.RUN:
                raise errors.AnswerMismatchError(
                    f"the response of {host.host_id} has neither a code nor "
                    "the outcome 'run'"
                )
            return response
        raise _owner_error(host, code, response)

    def _add_pool(self, host):
        new_pool = pool.ConnectionPool(
            open_stream=self._open_stream,
            address=host.address,
            port=self._port,
            maximum=MAXIMUM_CONNECTIONS,
            id_header=protocol.REQUEST_ID,
            is_id_required=True,
            idle_limit=self._idle_limit,
        )
        self._pools_by_host_id[host.host_id] = new_pool
        return new_pool

    @property
    def idle_count(self):
        """Number of idle connections to all owner nodes together."""
        return self._idle_limit.count

    async def _close_unused(self):
        """Close old idle connections and remove unused pools."""
        now = trio.current_time()
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + pool.IDLE_TIMEOUT_SECONDS
        for host_id, host_pool in list(self._pools_by_host_id.items()):
            await host_pool.close_idle()
            is_unused = now - host_pool.last_used > POOL_IDLE_TIMEOUT_SECONDS
            if is_unused and not host_pool.in_use and not host_pool.idle_count:
                self._pools_by_host_id.pop(host_id, None)

    async def close(self):
        """Close all idle connections."""
        for host_pool in list(self._pools_by_host_id.values()):
            await host_pool.close()


def _owner_headers(host, call):
    headers = protocol.strip_protocol_headers(
        http1_encoding.end_to_end_headers(call.request.headers)
    )
    if call.request.header("host") is None:
        headers.append(model.Header(name="host", value=host.address))
    remaining = protocol.remaining_ms(call.deadline, trio.current_time())
    version = call.configuration.head.version
    for name, value in (
        (protocol.SERVICE, call.route.service),
        (protocol.ROUTE, call.route.name),
        (protocol.REQUEST_ID, call.request_id),
        (protocol.DEADLINE, str(remaining)),
        (protocol.ATTEMPT, str(call.attempt)),
        (protocol.RETRIES_LEFT, str(call.retries_left)),
        (protocol.VERSION, str(version)),
    ):
        headers.append(model.Header(name=name, value=value))
    return headers


def _owner_error(host, code, response):
    """Return the typed error that an owner node reports.

    The reported outcome must be the one that belongs to the code. If it is
    not, the response is not trusted and the outcome is unknown.
    """
    error_type = _ERRORS_BY_CODE.get(code)
    reported_outcome = response.header(protocol.OUTCOME)
    if (
        error_type is None
        or not issubclass(error_type, errors.CallError)
        or reported_outcome != error_type.outcome
    ):
        return errors.AnswerMismatchError(
            f"the response of {host.host_id} has code {code!r} and outcome "
            f"{reported_outcome!r}, which contradict each other"
        )
    error = error_type(f"{host.host_id}: code {code}")
    error.free = protocol.read_free_slots(response)
    error.is_from_owner = True
    return error
