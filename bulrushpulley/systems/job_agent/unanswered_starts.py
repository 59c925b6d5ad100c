"""Keeps starts that got no answer from beginning runs on the next incarnation.

Such a start may be carried out seconds later, after its run has ended, was started
elsewhere, or the backend server has started again under its id. A run that was stopped
can never start on a server, so the next incarnation is told to stop all of them.
"""

from __future__ import annotations

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import MAX_CALL_DELAY_S
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentTables,
    Run,
    RunPhase,
    UnansweredStart,
)
from bulrushpulley.entities.jobs.runs import RunRef
from bulrushpulley.systems.job_agent import edits


def record(tables: JobAgentTables, ref: RunRef, now: float) -> JobAgentTables:
    """Record that a start may still be carried out."""
    start = UnansweredStart(ref=ref, sent_before=now)
    starts = {known.ref.key: known for known in pending(tables, now)}
    unanswered = Map({**starts, ref.key: start})
    return replace(tables, unanswered_starts=unanswered)


def pending(tables: JobAgentTables, now: float) -> list[UnansweredStart]:
    """Return the starts that may still be carried out."""
    return [
        start
        for start in tables.unanswered_starts.values()
        if now - start.sent_before <= MAX_CALL_DELAY_S
    ]


def record_in_flight(tables: JobAgentTables, now: float) -> JobAgentTables:
    """Record the starts that are on their way as their server ends."""
    for run in tables.runs.rows_where("phase", RunPhase.STARTING.value):
        if run.in_flight:
            tables = record(tables, run.ref, now)
    return tables


def bar(tables: JobAgentTables, now: float) -> JobAgentTables:
    """Have the runs of all such starts stopped on a server that has none of its own."""
    for start in pending(tables, now):
        run = Run(
            ref=start.ref,
            phase=RunPhase.STARTING,
            wanted=False,
            since=now,
            unconfirmed=True,
        )
        tables = edits.put_run(tables, run)
    return tables
