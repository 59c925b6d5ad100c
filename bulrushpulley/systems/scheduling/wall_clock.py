"""Reads the wall clock, by which timed jobs are due, again and again.

The clock of a host may jump by seconds and back. A single reading would be wrong for a
whole tenure, so the median of the recent ones counts: a jump that is shorter than half
of `WALL_CLOCK_MEMORY_S` changes nothing.
"""

from __future__ import annotations

from statistics import median_low

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    ReadWallClock,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.step import Step

WALL_CLOCK_INTERVAL_S = 1.0
WALL_CLOCK_MEMORY_S = 60.0
MAX_WALL_OFFSETS = int(WALL_CLOCK_MEMORY_S / WALL_CLOCK_INTERVAL_S)


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Read the clock once the interval has passed, also without the shard.

    A process that takes the shard over then has readings of before.
    """
    if now - tables.wall_clock_read_at < WALL_CLOCK_INTERVAL_S:
        return Step(tables=tables)
    reading = replace(tables, wall_clock_read_at=now)
    return Step(tables=reading, commands=(ReadWallClock(role=SCHEDULER),))


def handle_reading(
    tables: SchedulerTables, wall_s: float, now: float
) -> SchedulerTables:
    """Record a reading, and update the offset from the role's clock."""
    offsets_s = (*tables.wall_offsets_s, wall_s - now)[-MAX_WALL_OFFSETS:]
    return replace(
        tables, wall_offsets_s=offsets_s, wall_offset_s=median_low(offsets_s)
    )
