"""Reports where the tasks of a job are, or how many hosts could take a waiting one."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.jobs.exclusion import Exclusion
from bulrushpulley.entities.jobs.explanation import (
    ExplainJob,
    JobExplained,
    JobNotKnown,
    RedirectToOwner,
    TaskExplanation,
)
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import (
    Following,
    Leadership,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.task import Task, TaskState
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.scheduling import edits, excluding

MAX_EXPLAINED_TASKS = 200


def handle_explain_job(
    event: ExplainJob, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Answer an operator's question about a job."""
    if not edits.is_loaded(tables):
        owner = owner_of(tables.leadership, tables)
        return Step(
            tables=tables,
            commands=(RedirectToOwner(call_id=event.call_id, owner=owner),),
        )
    job = tables.jobs.get(event.job_id)
    if job is None:
        unknown = JobNotKnown(call_id=event.call_id, job_id=event.job_id)
        return Step(tables=tables, commands=(unknown,))
    tasks = tables.tasks.rows_where("job", job.job_id)
    remaining = [task for task in tasks if task.state is not TaskState.DONE]
    tasks_of_each = sum(step.count for step in job.row.spec.steps)
    dropped = job.done_occurrences * tasks_of_each
    explained = JobExplained(
        call_id=event.call_id,
        job_id=job.job_id,
        queue=job.row.queue,
        state=job.state.value,
        detail=job.reason or _time_to_objective(job, now),
        epoch=tables.epoch,
        done=dropped + len(tasks) - len(remaining),
        tasks=tuple(
            _explain_task(tables, job, task, now)
            for task in remaining[:MAX_EXPLAINED_TASKS]
        ),
    )
    return Step(tables=tables, commands=(explained,))


@singledispatch
def owner_of(leadership: Leadership, tables: SchedulerTables) -> str:
    """Return the shard's owner as known to this entry; by default, this entry."""
    return tables.name


@owner_of.register
def _(leadership: Following, tables: SchedulerTables) -> str:
    return leadership.row.holder if leadership.row is not None else ""


def _time_to_objective(job: Job, now: float) -> str:
    remaining_s = job.objective_at - now
    if remaining_s >= 0.0:
        return f"its objective is in {remaining_s:.1f} s"
    return f"its objective was {-remaining_s:.1f} s ago"


def _explain_task(
    tables: SchedulerTables, job: Job, task: Task, now: float
) -> TaskExplanation:
    return TaskExplanation(
        task_id=task.task_id,
        state=task.state.value,
        for_s=round(now - task.since, 2),
        run=task.run,
        failures=task.failures,
        host=task.host,
        detail=_explain_state(tables, job, task, now),
    )


def _explain_state(tables: SchedulerTables, job: Job, task: Task, now: float) -> str:
    if task.state is TaskState.BLOCKED:
        due_s = job.row.spec.due_s(task.occurrence) - now - tables.wall_offset_s
        if due_s > 0.0:
            return f"due in {due_s:.1f} s"
        return "earlier steps are not complete"
    if task.state is not TaskState.WAITING:
        return ""
    hosts = excluding.open_hosts(tables, now)
    counts = excluding.count_hosts(tables, hosts, job, task, now)
    service = edits.service_of(tables, job)
    return (
        f"{counts.count_passing(Exclusion.OTHER_SERVICE)} hosts of {service} are open,"
        f" {counts.count_passing(Exclusion.NO_LABEL)} have its label,"
        f" {counts.count_passing(Exclusion.NO_ROOM)} have room,"
        f" {counts.taking} would let it run undisturbed"
        f"{excluding.describe_refusals(counts, task, now)}; {counts.describe()}"
    )
