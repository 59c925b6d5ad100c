"""Applies the router's events; the other modules register a handler for each kind."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.entities.step import Event, Step


@singledispatch
def apply(event: Event, tables: RouterTables, now: float) -> Step[RouterTables]:
    """Apply one event; an event without a registered handler changes nothing."""
    return Step(tables=tables)
