"""Carries out the calls of operators that change records.

A change commits in one transaction that is conditional on the record's version
and, for the configuration, on the revision. After a conflict on the revision
alone, the change is retried with the new one; changes of the configuration are
committed one at a time, in the order of their calls. The error for a conflict on
the record names the author of the conflicting version.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    Conflicted,
    VersionedRow,
    Write,
)
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.entities.pending import Change, ChangeRecord, Pending, ProbeRecord
from bulrushpulley.entities.rows import RecordRow, RevisionRow
from bulrushpulley.entities.step import Step
from bulrushpulley.errors import Code, Problem
from bulrushpulley.systems.control.backlog import handle_backlog_rows
from bulrushpulley.systems.control.events import (
    ControllerStep,
    apply,
    handle_committed,
    handle_conflicted,
    handle_given_up,
    join_steps,
)
from bulrushpulley.systems.control.plans import (
    AlreadyInForce,
    Plan,
    PlannedChange,
    Refusal,
    conflict,
    key_of,
    plan,
    problem,
)
from bulrushpulley.systems.control.records import (
    REVISION_KEY,
    apply_own_change,
    record_row,
    update_records,
    update_revision,
)
from bulrushpulley.systems.control.submissions import submit

CHANGE_TIMEOUT_S = 10.0
CHANGE_ANSWER_MARGIN_S = 0.5
MAX_CHANGE_ATTEMPTS = 16
MAX_CHANGES = 512


@apply.register(ops.SubmitRecord)
@apply.register(ops.AmendRecord)
@apply.register(ops.CancelJob)
@apply.register(ops.ChangeDomain)
def _(event: ops.OperatorCall, tables: ControllerTables, now: float) -> ControllerStep:
    if len(tables.changes) >= MAX_CHANGES:
        detail = f"{MAX_CHANGES} changes are under way"
        return _reject(tables, event.call_id, problem(detail, Code.OVERLOADED))
    within_s = min(
        CHANGE_TIMEOUT_S,
        max(CHANGE_ANSWER_MARGIN_S, event.within_s - CHANGE_ANSWER_MARGIN_S),
    )
    change = Change(call=event, deadline=now + within_s)
    tables = replace(tables, changes=tables.changes.put(event.call_id, change))
    if changes_job(event):
        return _start_change(tables, event.call_id, now)
    queue = tables.change_queue.append(event.call_id)
    return Step(tables=replace(tables, change_queue=queue))


def changes_job(call: ops.OperatorCall) -> bool:
    """Tell whether a call changes a job; jobs are not part of the configuration."""
    return key_of(call).startswith("record/job/")


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Start the next change of the configuration once the previous one has ended."""
    step = Step(tables=tables)
    while step.tables.change_queue and not _is_change_in_progress(step.tables):
        tables = step.tables
        call_id = tables.change_queue.first
        queue = tables.change_queue.rest()
        tables = replace(tables, change_queue=queue, current_change_id=call_id)
        step = join_steps(step, _start_change(tables, call_id, now))
    return step


def _is_change_in_progress(tables: ControllerTables) -> bool:
    return tables.current_change_id in tables.changes


def _start_change(tables: ControllerTables, call_id: str, now: float) -> ControllerStep:
    change = tables.changes.by_key[call_id]
    if now >= change.deadline:
        detail = "other changes took too long; nothing was written"
        return _reject(tables, call_id, problem(detail, Code.UNAVAILABLE))
    current = tables.records.get(key_of(change.call))
    return _attempt_change(tables, replace(change, current=current), now)


def _verify_record(
    tables: ControllerTables, change: Change, now: float
) -> ControllerStep:
    """Have the table service confirm the record row that the plan is based on."""
    call_id = change.call.call_id
    tables = replace(tables, changes=tables.changes.put(call_id, change))
    version = change.current.version if change.current is not None else 0
    return submit(
        tables,
        now,
        purpose=ProbeRecord(call_id=call_id),
        conditions=(Condition(key=key_of(change.call), version=version),),
        writes=(),
        deadline=change.deadline,
    )


def _attempt_change(
    tables: ControllerTables, change: Change, now: float
) -> ControllerStep:
    planned = plan(change.call, change.current, tables)
    attempted = replace(change, attempts=change.attempts + 1)
    call_id = change.call.call_id
    tables = replace(tables, changes=tables.changes.put(call_id, attempted))
    if attempted.attempts > MAX_CHANGE_ATTEMPTS or now >= change.deadline:
        detail = "too many changes at the same time; nothing was written"
        return _reject(tables, call_id, problem(detail, Code.CONFLICT))
    return _execute_plan(planned, tables, attempted, now)


@singledispatch
def _execute_plan(
    planned: Plan, tables: ControllerTables, change: Change, now: float
) -> ControllerStep:
    raise NotImplementedError(type(planned).__name__)


@_execute_plan.register
def _(
    planned: AlreadyInForce, tables: ControllerTables, change: Change, now: float
) -> ControllerStep:
    if must_verify(change):
        return _verify_record(tables, change, now)
    return _accept(tables, change.call, planned.row)


