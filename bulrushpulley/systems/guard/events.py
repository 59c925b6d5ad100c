"""Applies the events of the guard; the modules beside it register the kinds."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.guard_tables import GuardTables
from bulrushpulley.entities.step import Event, Step


@singledispatch
def apply(event: Event, tables: GuardTables, now: float) -> Step[GuardTables]:
    """Apply one event; a kind that is not registered changes nothing."""
    return Step(tables=tables)
