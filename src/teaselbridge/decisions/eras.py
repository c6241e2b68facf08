"""Numbers that keep growing when the store gives revisions out again."""

from __future__ import annotations

# Leaves room for 2**40 revisions in an era. Eras up to 2**13 keep the numbers
# exact where JSON numbers are decoded as floating point.
REVISION_BITS = 40


def compute_number(era: int, revision: int) -> int:
    """Return a number that is higher in a later era, and unique over all.

    :param era: number of times that the store was restored.
    :param revision: revision that the store gave out in that era.
    """
    return (era << REVISION_BITS) | revision


def get_era(number: int) -> int:
    """Return the era of a number."""
    return number >> REVISION_BITS
