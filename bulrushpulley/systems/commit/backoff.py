"""Retry delays, timeouts and the circuit breaker of a lane."""

from __future__ import annotations

import zlib

from bulrushpulley.entities.committer_tables import LaneRow
from bulrushpulley.systems.exponential_backoff import exponential_delay_s

MIN_TRANSACTION_RETRY_DELAY_S = 0.05
MAX_TRANSACTION_RETRY_DELAY_S = 2.0
FAILURES_TO_OPEN_CIRCUIT = 3
MIN_COMMIT_TIMEOUT_S = 2.0
MAX_COMMIT_TIMEOUT_S = 8.0
COMMIT_TIMEOUT_FACTOR = 4.0


def jitter(name: str) -> float:
    """Return a fraction from 0 up to 1 that differs between names."""
    return zlib.crc32(name.encode()) / 2**32


def retry_delay_s(failures: int, name: str) -> float:
    """Return the delay after consecutive failures: exponential, with jitter."""
    max_delay_s = exponential_delay_s(
        min_delay_s=MIN_TRANSACTION_RETRY_DELAY_S,
        max_delay_s=MAX_TRANSACTION_RETRY_DELAY_S,
        doublings=failures - 1,
    )
    return max_delay_s * (0.5 + 0.5 * jitter(f"{name} {failures}"))


def is_circuit_open(lane: LaneRow) -> bool:
    """Tell whether the store is considered down, so that only probes are sent."""
    return lane.failures >= FAILURES_TO_OPEN_CIRCUIT


def next_timeout_s(lane: LaneRow) -> float:
    """Return the timeout of the lane's next request."""
    return max(MIN_COMMIT_TIMEOUT_S, lane.timeout_s)


def timeout_after_answer_s(delay_s: float) -> float:
    """Return the timeout to use after the store took `delay_s` to answer."""
    return min(MAX_COMMIT_TIMEOUT_S, COMMIT_TIMEOUT_FACTOR * delay_s)


def timeout_after_loss_s(lane: LaneRow) -> float:
    """Return the timeout to use after a request timed out."""
    return min(MAX_COMMIT_TIMEOUT_S, 2.0 * next_timeout_s(lane))