@_execute_plan.register
def _(
    planned: Refusal, tables: ControllerTables, change: Change, now: float
) -> ControllerStep:
    if must_verify(change):
        return _verify_record(tables, change, now)
    return _reject(tables, change.call.call_id, planned.problem)


def must_verify(change: Change) -> bool:
    """Tell whether an answer would be based on a possibly outdated record row."""
    return not change.verified


@_execute_plan.register
def _(
    planned: PlannedChange, tables: ControllerTables, change: Change, now: float
) -> ControllerStep:
    key = key_of(change.call)
    version = change.current.version if change.current is not None else 0
    conditions = (Condition(key=key, version=version), *planned.conditions)
    writes = (Write(key=key, row=planned.row), *planned.writes)
    if not changes_job(change.call):
        seen = tables.revision_row.version
        conditions = (*conditions, Condition(key=REVISION_KEY, version=seen))
        next_revision = RevisionRow(revision=planned.row.revision)
        writes = (*writes, Write(key=REVISION_KEY, row=next_revision))
    return submit(
        tables,
        now,
        purpose=ChangeRecord(call_id=change.call.call_id, row=planned.row),
        conditions=conditions,
        writes=writes,
        deadline=change.deadline,
    )


@handle_committed.register
def _(
    purpose: ChangeRecord,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    rows = tuple(
        VersionedRow(key=write.key, version=outcome.revision, row=write.row)
        for write in pending.submission.writes
    )
    tables = handle_backlog_rows(apply_own_change(tables, rows, now), rows, now)
    change = tables.changes.get(purpose.call_id)
    if change is None:
        return Step(tables=tables)
    return _accept(tables, change.call, purpose.row)


@handle_committed.register
def _(
    purpose: ProbeRecord,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    change = tables.changes.get(purpose.call_id)
    if change is None:
        return Step(tables=tables)
    return _attempt_change(tables, replace(change, verified=True), now)


@handle_conflicted.register
def _(
    purpose: ProbeRecord,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    change = tables.changes.get(purpose.call_id)
    if change is None:
        return Step(tables=tables)
    verified = replace(change, current=outcome.rows[0], verified=True)
    return _attempt_change(update_records(tables, outcome.rows), verified, now)


@handle_conflicted.register
def _(
    purpose: ChangeRecord,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    tables = update_records(update_revision(tables, outcome.rows, now), outcome.rows)
    tables = handle_backlog_rows(tables, outcome.rows, now)
    change = tables.changes.get(purpose.call_id)
    if change is None:
        return Step(tables=tables)
    by_key = {row.key: row for row in outcome.rows}
    key = key_of(change.call)
    if key in by_key and pending.unsettled:
        return _answer_unsettled_change(tables, change, purpose.row, by_key[key])
    if key in by_key:
        change = replace(change, current=by_key[key], verified=True)
        return _attempt_change(tables, change, now)
    others = [name for name in by_key if name != REVISION_KEY]
    if others:
        return _reject(tables, purpose.call_id, _conflict_problem(by_key[others[0]]))
    return _attempt_change(tables, change, now)


def _answer_unsettled_change(
    tables: ControllerTables,
    change: Change,
    intended: RecordRow,
    stored_row: VersionedRow,
) -> ControllerStep:
    """Answer a change that may have committed before another one replaced it."""
    current_row = record_row(stored_row)
    if current_row == intended:
        return _accept(tables, change.call, intended)
    replacement = (
        conflict(current_row).detail
        if current_row is not None
        else "the record is gone"
    )
    detail = f"the change may have been in force for a moment; {replacement}"
    unknown = problem(detail, Code.OUTCOME_UNKNOWN)
    return _reject(tables, change.call.call_id, unknown)


def _conflict_problem(row: VersionedRow) -> Problem:
    existing = record_row(row)
    if existing is not None:
        return conflict(existing)
    detail = f"tasks of an earlier record are still ending ({row.key}); try again"
    return problem(detail, Code.CONFLICT)


@handle_given_up.register(ChangeRecord)
@handle_given_up.register(ProbeRecord)
def _(
    purpose: ChangeRecord | ProbeRecord,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    outcome_unknown = pending.unsettled and bool(pending.submission.writes)
    code = Code.OUTCOME_UNKNOWN if outcome_unknown else Code.UNAVAILABLE
    failure = Problem(
        code=code, step="store.commit", peer="table service", detail=reason
    )
    return _reject(tables, purpose.call_id, failure)


def _accept(
    tables: ControllerTables, call: ops.OperatorCall, row: RecordRow
) -> ControllerStep:
    tables = replace(tables, changes=tables.changes.drop(call.call_id))
    decision = Decision(
        kind="record.change",
        subject=key_of(call),
        chosen="accepted",
        reason=f"{type(call).__name__} by {call.author}",
        revision=row.revision,
    )
    reply = ops.Accepted(call_id=call.call_id, row=row)
    return Step(tables=tables, commands=(reply, decision, Count(name="changes")))


def _reject(
    tables: ControllerTables, call_id: str, rejection: Problem
) -> ControllerStep:
    tables = replace(tables, changes=tables.changes.drop(call_id))
    count = Count(name="changes_rejected", label=rejection.code.value)
    reject = ops.Reject(call_id=call_id, problem=rejection)
    return Step(tables=tables, commands=(reject, count))
