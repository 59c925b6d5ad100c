"""Marks adopted agents to be adopted again that say nothing on an open link.

An agent that has dropped its owner makes no contact, while heartbeats keep the link
open. Adoption has it send its full state and changes nothing else.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import CONTACT_INTERVAL_S
from bulrushpulley.entities.jobs.host import Host, ServerState
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits

# About as long as a link without frames lasts, so that mostly open links are concerned.
MAX_AGENT_SILENCE_S = 4 * CONTACT_INTERVAL_S
# An agent answers its adoption at once, with a contact and all that it holds.
ADOPTION_ANSWER_TIMEOUT_S = 1.5 * CONTACT_INTERVAL_S
# Servers in these states have listed their runs, which a complete report follows.
LISTED_STATES = frozenset(
    {ServerState.READY, ServerState.DRAINING, ServerState.STALLED}
)


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Mark the adopted agents that have been silent for too long as not adopted."""
    owning = tables.leadership
    if not isinstance(owning, Owning) or owning.loading or tables.leaving:
        return Step(tables=tables)
    if now - tables.silence_checked_at < CONTACT_INTERVAL_S:
        return Step(tables=tables)
    tables = replace(tables, silence_checked_at=now)
    commands: list[Command] = []
    for host in tables.hosts.rows_where("link", f"{owning.epoch}"):
        heard_at, timeout_s = _heard_at(host), MAX_AGENT_SILENCE_S
        if heard_at <= host.announced_at:
            heard_at, timeout_s = host.announced_at, ADOPTION_ANSWER_TIMEOUT_S
        # An owner that was suspended has not read yet what agents sent meanwhile.
        if owning.renewed_at <= heard_at + timeout_s:
            continue
        silent = replace(host, announced_epoch=0, synced=False)
        tables = edits.put_host(tables, silent)
        reason = f"silent for {now - heard_at:.1f} s"
        commands.append(edits.log(tables, "host.readopt", host.name, "", reason))
    return Step(tables=tables, commands=tuple(commands))


def _heard_at(host: Host) -> float:
    """Return when the agent last did what is expected of it after an adoption."""
    if not host.synced and host.state in LISTED_STATES:
        return host.announced_at
    return max(host.announced_at, host.last_contact_at)
