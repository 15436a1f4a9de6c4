"""The history of a request from log lines."""

import json

from shallotbridge.runtime import explain


def _line(action, at, host="n1", **fields):
    return "12.5 n1 " + json.dumps(
        {
            "timestamp": at,
            "host": host,
            "message_type": f"shallotbridge:{action}",
            **fields,
        }
    )


def test_steps_of_all_nodes_in_the_order_of_time():
    """Guards against a history that mixes up cause and effect."""
    found = explain.explain(
        "r1",
        [
            _line("route", 2.0, request_id="r1", status=503),
            _line("refuse", 1.9, host="n2", request_id="r1", code="SB-3004"),
            _line("route", 1.0, request_id="r2", status=200),
        ],
    )
    assert [step.action for step in found.steps] == ["refuse", "route"]
    assert found.missing() == []


def test_what_the_hosts_believed_shortly_before():
    """Guards against a refusal whose reason stands in another line."""
    found = explain.explain(
        "r1",
        [
            _line("upstream_closed", 1.5, detail="draining"),
            _line("upstream_closed", 1.5, host="n9"),
            _line("domains_out", -5.0),
            _line("refuse", 2.0, request_id="r1"),
        ],
    )
    assert [step.fields for step in found.context] == [{"detail": "draining"}]


def test_it_says_what_it_did_not_find():
    """Guards against silence that looks like a complete history."""
    found = explain.explain("r1", ["{broken", "no json"])
    assert not found.steps
    assert "No line has this id" in found.missing()[0]
    assert "1 lines" in found.missing()[1]
    found = explain.explain("r1", [_line("run", 1.0, request_id="r1")])
    assert "entry node" in found.missing()[0]
