"""Reports to the owner the runs that do not exist and can never start."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.items import RunRefused
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentStep,
    JobAgentTables,
    Run,
)
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.job_agent import edits


def refuse(tables: JobAgentTables, run: Run, reason: str) -> JobAgentStep:
    """Drop a run and report it; an owner without a link orders it again once linked."""
    tables = replace(tables, runs=tables.runs.drop(run.key))
    reason = run.denied or reason
    line = edits.log(tables, "run.refuse", run.key, "", reason)
    commands: list[Command] = [line]
    if tables.owner and tables.server is not None:
        item = RunRefused(
            epoch=tables.epoch,
            life=tables.server.life,
            run=run.ref,
            reason=reason,
            unhealthy=run.unhealthy,
            adoption=tables.adoption,
        )
        commands.append(Send(peer=tables.owner, item=item))
    return Step(tables=tables, commands=tuple(commands))
