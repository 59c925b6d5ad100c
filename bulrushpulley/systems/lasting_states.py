"""Decides when a state that lasts is logged: at an age of 3 s, then at doubling ages.

Reports are made at an interval. A state is due if it has reached one of these ages
since the last report, so no report has to be remembered for each state.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")

FIRST_REPORT_AGE_S = 3.0
REPORT_INTERVAL_S = 1.0
# Bounds the log while many tasks, runs or hosts are in the same state.
MAX_LINES_PER_REPORT = 4
# Bounds the time that a report takes for histograms.
MAX_OBSERVED_PER_REPORT = 200


def is_report_due(since: float, last_report_at: float, now: float) -> bool:
    """Return whether a state that began at `since` is to be logged now."""
    age_s = now - since
    if age_s < FIRST_REPORT_AGE_S:
        return False
    return _doublings(age_s) > _doublings(last_report_at - since)


def _doublings(age_s: float) -> int:
    """Return how many of the ages at which a state is logged it has reached."""
    return int(max(0.0, age_s) / FIRST_REPORT_AGE_S).bit_length()


def first_lines(items: Sequence[T]) -> Sequence[T]:
    """Return the items that one report may log."""
    return items[:MAX_LINES_PER_REPORT]


def left_out(items: Sequence[T]) -> str:
    """Return the end of a report's last line, with the count of items not logged."""
    count = len(items) - MAX_LINES_PER_REPORT
    return f"; {count} more are not logged" if count > 0 else ""
