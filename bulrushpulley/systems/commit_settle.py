"""Settles a lane's transaction by what the store answered, or by its silence.

A conflict shows which submissions cannot commit; the others go back to the head of
the queue. After a lost answer the fence decides: it carries the transaction's id
exactly if the transaction was the last of its lane to commit.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from bulrushpulley.entities.commit import Conflicted, VersionedRow
from bulrushpulley.entities.committer_tables import (
    CommitterTables,
    LaneRow,
    SubmissionRow,
    Transaction,
)
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.transactions import (
    Fence,
    TransactionCommitted,
    TransactionConflicted,
    TransactionEnded,
    TransactionLost,
    TransactionRefused,
)
from bulrushpulley.systems import commit_backoff
from bulrushpulley.systems.commit_doubt import doubt, fence_seen
from bulrushpulley.systems.commit_report import (
    report_committed,
    report_settled,
    report_unsettled,
)


def pending(tables: CommitterTables, event: TransactionEnded) -> Transaction | None:
    """Return the lane's transaction if the event is about it."""
    transaction = tables.lanes.by_key[event.lane].transaction
    if transaction is None or transaction.transaction_id != event.transaction_id:
        return None
    return transaction


def committed(
    event: TransactionCommitted,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Report every submission of the transaction as committed."""
    bytes_sent = Count(name="commit.bytes", label=event.lane, by=event.sent_bytes)
    step = _all_committed(transaction, event.lane, event.revision, tables, now)
    return replace(step, commands=(bytes_sent, *step.commands))


def conflicted(
    event: TransactionConflicted,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Tell apart what had committed, what cannot, and what is to be sent again."""
    fence = event.fence
    if fence is not None and names(fence, transaction):
        return _all_committed(transaction, event.lane, fence.version, tables, now)
    lane = _answered(tables.lanes.by_key[event.lane], now)
    rounds = Count(name="commit.conflict_rounds", label=event.lane)
    if fence is not None:
        step = _behind_fence(transaction, event, fence, lane, tables, now)
    elif must_seal(lane):
        # An earlier request could still take effect: nothing is certain before
        # the fence has moved.
        step = Step(tables=_sealing(transaction, lane, tables, now))
    else:
        step = _judge_all(transaction, event, lane, tables, now)
    return replace(step, commands=(rounds, *step.commands))


def names(fence: Fence, transaction: Transaction) -> bool:
    """Tell whether the fence shows that the transaction has committed."""
    return fence.token == transaction.transaction_id


def must_seal(lane: LaneRow) -> bool:
    """Tell whether an earlier request of the lane may still take effect."""
    return lane.doubtful


def refused(
    event: TransactionRefused,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Back off; a transaction that was never in doubt is taken apart again."""
    lane = _failed(tables.lanes.by_key[event.lane], transaction, now)
    count = Count(name="commit.refused", label=event.lane)
    if transaction.lost:
        lanes = tables.lanes.put(lane.name, lane)
        return Step(tables=replace(tables, lanes=lanes), commands=(count,))
    after = _put_back(tables, lane, transaction.entries)
    return Step(tables=after, commands=(count,))


def lost(
    event: TransactionLost,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Back off; the very same transaction is to be sent again."""
    before = tables.lanes.by_key[event.lane]
    lane = replace(
        _failed(before, transaction, now),
        transaction=replace(transaction, lost=True),
        timeout_s=commit_backoff.timeout_after_loss(before),
        doubtful=True,
    )
    count = Count(name="commit.lost", label=event.lane)
    lanes = tables.lanes.put(lane.name, lane)
    return Step(tables=replace(tables, lanes=lanes), commands=(count,))


def _answered(lane: LaneRow, now: float) -> LaneRow:
    return replace(
        lane,
        transaction=None,
        awaiting=False,
        failures=0,
        retry_at=now,
        timeout_s=commit_backoff.timeout_after_answer(now - lane.sent_at),
    )


def _failed(lane: LaneRow, transaction: Transaction, now: float) -> LaneRow:
    failures = lane.failures + 1
    delay_s = commit_backoff.retry_delay(failures, transaction.transaction_id)
    return replace(lane, awaiting=False, failures=failures, retry_at=now + delay_s)


def _behind_fence(
    transaction: Transaction,
    event: TransactionConflicted,
    fence: Fence,
    lane: LaneRow,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Go on from where an earlier transaction of the lane has left the fence."""
    seen = fence_seen(tables, fence, now)
    learnt = replace(lane, fence_version=fence.version, doubtful=False, seal_due=False)
    step = _judge_all(transaction, event, learnt, seen.tables, now)
    return replace(step, commands=seen.commands + step.commands)


def _sealing(
    transaction: Transaction, lane: LaneRow, tables: CommitterTables, now: float
) -> CommitterTables:
    """Put everything back until an empty transaction has moved the fence."""
    after = _put_back(tables, replace(lane, seal_due=True), transaction.entries)
    if not transaction.lost:
        return after
    owed = [row.submission_id for row in _owed(after, transaction.entries)]
    return doubt(after, owed, transaction, now)


def version_with_token(rows: Iterable[VersionedRow], token: str) -> int:
    """Return the version of a row that carries `token`, or 0."""
    return max((row.version for row in rows if row.token == token), default=0)


def _all_committed(
    transaction: Transaction,
    lane_name: str,
    revision: int,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    lane = replace(
        _answered(tables.lanes.by_key[lane_name], now),
        fence_version=revision,
        doubtful=False,
        seal_due=False,
    )
    after = replace(tables, lanes=tables.lanes.put(lane_name, lane))
    commands: list[Command] = []
    for row in _owed(after, transaction.entries):
        step = report_committed(after, row, revision, now)
        after = step.tables
        commands.extend(step.commands)
    return Step(tables=after, commands=tuple(commands))


def _judge_all(
    transaction: Transaction,
    event: TransactionConflicted,
    lane: LaneRow,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    row_by_key = {row.key: row for row in event.rows}
    # The fence would tell whether a lost request committed, had it not moved on.
    ambiguous = transaction.lost and event.fence is not None
    left: list[SubmissionRow] = []
    commands: list[Command] = []
    for row in _owed(tables, transaction.entries):
        failed = _failed_rows(row, row_by_key)
        if not failed:
            left.append(row)
            continue
        if ambiguous:
            tables = doubt(tables, [row.submission_id], transaction, now)
        step = _judged(row, failed, ambiguous, tables, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=_put_back(tables, lane, left), commands=tuple(commands))


def _judged(
    row: SubmissionRow,
    failed: tuple[VersionedRow, ...],
    ambiguous: bool,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Report a submission that cannot commit any more; its own token means it did."""
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
    found = [
        (condition.version, row_by_key[condition.key])
        for condition in row.submission.conditions
        if condition.key in row_by_key
    ]
    return tuple(held for version, held in found if held.version != version)


def _owed(
    tables: CommitterTables, entries: Iterable[SubmissionRow]
) -> list[SubmissionRow]:
    """Return the entries whose outcome is still owed, with all their origins."""
    found = [tables.submissions.get(row.submission_id) for row in entries]
    return [row for row in found if row is not None]


def _put_back(
    tables: CommitterTables, lane: LaneRow, entries: Iterable[SubmissionRow]
) -> CommitterTables:
    queued = set(lane.queue)
    owed = [row.submission_id for row in _owed(tables, entries)]
    head = tuple(key for key in owed if key not in queued)
    idle = replace(lane, queue=(*head, *lane.queue), transaction=None)
    return replace(tables, lanes=tables.lanes.put(lane.name, idle))
