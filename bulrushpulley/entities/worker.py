"""The workers of a cell as its owner sees them, and evidence of faulty ones."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.records import WorkerRecord
from bulrushpulley.entities.resources import Resources


class Health(enum.Enum):
    """Whether tasks may be placed on a worker.

    A QUARANTINED worker gets none until its backoff has passed, a PROBING worker
    one at a time.
    """

    HEALTHY = "healthy"
    QUARANTINED = "aside"
    PROBING = "probing"


@dataclass(frozen=True, kw_only=True, slots=True)
class Worker:
    """One worker of a cell.

    `present` is false once the cell's record no longer names the worker; its
    capacity is then zero. `report_requested_at` is when the report in flight was
    requested, or None; `reported_at` is when the last answered report was requested.
    No renewal of a task lease was sent after `renewed_until`; the next ones are due
    at `renew_at`. `runs` counts the runs of the last report, `unexpected_runs` those
    running there that the owner has not assigned to it. `unanswered_at` is when a
    call to it last failed, or None once a report requested after that is answered.
    """

    worker_id: str
    cell: str
    url: str
    rack: str
    capacity: Resources
    present: bool = True
    report_requested_at: float | None = None
    next_report_at: float = 0.0
    reported_at: float | None = None
    answered_at: float = 0.0
    renewed_until: float = 0.0
    renew_at: float = 0.0
    runs: int = 0
    unexpected_runs: int = 0
    unanswered_at: float | None = None
    health: Health = Health.HEALTHY
    quarantined_until: float = 0.0
    backoff_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """Evidence that a task of a job failed on a worker, last at `at`.

    It is `proven` to be the worker's fault once the same task succeeds on another.
    """

    worker_id: str
    record_key: str
    task_key: str
    at: float
    proven: bool = False


def worker_from_record(record: WorkerRecord, *, cell: str, now: float) -> Worker:
    """Return the worker of a record, before the first report is requested."""
    return Worker(
        worker_id=record.worker_id,
        cell=cell,
        url=record.url,
        rack=record.rack,
        capacity=record.capacity,
        next_report_at=now,
        answered_at=now,
    )


def by_cell(worker: Worker) -> tuple[str, ...]:
    """Index workers by cell."""
    return (worker.cell,)


def failures_by_worker(failure: Failure) -> tuple[str, ...]:
    """Index failures by worker."""
    return (failure.worker_id,)


def failures_by_task(failure: Failure) -> tuple[str, ...]:
    """Index failures by task."""
    return (failure.task_key,)


def failures_by_record(failure: Failure) -> tuple[str, ...]:
    """Index failures by the record of the task."""
    return (failure.record_key,)
