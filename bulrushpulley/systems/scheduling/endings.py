"""Handles the end of a run, depending on how it ended."""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import partial, singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.progress_commit import AcknowledgeEnd
from bulrushpulley.entities.jobs.runs import (
    Done,
    Ending,
    Failed,
    Lost,
    RunEnd,
    Stopped,
)
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import HOLDING_STATES, Task, TaskState, step_key
from bulrushpulley.entities.numbers import are_amounts
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import (
    edits,
    finishing,
    occurrences,
    quarantine,
    refusals,
    setting_aside,
    unblocking,
)

# A task returns to a host on which it failed only if no other has free capacity, so
# the list grows slowly and a few names suffice.
MAX_AVOIDED_HOSTS = 8
# An agent's clock may be wrong, so the age of an end is capped at this value.
MAX_END_AGE_S = 120.0
# Keeps a line below 4 KB, so that it can share a write with others.
MAX_RUNS_PER_LINE = 80


def end_run(
    tables: SchedulerTables,
    task: Task,
    ending: Ending,
    now: float,
    *effects: AcknowledgeEnd,
    ended_at: float = math.inf,
) -> SchedulerStep:
    """End the current run of a task; the effects follow once that is durable.

    It ended now, or at `ended_at` if that is earlier.
    """
    line = edits.log(
        tables,
        "task.end",
        f"{task.task_id}#{task.run}",
        task.host,
        f"{type(ending).__name__.lower()} {getattr(ending, 'reason', '')}".strip(),
    )
    step = _end_unlogged(tables, task, ending, now, *effects, ended_at=ended_at)
    return Step(tables=step.tables, commands=(line, *step.commands))


def _end_unlogged(
    tables: SchedulerTables,
    task: Task,
    ending: Ending,
    now: float,
    *effects: AcknowledgeEnd,
    ended_at: float = math.inf,
) -> SchedulerStep:
    job = tables.jobs.by_key[task.job_id]
    tables = quarantine.record_ending(tables, task, ending, now)
    if must_have_started(ending):
        task = replace(task, running_since=task.running_since or min(ended_at, now))
        job = replace(job, started=True)
    if task.running_since:
        ran_until = last_seen_at(ending, tables, task, min(ended_at, now))
        job = replace(job, ran_until=max(job.ran_until, ran_until))
        task = replace(task, idle_since=ran_until, may_be_idle_longer=False)
        tables = edits.put_job(tables, job)
    if job.is_final:
        tables = finishing.remove_task(tables, task.task_id)
        tables = edits.mark_dirty(tables, task.job_id, *effects)
        return Step(tables=tables)
    if ending.checkpoint:
        task = replace(task, checkpoint=ending.checkpoint)
    step = apply_ending(ending, tables, job, task, now)
    tables = edits.mark_dirty(step.tables, task.job_id, *effects)
    return Step(tables=tables, commands=step.commands)


def reported_end_at(end: RunEnd, now: float) -> float:
    """Return when a run ended whose end is reported now."""
    age_s = end.age_s if are_amounts(end.age_s) else 0.0
    return now - min(age_s, MAX_END_AGE_S)


@singledispatch
def last_seen_at(
    ending: Ending, tables: SchedulerTables, task: Task, ended_at: float
) -> float:
    """Return until when a run that was seen running is known to have run."""
    return max(task.running_since, ended_at)


@last_seen_at.register
def _(ending: Lost, tables: SchedulerTables, task: Task, ended_at: float) -> float:
    """Return the last contact of its host, as a loss is noticed later."""
    host = tables.hosts.get(task.host)
    heard_at = host.last_contact_at if host is not None else 0.0
    return max(task.running_since, min(ended_at, heard_at))


@singledispatch
def must_have_started(ending: Ending) -> bool:
    """Return whether a run that ended this way must have started."""
    return False


@must_have_started.register(Done)
@must_have_started.register(Failed)
def _(ending: Ending) -> bool:
    return True


@singledispatch
def apply_ending(
    ending: Ending, tables: SchedulerTables, job: Job, task: Task, now: float
) -> SchedulerStep:
    """Apply an ending; by default it is no fault of the task, which runs again."""
    return Step(tables=_requeue(tables, task, now))


