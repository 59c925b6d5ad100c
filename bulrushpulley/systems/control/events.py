"""Dispatches the controller's events and the outcomes that it waits for.

Modules of the controller register their handlers with these functions: `apply` by
the class of an event, `handle_committed`, `handle_conflicted` and `handle_given_up` by
the purpose of a submission, and `handle_rows` by the target of a read.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.commit import Committed, Conflicted, VersionedRow
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import Announce, CellSummary, Fetched
from bulrushpulley.entities.pending import Pending, Purpose, ReadTarget
from bulrushpulley.entities.step import Event, Step

ControllerStep = Step[ControllerTables]


@singledispatch
def apply(event: Event, tables: ControllerTables, now: float) -> ControllerStep:
    """Apply one event; events without a handler change nothing."""
    return Step(tables=tables)


@singledispatch
def can_wait(event: Event) -> bool:
    """Tell whether an event may wait for the next tick instead of causing one."""
    return False


@can_wait.register(Announce)
@can_wait.register(CellSummary)
def _(event: Event) -> bool:
    return True


@singledispatch
def handle_committed(
    purpose: Purpose,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    """Handle a submission that took effect."""
    return Step(tables=tables)


@singledispatch
def handle_conflicted(
    purpose: Purpose,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    """Handle a submission of which some conditions failed."""
    return Step(tables=tables)


@singledispatch
def handle_given_up(
    purpose: Purpose,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    """Handle a withdrawn or given up submission; if unsettled, it may take effect."""
    return Step(tables=tables)


@singledispatch
def handle_rows(
    target: ReadTarget,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    """Handle the rows of a read."""
    return Step(tables=tables)


def join_steps(first: ControllerStep, second: ControllerStep) -> ControllerStep:
    """Join two steps; the second must have started from the tables of the first."""
    return Step(tables=second.tables, commands=(*first.commands, *second.commands))
