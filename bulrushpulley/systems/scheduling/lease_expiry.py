"""Ends the runs on hosts that were unreachable until their leases expired."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import chain, islice

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import (
    CONTACT_INTERVAL_S,
    EARLIER_VERSION_AGENT_AUTONOMY_S,
)
from bulrushpulley.entities.jobs.host import NO_LINK, SILENT, Host
from bulrushpulley.entities.jobs.rows import OwnerRow, UnlinkedHost
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.table import Table
from bulrushpulley.systems.scheduling import edits, endings

# A short interval compared with leases, which take seconds to expire.
EXPIRY_CHECK_INTERVAL_S = 0.2
# Bounds the owner row to a few tens of kilobytes. For hosts beyond it, the next owner
# waits as long as for one that was linked until the takeover.
MAX_UNLINKED_HOSTS = 500
# Agents that miss a contact are listed, as the owner may be lost next.
MAX_LISTED_SILENCE_S = 1.5 * CONTACT_INTERVAL_S


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
        if _is_silent(owning, host):
            tables = edits.put_host(tables, replace(host, silent=True))
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


def _is_silent(owning: Owning, host: Host) -> bool:
    """Return whether an agent has missed contacts on its link, and is not marked yet.

    An owner that was suspended has not read yet what agents sent meanwhile, so a
    transaction of this owner has to be later.
    """
    if host.silent or not host.peer or host.last_contact_at <= 0.0:
        return False
    heard_at = max(host.last_contact_at, host.linked_at)
    return owning.renewed_at > heard_at + MAX_LISTED_SILENCE_S


def leases_expired_at(tables: SchedulerTables, owning: Owning, host: Host) -> float:
    """Return the time after which no run ordered on a host can still be running."""
    if host.last_contact_at > 0.0:
        # Owners before this one may have confirmed contacts until it adopted the agent.
        confirmed_end_at = host.adopted_at + EARLIER_VERSION_AGENT_AUTONOMY_S
        return max(
            host.last_contact_at + tables.bounds.agent_expiry_s,
            confirmed_end_at + tables.bounds.lease_expiry_s,
        )
    if host.runs_end_by > 0.0:
        return host.runs_end_by
    return owning.renewals_end_at + tables.bounds.lease_expiry_s


def unlinked_hosts(
    tables: SchedulerTables, owning: Owning, now: float
) -> tuple[UnlinkedHost, ...]:
    """Return the hosts out of reach on which runs may remain, for the owner row.

    Agents that link again are adopted after a transaction with a row without them, and
    the contacts of those that were silent are confirmed after such a one.
    """
    out_of_reach = chain(
        tables.hosts.rows_where("missing_link", NO_LINK),
        tables.hosts.rows_where("silent", SILENT),
    )
    unlinked = (
        UnlinkedHost(
            host=host.name,
            runs_end_in_s=max(0.0, leases_expired_at(tables, owning, host) - now),
        )
        for host in out_of_reach
        if _may_have_runs(tables, owning, host)
    )
    return tuple(islice(unlinked, MAX_UNLINKED_HOSTS))


def _may_have_runs(tables: SchedulerTables, owning: Owning, host: Host) -> bool:
    """Return whether tasks hold the host, or may once the shard has been read."""
    is_held = bool(tables.tasks.count_where("host", host.name))
    return is_held or bool(owning.loading and host.runs_end_by)


def runs_end_by_host(row: OwnerRow | None, seen_at: float) -> Map[str, float]:
    """Return when the runs on unlinked hosts have ended, by a row first seen then."""
    unlinked = row.unlinked_hosts if row is not None else ()
    return Map({entry.host: seen_at + entry.runs_end_in_s for entry in unlinked})


def with_ends(hosts: Table[Host], runs_end_by_host: Mapping[str, float]) -> Table[Host]:
    """Return the hosts with the times by which their runs have ended."""
    for name, runs_end_by in runs_end_by_host.items():
        host = hosts.get(name) or Host(name=name)
        hosts = hosts.put(name, replace(host, runs_end_by=runs_end_by))
    return hosts
