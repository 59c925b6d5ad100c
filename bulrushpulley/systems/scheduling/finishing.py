"""Ends jobs as complete, failed or cancelled, and stops or drops their tasks."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import HOLDING_STATES, TaskState
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, stopping


def complete(tables: SchedulerTables, job: Job, now: float) -> SchedulerStep:
    """End a job whose tasks are all complete."""
    return _end(tables, job, JobState.COMPLETED, "every task is complete", now)


def fail(tables: SchedulerTables, job: Job, reason: str, now: float) -> SchedulerStep:
    """End a job that cannot be completed."""
    return _end(tables, job, JobState.FAILED, reason, now)


def cancel(tables: SchedulerTables, job: Job, now: float) -> SchedulerStep:
    """End a job that its caller cancelled."""
    return _end(tables, job, JobState.CANCELLED, "its caller cancelled it", now)


def _end(
    tables: SchedulerTables, job: Job, state: JobState, reason: str, now: float
) -> SchedulerStep:
    ended_at_s = now + tables.wall_offset_s
    ended = replace(job, state=state, reason=reason, ended_at_s=ended_at_s)
    tables = edits.put_job(tables, ended)
    line = edits.log(tables, "job.end", job.job_id, state.value, reason)
    commands: list[Command] = [line]
    for task in tables.tasks.rows_where("job", job.job_id):
        if task.state not in HOLDING_STATES:
            tables = replace(tables, tasks=tables.tasks.drop(task.task_id))
        elif task.state in stopping.STOPPABLE_STATES:
            step = stopping.stop(tables, task, now, reason)
            tables = step.tables
            commands.extend(step.commands)
    return Step(tables=edits.mark_dirty(tables, job.job_id), commands=tuple(commands))


def remove_task(tables: SchedulerTables, task_id: str) -> SchedulerTables:
    """Remove a task of an ended job and release its capacity."""
    task = tables.tasks.by_key[task_id]
    released = edits.put_task(tables, replace(task, state=TaskState.BLOCKED))
    return replace(released, tasks=released.tasks.drop(task_id))
