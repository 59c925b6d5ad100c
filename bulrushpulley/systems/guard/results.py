"""Handles the backend server's results and sends them to the waiting entries."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.execution import (
    BackendAnswered,
    BackendFailed,
    Execution,
    Outcome,
)
from bulrushpulley.entities.guard_tables import GuardTables
from bulrushpulley.entities.observe import Count, Observe
from bulrushpulley.entities.step import Step
from bulrushpulley.errors import Ran
from bulrushpulley.systems.guard.events import apply
from bulrushpulley.systems.guard.outcomes import record_refused_attempt, store_outcome
from bulrushpulley.systems.guard.reply import replies

AGENT_RUN_TIME_WEIGHT = 0.1
UNHEALTHY_AFTER_FAILURES = 3


@apply.register
def _(event: BackendAnswered, tables: GuardTables, now: float) -> Step[GuardTables]:
    execution = tables.executions.get(event.execution_id)
    if execution is None:
        return Step(tables=tables)
    took_s = now - execution.started_at
    outcome = Outcome(ran=Ran.YES, status=event.status, body=event.body, took_s=took_s)
    weight = AGENT_RUN_TIME_WEIGHT if tables.service_s else 1.0
    average_s = tables.service_s + weight * (took_s - tables.service_s)
    tables = replace(tables, service_s=average_s, failures=0)
    step = finish(tables, execution, outcome, now)
    observed = Observe(name="guard.run", seconds=took_s, label=execution.service)
    return Step(tables=step.tables, commands=(*step.commands, observed))


@apply.register
def _(event: BackendFailed, tables: GuardTables, now: float) -> Step[GuardTables]:
    execution = tables.executions.get(event.execution_id)
    if execution is None:
        return Step(tables=tables)
    # A run that ended at the caller's deadline is not counted as a failure.
    ran = Ran.UNKNOWN if event.sent else Ran.NO
    outcome = Outcome(ran=ran, problem=event.problem)
    out_of_time = now >= execution.deadline
    failures = tables.failures + (not out_of_time)
    healthy = tables.healthy and failures < UNHEALTHY_AFTER_FAILURES
    tables = replace(tables, failures=failures, healthy=healthy)
    step = finish(tables, execution, outcome, now)
    count = Count(name=f"guard.failed.{ran.value}", label=execution.service)
    return Step(tables=step.tables, commands=(*step.commands, count))


def finish(
    tables: GuardTables, execution: Execution, outcome: Outcome, now: float
) -> Step[GuardTables]:
    """End an execution, store the outcome of an unrepeatable one, and reply.

    After an outcome of "not run" the id may be dispatched again under a later claim;
    only the attempt itself must never run.
    """
    executions = tables.executions.drop(execution.execution_id)
    tables = replace(tables, executions=executions)
    if outcome.ran is Ran.NO:
        tables = record_refused_attempt(tables, execution.execution_id)
    elif not execution.repeatable:
        tables = store_outcome(tables, execution.request_id, outcome, now)
    return Step(tables=tables, commands=replies(outcome, execution.waiters))
