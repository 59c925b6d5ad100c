"""Tells every linked entry how the backend server does.

A change of health or of leaving, and the queue filling up or emptying, goes out
at most every `URGENT_S`; other changes of load every `LOAD_S_PER_LINK` for each
linked entry, so that the bytes do not grow with the entries; and the same again
every `KEEPALIVE_S`, which shows that the agent lives.
"""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.guard_tables import Announced, EntryLink, GuardTables
from bulrushpulley.entities.link import Announce, Configured, LinkDown, LinkUp, Send
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.guard.events import apply
from bulrushpulley.systems.guard.queue import QUEUED, RUNNING

URGENT_S = 0.1
LOAD_S_PER_LINK = 0.05
KEEPALIVE_S = 1.0


@apply.register
def _(event: LinkUp, tables: GuardTables, now: float) -> Step[GuardTables]:
    link = EntryLink(peer=event.peer, region=event.region)
    tables = replace(tables, links=tables.links.put(event.peer, link))
    hello = announcement(tables, state(tables, now))
    return Step(tables=tables, commands=(Send(peer=event.peer, item=hello),))


@apply.register
def _(event: LinkDown, tables: GuardTables, now: float) -> Step[GuardTables]:
    return Step(tables=replace(tables, links=tables.links.drop(event.peer)))


@apply.register
def _(event: Configured, tables: GuardTables, now: float) -> Step[GuardTables]:
    if event.base > tables.applied_revision:
        return Step(tables=tables)
    revision = max(tables.applied_revision, event.revision)
    return Step(tables=replace(tables, applied_revision=revision))


def state(tables: GuardTables, now: float) -> Announced:
    """Return what an announcement would say now."""
    return Announced(
        at=now,
        running=tables.executions.count_where("state", RUNNING),
        queued=tables.executions.count_where("state", QUEUED),
        healthy=tables.healthy,
        leaving=tables.leaving,
        applied_revision=tables.applied_revision,
    )


def announcement(tables: GuardTables, said: Announced) -> Announce:
    """Return the link item of an announcement."""
    settings = tables.settings
    return Announce(
        agent=settings.agent,
        incarnation=settings.incarnation,
        service=settings.service,
        region=settings.region,
        failure_domain=settings.failure_domain,
        slots=settings.slots,
        running=said.running,
        queued=said.queued,
        healthy=said.healthy,
        leaving=said.leaving,
        applied_revision=said.applied_revision,
    )


def gap_s(before: Announced, after: Announced, links: int) -> float:
    """Return how long after the last announcement the next one is due."""
    if before.leaving != after.leaving:
        return 0.0
    revised = before.applied_revision != after.applied_revision
    filled = bool(before.queued) != bool(after.queued)
    if before.healthy != after.healthy or revised or filled:
        return URGENT_S
    if before.running != after.running or before.queued != after.queued:
        return min(KEEPALIVE_S, max(URGENT_S, LOAD_S_PER_LINK * links))
    return KEEPALIVE_S


def run(tables: GuardTables, now: float) -> Step[GuardTables]:
    """Announce to every entry if it is due."""
    said = state(tables, now)
    links = len(tables.links)
    if now < tables.announced.at + gap_s(tables.announced, said, links):
        return Step(tables=tables)
    item = announcement(tables, said)
    commands = tuple(Send(peer=peer, item=item) for peer in sorted(tables.links))
    return Step(tables=replace(tables, announced=said), commands=commands)
