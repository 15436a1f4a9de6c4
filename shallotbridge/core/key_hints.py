"""Hints to the next owners about keys that may have run elsewhere.

An owner that crashes loses its keys, and its caller may send the request
again without marking it as a retry. Only a hint then tells the next owners
in the key's order that the key may have run.
"""

import dataclasses
import typing

import trio

from . import decisions
from . import errors
from . import keys

# A retry runs at the first owner in the key's order that is reachable.
HINTED_OWNER_COUNT = 2
# The response to the caller waits for the hints, so it can be this much later
# than the caller's deadline.
HINT_TIMEOUT_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyHints:
    """Functions by which a node sends hints to the next owners of a key.

    Attributes
    ----------
    report_unknown_outcome : callable
        ``await report_unknown_outcome(call, owner)``, to be called when an
        attempt at another owner ends with an unknown outcome and no other
        node knows of it.
    announce : callable
        ``announce(call)``, to be called immediately before this node sends a
        call that it owns to its upstream. Returns at once, with an event
        that is set when the hints have been sent.
    retract : callable
        ``retract(call, announced)``, for an announced call that did not run,
        with the event that ``announce`` returned.
    """

    report_unknown_outcome: typing.Callable[..., typing.Awaitable[None]]
    announce: typing.Callable[..., trio.Event]
    retract: typing.Callable[..., None]


def make_key_hints(*, own_host, hosts_of_service, apply_hint, send, spawn):
    """Return the hint functions of one node.

    Parameters
    ----------
    own_host : model.Host
    hosts_of_service : callable
        ``hosts_of_service(name)`` returns all known hosts of a service.
    apply_hint : callable
        ``apply_hint(key, is_retracted)`` of this node's ``keys.KeyWindow``.
    send : callable
        ``await send(host, service_name, key, is_retracted, timeout)`` sends
        a hint to an owner, or raises ``errors.PeerUnavailableError``.
    spawn : callable
        ``spawn(function, *arguments)`` runs an async function in the
        background.

    Returns
    -------
    KeyHints
    """

    async def notify_owner(host, call, key, is_retracted):
        if host.host_id == own_host.host_id:
            apply_hint(key, is_retracted)
            return
        try:
            await send(
                host,
                call.route.service,
                key,
                is_retracted,
                HINT_TIMEOUT_SECONDS,
            )
        except errors.PeerUnavailableError as error:
            decisions.record(
                "key_hint_failed",
                request_id=call.request_id,
                candidate=host.host_id,
                code=error.code,
                reason=error.detail,
            )

    async def notify_next_owners(call, owner, is_retracted=False):
        key = keys.scoped_key(call)
        hosts = hosts_of_service(call.route.service)
        with trio.move_on_after(HINT_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for host in _next_owners(key, call, hosts, owner):
                    nursery.start_soon(
                        notify_owner, host, call, key, is_retracted
                    )

    async def notify_and_set(call, announced):
        await notify_next_owners(call, own_host)
        announced.set()

    def announce(call):
        announced = trio.Event()
        spawn(notify_and_set, call, announced)
        return announced

    async def retract_after_announcement(call, announced):
        # The messages are sent independently, so the retraction could
        # otherwise arrive before the announcement.
        await announced.wait()
        await notify_next_owners(call, own_host, is_retracted=True)

    def retract(call, announced):
        spawn(retract_after_announcement, call, announced)

    return KeyHints(
        report_unknown_outcome=notify_next_owners,
        announce=announce,
        retract=retract,
    )


def _next_owners(key, call, hosts, owner):
    """Return the hosts that may run a retry or be queried for its key.

    Requests go to hosts in service only. An owner that was restarted queries
    the first other host in the key's order, whatever the state of that host.
    """
    others = [host for host in hosts if host.host_id != owner.host_id]
    ordered = keys.owner_order(key, others)
    in_service = [
        host
        for host in ordered
        if not host.is_leaving
        and call.configuration.is_in_service(host.failure_domain)
    ]
    return dict.fromkeys(ordered[:1] + in_service[:HINTED_OWNER_COUNT])
