"""Stops the runs that go on although their leases must have expired.

A backend server measures leases on its own clock, which stands still while its host is
suspended, so a lease may last longer than the owner of the shard waits before it starts
the runs elsewhere. The agent's clock counts the suspension, and the owner's wait leaves
the time for a stop after the longest lease. Where the server's clock shows that a lease
lasts longer, the stop comes so early that it may be repeated.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentStep,
    JobAgentTables,
    RunPhase,
    Server,
)
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.job_agent import edits, polling

# A slow clock of the server, and the time that its answers take.
MIN_OUTLASTING_S = 0.3
STARTED_PHASES = (RunPhase.STARTING, RunPhase.RUNNING)


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Mark the runs as unwanted whose leases are overdue."""
    began_at = tables.began_at
    if began_at is None:
        began_at = now
        tables = replace(tables, began_at=began_at)
    server = tables.server
    if server is None:
        return Step(tables=tables)
    leases_end_at = _leases_end_at(tables, began_at)
    overdue_s = now - leases_end_at
    early_s = tables.bounds.kill_s if _outlasts(server, leases_end_at) else 0.0
    if overdue_s < -early_s:
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
    reason = f"{len(overdue)} runs, {overdue_s:.3f} s after the end of all leases"
    line = edits.log(tables, "lease.overdue", server.life, "stop", reason)
    return Step(tables=tables, commands=(line,))


def _outlasts(server: Server, leases_end_at: float) -> bool:
    """Return whether the last lease lasts too long by the server's clock."""
    left_s = (server.lease_until_ms - server.clock_ms) / 1_000
    return server.clock_read_at + left_s > leases_end_at + MIN_OUTLASTING_S


def _leases_end_at(tables: JobAgentTables, began_at: float) -> float:
    """Return when all leases have ended by the agent's clock.

    An earlier process of the agent made its last contact before this one began.
    """
    bounds = tables.bounds
    former_end_at = began_at + bounds.agent_autonomy_s + bounds.longest_lease_s
    return max(former_end_at, polling.leases_end_at(tables))
