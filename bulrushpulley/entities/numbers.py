"""Checks of numbers that other processes wrote."""

from __future__ import annotations

# Larger integers are not all exact as floats, and sums of them may not fit in 64 bits.
MAX_EXACT_INTEGER = 2**53


def are_amounts(*values: float) -> bool:
    """Return whether all values are finite, not negative and exact.

    Example::

        are_amounts(0, 2.5)  # True
        are_amounts(float("inf"))  # False
    """
    # Neither infinity nor NaN is in the range; a huge integer may not fit in a float.
    return all(0 <= value <= MAX_EXACT_INTEGER for value in values)
