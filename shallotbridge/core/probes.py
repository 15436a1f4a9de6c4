"""Health and load probes of this host's upstream."""

import enum
import json

import trio

from . import errors

INTERVAL_SECONDS = 1.0
TIMEOUT_SECONDS = 0.5
MAXIMUM_INSTANCE_ID_LENGTH = 200


class HealthState(enum.StrEnum):
    """State that the upstream's health endpoint reports."""

    OK = "ok"
    STARTING = "starting"
    LEAVING = "leaving"


_HEALTH_STATES = tuple(HealthState)


async def read_health(fetch, timeout=TIMEOUT_SECONDS):
    """Read the upstream's health endpoint.

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
        State and instance id; None for a missing or invalid value.
    """
    fields = await _fetch_object(fetch, "/health", timeout)
    state = fields.get("state")
    instance_id = fields.get("instance")
    if not isinstance(instance_id, str) or (
        len(instance_id) > MAXIMUM_INSTANCE_ID_LENGTH
    ):
        instance_id = None
    return state if state in _HEALTH_STATES else None, instance_id


async def read_load(fetch, timeout=TIMEOUT_SECONDS):
    """Return the upstream's slots in use and its total slots, or None."""
    fields = await _fetch_object(fetch, "/load", timeout)
    load = (fields.get("in_use"), fields.get("slots"))
    return load if all(type(number) is int for number in load) else None


async def _fetch_object(fetch, path, timeout):
    document = None
    with trio.move_on_after(timeout):
        try:
            response = await fetch(path)
            document = json.loads(response.body)
        except (errors.CallError, OSError, ValueError, RecursionError):
            document = None
    return document if isinstance(document, dict) else {}


async def probe_upstream(*, fetch, gate, random, interval=INTERVAL_SECONDS):
    """Pass an upstream's health and load reports to a gate until cancelled.

    The endpoints lag and may be wrong, so the gate treats them as hints: see
    ``AdmissionController.on_health_report``.

    Parameters
    ----------
    fetch : callable
        As for ``read_health``.
    gate : gate.AdmissionController
    random : random.Random
    interval : float
        Mean time between two probes, seconds, with a jitter of 25%.
    """
    while True:
        state, instance_id = await read_health(fetch)
        # The endpoint may still report the old instance after responses have
        # shown a new one; the gate ignores ids of replaced instances.
        if instance_id is not None:
            gate.on_instance_id(instance_id)
        gate.on_health_report(state)
        gate.on_load_report(await read_load(fetch))
        await trio.sleep(interval * random.uniform(0.75, 1.25))
