"""Permanently ends the tasks of cancelled jobs and of scaled-down services.

A durable marker row informs every entry of the closing; the one responsible for
the department carries it out. It turns backlog rows into outcomes in bounded
transactions. It reads the outcomes at growing intervals, and notifies the cell owners
of a cancelled job, until the outcomes account for every task. Only then does it
delete the marker.
"""

from __future__ import annotations

from pyrsistent import pmap

from bulrushpulley.entities.backlog import (
    CLOSING_MARKER,
    Closing,
    ClosingOutcome,
    Phase,
    WaitingRow,
    backlog_key,
)
from bulrushpulley.entities.changing import replace
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
from bulrushpulley.systems.control.backlog import drop_closing, handle_backlog_rows
from bulrushpulley.systems.control.decision_limit import limit_decisions
from bulrushpulley.systems.control.events import (
    ControllerStep,
    handle_committed,
    handle_conflicted,
    handle_given_up,
    handle_rows,
    join_steps,
)
from bulrushpulley.systems.control.share import is_responsible
from bulrushpulley.systems.control.submissions import submit_as, with_new_id

MAX_CLOSINGS_PER_TICK = 8
MAX_CLOSINGS_IN_FLIGHT = 8
MAX_ROWS_PER_TRANSACTION = 64
MIN_NOTICE_DELAY_S = 0.5
MAX_NOTICE_DELAY_S = 15.0
CLOSING_TIMEOUT_S = 5.0
CLOSING_RETRY_DELAY_S = 0.5


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Advance the closings that are due, a bounded number per tick."""
    step = Step(tables=tables)
    closings_left = MAX_CLOSINGS_PER_TICK
    for job in sorted(tables.closings):
        closing = tables.closings.by_key[job]
        if closings_left == 0:
            break
        if now < closing.next_at or closing.submission_id in tables.pending:
            continue
        if not is_responsible(tables, closing.marker.spec.department):
            continue
        closings_left -= 1
        step = join_steps(step, _advance_closing(step.tables, closing, now))
    return step


def _advance_closing(
    tables: ControllerTables, closing: Closing, now: float
) -> ControllerStep:
    rows = _rows_to_close(tables, closing)
    if rows and _in_flight(tables) < MAX_CLOSINGS_IN_FLIGHT:
        return _close_rows(tables, closing, rows, now)
    if _ended_task_count(tables, closing) >= closing.marker.count:
        return _end_closing(tables, closing, now)
    return _notify_owners(tables, closing, now)


def _in_flight(tables: ControllerTables) -> int:
    return tables.pending.count_where("purpose", CloseTasks.__name__)


def _rows_to_close(tables: ControllerTables, closing: Closing) -> list[WaitingRow]:
    rows = tables.waiting.rows_where("job", closing.job)
    rows_to_close = [
        row
        for row in rows
        if row.phase is not Phase.ASSIGNING
        and closing.covers(row.row.spec.index + row.row.count - 1)
    ]
    return rows_to_close[:MAX_ROWS_PER_TRANSACTION]


def _close_rows(
    tables: ControllerTables, closing: Closing, rows: list[WaitingRow], now: float
) -> ControllerStep:
    conditions: list[Condition] = []
    writes: list[Write] = []
    for waiting in rows:
        conditions.append(Condition(key=waiting.key, version=waiting.version))
        writes.append(Write(key=waiting.key, row=_remaining_row(waiting, closing)))
        outcome = _outcome_row(waiting, closing)
        key = f"done/{closing.job}/{outcome.spec.index}"
        conditions.append(Condition(key=key, version=0))
        writes.append(Write(key=key, row=outcome))
    return _submit(
        tables,
        closing,
        CloseTasks(job=closing.job),
        tuple(conditions),
        tuple(writes),
        now,
    )


def _remaining_row(waiting: WaitingRow, closing: Closing) -> BacklogRow | None:
    """Return the part of a row before the closing range, which keeps waiting."""
    count = closing.marker.spec.index - waiting.row.spec.index
    return replace(waiting.row, count=count) if count > 0 else None


def _outcome_row(waiting: WaitingRow, closing: Closing) -> BacklogRow:
    first = max(waiting.row.spec.index, closing.marker.spec.index)
    last = waiting.row.spec.index + waiting.row.count
    spec = replace(waiting.row.spec, index=first)
    return replace(waiting.row, spec=spec, count=last - first)


def _submit(
    tables: ControllerTables,
    closing: Closing,
    purpose: CloseTasks | EndClosing,
    conditions: tuple[Condition, ...],
    writes: tuple[Write, ...],
    now: float,
) -> ControllerStep:
    tables, submission_id = with_new_id(tables, "c")
    marked = replace(closing, submission_id=submission_id)
    tables = replace(tables, closings=tables.closings.put(closing.job, marked))
    return submit_as(
        tables,
        now,
        submission_id=submission_id,
        purpose=purpose,
        conditions=conditions,
        writes=writes,
        deadline=now + CLOSING_TIMEOUT_S,
    )


def _ended_task_count(tables: ControllerTables, closing: Closing) -> int:
    outcomes = tables.closing_outcomes.get(closing.job, pmap())
    return sum(outcome.tasks for outcome in outcomes.values())


def _notify_owners(
    tables: ControllerTables, closing: Closing, now: float
) -> ControllerStep:
    """Notify the cell owners again and schedule a read of the outcomes.

    Only a cancelled job needs a notice: owners see in the record of a service that it
    has fewer replicas. All linked agents are notified, as each may hold tasks of it.
    """
    delay_s = min(MAX_NOTICE_DELAY_S, closing.notice_delay_s * 2)
    delayed = replace(
        closing, next_at=now + closing.notice_delay_s, notice_delay_s=delay_s
    )
    name = f"done/{closing.job}/"
    poll = tables.polls.get(name) or Poll(
        target=ReadClosed(job=closing.job),
        prefix=name,
        interval_s=CLOSING_RETRY_DELAY_S,
        next_at=None,
    )
    scheduled = replace(poll, next_at=now + closing.notice_delay_s / 2)
    tables = replace(
        tables,
        closings=tables.closings.put(closing.job, delayed),
        polls=tables.polls.put(name, scheduled),
    )
    sends: tuple[Command, ...] = ()
    if closing.marker.spec.kind == "job":
        item = JobCancelled(job=closing.job)
        sends = tuple(Send(peer=peer, item=item) for peer in tables.links)
    return Step(tables=tables, commands=sends)


@handle_rows.register
def _(
    target: ReadClosed,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    closing = tables.closings.get(target.job)
    if closing is None:
        return Step(tables=tables)
    tables = _with_outcomes(tables, closing, rows)
    poll = tables.polls.get(event.prefix)
    if poll is not None:
        idle = replace(poll, next_at=None)
        tables = replace(tables, polls=tables.polls.put(event.prefix, idle))
    if _ended_task_count(tables, closing) >= closing.marker.count:
        due = replace(closing, next_at=now)
        tables = replace(tables, closings=tables.closings.put(target.job, due))
    return Step(tables=tables)


def _with_outcomes(
    tables: ControllerTables, closing: Closing, rows: tuple[VersionedRow, ...]
) -> ControllerTables:
    outcomes = tables.closing_outcomes.get(closing.job, pmap())
    for row in rows:
        if not row.key.startswith("done/"):
            continue
        tasks = _covered_task_count(row, closing)
        if tasks:
            outcomes = outcomes.set(
                row.key, ClosingOutcome(tasks=tasks, version=row.version)
            )
        else:
            outcomes = outcomes.discard(row.key)
    closing_outcomes = tables.closing_outcomes.set(closing.job, outcomes)
    return replace(tables, closing_outcomes=closing_outcomes)


def _covered_task_count(row: VersionedRow, closing: Closing) -> int:
    indexes = indexes_of(row.row)
    return len(indexes) if indexes and closing.covers(indexes.start) else 0


def _end_closing(
    tables: ControllerTables, closing: Closing, now: float
) -> ControllerStep:
    """Delete the marker, and with it the outcomes of a service.

    Without its outcomes, the service can be scaled up again. If they exceed one
    transaction, the marker is kept until all are deleted.
    """
    outcomes = tables.closing_outcomes.get(closing.job, pmap())
    deleted_keys: list[str] = []
    if closing.marker.spec.kind == "service":
        deleted_keys = sorted(outcomes, key=_index_of, reverse=True)[
            :MAX_ROWS_PER_TRANSACTION
        ]
    remaining = closing.marker.count - sum(outcomes[key].tasks for key in deleted_keys)
    reduced_marker = (
        replace(closing.marker, count=remaining)
        if deleted_keys and remaining > 0
        else None
    )
    marker_key = backlog_key(closing.job, CLOSING_MARKER)
    conditions = [Condition(key=marker_key, version=closing.version)]
    conditions += [
        Condition(key=key, version=outcomes[key].version) for key in deleted_keys
    ]
    writes = [Write(key=marker_key, row=reduced_marker)]
    writes += [Write(key=key, row=None) for key in deleted_keys]
    decision = Decision(
        kind="record.closed",
        subject=closing.job,
        chosen="",
        reason="every task has ended",
    )
    logged = limit_decisions(tables, (decision,), now)
    ended = EndClosing(job=closing.job)
    submitted = _submit(
        logged.tables, closing, ended, tuple(conditions), tuple(writes), now
    )
    return join_steps(logged, submitted)


def _index_of(key: str) -> int:
    return int(key.rsplit("/", 1)[1])


@handle_committed.register(CloseTasks)
@handle_committed.register(EndClosing)
def _(
    purpose: CloseTasks | EndClosing,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    rows = tuple(
        VersionedRow(key=write.key, version=outcome.revision, row=write.row)
        for write in pending.submission.writes
    )
    tables = handle_backlog_rows(tables, rows, now)
    closing = tables.closings.get(purpose.job)
    if closing is None:
        return Step(tables=drop_closing(tables, purpose.job))
    return Step(tables=_with_outcomes(tables, closing, rows))


@handle_conflicted.register(CloseTasks)
@handle_conflicted.register(EndClosing)
def _(
    purpose: CloseTasks | EndClosing,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    return Step(
        tables=_retry_later(
            handle_backlog_rows(tables, outcome.rows, now), purpose.job, now
        )
    )


@handle_given_up.register(CloseTasks)
@handle_given_up.register(EndClosing)
def _(
    purpose: CloseTasks | EndClosing,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    return Step(tables=_retry_later(tables, purpose.job, now))


def _retry_later(tables: ControllerTables, job: str, now: float) -> ControllerTables:
    closing = tables.closings.get(job)
    if closing is None:
        return tables
    delayed = replace(closing, next_at=now + CLOSING_RETRY_DELAY_S)
    return replace(tables, closings=tables.closings.put(job, delayed))
