"""Restores jobs and tasks from their durable progress after a takeover."""

from __future__ import annotations

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.rows import ProgressRow, TaskProgress
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.task import Task, TaskState


def keep_progress(
    tables: SchedulerTables, rows: tuple[ProgressRow, ...]
) -> SchedulerTables:
    """Keep the progress of jobs until the jobs themselves are read."""
    progress = Map({row.job_id: row for row in rows})
    return replace(tables, progress_by_job=progress)


def drop_progress(tables: SchedulerTables) -> SchedulerTables:
    """Drop the progress once all jobs have been restored."""
    return replace(tables, progress_by_job=Map())


def restored_job(job: Job, progress: ProgressRow) -> Job:
    """Return a job in its durable state."""
    return replace(
        job,
        state=progress.state,
        started=progress.started,
        ended_at_s=progress.ended_at_s,
    )


def restored_task(task: Task, progress: TaskProgress) -> Task:
    """Return a task in its durable state; one with a host may be running there."""
    return replace(
        task,
        state=_restored_state(progress, task.state),
        run=progress.run,
        failures=progress.failures,
        host=progress.host,
        life=progress.life,
        checkpoint=progress.checkpoint,
    )


def _restored_state(progress: TaskProgress, initial_state: TaskState) -> TaskState:
    if progress.done:
        return TaskState.DONE
    return TaskState.HELD if progress.host else initial_state
