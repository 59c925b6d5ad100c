"""Keeps the owner of the shard linked to the agent of every known host."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import UNLINKED, Host
from bulrushpulley.entities.jobs.scheduler_tables import (
    DialAgent,
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.linker_tables import DialEnded
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.exponential_backoff import exponential_delay_s
from bulrushpulley.systems.scheduling import edits

# An agent that restarts accepts links within a second; one that never returns costs
# an attempt each `MAX_REDIAL_DELAY_S`.
MIN_REDIAL_DELAY_S = 0.2
MAX_REDIAL_DELAY_S = 1.5
# Runs on a silent host end with its leases unless it is linked again in time.
MAX_REDIAL_DELAY_WITH_TASKS_S = 0.4


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Dial the agents that are not linked and whose next attempt is due."""
    if not isinstance(tables.leadership, Owning) or tables.leaving:
        return Step(tables=tables)
    commands: list[Command] = []
    for host in tables.hosts.rows_where("link", UNLINKED):
        if now < host.redial_at or _is_address_in_use(tables, host.address):
            continue
        tables = edits.put_host(tables, replace(host, dialling=True))
        commands.append(DialAgent(address=host.address))
    return Step(tables=tables, commands=tuple(commands))


def _is_address_in_use(tables: SchedulerTables, address: str) -> bool:
    """Return whether another host with the same address is linked or being dialled.

    The row of a removed host may name the address that its successor has. A second
    link to an agent would end the first one.
    """
    others = tables.hosts.rows_where("address", address)
    return any(other.peer or other.dialling for other in others)


def handle_dial_ended(
    event: DialEnded, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Schedule the next attempt, with exponential backoff."""
    for host in tables.hosts.rows_where("address", event.address):
        retry_delay_s = exponential_delay_s(
            min_delay_s=MIN_REDIAL_DELAY_S,
            max_delay_s=_max_redial_delay_s(tables, host),
            doublings=host.redials,
        )
        retried = replace(
            host,
            dialling=False,
            redial_at=now + retry_delay_s,
            redials=host.redials + 1,
        )
        tables = edits.put_host(tables, retried)
    return Step(tables=tables)


def _max_redial_delay_s(tables: SchedulerTables, host: Host) -> float:
    if tables.tasks.count_where("host", host.name):
        return MAX_REDIAL_DELAY_WITH_TASKS_S
    return MAX_REDIAL_DELAY_S
