"""Maintains the views of cells by their owners' summaries, and departments' usage.

Every change of a cell's view goes through `put_cells`, which keeps the sums by
department consistent with it.
"""

from __future__ import annotations

from collections.abc import Iterable

from pyrsistent import PMap

from bulrushpulley.entities.cell_view import CellView, usage_by_department, with_summary
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import CellSummary
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control.events import ControllerStep, apply


def put_cells(tables: ControllerTables, views: Iterable[CellView]) -> ControllerTables:
    """Return the tables with the given views and the departments' usage updated."""
    cells, usage = tables.cells, tables.usage
    for view in views:
        usage = _with_updated_usage(usage, cells.get(view.cell), view)
        cells = cells.put(view.cell, view)
    return replace(tables, cells=cells, usage=usage)


def _with_updated_usage(
    usage: PMap[str, Resources], known: CellView | None, view: CellView
) -> PMap[str, Resources]:
    before = usage_by_department(known) if known is not None else ()
    after = usage_by_department(view)
    same = 0
    for old, new in zip(before, after, strict=False):
        if old != new:
            break
        same += 1
    for department, amount in before[same:]:
        usage = usage.set(department, usage.get(department, NO_RESOURCES).minus(amount))
    for department, amount in after[same:]:
        usage = usage.set(department, usage.get(department, NO_RESOURCES).plus(amount))
    return usage


def used_by(tables: ControllerTables, department: str) -> Resources:
    """Return what a department uses and has reserved over all cells."""
    return tables.usage.get(department, NO_RESOURCES)


@apply.register
def _(event: CellSummary, tables: ControllerTables, now: float) -> ControllerStep:
    view = tables.cells.get(event.cell)
    if view is None:
        view = CellView(
            cell=event.cell, failure_domain=event.failure_domain, first_seen_at=now
        )
    if _is_older(view, event):
        return Step(tables=tables)
    after = with_summary(view, event, now)
    if not after.free.fits(view.free) and not tables.capacity_freed:
        tables = replace(tables, capacity_freed=True)
    tables = put_cells(tables, (after,))
    if event.cell in tables.offers:
        tables = replace(tables, offers=tables.offers.drop(event.cell))
    return Step(tables=tables)


def _is_older(view: CellView, event: CellSummary) -> bool:
    known = view.summary
    return known is not None and event.epoch < known.epoch
