"""Applies the events of the router; the modules beside it register the kinds."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.entities.step import Event, Step


@singledispatch
def apply(event: Event, tables: RouterTables, now: float) -> Step[RouterTables]:
    """Apply one event; a kind that is not registered changes nothing."""
    return Step(tables=tables)
