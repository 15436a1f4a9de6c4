"""Calls and gates for tests of admission control."""

from shallotbridge.core import gate
from shallotbridge.core import keys
from shallotbridge.core import model
from shallotbridge.core import suspects
from tests import builders

FAR_DEADLINE = 1_000.0


def make_call(number=0, *, route=None, key=None, configuration=None, **other):
    """Return a call to the showroom service; the body holds its number."""
    request = model.Request(
        method="POST",
        target="/showroom/reservations",
        headers=(),
        body=b"%d" % number,
    )
    fields = {
        "request": request,
        "request_id": f"r{number}",
        "route": route or builders.make_reserve_route(),
        "configuration": configuration or builders.make_configuration(),
        "deadline": FAR_DEADLINE,
        "retries_left": 1,
        "idempotency_key": key,
    }
    return model.Call(**(fields | other))


def make_response(instance="i1", body=b"", status=200, **headers):
    """Return an upstream's response."""
    return model.Response(
        status=status,
        headers=(
            model.Header(name="x-instance", value=instance),
            *(
                model.Header(name=name.replace("_", "-"), value=value)
                for name, value in headers.items()
            ),
        ),
        body=body,
    )


def make_gate(nursery, *, limits=None, host=None, **options):
    """Return a started gate, and a dict of its configuration and log."""
    state = {
        "configuration": builders.make_configuration(
            services=[builders.make_service(**(limits or {}))]
        ),
        "log": [],
    }
    host = host or builders.make_host()
    options.setdefault("suspects", suspects.SuspectTable())
    options.setdefault(
        "keys",
        keys.KeyWindow(own_host=host, hosts_of_service=lambda name: [host]),
    )
    new_gate = gate.AdmissionController(
        own_host=host,
        configuration=lambda: state["configuration"],
        record=lambda action, **fields: state["log"].append((action, fields)),
        **options,
    )
    new_gate.start(nursery)
    return new_gate, state
