"""Announces the state of the backend server to every linked entry.

That the agent is leaving is announced immediately. A change of its health or of its
configuration revision, or between an empty and a non-empty queue, is announced at
most every `URGENT_ANNOUNCE_INTERVAL_S`. Other changes of the load are announced at
most every `LOAD_ANNOUNCE_INTERVAL_PER_LINK_S` times the number of linked entries, so
that the bytes sent do not grow with that number. An unchanged state is repeated every
`ANNOUNCE_KEEPALIVE_INTERVAL_S`, to show that the agent is alive.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.guard_tables import AnnouncedState, EntryLink, GuardTables
from bulrushpulley.entities.link import Announce, Configured, LinkDown, LinkUp, Send
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.guard.events import apply
from bulrushpulley.systems.guard.queue import QUEUED, RUNNING

URGENT_ANNOUNCE_INTERVAL_S = 0.1
LOAD_ANNOUNCE_INTERVAL_PER_LINK_S = 0.05
ANNOUNCE_KEEPALIVE_INTERVAL_S = 1.0


@apply.register
def _(event: LinkUp, tables: GuardTables, now: float) -> Step[GuardTables]:
    link = EntryLink(peer=event.peer, region=event.region)
    tables = replace(tables, links=tables.links.put(event.peer, link))
    item = announcement(tables, current_state(tables, now))
    return Step(tables=tables, commands=(Send(peer=event.peer, item=item),))


@apply.register
def _(event: LinkDown, tables: GuardTables, now: float) -> Step[GuardTables]:
    return Step(tables=replace(tables, links=tables.links.drop(event.peer)))


@apply.register
def _(event: Configured, tables: GuardTables, now: float) -> Step[GuardTables]:
    if event.base > tables.applied_revision:
        return Step(tables=tables)
    revision = max(tables.applied_revision, event.revision)
    return Step(tables=replace(tables, applied_revision=revision))


def current_state(tables: GuardTables, now: float) -> AnnouncedState:
    """Return the state that an announcement would contain now."""
    return AnnouncedState(
        sent_at=now,
        running=tables.executions.count_where("state", RUNNING),
        queued=tables.executions.count_where("state", QUEUED),
        healthy=tables.healthy,
        leaving=tables.leaving,
        applied_revision=tables.applied_revision,
    )


def announcement(tables: GuardTables, state: AnnouncedState) -> Announce:
    """Return the link item that announces a state."""
    settings = tables.settings
    return Announce(
        agent=settings.agent,
        incarnation=settings.incarnation,
        service=settings.service,
        region=settings.region,
        failure_domain=settings.failure_domain,
        slots=settings.slots,
        running=state.running,
        queued=state.queued,
        healthy=state.healthy,
        leaving=state.leaving,
        applied_revision=state.applied_revision,
    )


def announce_interval_s(
    before: AnnouncedState, after: AnnouncedState, links: int
) -> float:
    """Return the interval between the last announcement and the next one."""
    if before.leaving != after.leaving:
        return 0.0
    revision_changed = before.applied_revision != after.applied_revision
    queue_changed = bool(before.queued) != bool(after.queued)
    if before.healthy != after.healthy or revision_changed or queue_changed:
        return URGENT_ANNOUNCE_INTERVAL_S
    if before.running != after.running or before.queued != after.queued:
        return min(
            ANNOUNCE_KEEPALIVE_INTERVAL_S,
            max(URGENT_ANNOUNCE_INTERVAL_S, LOAD_ANNOUNCE_INTERVAL_PER_LINK_S * links),
        )
    return ANNOUNCE_KEEPALIVE_INTERVAL_S


def run(tables: GuardTables, now: float) -> Step[GuardTables]:
    """Announce to every entry if it is due."""
    state = current_state(tables, now)
    links = len(tables.links)
    if now < tables.announced.sent_at + announce_interval_s(
        tables.announced, state, links
    ):
        return Step(tables=tables)
    item = announcement(tables, state)
    commands = tuple(Send(peer=peer, item=item) for peer in sorted(tables.links))
    return Step(tables=replace(tables, announced=state), commands=commands)
