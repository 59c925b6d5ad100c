"""Starts queued requests in free slots, and refuses those that are too late."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.execution import (
    Execution,
    ExecutionState,
    RunOnBackend,
)
from bulrushpulley.entities.guard_tables import GuardTables
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.errors import Code
from bulrushpulley.systems.guard.reply import not_run
from bulrushpulley.systems.guard.results import finish

QUEUED = ExecutionState.QUEUED.value
RUNNING = ExecutionState.RUNNING.value


def run(tables: GuardTables, now: float) -> Step[GuardTables]:
    """Start or refuse the queued requests, earliest deadline first.

    While a slot is free, requests are started until their deadline, whatever the
    average run time is, so that a backend server that was slow once is still tried.
    `queue_limit` keeps the queue short enough to sort it in each tick.
    """
    if not tables.executions.count_where("state", QUEUED):
        return Step(tables=tables)
    queued = tables.executions.rows_where("state", QUEUED)
    free = tables.settings.slots - tables.executions.count_where("state", RUNNING)
    commands: list[Command] = []
    for execution in sorted(queued, key=lambda row: (row.deadline, row.received_at)):
        min_left_s = tables.service_s if free <= 0 else 0.0
        if execution.deadline - now <= min_left_s:
            step = expire(tables, execution, now)
        elif free > 0:
            free -= 1
            step = start(tables, execution, now)
        else:
            continue
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def expire(tables: GuardTables, execution: Execution, now: float) -> Step[GuardTables]:
    """Refuse a queued request that can no longer be answered in time."""
    outcome = not_run(Code.DEADLINE, "guard.wait", "too little time is left")
    return finish(tables, execution, outcome, now)


def start(tables: GuardTables, execution: Execution, now: float) -> Step[GuardTables]:
    """Run a queued request on the backend server."""
    running = replace(execution, state=ExecutionState.RUNNING, started_at=now, body=b"")
    executions = tables.executions.put(execution.execution_id, running)
    command = RunOnBackend(
        execution_id=execution.execution_id,
        request_id=execution.request_id,
        within_s=execution.deadline - now,
        body=execution.body,
    )
    return Step(tables=replace(tables, executions=executions), commands=(command,))
