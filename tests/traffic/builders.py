"""Builders of test data for the tests of traffic."""

from shallotbridge.distribution import mirror
from shallotbridge.traffic import model

NAMES = model.HeaderNames(
    request_id="x-id",
    deadline="x-deadline",
    signature="x-signature",
    expected_instance="x-instance",
    not_run="x-not-run",
    caller_service="x-caller",
    instance="x-own-instance",
    cold="x-cold",
    limit="x-limit",
    leaving="x-leaving",
    api_key="x-key",
    customer="x-customer",
)
MIRROR_STATE = mirror.MirrorState(position=1, digest=1, age=0.0)
MIRROR_STATES = mirror.MirrorStates(
    upstreams=MIRROR_STATE, configuration=MIRROR_STATE
)
OWN_HOST = model.OwnHost(
    name="node-1",
    address="10.0.0.1",
    failure_domain="a",
    service="front",
    upstream_address="10.0.0.1",
    upstream_port=8080,
)


def route(**changes):
    """Return a route to ``shop``, with some fields changed."""
    fields = {
        "name": "browse",
        "host": "shop.example",
        "path_prefix": "/shop/",
        "destinations": (model.Destination(service="shop", weight=1),),
        "is_idempotent": True,
        "timeout_seconds": 1.0,
        "objective_seconds": 0.3,
        "maximum_attempts": 2,
        "priority": 1,
    }
    return model.Route(**(fields | changes))


def configuration(*routes, version=1):
    """Return a configuration with these routes and the service ``shop``."""
    routes_by_host = {}
    for one in routes:
        routes_by_host.setdefault(one.host, {})[one.path_prefix] = one
    shop = model.Service(
        name="shop",
        health_path="/health",
        maximum_connections=100,
        cold_seconds=3.0,
        cold_rate=16.0,
    )
    return model.Configuration(
        version=version,
        routes_by_host=routes_by_host,
        services_by_name={"shop": shop},
        limits=model.DEFAULT_CLIENT_LIMITS,
    )


def upstream(number, **changes):
    """Return an upstream of ``shop`` at address 10.0.0.``number``."""
    fields = {
        "upstream_id": f"u{number}",
        "service": "shop",
        "address": f"10.0.0.{number}",
        "port": 8080,
        "failure_domain": "a",
        "slots": 6,
    }
    return model.Upstream(**(fields | changes))


def view(current_configuration, *upstreams, domains_out=()):
    """Return a view with a configuration and upstreams."""
    return model.make_view(
        configuration=current_configuration,
        upstreams_by_id={one.upstream_id: one for one in upstreams},
        domains_out=frozenset(domains_out),
    )
