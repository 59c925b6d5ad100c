"""Remembers which submissions were sent without a sure answer.

The fence of a lane names the last transaction that committed there. When it turns
out to be one that got no answer, its submissions are known to have committed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from bulrushpulley.entities.committer_tables import (
    CommitterTables,
    DoubtRow,
    Transaction,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.commit.report import report_committed

DOUBT_KEPT_S = 600.0
MAX_DOUBTS = 20_000


def doubt(
    tables: CommitterTables,
    submission_ids: Iterable[str],
    transaction: Transaction,
    now: float,
) -> CommitterTables:
    """Note that the submissions were sent in a transaction of unknown outcome."""
    doubts = _forget_old(tables, now).doubts
    for submission_id in submission_ids:
        known = doubts.get(submission_id)
        before = known.transaction_ids if known is not None else ()
        sent_in = dict.fromkeys((*before, transaction.transaction_id))
        row = DoubtRow(
            submission_id=submission_id,
            transaction_ids=tuple(sent_in),
            since=now,
        )
        doubts = doubts.put(submission_id, row)
    return replace(tables, doubts=doubts)


def settle_doubts(
    tables: CommitterTables, transaction_id: str, revision: int, now: float
) -> Step[CommitterTables]:
    """Note that a transaction has committed, for whatever was in doubt in it."""
    commands: list[Command] = []
    for known in tables.doubts.rows_where("transaction", transaction_id):
        row = tables.submissions.get(known.submission_id)
        if row is None:
            committed = replace(known, revision=revision)
            doubts = tables.doubts.put(known.submission_id, committed)
            tables = replace(tables, doubts=doubts)
            continue
        step = report_committed(tables, row, revision, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def known_revision(tables: CommitterTables, submission_id: str) -> int:
    """Return the commit in which a submission is known to have taken effect, or 0."""
    known = tables.doubts.get(submission_id)
    return known.revision if known is not None else 0


def _forget_old(tables: CommitterTables, now: float) -> CommitterTables:
    if len(tables.doubts) < MAX_DOUBTS:
        return tables
    doubts = tables.doubts
    for known in tables.doubts.rows():
        if known.since + DOUBT_KEPT_S <= now:
            doubts = doubts.drop(known.submission_id)
    return replace(tables, doubts=doubts)
