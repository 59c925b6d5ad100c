"""Renews the agent's liveness row, which covers all the cells that it owns.

The row also bounds the owner's autonomy: the owner renews task leases only for
`autonomy_s` after it sent the last renewal of the row that was confirmed.
"""

from __future__ import annotations

from bulrushpulley.entities.cell import alive_key
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables, Liveness
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
    ReadOwnAlive,
    RenewAlive,
)
from bulrushpulley.entities.owner_times import (
    CELL_TAKEOVER_TIMEOUT_S,
    LIVENESS_RENEW_INTERVAL_S,
)
from bulrushpulley.entities.rows import AliveRow
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.cell import outcomes as cell_outcomes
from bulrushpulley.systems.cell import send as cell_send
from bulrushpulley.systems.cell.outcomes import (
    handle_committed,
    handle_conflicted,
    handle_withdrawn,
)
from bulrushpulley.systems.cell.owner_events import CellStep


def autonomy_deadline(tables: CellOwnerTables) -> float:
    """Return the time until which the owner may send commands to its workers."""
    confirmed = tables.liveness.confirmed_sent_at
    return float("-inf") if confirmed is None else confirmed + tables.autonomy_s


def stop_deadline(tables: CellOwnerTables) -> float:
    """Return the time until which no other agent can have taken a cell.

    Stops may be sent only until then: an owner that was paused must not stop what
    its successor runs. Leases may be renewed for longer, which is harmless.
    """
    confirmed = tables.liveness.confirmed_sent_at
    earliest_takeover = (
        float("-inf") if confirmed is None else confirmed + CELL_TAKEOVER_TIMEOUT_S
    )
    return min(earliest_takeover, autonomy_deadline(tables))


def renew(tables: CellOwnerTables, now: float) -> CellStep:
    """Renew the liveness row when it is due and the agent has any cell."""
    liveness = tables.liveness
    if liveness.pending or not len(tables.cells) or now < liveness.renew_at:
        return Step(tables=tables)
    key = alive_key(tables.agent)
    if liveness.version is None:
        purpose = ReadOwnAlive()
        return Step(tables=cell_send.read(tables, purpose=purpose, prefix=key, now=now))
    renewals = liveness.renewals + 1
    row = AliveRow(
        agent=tables.agent, incarnation=tables.incarnation, renewals=renewals
    )
    tables, pending = cell_send.submit(
        tables,
        purpose=RenewAlive(renewals=renewals),
        cell="",
        conditions=(Condition(key=key, version=liveness.version),),
        writes=(Write(key=key, row=row),),
        now=now,
    )
    liveness = replace(
        liveness, pending=pending, renew_at=now + LIVENESS_RENEW_INTERVAL_S
    )
    return Step(tables=replace(tables, liveness=liveness))


@handle_committed.register
def _(
    purpose: RenewAlive,
    in_flight: InFlightSubmission,
    outcome: Committed,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    liveness = replace(
        tables.liveness,
        version=outcome.revision,
        renewals=purpose.renewals,
        pending="",
        confirmed_sent_at=in_flight.first_sent_at,
    )
    return Step(tables=replace(tables, liveness=liveness))


@handle_withdrawn.register
def _(
    purpose: RenewAlive,
    in_flight: InFlightSubmission,
    outcome: Withdrawn,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    liveness = replace(tables.liveness, pending="", renew_at=now + 1.0)
    return Step(tables=replace(tables, liveness=liveness))


@handle_conflicted.register
def _(
    purpose: RenewAlive,
    in_flight: InFlightSubmission,
    outcome: Conflicted,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    found = cell_outcomes.conflicting_row(outcome, alive_key(tables.agent))
    if tables.liveness.confirmed_sent_at is not None and _is_other_incarnation(
        found, tables
    ):
        return _give_up_all_cells(tables)
    version = found.version if found else None
    liveness = replace(tables.liveness, version=version, pending="", renew_at=now)
    return Step(tables=replace(tables, liveness=liveness))


def _is_other_incarnation(found: VersionedRow | None, tables: CellOwnerTables) -> bool:
    row = found.row if found else None
    return isinstance(row, AliveRow) and row.incarnation != tables.incarnation


def _give_up_all_cells(tables: CellOwnerTables) -> CellStep:
    """Give up every cell, as a newer process with this agent's name renews the row."""
    commands: tuple[Command, ...] = ()
    for name in sorted(tables.cells):
        step = cell_outcomes.lose_cell(tables, name, "a newer incarnation is running")
        tables, commands = step.tables, commands + step.commands
    liveness = Liveness(renew_at=float("inf"))
    tables = replace(tables, liveness=liveness, leaving=True)
    return Step(tables=tables, commands=commands)
