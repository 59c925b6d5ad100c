"""Gives up runs on hosts that have been silent for so long that nothing runs there."""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, endings

# Leases take seconds to lapse.
EXPIRY_CHECK_INTERVAL_S = 0.2


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """End the runs of hosts whose leases have surely lapsed."""
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
            line = edits.log(tables, "host.lapse", name, "", f"life {host.life}")
            commands.extend((line, *step.commands))
    return Step(tables=tables, commands=tuple(commands))


def leases_expired_at(tables: SchedulerTables, owning: Owning, host: Host) -> float:
    """Return when nothing that was ordered there before can still run."""
    if host.last_contact_at > 0.0:
        return host.last_contact_at + tables.bounds.agent_expiry_s
    return owning.since + tables.bounds.agent_expiry_after_takeover_s
