"""Removes jobs from memory and the store once their retention period is over."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.rows import cancel_key, job_key
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    DropJobRows,
    DropProgressRows,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import Transact
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.scheduling import edits, progress

# Callers may ask for the state of a job for 120 s after its end; clocks may be off.
JOB_RETENTION_S = 300.0
PURGE_INTERVAL_S = 5.0
# The store accepts 100 rows in a transaction.
MAX_ROWS_PER_PURGE = 90
# Two rows of a job are in the part of submissions.
MAX_JOBS_PER_PURGE = MAX_ROWS_PER_PURGE // 2
PURGE_TIMEOUT_S = 3.0


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Remove the jobs whose retention period is over.

    They stay in memory until that is durable, and their progress is removed after it:
    a row that is read again of a job that is not known, or has no progress, looks as if
    the job had never started, and it would run again. A failed transaction is repeated
    at the next interval. One that removes progress is not: no caller may ask for it.
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
    return Step(tables=tables, commands=(write,))


def handle_rows_dropped(
    purpose: DropJobRows, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Forget the jobs whose rows have been removed, and remove their progress."""
    jobs, pages_by_job = tables.jobs, tables.stored_pages_by_job
    keys = [
        key
        for job_id in purpose.job_ids
        for key in progress.stored_keys(tables, job_id)
    ]
    for job_id in purpose.job_ids:
        job = jobs.get(job_id)
        if job is not None and edits.is_settled(tables, job):
            jobs = jobs.drop(job_id)
            if job_id in pages_by_job:
                pages_by_job = pages_by_job.delete(job_id)
    writes = tuple(
        Transact(
            role=SCHEDULER,
            purpose=DropProgressRows(),
            timeout_s=PURGE_TIMEOUT_S,
            conditions=(),
            deletes=tuple(keys[first : first + MAX_ROWS_PER_PURGE]),
        )
        for first in range(0, len(keys), MAX_ROWS_PER_PURGE)
    )
    tables = replace(tables, jobs=jobs, stored_pages_by_job=pages_by_job)
    return Step(tables=tables, commands=writes)
