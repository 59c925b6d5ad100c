"""Settles a lane's transaction after an answer of the store or a timeout."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.committer_tables import CommitterTables, Transaction
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.transactions import (
    TransactionCommitted,
    TransactionEnded,
    TransactionLost,
    TransactionRefused,
    TransactionRejected,
)
from bulrushpulley.systems.commit import backoff as commit_backoff
from bulrushpulley.systems.commit.in_doubt import resolve_in_doubt
from bulrushpulley.systems.commit.queue import (
    after_answer,
    after_failure,
    put_back,
    unreported,
)
from bulrushpulley.systems.commit.report import report_committed, withdraw


def pending_transaction(
    tables: CommitterTables, event: TransactionEnded
) -> Transaction | None:
    """Return the lane's transaction if the event is about it."""
    transaction = tables.lanes.by_key[event.lane].transaction
    if transaction is None or transaction.transaction_id != event.transaction_id:
        return None
    return transaction


def handle_committed(
    event: TransactionCommitted,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Report every submission of the transaction as committed."""
    bytes_sent = Count(name="commit.bytes", label=event.lane, by=event.sent_bytes)
    step = report_all_committed(transaction, event.lane, event.revision, tables, now)
    return replace(step, commands=(bytes_sent, *step.commands))


def report_all_committed(
    transaction: Transaction,
    lane_name: str,
    revision: int,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Report every submission of a transaction that is known to have committed."""
    lane = replace(
        after_answer(tables.lanes.by_key[lane_name], now),
        fence_version=revision,
        request_in_doubt=False,
        fence_move_due=False,
    )
    after = replace(tables, lanes=tables.lanes.put(lane_name, lane))
    commands: list[Command] = []
    for row in unreported(after, transaction.entries):
        step = report_committed(after, row, revision, now)
        after = step.tables
        commands.extend(step.commands)
    settled = resolve_in_doubt(after, transaction.transaction_id, revision, now)
    return Step(tables=settled.tables, commands=(*commands, *settled.commands))


def handle_refused(
    event: TransactionRefused,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Back off; requeue the submissions unless the transaction is in doubt."""
    lane = after_failure(tables.lanes.by_key[event.lane], transaction, now)
    count = Count(name="commit.refused", label=event.lane)
    if transaction.lost:
        lanes = tables.lanes.put(lane.name, lane)
        return Step(tables=replace(tables, lanes=lanes), commands=(count,))
    after = put_back(tables, lane, transaction.entries)
    return Step(tables=after, commands=(count,))


def handle_rejected(
    event: TransactionRejected,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Withdraw a single submission; have several sent one by one to find the cause."""
    count = Count(name="commit.rejected", label=event.lane)
    entries = transaction.entries
    if transaction.lost or not entries:
        refusal = TransactionRefused(
            lane=event.lane,
            transaction_id=event.transaction_id,
            reason=event.reason,
        )
        return handle_refused(refusal, transaction, tables, now)
    lane = after_answer(tables.lanes.by_key[event.lane], now)
    if len(entries) > 1:
        sending_singly = replace(lane, single_sends=len(entries))
        return Step(tables=put_back(tables, sending_singly, entries), commands=(count,))
    commands: list[Command] = [count]
    for row in unreported(tables, entries):
        step = withdraw(tables, row, event.reason, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=put_back(tables, lane, ()), commands=tuple(commands))


def handle_lost(
    event: TransactionLost,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Back off; the transaction will be sent again unchanged."""
    before = tables.lanes.by_key[event.lane]
    lane = replace(
        after_failure(before, transaction, now),
        transaction=replace(transaction, lost=True),
        timeout_s=commit_backoff.timeout_after_loss_s(before),
        request_in_doubt=True,
    )
    count = Count(name="commit.lost", label=event.lane)
    lanes = tables.lanes.put(lane.name, lane)
    return Step(tables=replace(tables, lanes=lanes), commands=(count,))
