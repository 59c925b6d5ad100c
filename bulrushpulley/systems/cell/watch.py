"""Watches the cells offered to the agent and takes over those without a live owner.

An owner is live while its liveness row changes; clocks of different hosts are not
compared. The takeover transaction requires the rows to be unchanged since they were
read, so an owner that renewed in the meantime keeps its cell.
"""

from __future__ import annotations

from bulrushpulley.entities.cell import Cell, CellPhase, alive_key, lease_key
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    Conflicted,
    VersionedRow,
    Withdrawn,
    Write,
)
from bulrushpulley.entities.in_flight import (
    InFlightSubmission,
    ReadLease,
    ReadOwnerAlive,
    TakeCell,
)
from bulrushpulley.entities.numbers import are_amounts
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.owner_times import (
    CELL_TAKEOVER_TIMEOUT_S,
    CLOCK_DRIFT_MARGIN_S,
    LEASE_WATCH_INTERVAL_S,
    LIVENESS_RENEW_INTERVAL_S,
    TASK_LEASE_S,
)
from bulrushpulley.entities.rows import AliveRow, LeaseRow
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import send as cell_send
from bulrushpulley.systems.cell.outcomes import (
    handle_committed,
    handle_conflicted,
    handle_withdrawn,
)
from bulrushpulley.systems.cell.owner_events import CellStep


def watch(tables: CellOwnerTables, now: float) -> CellStep:
    """Read the lease rows of watched cells, once the agent's liveness is confirmed."""
    if tables.leaving or tables.liveness.confirmed_sent_at is None:
        return Step(tables=tables)
    for cell in tables.cells.rows():
        if cell.phase is CellPhase.WATCHING and now >= cell.next_watch_at:
            scheduled = replace(cell, next_watch_at=now + LEASE_WATCH_INTERVAL_S)
            tables = cell_rows.put_cell(tables, scheduled)
            tables = cell_send.read(
                tables,
                purpose=ReadLease(cell=cell.name),
                prefix=lease_key(cell.name),
                now=now,
            )
    return Step(tables=tables)


def handle_lease_read(
    cell: Cell, found: VersionedRow | None, tables: CellOwnerTables, now: float
) -> CellStep:
    """Take a cell without an owner, or read the liveness row of its owner."""
    row = found.row if found else None
    lease = row if isinstance(row, LeaseRow) else None
    version = found.version if found and lease else 0
    if version != cell.lease_version:
        cell = replace(cell, alive_version=None, lease_seen_at=now)
    cell = replace(cell, lease=lease, lease_version=version)
    tables = cell_rows.put_cell(tables, cell)
    if lease is None:
        return _take_cell(cell, (), now, "the cell has no owner", tables, now)
    former_end_at = _former_renewals_end_at(cell, lease, tables)
    if not lease.owner:
        reason = "the cell has no owner"
        return _take_cell(cell, (), former_end_at, reason, tables, now)
    if lease.owner == tables.agent:
        reason = "this agent was restarted"
        return _take_cell(cell, (), former_end_at, reason, tables, now)
    purpose = ReadOwnerAlive(cell=cell.name)
    key = alive_key(lease.owner)
    return Step(tables=cell_send.read(tables, purpose=purpose, prefix=key, now=now))


def handle_owner_alive_read(
    cell: Cell, found: VersionedRow | None, tables: CellOwnerTables, now: float
) -> CellStep:
    """Take the cell if its owner was restarted or has timed out.

    Watching ends when the liveness row has changed, which shows a live owner.
    """
    lease = cell.lease
    if lease is None:
        return Step(tables=tables)
    version = found.version if found else 0
    alive = Condition(key=alive_key(lease.owner), version=version)
    row = found.row if found else None
    former_end_at = _former_renewals_end_at(cell, lease, tables)
    if isinstance(row, AliveRow) and row.incarnation != lease.incarnation:
        reason = "the owner was restarted"
        return _take_cell(cell, (alive,), former_end_at, reason, tables, now)
    if cell.alive_version is None:
        cell = replace(cell, alive_version=version, alive_seen_at=now)
        return Step(tables=cell_rows.put_cell(tables, cell))
    if cell.alive_version != version:
        return Step(tables=replace(tables, cells=tables.cells.drop(cell.name)))
    if not owner_timed_out(cell, now):
        return Step(tables=tables)
    last_command_at = max(cell.alive_seen_at + lease.autonomy_s, former_end_at)
    reason = "the owner did not renew its liveness row"
    return _take_cell(cell, (alive,), last_command_at, reason, tables, now)


