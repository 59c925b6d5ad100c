"""Reads a shard that was just taken over and starts to watch its tables."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import Host, ServerState
from bulrushpulley.entities.jobs.rows import (
    HARMS,
    HOSTS,
    INTAKE_PART,
    JOBS,
    OWNED_PART,
    PROGRESS,
    HostRow,
    ProgressRow,
)
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    LoadTable,
    Owning,
    ReadRetry,
    ReadWallClock,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import (
    RangeRead,
    ReadRange,
    StoredRow,
    WatchState,
)
from bulrushpulley.entities.resources import NO_RESOURCES
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.table import Table
from bulrushpulley.systems.exponential_backoff import exponential_delay_s
from bulrushpulley.systems.scheduling import (
    accepting,
    edits,
    interference,
    renewals,
    restoring,
)

# Enough for a few hundred rows from a store that is 100 times slower than usual.
LOAD_TIMEOUT_S = 6.0
# An answer that is lost must not take up the time in which a job may stand still. Each
# repeated read of a table has twice the time, up to `LOAD_TIMEOUT_S`.
FIRST_LOAD_TIMEOUT_S = 0.6
LOAD_RETRY_DELAY_S = 0.05
PART_BY_TABLE = {
    JOBS: INTAKE_PART,
    PROGRESS: OWNED_PART,
    HOSTS: "",
    HARMS: OWNED_PART,
}
# Progress is needed when the jobs it belongs to are created, so it is read first.
LOAD_ORDER = (PROGRESS, HOSTS, HARMS, JOBS)


def start_loading(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Start to read the tables of the shard."""
    owning = tables.leadership
    if not isinstance(owning, Owning):
        return Step(tables=tables)
    loading = replace(owning, loading=frozenset(LOAD_ORDER))
    reads: tuple[Command, ...] = (
        ReadWallClock(role=SCHEDULER),
        _read(PROGRESS, tables),
        _read(HOSTS, tables),
        _read(HARMS, tables),
    )
    return Step(tables=replace(tables, leadership=loading), commands=reads)


def _read(table: str, tables: SchedulerTables, failures: int = 0) -> ReadRange:
    timeout_s = exponential_delay_s(
        min_delay_s=FIRST_LOAD_TIMEOUT_S,
        max_delay_s=LOAD_TIMEOUT_S,
        doublings=failures,
    )
    return ReadRange(
        role=SCHEDULER,
        purpose=LoadTable(table=table, epoch=tables.epoch, failures=failures),
        timeout_s=timeout_s,
        table=table,
        part=PART_BY_TABLE[table],
    )


def handle_table_loaded(
    event: RangeRead, table: str, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Add the rows of one table; the jobs are read after their progress."""
    owning = tables.leadership
    if not isinstance(owning, Owning) or table not in owning.loading:
        return Step(tables=tables)
    remaining = owning.loading - {table}
    loaded_at = owning.loaded_at if remaining else now
    read = replace(owning, loading=remaining, loaded_at=loaded_at)
    if not remaining:
        within_s = renewals.loaded_renews_within_s(owning.renews_within_s)
        read = replace(read, renews_within_s=within_s)
    tables = replace(tables, leadership=read)
    commands: tuple[Command, ...] = ()
    if table == PROGRESS:
        tables = restoring.keep_progress(tables, _progress_rows(event.rows))
        commands = (_read(JOBS, tables),)
    elif table == HOSTS:
        tables = handle_host_rows(tables, event.rows)
        tables = _start_watch(tables, HOSTS, event.version)
    elif table == HARMS:
        tables = interference.restore_estimates(event.rows, tables, now)
    else:
        step = accepting.handle_rows(event.rows, tables, now)
        tables = _start_watch(restoring.drop_progress(step.tables), JOBS, event.version)
        commands = step.commands
    if remaining:
        return Step(tables=tables, commands=commands)
    if not tables.tasks.by_index["host"]:
        # No run of a former owner has to end before its task starts again.
        renewals_end_at = min(read.renewals_end_at, now)
        read = replace(read, renewals_end_at=renewals_end_at)
        tables = replace(tables, leadership=read)
    reason = f"{len(tables.jobs)} jobs, {len(tables.hosts)} hosts"
    line = edits.log(tables, "shard.ready", OWNED_PART, tables.incarnation, reason)
    restored = restoring.restored_lines(tables)
    tables = replace(tables, place_due=True)
    return Step(tables=tables, commands=(*commands, *restored, line))


def handle_read_failed(
    purpose: LoadTable, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Schedule another read of a table whose read failed."""
    retry = ReadRetry(at=now + LOAD_RETRY_DELAY_S, failures=purpose.failures + 1)
    retries = tables.read_retry_by_table.set(purpose.table, retry)
    return Step(tables=replace(tables, read_retry_by_table=retries))


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Retry the failed reads that are due."""
    commands: list[Command] = []
    for table, retry in tables.read_retry_by_table.items():
        if now >= retry.at:
            retries = tables.read_retry_by_table.delete(table)
            tables = replace(tables, read_retry_by_table=retries)
            commands.append(_read(table, tables, retry.failures))
    return Step(tables=tables, commands=tuple(commands))


def _progress_rows(rows: tuple[StoredRow, ...]) -> tuple[ProgressRow, ...]:
    return tuple(stored.row for stored in rows if isinstance(stored.row, ProgressRow))


def _start_watch(tables: SchedulerTables, table: str, after: int) -> SchedulerTables:
    watch = WatchState(after=after)
    return replace(tables, watch_by_table=tables.watch_by_table.set(table, watch))


def handle_host_rows(
    tables: SchedulerTables, rows: tuple[StoredRow, ...]
) -> SchedulerTables:
    """Update the addresses of agents, and keep rows that tell of runs.

    A host without a row is no longer dialled.

    The end of an attempt or link is recorded for the hosts that have its address then,
    so a host whose address changes does not count as being dialled any more.
    """
    for stored in rows:
        row = stored.row
        if stored.unreadable:
            continue
        if not isinstance(row, HostRow):
            removed = tables.hosts.get(stored.key.key)
            if removed is not None:
                unknown = replace(removed, address="", dialling=False)
                tables = edits.put_host(tables, unknown)
            continue
        host = tables.hosts.get(row.host) or Host(name=row.host)
        known = replace(
            host,
            address=row.address,
            failure_domain=row.failure_domain,
            dialling=host.dialling and host.address == row.address,
        )
        tables = edits.put_host(tables, known)
        if row.ends or row.adoption:
            unhandled = tables.unhandled_row_by_host.set(row.host, row)
            tables = replace(tables, unhandled_row_by_host=unhandled)
    return tables


def reset_hosts(hosts: Table[Host]) -> Table[Host]:
    """Reset hosts to what outlives a tenure: their addresses and links."""
    for host in hosts.rows():
        reset = replace(
            host,
            life="",
            state=ServerState.UNKNOWN,
            last_contact_at=0.0,
            contact_sent_at=None,
            silent=False,
            resumed_at=0.0,
            runs_end_by=0.0,
            announced_epoch=0,
            adoptions=0,
            synced_adoption=0,
            adopted_at=0.0,
            synced=False,
            committed=NO_RESOURCES,
            filling_m=0,
            lasting_m=0,
            filling_mb=0,
            lasting_mb=0,
            images={},
            quarantined_until=0.0,
            failed_at=(),
            sent_verdicts=None,
        )
        hosts = hosts.put(host.name, reset)
    return hosts