def _requeue(tables: SchedulerTables, task: Task, now: float) -> SchedulerTables:
    waiting = replace(
        task,
        state=TaskState.WAITING,
        host="",
        life="",
        since=now,
    )
    return edits.put_task(tables, waiting)


@apply_ending.register
def _(
    ending: Stopped, tables: SchedulerTables, job: Job, task: Task, now: float
) -> SchedulerStep:
    if task.state is not TaskState.STOPPING:
        # Its host returned the run, or stopped it without an order.
        task = refusals.with_refusal(task, now)
    return Step(tables=_requeue(tables, task, now))


@apply_ending.register
def _(
    ending: Done, tables: SchedulerTables, job: Job, task: Task, now: float
) -> SchedulerStep:
    spec = job.step(task.step)
    if spec.lasting:
        return Step(tables=_requeue(tables, task, now))
    members = [task]
    if spec.gang:
        members = _open_tasks_of_step(tables, task)
    for member in members:
        done = replace(
            member,
            state=TaskState.DONE,
            host="",
            life="",
            since=task.idle_since,
            refusals=(),
        )
        tables = edits.put_task(tables, done)
    key = step_key(task.job_id, task.occurrence, task.step)
    if tables.tasks.count_where("open", key):
        return Step(tables=tables)
    job = tables.jobs.by_key[job.job_id]
    if occurrences.is_complete(tables, job):
        return finishing.complete(tables, job, now)
    if job.row.spec.occurrences:
        tables = occurrences.drop_completed(tables, job)
        job = tables.jobs.by_key[job.job_id]
    return Step(tables=unblocking.unblock(tables, job, now, came_at=job.ran_until))


def _open_tasks_of_step(tables: SchedulerTables, task: Task) -> list[Task]:
    key = step_key(task.job_id, task.occurrence, task.step)
    return tables.tasks.rows_where("open", key)


@apply_ending.register
def _(
    ending: Failed, tables: SchedulerTables, job: Job, task: Task, now: float
) -> SchedulerStep:
    spec = job.step(task.step)
    avoided_hosts = (*task.avoided_hosts, task.host)[-MAX_AVOIDED_HOSTS:]
    failed = replace(task, failures=task.failures + 1, avoided_hosts=avoided_hosts)
    tables = _requeue(tables, failed, now)
    if spec.lasting:
        return Step(tables=tables)
    failures = failed.failures
    if spec.gang:
        failures = sum(
            member.failures for member in _open_tasks_of_step(tables, failed)
        )
    if failures < job.row.max_attempts:
        return Step(tables=tables)
    reason = f"{task.task_id} failed {failures} times"
    return finishing.fail(tables, job, reason, now)


def end_runs_as_lost(
    tables: SchedulerTables,
    host: str,
    now: float,
    reason: str,
    *,
    keep_incarnations: frozenset[str] = frozenset(),
) -> SchedulerStep:
    """End as lost the runs on a host, except those of `keep_incarnations`.

    A run in the state PLACED is skipped, because no order for it has been sent yet.
    The runs share a line, since there may be many while much else is logged.
    """
    commands: list[Command] = []
    lost_runs: list[str] = []
    for task_id in sorted(tables.tasks.keys_where("host", host)):
        # The end of another task may have ended the job, and with it this task.
        task = tables.tasks.get(task_id)
        if (
            task is None
            or task.state not in HOLDING_STATES
            or task.life in keep_incarnations
        ):
            continue
        if task.state is TaskState.PLACED:
            continue
        lost_runs.append(f"{task.task_id}#{task.run}")
        end = partial(_end_unlogged, task=task, ending=Lost(reason=reason), now=now)
        step = setting_aside.handle_job(tables, task.job_id, now, end)
        tables = step.tables
        commands.extend(step.commands)
    lines = [
        edits.log(tables, "host.lost", host, f"{len(lost_runs)} runs", text)
        for text in lost_run_texts(reason, lost_runs)
    ]
    return Step(tables=tables, commands=(*lines, *commands))


def lost_run_texts(reason: str, runs: Sequence[str]) -> list[str]:
    """Return the reason of each line about lost runs; the script `gaps` reads it."""
    return [
        f"{reason}: {' '.join(runs[start : start + MAX_RUNS_PER_LINE])}"
        for start in range(0, len(runs), MAX_RUNS_PER_LINE)
    ]
