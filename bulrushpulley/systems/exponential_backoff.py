"""Delays and timeouts that double with each failure in a row."""

from __future__ import annotations

# More doublings than any longest delay needs; a power of 1,024 overflows.
MAX_DOUBLINGS = 20


def exponential_delay_s(
    *, min_delay_s: float, max_delay_s: float, doublings: int
) -> float:
    """Return the shortest delay doubled that often, up to the longest one."""
    return min(max_delay_s, min_delay_s * 2.0 ** min(doublings, MAX_DOUBLINGS))
