"""Settles a lane's transaction by what the store answered, or by its silence."""

from __future__ import annotations

from dataclasses import replace

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
from bulrushpulley.systems.commit.doubt import settle_doubts
from bulrushpulley.systems.commit.queue import answered, failed, owed, put_back
from bulrushpulley.systems.commit.report import report_committed, withdraw


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
    step = all_committed(transaction, event.lane, event.revision, tables, now)
    return replace(step, commands=(bytes_sent, *step.commands))


def all_committed(
    transaction: Transaction,
    lane_name: str,
    revision: int,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Report every submission of a transaction that is known to have committed."""
    lane = replace(
        answered(tables.lanes.by_key[lane_name], now),
        fence_version=revision,
        doubtful=False,
        seal_due=False,
    )
    after = replace(tables, lanes=tables.lanes.put(lane_name, lane))
    commands: list[Command] = []
    for row in owed(after, transaction.entries):
        step = report_committed(after, row, revision, now)
        after = step.tables
        commands.extend(step.commands)
    settled = settle_doubts(after, transaction.transaction_id, revision, now)
    return Step(tables=settled.tables, commands=(*commands, *settled.commands))


def refused(
    event: TransactionRefused,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Back off; a transaction that was never in doubt is taken apart again."""
    lane = failed(tables.lanes.by_key[event.lane], transaction, now)
    count = Count(name="commit.refused", label=event.lane)
    if transaction.lost:
        lanes = tables.lanes.put(lane.name, lane)
        return Step(tables=replace(tables, lanes=lanes), commands=(count,))
    after = put_back(tables, lane, transaction.entries)
    return Step(tables=after, commands=(count,))


def rejected(
    event: TransactionRejected,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Find the submission that the store does not take by sending each alone."""
    count = Count(name="commit.rejected", label=event.lane)
    entries = transaction.entries
    if transaction.lost or not entries:
        refusal = TransactionRefused(
            lane=event.lane,
            transaction_id=event.transaction_id,
            reason=event.reason,
        )
        return refused(refusal, transaction, tables, now)
    lane = answered(tables.lanes.by_key[event.lane], now)
    if len(entries) > 1:
        apart = replace(lane, alone=len(entries))
        return Step(tables=put_back(tables, apart, entries), commands=(count,))
    commands: list[Command] = [count]
    for row in owed(tables, entries):
        step = withdraw(tables, row, event.reason, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=put_back(tables, lane, ()), commands=tuple(commands))


def lost(
    event: TransactionLost,
    transaction: Transaction,
    tables: CommitterTables,
    now: float,
) -> Step[CommitterTables]:
    """Back off; the very same transaction is to be sent again."""
    before = tables.lanes.by_key[event.lane]
    lane = replace(
        failed(before, transaction, now),
        transaction=replace(transaction, lost=True),
        timeout_s=commit_backoff.timeout_after_loss(before),
        doubtful=True,
    )
    count = Count(name="commit.lost", label=event.lane)
    lanes = tables.lanes.put(lane.name, lane)
    return Step(tables=replace(tables, lanes=lanes), commands=(count,))
