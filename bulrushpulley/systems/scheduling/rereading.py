"""Reads the tables of jobs and hosts again, a page at a time, and adds missed rows.

The second read of changes (`rechecking`) begins where the shard was loaded. A row that
the load itself has missed is found by comparing whole tables: all of them soon after
the load, then a page of jobs at a time, as each call and byte has a price.

A job that is missed may have run under a former owner. It is added with its progress,
which is read first, and only if its row is still there after that: the progress of a
purged job is removed after the row, so a row that is left has all its progress.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatch

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.rows import (
    HOSTS,
    JOBS,
    OWNED_PART,
    PROGRESS,
    JobRow,
    ProgressRow,
)
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    CompareTable,
    ConfirmMissedJobs,
    ReadMissedProgress,
    SchedulerStep,
    SchedulerTables,
    TenurePurpose,
)
from bulrushpulley.entities.jobs.store import (
    RangeRead,
    ReadRange,
    RereadState,
    StoredRow,
    WatchState,
)
from bulrushpulley.entities.jobs.task import HOLDING_STATES
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import (
    edits,
    loading,
    rechecking,
    restoring,
    watching,
)

FIRST_REREAD_DELAY_S = 0.5
REREAD_INTERVAL_BY_TABLE_S = Map({JOBS: 2.0, HOSTS: 30.0})
JOBS_PER_PAGE = 16
# Job ids are hexadecimal, and pages end at a value of their first two digits.
MAX_PAGES = 256
NO_PROGRESS: Map[str, ProgressRow] = Map()


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Send the reads that are due."""
    if not edits.is_loaded(tables):
        return Step(tables=tables)
    commands: list[Command] = []
    for table, interval_s in REREAD_INTERVAL_BY_TABLE_S.items():
        state = tables.reread_by_table.get(table)
        if state is None:
            state = RereadState(due_at=now + FIRST_REREAD_DELAY_S)
        elif not state.in_flight and now >= state.due_at:
            state = replace(state, in_flight=True, due_at=now + interval_s)
            purpose = CompareTable(table=table, epoch=tables.epoch)
            commands.append(_read(table, purpose, state))
        tables = _put(tables, table, state)
    return Step(tables=tables, commands=tuple(commands))


def _read(table: str, purpose: TenurePurpose, state: RereadState) -> ReadRange:
    return ReadRange(
        role=SCHEDULER,
        purpose=purpose,
        timeout_s=loading.LOAD_TIMEOUT_S,
        table=table,
        part=loading.PART_BY_TABLE[table],
        first=state.first,
        end=state.end,
    )


def _put(tables: SchedulerTables, table: str, state: RereadState) -> SchedulerTables:
    rereads = tables.reread_by_table.set(table, state)
    return replace(tables, reread_by_table=rereads)


