"""Reads what an upstream reports about itself in the headers of its answers.

Every answer may report it: of a request or of a health check, also a refusal.
"""

import dataclasses
import math
import re

# A decimal number without sign or exponent, as the upstreams write it.
_DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)
_LEAVING_VALUE = "1"
# Length to which an invalid value is cut in the log.
_MAXIMUM_LOGGED_CHARACTERS = 40


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SelfReport:
    """What one answer reports about its upstream.

    Attributes
    ----------
    names_limit : bool
        Whether the answer has the header of the limit, valid or not.
    limit : float or None
        Requests per second that the upstream takes from all nodes together;
        None if the answer has no valid limit.
    is_leaving : bool
        Whether the upstream is shutting down.
    problems : tuple of str
        A description of each invalid value.
    """

    names_limit: bool
    limit: float | None
    is_leaving: bool
    problems: tuple[str, ...] = ()


NO_REPORT = SelfReport(names_limit=False, limit=None, is_leaving=False)


def read_self_report(headers, header_names):
    """Return the ``SelfReport`` of an answer.

    The lowest of several limits counts. An invalid value is reported as a
    problem and neither sets nor ends anything.

    Parameters
    ----------
    headers : iterable of tuple of (str, str)
        Names in lower case and values.
    header_names : model.HeaderNames

    Examples
    --------
    >>> import types
    >>> names = types.SimpleNamespace(limit="x-limit", leaving="x-leaving")
    >>> read_self_report([("x-limit", "16.9")], names).limit
    16.9
    >>> read_self_report([("x-limit", "nan")], names).problems
    ("x-limit 'nan'; expected a decimal number",)
    """
    limit_name = header_names.limit
    leaving_name = header_names.leaving
    found = [
        (name, value.strip())
        for name, value in headers
        if name == limit_name or name == leaving_name
    ]
    if not found:
        return NO_REPORT
    limits = []
    problems = []
    limit_count = 0
    is_leaving = False
    for name, value in found:
        shown = value[:_MAXIMUM_LOGGED_CHARACTERS]
        if name == leaving_name:
            if value == _LEAVING_VALUE:
                is_leaving = True
            else:
                problems.append(f"{name} {shown!r}; expected '1'")
            continue
        limit_count += 1
        number = float(value) if _DECIMAL_NUMBER.fullmatch(value) else math.inf
        if math.isfinite(number):
            limits.append(number)
        else:
            problems.append(f"{name} {shown!r}; expected a decimal number")
    if limit_count > 1:
        problems.append(f"{limit_name} {limit_count} times; expected once")
    return SelfReport(
        names_limit=limit_count > 0,
        limit=min(limits, default=None),
        is_leaving=is_leaving,
        problems=tuple(problems),
    )
