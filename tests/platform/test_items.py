"""Tests of decoding the platform's items."""

import json

import pytest

from shallotbridge.core import errors
from shallotbridge.platform import items

ENTRY = {
    "address": "10.1.0.9:8080",
    "information": {
        "service": "shop",
        "version": "v1",
        "zone": "cairo-a",
        "slots": 6,
    },
    "status": {"state": "ready", "sequence": 4, "cold_remaining": "1500ms"},
    "born": 1700000000000,
}
CONFIGURATION = {
    "version": 7,
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout": "3000ms",
        "idle_timeout": "15s",
    },
    "listeners": [
        {
            "host": "Shop.example",
            "rules": [
                {
                    "name": "hold",
                    "kind": "non_idempotent",
                    "target_latency": "400ms",
                    "priority": 1,
                    "match": {"path_prefix": "/hold/"},
                    "action": {
                        "service": "shop",
                        "timeout": "800ms",
                        "max_attempts": 2,
                    },
                },
                {
                    "name": "browse",
                    "kind": "idempotent",
                    "target_latency": "300ms",
                    "priority": 2,
                    "match": {"path_prefix": "/browse/"},
                    "action": {
                        "traffic_split": [
                            {"service": "shop", "weight": 90},
                            {"service": "new", "weight": 10},
                        ],
                        "timeout": "1200ms",
                        "max_attempts": 2,
                    },
                },
            ],
        }
    ],
    "clusters": [
        {
            "name": name,
            "health_check_path": "/health",
            "max_connections": 110,
            "protocol": "h1",
            "transport_security": False,
            "cold_start": "3s",
            "cold_per_s": 16.0,
        }
        for name in ("shop", "new")
    ],
}


def _encode_with_change(document, path, value):
    modified = json.loads(json.dumps(document))
    target = modified
    for key in path[:-1]:
        target = target[key]
    if value is None:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return json.dumps(modified).encode()


def test_entry_is_decoded_to_an_upstream():
    """Guards against fields that are swapped or lost."""
    upstream = items.decode_item("servers/i-1", json.dumps(ENTRY).encode())
    assert (upstream.upstream_id, upstream.address, upstream.port) == (
        "i-1",
        "10.1.0.9",
        8080,
    )
    assert (upstream.service, upstream.failure_domain, upstream.slots) == (
        "shop",
        "cairo-a",
        6,
    )
    assert upstream.cold_seconds == 1.5
    assert upstream.started_ms == 1700000000000
    assert not upstream.is_draining


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["address"], "10.1.0.9"),
        (["address"], None),
        (["information", "slots"], "6"),
        (["information", "slots"], 0),
        (["information", "service"], None),
        (["status", "state"], "gone"),
        (["status", "cold_remaining"], "soon"),
        (["information", "slots"], 10**30),
        (["information", "slots"], -1),
        (["information", "service"], "x" * 1_000_000),
        (["information", "service"], ""),
        (["information", "zone"], ""),
        (["information", "zone"], "a\x00b"),
        (["status", "sequence"], 2**70),
        (["status", "sequence"], -1),
        (["status", "cold_remaining"], "9" * 400 + "s"),
        (["born"], 2**70),
        (["born"], -5),
        (["address"], "10.1.0.9:" + "1" * 5000),
        (["address"], "10.1.0.9:70000"),
        (["address"], "10.1.0.9:٨٠"),
        (["address"], "not an ip:80"),
        (["address"], "....:80"),
        (["address"], "10.1.0.9\x00:80"),
        (["address"], "1" * 300 + ":80"),
        (["address"], "256.1.1.1:80"),
        (["born"], 1.5),
        (["born"], True),
    ],
)
def test_malformed_entry_is_rejected(path, value):
    """Guards against entries with missing or mistyped fields.

    Other programs may write such entries.
    """
    with pytest.raises(errors.MalformedEntryError):
        items.decode_item(
            "servers/i-1", _encode_with_change(ENTRY, path, value)
        )


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"{",
        b"null",
        b"[" * 100_000,
        b'{"address":' * 100_000,
        b'{"other":' * 100_000,
    ],
)
def test_undecodable_bytes_are_rejected(value):
    """Guards against undecodable bytes that terminate the process."""
    with pytest.raises(errors.MalformedEntryError):
        items.decode_item("servers/i-1", value)
    with pytest.raises(errors.MalformedEntryError):
        items.decode_item("op/config", value)


def test_all_fields_of_a_configuration_are_decoded():
    """Guards against limits, traffic splits or durations that get lost."""
    value = json.dumps(CONFIGURATION).encode()
    found = items.decode_item("op/config", value)
    routes = found.routes_by_host["shop.example"]
    hold, browse = routes["/hold/"], routes["/browse/"]
    assert found.version == 7
    assert not hold.is_idempotent and browse.is_idempotent
    assert (hold.timeout_seconds, hold.objective_seconds) == (0.8, 0.4)
    assert [(d.service, d.weight) for d in browse.destinations] == [
        ("shop", 90),
        ("new", 10),
    ]
    assert found.limits.idle_timeout_seconds == 15.0
    assert found.services_by_name["shop"].cold_rate == 16.0