@singledispatch
def handle_rows(
    purpose: TenurePurpose, event: RangeRead, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle the rows that were read for a purpose."""
    raise NotImplementedError(type(purpose).__name__)


@handle_rows.register
def _(
    purpose: CompareTable, event: RangeRead, tables: SchedulerTables, now: float
) -> SchedulerStep:
    table = purpose.table
    state = tables.reread_by_table.get(table)
    watch = tables.watch_by_table.get(table)
    if state is None or watch is None:
        return Step(tables=tables)
    missed = _missed_rows(event, table, watch, tables, now)
    if any(isinstance(stored.row, JobRow) for stored in missed):
        read = ReadRange(
            role=SCHEDULER,
            purpose=ReadMissedProgress(epoch=tables.epoch),
            timeout_s=loading.LOAD_TIMEOUT_S,
            table=PROGRESS,
            part=OWNED_PART,
        )
        return Step(tables=tables, commands=(read,))
    tables = _put(tables, table, _next_page(state, table, len(tables.jobs)))
    return _add(tuple(missed), table, watch, tables, now)


def _missed_rows(
    event: RangeRead,
    table: str,
    watch: WatchState,
    tables: SchedulerTables,
    now: float,
) -> list[StoredRow]:
    """Return the rows that the watch has passed and the tables lack."""
    if table == HOSTS and event.version < watch.after:
        # The watch may have read a later row of the same host.
        return []
    return [
        stored
        for stored in event.rows
        if stored.version <= watch.after
        and not stored.unreadable
        and rechecking.is_missed(stored, tables, now)
    ]


def _next_page(state: RereadState, table: str, jobs: int) -> RereadState:
    """Return the state for the next page; hosts have one, jobs some for their number.

    The first read after the load is of all jobs.
    """
    if table == HOSTS:
        return replace(state, in_flight=False)
    pages = min(MAX_PAGES, max(1, -(-jobs // JOBS_PER_PAGE)))
    page = (state.page + 1) % pages
    first, end = (number * MAX_PAGES // pages for number in (page, page + 1))
    return replace(
        state,
        in_flight=False,
        page=page,
        first=f"{first:02x}" if first else "",
        end=f"{end:02x}" if end < MAX_PAGES else "",
    )


@handle_rows.register
def _(
    purpose: ReadMissedProgress, event: RangeRead, tables: SchedulerTables, now: float
) -> SchedulerStep:
    state = tables.reread_by_table.get(JOBS)
    if state is None:
        return Step(tables=tables)
    rows = tuple(row for stored in event.rows if (row := _progress_of(stored)))
    confirm = ConfirmMissedJobs(epoch=tables.epoch, progress=rows)
    return Step(tables=tables, commands=(_read(JOBS, confirm, state),))


def _progress_of(stored: StoredRow) -> ProgressRow | None:
    return stored.row if isinstance(stored.row, ProgressRow) else None


@handle_rows.register
def _(
    purpose: ConfirmMissedJobs, event: RangeRead, tables: SchedulerTables, now: float
) -> SchedulerStep:
    state = tables.reread_by_table.get(JOBS)
    watch = tables.watch_by_table.get(JOBS)
    if state is None or watch is None:
        return Step(tables=tables)
    missed = _missed_rows(event, JOBS, watch, tables, now)
    missed_ids = {each.row.job_id for each in missed if isinstance(each.row, JobRow)}
    # A cancellation of a missed job counts only once the job is known.
    related = tuple(
        stored
        for stored in event.rows
        if stored in missed or getattr(stored.row, "job_id", "") in missed_ids
    )
    tables = _put(tables, JOBS, _next_page(state, JOBS, len(tables.jobs)))
    tables = restoring.keep_progress(tables, purpose.progress)
    step = _add(related, JOBS, watch, tables, now)
    tables = restoring.drop_progress(step.tables)
    return replace(step, tables=_with_hosts_unadopted(tables, missed_ids))


def _with_hosts_unadopted(
    tables: SchedulerTables, job_ids: Iterable[str]
) -> SchedulerTables:
    """Have the agents adopted again that may run tasks of jobs.

    They were told to stop these runs when they were adopted.
    """
    names = {
        task.host
        for job_id in job_ids
        for task in tables.tasks.rows_where("job", job_id)
        if task.state in HOLDING_STATES
    }
    for name in names:
        host = tables.hosts.get(name)
        if host is not None and host.peer:
            unadopted = replace(host, announced_epoch=0, synced=False)
            tables = edits.put_host(tables, unadopted)
    return tables


def _add(
    rows: tuple[StoredRow, ...],
    table: str,
    watch: WatchState,
    tables: SchedulerTables,
    now: float,
) -> SchedulerStep:
    if not rows:
        return Step(tables=tables)
    lines = rechecking.lines(tables, rows, watch.after)
    step = watching.apply_rows(rows, table, tables, now)
    return replace(step, commands=(*lines, *step.commands))


def handle_failed(table: str, tables: SchedulerTables) -> SchedulerStep:
    """Have the same page compared again after the interval."""
    state = tables.reread_by_table.get(table)
    if state is None:
        return Step(tables=tables)
    return Step(tables=_put(tables, table, replace(state, in_flight=False)))
