"""Applies the guard's events; the other modules register a handler for each kind."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.guard_tables import GuardTables
from bulrushpulley.entities.step import Event, Step


@singledispatch
def apply(event: Event, tables: GuardTables, now: float) -> Step[GuardTables]:
    """Apply one event; an event without a registered handler changes nothing."""
    return Step(tables=tables)
