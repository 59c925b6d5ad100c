"""The jobs that a transaction writes, and the rows with their progress.

A row of the store has a limited size, so the progress of a large job takes several. All
of them are written in one transaction. The first one says how many count; rows beyond
that are left over from a time when the progress was larger.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.rows import (
    ProgressRow,
    RowKey,
    TaskProgress,
    progress_key,
)
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.task import HOLDING_STATES, Task

# The store accepts 100 rows and 1 MB in a transaction. The owner, the backlog, harms
# and waves need a few of the rows.
MAX_ROWS_PER_COMMIT = 90
# Compressed, a task takes 30 bytes and its checkpoint.
MAX_TASKS_PER_COMMIT = 5_000
MAX_CHECKPOINT_BYTES_PER_COMMIT = 400_000
# The store accepts rows of 65,536 bytes. The sizes are those before compression.
MAX_PAGE_BYTES = 60_000
MAX_CHECKPOINT_BYTES = 30_000
# The names and numbers of a task, and the framing of its texts.
TASK_OVERHEAD_BYTES = 130


@dataclass(frozen=True, kw_only=True, slots=True)
class ProgressSize:
    """How much of a transaction the progress of jobs takes, at most."""

    rows: int = 0
    tasks: int = 0
    checkpoint_bytes: int = 0

    def plus(self, other: ProgressSize) -> ProgressSize:
        """Return the size of both."""
        return ProgressSize(
            rows=self.rows + other.rows,
            tasks=self.tasks + other.tasks,
            checkpoint_bytes=self.checkpoint_bytes + other.checkpoint_bytes,
        )

    @property
    def fits(self) -> bool:
        """Whether a transaction holds it."""
        return (
            self.rows <= MAX_ROWS_PER_COMMIT
            and self.tasks <= MAX_TASKS_PER_COMMIT
            and self.checkpoint_bytes <= MAX_CHECKPOINT_BYTES_PER_COMMIT
        )


def due_job_ids(
    tables: SchedulerTables,
    sent: frozenset[str],
    withheld: frozenset[str] = frozenset(),
) -> list[str]:
    """Return the jobs to be written that fit into a transaction beside those `sent`.

    They are taken in turn, so that none is passed over while others change, but for
    those that are `withheld`.
    """
    chosen: list[str] = []
    size = ProgressSize()
    for job_id in sent:
        size = size.plus(_size_of(tables, job_id))
    for job_id in sorted(tables.effects_by_job, key=tables.turn_by_job.__getitem__):
        if job_id in withheld:
            continue
        if job_id not in sent:
            size = size.plus(_size_of(tables, job_id))
        if (sent or chosen) and not size.fits:
            break
        chosen.append(job_id)
    return chosen


def _size_of(tables: SchedulerTables, job_id: str) -> ProgressSize:
    tasks = _assigned_tasks(tables, job_id)
    max_bytes = _max_checkpoint_bytes(len(tasks))
    checkpoint_bytes = sum(
        min(max_bytes, _text_bytes(task.checkpoint)) for task in tasks
    )
    total_bytes = checkpoint_bytes + sum(_task_bytes(task, "") for task in tasks)
    # A page ends where the next task no longer fits.
    min_page_bytes = MAX_PAGE_BYTES - MAX_CHECKPOINT_BYTES
    return ProgressSize(
        rows=1 + total_bytes // min_page_bytes,
        tasks=len(tasks),
        checkpoint_bytes=checkpoint_bytes,
    )


def rows_of(tables: SchedulerTables, job_id: str) -> tuple[ProgressRow, ...]:
    """Return the rows with a job's progress.

    They leave out tasks that were never assigned and, once the job has ended, those
    that can no longer run. A checkpoint that is too long is left out as well, so that
    its task would begin anew after a loss.
    """
    job = tables.jobs.by_key[job_id]
    tasks = _assigned_tasks(tables, job_id)
    max_bytes = _max_checkpoint_bytes(len(tasks))
    pages = _paginate(_bounded(task.progress, max_bytes) for task in tasks)
    return tuple(
        ProgressRow(
            job_id=job_id,
            state=job.state,
            tasks=page,
            ended_at_s=job.ended_at_s,
            started=job.started,
            done_occurrences=job.done_occurrences,
            page=number,
            pages=len(pages),
        )
        for number, page in enumerate(pages)
    )


def _assigned_tasks(tables: SchedulerTables, job_id: str) -> list[Task]:
    tasks = tables.tasks.rows_where("job", job_id)
    if tables.jobs.by_key[job_id].is_final:
        tasks = [task for task in tasks if task.state in HOLDING_STATES]
    return [task for task in tasks if task.run]


def _max_checkpoint_bytes(tasks: int) -> int:
    """Return the longest checkpoint that is kept of a job with that many tasks."""
    share_bytes = MAX_CHECKPOINT_BYTES_PER_COMMIT // max(1, tasks)
    return min(MAX_CHECKPOINT_BYTES, share_bytes)


def _bounded(task: TaskProgress, max_bytes: int) -> TaskProgress:
    if _text_bytes(task.checkpoint) <= max_bytes:
        return task
    return replace(task, checkpoint="")


def _paginate(tasks: Iterable[TaskProgress]) -> list[tuple[TaskProgress, ...]]:
    """Distribute tasks over pages; a job without any has an empty one."""
    pages: list[tuple[TaskProgress, ...]] = []
    page: list[TaskProgress] = []
    left_bytes = MAX_PAGE_BYTES
    for task in tasks:
        task_bytes = _task_bytes(task, task.checkpoint)
        if task_bytes > left_bytes:
            pages.append(tuple(page))
            page, left_bytes = [], MAX_PAGE_BYTES
        page.append(task)
        left_bytes -= task_bytes
    pages.append(tuple(page))
    return pages


def _task_bytes(task: Task | TaskProgress, checkpoint: str) -> int:
    return TASK_OVERHEAD_BYTES + _text_bytes(f"{task.host}{task.life}{checkpoint}")


def _text_bytes(text: str) -> int:
    return len(text.encode())


def merged(rows: Iterable[ProgressRow]) -> Map[str, ProgressRow]:
    """Return the progress of each job from its rows, as one row."""
    pages_by_job: dict[str, dict[int, ProgressRow]] = {}
    for row in rows:
        pages_by_job.setdefault(row.job_id, {})[row.page] = row
    return Map(
        {
            job_id: _merge(row_by_page)
            for job_id, row_by_page in pages_by_job.items()
            if 0 in row_by_page
        }
    )


def _merge(row_by_page: Mapping[int, ProgressRow]) -> ProgressRow:
    first = row_by_page[0]
    if first.pages == 1:
        return first
    tasks = [
        task
        for number in range(first.pages)
        if number in row_by_page
        for task in row_by_page[number].tasks
    ]
    return replace(first, tasks=tuple(tasks), pages=1)


def with_stored_pages(
    tables: SchedulerTables, rows: Iterable[ProgressRow]
) -> SchedulerTables:
    """Record the rows beyond the first that the store has, or may have, of jobs."""
    pages_by_job = tables.stored_pages_by_job
    for row in rows:
        if row.page >= pages_by_job.get(row.job_id, 1):
            pages_by_job = pages_by_job.set(row.job_id, row.page + 1)
    if pages_by_job is tables.stored_pages_by_job:
        return tables
    return replace(tables, stored_pages_by_job=pages_by_job)


def stored_keys(tables: SchedulerTables, job_id: str) -> tuple[RowKey, ...]:
    """Return the keys of all rows that the store may have of a job's progress."""
    pages = range(tables.stored_pages_by_job.get(job_id, 1))
    return tuple(progress_key(job_id, page) for page in pages)
