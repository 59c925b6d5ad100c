"""Releases the cells of a stopping agent once none of its commands is in flight."""

from __future__ import annotations

from bulrushpulley.entities.cell import HELD_PHASES, Cell, CellPhase, lease_key
from bulrushpulley.entities.cell_owner_tables import CellOwnerDone, CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    Conflicted,
    Withdrawn,
    Write,
)
from bulrushpulley.entities.in_flight import InFlightSubmission, ReleaseCell
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.owner_times import (
    CLOCK_DRIFT_MARGIN_S,
    RELEASE_TIMEOUT_S,
    TASK_LEASE_S,
    WORKER_CALL_TIMEOUT_S,
)
from bulrushpulley.entities.rows import LeaseRow
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import Phase, phase_index
from bulrushpulley.systems.cell import outcomes as cell_outcomes
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import send as cell_send
from bulrushpulley.systems.cell.outcomes import (
    handle_committed,
    handle_conflicted,
    handle_withdrawn,
)
from bulrushpulley.systems.cell.owner_events import CellStep


def release(tables: CellOwnerTables, now: float) -> CellStep:
    """Release each held cell with nothing in flight.

    The agent is done when no cell is left, or when the release of those left has taken
    longer than `RELEASE_TIMEOUT_S`, as in a store outage.
    """
    if not tables.leaving or tables.released:
        return Step(tables=tables)
    for cell in tables.cells.rows():
        if cell.phase is CellPhase.WATCHING:
            tables = replace(tables, cells=tables.cells.drop(cell.name))
        elif not cell.release_by:
            releasing = replace(cell, release_by=now + RELEASE_TIMEOUT_S)
            tables = cell_rows.put_cell(tables, releasing)
        elif cell.phase in HELD_PHASES and has_nothing_in_flight(tables, cell, now):
            tables = _submit_release(tables, cell, now)
    overdue = all(0 < cell.release_by <= now for cell in tables.cells.rows())
    if len(tables.cells) and not overdue:
        return Step(tables=tables)
    tables = replace(tables, released=True)
    return Step(tables=tables, commands=(CellOwnerDone(),))


def has_nothing_in_flight(tables: CellOwnerTables, cell: Cell, now: float) -> bool:
    """Tell whether no command or write for a cell can still be in flight."""
    if tables.submissions.count_where("cell", cell.name):
        return False
    sending = phase_index(cell=cell.name, phase=Phase.SENDING)
    if tables.tasks.count_where("phase", sending):
        return False
    started_at = cell.release_by - RELEASE_TIMEOUT_S
    return now - started_at >= WORKER_CALL_TIMEOUT_S


def _submit_release(tables: CellOwnerTables, cell: Cell, now: float) -> CellOwnerTables:
    key = lease_key(cell.name)
    last_command_at = cell.leases_expired_at - TASK_LEASE_S - CLOCK_DRIFT_MARGIN_S
    lease = LeaseRow(
        owner="",
        incarnation="",
        epoch=cell.epoch,
        autonomy_s=tables.autonomy_s,
        former_renewals_for_s=max(0.0, last_command_at - now),
    )
    tables, _ = cell_send.submit(
        tables,
        purpose=ReleaseCell(cell=cell.name),
        cell=cell.name,
        conditions=(Condition(key=key, version=cell.lease_version),),
        writes=(Write(key=key, row=lease),),
        now=now,
    )
    return cell_rows.put_cell(tables, replace(cell, phase=CellPhase.RELEASING))


@handle_committed.register
def _(
    purpose: ReleaseCell,
    in_flight: InFlightSubmission,
    outcome: Committed,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    step = cell_outcomes.lose_cell(tables, purpose.cell, "released")
    commands: tuple[Command, ...] = (
        Decision(
            kind="cell.release", subject=purpose.cell, chosen="", reason="leaving"
        ),
    )
    return Step(tables=step.tables, commands=commands)


@handle_conflicted.register
def _(
    purpose: ReleaseCell,
    in_flight: InFlightSubmission,
    outcome: Conflicted,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    return cell_outcomes.lose_cell(tables, purpose.cell, "the lease has changed")


@handle_withdrawn.register
def _(
    purpose: ReleaseCell,
    in_flight: InFlightSubmission,
    outcome: Withdrawn,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    cell = tables.cells.get(purpose.cell)
    if cell is None:
        return Step(tables=tables)
    owned = replace(cell, phase=CellPhase.OWNED)
    return Step(tables=cell_rows.put_cell(tables, owned))
