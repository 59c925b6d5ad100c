"""Takes the dispatches and recalls of entries, each id at most once.

A dispatch is refused as not run before the backend server sees a byte of it. An
unrepeatable id that is known already is never run again: its dispatches and recalls
all get the outcome of the one run.
"""

from __future__ import annotations

from dataclasses import replace

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
from bulrushpulley.systems.guard.memory import refuse_for_good, remember
from bulrushpulley.systems.guard.reply import not_run, problem, replies

ACCEPT = "guard.accept"
RECALL = "guard.recall"


@apply.register
def _(event: Dispatch, tables: GuardTables, now: float) -> Step[GuardTables]:
    waiter = Waiter(peer=event.peer, attempt_id=event.attempt_id)
    known = None if event.repeatable else join(tables, event.request_id, waiter)
    if known is not None:
        return known
    if event.attempt_id in tables.executions:
        return Step(tables=tables)
    refusal = refusal_of(event, tables)
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
    return Step(tables=put(tables, execution))


def put(tables: GuardTables, execution: Execution) -> GuardTables:
    """Return the tables with an execution."""
    executions = tables.executions.put(execution.execution_id, execution)
    return replace(tables, executions=executions)


def join(
    tables: GuardTables, request_id: str, waiter: Waiter
) -> Step[GuardTables] | None:
    """Give an attempt the outcome of its id, now or later; None if it is unknown."""
    row = tables.remembered.get(request_id)
    if row is not None:
        return Step(tables=tables, commands=replies(row.outcome, (waiter,)))
    for execution in tables.executions.rows_where("request_id", request_id):
        if waiter in execution.waiters:
            return Step(tables=tables)
        waiters = (*execution.waiters, waiter)
        return Step(tables=put(tables, replace(execution, waiters=waiters)))
    return None


def refusal_of(event: Dispatch, tables: GuardTables) -> Outcome | None:
    """Return why a dispatch is not taken, if so."""
    settings = tables.settings
    if event.attempt_id in tables.refused:
        return not_run(Code.NOT_RUN, ACCEPT, "this attempt was refused before")
    if not event.repeatable and not event.request_id:
        return not_run(Code.INVALID, ACCEPT, "an unrepeatable request needs an id")
    if event.service != settings.service:
        return not_run(Code.NOT_FOUND, ACCEPT, f"this runs {settings.service}")
    if tables.leaving:
        return not_run(Code.LEAVING, ACCEPT, "the backend server is leaving")
    if not tables.healthy:
        return not_run(Code.UNAVAILABLE, ACCEPT, "the backend server is unhealthy")
    return no_room(event, tables)


def no_room(event: Dispatch, tables: GuardTables) -> Outcome | None:
    """Refuse a dispatch beyond the slots and the queue, or one that is late."""
    settings = tables.settings
    ahead = len(tables.executions)
    if ahead >= settings.slots + settings.queue_limit:
        return not_run(Code.OVERLOADED, ACCEPT, f"{ahead} requests are here already")
    waves = ahead // settings.slots
    wait_s = (waves + 1) * tables.service_s if waves else 0.0
    if event.remaining_s <= wait_s:
        return not_run(Code.DEADLINE, ACCEPT, "too little time is left")
    return None


def refuse(
    tables: GuardTables, event: Dispatch, waiter: Waiter, outcome: Outcome
) -> Step[GuardTables]:
    """Refuse a dispatch, and any late copy of it."""
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
        tables = refuse_for_good(tables, event.attempt_id)
    return Step(tables=tables, commands=commands)


@apply.register
def _(event: Recall, tables: GuardTables, now: float) -> Step[GuardTables]:
    waiter = Waiter(peer=event.peer, attempt_id=event.attempt_id)
    known = join(tables, event.request_id, waiter)
    if known is not None:
        return known
    if now < tables.forgetful_until:
        gone = problem(Code.OUTCOME_UNKNOWN, RECALL, "the id may have been forgotten")
        outcome = Outcome(ran=Ran.UNKNOWN, problem=gone)
        return Step(tables=tables, commands=replies(outcome, (waiter,)))
    barred = not_run(Code.NOT_RUN, RECALL, "the id never came here and is barred now")
    tables = remember(tables, event.request_id, barred, now)
    count = Count(name="guard.barred", label=event.service)
    return Step(tables=tables, commands=(*replies(barred, (waiter,)), count))


@apply.register
def _(event: Abandon, tables: GuardTables, now: float) -> Step[GuardTables]:
    execution = tables.executions.get(event.attempt_id)
    if execution is None:
        return Step(tables=tables)
    left = tuple(
        waiter for waiter in execution.waiters if waiter.attempt_id != event.attempt_id
    )
    if left or execution.state is ExecutionState.RUNNING:
        return Step(tables=put(tables, replace(execution, waiters=left)))
    tables = refuse_for_good(tables, event.attempt_id)
    dropped = tables.executions.drop(event.attempt_id)
    return Step(tables=replace(tables, executions=dropped))
