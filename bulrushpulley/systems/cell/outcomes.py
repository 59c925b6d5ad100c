"""Applies the outcomes of submissions according to their purpose.

`handle_committed`, `handle_conflicted` and `handle_withdrawn` dispatch on the purpose;
the modules that submit register the implementations. After a conflict that shows
another owner of the cell, the cell is given up and nothing else is done.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.cell import HELD_PHASES, CellPhase, lease_key
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    Committed,
    Conflicted,
    Unsettled,
    VersionedRow,
    Withdrawn,
)
from bulrushpulley.entities.in_flight import InFlightSubmission, Purpose
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.cell import send as cell_send
from bulrushpulley.systems.cell.owner_events import CellStep, apply

FENCED_PHASES = HELD_PHASES | {CellPhase.RELEASING}


@singledispatch
def handle_committed(
    purpose: Purpose,
    in_flight: InFlightSubmission,
    outcome: Committed,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    """Apply a commit according to the purpose of the submission."""
    raise NotImplementedError(type(purpose).__name__)


@singledispatch
def handle_conflicted(
    purpose: Purpose,
    in_flight: InFlightSubmission,
    outcome: Conflicted,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    """Apply a conflict according to the purpose of the submission."""
    raise NotImplementedError(type(purpose).__name__)


@singledispatch
def handle_withdrawn(
    purpose: Purpose,
    in_flight: InFlightSubmission,
    outcome: Withdrawn,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    """Handle a submission that will never take effect, according to its purpose."""
    raise NotImplementedError(type(purpose).__name__)


@apply.register
def _(event: Committed, tables: CellOwnerTables, now: float) -> CellStep:
    in_flight = tables.submissions.get(event.submission_id)
    if in_flight is None:
        return Step(tables=tables)
    tables = _remove_submission(tables, in_flight)
    return handle_committed(in_flight.purpose, in_flight, event, tables, now)


@apply.register
def _(event: Conflicted, tables: CellOwnerTables, now: float) -> CellStep:
    in_flight = tables.submissions.get(event.submission_id)
    if in_flight is None:
        return Step(tables=tables)
    if names_other_owner(tables, in_flight, event):
        return lose_cell(tables, in_flight.cell, "another owner holds the lease")
    tables = _remove_submission(tables, in_flight)
    return handle_conflicted(in_flight.purpose, in_flight, event, tables, now)


@apply.register
def _(event: Withdrawn, tables: CellOwnerTables, now: float) -> CellStep:
    in_flight = tables.submissions.get(event.submission_id)
    if in_flight is None:
        return Step(tables=tables)
    if in_flight.may_take_effect:
        return Step(tables=cell_send.resubmit(tables, in_flight, now))
    tables = _remove_submission(tables, in_flight)
    return handle_withdrawn(in_flight.purpose, in_flight, event, tables, now)


@apply.register
def _(event: Unsettled, tables: CellOwnerTables, now: float) -> CellStep:
    in_flight = tables.submissions.get(event.submission_id)
    if in_flight is None:
        return Step(tables=tables)
    return Step(tables=cell_send.resubmit(tables, in_flight, now))


def names_other_owner(
    tables: CellOwnerTables, in_flight: InFlightSubmission, outcome: Conflicted
) -> bool:
    """Tell whether a conflict shows that the cell's lease has a new owner."""
    cell = tables.cells.get(in_flight.cell)
    if cell is None or cell.phase not in FENCED_PHASES:
        return False
    found = conflicting_row(outcome, lease_key(cell.name))
    return found is not None and found.version != cell.lease_version


def conflicting_row(outcome: Conflicted, key: str) -> VersionedRow | None:
    """Return the current row of `key` if its condition failed, or None."""
    return next((row for row in outcome.rows if row.key == key), None)


def lose_cell(tables: CellOwnerTables, name: str, reason: str) -> CellStep:
    """Drop all state of a cell, so that no further command is sent for it."""
    cell = tables.cells.get(name)
    if cell is None:
        return Step(tables=tables)
    tables = cell_send.drop_reads(tables, name)
    tasks, workers, submissions = tables.tasks, tables.workers, tables.submissions
    for key in list(tasks.keys_where("cell", name)):
        tasks = tasks.drop(key)
    for key in list(workers.keys_where("cell", name)):
        workers = workers.drop(key)
    for key in list(submissions.keys_where("cell", name)):
        submissions = submissions.drop(key)
    tables = replace(
        tables,
        cells=tables.cells.drop(name),
        tasks=tasks,
        workers=workers,
        submissions=submissions,
    )
    decision = Decision(
        kind="cell.lose", subject=name, chosen="", reason=reason, epoch=cell.epoch
    )
    return Step(tables=tables, commands=(decision,))


def _remove_submission(
    tables: CellOwnerTables, in_flight: InFlightSubmission
) -> CellOwnerTables:
    key = in_flight.submission.submission_id
    return replace(tables, submissions=tables.submissions.drop(key))
