"""Applies the events of the committer to its tables."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.commit import ReadRequested, Submitted
from bulrushpulley.entities.committer_tables import CommitterTables
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.entities.transactions import (
    ReadFailed,
    RowsRead,
    TransactionCommitted,
    TransactionConflicted,
    TransactionLost,
    TransactionRefused,
    TransactionRejected,
)
from bulrushpulley.systems.commit import accept as commit_accept
from bulrushpulley.systems.commit import conflict as commit_conflict
from bulrushpulley.systems.commit import read as commit_read
from bulrushpulley.systems.commit import settle as commit_settle


@singledispatch
def apply(event: Event, tables: CommitterTables, now: float) -> Step[CommitterTables]:
    """Apply one event; events without a handler change nothing."""
    return Step(tables=tables)


@apply.register
def _(event: Submitted, tables: CommitterTables, now: float) -> Step[CommitterTables]:
    return commit_accept.accept(event, tables, now)


@apply.register
def _(
    event: ReadRequested, tables: CommitterTables, now: float
) -> Step[CommitterTables]:
    return commit_read.request_read(event, tables, now)


@apply.register
def _(event: RowsRead, tables: CommitterTables, now: float) -> Step[CommitterTables]:
    return commit_read.handle_rows_read(event, tables)


@apply.register
def _(event: ReadFailed, tables: CommitterTables, now: float) -> Step[CommitterTables]:
    return commit_read.handle_read_failed(event, tables)


@apply.register
def _(
    event: TransactionCommitted, tables: CommitterTables, now: float
) -> Step[CommitterTables]:
    transaction = commit_settle.pending_transaction(tables, event)
    if transaction is None:
        return Step(tables=tables)
    return commit_settle.handle_committed(event, transaction, tables, now)


@apply.register
def _(
    event: TransactionConflicted, tables: CommitterTables, now: float
) -> Step[CommitterTables]:
    transaction = commit_settle.pending_transaction(tables, event)
    if transaction is None:
        return Step(tables=tables)
    return commit_conflict.handle_conflicted(event, transaction, tables, now)


@apply.register
def _(
    event: TransactionRefused, tables: CommitterTables, now: float
) -> Step[CommitterTables]:
    transaction = commit_settle.pending_transaction(tables, event)
    if transaction is None:
        return Step(tables=tables)
    return commit_settle.handle_refused(event, transaction, tables, now)


@apply.register
def _(
    event: TransactionRejected, tables: CommitterTables, now: float
) -> Step[CommitterTables]:
    transaction = commit_settle.pending_transaction(tables, event)
    if transaction is None:
        return Step(tables=tables)
    return commit_settle.handle_rejected(event, transaction, tables, now)


@apply.register
def _(
    event: TransactionLost, tables: CommitterTables, now: float
) -> Step[CommitterTables]:
    transaction = commit_settle.pending_transaction(tables, event)
    if transaction is None:
        return Step(tables=tables)
    return commit_settle.handle_lost(event, transaction, tables, now)
