"""Removes jobs from memory and the store once their retention period is over."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.rows import cancel_key, job_key, progress_key
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    DropJobRows,
    DropProgressRows,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import Transact
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.scheduling import edits

# Callers may ask for the state of a job for 120 s after its end; clocks may be off.
JOB_RETENTION_S = 300.0
PURGE_INTERVAL_S = 5.0
# Two rows of a job are in one part, and the store accepts 100 rows in a transaction.
MAX_JOBS_PER_PURGE = 45
PURGE_TIMEOUT_S = 3.0


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Remove the jobs whose retention period is over.

    Their progress is removed once that is durable: a job without progress would look
    as if it had never started, and run again. A failed transaction is not retried: it
    leaves rows that no caller may ask for any more, and the next owner reads and
    removes those of jobs.
    """
    if not edits.is_loaded(tables) or now - tables.purged_at < PURGE_INTERVAL_S:
        return Step(tables=tables)
    wall_s = now + tables.wall_offset_s
    expired = [
        job
        for job in tables.jobs.rows()
        if wall_s - job.ended_at_s >= JOB_RETENTION_S and edits.is_settled(tables, job)
    ]
    tables = replace(tables, purged_at=now)
    if not expired:
        return Step(tables=tables)
    chosen = expired[:MAX_JOBS_PER_PURGE]
    jobs = tables.jobs
    for job in chosen:
        jobs = jobs.drop(job.job_id)
    keys = tuple(
        key for job in chosen for key in (job_key(job.job_id), cancel_key(job.job_id))
    )
    write = Transact(
        role=SCHEDULER,
        purpose=DropJobRows(job_ids=tuple(job.job_id for job in chosen)),
        timeout_s=PURGE_TIMEOUT_S,
        conditions=(),
        deletes=keys,
    )
    return Step(tables=replace(tables, jobs=jobs), commands=(write,))


def handle_rows_dropped(
    purpose: DropJobRows, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Remove the progress of jobs whose rows have been removed."""
    write = Transact(
        role=SCHEDULER,
        purpose=DropProgressRows(),
        timeout_s=PURGE_TIMEOUT_S,
        conditions=(),
        deletes=tuple(progress_key(job_id) for job_id in purpose.job_ids),
    )
    return Step(tables=tables, commands=(write,))
