"""Ends the runs of silent backend servers that the platform does not list any more.

A host that makes no contact may be cut off while its runs go on, so by itself silence
ends them only once their last lease has expired (`lease_expiry`). The platform's list
of machines tells a lost host from one that is cut off: it names the backend server of
each machine that is up, and a run ends with its server.
"""

from __future__ import annotations

from collections.abc import Set

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import CONTACT_INTERVAL_S
from bulrushpulley.entities.jobs.host import Host, ServerState, server_of_incarnation
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, endings

# The agent of a host makes contact this often or more if all is well, so two contacts
# in a row are missing. More only delays the start of its tasks elsewhere.
MAX_CONTACT_AGE_S = 2 * CONTACT_INTERVAL_S
# An agent in contact reports these while its backend server does not answer it.
UNANSWERING_STATES = frozenset({ServerState.UNKNOWN, ServerState.SILENT})


def silent_hosts(tables: SchedulerTables, now: float) -> frozenset[str]:
    """Return the hosts with tasks whose agent or backend server is silent."""
    owning = tables.leadership
    if not isinstance(owning, Owning):
        return frozenset()
    return frozenset(
        name
        for name in tables.tasks.by_index["host"]
        if _is_silent(tables.hosts.get(name), owning, now)
    )


def _is_silent(host: Host | None, owning: Owning, now: float) -> bool:
    if host is None or host.last_contact_at <= 0.0:
        return now - owning.loaded_at > MAX_CONTACT_AGE_S
    if host.state in UNANSWERING_STATES:
        return True
    return now - max(host.last_contact_at, owning.loaded_at) > MAX_CONTACT_AGE_S


def end_unlisted(tables: SchedulerTables, now: float) -> SchedulerStep:
    """End the runs on silent hosts whose backend servers the last list does not name.

    The list counts only for hosts that were silent when it was requested, so that a
    server that has just started is not missed, and only if it names backend servers
    that run tasks of this shard at all.
    """
    listed = frozenset(
        machine.server_id
        for machine in tables.machines.machines.rows()
        if machine.server_id
    )
    still_silent = tables.machines.silent_hosts & silent_hosts(tables, now)
    if not _names_known_servers(tables, listed, still_silent):
        return Step(tables=tables)
    commands: list[Command] = []
    up_hosts: set[str] = set()
    for name in sorted(still_silent):
        incarnations = _incarnations_with_tasks(tables, name)
        up = frozenset(
            each for each in incarnations if server_of_incarnation(each) in listed
        )
        if up == incarnations:
            up_hosts.add(name)
            continue
        step = _end_runs(tables, name, listed, up, now)
        tables = step.tables
        commands.extend(step.commands)
    for name in sorted(up_hosts - tables.machines.up_hosts):
        reason = "silent, but the platform lists its backend server as up"
        commands.append(edits.log(tables, "host.listed", name, "", reason))
    machines = replace(tables.machines, up_hosts=frozenset(up_hosts))
    return Step(tables=replace(tables, machines=machines), commands=tuple(commands))


def _names_known_servers(
    tables: SchedulerTables, listed: Set[str], silent: Set[str]
) -> bool:
    """Return whether a list names a backend server that agents or tasks name too."""
    incarnations = {host.life for host in tables.hosts.rows()}
    for name in silent:
        incarnations |= _incarnations_with_tasks(tables, name)
    return any(server_of_incarnation(each) in listed for each in incarnations)


def _incarnations_with_tasks(tables: SchedulerTables, name: str) -> frozenset[str]:
    return frozenset(task.life for task in tables.tasks.rows_where("host", name))


def _end_runs(
    tables: SchedulerTables,
    name: str,
    listed: frozenset[str],
    up: frozenset[str],
    now: float,
) -> SchedulerStep:
    host = tables.hosts.get(name)
    if host is not None and server_of_incarnation(host.life) not in listed:
        tables = edits.put_server_gone(tables, host)
    line = edits.log(
        tables,
        "host.unlisted",
        name,
        "",
        "silent, and the platform lists its backend server no more",
    )
    reason = "its backend server was no longer listed"
    step = endings.end_runs_as_lost(tables, name, now, reason, keep_incarnations=up)
    return Step(tables=step.tables, commands=(line, *step.commands))
