"""Combines the submissions waiting in a lane into one transaction.

There is no batching timer: an idle lane sends immediately; a busy lane collects
submissions until its current transaction is settled. A submission that conflicts
with another one of the batch on a key waits for a later transaction.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import Condition, Submission
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
    TokenWrite,
    Transact,
    TransactionLost,
)
from bulrushpulley.systems.commit import backoff as commit_backoff
from bulrushpulley.systems.commit import settle as commit_settle

MAX_BATCH_ROWS = 256
MAX_BATCH_BYTES = 512 * 1024
MAX_PROBE_ROWS = 16
# A request without any result counts as lost this long after its timeout.
OVERDUE_MARGIN_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """The submissions to send together, and the ids that remain queued."""

    chosen: tuple[SubmissionRow, ...] = ()
    remaining: tuple[str, ...] = ()


def run(tables: CommitterTables, now: float) -> Step[CommitterTables]:
    """Send a transaction on each lane that may send now."""
    commands: list[Command] = []
    for name in sorted(tables.lanes):
        step = _run_lane(tables, tables.lanes.by_key[name], now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def may_join_batch(
    submission: Submission, required: Set[str], written: Set[str]
) -> bool:
    """Tell whether a submission may join a batch.

    Neither may require or write a key that the other writes.
    """
    condition_keys = {condition.key for condition in submission.conditions}
    write_keys = {write.key for write in submission.writes}
    return write_keys.isdisjoint(required) and (condition_keys | write_keys).isdisjoint(
        written
    )


def _run_lane(
    tables: CommitterTables, lane: LaneRow, now: float
) -> Step[CommitterTables]:
    if lane.request_in_flight:
        return _handle_overdue_request(tables, lane, now)
    if now < lane.retry_at:
        return Step(tables=tables)
    transaction = lane.transaction
    if transaction is not None and _has_unreported(tables, transaction):
        return _send(tables, lane, transaction, now)
    next_lane = _with_next_transaction(tables, lane)
    transaction = next_lane.transaction
    if transaction is None:
        return Step(tables=_with_lane(tables, next_lane))
    step = _send(tables, next_lane, transaction, now)
    return replace(
        step, commands=(*_batch_counts(next_lane, transaction), *step.commands)
    )


def _with_lane(tables: CommitterTables, lane: LaneRow) -> CommitterTables:
    if tables.lanes.by_key[lane.name] is lane:
        return tables
    return replace(tables, lanes=tables.lanes.put(lane.name, lane))


def _has_unreported(tables: CommitterTables, transaction: Transaction) -> bool:
    return any(row.submission_id in tables.submissions for row in transaction.entries)


def _handle_overdue_request(
    tables: CommitterTables, lane: LaneRow, now: float
) -> Step[CommitterTables]:
    overdue_at = lane.sent_at + commit_backoff.next_timeout_s(lane) + OVERDUE_MARGIN_S
    if lane.transaction is None or now < overdue_at:
        return Step(tables=tables)
    transaction_id = lane.transaction.transaction_id
    event = TransactionLost(
        lane=lane.name, transaction_id=transaction_id, reason="overdue"
    )
    return commit_settle.handle_lost(event, lane.transaction, tables, now)


def _with_next_transaction(tables: CommitterTables, lane: LaneRow) -> LaneRow:
    """Return the lane with its next transaction, or with none if nothing waits."""
    if not lane.queue and not lane.fence_move_due:
        return replace(lane, transaction=None) if lane.transaction else lane
    batch = Batch() if lane.fence_move_due else _select(tables, lane)
    queue = lane.queue if lane.fence_move_due else batch.remaining
    if not batch.chosen and not lane.fence_move_due:
        return replace(lane, transaction=None, queue=queue)
    number = lane.last_transaction_number + 1
    transaction = Transaction(
        transaction_id=f"{tables.incarnation}/{lane.name}/{number}",
        entries=batch.chosen,
        fence_version=lane.fence_version,
    )
    return replace(
        lane,
        transaction=transaction,
        last_transaction_number=number,
        queue=queue,
        single_sends=max(0, lane.single_sends - len(batch.chosen)),
    )


def max_rows(lane: LaneRow) -> int:
    """Return how many rows the lane's next transaction may have."""
    if lane.single_sends:
        return 1
    return MAX_PROBE_ROWS if commit_backoff.is_circuit_open(lane) else MAX_BATCH_ROWS


def _select(tables: CommitterTables, lane: LaneRow) -> Batch:
    """Choose submissions from the head of the queue, skipping those that conflict.

    The keys of skipped submissions block later ones too, so that submissions on the
    same key stay in order.
    """
    row_limit = max_rows(lane)
    chosen: list[SubmissionRow] = []
    remaining: list[str] = []
    required: set[str] = set()
    written: set[str] = set()
    rows = size_bytes = 0
    for position, submission_id in enumerate(lane.queue):
        row = tables.submissions.get(submission_id)
        if row is None:
            continue
        rows += len(row.submission.writes)
        size_bytes += row.size_bytes
        if chosen and (rows > row_limit or size_bytes > MAX_BATCH_BYTES):
            remaining.extend(lane.queue[position:])
            break
        if may_join_batch(row.submission, required, written):
            chosen.append(row)
        else:
            remaining.append(submission_id)
        required.update(condition.key for condition in row.submission.conditions)
        written.update(write.key for write in row.submission.writes)
    return Batch(chosen=tuple(chosen), remaining=tuple(remaining))


def _send(
    tables: CommitterTables, lane: LaneRow, transaction: Transaction, now: float
) -> Step[CommitterTables]:
    sent_lane = replace(
        lane, transaction=transaction, request_in_flight=True, sent_at=now
    )
    fence = Fence(
        key=f"fence/{tables.name}/{lane.name}", version=transaction.fence_version
    )
    command = Transact(
        lane=lane.name,
        transaction_id=transaction.transaction_id,
        conditions=_conditions(transaction.entries),
        writes=_writes(transaction.entries),
        fence=fence,
        timeout_s=commit_backoff.next_timeout_s(lane),
    )
    return Step(tables=_with_lane(tables, sent_lane), commands=(command,))


def _conditions(entries: Iterable[SubmissionRow]) -> tuple[Condition, ...]:
    conditions = [
        condition for row in entries for condition in row.submission.conditions
    ]
    return tuple(dict.fromkeys(conditions))


def _writes(entries: Iterable[SubmissionRow]) -> tuple[TokenWrite, ...]:
    return tuple(
        TokenWrite(key=write.key, row=write.row, token=row.submission_id)
        for row in entries
        for write in row.submission.writes
    )


def _batch_counts(lane: LaneRow, transaction: Transaction) -> tuple[Command, ...]:
    entries = transaction.entries
    rows = sum(len(row.submission.writes) for row in entries)
    return (
        Count(name="commit.transactions", label=lane.name),
        Count(name="commit.submissions", label=lane.name, by=len(entries)),
        Count(name="commit.rows", label=lane.name, by=rows),
    )
