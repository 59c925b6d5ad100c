"""Builds the job agent, the role that runs tasks on the backend server of its host."""

from __future__ import annotations

from bulrushpulley.entities.jobs.job_agent_tables import JOB_AGENT, JobAgentTables
from bulrushpulley.roles.actor import CONTROL_TICK_INTERVAL_S, Role, seconds_since_boot
from bulrushpulley.systems.job_agent import (
    confirming,
    fencing,
    overdue,
    pacing,
    polling,
    registering,
    reporting,
    server_lifecycle,
    starting,
    stopping,
    unsettled,
)
from bulrushpulley.systems.job_agent.events import apply, can_wait


def build(tables: JobAgentTables) -> Role[JobAgentTables]:
    """Return the job agent with its initial tables."""
    return Role(
        name=JOB_AGENT,
        tables=tables,
        apply=apply,
        systems=(
            registering.run,
            confirming.run,
            fencing.run,
            server_lifecycle.update_state,
            overdue.run,
            starting.run,
            stopping.run,
            pacing.decide_paces,
            pacing.run,
            polling.run,
            reporting.run,
            unsettled.run,
        ),
        tick_interval_s=CONTROL_TICK_INTERVAL_S,
        can_wait=can_wait,
        clock=seconds_since_boot,
    )
