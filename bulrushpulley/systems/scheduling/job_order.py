"""Tells in which order the jobs with waiting tasks are placed."""

from __future__ import annotations

from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.systems.scheduling import idle_clock


def is_overdue(tables: SchedulerTables, job: Job, now: float) -> bool:
    """Return whether a lasting task of a job has waited too long for its turn.

    Lasting tasks must run while there is capacity for them, however many tasks of a
    higher priority arrive.
    """
    if not _is_lasting(job):
        return False
    waiting = tables.tasks.rows_where("waiting", job.job_id)
    return any(idle_clock.is_overdue_lasting(job, task, now) for task in waiting)


def _is_lasting(job: Job) -> bool:
    return any(step.lasting for step in job.row.spec.steps)


def placement_order(job: Job, now: float) -> tuple[bool, int, bool, float, str]:
    """Return the sort key of a job, unless a lasting task of it is overdue.

    Jobs past their `deadline_at` come last, except lasting ones, which are never late.
    Then priority counts, then lasting before other jobs, then `objective_at`.
    """
    lasting = _is_lasting(job)
    late = now > job.deadline_at and not lasting
    return (late, job.row.priority, not lasting, job.objective_at, job.job_id)
