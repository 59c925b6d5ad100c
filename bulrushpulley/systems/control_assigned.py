"""Handles the outcomes of assignments.

The room that was reserved is settled, or returned when nothing was assigned.
An assignment given up is safe to try anew: its conditions keep it from taking
effect once the new one has.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from bulrushpulley.entities.backlog import Phase
from bulrushpulley.entities.cell_view import settle_reservation, without_reservation
from bulrushpulley.entities.commit import Committed, Conflicted, VersionedRow
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import Assigned, Send
from bulrushpulley.entities.observe import Count, Observe
from bulrushpulley.entities.pending import AssignTasks, Pending
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.control_backlog import (
    PREFIX,
    defer,
    enqueue,
    note_rows,
)
from bulrushpulley.systems.control_cells import put_cell
from bulrushpulley.systems.control_events import (
    Controlled,
    on_commit,
    on_conflict,
    on_loss,
)
from bulrushpulley.systems.control_records import learn


@on_commit.register
def _(
    purpose: AssignTasks,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    submission = pending.submission
    for cell in {one.cell for one in purpose.placed}:
        view = tables.cells.by_key[cell]
        view = settle_reservation(view, submission.submission_id, now)
        tables = put_cell(tables, view)
    source = tables.waiting.get(purpose.source)
    tables = replace(tables, waiting=tables.waiting.drop(purpose.source))
    for write in submission.writes:
        if write.key.startswith(PREFIX) and write.row is not None:
            left = VersionedRow(key=write.key, version=outcome.revision, row=write.row)
            tables = note_rows(tables, (left,), now, first=True)
    commands = _told(tables, purpose, submission.submission_id, outcome.revision)
    department = purpose.placed[0].row.spec.department
    count = Count(name="tasks_assigned", label=department, by=len(purpose.placed))
    waited_s = now - source.seen_at if source is not None else 0.0
    waited = Observe(name="assign_wait", seconds=waited_s, label=department)
    return Step(tables=tables, commands=(*commands, count, waited))


def _told(
    tables: ControllerTables, purpose: AssignTasks, token: str, version: int
) -> tuple[Command, ...]:
    rows_by_cell: dict[str, list[VersionedRow]] = defaultdict(list)
    for one in purpose.placed:
        row = VersionedRow(key=one.key, version=version, row=one.row, token=token)
        rows_by_cell[one.cell].append(row)
    return tuple(
        Send(
            peer=tables.cells.by_key[cell].peer,
            item=Assigned(cell=cell, rows=tuple(rows)),
        )
        for cell, rows in rows_by_cell.items()
        if tables.cells.by_key[cell].peer in tables.links
    )


def _released(
    tables: ControllerTables, purpose: AssignTasks, submission_id: str
) -> ControllerTables:
    for cell in {one.cell for one in purpose.placed}:
        view = without_reservation(tables.cells.by_key[cell], submission_id)
        tables = put_cell(tables, view)
    return tables


@on_conflict.register
def _(
    purpose: AssignTasks,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    tables = _released(tables, purpose, pending.submission.submission_id)
    tables = learn(note_rows(tables, outcome.rows, now), outcome.rows)
    failed = {row.key for row in outcome.rows}
    waiting = tables.waiting.get(purpose.source)
    if waiting is None or waiting.phase is not Phase.ASSIGNING:
        return Step(tables=tables)
    if failed == {purpose.source}:
        return Step(tables=enqueue(tables, purpose.source, first=True))
    return Step(tables=defer(tables, waiting, now))


@on_loss.register
def _(
    purpose: AssignTasks,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    tables = _released(tables, purpose, pending.submission.submission_id)
    waiting = tables.waiting.get(purpose.source)
    if waiting is None:
        return Step(tables=tables)
    return Step(tables=defer(tables, waiting, now))
