"""Determines which roles receive an item from a link, and as which event.

Roles that the process does not run are skipped, so an item that a peer sends to the
wrong kind of process has no effect.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities import link
from bulrushpulley.entities.commit import CommitOutcome, ReadRequested, Submitted
from bulrushpulley.entities.jobs.items import (
    Adopt,
    ContactAck,
    EndsNoted,
    HarmVerdicts,
    JobItem,
    Orders,
)
from bulrushpulley.entities.jobs.job_agent_tables import JOB_AGENT
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER
from bulrushpulley.entities.linker_tables import DialEnded, DialLinked
from bulrushpulley.entities.step import Event

ROUTER = "router"
CONTROLLER = "controller"
COMMITTER = "committer"
GUARD = "guard"
CELL_OWNER = "cell_owner"
LINKER = "linker"
# The roles of entry and agent processes other than those on the users' platform.
ROLES = frozenset({ROUTER, CONTROLLER, COMMITTER, GUARD, CELL_OWNER, LINKER})


@singledispatch
def recipients(item: Event) -> tuple[str, ...]:
    """Return the names of the roles that receive an item; none by default."""
    return ()


@recipients.register(link.LinkUp)
@recipients.register(link.LinkDown)
def _(item: Event) -> tuple[str, ...]:
    return (ROUTER, CONTROLLER, GUARD, CELL_OWNER, SCHEDULER, JOB_AGENT)


@recipients.register
def _(item: JobItem) -> tuple[str, ...]:
    return (SCHEDULER,)


@recipients.register(Adopt)
@recipients.register(ContactAck)
@recipients.register(EndsNoted)
@recipients.register(HarmVerdicts)
@recipients.register(Orders)
def _(item: JobItem) -> tuple[str, ...]:
    return (JOB_AGENT,)


@recipients.register
def _(item: link.Announce) -> tuple[str, ...]:
    return (ROUTER, CONTROLLER)


@recipients.register(link.Answered)
@recipients.register(link.Refused)
def _(item: Event) -> tuple[str, ...]:
    return (ROUTER,)


@recipients.register
def _(item: link.CellSummary) -> tuple[str, ...]:
    return (CONTROLLER,)


@recipients.register(link.Submit)
@recipients.register(link.Fetch)
def _(item: Event) -> tuple[str, ...]:
    return (COMMITTER,)


@recipients.register(link.Dispatch)
@recipients.register(link.Recall)
@recipients.register(link.Abandon)
def _(item: Event) -> tuple[str, ...]:
    return (GUARD,)


@recipients.register
def _(item: link.Configured) -> tuple[str, ...]:
    return (GUARD, CELL_OWNER)


@recipients.register
def _(item: link.Entries) -> tuple[str, ...]:
    return (LINKER, CELL_OWNER)


@recipients.register(link.Offer)
@recipients.register(link.Assigned)
@recipients.register(link.JobCancelled)
@recipients.register(link.Fetched)
@recipients.register(CommitOutcome)
def _(item: Event) -> tuple[str, ...]:
    return (CELL_OWNER,)


@recipients.register(DialLinked)
@recipients.register(DialEnded)
def _(item: Event) -> tuple[str, ...]:
    return (LINKER, SCHEDULER)


@singledispatch
def event_for_item(item: Event) -> Event:
    """Return the event that a role receives for an item; the item by default."""
    return item


@event_for_item.register
def _(item: link.Submit) -> Event:
    return Submitted(origin=item.peer, submission=item.submission)


@event_for_item.register
def _(item: link.Fetch) -> Event:
    return ReadRequested(
        origin=item.peer,
        fetch_id=item.fetch_id,
        prefix=item.prefix,
        since=item.since,
    )
