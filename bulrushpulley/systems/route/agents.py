"""Maintains the router's view of the linked agents and the declared services."""

from __future__ import annotations

from bulrushpulley.entities.backend_server import BackendServer
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.link import Announce, Configured, LinkDown, LinkUp
from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.route.events import apply
from bulrushpulley.systems.route.finish import drop_attempt, put_service
from bulrushpulley.systems.route.recall import handle_link_lost, send_recall

SERVICE_PREFIX = "record/service/"


@apply.register
def _(event: LinkUp, tables: RouterTables, now: float) -> Step[RouterTables]:
    tables = replace(tables, links=tables.links.put(event.peer, event.region))
    commands: list[Command] = []
    for request in tables.requests.rows_where("awaited_link", event.peer):
        step = send_recall(tables, request, event.peer, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


@apply.register
def _(event: LinkDown, tables: RouterTables, now: float) -> Step[RouterTables]:
    lost = tables.attempts.rows_where("agent", event.peer)
    tables = replace(
        tables,
        links=tables.links.drop(event.peer),
        servers=tables.servers.drop(event.peer),
    )
    commands: list[Command] = []
    for attempt in lost:
        tables = drop_attempt(tables, attempt.attempt_id)
        step = handle_link_lost(tables, attempt, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


@apply.register
def _(event: Announce, tables: RouterTables, now: float) -> Step[RouterTables]:
    if event.peer not in tables.links:
        return Step(tables=tables)
    known = tables.servers.get(event.peer) or BackendServer(
        agent=event.agent,
        incarnation=event.peer,
        service=event.service,
        region=event.region,
        failure_domain=event.failure_domain,
        slots=event.slots,
        last_announced_at=now,
    )
    server = replace(
        known,
        slots=event.slots,
        last_announced_at=now,
        other_load=max(0, event.running + event.queued - known.in_flight),
        healthy=event.healthy,
        leaving=known.leaving or event.leaving,
    )
    return Step(tables=replace(tables, servers=tables.servers.put(event.peer, server)))


@apply.register
def _(event: Configured, tables: RouterTables, now: float) -> Step[RouterTables]:
    if event.base > tables.revision or event.revision <= tables.revision:
        return Step(tables=tables)
    if event.base == 0:
        tables = clear_declared(tables)
    for row in event.rows:
        tables = apply_row(row, tables)
    return Step(tables=replace(tables, revision=event.revision))


def clear_declared(tables: RouterTables) -> RouterTables:
    """Mark all services as not declared, before a full configuration is applied."""
    for service in tables.services.rows():
        tables = put_service(tables, replace(service, declared=False))
    return tables


def apply_row(row: VersionedRow, tables: RouterTables) -> RouterTables:
    """Apply one row of the configuration if it is a service record."""
    if not row.key.startswith(SERVICE_PREFIX):
        return tables
    name = row.key.removeprefix(SERVICE_PREFIX)
    service = replace(tables.service(name), declared=row.row is not None)
    return put_service(tables, service)
