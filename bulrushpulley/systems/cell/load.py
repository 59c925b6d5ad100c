"""Reads the task rows of held cells and applies the rows of all reads.

An owned cell is read again every `TASK_REFETCH_INTERVAL_S`, which makes up for lost
messages.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatch

from bulrushpulley.entities.cell import HELD_PHASES, CellPhase, alive_key, lease_key
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.in_flight import (
    ReadLease,
    ReadOwnAlive,
    ReadOwnerAlive,
    ReadPurpose,
    ReadTasks,
)
from bulrushpulley.entities.link import Fetched
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.owner_times import TASK_REFETCH_INTERVAL_S
from bulrushpulley.entities.rows import AliveRow, RecordRow
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import send as cell_send
from bulrushpulley.systems.cell import watch as cell_watch
from bulrushpulley.systems.cell.owner_events import CellStep, apply


def refetch(tables: CellOwnerTables, now: float) -> CellStep:
    """Read the task rows of each held cell for which a read is due."""
    for cell in tables.cells.rows():
        if cell.phase in HELD_PHASES and now >= cell.refetch_at:
            tables = cell_send.read(
                tables,
                purpose=ReadTasks(cell=cell.name),
                prefix=f"task/{cell.name}/",
                since=cell.rows_since,
                now=now,
            )
    return Step(tables=tables)


@apply.register
def _(event: Fetched, tables: CellOwnerTables, now: float) -> CellStep:
    in_flight_read = tables.reads.get(event.fetch_id)
    if in_flight_read is None:
        return Step(tables=tables)
    tables = replace(tables, reads=tables.reads.drop(event.fetch_id))
    return handle_fetched(in_flight_read.purpose, event, tables, now)


@singledispatch
def handle_fetched(
    purpose: ReadPurpose, event: Fetched, tables: CellOwnerTables, now: float
) -> CellStep:
    """Apply the rows of a read according to its purpose."""
    raise NotImplementedError(type(purpose).__name__)


@handle_fetched.register
def _(
    purpose: ReadOwnAlive, event: Fetched, tables: CellOwnerTables, now: float
) -> CellStep:
    liveness = tables.liveness
    if event.failed or liveness.version is not None:
        return Step(tables=tables)
    found = _row_with_key(event, alive_key(tables.agent))
    row = found.row if found else None
    last = row if isinstance(row, AliveRow) else None
    renewals = last.renewals if last else 0
    version = found.version if found and row else 0
    liveness = replace(liveness, version=version, renewals=renewals, found=last)
    return Step(tables=replace(tables, liveness=liveness))


@handle_fetched.register
def _(
    purpose: ReadLease, event: Fetched, tables: CellOwnerTables, now: float
) -> CellStep:
    cell = tables.cells.get(purpose.cell)
    if cell is None or cell.phase is not CellPhase.WATCHING:
        return Step(tables=tables)
    if event.failed:
        return Step(tables=cell_watch.restart_watch(cell, tables))
    found = _row_with_key(event, lease_key(cell.name))
    return cell_watch.handle_lease_read(cell, found, tables, now)


@handle_fetched.register
def _(
    purpose: ReadOwnerAlive, event: Fetched, tables: CellOwnerTables, now: float
) -> CellStep:
    cell = tables.cells.get(purpose.cell)
    if cell is None or cell.phase is not CellPhase.WATCHING or cell.lease is None:
        return Step(tables=tables)
    if event.failed:
        return Step(tables=cell_watch.restart_watch(cell, tables))
    found = _row_with_key(event, alive_key(cell.lease.owner))
    return cell_watch.handle_owner_alive_read(cell, found, tables, now)


@handle_fetched.register
def _(
    purpose: ReadTasks, event: Fetched, tables: CellOwnerTables, now: float
) -> CellStep:
    cell = tables.cells.get(purpose.cell)
    if cell is None or cell.phase not in HELD_PHASES:
        return Step(tables=tables)
    if event.failed:
        later = replace(cell, refetch_at=now + 1.0)
        return Step(tables=cell_rows.put_cell(tables, later))
    complete = True
    for found in event.rows:
        tables, applied = cell_rows.adopt_task(found, tables, now)
        complete = complete and applied
    tables = _apply_records(event.rows, tables, now)
    return _handle_rows_read(purpose.cell, event, complete, tables, now)


def _apply_records(
    rows: Iterable[VersionedRow], tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    """Apply the records of task rows just read, as they may have changed before.

    An amendment made while the cell had no owner is not announced again.
    """
    tasks = (tables.tasks.get(found.key) for found in rows)
    for key in sorted({task.row.spec.record_key for task in tasks if task}):
        found = tables.records.get(key)
        if found is not None and isinstance(found.row, RecordRow):
            tables = cell_rows.handle_record(found.row.record, tables, now)
    return tables


def _handle_rows_read(
    name: str, event: Fetched, complete: bool, tables: CellOwnerTables, now: float
) -> CellStep:
    cell = tables.cells.by_key[name]
    loading = cell.phase is CellPhase.LOADING
    since = event.revision if complete else cell.rows_since
    owned = replace(
        cell,
        phase=CellPhase.OWNED,
        rows_since=since,
        refetch_at=now + TASK_REFETCH_INTERVAL_S,
        capacity_check_due=cell.capacity_check_due or loading,
    )
    tables = cell_rows.touch_cell(cell_rows.put_cell(tables, owned), name)
    commands: tuple[Command, ...] = ()
    if loading:
        reason = f"{len(event.rows)} task rows read"
        commands = (
            Decision(
                kind="cell.own",
                subject=name,
                chosen=tables.agent,
                reason=reason,
                epoch=cell.epoch,
            ),
        )
    return Step(tables=tables, commands=commands)


def _row_with_key(event: Fetched, key: str) -> VersionedRow | None:
    return next((row for row in event.rows if row.key == key), None)
