"""Queues submissions on their lane, or withdraws them immediately."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import Submission, Submitted
from bulrushpulley.entities.committer_tables import (
    CommitterTables,
    Lane,
    LaneRow,
    SubmissionRow,
)
from bulrushpulley.entities.step import Step
from bulrushpulley.entities.table import Table
from bulrushpulley.systems.commit.in_doubt import known_revision
from bulrushpulley.systems.commit.report import report_committed, withdraw

MAX_QUEUED_PER_LANE = 4_096
URGENT_PREFIXES = ("claim/", "alive/", "lease/", "member/", "record/", "revision")


def lane_of(submission: Submission) -> Lane:
    """Choose the lane by the keys: claims and control rows do not wait for tasks.

    A submission that writes nothing, which only checks rows, is urgent too.
    """
    keys = [write.key for write in submission.writes]
    if all(key.startswith(URGENT_PREFIXES) for key in keys):
        return Lane.URGENT
    return Lane.BULK


def unsafe_reason(submission: Submission) -> str:
    """Return why a submission could take effect twice, or an empty string."""
    conditioned = {condition.key for condition in submission.conditions}
    written = [write.key for write in submission.writes]
    if not conditioned.issuperset(written):
        return "a written key has no condition"
    if len(set(written)) < len(written):
        return "a key is written twice"
    return ""


def accept(
    event: Submitted, tables: CommitterTables, now: float
) -> Step[CommitterTables]:
    """Queue a submission; if it is already queued or in flight, add its origin."""
    known = tables.submissions.get(event.submission.submission_id)
    if known is not None:
        return _add_origin(event, known, tables, now)
    row = _submission_row(event, now)
    revision = known_revision(tables, row.submission_id)
    if revision:
        return report_committed(tables, row, revision, now)
    reason = unsafe_reason(event.submission)
    if reason:
        return withdraw(tables, row, reason, now)
    lane = tables.lanes.by_key[row.lane]
    if len(lane.queue) >= MAX_QUEUED_PER_LANE:
        return withdraw(tables, row, "the committer's queue is full", now)
    queued = replace(lane, queue=(*lane.queue, row.submission_id))
    lanes = tables.lanes.put(lane.name, queued)
    return Step(tables=_with_submission(tables, row, lanes))


def _submission_row(event: Submitted, now: float) -> SubmissionRow:
    submission = event.submission
    return SubmissionRow(
        submission=submission,
        lane=lane_of(submission).value,
        origins=(event.origin,),
        arrived_at=now,
        give_up_at=now + submission.give_up_after_s,
        size_bytes=sum(len(repr(write)) for write in submission.writes),
    )


def _add_origin(
    event: Submitted, known: SubmissionRow, tables: CommitterTables, now: float
) -> Step[CommitterTables]:
    origins = known.origins
    if event.origin not in origins:
        origins = (*origins, event.origin)
    give_up_at = max(known.give_up_at, now + event.submission.give_up_after_s)
    joined = replace(known, origins=origins, give_up_at=give_up_at)
    return Step(tables=_with_submission(tables, joined, tables.lanes))


def _with_submission(
    tables: CommitterTables, row: SubmissionRow, lanes: Table[LaneRow]
) -> CommitterTables:
    submissions = tables.submissions.put(row.submission_id, row)
    return replace(tables, lanes=lanes, submissions=submissions)
