"""Dispatches each event of the intake to the system that handles it."""

from __future__ import annotations

import re
from functools import singledispatch

from bulrushpulley.entities.changing import replace
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
    RecheckOrders,
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
    order_age,
    rechecking,
    submitting,
)
from bulrushpulley.systems.store_watch import STORE_UNREACHABLE_TIMEOUT_S

JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
# A process has read its configuration within this time after its start.
STARTUP_RETRY_AFTER_S = 0.5
# Other entries, which callers use next, are seldom behind at the same time.
OLD_CONFIGURATION_RETRY_AFTER_S = 0.5


@singledispatch
def apply(event: Event, tables: IntakeTables, now: float) -> IntakeStep:
    """Apply one event; kinds that the role does not handle are ignored."""
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
    configuration = tables.operator_settings.configuration
    if configuration is None:
        later = TryLater(
            call_id=event.call_id,
            reason="no configuration was read yet",
            retry_after_s=STARTUP_RETRY_AFTER_S,
        )
        return _refuse(tables, event, later, later.reason)
    if not order_age.are_current(tables, now):
        later = TryLater(
            call_id=event.call_id,
            reason=f"configuration version {configuration.version} may be old,"
            f" it was last confirmed {order_age.age_s(tables, now):.1f} s ago",
            retry_after_s=_old_configuration_retry_after_s(tables, now),
        )
        return _refuse(tables, event, later, later.reason)
    found = route(configuration, event.authority, event.path)
    if found is None:
        answer = NoSuchQueue(call_id=event.call_id)
        return _refuse(
            tables,
            event,
            answer,
            f"no matching queue in configuration version {configuration.version}",
        )
    queue, rest = found
    if not _has_valid_job_id(event, rest):
        answer = NoSuchQueue(call_id=event.call_id)
        return _refuse(tables, event, answer, "the path contains no valid job id")
    return handle_call(event, queue, rest, tables, now)


def _old_configuration_retry_after_s(tables: IntakeTables, now: float) -> float:
    """Return when callers may retry: in an outage as for any other call."""
    unanswered_s = now - tables.store_answered_at
    if unanswered_s > STORE_UNREACHABLE_TIMEOUT_S:
        return submitting.retry_after_s(unanswered_s)
    return OLD_CONFIGURATION_RETRY_AFTER_S


@singledispatch
def _has_valid_job_id(call: JobCall, job_id: str) -> bool:
    """Return whether the rest of the path is a job id, or empty where allowed."""
    return not job_id or JOB_ID_PATTERN.fullmatch(job_id) is not None


@_has_valid_job_id.register(SubmitCall)
@_has_valid_job_id.register(CancelCall)
def _(call: JobCall, job_id: str) -> bool:
    return JOB_ID_PATTERN.fullmatch(job_id) is not None


def _refuse(
    tables: IntakeTables, call: JobCall, answer: CallAnswer, reason: str
) -> IntakeStep:
    line = Decision(
        kind="call.refuse",
        subject=call.path,
        chosen=type(answer).__name__,
        reason=reason,
        revision=tables.operator_settings.revision,
    )
    return Step(tables=tables, commands=(line, answer))


@singledispatch
def handle_call(
    call: JobCall, queue: Queue, job_id: str, tables: IntakeTables, now: float
) -> IntakeStep:
    """Start to handle a call to a queue."""
    return inquiring.inquire(call, queue, job_id, tables, now)


handle_call.register(SubmitCall, submitting.submit)


@apply.register
def _(event: StoreEvent, tables: IntakeTables, now: float) -> IntakeStep:
    return handle_store_event(
        event.purpose, event, record_store_answer(event, tables, now), now
    )


@singledispatch
def record_store_answer(
    event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeTables:
    """Record when the store answered; failed and refused calls do not count."""
    return replace(tables, store_answered_at=now)


@record_store_answer.register(ReadFailed)
@record_store_answer.register(TransactOutcomeUnknown)
@record_store_answer.register(TransactRefused)
def _(event: StoreEvent, tables: IntakeTables, now: float) -> IntakeTables:
    return tables


@singledispatch
def handle_store_event(
    purpose: Purpose, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    """Handle an answer of the store by the purpose of the call."""
    return Step(tables=tables)


@handle_store_event.register
def _(
    purpose: CallPurpose, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    return inquiring.handle_store_answer(purpose, event, tables, now)


@handle_store_event.register
def _(
    purpose: ReadOrders, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    if not tables.reading_orders or purpose.sent_at != tables.orders_read_sent_at:
        return Step(tables=tables)
    if isinstance(event, RangeRead):
        return operator_orders.handle_orders_read(event, tables, now)
    return operator_orders.handle_orders_read_failed(tables)


@handle_store_event.register
def _(
    purpose: WatchOrders, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    state = tables.watch
    if state is None or not state.in_flight or purpose.sent_at != state.sent_at:
        return Step(tables=tables)
    return handle_watch_answer(event, tables, now)


@singledispatch
def handle_watch_answer(
    event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    """Handle the answer of the watch; by default the call has failed."""
    return operator_orders.handle_watch_failed(tables, now)


@handle_watch_answer.register
def _(event: RowsChanged, tables: IntakeTables, now: float) -> IntakeStep:
    return operator_orders.handle_orders_changed(event, tables, now)


@handle_watch_answer.register
def _(event: HistoryLost, tables: IntakeTables, now: float) -> IntakeStep:
    return operator_orders.handle_history_lost(tables)


@handle_store_event.register
def _(
    purpose: RecheckOrders, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    return handle_recheck_answer(event, purpose, tables, now)


@singledispatch
def handle_recheck_answer(
    event: StoreEvent, purpose: RecheckOrders, tables: IntakeTables, now: float
) -> IntakeStep:
    """Handle the answer to a second read; by default the call has failed."""
    return rechecking.handle_failed(tables)


@handle_recheck_answer.register
def _(
    event: RowsChanged, purpose: RecheckOrders, tables: IntakeTables, now: float
) -> IntakeStep:
    return rechecking.handle_changes(event, purpose, tables, now)


@handle_recheck_answer.register
def _(
    event: HistoryLost, purpose: RecheckOrders, tables: IntakeTables, now: float
) -> IntakeStep:
    return operator_orders.handle_history_lost(tables)


handle_store_event.register(CheckStored, checking.handle_check_read)


@handle_store_event.register
def _(
    purpose: StoreJobs, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    if tables.batch is None or tables.batch.number != purpose.number:
        # The check of its rows settled the batch before this answer arrived.
        return Step(tables=tables)
    return handle_batch_answer(event, tables, now)


@singledispatch
def handle_batch_answer(
    event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    """Handle the answer to a batch of submissions; by default none was received."""
    return submitting.handle_outcome_unknown(tables, now)


@handle_batch_answer.register
def _(event: Transacted, tables: IntakeTables, now: float) -> IntakeStep:
    return submitting.handle_committed(tables, now)


@handle_batch_answer.register
def _(event: Conflicted, tables: IntakeTables, now: float) -> IntakeStep:
    return submitting.handle_conflicted(event, tables, now)


@handle_batch_answer.register
def _(event: TransactRefused, tables: IntakeTables, now: float) -> IntakeStep:
    return submitting.handle_refused(event, tables, now)
