"""Each check of the soak finds the failure that it is for."""

from soak import checks
from soak import plan
from soak import records


def _records(*calls):
    made = records.Records()
    made.published_at_by_version = {1: 0.0, 2: 10.0}
    made.domain_by_upstream = {"u0-0": "d1"}
    made.calls.extend(calls)
    return made


def _call(request_id="r1", **changes):
    fields = {
        "request_id": request_id,
        "host": 0,
        "is_idempotent": False,
        "sent_at": 20.0,
        "ended_at": 20.1,
        "status": 200,
        "is_own_answer": True,
    }
    return records.Call(**(fields | changes))


def test_a_run_without_faults_breaks_nothing():
    """Guards against checks that always fail."""
    made = _records(_call())
    made.add_run("r1", "u0-0", 20.0)
    assert checks.find_violations(made) == []


def test_an_answer_of_another_request_is_found():
    """Guards against mixed answers that go unnoticed."""
    found = checks.find_violations(_records(_call(is_own_answer=False)))
    assert len(found) == 1


def test_a_second_run_and_a_false_refusal_are_found():
    """Guards against double charges that go unnoticed."""
    made = _records(_call(), _call("r2", status=503))
    for request_id in ("r1", "r1", "r2", "r3"):
        made.add_run(request_id, "u0-0", 20.0)
    assert len(checks.find_violations(made)) == 3


def test_work_for_what_leaves_is_found_unless_a_fault_explains_it():
    """Guards against drains that take too long."""
    made = _records(_call())
    made.add_run("r1", "u0-0", 20.0)
    made.leaving_at_by_id["u0-0"] = 17.9
    assert len(checks.find_violations(made)) == 1
    made.disturbances.append(("pause", 3, 18.0, 19.0))
    assert checks.find_violations(made) == []


def test_work_in_a_domain_that_is_out_is_found():
    """Guards against failure domains that still get work."""
    made = _records(_call())
    made.add_run("r1", "u0-0", 20.0)
    made.domains_out.append(("d1", 14.9, 22.0))
    assert len(checks.find_violations(made)) == 1


def _sight(version, is_served, sent_at, incarnation=1):
    return records.Sight(
        host=0,
        incarnation=incarnation,
        version=version,
        is_served=is_served,
        sent_at=sent_at,
    )


def test_a_version_that_goes_back_is_found():
    """Guards against a node that drops what it enforced."""
    made = _records()
    made.sights = [_sight(2, True, 10.5), _sight(2, False, 11.0)]
    assert len(checks.find_violations(made)) == 1
    made.sights[1] = _sight(2, False, 11.0, incarnation=2)
    assert checks.find_violations(made) == []


def test_a_late_version_is_found():
    """Guards against configurations that are not in force in time."""
    made = _records()
    made.sights = [_sight(2, False, 12.1)]
    assert len(checks.find_violations(made)) == 1


def test_a_request_cut_by_planned_work_is_found():
    """Guards against stops that end requests."""
    made = _records(_call(status=None))
    assert len(checks.find_violations(made)) == 1
    # A request that crosses the close of a kept connection is sent again.
    assert not checks.find_violations(_records(_call(status=None, age=3)))


def test_a_plan_follows_its_seed():
    """Guards against runs that cannot be played again."""
    first = plan.make_plan(7, seconds=30.0, hosts=6)
    assert first == plan.make_plan(7, seconds=30.0, hosts=6)
    assert first != plan.make_plan(8, seconds=30.0, hosts=6)
    assert all(entry.kind in plan.KINDS for entry in first)
