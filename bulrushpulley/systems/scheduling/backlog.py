"""Counts, for each queue, the accepted jobs of which no task has started."""

from __future__ import annotations

from collections import Counter

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job import UNSTARTED
from bulrushpulley.entities.jobs.rows import BacklogRow
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.scheduling import edits

# Callers may be given a count that is up to 2 s old.
BACKLOG_COUNT_INTERVAL_S = 0.8


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Count again once the interval has passed; the next commit writes the count."""
    if (
        not edits.is_loaded(tables)
        or now - tables.backlog_counted_at < BACKLOG_COUNT_INTERVAL_S
    ):
        return Step(tables=tables)
    jobs = tables.jobs.rows_where("stage", UNSTARTED)
    counts = Counter(job.row.queue for job in jobs)
    row = BacklogRow(waiting=tuple(sorted(counts.items())))
    return Step(tables=replace(tables, backlog=row, backlog_counted_at=now))
