"""Accepts dispatches and recalls from entries; an unrepeatable id runs at most once.

A dispatch is refused as not run only before any byte of it is sent to the backend
server. An unrepeatable id that is already known is never run again: all its dispatches
and recalls get the outcome of the one run.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.execution import (
    Execution,
    ExecutionState,
    Outcome,
    Waiter,
)
from bulrushpulley.entities.guard_tables import GuardTables
from bulrushpulley.entities.link import Abandon, Dispatch, Recall
from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.entities.step import Step
from bulrushpulley.errors import Code, Ran
from bulrushpulley.systems.guard.events import apply
from bulrushpulley.systems.guard.outcomes import record_refused_attempt, store_outcome
from bulrushpulley.systems.guard.reply import not_run, problem, replies

ACCEPT_STEP = "guard.accept"
RECALL_STEP = "guard.recall"


@apply.register
def _(event: Dispatch, tables: GuardTables, now: float) -> Step[GuardTables]:
    waiter = Waiter(peer=event.peer, attempt_id=event.attempt_id)
    joined = None if event.repeatable else join_known(tables, event.request_id, waiter)
    if joined is not None:
        return joined
    if event.attempt_id in tables.executions:
        return Step(tables=tables)
    refusal = dispatch_refusal(event, tables)
    if refusal is not None:
        return refuse(tables, event, waiter, refusal)
    execution = Execution(
        execution_id=event.attempt_id,
        request_id=event.request_id,
        service=event.service,
        repeatable=event.repeatable,
        received_at=now,
        deadline=now + event.remaining_s,
        body=event.body,
        state=ExecutionState.QUEUED,
        waiters=(waiter,),
    )
    return Step(tables=put_execution(tables, execution))


def put_execution(tables: GuardTables, execution: Execution) -> GuardTables:
    """Return the tables with an execution."""
    executions = tables.executions.put(execution.execution_id, execution)
    return replace(tables, executions=executions)


def join_known(
    tables: GuardTables, request_id: str, waiter: Waiter
) -> Step[GuardTables] | None:
    """Give an attempt the outcome of its id, now or once it is known.

    Return None if the id is unknown.
    """
    row = tables.stored_outcomes.get(request_id)
    if row is not None:
        return Step(tables=tables, commands=replies(row.outcome, (waiter,)))
    for execution in tables.executions.rows_where("request_id", request_id):
        if waiter in execution.waiters:
            return Step(tables=tables)
        waiters = (*execution.waiters, waiter)
        return Step(tables=put_execution(tables, replace(execution, waiters=waiters)))
    return None


def dispatch_refusal(event: Dispatch, tables: GuardTables) -> Outcome | None:
    """Return the outcome of a dispatch that is not accepted, or None."""
    settings = tables.settings
    if event.attempt_id in tables.refused_attempts:
        return not_run(Code.NOT_RUN, ACCEPT_STEP, "this attempt was refused before")
    if not event.repeatable and not event.request_id:
        return not_run(Code.INVALID, ACCEPT_STEP, "an unrepeatable request needs an id")
    if event.service != settings.service:
        return not_run(Code.NOT_FOUND, ACCEPT_STEP, f"this runs {settings.service}")
    if tables.leaving:
        return not_run(Code.LEAVING, ACCEPT_STEP, "the backend server is leaving")
    if not tables.healthy:
        return not_run(Code.UNAVAILABLE, ACCEPT_STEP, "the backend server is unhealthy")
    return capacity_refusal(event, tables)


def capacity_refusal(event: Dispatch, tables: GuardTables) -> Outcome | None:
    """Refuse a dispatch if the queue is full or it could not be answered in time."""
    settings = tables.settings
    held = len(tables.executions)
    if held >= settings.slots + settings.queue_limit:
        return not_run(
            Code.OVERLOADED, ACCEPT_STEP, f"{held} requests are here already"
        )
    rounds = held // settings.slots
    wait_s = (rounds + 1) * tables.service_s if rounds else 0.0
    if event.remaining_s <= wait_s:
        return not_run(Code.DEADLINE, ACCEPT_STEP, "too little time is left")
    return None


def refuse(
    tables: GuardTables, event: Dispatch, waiter: Waiter, outcome: Outcome
) -> Step[GuardTables]:
    """Refuse a dispatch, and any delayed copy of it if it is unrepeatable."""
    assert outcome.problem is not None
    decision = Decision(
        kind="guard.refuse",
        subject=event.request_id or event.attempt_id,
        chosen="",
        reason=str(outcome.problem),
    )
    count = Count(name="guard.refused", label=event.service)
    commands = (*replies(outcome, (waiter,)), decision, count)
    if not event.repeatable:
        tables = record_refused_attempt(tables, event.attempt_id)
    return Step(tables=tables, commands=commands)


@apply.register
def _(event: Recall, tables: GuardTables, now: float) -> Step[GuardTables]:
    waiter = Waiter(peer=event.peer, attempt_id=event.attempt_id)
    joined = join_known(tables, event.request_id, waiter)
    if joined is not None:
        return joined
    if now < tables.outcomes_missing_until:
        missing = problem(
            Code.OUTCOME_UNKNOWN, RECALL_STEP, "the id may have been forgotten"
        )
        outcome = Outcome(ran=Ran.UNKNOWN, problem=missing)
        return Step(tables=tables, commands=replies(outcome, (waiter,)))
    barred = not_run(
        Code.NOT_RUN, RECALL_STEP, "the id never came here and is barred now"
    )
    tables = store_outcome(tables, event.request_id, barred, now)
    count = Count(name="guard.barred", label=event.service)
    return Step(tables=tables, commands=(*replies(barred, (waiter,)), count))


@apply.register
def _(event: Abandon, tables: GuardTables, now: float) -> Step[GuardTables]:
    execution = tables.executions.get(event.attempt_id)
    if execution is None:
        return Step(tables=tables)
    remaining = tuple(
        waiter for waiter in execution.waiters if waiter.attempt_id != event.attempt_id
    )
    if remaining or execution.state is ExecutionState.RUNNING:
        return Step(tables=put_execution(tables, replace(execution, waiters=remaining)))
    tables = record_refused_attempt(tables, event.attempt_id)
    dropped = tables.executions.drop(event.attempt_id)
    return Step(tables=replace(tables, executions=dropped))
