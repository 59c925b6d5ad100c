"""Ends the wait of submissions whose submitter waits no longer.

One that was not sent is withdrawn: it surely has no effect. One that is in flight is
unsettled. While the store counts as down, a submission that would give up before the
next probe is withdrawn at once, so that a caller learns early that it did not run.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from bulrushpulley.entities.committer_tables import (
    CommitterTables,
    LaneRow,
    SubmissionRow,
    Transaction,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.commit_backoff import is_open
from bulrushpulley.systems.commit_doubt import doubt
from bulrushpulley.systems.commit_report import report_unsettled, withdraw


def run(tables: CommitterTables, now: float) -> Step[CommitterTables]:
    """Report every submission that waits no longer."""
    lanes = tables.lanes.rows()
    if max(_horizon(lane, now) for lane in lanes) < tables.next_give_up_at:
        return Step(tables=tables)
    commands: list[Command] = []
    in_flight = _in_flight(lanes)
    for row in tables.submissions.rows():
        transaction = in_flight.get(row.submission_id)
        if transaction is None:
            step = _queued(tables, row, now)
        else:
            step = _sent(tables, row, transaction, now)
        tables = step.tables
        commands.extend(step.commands)
    after = replace(tables, next_give_up_at=_next_give_up(tables))
    return Step(tables=after, commands=tuple(commands))


def _in_flight(lanes: Iterable[LaneRow]) -> dict[str, Transaction]:
    """Return the transaction of each submission that has been sent."""
    return {
        row.submission_id: lane.transaction
        for lane in lanes
        if lane.transaction is not None
        for row in lane.transaction.entries
    }


def _horizon(lane: LaneRow, now: float) -> float:
    """Return the time before which a queued submission must not give up."""
    return max(now, lane.retry_at) if is_open(lane) else now


def _sent(
    tables: CommitterTables, row: SubmissionRow, transaction: Transaction, now: float
) -> Step[CommitterTables]:
    if row.give_up_at > now:
        return Step(tables=tables)
    doubted = doubt(tables, [row.submission_id], transaction, now)
    return report_unsettled(doubted, row, "the store has not answered in time", now)


def _queued(
    tables: CommitterTables, row: SubmissionRow, now: float
) -> Step[CommitterTables]:
    lane = tables.lanes.by_key[row.lane]
    if row.give_up_at > _horizon(lane, now):
        return Step(tables=tables)
    reason = "the store is down" if is_open(lane) else "waited too long for the store"
    step = withdraw(tables, row, reason, now)
    queue = tuple(key for key in lane.queue if key != row.submission_id)
    lanes = step.tables.lanes.put(lane.name, replace(lane, queue=queue))
    return replace(step, tables=replace(step.tables, lanes=lanes))


def _next_give_up(tables: CommitterTables) -> float:
    rows = tables.submissions.by_key.values()
    return min((row.give_up_at for row in rows), default=float("inf"))
