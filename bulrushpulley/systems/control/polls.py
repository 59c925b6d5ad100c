"""The reads of the controller: at most one in flight for each poll."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import ReadRequested
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import Fetched
from bulrushpulley.entities.pending import Poll, ReadTarget
from bulrushpulley.entities.step import Command, Step, Tell
from bulrushpulley.systems.control.events import ControllerStep, apply, handle_rows
from bulrushpulley.systems.control.submissions import COMMITTER, CONTROLLER, with_new_id

POLL_TIMEOUT_S = 5.0


def read_once(
    tables: ControllerTables, now: float, *, target: ReadTarget, prefix: str
) -> tuple[ControllerStep, str]:
    """Read a prefix once; return the step and the id of the read."""
    tables, fetch_id = with_new_id(tables, "f")
    poll = Poll(
        target=target,
        prefix=prefix,
        interval_s=0.0,
        fetch_id=fetch_id,
        requested_at=now,
    )
    tables = replace(tables, polls=tables.polls.put(fetch_id, poll))
    return Step(tables=tables, commands=(_read_command(poll),)), fetch_id


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Request every read that is due, and repeat reads that got no answer."""
    commands: list[Command] = []
    for name in tables.polls:
        poll = tables.polls.by_key[name]
        if poll.fetch_id and now - poll.requested_at < POLL_TIMEOUT_S:
            continue
        if poll.next_at is None or now < poll.next_at:
            continue
        tables, fetch_id = with_new_id(tables, "f")
        sent = replace(poll, fetch_id=fetch_id, requested_at=now)
        tables = replace(tables, polls=tables.polls.put(name, sent))
        commands.append(_read_command(sent))
    return Step(tables=tables, commands=tuple(commands))


def _read_command(poll: Poll) -> Command:
    event = ReadRequested(
        origin=CONTROLLER, fetch_id=poll.fetch_id, prefix=poll.prefix, since=poll.since
    )
    return Tell(role=COMMITTER, event=event)


@apply.register
def _(event: Fetched, tables: ControllerTables, now: float) -> ControllerStep:
    name = event.prefix if event.prefix in tables.polls else event.fetch_id
    poll = tables.polls.get(name)
    if poll is None or poll.fetch_id != event.fetch_id:
        return Step(tables=tables)
    if poll.interval_s == 0.0:
        tables = replace(tables, polls=tables.polls.drop(name))
        return handle_rows(poll.target, event.rows, event, tables, now)
    since = poll.since if event.failed else max(poll.since, event.revision)
    next_at = (
        None if poll.next_at is None else max(now, poll.requested_at + poll.interval_s)
    )
    idle = replace(poll, fetch_id="", since=since, next_at=next_at)
    tables = replace(tables, polls=tables.polls.put(name, idle))
    if event.failed:
        return Step(tables=tables)
    return handle_rows(poll.target, event.rows, event, tables, now)
