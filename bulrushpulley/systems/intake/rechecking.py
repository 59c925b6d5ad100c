"""Reads the changes of operators' orders a second time, and applies what was missed.

The watch reads each change once. An order that it, or what handles its answers, has
missed would never be in force on this entry. Second reads are sent between two calls of
the watch, as both would transfer the same change at the same time otherwise, and not
before a watch has followed a read of all orders, as versions that were stored during
that read would be transferred with every second read.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.intake_tables import (
    INTAKE,
    IntakeStep,
    IntakeTables,
    RecheckOrders,
)
from bulrushpulley.entities.jobs.rows import ORDERS
from bulrushpulley.entities.jobs.store import (
    RecheckState,
    RowsChanged,
    StoredRow,
    Watch,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.intake import operator_orders, read_lines
from bulrushpulley.systems.lasting_states import first_lines, left_out
from bulrushpulley.systems.store_watch import RECHECK_INTERVAL_S, WATCH_ANSWER_TIMEOUT_S


def run(tables: IntakeTables, now: float) -> IntakeStep:
    """Send the second read if it is due."""
    watch, state = tables.watch, tables.recheck
    if watch is None:
        return Step(tables=tables)
    if state is None:
        begun = RecheckState(after=watch.after, sent_at=now)
        return Step(tables=replace(tables, recheck=begun))
    is_watched = watch.sent_at > 0.0 and not watch.in_flight
    if state.in_flight or not is_watched or now - state.sent_at < RECHECK_INTERVAL_S:
        return Step(tables=tables)
    call = Watch(
        role=INTAKE,
        purpose=RecheckOrders(watched=watch.after),
        timeout_s=WATCH_ANSWER_TIMEOUT_S,
        table=ORDERS,
        after=state.after,
        wait_s=0.0,
    )
    sent = replace(state, in_flight=True, sent_at=now)
    return Step(tables=replace(tables, recheck=sent), commands=(call,))


def handle_failed(tables: IntakeTables) -> IntakeStep:
    """Have the same changes read again after the interval."""
    if tables.recheck is None:
        return Step(tables=tables)
    ended = replace(tables.recheck, in_flight=False)
    return Step(tables=replace(tables, recheck=ended))


def handle_changes(
    event: RowsChanged, purpose: RecheckOrders, tables: IntakeTables, now: float
) -> IntakeStep:
    """Apply the rows that are not known, and report those that the watch has passed."""
    state, watch = tables.recheck, tables.watch
    if state is None or watch is None:
        return handle_failed(tables)
    lines = read_lines.lines(event, read="second", sent_at=state.sent_at, now=now)
    after = max(state.after, min(event.version, purpose.watched))
    tables = replace(tables, recheck=replace(state, in_flight=False, after=after))
    if not event.rows:
        return Step(tables=tables)
    missed = [
        stored
        for stored in event.rows
        if stored.version <= watch.after and _is_missed(stored, tables)
    ]
    former = tables.operator_settings.configuration
    step = operator_orders.apply_rows(tables, event.rows, event.version)
    if step.tables.operator_settings.configuration != former:
        step = replace(step, tables=operator_orders.with_read_due(step.tables, now))
    if not missed:
        return replace(step, commands=(*lines, *step.commands))
    return replace(
        step, commands=(*lines, *_lines(missed, watch.after), *step.commands)
    )


def _is_missed(stored: StoredRow, tables: IntakeTables) -> bool:
    known = tables.order_by_key.get(stored.key.key)
    if known is None:
        return stored.row is not None
    return known.version < stored.version


def _lines(missed: list[StoredRow], watched: int) -> list[Decision]:
    logged = first_lines(missed)
    return [
        Decision(
            kind="books.differ",
            subject=stored.key.key,
            chosen="row",
            reason=f"the watch has read up to {watched} and missed version"
            f" {stored.version}" + (left_out(missed) if stored is logged[-1] else ""),
        )
        for stored in logged
    ]
