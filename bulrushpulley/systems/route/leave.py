"""Reports that a leaving router has finished once all calls are answered."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.router_tables import RouterDone, RouterTables
from bulrushpulley.entities.step import Step


def run(tables: RouterTables, now: float) -> Step[RouterTables]:
    """Report once that no call is left."""
    if not tables.leaving or tables.done or tables.requests:
        return Step(tables=tables)
    return Step(tables=replace(tables, done=True), commands=(RouterDone(),))
