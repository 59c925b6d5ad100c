"""Commits the starts of tasks and sends them to workers.

The commit of a start is conditional on the versions of the lease and of the records
of the task, the failure domain and the cell, which holds the worker's capacity. The
start command may be sent only within `START_WINDOW_S` after that transaction was
first sent, so no task starts later than that after a drain or a cancellation was
accepted. Each generation is sent at most once.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.cell import Cell, cell_record_key, domain_key
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    Conflicted,
    VersionedRow,
    Withdrawn,
    Write,
)
from bulrushpulley.entities.in_flight import CommitStart, InFlightSubmission
from bulrushpulley.entities.observe import Count, Observe
from bulrushpulley.entities.owner_times import (
    CLOCK_DRIFT_MARGIN_S,
    START_WINDOW_S,
    TASK_LEASE_S,
    WORKER_CALL_TIMEOUT_S,
)
from bulrushpulley.entities.records import JobRecord, Record, ServiceRecord
from bulrushpulley.entities.rows import RecordRow, TaskRow, TaskSpec, TaskState
from bulrushpulley.entities.step import Step
from bulrushpulley.entities.task import Cancel, Phase, Requeue, Task
from bulrushpulley.entities.worker import Worker
from bulrushpulley.entities.worker_calls import StartTask
from bulrushpulley.systems.cell import candidates as cell_candidates
from bulrushpulley.systems.cell import domains as cell_domains
from bulrushpulley.systems.cell import endings as cell_endings
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import send as cell_send
from bulrushpulley.systems.cell import stop as cell_stop
from bulrushpulley.systems.cell.outcomes import (
    handle_committed,
    handle_conflicted,
    handle_withdrawn,
)
from bulrushpulley.systems.cell.owner_events import CellStep

TASK_START_RETRY_DELAY_S = 1.0


def commit_start(
    tables: CellOwnerTables, cell: Cell, task: Task, worker_id: str, now: float
) -> CellOwnerTables:
    """Submit the start of a task's next generation on a worker."""
    row = replace(
        task.row,
        state=TaskState.STARTING,
        generation=task.row.generation + 1,
        worker_id=worker_id,
        reason="",
    )
    tables, _ = cell_send.submit(
        tables,
        purpose=CommitStart(task_key=task.key, row=row, worker_id=worker_id),
        cell=cell.name,
        conditions=start_conditions(tables, cell, task),
        writes=(Write(key=task.key, row=row),),
        now=now,
        give_up_after_s=START_WINDOW_S,
    )
    committing = replace(
        task,
        phase=Phase.COMMITTING,
        planned_worker=worker_id,
        skip_reason="",
        retry_at=0.0,
    )
    return cell_rows.put_task(tables, committing)


def start_conditions(
    tables: CellOwnerTables, cell: Cell, task: Task
) -> tuple[Condition, ...]:
    """Return the rows that must be unchanged for a start to commit."""
    spec = task.row.spec
    domain = domain_key(cell_rows.failure_domain_of(tables, cell.name))
    records = (domain, cell_record_key(cell.name))
    return (
        *cell_endings.fencing_conditions(cell, task),
        Condition(key=spec.record_key, version=spec.record_version),
        *(
            Condition(key=key, version=tables.records.by_key[key].version)
            for key in records
        ),
    )


