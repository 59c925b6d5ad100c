"""Unblocks the tasks of a step once it is due and the steps before it are complete."""

from __future__ import annotations

import math
from functools import partial

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import Task, TaskState, step_key
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, occurrences, setting_aside


def unblock(
    tables: SchedulerTables,
    job: Job,
    now: float,
    *,
    came_at: float = math.inf,
    may_be_idle_longer: bool = False,
) -> SchedulerTables:
    """Change the tasks of a job that are ready from BLOCKED to WAITING.

    Their turn has come now, or at `came_at` if that is earlier, unless they
    `may_be_idle_longer`.
    """
    if job.is_final:
        return tables
    wall_s = now + tables.wall_offset_s
    for task in tables.tasks.rows_where("job", job.job_id):
        if task.state is TaskState.BLOCKED and is_ready(tables, job, task, wall_s):
            waiting = replace(
                task,
                state=TaskState.WAITING,
                since=now,
                idle_since=min(came_at, now),
                may_be_idle_longer=may_be_idle_longer,
            )
            tables = edits.put_task(tables, waiting)
    return tables


def is_ready(tables: SchedulerTables, job: Job, task: Task, wall_s: float) -> bool:
    """Return whether a task is due and the steps before its own are complete."""
    return is_step_ready(tables, job, task.occurrence, task.step, wall_s)


def is_step_ready(
    tables: SchedulerTables, job: Job, occurrence: int, number: int, wall_s: float
) -> bool:
    """Return whether a step is due and the steps before it are complete."""
    if wall_s < job.row.spec.due_s(occurrence):
        return False
    return not any(
        tables.tasks.count_where("open", step_key(job.job_id, occurrence, earlier))
        for earlier in job.step(number).after
    )


def unblock_due(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Unblock the tasks of the occurrences that have become due."""
    if not edits.is_loaded(tables):
        return Step(tables=tables)
    commands: list[Command] = []
    for job_id in sorted(tables.timed_job_ids):
        begin = partial(_begin_due, job_id=job_id, now=now)
        step = setting_aside.advance_job(tables, job_id, now, begin)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def _begin_due(tables: SchedulerTables, *, job_id: str, now: float) -> SchedulerStep:
    job = tables.jobs.by_key[job_id]
    due = occurrences.due_count(job.row.spec, now + tables.wall_offset_s)
    if not job.is_final and (due > job.done_occurrences):
        tables = occurrences.begin_due(tables, job, now)
        tables = unblock(tables, tables.jobs.by_key[job_id], now)
        job = tables.jobs.by_key[job_id]
    has_begun_all = min(due, job.next_occurrence) >= job.row.spec.runs
    if job.is_final or has_begun_all:
        tables = replace(tables, timed_job_ids=tables.timed_job_ids.discard(job_id))
    return Step(tables=tables)
