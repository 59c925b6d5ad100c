"""Handles the outcomes of assignments.

The reservations are marked as committed, or released if nothing was assigned. It
is safe to retry an assignment that was given up: its conditions keep it from
taking effect once the new one has.
"""

from __future__ import annotations

from collections import defaultdict

from bulrushpulley.entities.backlog import Phase, WaitingRow
from bulrushpulley.entities.cell_view import (
    CellView,
    mark_reservation_committed,
    without_reservation,
)
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import Committed, Conflicted, VersionedRow
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import Assigned, Send
from bulrushpulley.entities.observe import Count, Observe
from bulrushpulley.entities.pending import AssignTasks, Pending
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.control.backlog import (
    BACKLOG_PREFIX,
    defer,
    enqueue,
    handle_backlog_rows,
)
from bulrushpulley.systems.control.cells import put_cells
from bulrushpulley.systems.control.events import (
    ControllerStep,
    handle_committed,
    handle_conflicted,
    handle_given_up,
)
from bulrushpulley.systems.control.records import update_records


@handle_committed.register
def _(
    purpose: AssignTasks,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    submission = pending.submission
    tables = put_cells(
        tables,
        [
            mark_reservation_committed(view, submission.submission_id, now)
            for view in _cell_views(tables, purpose)
        ],
    )
    waited_s = _longest_wait_s(tables, purpose, now)
    waiting = tables.waiting
    for source in purpose.sources:
        waiting = waiting.drop(source)
    tables = replace(tables, waiting=waiting)
    for write in submission.writes:
        if write.key.startswith(BACKLOG_PREFIX) and write.row is not None:
            remainder = VersionedRow(
                key=write.key, version=outcome.revision, row=write.row
            )
            tables = handle_backlog_rows(tables, (remainder,), now, at_front=True)
    commands = _notify_owners(
        tables, purpose, submission.submission_id, outcome.revision
    )
    department = purpose.placed[0].row.spec.department
    count = Count(name="tasks_assigned", label=department, by=len(purpose.placed))
    waited = Observe(name="assign_wait", seconds=waited_s, label=department)
    return Step(tables=tables, commands=(*commands, count, waited))


def _notify_owners(
    tables: ControllerTables, purpose: AssignTasks, token: str, version: int
) -> tuple[Command, ...]:
    rows_by_cell: dict[str, list[VersionedRow]] = defaultdict(list)
    for task in purpose.placed:
        row = VersionedRow(key=task.key, version=version, row=task.row, token=token)
        rows_by_cell[task.cell].append(row)
    return tuple(
        Send(
            peer=tables.cells.by_key[cell].peer,
            item=Assigned(cell=cell, rows=tuple(rows)),
        )
        for cell, rows in rows_by_cell.items()
        if tables.cells.by_key[cell].peer in tables.links
    )


def _release_reservations(
    tables: ControllerTables, purpose: AssignTasks, submission_id: str
) -> ControllerTables:
    views = _cell_views(tables, purpose)
    return put_cells(
        tables, [without_reservation(view, submission_id) for view in views]
    )


def _cell_views(tables: ControllerTables, purpose: AssignTasks) -> list[CellView]:
    cells = dict.fromkeys(task.cell for task in purpose.placed)
    return [tables.cells.by_key[cell] for cell in cells]


@handle_conflicted.register
def _(
    purpose: AssignTasks,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    tables = _release_reservations(tables, purpose, pending.submission.submission_id)
    tables = update_records(
        handle_backlog_rows(tables, outcome.rows, now), outcome.rows
    )
    failed_keys = {row.key for row in outcome.rows}
    record_key_by_job = {
        task.row.spec.job: task.row.spec.record_key for task in purpose.placed
    }
    for source in reversed(_still_assigning(tables, purpose)):
        record_key = record_key_by_job.get(source.row.spec.job)
        task_taken = any(key.startswith("task/") for key in failed_keys)
        if record_key in failed_keys or task_taken:
            tables = defer(tables, source, now)
        else:
            tables = enqueue(tables, source.key, at_front=True)
    return Step(tables=tables)


def _still_assigning(
    tables: ControllerTables, purpose: AssignTasks
) -> tuple[WaitingRow, ...]:
    rows = (tables.waiting.get(key) for key in purpose.sources)
    return tuple(
        row for row in rows if row is not None and row.phase is Phase.ASSIGNING
    )


def _longest_wait_s(
    tables: ControllerTables, purpose: AssignTasks, now: float
) -> float:
    rows = _still_assigning(tables, purpose)
    return max((now - row.first_seen_at for row in rows), default=0.0)


@handle_given_up.register
def _(
    purpose: AssignTasks,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    tables = _release_reservations(tables, purpose, pending.submission.submission_id)
    for source in _still_assigning(tables, purpose):
        tables = defer(tables, source, now)
    return Step(tables=tables)
