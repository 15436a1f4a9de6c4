"""The budget of repeats that all nodes share."""

from shallotbridge.traffic import retry_budget


def _spent(budget, nodes, seconds, requests_a_second, start=0.0):
    """Return how many repeats a node takes that tries one each request."""
    spent = 0
    for index in range(int(seconds * requests_a_second)):
        now = start + index / requests_a_second
        budget.on_request(now)
        spent += budget.try_spend(now, nodes)
    return spent


def test_all_nodes_together_stay_within_the_budget():
    """Guards against a retry storm that each node finds acceptable.

    Ten nodes with 20 requests a second each want to repeat every request.
    """
    total = 0
    for _ in range(10):
        budget = retry_budget.RetryBudget(
            ratio=0.2, constant=56, window_seconds=10.0
        )
        total += _spent(budget, 10, 10.0, 20)
    assert 0 < total <= 0.2 * 2000 + 56


def test_a_quiet_node_may_repeat_a_little():
    """Guards against a budget that is empty before the first requests."""
    budget = retry_budget.RetryBudget(
        ratio=0.2, constant=56, window_seconds=10.0
    )
    budget.on_request(0.0)
    assert budget.try_spend(0.0, 10)


def test_old_requests_do_not_count():
    """Guards against spending in a lull what a burst allowed."""
    budget = retry_budget.RetryBudget(
        ratio=0.2, constant=0, window_seconds=10.0
    )
    for _ in range(1000):
        budget.on_request(0.0)
    assert budget.has_room(5.0, 10)
    assert not budget.has_room(20.0, 10)
