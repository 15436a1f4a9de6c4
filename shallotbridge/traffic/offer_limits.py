"""How many owner nodes are asked to run a request, and when to stop.

The load that this module responds to is the refusal of offers for overload: a
further offer costs processor time at two nodes and rarely finds another
answer. The wait that a refusal names is that of the request's own priority.
The wait in a load report is not: it includes all less urgent requests.

The module starts no tasks and reads no clock: callers pass the current time.
"""

from . import admission

# Offers of a request. In the tests' model, eight served as many requests, with
# up to half more offers.
MAXIMUM_OFFERS = 3
# The waits of owner nodes differ by about this factor: if one is longer than
# the request can wait by more, the others are too long as well.
WAIT_FACTOR = 2.0
# A request that is late can still use a slot that is free at once.
MINIMUM_WAIT_SECONDS = 0.03


def is_worth_offering(*, wait, objective_at, expected_seconds, now):
    """Return whether to offer a request to another owner node.

    Parameters
    ----------
    wait : float
        Queue time that the owner node named that refused it, seconds.
    objective_at : float
    expected_seconds : float
        Expected duration of the request.
    now : float

    Examples
    --------
    >>> is_worth_offering(
    ...     wait=0.8, objective_at=1.0, expected_seconds=0.2, now=0.0
    ... )
    True
    >>> is_worth_offering(
    ...     wait=0.8, objective_at=1.0, expected_seconds=0.2, now=0.5
    ... )
    False
    """
    needed = expected_seconds * admission.ON_TIME_DURATION_FACTOR
    allowed = max(MINIMUM_WAIT_SECONDS, objective_at - now - needed)
    return wait <= allowed * WAIT_FACTOR
