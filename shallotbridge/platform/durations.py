"""Parses durations in the platform's format."""

import re

from ..core import errors

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)", re.ASCII)
# Digits of a number. A longer one can be infinite as a float.
_MAXIMUM_DIGITS = 15
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


def parse_duration(text):
    """Return the number of seconds in a duration such as ``1500ms``.

    Raises
    ------
    errors.MalformedEntryError

    Examples
    --------
    >>> parse_duration("1500ms"), parse_duration("2.5s")
    (1.5, 2.5)
    """
    parsed = None
    if isinstance(text, str) and len(text) <= _MAXIMUM_DIGITS:
        parsed = _DURATION.fullmatch(text)
    if parsed is None:
        raise errors.MalformedEntryError(
            f"duration {str(text)[:40]!r}; expected a number with ms or s, as "
            "in 1500ms"
        )
    return float(parsed[1]) * _SECONDS_BY_UNIT[parsed[2]]
