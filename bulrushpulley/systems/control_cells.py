"""Keeps the view of cells by their owners' summaries, and what departments use.

Every change of a cell's view goes through `put_cell`, which keeps the sums by
department in step with it.
"""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.cell_view import CellView, uses_of, with_summary
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import CellSummary
from bulrushpulley.entities.resources import NOTHING, Resources
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control_events import Controlled, apply


def put_cell(tables: ControllerTables, view: CellView) -> ControllerTables:
    """Return the tables with a cell's view and the departments' use renewed."""
    known = tables.cells.get(view.cell)
    before = uses_of(known) if known is not None else ()
    after = uses_of(view)
    usage = tables.usage
    if before != after:
        for department, amount in before:
            usage = usage.set(department, usage.get(department, NOTHING).minus(amount))
        for department, amount in after:
            usage = usage.set(department, usage.get(department, NOTHING).plus(amount))
    return replace(tables, cells=tables.cells.put(view.cell, view), usage=usage)


def used_by(tables: ControllerTables, department: str) -> Resources:
    """Return what a department uses and has reserved over all cells."""
    return tables.usage.get(department, NOTHING)


@apply.register
def _(event: CellSummary, tables: ControllerTables, now: float) -> Controlled:
    view = tables.cells.get(event.cell)
    if view is None:
        view = CellView(
            cell=event.cell, failure_domain=event.failure_domain, known_at=now
        )
    if _is_older(view, event):
        return Step(tables=tables)
    after = with_summary(view, event, now)
    if not after.free.fits(view.free) and not tables.room_seen:
        tables = replace(tables, room_seen=True)
    tables = put_cell(tables, after)
    if event.cell in tables.offers:
        tables = replace(tables, offers=tables.offers.drop(event.cell))
    return Step(tables=tables)


def _is_older(view: CellView, event: CellSummary) -> bool:
    known = view.summary
    return known is not None and event.epoch < known.epoch
