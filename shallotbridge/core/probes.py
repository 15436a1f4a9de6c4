"""Hints of the own upstream's health and load endpoints."""

import enum
import json

import trio

from . import errors

INTERVAL_SECONDS = 1.0
TIMEOUT_SECONDS = 0.5
MAXIMUM_INSTANCE_CHARACTERS = 200


class HealthState(enum.StrEnum):
    """States that the upstream's health endpoint reports."""

    OK = "ok"
    STARTING = "starting"
    LEAVING = "leaving"


_KNOWN_STATES = tuple(HealthState)


async def read_health(fetch, timeout=TIMEOUT_SECONDS):
    """Ask the upstream for its state.

    Parameters
    ----------
    fetch : callable
        ``await fetch(path)`` returns a ``model.Response`` or raises
        ``errors.CallError`` or ``OSError``.
    timeout : float
        Seconds.

    Returns
    -------
    tuple of (str or None, str or None)
        State and instance id; None for what was not said.
    """
    fields = await _read_object(fetch, "/health", timeout)
    state = fields.get("state")
    instance_id = fields.get("instance")
    if not isinstance(instance_id, str) or (
        len(instance_id) > MAXIMUM_INSTANCE_CHARACTERS
    ):
        instance_id = None
    return state if state in _KNOWN_STATES else None, instance_id


async def read_load(fetch, timeout=TIMEOUT_SECONDS):
    """Ask the upstream for its slots in use and its slots, or None."""
    fields = await _read_object(fetch, "/load", timeout)
    found = (fields.get("in_use"), fields.get("slots"))
    return found if all(type(number) is int for number in found) else None


async def _read_object(fetch, path, timeout):
    found = None
    with trio.move_on_after(timeout):
        try:
            response = await fetch(path)
            found = json.loads(response.body)
        except (errors.CallError, OSError, ValueError, RecursionError):
            found = None
    return found if isinstance(found, dict) else {}


async def probe_upstream(*, fetch, gate, random, interval=INTERVAL_SECONDS):
    """Feed a gate with what the upstream says, until cancelled.

    The endpoints lag and may be wrong, so the gate takes them as a hint:
    see ``UpstreamGate.on_health``.

    Parameters
    ----------
    fetch : callable
        As for ``read_health``.
    gate : gate.UpstreamGate
    random : random.Random
    interval : float
        Mean seconds between two rounds; jittered by a quarter.
    """
    while True:
        state, instance_id = await read_health(fetch)
        # The endpoint may lag behind a restart that responses have already
        # shown; the gate ignores instance ids that it has seen replaced.
        if instance_id is not None:
            gate.on_instance(instance_id)
        gate.on_health(state)
        gate.on_load(await read_load(fetch))
        await trio.sleep(interval * random.uniform(0.75, 1.25))
