"""Adds the tasks of a job's occurrences once these are due, and drops the completed.

A job may have thousands of occurrences, days ahead, so the tables hold only the tasks
of those that are due and not completed. The first of them is durable with the progress
of the job. A job without occurrences has one, which is due at once.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.rows import ProgressRow
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.spec import JobSpec
from bulrushpulley.entities.jobs.task import Task, TaskState, step_key, task_id_of
from bulrushpulley.systems.scheduling import edits, restoring

# Occurrences that are due while so many tasks of their job are open begin later. One
# whose tasks are more than that begins once no other is open.
MAX_OPEN_TASKS = 1_000


def due_count(spec: JobSpec, wall_s: float) -> int:
    """Return how many occurrences of a job are due at a time since 1970."""
    if not spec.occurrences:
        return 1
    late_s = wall_s - spec.first_due_s
    if late_s < 0.0:
        return 0
    if spec.interval_s <= 0.0:
        return spec.runs
    # Beside a very short interval the quotient is infinite, which is no integer.
    passed = int(min(spec.runs, late_s / spec.interval_s))
    return min(spec.runs, passed + 1)


def is_complete(tables: SchedulerTables, job: Job) -> bool:
    """Return whether all tasks of all occurrences of a job are completed."""
    has_begun_all = job.next_occurrence >= job.row.spec.runs
    return has_begun_all and not tables.tasks.count_where("open", job.job_id)


def begin_due(tables: SchedulerTables, job: Job, now: float) -> SchedulerTables:
    """Add the tasks of the occurrences that are due, as far as there is room."""
    spec = job.row.spec
    due = due_count(spec, now + tables.wall_offset_s)
    tasks_of_each = sum(step.count for step in spec.steps)
    while job.next_occurrence < due:
        open_tasks = tables.tasks.count_where("open", job.job_id)
        if open_tasks and open_tasks + tasks_of_each > MAX_OPEN_TASKS:
            break
        for task in _tasks_of(job, job.next_occurrence, now):
            tables = edits.put_task(tables, task)
        job = replace(job, next_occurrence=job.next_occurrence + 1)
        tables = edits.put_job(tables, job)
    return tables


def restore(
    tables: SchedulerTables, job: Job, progress: ProgressRow, now: float
) -> SchedulerTables:
    """Add the tasks of the occurrences that had begun, in their durable state."""
    restored_by_id = {
        task_id_of(job.job_id, task.occurrence, task.step, task.index): task
        for task in progress.tasks
    }
    begun = [task.occurrence + 1 for task in progress.tasks]
    first = progress.done_occurrences
    last = min(job.row.spec.runs, max(begun, default=first))
    job = replace(job, done_occurrences=first, next_occurrence=max(first, last))
    tables = edits.put_job(tables, job)
    for occurrence in range(first, job.next_occurrence):
        for task in _tasks_of(job, occurrence, now):
            stored = restored_by_id.get(task.task_id)
            if stored is not None:
                task = restoring.restored_task(task, stored)
            tables = edits.put_task(tables, replace(task, may_be_idle_longer=True))
    return tables


def _tasks_of(job: Job, occurrence: int, now: float) -> list[Task]:
    return [
        Task(
            task_id=task_id_of(job.job_id, occurrence, number, index),
            job_id=job.job_id,
            occurrence=occurrence,
            step=number,
            index=index,
            state=TaskState.BLOCKED,
            since=now,
            idle_since=now,
        )
        for number, step in enumerate(job.row.spec.steps)
        for index in range(step.count)
    ]


def drop_completed(tables: SchedulerTables, job: Job) -> SchedulerTables:
    """Drop the tasks of the first occurrences, as far as all of them are completed."""
    done = job.done_occurrences
    while done < job.next_occurrence and _is_occurrence_complete(tables, job, done):
        done += 1
    # A job that is completed keeps its last occurrence until it ends.
    done = min(done, job.row.spec.runs - 1)
    if done == job.done_occurrences:
        return tables
    for task in tables.tasks.rows_where("job", job.job_id):
        if task.occurrence < done:
            tables = replace(tables, tasks=tables.tasks.drop(task.task_id))
    return edits.put_job(tables, replace(job, done_occurrences=done))


def _is_occurrence_complete(tables: SchedulerTables, job: Job, occurrence: int) -> bool:
    return not any(
        tables.tasks.count_where("open", step_key(job.job_id, occurrence, number))
        for number in range(len(job.row.spec.steps))
    )