def _former_renewals_end_at(
    cell: Cell, lease: LeaseRow, tables: CellOwnerTables
) -> float:
    """Return until when owners before that of the lease row may renew task leases.

    The row says so, counted from its creation, which was before it was first seen.
    """
    renewals_for_s = lease.former_renewals_for_s
    if renewals_for_s is None or not are_amounts(renewals_for_s):
        # The row does not tell the autonomy of those owners, which is a setting.
        renewals_for_s = max(lease.autonomy_s, tables.autonomy_s)
    return cell.lease_seen_at + renewals_for_s - _owned_for_s(lease, tables)


def _owned_for_s(lease: LeaseRow, tables: CellOwnerTables) -> float:
    """Return how long an earlier process of this agent has owned a cell at least.

    The first renewal counted may have been in flight when the lease row was created,
    and the second may have followed at once.
    """
    last = tables.liveness.found
    if last is None or last.incarnation != lease.incarnation:
        return 0.0
    first_renewals = lease.alive_renewals
    if first_renewals is None or not are_amounts(first_renewals, last.renewals):
        return 0.0
    intervals = max(0, last.renewals - first_renewals - 2)
    return intervals * LIVENESS_RENEW_INTERVAL_S


def owner_timed_out(cell: Cell, now: float) -> bool:
    """Tell whether the liveness row has been unchanged for the takeover timeout."""
    return now - cell.alive_seen_at >= CELL_TAKEOVER_TIMEOUT_S


def restart_watch(cell: Cell, tables: CellOwnerTables) -> CellOwnerTables:
    """Restart the watch, as a store outage also keeps owners from renewing."""
    return cell_rows.put_cell(tables, replace(cell, alive_version=None))


def _take_cell(
    cell: Cell,
    conditions: tuple[Condition, ...],
    last_command_at: float,
    reason: str,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    """Submit the takeover of a cell.

    No previous owner renews a task lease after `last_command_at`.
    """
    lease = LeaseRow(
        owner=tables.agent,
        incarnation=tables.incarnation,
        epoch=cell.epoch + 1,
        autonomy_s=tables.autonomy_s,
        former_renewals_for_s=max(0.0, last_command_at - now),
        alive_renewals=tables.liveness.renewals,
    )
    key = lease_key(cell.name)
    leases_expired_at = last_command_at + TASK_LEASE_S + CLOCK_DRIFT_MARGIN_S
    tables = cell_rows.put_cell(tables, replace(cell, phase=CellPhase.TAKING))
    tables, _ = cell_send.submit(
        tables,
        purpose=TakeCell(cell=cell.name, leases_expired_at=leases_expired_at),
        cell=cell.name,
        conditions=(Condition(key=key, version=cell.lease_version), *conditions),
        writes=(Write(key=key, row=lease),),
        now=now,
    )
    decision = Decision(
        kind="cell.take",
        subject=cell.name,
        chosen=tables.agent,
        reason=reason,
        epoch=lease.epoch,
    )
    return Step(tables=tables, commands=(decision,))


@handle_committed.register
def _(
    purpose: TakeCell,
    in_flight: InFlightSubmission,
    outcome: Committed,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    cell = tables.cells.get(purpose.cell)
    lease = in_flight.submission.writes[0].row
    if cell is None or not isinstance(lease, LeaseRow):
        return Step(tables=tables)
    taken = replace(
        cell,
        phase=CellPhase.LOADING,
        lease=lease,
        lease_version=outcome.revision,
        taken_at=now,
        leases_expired_at=max(
            purpose.leases_expired_at, now + TASK_LEASE_S + CLOCK_DRIFT_MARGIN_S
        ),
        refetch_at=now,
    )
    tables = cell_rows.put_cell(cell_send.drop_reads(tables, cell.name), taken)
    return Step(tables=cell_rows.sync_workers(tables, taken, now))


@handle_conflicted.register
def _(
    purpose: TakeCell,
    in_flight: InFlightSubmission,
    outcome: Conflicted,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    return Step(tables=_return_to_watching(purpose, tables, now))


@handle_withdrawn.register
def _(
    purpose: TakeCell,
    in_flight: InFlightSubmission,
    outcome: Withdrawn,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    return Step(tables=_return_to_watching(purpose, tables, now))


def _return_to_watching(
    purpose: TakeCell, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    cell = tables.cells.get(purpose.cell)
    if cell is None:
        return tables
    watching = Cell(
        name=cell.name,
        phase=CellPhase.WATCHING,
        next_watch_at=now + LEASE_WATCH_INTERVAL_S,
    )
    return cell_rows.put_cell(tables, watching)
