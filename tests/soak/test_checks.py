"""Tests that each check of the soak run detects its violation."""

from soak import checks
from soak import plan
from soak import records


def _records(*calls):
    run_records = records.Records()
    run_records.published_at_by_version = {1: 0.0, 2: 10.0}
    run_records.domain_by_upstream = {"u0-0": "d1"}
    run_records.calls.extend(calls)
    return run_records


def _call(request_id="r1", **changes):
    fields = {
        "request_id": request_id,
        "host": 0,
        "is_idempotent": False,
        "sent_at": 20.0,
        "ended_at": 20.1,
        "status": 200,
        "is_own_response": True,
    }
    return records.Call(**(fields | changes))


def test_correct_run_has_no_violations():
    """Guards against checks that report violations without a cause."""
    run_records = _records(_call())
    run_records.add_run("r1", "u0-0", 20.0)
    assert checks.find_violations(run_records) == []


def test_response_of_another_request_is_a_violation():
    """Guards against a check that misses another request's response."""
    found = checks.find_violations(_records(_call(is_own_response=False)))
    assert len(found) == 1


def test_duplicate_run_and_false_refusal_are_violations():
    """Guards against a check that misses double runs, like double charges."""
    run_records = _records(_call(), _call("r2", status=503))
    for request_id in ("r1", "r1", "r2", "r3"):
        run_records.add_run(request_id, "u0-0", 20.0)
    assert len(checks.find_violations(run_records)) == 3


def test_run_after_a_drain_is_a_violation_unless_a_fault_excuses_it():
    """Guards against a check that misses drains that exceed their limit."""
    run_records = _records(_call())
    run_records.add_run("r1", "u0-0", 20.0)
    run_records.leaving_at_by_id["u0-0"] = 17.9
    assert len(checks.find_violations(run_records)) == 1
    run_records.faults.append(("pause", 3, 18.0, 19.0))
    assert checks.find_violations(run_records) == []


def test_a_lost_reader_excuses_only_its_own_host():
    """Guards against a check that excuses the hosts whose reader is lost."""
    run_records = _records(_call(host=1))
    run_records.add_run("r1", "u0-0", 20.0)
    run_records.leaving_at_by_id["u0-0"] = 17.9
    run_records.faults.append((records.READER_LOST, 3, 18.0, 19.0))
    assert len(checks.find_violations(run_records)) == 1
    run_records.faults.append((records.READER_LOST, 1, 18.0, 19.0))
    assert checks.find_violations(run_records) == []


def test_run_in_a_domain_out_of_service_is_a_violation():
    """Guards against a check that misses runs in a domain out of service."""
    run_records = _records(_call())
    run_records.add_run("r1", "u0-0", 20.0)
    run_records.domains_out.append(("d1", 14.9, 22.0))
    assert len(checks.find_violations(run_records)) == 1


def _probe(version, is_served, sent_at, incarnation=1):
    return records.VersionProbe(
        host=0,
        incarnation=incarnation,
        version=version,
        is_served=is_served,
        sent_at=sent_at,
    )


def test_reverted_version_is_a_violation():
    """Guards against a check that misses a return to an older version."""
    run_records = _records()
    run_records.version_probes = [
        _probe(2, True, 10.5),
        _probe(2, False, 11.0),
    ]
    assert len(checks.find_violations(run_records)) == 1
    run_records.version_probes[1] = _probe(2, False, 11.0, incarnation=2)
    assert checks.find_violations(run_records) == []


def test_late_version_is_a_violation():
    """Guards against a check that misses configurations that are late."""
    run_records = _records()
    run_records.version_probes = [_probe(2, False, 12.1)]
    assert len(checks.find_violations(run_records)) == 1


def test_request_lost_in_planned_work_is_a_violation():
    """Guards against a check that misses requests lost in planned restarts."""
    run_records = _records(_call(status=None))
    assert len(checks.find_violations(run_records)) == 1
    # A request that races with the close of an idle connection is retried.
    assert not checks.find_violations(
        _records(_call(status=None, previous_requests=3))
    )


def test_plan_depends_only_on_its_seed():
    """Guards against runs that cannot be reproduced from their seed."""
    first = plan.make_plan(7, seconds=30.0, hosts=6)
    assert first == plan.make_plan(7, seconds=30.0, hosts=6)
    assert first != plan.make_plan(8, seconds=30.0, hosts=6)
    assert all(entry.kind in plan.KINDS for entry in first)


def test_requests_beyond_a_named_limit_are_a_violation():
    """Guards against a check that misses requests beyond a limit.

    A limit of one a second allows eleven requests in four seconds.
    """
    run_records = _records()
    run_records.limits.append(("u0-0", 1.0, 10.0, 20.0))
    for index in range(11):
        run_records.probe_request_ids.add(f"r{index}")
        run_records.add_run(f"r{index}", "u0-0", 12.0 + index / 10)
    assert checks.find_violations(run_records) == []
    run_records.probe_request_ids.add("r11")
    run_records.add_run("r11", "u0-0", 15.9)
    assert len(checks.find_violations(run_records)) == 1
    run_records.older_upstream_ids.add("u0-0")
    assert checks.find_violations(run_records) == []


def test_a_run_after_an_answer_that_said_leaving_is_a_violation():
    """Guards against a check that lets a fault excuse such a request."""
    run_records = _records(_call())
    run_records.add_run("r1", "u0-0", 20.0)
    run_records.said_leaving_at_by_id["u0-0"] = 18.1
    run_records.faults.append(("pause", 3, 18.0, 19.0))
    assert checks.find_violations(run_records) == []
    run_records.said_leaving_at_by_id["u0-0"] = 17.9
    assert len(checks.find_violations(run_records)) == 1


def test_runs_of_a_request_that_ended_upstreams_are_violations():
    """Guards against a check that misses a request that takes all down."""
    run_records = _records(_call())
    identity = ("/browse/harmful", "shop")
    run_records.crashed_at_by_identity[identity].extend([5.0, 6.0, 7.0])
    # The end of the own upstream excuses no host.
    run_records.faults.append(("crash", 0, 7.0, 12.0))
    for number in range(4):
        call = _call(f"h{number}", sent_at=10.5 + number)
        run_records.harmful_calls_by_id[call.request_id] = call
        run_records.harmful_identities_by_id[call.request_id] = identity
        run_records.add_run(call.request_id, "u0-0", 10.6 + number)
    assert len(checks.find_violations(run_records)) == 1
    run_records.harmful_identities_by_id["h0"] = ("/browse/other", "shop")
    assert checks.find_violations(run_records) == []


def test_a_refused_bystander_is_a_violation():
    """Guards against a check that misses barred bystanders."""
    assert len(checks.find_violations(_records(_call(status=429)))) == 1


def test_customers_are_checked():
    """Guards against checks that miss wrong keys, headers or quotas."""
    for changes in ({"status": 401}, {"status": 429}):
        assert len(checks.find_violations(_records(_call(**changes)))) == 1
    limited = [
        _call(f"r{number}", is_limited=True, sent_at=20.0)
        for number in range(81)
    ]
    run_records = _records(*limited, _call("r", is_limited=True, status=429))
    for call in limited[:80]:
        run_records.add_run(call.request_id, "u0-0", 20.0)
    assert checks.find_violations(run_records) == []
    run_records.add_run("r80", "u0-0", 20.0)
    assert len(checks.find_violations(run_records)) == 1
    run_records.header_violations.append("r1: key")
    assert len(checks.find_violations(run_records)) == 2
