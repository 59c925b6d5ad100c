"""Handles transactions that did not commit because conditions failed.

Submissions that cannot commit are reported, the others return to the head of the
queue. After a lost answer the fence decides: it holds the transaction's id if and
only if the transaction was the last of its lane to commit.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import Conflicted, VersionedRow
from bulrushpulley.entities.committer_tables import (
    CommitterTables,
    LaneRow,
    SubmissionRow,
    Transaction,
)
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.transactions import Fence, TransactionConflicted
from bulrushpulley.systems.commit.in_doubt import mark_in_doubt, resolve_in_doubt
from bulrushpulley.systems.commit.queue import after_answer, put_back, unreported
from bulrushpulley.systems.commit.report import (
    report_committed,
    report_settled,
    report_unsettled,
)
from bulrushpulley.systems.commit.settle import report_all_committed


def handle_conflicted(
    event: TransactionConflicted,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Report the submissions that committed or cannot commit; requeue the others."""
    fence = event.fence
    if fence is not None and shows_commit(fence, transaction):
        return report_all_committed(transaction, event.lane, fence.version, tables, now)
    lane = after_answer(tables.lanes.by_key[event.lane], now)
    rounds = Count(name="commit.conflict_rounds", label=event.lane)
    if fence is not None:
        step = _settle_after_fence_moved(transaction, event, fence, lane, tables, now)
    elif must_move_fence(lane):
        # An earlier request could still take effect: nothing is certain before
        # the fence has moved.
        step = Step(tables=_put_back_to_move_fence(transaction, lane, tables, now))
    else:
        step = _settle_each(transaction, event, lane, tables, now)
    return replace(step, commands=(rounds, *step.commands))


def shows_commit(fence: Fence, transaction: Transaction) -> bool:
    """Tell whether the fence shows that the transaction has committed."""
    return fence.token == transaction.transaction_id


def is_ambiguous(transaction: Transaction, event: TransactionConflicted) -> bool:
    """Tell whether the fence no longer shows if a lost request committed."""
    return transaction.lost and event.fence is not None


def must_move_fence(lane: LaneRow) -> bool:
    """Tell whether an earlier request of the lane may still take effect."""
    return lane.request_in_doubt


def version_with_token(rows: Iterable[VersionedRow], token: str) -> int:
    """Return the version of a row that carries `token`, or 0."""
    return max((row.version for row in rows if row.token == token), default=0)


def _settle_after_fence_moved(
    transaction: Transaction,
    event: TransactionConflicted,
    fence: Fence,
    lane: LaneRow,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Settle the submissions after an earlier transaction has moved the fence."""
    resolved = resolve_in_doubt(tables, fence.token, fence.version, now)
    updated_lane = replace(
        lane, fence_version=fence.version, request_in_doubt=False, fence_move_due=False
    )
    step = _settle_each(transaction, event, updated_lane, resolved.tables, now)
    return replace(step, commands=resolved.commands + step.commands)


def _put_back_to_move_fence(
    transaction: Transaction, lane: LaneRow, tables: CommitterTables, now: float
) -> CommitterTables:
    """Requeue all submissions until an empty transaction has moved the fence."""
    after = put_back(tables, replace(lane, fence_move_due=True), transaction.entries)
    if not transaction.lost:
        return after
    ids = [row.submission_id for row in unreported(after, transaction.entries)]
    return mark_in_doubt(after, ids, transaction, now)


def _settle_each(
    transaction: Transaction,
    event: TransactionConflicted,
    lane: LaneRow,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    row_by_key = {row.key: row for row in event.rows}
    ambiguous = is_ambiguous(transaction, event)
    remaining: list[SubmissionRow] = []
    commands: list[Command] = []
    for row in unreported(tables, transaction.entries):
        failed = _failed_rows(row, row_by_key)
        if not failed:
            remaining.append(row)
            continue
        if ambiguous:
            tables = mark_in_doubt(tables, [row.submission_id], transaction, now)
        step = _settle_failed(row, failed, ambiguous, tables, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=put_back(tables, lane, remaining), commands=tuple(commands))


def _settle_failed(
    row: SubmissionRow,
    failed: tuple[VersionedRow, ...],
    ambiguous: bool,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Report a submission with failed conditions; its own token shows a commit."""
    own_version = version_with_token(failed, row.submission_id)
    if own_version:
        return report_committed(tables, row, own_version, now)
    if ambiguous:
        reason = "another process of this name moved the fence"
        return report_unsettled(tables, row, reason, now)
    conflict = Conflicted(submission_id=row.submission_id, rows=failed)
    return report_settled(tables, row, conflict, now)


def _failed_rows(
    row: SubmissionRow, row_by_key: Mapping[str, VersionedRow]
) -> tuple[VersionedRow, ...]:
    required = [
        (condition.version, row_by_key[condition.key])
        for condition in row.submission.conditions
        if condition.key in row_by_key
    ]
    return tuple(
        current_row
        for expected_version, current_row in required
        if current_row.version != expected_version
    )
