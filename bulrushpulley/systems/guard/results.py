"""Takes the results of the backend server and tells the entries that wait."""

from __future__ import annotations

from dataclasses import replace

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
from bulrushpulley.systems.guard.outcomes import record_refused_attempt, remember
from bulrushpulley.systems.guard.reply import replies

RUN_TIME_WEIGHT = 0.1
MAX_CONSECUTIVE_FAILURES = 3


@apply.register
def _(event: BackendAnswered, tables: GuardTables, now: float) -> Step[GuardTables]:
    execution = tables.executions.get(event.execution_id)
    if execution is None:
        return Step(tables=tables)
    took_s = now - execution.started_at
    outcome = Outcome(ran=Ran.YES, status=event.status, body=event.body, took_s=took_s)
    weight = RUN_TIME_WEIGHT if tables.service_s else 1.0
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
    """End a failed run; one that only ran out of the caller's time is no fault."""
    ran = Ran.UNKNOWN if event.sent else Ran.NO
    outcome = Outcome(ran=ran, problem=event.problem)
    out_of_time = now >= execution.deadline
    failures = tables.failures + (not out_of_time)
    healthy = tables.healthy and failures < MAX_CONSECUTIVE_FAILURES
    tables = replace(tables, failures=failures, healthy=healthy)
    step = finish(tables, execution, outcome, now)
    count = Count(name=f"guard.failed.{ran.value}", label=execution.service)
    return Step(tables=step.tables, commands=(*step.commands, count))


def finish(
    tables: GuardTables, execution: Execution, outcome: Outcome, now: float
) -> Step[GuardTables]:
    """End an execution, remember what an unrepeatable one came to, and reply.

    An outcome of "not run" leaves the id free, for a dispatch under a later claim;
    only the attempt itself never runs.
    """
    executions = tables.executions.drop(execution.execution_id)
    tables = replace(tables, executions=executions)
    if outcome.ran is Ran.NO:
        tables = record_refused_attempt(tables, execution.execution_id)
    elif not execution.repeatable:
        tables = remember(tables, execution.request_id, outcome, now)
    return Step(tables=tables, commands=replies(outcome, execution.waiters))
