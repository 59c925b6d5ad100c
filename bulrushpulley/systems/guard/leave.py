"""Leaves gracefully: announces it, refuses new requests and finishes the others.

The guard stays for at least `MIN_LINGER_S`, so that requests from entries that have
not yet received the announcement are refused as not run rather than lost.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.guard_tables import GuardDone, GuardTables
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.guard.events import apply

MIN_LINGER_S = 1.0


@apply.register
def _(event: Leave, tables: GuardTables, now: float) -> Step[GuardTables]:
    if tables.leaving:
        return Step(tables=tables)
    return Step(tables=replace(tables, leaving=True, linger_until=now + MIN_LINGER_S))


def run(tables: GuardTables, now: float) -> Step[GuardTables]:
    """Report once that no request is left."""
    busy = tables.executions or now < tables.linger_until
    if not tables.leaving or tables.done or busy:
        return Step(tables=tables)
    return Step(tables=replace(tables, done=True), commands=(GuardDone(),))
