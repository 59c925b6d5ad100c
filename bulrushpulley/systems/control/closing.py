"""Ends the tasks of cancelled jobs and of lowered services, for good.

A durable marker row makes every entry know of the closing; the one responsible
for the department works on it. Backlog rows become outcomes in bounded
transactions, and the owners of cells are told again, at growing intervals, until
the outcomes account for every task. Only then is the marker deleted.
"""

from __future__ import annotations

from dataclasses import replace

from pyrsistent import pmap

from bulrushpulley.entities.backlog import (
    CLOSING,
    Closed,
    Closing,
    Phase,
    Waiting,
    backlog_key,
)
from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    Conflicted,
    VersionedRow,
    Write,
)
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import Fetched, JobCancelled, Send
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.outcome import indexes_of
from bulrushpulley.entities.pending import (
    CloseTasks,
    EndClosing,
    Pending,
    Poll,
    ReadClosed,
)
from bulrushpulley.entities.rows import BacklogRow
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.control.backlog import forget_closing, note_rows
from bulrushpulley.systems.control.events import (
    Controlled,
    on_commit,
    on_conflict,
    on_loss,
    on_rows,
    then,
)
from bulrushpulley.systems.control.said import say
from bulrushpulley.systems.control.share import is_responsible
from bulrushpulley.systems.control.submissions import numbered, submit_as

CLOSINGS_A_TICK = 8
CLOSINGS_IN_FLIGHT = 8
ROWS_A_TRANSACTION = 64
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 15.0
SETTLE_WITHIN_S = 5.0
RETRY_S = 0.5


def run(tables: ControllerTables, now: float) -> Controlled:
    """Work on the closings that are due, a bounded number a tick."""
    step = Step(tables=tables)
    left = CLOSINGS_A_TICK
    for job in sorted(tables.closings):
        closing = tables.closings.by_key[job]
        if left == 0:
            break
        if now < closing.next_at or closing.submission_id in tables.pending:
            continue
        if not is_responsible(tables, closing.marker.spec.department):
            continue
        left -= 1
        step = then(step, _worked(step.tables, closing, now))
    return step


def _worked(tables: ControllerTables, closing: Closing, now: float) -> Controlled:
    rows = _open_rows(tables, closing)
    if rows and _in_flight(tables) < CLOSINGS_IN_FLIGHT:
        return _moved(tables, closing, rows, now)
    if _accounted(tables, closing) >= closing.marker.count:
        return _ended(tables, closing, now)
    return _told(tables, closing, now)


def _in_flight(tables: ControllerTables) -> int:
    return tables.pending.count_where("purpose", CloseTasks.__name__)


def _open_rows(tables: ControllerTables, closing: Closing) -> list[Waiting]:
    rows = tables.waiting.rows_where("job", closing.job)
    open_rows = [
        row
        for row in rows
        if row.phase is not Phase.ASSIGNING
        and closing.covers(row.row.spec.index + row.row.count - 1)
    ]
    return open_rows[:ROWS_A_TRANSACTION]


def _moved(
    tables: ControllerTables, closing: Closing, rows: list[Waiting], now: float
) -> Controlled:
    conditions: list[Condition] = []
    writes: list[Write] = []
    for waiting in rows:
        conditions.append(Condition(key=waiting.key, version=waiting.version))
        writes.append(Write(key=waiting.key, row=_kept(waiting, closing)))
        outcome = _outcome(waiting, closing)
        key = f"done/{closing.job}/{outcome.spec.index}"
        conditions.append(Condition(key=key, version=0))
        writes.append(Write(key=key, row=outcome))
    return _submitted(
        tables,
        closing,
        CloseTasks(job=closing.job),
        tuple(conditions),
        tuple(writes),
        now,
    )


def _kept(waiting: Waiting, closing: Closing) -> BacklogRow | None:
    """Return the part of a row before the closing range, which goes on waiting."""
    count = closing.marker.spec.index - waiting.row.spec.index
    return replace(waiting.row, count=count) if count > 0 else None


def _outcome(waiting: Waiting, closing: Closing) -> BacklogRow:
    first = max(waiting.row.spec.index, closing.marker.spec.index)
    last = waiting.row.spec.index + waiting.row.count
    spec = replace(waiting.row.spec, index=first)
    return replace(waiting.row, spec=spec, count=last - first)


def _submitted(
    tables: ControllerTables,
    closing: Closing,
    purpose: CloseTasks | EndClosing,
    conditions: tuple[Condition, ...],
    writes: tuple[Write, ...],
    now: float,
) -> Controlled:
    tables, submission_id = numbered(tables, "c")
    marked = replace(closing, submission_id=submission_id)
    tables = replace(tables, closings=tables.closings.put(closing.job, marked))
    return submit_as(
        tables,
        now,
        submission_id=submission_id,
        purpose=purpose,
        conditions=conditions,
        writes=writes,
        deadline=now + SETTLE_WITHIN_S,
    )


