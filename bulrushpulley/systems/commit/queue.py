"""Updates a lane and its queue after a request has ended."""

from __future__ import annotations

from collections.abc import Iterable

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.committer_tables import (
    CommitterTables,
    LaneRow,
    SubmissionRow,
    Transaction,
)
from bulrushpulley.systems.commit import backoff as commit_backoff


def after_answer(lane: LaneRow, now: float) -> LaneRow:
    """Return the lane after an answer of the store: idle and without failures."""
    return replace(
        lane,
        transaction=None,
        request_in_flight=False,
        failures=0,
        retry_at=now,
        timeout_s=commit_backoff.timeout_after_answer_s(now - lane.sent_at),
    )


def after_failure(lane: LaneRow, transaction: Transaction, now: float) -> LaneRow:
    """Return the lane after a failed request: it backs off."""
    failures = lane.failures + 1
    delay_s = commit_backoff.retry_delay_s(failures, transaction.transaction_id)
    return replace(
        lane, request_in_flight=False, failures=failures, retry_at=now + delay_s
    )


def unreported(
    tables: CommitterTables, entries: Iterable[SubmissionRow]
) -> list[SubmissionRow]:
    """Return the entries whose outcome is not reported yet, with all their origins."""
    rows = [tables.submissions.get(row.submission_id) for row in entries]
    return [row for row in rows if row is not None]


def put_back(
    tables: CommitterTables, lane: LaneRow, entries: Iterable[SubmissionRow]
) -> CommitterTables:
    """Make the lane idle and put the entries at the head of its queue."""
    queued = set(lane.queue)
    ids = [row.submission_id for row in unreported(tables, entries)]
    head = tuple(submission_id for submission_id in ids if submission_id not in queued)
    idle = replace(lane, queue=(*head, *lane.queue), transaction=None)
    return replace(tables, lanes=tables.lanes.put(lane.name, idle))
