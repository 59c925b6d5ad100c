"""Remembers the outcomes of unrepeatable ids, within bounds of count, bytes and time.

An id is remembered for `REMEMBER_S`, well beyond the life of its claim. The body of
its answer goes earlier if all bodies exceed `MAX_BODY_BYTES`; the id then still
stands as one that ran.
"""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.execution import Outcome, Remembered
from bulrushpulley.entities.guard_tables import GuardTables
from bulrushpulley.entities.step import Step
from bulrushpulley.errors import Code, Problem, Ran

REMEMBER_S = 4 * 3600.0
MAX_REMEMBERED = 50_000
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_REFUSED = 10_000


def remember(
    tables: GuardTables, request_id: str, outcome: Outcome, now: float
) -> GuardTables:
    """Keep the outcome of an id; the first one stands."""
    if request_id in tables.remembered:
        return tables
    row = Remembered(request_id=request_id, until=now + REMEMBER_S, outcome=outcome)
    with_body = tables.with_body
    if outcome.body:
        with_body = with_body.append(request_id)
    tables = replace(
        tables,
        remembered=tables.remembered.put(request_id, row),
        oldest_first=tables.oldest_first.append(request_id),
        with_body=with_body,
        body_bytes=tables.body_bytes + len(outcome.body),
    )
    return trim_bodies(trim_ids(tables, now))


def trim_ids(tables: GuardTables, now: float) -> GuardTables:
    """Forget the oldest ids beyond the bound, and note that some are missing."""
    while len(tables.remembered) > MAX_REMEMBERED:
        oldest = tables.remembered.by_key[tables.oldest_first.left]
        until = max(tables.forgetful_until, oldest.until)
        tables = replace(forget_oldest(tables), forgetful_until=until)
    return tables


def forget_oldest(tables: GuardTables) -> GuardTables:
    """Forget the oldest id."""
    request_id = tables.oldest_first.left
    tables = drop_body(tables, request_id)
    return replace(
        tables,
        remembered=tables.remembered.drop(request_id),
        oldest_first=tables.oldest_first.popleft(),
    )


def trim_bodies(tables: GuardTables) -> GuardTables:
    """Drop the oldest bodies beyond the bound; their ids stay."""
    while tables.body_bytes > MAX_BODY_BYTES:
        tables = drop_body(tables, tables.with_body.left)
    return tables


def drop_body(tables: GuardTables, request_id: str) -> GuardTables:
    """Drop the body of the answer to an id; bodies go in the order they came."""
    if not tables.with_body or tables.with_body.left != request_id:
        return tables
    row = tables.remembered.by_key[request_id]
    outcome = Outcome(ran=Ran.YES, took_s=row.outcome.took_s, problem=GONE)
    return replace(
        tables,
        remembered=tables.remembered.put(request_id, replace(row, outcome=outcome)),
        with_body=tables.with_body.popleft(),
        body_bytes=tables.body_bytes - len(row.outcome.body),
    )


GONE = Problem(
    code=Code.OUTCOME_UNKNOWN,
    step="guard.recall",
    peer="self",
    detail="the request ran; its answer is no longer kept",
)


def refuse_for_good(tables: GuardTables, attempt_id: str) -> GuardTables:
    """Note an attempt as refused, so that a late copy of it is refused too."""
    if attempt_id in tables.refused:
        return tables
    refused = tables.refused.set(attempt_id, None)
    first = tables.refused_first.append(attempt_id)
    if len(first) > MAX_REFUSED:
        refused = refused.remove(first.left)
        first = first.popleft()
    return replace(tables, refused=refused, refused_first=first)


def run(tables: GuardTables, now: float) -> Step[GuardTables]:
    """Forget the ids whose time is over."""
    while tables.oldest_first:
        oldest = tables.remembered.by_key[tables.oldest_first.left]
        if oldest.until > now:
            break
        tables = forget_oldest(tables)
    return Step(tables=tables)
