"""Tracks submissions in doubt: sent in a transaction of unknown outcome.

The fence of a lane holds the id of the last transaction that committed there. If
that transaction got no answer, its submissions are now known to have committed.
"""

from __future__ import annotations

from collections.abc import Iterable

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.committer_tables import (
    CommitterTables,
    InDoubtRow,
    Transaction,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.commit.report import report_committed

IN_DOUBT_RETENTION_S = 600.0
MAX_IN_DOUBT_ROWS = 20_000


def mark_in_doubt(
    tables: CommitterTables,
    submission_ids: Iterable[str],
    transaction: Transaction,
    now: float,
) -> CommitterTables:
    """Record that submissions were sent in a transaction of unknown outcome."""
    in_doubt = _drop_expired(tables, now).in_doubt
    for submission_id in submission_ids:
        known = in_doubt.get(submission_id)
        before = known.transaction_ids if known is not None else ()
        sent_in = dict.fromkeys((*before, transaction.transaction_id))
        row = InDoubtRow(
            submission_id=submission_id,
            transaction_ids=tuple(sent_in),
            marked_at=now,
        )
        in_doubt = in_doubt.put(submission_id, row)
    return replace(tables, in_doubt=in_doubt)


def resolve_in_doubt(
    tables: CommitterTables, transaction_id: str, revision: int, now: float
) -> Step[CommitterTables]:
    """Record that a transaction has committed, for its submissions in doubt."""
    commands: list[Command] = []
    for known in tables.in_doubt.rows_where("transaction", transaction_id):
        row = tables.submissions.get(known.submission_id)
        if row is None:
            committed = replace(known, revision=revision)
            in_doubt = tables.in_doubt.put(known.submission_id, committed)
            tables = replace(tables, in_doubt=in_doubt)
            continue
        step = report_committed(tables, row, revision, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def known_revision(tables: CommitterTables, submission_id: str) -> int:
    """Return the revision at which a submission is known to have committed, or 0."""
    known = tables.in_doubt.get(submission_id)
    return known.revision if known is not None else 0


def _drop_expired(tables: CommitterTables, now: float) -> CommitterTables:
    if len(tables.in_doubt) < MAX_IN_DOUBT_ROWS:
        return tables
    in_doubt = tables.in_doubt
    for known in tables.in_doubt.rows():
        if known.marked_at + IN_DOUBT_RETENTION_S <= now:
            in_doubt = in_doubt.drop(known.submission_id)
    return replace(tables, in_doubt=in_doubt)
