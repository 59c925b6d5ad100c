"""Stores the row of this host: its address, and ends that no owner confirms.

Owners of the shard dial the address. Owner and agent have one link; behind a cut that
leaves the store reachable, the owner learns from the row which runs have ended. An end
never changes and run numbers are not reused, so a row may be read at any later time.

An order may be lost with the link as well. Once no full lease is permitted and the link
has ended, the agent takes no more orders of that adoption, and the row names the runs
that it has. It may only tell that after the complete orders of the adoption, as a start
that an earlier process of the agent sent may be carried out late.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import CONTACT_INTERVAL_S
from bulrushpulley.entities.jobs.job_agent_tables import (
    JOB_AGENT,
    JobAgentStep,
    JobAgentTables,
)
from bulrushpulley.entities.jobs.rows import HostRow
from bulrushpulley.entities.jobs.runs import RunEnd, RunRef
from bulrushpulley.entities.jobs.store import Purpose, Transact, Transacted
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.fitting import fitting
from bulrushpulley.systems.job_agent import edits, polling

REGISTER_TIMEOUT_S = 1.5
REGISTER_RETRY_DELAY_S = 0.4
# One missing contact may be due to a pause of the owner.
OWNER_SILENCE_TIMEOUT_S = 1.9 * CONTACT_INTERVAL_S
# Calls to the store are priced.
STORED_ENDS_INTERVAL_S = 1.0
# The store accepts rows of 65,536 bytes.
MAX_STORED_ENDS_BYTES = 32_768
MAX_STORED_RUNS = 300
# The numbers of an end and the framing of its fields.
END_OVERHEAD_BYTES = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisterHost(Purpose):
    """Writes the row of this host."""

    row: HostRow


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Write the row once, with retries, and again while its ends have changed."""
    if tables.registering or now < tables.register_retry_at:
        return Step(tables=tables)
    row = _row(tables, now)
    if row == tables.stored_row:
        return Step(tables=tables)
    call = Transact(
        role=JOB_AGENT,
        purpose=RegisterHost(row=row),
        timeout_s=REGISTER_TIMEOUT_S,
        conditions=(),
        puts=(_with_ages(tables, row, now),),
    )
    commands: list[Command] = [call]
    if tables.stored_row is not None:
        silent_s = now - tables.confirmed_at
        reason = (
            f"{len(row.ends)} ends, adoption {row.adoption}, {len(row.runs)} runs;"
            f" no owner confirms contacts for {silent_s:.1f} s"
        )
        commands.append(edits.log(tables, "ends.store", tables.host, row.life, reason))
    tables = replace(tables, registering=True)
    if row.adoption and row.epoch == tables.epoch:
        tables = replace(tables, closed_adoption=row.adoption)
    return Step(tables=tables, commands=tuple(commands))


def _row(tables: JobAgentTables, now: float) -> HostRow:
    """Return the row to store; it changes only while no owner confirms contacts."""
    stored = tables.stored_row
    if stored is None:
        return HostRow(
            host=tables.host,
            address=tables.address,
            failure_domain=tables.failure_domain,
            region=tables.region,
        )
    server = tables.server
    if server is None or now - tables.confirmed_at < OWNER_SILENCE_TIMEOUT_S:
        return stored
    unconfirmed = tuple(tables.ends[number] for number in sorted(tables.ends))
    ends = fitting_ends(unconfirmed)
    runs = tuple(sorted((run_.ref for run_ in tables.runs.rows()), key=_key))
    fits = ends == unconfirmed and len(runs) <= MAX_STORED_RUNS
    if fits and _takes_no_orders(tables, now):
        return replace(
            stored,
            life=server.life,
            ends=ends,
            epoch=tables.epoch,
            adoption=tables.adoption,
            runs=runs,
        )
    if not ends:
        return stored
    return replace(stored, life=server.life, ends=ends, epoch=0, adoption=0, runs=())


def _with_ages(tables: JobAgentTables, row: HostRow, now: float) -> HostRow:
    """Return a row as it is written; the ages of its ends are no reason to write it."""
    ends = tuple(edits.with_age(tables, end, now) for end in row.ends)
    return replace(row, ends=ends)


def _takes_no_orders(tables: JobAgentTables, now: float) -> bool:
    """Return whether the runs that the agent has are all that it will have.

    That needs the complete orders of a numbered adoption, and the end of its link.
    """
    has_all_orders = tables.orders_complete and bool(tables.adoption)
    may_start = bool(tables.owner) or polling.has_recent_contact(tables, now)
    return has_all_orders and not may_start


def _key(ref: RunRef) -> str:
    return ref.key


def fitting_ends(ends: Iterable[RunEnd]) -> tuple[RunEnd, ...]:
    """Return the first ends that fit into the row, without those too large for it."""
    return fitting(ends, _end_bytes, MAX_STORED_ENDS_BYTES)


def _end_bytes(end: RunEnd) -> int:
    text = f"{end.task_id}{end.how}{end.checkpoint}"
    return len(text.encode()) + END_OVERHEAD_BYTES


def handle_registration_answer(
    event: object, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Record the row that is stored, or schedule a retry."""
    tables = replace(tables, registering=False)
    is_first = tables.stored_row is None
    if isinstance(event, Transacted) and isinstance(event.purpose, RegisterHost):
        # An owner that reads the row for the first time has yet to dial.
        confirmed_at = now if is_first else tables.confirmed_at
        return Step(
            tables=replace(
                tables,
                stored_row=event.purpose.row,
                confirmed_at=confirmed_at,
                register_retry_at=now + STORED_ENDS_INTERVAL_S,
            )
        )
    delay_s = REGISTER_RETRY_DELAY_S if is_first else STORED_ENDS_INTERVAL_S
    return Step(tables=replace(tables, register_retry_at=now + delay_s))
