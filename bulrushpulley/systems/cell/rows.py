"""Applies rows written by other processes: configuration, tasks and their records.

The version of a row only increases; a row not newer than the known one is ignored.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.cell import HELD_PHASES, Cell, cell_record_key
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.owner_times import (
    CLOCK_DRIFT_MARGIN_S,
    START_WINDOW_S,
    TASK_LEASE_S,
    WORKER_CALL_TIMEOUT_S,
)
from bulrushpulley.entities.records import CellRecord, FailureDomainRecord, Record
from bulrushpulley.entities.resources import NO_RESOURCES
from bulrushpulley.entities.rows import RecordRow, TaskRow, TaskState
from bulrushpulley.entities.step import Step
from bulrushpulley.entities.task import Phase, Task
from bulrushpulley.entities.worker import Worker, worker_from_record

RECORD_PREFIXES = (
    "record/cell/",
    "record/failure_domain/",
    "record/policy/",
    "record/service/",
)
START_SETTLE_TIME_S = START_WINDOW_S + WORKER_CALL_TIMEOUT_S + CLOCK_DRIFT_MARGIN_S


def adopt_record(
    found: VersionedRow, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    """Store a newer configuration record and apply its consequences."""
    known = tables.records.get(found.key)
    if not found.key.startswith(RECORD_PREFIXES):
        return tables
    if not found.version:
        return replace(tables, records=tables.records.drop(found.key))
    if known is not None and known.version >= found.version:
        return tables
    tables = replace(tables, records=tables.records.put(found.key, found))
    if isinstance(found.row, RecordRow):
        return handle_record(found.row.record, tables, now)
    return tables


@singledispatch
def handle_record(
    record: Record, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    """Apply the consequences of a record; by default there are none."""
    return tables


@handle_record.register
def _(record: CellRecord, tables: CellOwnerTables, now: float) -> CellOwnerTables:
    cell = tables.cells.get(record.name)
    return sync_workers(tables, cell, now) if cell else tables


@handle_record.register
def _(
    record: FailureDomainRecord, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    for cell in tables.cells.rows():
        if failure_domain_of(tables, cell.name) == record.name:
            tables = touch_cell(tables, cell.name)
    return tables


def cell_record(tables: CellOwnerTables, cell: str) -> CellRecord | None:
    """Return the record of a cell, if it is known."""
    found = tables.records.get(cell_record_key(cell))
    if found is None or not isinstance(found.row, RecordRow):
        return None
    record = found.row.record
    return record if isinstance(record, CellRecord) else None


def failure_domain_of(tables: CellOwnerTables, cell: str) -> str:
    """Return the failure domain of a cell, or the empty string."""
    record = cell_record(tables, cell)
    return record.failure_domain if record else ""


def touch_cell(tables: CellOwnerTables, name: str) -> CellOwnerTables:
    """Mark a cell for placement and a new summary, as its state has changed."""
    cell = tables.cells.get(name)
    if cell is None or (cell.place_due and cell.summary_due):
        return tables
    return put_cell(tables, replace(cell, place_due=True, summary_due=True))


def put_cell(tables: CellOwnerTables, cell: Cell) -> CellOwnerTables:
    """Insert or replace one cell."""
    return replace(tables, cells=tables.cells.put(cell.name, cell))


def put_task(tables: CellOwnerTables, task: Task) -> CellOwnerTables:
    """Insert or replace one task and touch its cell."""
    tables = replace(tables, tasks=tables.tasks.put(task.key, task))
    return touch_cell(tables, task.cell)


def drop_task(tables: CellOwnerTables, task: Task) -> CellOwnerTables:
    """Drop one task and touch its cell."""
    tables = replace(tables, tasks=tables.tasks.drop(task.key))
    return touch_cell(tables, task.cell)


def put_worker(tables: CellOwnerTables, worker: Worker) -> CellOwnerTables:
    """Insert or replace one worker."""
    return replace(tables, workers=tables.workers.put(worker.worker_id, worker))


def sync_workers(tables: CellOwnerTables, cell: Cell, now: float) -> CellOwnerTables:
    """Update a held cell's workers from its record.

    A worker that the record no longer names gets no capacity, and is kept while tasks
    may be running on it.
    """
    record = cell_record(tables, cell.name)
    if record is None or cell.phase not in HELD_PHASES:
        return tables
    named = {worker.worker_id: worker for worker in record.workers}
    for worker in tables.workers.rows_where("cell", cell.name):
        if worker.worker_id not in named:
            removed = replace(worker, present=False, capacity=NO_RESOURCES)
            tables = put_worker(tables, removed)
    for worker_id, worker_record in named.items():
        fresh = worker_from_record(worker_record, cell=cell.name, now=now)
        known = tables.workers.get(worker_id)
        if known is not None and known.cell != cell.name:
            continue
        if known is not None:
            fresh = replace(
                known,
                url=worker_record.url,
                rack=worker_record.rack,
                capacity=worker_record.capacity,
                present=True,
            )
        tables = put_worker(tables, fresh)
    tables = put_cell(
        tables, replace(tables.cells.by_key[cell.name], capacity_check_due=True)
    )
    return touch_cell(tables, cell.name)


def remove_absent_workers(tables: CellOwnerTables, now: float) -> Step[CellOwnerTables]:
    """Drop workers that no record names, once no task can be running on them.

    A worker that moved between two cells of this agent is then added to the new one.
    """
    for worker in tables.workers.rows():
        busy = tables.tasks.count_where("worker", worker.worker_id)
        if worker.present or busy:
            continue
        workers = tables.workers.drop(worker.worker_id)
        tables = replace(tables, workers=workers)
        for cell in tables.cells.rows():
            tables = sync_workers(tables, cell, now)
    return Step(tables=tables)


def adopt_conflicting_task(
    found: VersionedRow, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    """Apply the task row that a conflict returned; an absent row drops the task."""
    task = tables.tasks.get(found.key)
    if found.row is None:
        return drop_task(tables, task) if task else tables
    tables, _ = adopt_task(found, tables, now)
    return tables


def adopt_task(
    found: VersionedRow, tables: CellOwnerTables, now: float
) -> tuple[CellOwnerTables, bool]:
    """Apply a newer task row of a held cell.

    The second value is False if the row was skipped because a submission that changes
    it is in flight; the row must then be read again.
    """
    cell = tables.cells.get(found.key.split("/", 2)[1])
    if cell is None or cell.phase not in HELD_PHASES:
        return tables, True
    task = tables.tasks.get(found.key)
    if task is not None and task.version >= found.version:
        return tables, True
    if task is not None and task.phase in (Phase.COMMITTING, Phase.WRITING):
        return tables, False
    if not isinstance(found.row, TaskRow):
        return (drop_task(tables, task) if task else tables), True
    if task is not None and _is_same_run(task, found.row):
        return put_task(tables, replace(task, version=found.version)), True
    fresh = task_of(found.key, found.row, found.version, cell, now)
    return put_task(_ensure_worker(tables, fresh, now), fresh), True


def _is_same_run(task: Task, row: TaskRow) -> bool:
    return task.phase is not Phase.WAITING and task.row.generation == row.generation


def task_of(key: str, row: TaskRow, version: int, cell: Cell, now: float) -> Task:
    """Return the task of a stored row; a started task may still be running."""
    waiting = row.state is TaskState.WAITING
    latest_expiry = now + START_WINDOW_S + TASK_LEASE_S + CLOCK_DRIFT_MARGIN_S
    return Task(
        key=key,
        cell=cell.name,
        row=row,
        version=version,
        phase=Phase.WAITING if waiting else Phase.UNKNOWN,
        since=now,
        settle_after=now + START_SETTLE_TIME_S,
        lease_until=max(cell.leases_expired_at, latest_expiry),
    )


def _ensure_worker(tables: CellOwnerTables, task: Task, now: float) -> CellOwnerTables:
    worker_id = task.worker_id
    if not worker_id or worker_id in tables.workers:
        return tables
    absent = Worker(
        worker_id=worker_id,
        cell=task.cell,
        url="",
        rack="",
        capacity=NO_RESOURCES,
        present=False,
        answered_at=now,
    )
    return put_worker(tables, absent)
