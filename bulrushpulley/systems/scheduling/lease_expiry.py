"""Ends the runs on hosts that were unreachable until their leases expired."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, endings

# A short interval compared with leases, which take seconds to expire.
EXPIRY_CHECK_INTERVAL_S = 0.2


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """End the runs on hosts whose leases have certainly expired."""
    owning = tables.leadership
    if not isinstance(owning, Owning) or owning.loading:
        return Step(tables=tables)
    if now - tables.expiry_checked_at < EXPIRY_CHECK_INTERVAL_S:
        return Step(tables=tables)
    tables = replace(tables, expiry_checked_at=now)
    commands: list[Command] = []
    for name in sorted(tables.tasks.by_index["host"]):
        host = tables.hosts.get(name) or Host(name=name)
        if now < leases_expired_at(tables, owning, host):
            continue
        step = endings.end_runs_as_lost(
            tables, name, now, "its host was silent too long"
        )
        tables = step.tables
        if step.commands:
            line = edits.log(tables, "host.lapse", name, "", f"incarnation {host.life}")
            commands.extend((line, *step.commands))
    return Step(tables=tables, commands=tuple(commands))


def leases_expired_at(tables: SchedulerTables, owning: Owning, host: Host) -> float:
    """Return the time after which no run ordered on a host can still be running."""
    if host.last_contact_at > 0.0:
        return host.last_contact_at + tables.bounds.agent_expiry_s
    return owning.since + tables.bounds.agent_expiry_after_takeover_s
