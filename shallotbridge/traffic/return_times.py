"""The time that a refused client is told to wait.

The load that this module responds to is refused requests that come back: a
client retries once, and a second refusal costs it the request. Its request is
worth most if it still ends within its objective, and how full an upstream is
differs more between upstreams than within a second. So clients come back early
and at different times.

The module starts no tasks and reads no clock.
"""

# Least time between a refusal and the return.
MINIMUM_SECONDS = 0.03
# A client comes back within this part of the time in which it could still
# begin and meet its objective. With the whole time, 6 in 100 fewer answers
# were in time in bench/overload.py.
USEFUL_RATIO = 0.25
# Spread of the times if room is expected at once, or no time is left.
MINIMUM_SPREAD_SECONDS = 0.03


def choose(*, wait, useful_seconds, random):
    """Return the time after which a refused client is to come back, seconds.

    Parameters
    ----------
    wait : float
        Time until room is expected, seconds.
    useful_seconds : float
        Time until which the request could still be begun and meet its
        objective; may be negative.
    random : random.Random
        Spreads the times of different clients.
    """
    latest = min(wait, useful_seconds * USEFUL_RATIO)
    spread = max(MINIMUM_SPREAD_SECONDS, latest - MINIMUM_SECONDS)
    return MINIMUM_SECONDS + random.random() * spread
