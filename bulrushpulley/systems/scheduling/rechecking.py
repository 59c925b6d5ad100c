"""Reads the changes of a table a second time, and adds the rows that were missed.

The watch of a table reads each change once. A job whose row was missed, by the watch
or by what handles its answers, would stand still until the next owner reads the shard.
A second read covers what the watch has read since the one before.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.rows import HOSTS, CancelRow, HostRow, JobRow
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    RecheckTable,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import (
    RecheckState,
    RowsChanged,
    StoredRow,
    Watch,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.lasting_states import first_lines, left_out
from bulrushpulley.systems.scheduling import (
    edits,
    host_rows,
    setting_aside,
    watching,
)
from bulrushpulley.systems.store_watch import RECHECK_INTERVAL_S, WATCH_ANSWER_TIMEOUT_S


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Send the second reads that are due."""
    if not edits.is_loaded(tables):
        return Step(tables=tables)
    commands: list[Command] = []
    for table, watch in tables.watch_by_table.items():
        state = tables.recheck_by_table.get(table)
        if state is None:
            state = RecheckState(after=watch.after, sent_at=now)
        elif not state.in_flight and now - state.sent_at >= RECHECK_INTERVAL_S:
            state = replace(state, in_flight=True, sent_at=now)
            commands.append(_call(tables, table, state.after, watch.after))
        tables = _put(tables, table, state)
    return Step(tables=tables, commands=tuple(commands))


def _call(tables: SchedulerTables, table: str, after: int, watched: int) -> Watch:
    return Watch(
        role=SCHEDULER,
        purpose=RecheckTable(table=table, epoch=tables.epoch, watched=watched),
        timeout_s=WATCH_ANSWER_TIMEOUT_S,
        table=table,
        after=after,
        wait_s=0.0,
    )


def _put(tables: SchedulerTables, table: str, state: RecheckState) -> SchedulerTables:
    rechecks = tables.recheck_by_table.set(table, state)
    return replace(tables, recheck_by_table=rechecks)


def handle_failed(table: str, tables: SchedulerTables) -> SchedulerStep:
    """Have the same changes read again after the interval."""
    state = tables.recheck_by_table.get(table)
    if state is None:
        return Step(tables=tables)
    return Step(tables=_put(tables, table, replace(state, in_flight=False)))


def handle_history_lost(table: str, tables: SchedulerTables) -> SchedulerStep:
    """Leave out the changes that the store has dropped, and go on with the next."""
    state = tables.recheck_by_table.get(table)
    watch = tables.watch_by_table.get(table)
    if state is None or watch is None:
        return Step(tables=tables)
    state = replace(state, in_flight=False, after=max(state.after, watch.after))
    line = edits.log(tables, "rows.unchecked", table, "", "their history is lost")
    return Step(tables=_put(tables, table, state), commands=(line,))


def handle_changes(
    event: RowsChanged, purpose: RecheckTable, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle the rows that the watch has passed and the tables lack."""
    table = purpose.table
    state = tables.recheck_by_table.get(table)
    watch = tables.watch_by_table.get(table)
    if state is None or watch is None:
        return Step(tables=tables)
    if table == HOSTS and event.version < watch.after:
        # The watch may have read a later row of the same host.
        return handle_failed(table, tables)
    after = max(state.after, min(event.version, purpose.watched))
    tables = _put(tables, table, replace(state, in_flight=False, after=after))
    missed: list[StoredRow] = []
    commands: list[Command] = []
    for stored in _newest(event.rows):
        if stored.version > watch.after or not is_missed(stored, tables, now):
            continue
        missed.append(stored)
        step = watching.apply_rows((stored,), table, tables, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(
        tables=tables, commands=(*lines(tables, missed, watch.after), *commands)
    )


def _newest(rows: Iterable[StoredRow]) -> list[StoredRow]:
    """Return the last change of each row, as an earlier one may be out of date.

    Cancellations come last: one is missed only if its job is known.
    """
    newest = {stored.key: stored for stored in rows}
    readable = [stored for stored in newest.values() if not stored.unreadable]
    return sorted(readable, key=lambda stored: type(stored.row) is CancelRow)


def is_missed(stored: StoredRow, tables: SchedulerTables, now: float) -> bool:
    """Return whether the tables lack what a row says.

    Those of jobs that are set aside lack it for a reason.
    """
    job_id = getattr(stored.row, "job_id", "")
    if setting_aside.is_set_aside(tables, job_id, now):
        return False
    return lacks(stored.row, stored, tables)


@singledispatch
def lacks(row: object, stored: StoredRow, tables: SchedulerTables) -> bool:
    """Return whether the tables lack what a row says; by default they do not."""
    return False


@lacks.register
def _(row: JobRow, stored: StoredRow, tables: SchedulerTables) -> bool:
    return row.job_id not in tables.jobs


@lacks.register
def _(row: CancelRow, stored: StoredRow, tables: SchedulerTables) -> bool:
    job = tables.jobs.get(row.job_id)
    return job is not None and not job.is_final


@lacks.register
def _(row: HostRow, stored: StoredRow, tables: SchedulerTables) -> bool:
    host = tables.hosts.get(row.host)
    if host is None or host.address != row.address:
        return True
    is_due = tables.unhandled_row_by_host.get(row.host) == row
    return not is_due and host_rows.tells_of_ends(tables, row)


@lacks.register
def _(row: None, stored: StoredRow, tables: SchedulerTables) -> bool:
    """Return whether the row of a host was dropped whose agent is still dialled."""
    host = tables.hosts.get(stored.key.key) if stored.key.table == HOSTS else None
    return host is not None and bool(host.address)


def lines(
    tables: SchedulerTables, missed: Sequence[StoredRow], watched: int
) -> list[Command]:
    """Return the lines that name missed rows, up to a bound."""
    logged = first_lines(missed)
    return [
        edits.log(
            tables,
            "books.differ",
            stored.key.key,
            "row",
            f"the watch has read up to {watched} and missed version {stored.version}"
            + (left_out(missed) if stored is logged[-1] else ""),
        )
        for stored in logged
    ]
