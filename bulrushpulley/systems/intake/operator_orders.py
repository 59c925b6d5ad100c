"""Watches the orders of operators: configuration, evacuations and upkeep waves.

A row is replaced only by one with a newer version, so an order never reverts to an
older state. The scheduler of the same process is notified of each change.

The store's feed returns each version of a row since the one asked for. A configuration
may take longer to arrive than until it is replaced, so an entry that followed the feed
would fall ever further behind. After a change of the configuration, and after a call
without answer, all orders are read as they are until a read finds nothing new, and only
then are they watched again.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.configuration import (
    Configuration,
    Evacuation,
    OperatorSettings,
    WaveOrder,
)
from bulrushpulley.entities.jobs.intake_tables import (
    INTAKE,
    IntakeStep,
    IntakeTables,
    OrderEntry,
    ReadOrders,
    WatchOrders,
)
from bulrushpulley.entities.jobs.rows import ORDERS
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    OperatorSettingsChanged,
)
from bulrushpulley.entities.jobs.store import (
    RangeRead,
    ReadRange,
    RowsChanged,
    StoredRow,
    WatchState,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step, Tell
from bulrushpulley.systems import store_watch
from bulrushpulley.systems.intake import order_age, read_lines

# Without data for as long, a read is given up; the store answers within 0.5 s even
# while it is slow.
ORDERS_READ_TIMEOUT_S = 1.0
ORDERS_READ_RETRY_DELAY_S = 0.3


def run(tables: IntakeTables, now: float) -> IntakeStep:
    """Read all orders, then watch them for changes."""
    state = tables.watch
    if state is None:
        if tables.reading_orders or now < tables.orders_read_due_at:
            return Step(tables=tables)
        reading = replace(
            tables,
            reading_orders=True,
            orders_read_sent_at=now,
            orders_read_due_at=now + ORDERS_READ_RETRY_DELAY_S,
        )
        read = ReadRange(
            role=INTAKE,
            purpose=ReadOrders(sent_at=now),
            timeout_s=ORDERS_READ_TIMEOUT_S,
            table=ORDERS,
            part="",
        )
        return Step(tables=reading, commands=(read,))
    is_rechecking = tables.recheck is not None and tables.recheck.in_flight
    if is_rechecking or not store_watch.due(state, now):
        return Step(tables=tables)
    call = store_watch.call(
        state,
        role=INTAKE,
        purpose=WatchOrders(sent_at=now),
        table=ORDERS,
        max_wait_s=order_age.watch_wait_s(tables),
    )
    watching = replace(tables, watch=store_watch.with_call_sent(state, call, now))
    return Step(tables=watching, commands=(call,))


def handle_orders_read(
    event: RangeRead, tables: IntakeTables, now: float
) -> IntakeStep:
    """Apply the orders that were read, and watch for changes after that version.

    Orders that are no longer stored are dropped, unless a newer row is known. If the
    configuration has changed, more of its versions may have been stored while this one
    arrived, so the orders are read again.
    """
    former = tables.operator_settings.configuration
    found = {stored.key.key for stored in event.rows}
    entries = tables.order_by_key
    for key in entries:
        if key not in found and entries[key].version <= event.version:
            entries = entries.delete(key)
    lines = read_lines.lines(
        event, read="all", sent_at=tables.orders_read_sent_at, now=now
    )
    tables = replace(
        tables,
        order_by_key=entries,
        reading_orders=False,
        orders_read_s=now - tables.orders_read_sent_at,
        watch=WatchState(after=event.version),
        recheck=store_watch.with_table_read(tables.recheck, event.version),
    )
    ages = order_age.ages(tables, now)
    tables = order_age.with_confirmed(tables, tables.orders_read_sent_at)
    step = apply_rows(tables, event.rows, event.version)
    tables = step.tables
    if former not in (None, tables.operator_settings.configuration):
        tables = with_read_due(tables, now)
    return Step(tables=tables, commands=(*lines, *ages, *step.commands))


def with_read_due(tables: IntakeTables, at: float) -> IntakeTables:
    """Stop watching, and read all orders at `at`."""
    return replace(tables, watch=None, orders_read_due_at=at)


def handle_orders_read_failed(tables: IntakeTables) -> IntakeStep:
    """Allow another read of the orders, after the retry delay."""
    return Step(tables=replace(tables, reading_orders=False))


def handle_orders_changed(
    event: RowsChanged, tables: IntakeTables, now: float
) -> IntakeStep:
    """Apply changed rows; after a change of the configuration, read all orders."""
    state = tables.watch
    if state is None:
        return Step(tables=tables)
    former = tables.operator_settings.configuration
    ages: tuple[Command, ...] = ()
    if not event.rows:
        ages = order_age.ages(tables, now)
        unchanged_until = store_watch.unchanged_until(state, now)
        tables = order_age.with_confirmed(tables, unchanged_until)
    elif not _has_configuration(event):
        tables = order_age.with_confirmed(tables, state.sent_at)
    lines = read_lines.lines(event, read="changes", sent_at=state.sent_at, now=now)
    watch = store_watch.with_changes_read(state, event.version)
    step = apply_rows(replace(tables, watch=watch), event.rows, event.version)
    tables = step.tables
    if tables.operator_settings.configuration != former:
        tables = with_read_due(tables, now)
    return Step(tables=tables, commands=(*lines, *ages, *step.commands))


def _has_configuration(event: RowsChanged) -> bool:
    """Return whether an answer may lack newer versions that did not fit."""
    return any(isinstance(stored.row, Configuration) for stored in event.rows)


def handle_history_lost(tables: IntakeTables) -> IntakeStep:
    """Read all orders again."""
    return Step(tables=replace(tables, watch=None, recheck=None))


def handle_watch_failed(tables: IntakeTables, now: float) -> IntakeStep:
    """Schedule a read of all orders, as several versions may have been missed."""
    if tables.watch is None:
        return Step(tables=tables)
    return Step(tables=with_read_due(tables, now + ORDERS_READ_RETRY_DELAY_S))


def apply_rows(
    tables: IntakeTables, rows: tuple[StoredRow, ...], version: int
) -> IntakeStep:
    """Apply the rows that are newer than those known, and tell the scheduler."""
    entries = tables.order_by_key
    for stored in rows:
        known = entries.get(stored.key.key)
        if known is not None and known.version >= stored.version:
            continue
        if stored.row is None and known is None:
            continue
        # The last readable order stays in force.
        row = known.row if known and stored.unreadable else stored.row
        entry = OrderEntry(version=stored.version, row=row)
        entries = entries.set(stored.key.key, entry)
    settings = OperatorSettings(revision=version)
    for key in sorted(entries):
        settings = with_order(entries[key].row, settings)
    before = tables.operator_settings
    changed = replace(settings, revision=before.revision) != before
    tables = replace(tables, order_by_key=entries, operator_settings=settings)
    if not changed:
        return Step(tables=tables)
    tell = Tell(
        role=SCHEDULER, event=OperatorSettingsChanged(operator_settings=settings)
    )
    commands: tuple[Command, ...] = (_line(settings), tell)
    return Step(tables=tables, commands=commands)


@singledispatch
def with_order(row: object, settings: OperatorSettings) -> OperatorSettings:
    """Add the order in a row to those in force; unknown rows are ignored."""
    return settings


@with_order.register
def _(row: Configuration, settings: OperatorSettings) -> OperatorSettings:
    return replace(settings, configuration=row)


@with_order.register
def _(row: Evacuation, settings: OperatorSettings) -> OperatorSettings:
    return replace(settings, evacuated=settings.evacuated | {row.failure_domain})


@with_order.register
def _(row: WaveOrder, settings: OperatorSettings) -> OperatorSettings:
    waves = sorted((*settings.waves, row), key=lambda wave: wave.number)
    return replace(settings, waves=tuple(waves))


def _line(settings: OperatorSettings) -> Decision:
    configuration = settings.configuration
    version = configuration.version if configuration else 0
    queues = len(configuration.queues) if configuration else 0
    return Decision(
        kind="orders.apply",
        subject=f"version {version}",
        chosen=f"{queues} queues",
        reason=f"evacuated: {', '.join(sorted(settings.evacuated)) or 'none'}",
        revision=settings.revision,
    )
