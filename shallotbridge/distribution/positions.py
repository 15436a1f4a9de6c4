"""Positions in the published data: a store's era and a revision in it.

A store that returns from an older copy begins a new era, in which it gives
out revisions again that others had before. So a position orders by the era
first. It is one integer, so that it is compared as a whole everywhere and
fits into the messages of builds that know only revisions.
"""

from ..core import errors

# Era of a store that was never restored, and of one that does not tell. Its
# positions equal those of builds that know only revisions.
FIRST_ERA = 1
_REVISION_BITS = 40
MAXIMUM_REVISION = 2**_REVISION_BITS - 1
# Keeps positions within a signed 64-bit integer.
MAXIMUM_ERA = 2**22 - 1


def make_position(era, revision):
    """Return the position of a revision in an era.

    Raises
    ------
    errors.PlatformUnavailableError
        The revision or the era is out of range.

    Examples
    --------
    >>> make_position(2, 14) > make_position(1, 200)
    True
    """
    if not (
        FIRST_ERA <= era <= MAXIMUM_ERA and 0 <= revision <= MAXIMUM_REVISION
    ):
        raise errors.PlatformUnavailableError(
            f"revision {revision} of era {era}; expected 0 to "
            f"{MAXIMUM_REVISION} and {FIRST_ERA} to {MAXIMUM_ERA}"
        )
    return (era - FIRST_ERA) << _REVISION_BITS | revision


def get_era(position):
    """Return the era of a position.

    Examples
    --------
    >>> get_era(make_position(2, 14))
    2
    """
    return (position >> _REVISION_BITS) + FIRST_ERA


def get_revision(position):
    """Return the revision of a position within its era.

    Examples
    --------
    >>> get_revision(make_position(2, 14))
    14
    """
    return position & MAXIMUM_REVISION


def describe(position):
    """Return a position as text for the log: era and revision.

    Examples
    --------
    >>> describe(make_position(2, 14))
    '2:14'
    """
    return f"{get_era(position)}:{get_revision(position)}"
