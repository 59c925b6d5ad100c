"""Adaptive timeouts for calls to the store: a multiple of its recent latency.

A lost answer is detected early while the store is fast, and calls to a slow store do
not time out needlessly.
"""

from __future__ import annotations

# The timeout as a multiple of the smoothed latency.
STORE_TIMEOUT_FACTOR = 6.0
# A store in the other region answers within 40 ms; after ten times that the answer is
# certainly lost.
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
    """Return the timeout of the retry after a call without answer."""
    return min(MAX_STORE_TIMEOUT_S, previous_s * 2)


def smoothed_latency_s(store_latency_s: float, took_s: float) -> float:
    """Return the smoothed latency including an answer that took `took_s`."""
    return store_latency_s + STORE_LATENCY_SMOOTHING * (took_s - store_latency_s)