@handle_committed.register
def _(
    purpose: CommitStart,
    in_flight: InFlightSubmission,
    outcome: Committed,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    task = tables.tasks.get(purpose.task_key)
    worker = tables.workers.get(purpose.worker_id)
    row = purpose.row
    if task is None or row is None or in_flight.first_sent_at is None:
        return Step(tables=tables)
    deadline = in_flight.first_sent_at + START_WINDOW_S
    started = replace(task, row=row, version=outcome.revision)
    if task.ending is not None:
        return Step(tables=cell_stop.end_task(tables, started, task.ending, now))
    not_sent_reason = _reason_not_to_send(tables, started, worker, deadline, now)
    if not_sent_reason or worker is None:
        requeue = Requeue(reason=not_sent_reason)
        return Step(tables=cell_stop.end_task(tables, started, requeue, now))
    sending = replace(
        started,
        phase=Phase.SENDING,
        since=now,
        settle_after=deadline + WORKER_CALL_TIMEOUT_S + CLOCK_DRIFT_MARGIN_S,
        lease_until=deadline + TASK_LEASE_S + CLOCK_DRIFT_MARGIN_S,
    )
    command = _start_command(sending, worker, deadline)
    commit_time = Observe(name="start_commit_s", seconds=now - in_flight.first_sent_at)
    start_count = Count(name="task_starts", label=task.cell)
    tables = cell_rows.put_task(tables, sending)
    return Step(tables=tables, commands=(command, commit_time, start_count))


def _reason_not_to_send(
    tables: CellOwnerTables,
    task: Task,
    worker: Worker | None,
    deadline: float,
    now: float,
) -> str:
    """Return why a committed start must not be sent, or the empty string."""
    if not may_send(deadline, now):
        return "the start window had passed at the commit"
    if not cell_domains.in_service(tables, tables.cells.by_key[task.cell]):
        return "its failure domain was taken out of service"
    if worker is None or not worker.present:
        return "its worker was taken out of the cell"
    held = cell_candidates.held_capacity(tables, worker.worker_id)
    if not held.fits(worker.capacity):
        return "its worker has lost capacity"
    return "the agent is leaving" if tables.leaving else ""


def may_send(deadline: float, now: float) -> bool:
    """Tell whether a start may still be sent; checked again right before sending."""
    return now <= deadline


def _start_command(task: Task, worker: Worker, deadline: float) -> StartTask:
    spec = task.row.spec
    return StartTask(
        worker_id=worker.worker_id,
        url=worker.url,
        not_after=deadline,
        task_key=task.key,
        task_id=spec.task_id,
        generation=task.row.generation,
        size=spec.size,
        lease_s=TASK_LEASE_S,
        run_s=spec.run_s,
        checkpoint=task.row.checkpoint,
        task_class=spec.task_class,
    )


@handle_withdrawn.register
def _(
    purpose: CommitStart,
    in_flight: InFlightSubmission,
    outcome: Withdrawn,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    task = tables.tasks.get(purpose.task_key)
    if task is None:
        return Step(tables=tables)
    later = replace(task, retry_at=now + TASK_START_RETRY_DELAY_S)
    return Step(tables=_return_to_waiting(tables, later, now))


@handle_conflicted.register
def _(
    purpose: CommitStart,
    in_flight: InFlightSubmission,
    outcome: Conflicted,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    task = tables.tasks.get(purpose.task_key)
    if task is None:
        return Step(tables=tables)
    tables = _return_to_waiting(tables, task, now)
    for found in outcome.rows:
        tables = cell_rows.adopt_record(found, tables, now)
        if found.key == purpose.task_key:
            tables = cell_rows.adopt_conflicting_task(found, tables, now)
    task = tables.tasks.get(purpose.task_key)
    for found in outcome.rows:
        if task is not None and found.key == task.row.spec.record_key:
            tables = _apply_newer_record(found, task, tables, now)
    return Step(tables=tables)


def _return_to_waiting(
    tables: CellOwnerTables, task: Task, now: float
) -> CellOwnerTables:
    waiting = replace(task, phase=Phase.WAITING, planned_worker="", ending=None)
    tables = cell_rows.put_task(tables, waiting)
    if task.ending is None:
        return tables
    return cell_stop.plan_ending(tables, waiting, task.ending, now)


def _apply_newer_record(
    found: VersionedRow, task: Task, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    record = found.row.record if isinstance(found.row, RecordRow) else None
    spec = refreshed_spec(record, task.row.spec, found.version) if record else None
    if spec is None:
        ending = Cancel(reason="its record was cancelled")
        return cell_stop.plan_ending(tables, task, ending, now)
    row = with_spec(task.row, spec)
    return cell_rows.put_task(tables, replace(task, row=row))


def with_spec(row: TaskRow, spec: TaskSpec) -> TaskRow:
    """Return a task row with the spec of a newer record."""
    return replace(row, spec=spec)


@singledispatch
def refreshed_spec(record: Record, spec: TaskSpec, version: int) -> TaskSpec | None:
    """Return the spec under a newer record, or None if the task is to be cancelled."""
    return None


@refreshed_spec.register
def _(record: JobRecord, spec: TaskSpec, version: int) -> TaskSpec | None:
    if record.cancelled or spec.index >= record.tasks:
        return None
    return replace(
        spec,
        record_version=version,
        size=record.size,
        run_s=record.run_s,
        priority=record.priority,
        urgent=record.urgent,
        max_attempts=record.max_attempts,
        failure_domains=record.failure_domains,
    )


@refreshed_spec.register
def _(record: ServiceRecord, spec: TaskSpec, version: int) -> TaskSpec | None:
    if spec.index >= record.replicas:
        return None
    return replace(
        spec,
        record_version=version,
        size=record.size,
        failure_domains=record.failure_domains,
    )
