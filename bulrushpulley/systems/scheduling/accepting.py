"""Adds accepted jobs and cancellations to the tables when their rows are read."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job import Job, new_job
from bulrushpulley.entities.jobs.rows import (
    FINAL_STATES,
    JOBS,
    CancelRow,
    EndedJobRow,
    JobRow,
)
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.store import StoredRow
from bulrushpulley.entities.jobs.task import HOLDING_STATES, TaskState
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import (
    edits,
    finishing,
    occurrences,
    restoring,
    setting_aside,
    unblocking,
)

# Clocks of entries may be wrong, so the age of a job is capped at this value.
MAX_JOB_AGE_S = 120.0


def handle_rows(
    rows: tuple[StoredRow, ...], tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle rows of the jobs table; jobs come before their cancellations."""
    commands: list[Command] = []
    for stored in sorted(rows, key=lambda stored: type(stored.row) is CancelRow):
        step = _handle_or_set_aside(stored.row, tables, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


@singledispatch
def _handle_or_set_aside(
    row: object, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return handle_row(row, tables, now)


@_handle_or_set_aside.register
def _(row: JobRow, tables: SchedulerTables, now: float) -> SchedulerStep:
    return setting_aside.advance_job(
        tables, row.job_id, now, lambda before: handle_row(row, before, now)
    )


@_handle_or_set_aside.register
def _(row: CancelRow, tables: SchedulerTables, now: float) -> SchedulerStep:
    return setting_aside.handle_job(
        tables, row.job_id, now, lambda before: handle_row(row, before, now)
    )


@singledispatch
def handle_row(row: object, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Handle one row; deleted rows and rows of other kinds are ignored."""
    return Step(tables=tables)


@handle_row.register
def _(row: JobRow, tables: SchedulerTables, now: float) -> SchedulerStep:
    if row.job_id in tables.jobs:
        return Step(tables=tables)
    age_s = max(0.0, now + tables.wall_offset_s - row.accepted_at_s)
    job = new_job(row, now - min(age_s, MAX_JOB_AGE_S))
    progress = tables.progress_by_job.get(row.job_id)
    if progress is not None:
        job = restoring.restored_job(job, progress)
    tables = edits.put_job(tables, job)
    if row.spec.occurrences:
        tables = replace(tables, timed_job_ids=tables.timed_job_ids.add(job.job_id))
    # What the first read after a takeover finds, a former owner may have held back.
    is_restored = progress is not None or JOBS not in tables.watch_by_table
    if progress is not None:
        tables = occurrences.restore(tables, job, progress, now)
    if job.is_final:
        tables = _with_ended_tasks(tables, job)
    else:
        job = tables.jobs.by_key[job.job_id]
        tables = occurrences.begin_due(tables, job, now)
        tables = unblocking.unblock(tables, job, now, may_be_idle_longer=is_restored)
    line = edits.log(
        tables, "job.accept", job.job_id, row.queue, f"{job.state.value}, {age_s:.2f} s"
    )
    return Step(tables=tables, commands=(line,))


@handle_row.register
def _(row: EndedJobRow, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Keep an ended job that a former owner has left until its rows are purged.

    Without progress in a final state nothing says when it may be purged.
    """
    progress = tables.progress_by_job.get(row.job_id)
    is_known = row.job_id in tables.jobs
    if is_known or progress is None or progress.state not in FINAL_STATES:
        return Step(tables=tables)
    job = restoring.restored_job(new_job(row, now), progress)
    return Step(tables=edits.put_job(tables, job))


def _with_ended_tasks(tables: SchedulerTables, job: Job) -> SchedulerTables:
    """Keep the tasks of an ended job that may still run; they are to be stopped."""
    for task in tables.tasks.rows_where("job", job.job_id):
        if task.state in HOLDING_STATES:
            stopping = replace(task, state=TaskState.STOPPING)
            tables = edits.put_task(tables, stopping)
        else:
            tables = replace(tables, tasks=tables.tasks.drop(task.task_id))
    return tables


@handle_row.register
def _(row: CancelRow, tables: SchedulerTables, now: float) -> SchedulerStep:
    job = tables.jobs.get(row.job_id)
    if job is None or job.is_final:
        return Step(tables=tables)
    return finishing.cancel(tables, job, now)
