"""Reports the end of a leaving router once every call was answered."""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.router_tables import RouterDone, RouterTables
from bulrushpulley.entities.step import Step


def run(tables: RouterTables, now: float) -> Step[RouterTables]:
    """Say once that nothing is left to finish."""
    if not tables.leaving or tables.done or tables.requests:
        return Step(tables=tables)
    return Step(tables=replace(tables, done=True), commands=(RouterDone(),))
