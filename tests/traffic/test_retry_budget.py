"""Tests of the retry budget that all nodes share."""

from shallotbridge.traffic import retry_budget


def _retries_spent(budget, nodes, seconds, requests_a_second, start=0.0):
    """Return the retries that a node spends if it retries each request."""
    retries = 0
    for request_number in range(int(seconds * requests_a_second)):
        now = start + request_number / requests_a_second
        budget.on_request(now)
        retries += budget.try_spend(now, nodes)
    return retries


def test_sum_over_all_nodes_stays_within_the_budget():
    """Guards against a retry storm that is within the budget of each node.

    Ten nodes with 20 requests a second each try to retry every request.
    """
    total = 0
    for _ in range(10):
        budget = retry_budget.RetryBudget(
            ratio=0.2, constant=56, window_seconds=10.0
        )
        total += _retries_spent(budget, 10, 10.0, 20)
    assert 0 < total <= 0.2 * 2000 + 56


def test_node_with_few_requests_may_retry():
    """Guards against a budget that is empty before the first requests."""
    budget = retry_budget.RetryBudget(
        ratio=0.2, constant=56, window_seconds=10.0
    )
    budget.on_request(0.0)
    assert budget.try_spend(0.0, 10)


def test_requests_outside_the_window_do_not_count():
    """Guards against spending the budget of a past burst later."""
    budget = retry_budget.RetryBudget(
        ratio=0.2, constant=0, window_seconds=10.0
    )
    for _ in range(1000):
        budget.on_request(0.0)
    assert budget.can_spend(5.0, 10)
    assert not budget.can_spend(20.0, 10)
