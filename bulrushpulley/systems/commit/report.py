"""Reports the outcomes of submissions and removes the submissions."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    CommitOutcome,
    Committed,
    ReportTo,
    Unsettled,
    Withdrawn,
)
from bulrushpulley.entities.committer_tables import CommitterTables, SubmissionRow
from bulrushpulley.entities.observe import Count, Observe
from bulrushpulley.entities.step import Command, Step


def report_settled(
    tables: CommitterTables, row: SubmissionRow, outcome: CommitOutcome, now: float
) -> Step[CommitterTables]:
    """Report a certain outcome; the submission is no longer in doubt."""
    if row.submission_id in tables.in_doubt:
        in_doubt = tables.in_doubt.drop(row.submission_id)
        tables = replace(tables, in_doubt=in_doubt)
    return _report(tables, row, outcome, now)


def report_committed(
    tables: CommitterTables, row: SubmissionRow, revision: int, now: float
) -> Step[CommitterTables]:
    """Report that a submission took effect as part of commit `revision`."""
    outcome = Committed(submission_id=row.submission_id, revision=revision)
    return report_settled(tables, row, outcome, now)


def report_unsettled(
    tables: CommitterTables, row: SubmissionRow, reason: str, now: float
) -> Step[CommitterTables]:
    """Report that a submission may or may not have taken effect."""
    outcome = Unsettled(submission_id=row.submission_id, reason=reason)
    return _report(tables, row, outcome, now)


def is_in_doubt(tables: CommitterTables, submission_id: str) -> bool:
    """Tell whether an earlier request with a submission is still in doubt."""
    return submission_id in tables.in_doubt


def withdraw(
    tables: CommitterTables, row: SubmissionRow, reason: str, now: float
) -> Step[CommitterTables]:
    """Report a submission that was not sent.

    If it was sent earlier under the same id and was never settled, that request may
    still take effect: then the submission stays unsettled.
    """
    if is_in_doubt(tables, row.submission_id):
        return report_unsettled(tables, row, reason, now)
    outcome = Withdrawn(submission_id=row.submission_id, reason=reason)
    return _report(tables, row, outcome, now)


def _report(
    tables: CommitterTables, row: SubmissionRow, outcome: CommitOutcome, now: float
) -> Step[CommitterTables]:
    label = type(outcome).__name__.lower()
    commands: list[Command] = [
        ReportTo(origin=origin, outcome=outcome) for origin in row.origins
    ]
    commands.append(Count(name="commit.outcomes", label=label))
    commands.append(
        Observe(name="commit.delay", seconds=now - row.arrived_at, label=row.lane)
    )
    after = replace(tables, submissions=tables.submissions.drop(row.submission_id))
    return Step(tables=after, commands=tuple(commands))