def test_downloads_may_run_again():
    """Guards against downloads that fail though a retry would serve them."""
    changed = json.loads(json.dumps(CONFIGURATION))
    changed["listeners"][0]["rules"][0]["kind"] = "download"
    found = items.decode_item("op/config", json.dumps(changed).encode())
    assert found.routes_by_host["shop.example"]["/hold/"].is_idempotent


_FIRST_RULE = ["listeners", 0, "rules", 0]


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (_FIRST_RULE + ["action", "service"], "unknown"),
        (_FIRST_RULE + ["action", "timeout"], None),
        (_FIRST_RULE + ["action", "timeout"], "0ms"),
        (_FIRST_RULE + ["match", "path_prefix"], "/hold"),
        (_FIRST_RULE + ["match", "path_prefix"], "/browse/"),
        (_FIRST_RULE + ["action", "max_attempts"], 0),
        (["version"], 0),
        (["limits", "max_body_bytes"], -1),
        (["clusters"], None),
    ],
)
def test_configuration_with_an_invalid_field_is_rejected(path, value):
    """Guards against a configuration that is applied in part."""
    with pytest.raises(errors.MalformedEntryError):
        items.decode_item(
            "op/config", _encode_with_change(CONFIGURATION, path, value)
        )


@pytest.mark.parametrize(
    "key",
    ["servers/", "servers/" + "i" * 300, "servers/a\nb", "op/evacuate/"],
)
def test_an_odd_key_is_rejected(key):
    """Guards against an upstream or a failure domain without a usable name."""
    with pytest.raises(errors.MalformedEntryError):
        items.decode_item(key, json.dumps(ENTRY).encode())


def test_domain_out_of_service_and_unknown_key():
    """Guards against keys of other programs that are decoded as ours."""
    assert items.decode_item("op/evacuate/cairo-a", b"{}") == "cairo-a"
    assert items.decode_item("my/leader", b"x") is None
    assert items.decode_item("op/config/x", b"x") is None


CUSTOMERS = [
    {
        "name": "acme",
        "api_keys": ["key-one", "key-two"],
        "priority": 0,
        "rate_per_s": 114,
        "burst": 100.5,
    },
    {"name": "beta", "api_keys": ["key-three"]},
]


def _decode_customers(customers):
    return items.decode_item(
        "op/config",
        json.dumps(CONFIGURATION | {"tenants": customers}).encode(),
    )


def test_customers_and_public_routes_are_decoded():
    """Guards against keys, quotas or public routes that are not applied."""
    document = json.loads(json.dumps(CONFIGURATION))
    document["listeners"][0]["rules"][0]["public"] = True
    document["tenants"] = CUSTOMERS
    found = items.decode_item("op/config", json.dumps(document).encode())
    routes = found.routes_by_host["shop.example"]
    assert (routes["/hold/"].is_public, routes["/browse/"].is_public) == (
        True,
        False,
    )
    acme = found.customers_by_key["key-two"]
    assert acme is found.customers_by_key["key-one"]
    assert (acme.name, acme.priority, acme.rate, acme.burst) == (
        "acme",
        0,
        114.0,
        100.5,
    )
    beta = found.customers_by_key["key-three"]
    assert (beta.priority, beta.rate, beta.burst) == (None, 0.0, 0.0)
    assert "key-one" not in repr(found)


@pytest.mark.parametrize("customers", [None, []])
def test_a_configuration_without_customers_needs_no_keys(customers):
    """Guards against 401 to all requests of a deployment without keys."""
    assert _decode_customers(customers).customers_by_key is None


@pytest.mark.parametrize(
    "changes",
    [
        {"api_keys": ["key-three", "key-one"]},
        {"name": "acme"},
        {"name": ""},
        {"name": "a\nb"},
        {"name": " a"},
        {"api_keys": [""]},
        {"api_keys": ["key-four "]},
        {"api_keys": ["key-four" * 100]},
        {"api_keys": "key-four"},
        {"api_keys": [4]},
        {"priority": -1},
        {"priority": "0"},
        {"rate_per_s": -1},
        {"burst": -0.5},
        {"rate_per_s": 1e300},
        {"rate_per_s": "5"},
    ],
)
def test_invalid_customers_reject_the_configuration(changes):
    """Guards against shared keys, and against keys in an error's text."""
    customers = [CUSTOMERS[0], CUSTOMERS[1] | changes]
    with pytest.raises(errors.MalformedEntryError) as raised:
        _decode_customers(customers)
    assert "key-" not in str(raised.value)
    assert "key-" not in repr(raised.value.__context__)
