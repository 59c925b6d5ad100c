"""Reports where the tasks of a job are, or how many hosts could take a waiting one."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial, singledispatch

from bulrushpulley.entities.jobs.candidate import Candidate
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
from bulrushpulley.systems.scheduling import (
    edits,
    emptying,
    interference,
    placing,
    refusals,
)
from bulrushpulley.systems.scheduling.ranking import (
    fits,
    kind_of,
    should_wait,
)

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
    explained = JobExplained(
        call_id=event.call_id,
        job_id=job.job_id,
        queue=job.row.queue,
        state=job.state.value,
        detail=job.reason or _time_to_objective(job, now),
        epoch=tables.epoch,
        done=len(tasks) - len(remaining),
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
    closed = emptying.closed_hosts(tables)
    candidates = [
        placing.candidate_of(host)
        for host in tables.hosts.rows()
        if placing.is_open(tables, host, now) and host.name not in closed
    ]
    return _explain_waiting(tables, job, task, candidates, now)


def _explain_waiting(
    tables: SchedulerTables,
    job: Job,
    task: Task,
    candidates: Iterable[Candidate],
    now: float,
) -> str:
    step = job.step(task.step)
    service = placing.service_of(tables, job)
    of_service = [
        candidate for candidate in candidates if candidate.host.service == service
    ]
    label = step.needs_label
    labelled = [
        candidate
        for candidate in of_service
        if not label or label in candidate.host.labels
    ]
    with_room = [candidate for candidate in labelled if fits(step, candidate, 0.0)]
    harm_fraction = partial(interference.harm_fraction, tables)
    waited_s = now - task.since
    undisturbed = [
        candidate
        for candidate in with_room
        if not should_wait(kind_of(step), step, candidate, harm_fraction, waited_s)
    ]
    candidate_by_host = {candidate.host.name: candidate for candidate in undisturbed}
    refusing, _ = refusals.refusing_hosts(task, candidate_by_host, now)
    refused = f", {len(refusing)} of them refused it recently" if refusing else ""
    return (
        f"{len(of_service)} hosts of {service} are open,"
        f" {len(labelled)} have its label, {len(with_room)} have room,"
        f" {len(undisturbed)} would let it run undisturbed{refused}"
    )
