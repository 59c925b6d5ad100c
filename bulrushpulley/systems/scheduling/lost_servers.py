"""Ends the runs of silent backend servers that the platform does not list any more.

A host that makes no contact may be cut off while its runs go on, so by itself silence
ends them only once their last lease has expired (`lease_expiry`). The platform's list
of machines tells a lost host from one that is cut off: it names the backend server of
each machine that is up, and a run ends with its server.
"""

from __future__ import annotations

from collections.abc import Mapping, Set

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import CONTACT_INTERVAL_S
from bulrushpulley.entities.jobs.host import Host, ServerState, server_of_incarnation
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.lasting_states import first_lines, left_out
from bulrushpulley.systems.scheduling import edits, endings

# Two contacts in a row are missing by then. A longer time would only delay the start of
# a lost host's tasks elsewhere.
HOST_SILENCE_TIMEOUT_S = 2 * CONTACT_INTERVAL_S
# A new owner has heard the agents that it reaches by then.
FIRST_CONTACT_TIMEOUT_S = 0.6
# The platform's list may be this old when it is returned.
MAX_LIST_AGE_S = 1.5
# An agent in contact reports these while its backend server does not answer it.
UNANSWERING_STATES = frozenset({ServerState.UNKNOWN, ServerState.SILENT})


def host_by_silent_incarnation(tables: SchedulerTables, now: float) -> Map[str, str]:
    """Return the incarnations that hold tasks on silent hosts, with their hosts.

    A host is silent if its agent makes no contact, or has no answer from its server.
    """
    owning = tables.leadership
    if not isinstance(owning, Owning):
        return Map()
    return Map(
        {
            incarnation: name
            for name in tables.tasks.by_index["host"]
            if _is_silent(tables.hosts.get(name), owning, now)
            for incarnation in _incarnations_with_tasks(tables, name)
        }
    )


def _is_silent(host: Host | None, owning: Owning, now: float) -> bool:
    if host is None or host.last_contact_at <= 0.0:
        return now - owning.loaded_at > FIRST_CONTACT_TIMEOUT_S
    if host.state in UNANSWERING_STATES:
        return True
    return now - max(host.last_contact_at, owning.loaded_at) > HOST_SILENCE_TIMEOUT_S


def _incarnations_with_tasks(tables: SchedulerTables, name: str) -> frozenset[str]:
    return frozenset(task.life for task in tables.tasks.rows_where("host", name))


def may_confirm_soon(tables: SchedulerTables) -> bool:
    """Return whether a server that the last list left out may be asked about soon.

    An agent that has restarted may hold a server that is younger than both lists are
    old, so for it the second list has to be later.
    """
    missing = tables.machines.missing_incarnations
    if not missing:
        return False
    return not any(
        host.last_contact_at > 0.0
        and host.state in UNANSWERING_STATES
        and missing & {host.life, *lives}
        for host, lives in (
            (tables.hosts.get(name), _incarnations_with_tasks(tables, name))
            for name in tables.tasks.by_index["host"]
        )
        if host is not None
    )


def end_unlisted(
    tables: SchedulerTables,
    running_server_ids: Set[str],
    now: float,
    *,
    one_page: bool,
) -> SchedulerStep:
    """End the runs on silent hosts whose backend servers the platform does not list.

    The list counts only for incarnations that were asked about when it was requested,
    so that a server that has started since is not missed. A second list is needed as
    a machine may be left out of one that changes while its pages are read, and as the
    list may be older than a server that has just started.
    """
    host_by_silent = host_by_silent_incarnation(tables, now)
    if not _names_known_servers(tables, running_server_ids, host_by_silent):
        return Step(tables=tables)
    machines = tables.machines
    judged = machines.asked_incarnations & frozenset(host_by_silent)
    named = frozenset(
        each for each in judged if server_of_incarnation(each) in running_server_ids
    )
    missing = judged - named
    commands: list[Command] = []
    newly_named = sorted(named - machines.named_incarnations)
    logged = first_lines(newly_named)
    for incarnation in logged:
        reason = f"silent, but the platform lists its backend server {incarnation}"
        reason += left_out(newly_named) if incarnation == logged[-1] else ""
        name = host_by_silent[incarnation]
        commands.append(edits.log(tables, "host.listed", name, "", reason))
    lost = missing & machines.missing_incarnations
    if one_page:
        lost |= {
            each
            for each in missing
            if _is_older_than_lists(tables, host_by_silent[each], each)
        }
    for incarnation in sorted(lost):
        step = _end_incarnation(tables, host_by_silent[incarnation], incarnation, now)
        tables = step.tables
        commands.extend(step.commands)
    machines = replace(machines, named_incarnations=named, missing_incarnations=missing)
    return Step(tables=replace(tables, machines=machines), commands=tuple(commands))


def _is_older_than_lists(tables: SchedulerTables, name: str, incarnation: str) -> bool:
    """Return whether an incarnation held tasks well before the list was requested."""
    held_since = [
        task.since
        for task in tables.tasks.rows_where("host", name)
        if task.life == incarnation
    ]
    return min(held_since) <= tables.machines.requested_at - MAX_LIST_AGE_S


def _names_known_servers(
    tables: SchedulerTables,
    running_server_ids: Set[str],
    host_by_silent: Mapping[str, str],
) -> bool:
    """Return whether a list names any backend server that hosts or tasks name.

    Otherwise it is not a list of the servers that run the tasks of this shard.
    """
    return any(
        server_of_incarnation(host.life) in running_server_ids
        for host in tables.hosts.by_key.values()
    ) or any(
        server_of_incarnation(each) in running_server_ids for each in host_by_silent
    )


def _end_incarnation(
    tables: SchedulerTables, name: str, incarnation: str, now: float
) -> SchedulerStep:
    step = endings.end_runs_as_lost(
        tables,
        name,
        now,
        "its backend server was no longer listed",
        keep_incarnations=_incarnations_with_tasks(tables, name) - {incarnation},
    )
    if not step.commands:
        # Its tasks are placed and not ordered yet.
        return Step(tables=tables)
    tables = step.tables
    host = tables.hosts.get(name)
    if host is not None and host.life == incarnation:
        # Once it is adopted again, the agent reports the server if it is up after all.
        tables = edits.put_server_gone(tables, replace(host, announced_epoch=0))
    reason = f"silent, and the platform lists its backend server {incarnation} no more"
    line = edits.log(tables, "host.unlisted", name, "", reason)
    return Step(tables=tables, commands=(line, *step.commands))
