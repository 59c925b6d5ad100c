"""Distributes the configuration to the linked agents and to the router.

A new link gets the full configuration, the others the changes since the revision
last sent to them. An agent that does not confirm in time gets the full
configuration again. Duplicate and reordered items do no harm: receivers keep the
newer row.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.controller_tables import AgentLink, ControllerTables
from bulrushpulley.entities.link import Announce, Configured, LinkDown, LinkUp, Send
from bulrushpulley.entities.step import Command, Step, Tell
from bulrushpulley.systems.control.events import ControllerStep, apply
from bulrushpulley.systems.control.members import entries_for_link
from bulrushpulley.systems.control.records import record_row

ROUTER = "router"
CONFIG_CONFIRM_TIMEOUT_S = 2.0


@apply.register
def _(event: LinkUp, tables: ControllerTables, now: float) -> ControllerStep:
    link = AgentLink(peer=event.peer, region=event.region)
    tables = replace(tables, links=tables.links.put(event.peer, link))
    return Step(tables=tables, commands=(entries_for_link(event, tables),))


@apply.register
def _(event: LinkDown, tables: ControllerTables, now: float) -> ControllerStep:
    return Step(tables=replace(tables, links=tables.links.drop(event.peer)))


@apply.register
def _(event: Announce, tables: ControllerTables, now: float) -> ControllerStep:
    link = tables.links.get(event.peer)
    if link is None:
        return Step(tables=tables)
    updated = replace(link, announced=event)
    behind = event.applied_revision < link.sent_revision
    if behind and now - link.sent_at >= CONFIG_CONFIRM_TIMEOUT_S:
        updated = replace(updated, sent_revision=0)
    return Step(tables=replace(tables, links=tables.links.put(event.peer, updated)))


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Send the missing changes to the router and to every link that is behind."""
    current = tables.revision
    if current == 0 or _all_sent(tables):
        return Step(tables=tables)
    by_base: dict[int, Configured] = {}
    commands: list[Command] = []
    if tables.distributed_revision < current:
        item = _changes_since(tables, tables.distributed_revision, by_base)
        commands.append(Tell(role=ROUTER, event=item))
        tables = replace(tables, distributed_revision=current)
    for link in tables.links.rows():
        if link.sent_revision >= current:
            continue
        item = _changes_since(tables, link.sent_revision, by_base)
        commands.append(Send(peer=link.peer, item=item))
        sent = replace(link, sent_revision=current, sent_at=now)
        tables = replace(tables, links=tables.links.put(link.peer, sent))
    return Step(tables=tables, commands=tuple(commands))


def _all_sent(tables: ControllerTables) -> bool:
    sent = tables.links.count_where("sent", str(tables.revision))
    return tables.distributed_revision == tables.revision and sent == len(tables.links)


def _changes_since(
    tables: ControllerTables, base: int, by_base: dict[int, Configured]
) -> Configured:
    if base not in by_base:
        rows = tuple(
            row for row in tables.records.rows() if _revision_of(row) > base or not base
        )
        by_base[base] = Configured(base=base, revision=tables.revision, rows=rows)
    return by_base[base]


def _revision_of(row: VersionedRow) -> int:
    existing = record_row(row)
    return existing.revision if existing is not None else 0
