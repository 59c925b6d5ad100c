"""Shrinks the stored rows of ended jobs to what callers may still request.

A row must be kept for as long as its job may be submitted again, but its steps are no
longer needed. A new owner reads all rows, so shorter rows make takeovers faster.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.rows import EndedJobRow, ended_row
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    CondenseJobRows,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import Transact
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.scheduling import edits

CONDENSE_INTERVAL_S = 2.0
MAX_CONDENSED_ROWS = 90
CONDENSE_TIMEOUT_S = 3.0


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Write the short rows of jobs whose end is durable.

    If the transaction fails, the long rows stay until the next owner condenses them.
    The end of a job never changes, so a late write by a former owner does no harm.
    """
    if not edits.is_loaded(tables) or now - tables.condensed_at < CONDENSE_INTERVAL_S:
        return Step(tables=tables)
    tables = replace(tables, condensed_at=now)
    chosen = [
        job
        for job in tables.jobs.rows()
        if not isinstance(job.row, EndedJobRow) and edits.is_settled(tables, job)
    ]
    if not chosen:
        return Step(tables=tables)
    rows = []
    for job in chosen[:MAX_CONDENSED_ROWS]:
        row = ended_row(job.row)
        rows.append(row)
        tables = edits.put_job(tables, replace(job, row=row))
    write = Transact(
        role=SCHEDULER,
        purpose=CondenseJobRows(),
        timeout_s=CONDENSE_TIMEOUT_S,
        conditions=(),
        puts=tuple(rows),
    )
    return Step(tables=tables, commands=(write,))
