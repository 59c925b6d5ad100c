"""Answers calls about the state of jobs and queues, and stores cancellations.

Every call is answered from the store, so all entries give the same answer. A store call
that is refused or gets no answer is retried while the caller waits.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.calls import (
    BacklogShown,
    CallAnswer,
    CancelCall,
    JobCall,
    JobCancelled,
    JobShown,
    NoSuchJob,
    OutcomeUnknown,
    ShowCall,
    TryLater,
)
from bulrushpulley.entities.jobs.configuration import Queue
from bulrushpulley.entities.jobs.intake_tables import (
    INTAKE,
    CallPurpose,
    Inquiry,
    IntakeStep,
    IntakeTables,
    ReadBacklog,
    ReadJob,
    ReadProgress,
    StoreCancel,
)
from bulrushpulley.entities.jobs.rows import (
    BACKLOG_KEY,
    BACKLOGS,
    INTAKE_PART,
    JOBS,
    OWNED_PART,
    PROGRESS,
    BacklogRow,
    CancelRow,
    JobRow,
    JobState,
    ProgressRow,
    cancel_key,
)
from bulrushpulley.entities.jobs.store import (
    Condition,
    Conflicted,
    Purpose,
    RangeRead,
    ReadRange,
    StoreCommand,
    StoreEvent,
    Transact,
    Transacted,
    TransactRefused,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems import store_timeouts
from bulrushpulley.systems.exponential_backoff import exponential_delay_s
from bulrushpulley.systems.intake.submitting import (
    CALL_ANSWER_MARGIN_S,
    MIN_RETRY_AFTER_S,
    is_accepted,
)

# Delays before a call that the store refused or did not answer is sent again.
MIN_INQUIRY_RETRY_DELAY_S = 0.1
MAX_INQUIRY_RETRY_DELAY_S = 0.8
MIN_INQUIRY_TIMEOUT_S = 0.1


@singledispatch
def inquire(
    call: JobCall, queue: Queue, job_id: str, tables: IntakeTables, now: float
) -> IntakeStep:
    """Start to answer a call about a job or a queue."""
    raise NotImplementedError(type(call).__name__)


@inquire.register
def _(
    call: ShowCall, queue: Queue, job_id: str, tables: IntakeTables, now: float
) -> IntakeStep:
    build_command = _read_progress if job_id else _read_backlog
    return _start_inquiry(
        call, queue, job_id, tables, now, build_command(call.call_id, job_id)
    )


@inquire.register
def _(
    call: CancelCall, queue: Queue, job_id: str, tables: IntakeTables, now: float
) -> IntakeStep:
    build_command = _store_cancel if is_accepted(tables, job_id) else _read_job
    return _start_inquiry(
        call, queue, job_id, tables, now, build_command(call.call_id, job_id)
    )


def _start_inquiry(
    call: JobCall,
    queue: Queue,
    job_id: str,
    tables: IntakeTables,
    now: float,
    first_command: StoreCommand,
) -> IntakeStep:
    inquiry = Inquiry(
        call=call,
        queue=queue,
        job_id=job_id,
        due_at=now + max(0.0, call.within_s - CALL_ANSWER_MARGIN_S),
    )
    inquiries = tables.inquiries.put(call.call_id, inquiry)
    command = replace(
        first_command, timeout_s=store_timeouts.timeout_s(tables.store_latency_s)
    )
    return Step(tables=replace(tables, inquiries=inquiries), commands=(command,))


def _read_progress(call_id: str, job_id: str) -> ReadRange:
    purpose = ReadProgress(call_id=call_id)
    return _read(purpose, PROGRESS, OWNED_PART, job_id, f"{job_id}.")


def _read_job(call_id: str, job_id: str) -> ReadRange:
    purpose = ReadJob(call_id=call_id)
    return _read(purpose, JOBS, INTAKE_PART, f"{job_id}.", f"{job_id}/")


def _read_backlog(call_id: str, job_id: str) -> ReadRange:
    purpose = ReadBacklog(call_id=call_id)
    return _read(purpose, BACKLOGS, OWNED_PART, BACKLOG_KEY.key)


def _read(
    purpose: CallPurpose, table: str, part: str, first: str, end: str = ""
) -> ReadRange:
    return ReadRange(
        role=INTAKE,
        purpose=purpose,
        timeout_s=store_timeouts.MIN_STORE_TIMEOUT_S,
        table=table,
        part=part,
        first=first,
        end=end,
    )


def _store_cancel(call_id: str, job_id: str) -> Transact:
    return Transact(
        role=INTAKE,
        purpose=StoreCancel(call_id=call_id),
        timeout_s=store_timeouts.MIN_STORE_TIMEOUT_S,
        conditions=(Condition(key=cancel_key(job_id), version=0),),
        puts=(CancelRow(job_id=job_id),),
    )


def handle_store_answer(
    purpose: CallPurpose, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    """Continue the inquiry that the store call was made for."""
    inquiry = tables.inquiries.get(purpose.call_id)
    if inquiry is None:
        return Step(tables=tables)
    return handle_answer(event, purpose, inquiry, tables, now)


@singledispatch
def handle_answer(
    event: StoreEvent,
    purpose: CallPurpose,
    inquiry: Inquiry,
    tables: IntakeTables,
    now: float,
) -> IntakeStep:
    """Handle an answer; by default the call failed and is retried until `due_at`."""
    outcome_unknown = isinstance(purpose, StoreCancel) and not isinstance(
        event, TransactRefused
    )
    inquiry = replace(
        inquiry, outcome_unknown=inquiry.outcome_unknown or outcome_unknown
    )
    if now >= inquiry.due_at:
        return _give_up(tables, inquiry)
    call_id = inquiry.call.call_id
    delay_s = exponential_delay_s(
        min_delay_s=MIN_INQUIRY_RETRY_DELAY_S,
        max_delay_s=MAX_INQUIRY_RETRY_DELAY_S,
        doublings=inquiry.retries,
    )
    retried = replace(
        inquiry,
        retries=inquiry.retries + 1,
        retry_purpose=purpose,
        next_retry_at=now + delay_s,
    )
    inquiries = tables.inquiries.put(call_id, retried)
    return Step(tables=replace(tables, inquiries=inquiries))


def _give_up(tables: IntakeTables, inquiry: Inquiry) -> IntakeStep:
    """Answer a call at its deadline: nothing was done, or the outcome is unknown."""
    call_id = inquiry.call.call_id
    reason = "the store did not answer"
    answer: CallAnswer = TryLater(
        call_id=call_id, reason=reason, retry_after_s=MIN_RETRY_AFTER_S
    )
    if inquiry.outcome_unknown:
        answer = OutcomeUnknown(call_id=call_id, reason=reason)
    return _finish(tables, inquiry, answer)


def run(tables: IntakeTables, now: float) -> IntakeStep:
    """Send the store calls whose retry is due."""
    commands: list[Command] = []
    for call_id in sorted(tables.inquiries):
        inquiry = tables.inquiries.by_key[call_id]
        purpose = inquiry.retry_purpose
        if purpose is not None and now >= inquiry.due_at:
            step = _give_up(tables, inquiry)
            tables = step.tables
            commands.extend(step.commands)
            continue
        if purpose is None or now < inquiry.next_retry_at:
            continue
        timeout_s = exponential_delay_s(
            min_delay_s=store_timeouts.timeout_s(tables.store_latency_s),
            max_delay_s=store_timeouts.MAX_STORE_TIMEOUT_S,
            doublings=inquiry.retries,
        )
        remaining_s = max(MIN_INQUIRY_TIMEOUT_S, inquiry.due_at - now)
        command = replace(
            retry_command(purpose, inquiry),
            timeout_s=min(timeout_s, remaining_s),
        )
        sent = replace(inquiry, retry_purpose=None)
        tables = replace(tables, inquiries=tables.inquiries.put(call_id, sent))
        commands.append(command)
    return Step(tables=tables, commands=tuple(commands))


@singledispatch
def retry_command(purpose: Purpose, inquiry: Inquiry) -> StoreCommand:
    """Return the store call for this purpose."""
    raise NotImplementedError(type(purpose).__name__)


@retry_command.register
def _(purpose: ReadProgress, inquiry: Inquiry) -> StoreCommand:
    return _read_progress(purpose.call_id, inquiry.job_id)


@retry_command.register
def _(purpose: ReadJob, inquiry: Inquiry) -> StoreCommand:
    return _read_job(purpose.call_id, inquiry.job_id)


@retry_command.register
def _(purpose: ReadBacklog, inquiry: Inquiry) -> StoreCommand:
    return _read_backlog(purpose.call_id, inquiry.job_id)


@retry_command.register
def _(purpose: StoreCancel, inquiry: Inquiry) -> StoreCommand:
    return _store_cancel(purpose.call_id, inquiry.job_id)


@handle_answer.register(Transacted)
@handle_answer.register(Conflicted)
def _(
    event: StoreEvent,
    purpose: CallPurpose,
    inquiry: Inquiry,
    tables: IntakeTables,
    now: float,
) -> IntakeStep:
    return _finish(tables, inquiry, JobCancelled(call_id=purpose.call_id))


@handle_answer.register
def _(
    event: RangeRead,
    purpose: CallPurpose,
    inquiry: Inquiry,
    tables: IntakeTables,
    now: float,
) -> IntakeStep:
    return handle_rows_read(purpose, event, inquiry, tables)


@singledispatch
def handle_rows_read(
    purpose: CallPurpose, event: RangeRead, inquiry: Inquiry, tables: IntakeTables
) -> IntakeStep:
    """Answer an inquiry from the rows that were read, or send the next store call."""
    raise NotImplementedError(type(purpose).__name__)


@handle_rows_read.register
def _(
    purpose: ReadProgress, event: RangeRead, inquiry: Inquiry, tables: IntakeTables
) -> IntakeStep:
    for stored in event.rows:
        row = stored.row
        if isinstance(row, ProgressRow) and row.job_id == inquiry.job_id:
            shown = JobShown(call_id=purpose.call_id, state=row.state)
            return _finish(tables, inquiry, shown)
    if is_accepted(tables, inquiry.job_id):
        shown = JobShown(call_id=purpose.call_id, state=JobState.QUEUED)
        return _finish(tables, inquiry, shown)
    command = _read_job(purpose.call_id, inquiry.job_id)
    timeout_s = store_timeouts.timeout_s(tables.store_latency_s)
    return Step(tables=tables, commands=(replace(command, timeout_s=timeout_s),))


@handle_rows_read.register
def _(
    purpose: ReadJob, event: RangeRead, inquiry: Inquiry, tables: IntakeTables
) -> IntakeStep:
    rows = [stored.row for stored in event.rows]
    if not any(isinstance(row, JobRow) for row in rows):
        return _finish(tables, inquiry, NoSuchJob(call_id=purpose.call_id))
    return handle_stored_job(inquiry.call, inquiry, rows, tables)


@singledispatch
def handle_stored_job(
    call: JobCall, inquiry: Inquiry, rows: list[object], tables: IntakeTables
) -> IntakeStep:
    """Continue a call about a job that is stored; by default return its state."""
    cancelled = any(isinstance(row, CancelRow) for row in rows)
    state = JobState.CANCELLED if cancelled else JobState.QUEUED
    return _finish(tables, inquiry, JobShown(call_id=call.call_id, state=state))


@handle_stored_job.register
def _(
    call: CancelCall, inquiry: Inquiry, rows: list[object], tables: IntakeTables
) -> IntakeStep:
    if any(isinstance(row, CancelRow) for row in rows):
        return _finish(tables, inquiry, JobCancelled(call_id=call.call_id))
    command = _store_cancel(call.call_id, inquiry.job_id)
    timeout_s = store_timeouts.timeout_s(tables.store_latency_s)
    return Step(tables=tables, commands=(replace(command, timeout_s=timeout_s),))


@handle_rows_read.register
def _(
    purpose: ReadBacklog, event: RangeRead, inquiry: Inquiry, tables: IntakeTables
) -> IntakeStep:
    waiting = 0
    for stored in event.rows:
        if isinstance(stored.row, BacklogRow):
            waiting = dict(stored.row.waiting).get(inquiry.queue.name, 0)
    shown = BacklogShown(call_id=purpose.call_id, waiting=waiting)
    return _finish(tables, inquiry, shown)


def _finish(tables: IntakeTables, inquiry: Inquiry, answer: CallAnswer) -> IntakeStep:
    inquiries = tables.inquiries.drop(inquiry.call.call_id)
    line = Decision(
        kind="call.answer",
        subject=inquiry.job_id or inquiry.queue.name,
        chosen=type(answer).__name__,
        reason=f"{type(inquiry.call).__name__}, {inquiry.retries} retries",
        revision=tables.operator_settings.revision,
    )
    tables = replace(tables, inquiries=inquiries)
    return Step(tables=tables, commands=(line, answer))
