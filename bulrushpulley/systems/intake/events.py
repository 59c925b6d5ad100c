"""Which system acts on each event of the intake."""

from __future__ import annotations

import re
from dataclasses import replace
from functools import singledispatch

from bulrushpulley.entities.jobs.calls import (
    CallAnswer,
    CallDropped,
    CancelCall,
    JobCall,
    NoSuchQueue,
    SubmitCall,
    TryLater,
)
from bulrushpulley.entities.jobs.configuration import Queue, route
from bulrushpulley.entities.jobs.intake_tables import (
    CallPurpose,
    CheckStored,
    IntakeStep,
    IntakeTables,
    ReadOrders,
    StoreJobs,
    WatchOrders,
)
from bulrushpulley.entities.jobs.store import (
    Conflicted,
    HistoryLost,
    Purpose,
    RangeRead,
    ReadFailed,
    RowsChanged,
    StoreEvent,
    Transacted,
    TransactOutcomeUnknown,
    TransactRefused,
)
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.systems.intake import (
    checking,
    inquiring,
    operator_orders,
    submitting,
)

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
# A process that has just started has its configuration within this time.
STARTUP_RETRY_AFTER_S = 0.5


@singledispatch
def apply(event: Event, tables: IntakeTables, now: float) -> IntakeStep:
    """Act on one event; kinds that say nothing to the role change nothing."""
    return Step(tables=tables)


@apply.register
def _(event: Leave, tables: IntakeTables, now: float) -> IntakeStep:
    return Step(tables=replace(tables, leaving=True))


@apply.register
def _(event: CallDropped, tables: IntakeTables, now: float) -> IntakeStep:
    inquiries = tables.inquiries.drop(event.call_id)
    return Step(tables=replace(tables, inquiries=inquiries))


@apply.register
def _(event: JobCall, tables: IntakeTables, now: float) -> IntakeStep:
    configuration = tables.standing.configuration
    if configuration is None:
        later = TryLater(
            call_id=event.call_id,
            reason="no configuration was read yet",
            retry_after_s=STARTUP_RETRY_AFTER_S,
        )
        return _refuse(tables, event, later, later.reason)
    found = route(configuration, event.authority, event.path)
    if found is None:
        answer = NoSuchQueue(call_id=event.call_id)
        return _refuse(tables, event, answer, f"version {configuration.version}")
    queue, rest = found
    if not _has_valid_job_id(event, rest):
        answer = NoSuchQueue(call_id=event.call_id)
        return _refuse(tables, event, answer, "the path names no job")
    return begin(event, queue, rest, tables, now)


@singledispatch
def _has_valid_job_id(call: JobCall, job_id: str) -> bool:
    """Tell whether the rest of the path fits the call: a job's id or nothing."""
    return not job_id or JOB_ID.fullmatch(job_id) is not None


@_has_valid_job_id.register(SubmitCall)
@_has_valid_job_id.register(CancelCall)
def _(call: JobCall, job_id: str) -> bool:
    return JOB_ID.fullmatch(job_id) is not None


def _refuse(
    tables: IntakeTables, call: JobCall, answer: CallAnswer, reason: str
) -> IntakeStep:
    line = Decision(
        kind="call.refuse",
        subject=call.path,
        chosen=type(answer).__name__,
        reason=reason,
        revision=tables.standing.revision,
    )
    return Step(tables=tables, commands=(line, answer))


@singledispatch
def begin(
    call: JobCall, queue: Queue, job_id: str, tables: IntakeTables, now: float
) -> IntakeStep:
    """Begin to serve a call of a queue."""
    return inquiring.inquire(call, queue, job_id, tables, now)


begin.register(SubmitCall, submitting.submit)


@apply.register
def _(event: StoreEvent, tables: IntakeTables, now: float) -> IntakeStep:
    return on_store(event.purpose, event, note_store_answer(event, tables, now), now)


@singledispatch
def note_store_answer(
    event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeTables:
    """Note that the store answers."""
    return replace(tables, store_answered_at=now)


@note_store_answer.register(ReadFailed)
@note_store_answer.register(TransactOutcomeUnknown)
@note_store_answer.register(TransactRefused)
def _(event: StoreEvent, tables: IntakeTables, now: float) -> IntakeTables:
    return tables


@singledispatch
def on_store(
    purpose: Purpose, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    """Act on an answer of the store by what the call was for."""
    return Step(tables=tables)


@on_store.register
def _(
    purpose: CallPurpose, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    return inquiring.on_answer(purpose, event, tables, now)


@on_store.register
def _(
    purpose: ReadOrders, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    if isinstance(event, RangeRead):
        return operator_orders.on_read(event, tables, now)
    return operator_orders.on_read_failed(tables)


@on_store.register
def _(
    purpose: WatchOrders, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    return on_watched(event, tables, now)


@singledispatch
def on_watched(event: StoreEvent, tables: IntakeTables, now: float) -> IntakeStep:
    """Act on the answer of the watch; by default the call failed."""
    return operator_orders.on_watch_failed(tables, now)


@on_watched.register
def _(event: RowsChanged, tables: IntakeTables, now: float) -> IntakeStep:
    return operator_orders.on_changed(event.rows, event.version, tables, now)


@on_watched.register
def _(event: HistoryLost, tables: IntakeTables, now: float) -> IntakeStep:
    return operator_orders.on_history_lost(tables)


on_store.register(CheckStored, checking.on_read)


@on_store.register
def _(
    purpose: StoreJobs, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    if tables.batch is None or tables.batch.number != purpose.number:
        # What became of it was found out before its answer came.
        return Step(tables=tables)
    return on_batch(event, tables, now)


@singledispatch
def on_batch(event: StoreEvent, tables: IntakeTables, now: float) -> IntakeStep:
    """Act on the answer to a batch of submissions."""
    return submitting.on_lost(tables, now)


@on_batch.register
def _(event: Transacted, tables: IntakeTables, now: float) -> IntakeStep:
    return submitting.on_stored(tables, now)


@on_batch.register
def _(event: Conflicted, tables: IntakeTables, now: float) -> IntakeStep:
    return submitting.on_conflict(event, tables, now)


@on_batch.register
def _(event: TransactRefused, tables: IntakeTables, now: float) -> IntakeStep:
    return submitting.on_refused(event, tables, now)
