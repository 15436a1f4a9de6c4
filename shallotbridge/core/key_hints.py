"""Hints to the next owners about keys that may have run elsewhere.

An owner that dies forgets its keys, and its caller may send the request
again without marking it as a repetition. The next owners in the key's order
then know the key only from such a hint.
"""

import dataclasses
import typing

import trio

from . import decisions
from . import errors
from . import keys

# The owner that runs the repetition is the first one that can be reached.
HINTED_OWNERS = 2
# The caller's answer waits for the hints, so this adds to a deadline.
HINT_TIMEOUT_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyHints:
    """How a node tells the next owners of a key.

    Attributes
    ----------
    report_unknown : callable
        ``await report_unknown(call, owner)`` after a sending to an owner
        whose outcome only this node knows to be unknown.
    announce : callable
        ``announce(call)`` immediately before this node sends a call of its
        own to its upstream. It returns at once, with an event that is set
        when the owners were told.
    retract : callable
        ``retract(call, announced)`` when an announced call did not run, with
        the event of its announcement.
    """

    report_unknown: typing.Callable[..., typing.Awaitable[None]]
    announce: typing.Callable[..., trio.Event]
    retract: typing.Callable[..., None]


def make_key_hints(*, own_host, hosts_of_service, take_hint, send, spawn):
    """Return the hints of one node.

    Parameters
    ----------
    own_host : model.Host
    hosts_of_service : callable
        ``hosts_of_service(name)`` returns all known hosts of a service.
    take_hint : callable
        ``take_hint(key, is_retracted)`` of the own ``keys.KeyWindow``.
    send : callable
        ``await send(host, service_name, key, is_retracted, timeout)`` tells
        an owner, or raises ``errors.PeerUnavailableError``.
    spawn : callable
        ``spawn(function, *arguments)`` runs an async function in the
        background.

    Returns
    -------
    KeyHints
    """

    async def tell(host, call, key, is_retracted):
        if host.host_id == own_host.host_id:
            take_hint(key, is_retracted)
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

    async def tell_next_owners(call, owner, is_retracted=False):
        key = keys.scoped_key(call)
        hosts = hosts_of_service(call.route.service)
        with trio.move_on_after(HINT_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for host in _next_owners(key, call, hosts, owner):
                    nursery.start_soon(tell, host, call, key, is_retracted)

    async def announce_and_set(call, announced):
        await tell_next_owners(call, own_host)
        announced.set()

    def announce(call):
        announced = trio.Event()
        spawn(announce_and_set, call, announced)
        return announced

    async def retract_after(call, announced):
        # The calls are independent, so a retraction could come first.
        await announced.wait()
        await tell_next_owners(call, own_host, is_retracted=True)

    def retract(call, announced):
        spawn(retract_after, call, announced)

    return KeyHints(
        report_unknown=tell_next_owners, announce=announce, retract=retract
    )


def _next_owners(key, call, hosts, owner):
    """Return the hosts that a repetition may reach or be looked up at.

    Requests go to hosts in service only. The lookup of an owner that was
    restarted asks the first other host in the order, whatever its state.
    """
    others = [host for host in hosts if host.host_id != owner.host_id]
    ordered = keys.key_order(key, others)
    in_service = [
        host
        for host in ordered
        if not host.is_leaving
        and call.configuration.is_in_service(host.failure_domain)
    ]
    return dict.fromkeys(ordered[:1] + in_service[:HINTED_OWNERS])
