"""How long to wait for the store: some times what its answers have taken lately.

An answer that was lost is noticed soon while the store is quick, and a slow store is
given its time.
"""

from __future__ import annotations

# A call may take this many times what calls have taken lately.
STORE_TIMEOUT_FACTOR = 6.0
# A store in the other region answers within 40 ms; ten times that is surely lost.
MIN_STORE_TIMEOUT_S = 0.4
# A store that is 100 times slower than usual answers within 2 s.
MAX_STORE_TIMEOUT_S = 3.0
STORE_LATENCY_SMOOTHING = 0.3


def timeout_s(store_latency_s: float) -> float:
    """Return the timeout of a first call, in seconds."""
    return min(
        MAX_STORE_TIMEOUT_S,
        max(MIN_STORE_TIMEOUT_S, STORE_TIMEOUT_FACTOR * store_latency_s),
    )


def next_timeout_s(previous_s: float) -> float:
    """Return the timeout of the next try after a call without answer."""
    return min(MAX_STORE_TIMEOUT_S, previous_s * 2)


def smoothed_latency_s(store_latency_s: float, took_s: float) -> float:
    """Take one answer into the smoothed time that answers take."""
    return store_latency_s + STORE_LATENCY_SMOOTHING * (took_s - store_latency_s)
