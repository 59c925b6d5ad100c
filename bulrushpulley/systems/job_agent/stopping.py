"""Stops unwanted runs, and keeps those that have not started from starting."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.executor_calls import (
    StopAnswered,
    StopRun,
    StopUnanswered,
)
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentStep,
    JobAgentTables,
    RunPhase,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.job_agent import edits

RUN_STOP_TIMEOUT_S = 0.5
RUN_STOP_RETRY_DELAY_S = 0.1
# After a stop was accepted the run ends within `Bounds.kill_s`.
RUN_STOP_REPEAT_INTERVAL_S = 1.5


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Send the stops that are due."""
    server = tables.server
    if server is None:
        return Step(tables=tables)
    commands: list[Command] = []
    for run_ in tables.runs.rows_where("phase", "unwanted"):
        waits = run_.in_flight or run_.phase is RunPhase.BARRED
        if waits or now < run_.retry_at:
            continue
        sent = replace(run_, in_flight=True)
        tables = edits.put_run(tables, sent)
        commands.append(
            StopRun(
                server_id=server.server_id,
                address=server.address,
                timeout_s=RUN_STOP_TIMEOUT_S,
                fencing_token=tables.fencing_token,
                run=run_.ref,
            )
        )
    return Step(tables=tables, commands=tuple(commands))


def handle_stop_answered(
    event: StopAnswered, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Wait for the run's end, or for a list that shows that it does not exist."""
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    if run_.phase is RunPhase.RUNNING:
        answered = replace(
            run_, in_flight=False, retry_at=now + RUN_STOP_REPEAT_INTERVAL_S
        )
    else:
        answered = replace(run_, in_flight=False, phase=RunPhase.BARRED, barred_at=now)
    return Step(tables=edits.put_run(tables, answered))


def handle_stop_unanswered(
    event: StopUnanswered, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Schedule a retry of the stop."""
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    retried = replace(run_, in_flight=False, retry_at=now + RUN_STOP_RETRY_DELAY_S)
    return Step(tables=edits.put_run(tables, retried))
