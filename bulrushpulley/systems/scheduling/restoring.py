"""Restores jobs and tasks from their durable progress after a takeover."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.rows import ProgressRow, TaskProgress
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.task import Task, TaskState
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.scheduling import edits, progress

MAX_STEPS_PER_LINE = 8
# Bounds the time before a new owner places anything, and what it logs at once.
MAX_RESTORE_LINES = 2_000


def keep_progress(
    tables: SchedulerTables, rows: tuple[ProgressRow, ...]
) -> SchedulerTables:
    """Keep the progress of jobs until the jobs themselves are read."""
    tables = progress.with_stored_pages(tables, rows)
    return replace(tables, progress_by_job=progress.merged(rows))


def drop_progress(tables: SchedulerTables) -> SchedulerTables:
    """Drop the progress once all jobs have been restored."""
    return replace(tables, progress_by_job=Map())


def restored_job(job: Job, stored: ProgressRow) -> Job:
    """Return a job in its durable state."""
    return replace(
        job,
        state=stored.state,
        started=stored.started,
        ended_at_s=stored.ended_at_s,
    )


def restored_task(task: Task, stored: TaskProgress) -> Task:
    """Return a task in its durable state; one with a host may be running there."""
    return replace(
        task,
        state=_restored_state(stored, task.state),
        run=stored.run,
        failures=stored.failures,
        host=stored.host,
        life=stored.life,
        checkpoint=stored.checkpoint,
    )


def _restored_state(stored: TaskProgress, initial_state: TaskState) -> TaskState:
    if stored.done:
        return TaskState.DONE
    return TaskState.HELD if stored.host else initial_state


def restored_lines(tables: SchedulerTables) -> Iterable[Command]:
    """Return a line for each job that has not ended, up to a bound, with its tasks."""
    open_jobs = [job for job in tables.jobs.rows() if not job.is_final]
    for number, job in enumerate(open_jobs[:MAX_RESTORE_LINES], start=1):
        reason = f"{job.state.value}; {_describe_tasks(tables, job)}"
        if number == MAX_RESTORE_LINES < len(open_jobs):
            reason += f"; {len(open_jobs) - number} more jobs are left out"
        yield edits.log(tables, "job.restore", job.job_id, job.row.queue, reason)


def _describe_tasks(tables: SchedulerTables, job: Job) -> str:
    """Count the tasks of the steps that are not done, by state."""
    tasks = tables.tasks.rows_where("job", job.job_id)
    counts = Counter((task.step, task.state) for task in tasks)
    open_steps = sorted(
        {number for number, state in counts if state is not TaskState.DONE}
    )
    total = len(job.row.spec.steps)
    texts = [f"{total - len(open_steps)} of {total} steps done"]
    for number in open_steps[:MAX_STEPS_PER_LINE]:
        states = [
            f"{counts[number, state]} {state.value}"
            for state in TaskState
            if counts[number, state]
        ]
        texts.append(f"step {number}: {', '.join(states)}")
    if len(open_steps) > MAX_STEPS_PER_LINE:
        texts.append(f"{len(open_steps) - MAX_STEPS_PER_LINE} more steps")
    return "; ".join(texts)