def _accounted(tables: ControllerTables, closing: Closing) -> int:
    closed = tables.closed_keys.get(closing.job, pmap())
    return sum(one.tasks for one in closed.values())


def _told(tables: ControllerTables, closing: Closing, now: float) -> Controlled:
    """Tell the owners of cells again and have the outcomes read."""
    pause = min(LONGEST_PAUSE_S, closing.pause_s * 2)
    waits = replace(closing, next_at=now + closing.pause_s, pause_s=pause)
    name = f"done/{closing.job}/"
    poll = tables.polls.get(name) or Poll(
        target=ReadClosed(job=closing.job), prefix=name, every_s=RETRY_S, next_at=None
    )
    asked = replace(poll, next_at=now + closing.pause_s / 2)
    tables = replace(
        tables,
        closings=tables.closings.put(closing.job, waits),
        polls=tables.polls.put(name, asked),
    )
    sends: tuple[Command, ...] = ()
    if closing.marker.spec.kind == "job":
        item = JobCancelled(job=closing.job)
        sends = tuple(Send(peer=peer, item=item) for peer in tables.links)
    return Step(tables=tables, commands=sends)


@on_rows.register
def _(
    target: ReadClosed,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    closing = tables.closings.get(target.job)
    if closing is None:
        return Step(tables=tables)
    tables = _with_outcomes(tables, closing, rows)
    poll = tables.polls.get(event.prefix)
    if poll is not None:
        rested = replace(poll, next_at=None)
        tables = replace(tables, polls=tables.polls.put(event.prefix, rested))
    if _accounted(tables, closing) >= closing.marker.count:
        due = replace(closing, next_at=now)
        tables = replace(tables, closings=tables.closings.put(target.job, due))
    return Step(tables=tables)


def _with_outcomes(
    tables: ControllerTables, closing: Closing, rows: tuple[VersionedRow, ...]
) -> ControllerTables:
    closed = tables.closed_keys.get(closing.job, pmap())
    for row in rows:
        if not row.key.startswith("done/"):
            continue
        tasks = _tasks_behind(row, closing)
        if tasks:
            closed = closed.set(row.key, Closed(tasks=tasks, version=row.version))
        else:
            closed = closed.discard(row.key)
    closed_keys = tables.closed_keys.set(closing.job, closed)
    return replace(tables, closed_keys=closed_keys)


def _tasks_behind(row: VersionedRow, closing: Closing) -> int:
    indexes = indexes_of(row.row)
    return len(indexes) if indexes and closing.covers(indexes.start) else 0


def _ended(tables: ControllerTables, closing: Closing, now: float) -> Controlled:
    """Delete the marker; a service's outcomes go first, so that it may grow again."""
    closed = tables.closed_keys.get(closing.job, pmap())
    swept: list[str] = []
    if closing.marker.spec.kind == "service":
        swept = sorted(closed, key=_index_of, reverse=True)[:ROWS_A_TRANSACTION]
    left = closing.marker.count - sum(closed[key].tasks for key in swept)
    kept = replace(closing.marker, count=left) if swept and left > 0 else None
    marker = backlog_key(closing.job, CLOSING)
    conditions = [Condition(key=marker, version=closing.version)]
    conditions += [Condition(key=key, version=closed[key].version) for key in swept]
    writes = [Write(key=marker, row=kept)]
    writes += [Write(key=key, row=None) for key in swept]
    decision = Decision(
        kind="record.closed",
        subject=closing.job,
        chosen="",
        reason="every task has ended",
    )
    said = say(tables, (decision,), now)
    ended = EndClosing(job=closing.job)
    submitted = _submitted(
        said.tables, closing, ended, tuple(conditions), tuple(writes), now
    )
    return then(said, submitted)


def _index_of(key: str) -> int:
    return int(key.rsplit("/", 1)[1])


@on_commit.register(CloseTasks)
@on_commit.register(EndClosing)
def _(
    purpose: CloseTasks | EndClosing,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    rows = tuple(
        VersionedRow(key=write.key, version=outcome.revision, row=write.row)
        for write in pending.submission.writes
    )
    tables = note_rows(tables, rows, now)
    closing = tables.closings.get(purpose.job)
    if closing is None:
        return Step(tables=forget_closing(tables, purpose.job))
    return Step(tables=_with_outcomes(tables, closing, rows))


@on_conflict.register(CloseTasks)
@on_conflict.register(EndClosing)
def _(
    purpose: CloseTasks | EndClosing,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    return Step(tables=_later(note_rows(tables, outcome.rows, now), purpose.job, now))


@on_loss.register(CloseTasks)
@on_loss.register(EndClosing)
def _(
    purpose: CloseTasks | EndClosing,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    return Step(tables=_later(tables, purpose.job, now))


def _later(tables: ControllerTables, job: str, now: float) -> ControllerTables:
    closing = tables.closings.get(job)
    if closing is None:
        return tables
    waits = replace(closing, next_at=now + RETRY_S)
    return replace(tables, closings=tables.closings.put(job, waits))
