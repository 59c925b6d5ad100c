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
    usage = tables.usage
    before = tables.cells.get(view.cell)
    for department, amount in uses_of(before) if before is not None else ():
        usage = usage.set(department, usage.get(department, NOTHING).minus(amount))
    for department, amount in uses_of(view):
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
    tables = put_cell(tables, with_summary(view, event, now))
    return Step(tables=replace(tables, offers=tables.offers.drop(event.cell)))


def _is_older(view: CellView, event: CellSummary) -> bool:
    known = view.summary
    return known is not None and event.epoch < known.epoch
