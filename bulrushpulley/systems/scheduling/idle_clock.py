"""Tells whether a task that has room may still be held back by choice.

The platform counts a job as lost that has nothing running for 3 s although the turn of
a task has come and there is room for it, and a task that lasts from 6 s after its last
run. It counts one time for all that happens meanwhile, so there is one clock here too:
since when a job has nothing running. Each hold by choice (harm, quarantine) asks
`may_hold_back`, and falls away once it returns False, whatever bound of its own it has.
A new owner does not know for how long the former one has held a task back, so holds on
tasks that it has restored count as used up until a run of their job ends.

What the platform forbids is no hold by choice, nor is the delay before the only host
that fits is asked again after it refused: refused starts have a price.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import Task

# Leaves half of the 3 s to a placement that is withdrawn or refused, the transaction
# and the start.
MAX_JOB_IDLE_S = 1.5
# An attempt that may be the last one waits longer for a host on which no runs fail.
MAX_LAST_ATTEMPT_IDLE_S = 2.0
MAX_LASTING_IDLE_S = 3.5


def may_hold_back(tables: SchedulerTables, job: Job, task: Task, now: float) -> bool:
    """Return whether a waiting task may be held back by choice."""
    if is_overdue_lasting(job, task, now):
        return False
    if task.may_be_idle_longer and job.step(task.step).lasting:
        return False
    return _is_running(tables, job) or now < hold_until(job, task)


def _is_running(tables: SchedulerTables, job: Job) -> bool:
    return tables.tasks.count_where("running", job.job_id) > 0


def hold_until(job: Job, task: Task) -> float:
    """Return until when a waiting task may be held back if nothing of its job runs."""
    return _idle_since(job, task) + MAX_JOB_IDLE_S


def _idle_since(job: Job, task: Task) -> float:
    """Return since when a job has been idle at the latest, or at an unknown time."""
    turn_came_at = -math.inf if task.may_be_idle_longer else task.idle_since
    return max(turn_came_at, job.ran_until)


def next_change_at(job: Job, task: Task, now: float) -> float:
    """Return when a hold on a waiting task ends next if nothing of its job runs."""
    idle_since = _idle_since(job, task)
    ends = (idle_since + MAX_JOB_IDLE_S, idle_since + MAX_LAST_ATTEMPT_IDLE_S)
    return min((at for at in ends if now < at), default=math.inf)


def is_overdue_lasting(job: Job, task: Task, now: float) -> bool:
    """Return whether a task lasts and has waited too long, whatever else runs."""
    is_late = now - task.idle_since >= MAX_LASTING_IDLE_S
    return is_late and job.step(task.step).lasting


def may_risk_last_attempt(
    tables: SchedulerTables, job: Job, task: Task, now: float
) -> bool:
    """Return whether a task may run where its failure is likely and ends its job."""
    is_late = now >= _idle_since(job, task) + MAX_LAST_ATTEMPT_IDLE_S
    return is_late and not _is_running(tables, job)


def may_risk_failure(job: Job, step: StepSpec, members: Collection[Task]) -> bool:
    """Return whether tasks may run where they are likely to fail.

    A job fails with the last attempt of a task, or of all members of a gang.
    """
    failures = sum(task.failures for task in members) + len(members)
    return step.lasting or failures < job.row.max_attempts


def may_use_quarantined(
    tables: SchedulerTables,
    job: Job,
    step: StepSpec,
    members: Collection[Task],
    now: float,
) -> bool:
    """Return whether a task, or all members of a gang, may use hosts in quarantine."""
    return may_risk_failure(job, step, members) or all(
        may_risk_last_attempt(tables, job, task, now) for task in members
    )
