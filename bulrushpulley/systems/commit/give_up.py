"""Gives up submissions after the time that their submitter will wait.

A submission that was not sent is withdrawn: it certainly has no effect. One that is
in flight is unsettled. While the store is considered down, a submission that would
be given up before the next probe is withdrawn immediately, so that a caller learns
early that its request did not run.
"""

from __future__ import annotations

from collections.abc import Iterable

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.committer_tables import (
    CommitterTables,
    LaneRow,
    Transaction,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.commit.backoff import is_circuit_open
from bulrushpulley.systems.commit.in_doubt import mark_in_doubt
from bulrushpulley.systems.commit.report import report_unsettled, withdraw

GIVE_UP_SWEEP_INTERVAL_S = 0.1


def run(tables: CommitterTables, now: float) -> Step[CommitterTables]:
    """Give up every overdue submission, once per `GIVE_UP_SWEEP_INTERVAL_S`."""
    if now < tables.sweep_at or not tables.submissions:
        return Step(tables=tables)
    tables = replace(tables, sweep_at=now + GIVE_UP_SWEEP_INTERVAL_S)
    lanes = tables.lanes.rows()
    transaction_by_id = _in_flight(lanes)
    next_send_at_by_lane = {lane.name: _next_send_at(lane, now) for lane in lanes}
    overdue_ids = [
        submission_id
        for submission_id, row in tables.submissions.by_key.items()
        if row.give_up_at
        <= (
            now
            if submission_id in transaction_by_id
            else next_send_at_by_lane[row.lane]
        )
    ]
    commands: list[Command] = []
    for submission_id in sorted(overdue_ids):
        step = _give_up(
            tables, submission_id, transaction_by_id.get(submission_id), now
        )
        tables = step.tables
        commands.extend(step.commands)
    after = _drop_reported_ids(tables) if overdue_ids else tables
    return Step(tables=after, commands=tuple(commands))


def _in_flight(lanes: Iterable[LaneRow]) -> dict[str, Transaction]:
    """Return the transaction of each submission that has been sent."""
    return {
        row.submission_id: lane.transaction
        for lane in lanes
        if lane.transaction is not None
        for row in lane.transaction.entries
    }


def _next_send_at(lane: LaneRow, now: float) -> float:
    """Return the earliest time at which the lane can send.

    Short retry delays are ignored: they count only while the store is considered down.
    """
    return max(now, lane.retry_at) if is_circuit_open(lane) else now


def _give_up(
    tables: CommitterTables,
    submission_id: str,
    transaction: Transaction | None,
    now: float,
) -> Step[CommitterTables]:
    row = tables.submissions.by_key[submission_id]
    if transaction is not None:
        marked = mark_in_doubt(tables, [submission_id], transaction, now)
        return report_unsettled(marked, row, "the store did not answer in time", now)
    is_down = is_circuit_open(tables.lanes.by_key[row.lane])
    reason = "the store is down" if is_down else "waited too long for the store"
    return withdraw(tables, row, reason, now)


def _drop_reported_ids(tables: CommitterTables) -> CommitterTables:
    """Drop the ids of reported submissions from the queues."""
    lanes = tables.lanes
    for lane in lanes.rows():
        queue = tuple(
            submission_id
            for submission_id in lane.queue
            if submission_id in tables.submissions
        )
        lanes = lanes.put(lane.name, replace(lane, queue=queue))
    return replace(tables, lanes=lanes)
