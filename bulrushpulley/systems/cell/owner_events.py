"""Dispatches the events of the cell owner through `apply`.

Link items are applied here. Outcomes of submissions are applied in `outcomes`, those
of reads in `load`, and those of worker calls in `reports` and `throttle`.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.cell import HELD_PHASES, Cell, CellPhase
from bulrushpulley.entities.cell_owner_tables import (
    CellOwnerTables,
    LinkedEntry,
    RecordCancellation,
)
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.link import (
    Assigned,
    Configured,
    JobCancelled,
    LinkDown,
    LinkUp,
    Offer,
)
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import send as cell_send

CellStep = Step[CellOwnerTables]


@singledispatch
def apply(event: Event, tables: CellOwnerTables, now: float) -> CellStep:
    """Apply one event; kinds that the cell owner does not handle are ignored."""
    return Step(tables=tables)


@apply.register
def _(event: LinkUp, tables: CellOwnerTables, now: float) -> CellStep:
    entry = LinkedEntry(peer=event.peer, region=event.region)
    cells = tables.cells
    for cell in cells.rows():
        cells = cells.put(cell.name, replace(cell, summary_due=True, summary=None))
    entries = tables.entries.put(event.peer, entry)
    return Step(tables=replace(tables, entries=entries, cells=cells))


@apply.register
def _(event: LinkDown, tables: CellOwnerTables, now: float) -> CellStep:
    tables = replace(tables, entries=tables.entries.drop(event.peer))
    return Step(tables=cell_send.requeue_for_peer(tables, event.peer, now))


@apply.register
def _(event: Configured, tables: CellOwnerTables, now: float) -> CellStep:
    for found in event.rows:
        tables = cell_rows.adopt_record(found, tables, now)
    if event.base <= tables.revision:
        revision = max(tables.revision, event.revision)
        tables = replace(tables, revision=revision)
    return Step(tables=tables)


@apply.register
def _(event: Offer, tables: CellOwnerTables, now: float) -> CellStep:
    if tables.leaving or event.cell in tables.cells:
        return Step(tables=tables)
    cell = Cell(name=event.cell, phase=CellPhase.WATCHING, next_watch_at=now)
    return Step(tables=replace(tables, cells=tables.cells.put(cell.name, cell)))


@apply.register
def _(event: Assigned, tables: CellOwnerTables, now: float) -> CellStep:
    cell = tables.cells.get(event.cell)
    if cell is None or cell.phase not in HELD_PHASES:
        return Step(tables=tables)
    for found in event.rows:
        tables, _ = cell_rows.adopt_task(found, tables, now)
    return Step(tables=tables)


@apply.register
def _(event: JobCancelled, tables: CellOwnerTables, now: float) -> CellStep:
    key = f"record/job/{event.job}"
    if not tables.tasks.count_where("record", key):
        return Step(tables=tables)
    cancellations = tables.cancellations.put(key, RecordCancellation(record_key=key))
    return Step(tables=replace(tables, cancellations=cancellations))
