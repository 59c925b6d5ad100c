"""The jobs that a transaction writes, and the rows with their progress."""

from __future__ import annotations

from bulrushpulley.entities.jobs.rows import ProgressRow
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.task import HOLDING_STATES

# The store accepts 100 rows and 1 MB in a transaction. A task's progress takes about
# 100 bytes; the owner, the backlog, harms and waves need a few of the rows.
MAX_JOBS_PER_COMMIT = 90
MAX_TASKS_PER_COMMIT = 5_000


def due_job_ids(tables: SchedulerTables, sent: frozenset[str]) -> list[str]:
    """Return the jobs to be written that fit into a transaction beside those `sent`.

    They are taken in turn, so that none is passed over while others change.
    """
    chosen: list[str] = []
    jobs = len(sent)
    tasks = sum(tables.tasks.count_where("job", job_id) for job_id in sent)
    for job_id in sorted(tables.effects_by_job, key=tables.turn_by_job.__getitem__):
        if job_id not in sent:
            jobs += 1
            tasks += tables.tasks.count_where("job", job_id)
        if jobs > 1 and (tasks > MAX_TASKS_PER_COMMIT or jobs > MAX_JOBS_PER_COMMIT):
            break
        chosen.append(job_id)
    return chosen


def row_of(tables: SchedulerTables, job_id: str) -> ProgressRow:
    """Return the row with a job's progress.

    It leaves out tasks that were never assigned and, once the job has ended, those that
    can no longer run.
    """
    job = tables.jobs.by_key[job_id]
    tasks = tables.tasks.rows_where("job", job_id)
    if job.is_final:
        tasks = [task for task in tasks if task.state in HOLDING_STATES]
    return ProgressRow(
        job_id=job_id,
        state=job.state,
        tasks=tuple(task.progress for task in tasks if task.run),
        ended_at_s=job.ended_at_s,
        started=job.started,
    )
