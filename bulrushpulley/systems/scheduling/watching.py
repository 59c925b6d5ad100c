"""Watches the tables of accepted jobs and of agents' addresses."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.rows import HOSTS
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    RereadTable,
    SchedulerStep,
    SchedulerTables,
    WatchTable,
)
from bulrushpulley.entities.jobs.store import ReadRange, StoredRow, WatchState
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems import store_watch
from bulrushpulley.systems.scheduling import accepting, committing, edits, loading


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Send the watch calls that are due."""
    if not edits.is_loaded(tables):
        return Step(tables=tables)
    commands: list[Command] = []
    for table, state in tables.watch_by_table.items():
        if store_watch.due(state, now):
            purpose = WatchTable(table=table, epoch=tables.epoch)
            call = store_watch.call(state, role=SCHEDULER, purpose=purpose, table=table)
            sent = store_watch.with_call_sent(state, call, now)
            tables = _put(tables, table, sent)
            commands.append(call)
    return Step(tables=tables, commands=tuple(commands))


def _put(tables: SchedulerTables, table: str, state: WatchState) -> SchedulerTables:
    watches = tables.watch_by_table.set(table, state)
    return replace(tables, watch_by_table=watches)


def handle_table_rows(
    rows: tuple[StoredRow, ...],
    version: int,
    table: str,
    tables: SchedulerTables,
    now: float,
) -> SchedulerStep:
    """Add the rows of a table, whether from a watch or from a full read."""
    state = tables.watch_by_table.get(table)
    if state is None:
        return Step(tables=tables)
    tables = _put(tables, table, store_watch.with_changes_read(state, version))
    step = apply_rows(rows, table, tables, now)
    if not state.failed:
        return step
    resent = committing.handle_store_back(step.tables, state.sent_at, now)
    return Step(tables=resent.tables, commands=(*step.commands, *resent.commands))


def apply_rows(
    rows: tuple[StoredRow, ...], table: str, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Add rows of a table to the tables."""
    if table == HOSTS:
        return Step(tables=loading.handle_host_rows(tables, rows))
    return accepting.handle_rows(rows, tables, now)


def handle_history_lost(table: str, tables: SchedulerTables) -> SchedulerStep:
    """Read the complete table again; the watch then continues from its version."""
    read = ReadRange(
        role=SCHEDULER,
        purpose=RereadTable(table=table, epoch=tables.epoch),
        timeout_s=loading.LOAD_TIMEOUT_S,
        table=table,
        part=loading.PART_BY_TABLE[table],
    )
    return Step(tables=tables, commands=(read,))


def handle_watch_failed(
    table: str, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Schedule a retry of the watch."""
    state = tables.watch_by_table.get(table)
    if state is None:
        return Step(tables=tables)
    return Step(tables=_put(tables, table, store_watch.with_failed_call(state, now)))
