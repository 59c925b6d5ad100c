"""Stops the runs that go on although their leases must have expired.

A backend server measures leases on its own clock, which stands still while its host is
suspended, so a lease may last longer than the owner of the shard waits before it starts
the runs elsewhere. The agent's clock counts the suspension, and the owner's wait leaves
the time for a stop after the longest lease.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentStep,
    JobAgentTables,
    RunPhase,
)
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.job_agent import edits, polling

STARTED_PHASES = (RunPhase.STARTING, RunPhase.RUNNING)


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Mark the runs as unwanted whose leases are overdue."""
    began_at = tables.began_at
    if began_at is None:
        began_at = now
        tables = replace(tables, began_at=began_at)
    overdue_s = now - _leases_end_at(tables, began_at)
    server = tables.server
    if server is None or overdue_s < 0.0:
        return Step(tables=tables)
    overdue = [
        run_
        for phase in STARTED_PHASES
        for run_ in tables.runs.rows_where("phase", phase.value)
        if run_.wanted
    ]
    if not overdue:
        return Step(tables=tables)
    for run_ in overdue:
        tables = edits.put_run(tables, replace(run_, wanted=False))
    reason = f"{len(overdue)} runs whose leases ended {overdue_s:.3f} s ago"
    line = edits.log(tables, "lease.overdue", server.life, "stop", reason)
    return Step(tables=tables, commands=(line,))


def _leases_end_at(tables: JobAgentTables, began_at: float) -> float:
    """Return when all leases have ended by the agent's clock.

    An earlier process of the agent made its last contact before this one began.
    """
    bounds = tables.bounds
    former_end_at = began_at + bounds.agent_autonomy_s + bounds.longest_lease_s
    return max(former_end_at, polling.leases_end_at(tables))
