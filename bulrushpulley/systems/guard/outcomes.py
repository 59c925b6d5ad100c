"""Stores the outcomes of unrepeatable ids, limited in number, bytes and time.

An outcome is kept for `OUTCOME_RETENTION_S`, well beyond the lifetime of the id's
claim. The body of an answer is dropped earlier if the bodies together exceed
`MAX_STORED_BODY_BYTES`; the id is then still known to have run.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.execution import Outcome, StoredOutcome
from bulrushpulley.entities.guard_tables import GuardTables
from bulrushpulley.entities.step import Step
from bulrushpulley.errors import Code, Problem, Ran

OUTCOME_RETENTION_S = 4 * 3600.0
MAX_STORED_OUTCOMES = 50_000
MAX_STORED_BODY_BYTES = 16 * 1024 * 1024
MAX_REFUSED_ATTEMPTS = 10_000


def store_outcome(
    tables: GuardTables, request_id: str, outcome: Outcome, now: float
) -> GuardTables:
    """Store the outcome of an id, unless it already has one."""
    if request_id in tables.stored_outcomes:
        return tables
    row = StoredOutcome(
        request_id=request_id, expires_at=now + OUTCOME_RETENTION_S, outcome=outcome
    )
    body_order = tables.body_order
    if outcome.body:
        body_order = body_order.append(request_id)
    tables = replace(
        tables,
        stored_outcomes=tables.stored_outcomes.put(request_id, row),
        outcome_order=tables.outcome_order.append(request_id),
        body_order=body_order,
        body_bytes=tables.body_bytes + len(outcome.body),
    )
    return trim_bodies(trim_ids(tables, now))


def trim_ids(tables: GuardTables, now: float) -> GuardTables:
    """Drop the oldest ids beyond the limit, and record when the last would expire."""
    while len(tables.stored_outcomes) > MAX_STORED_OUTCOMES:
        oldest = tables.stored_outcomes.by_key[tables.outcome_order.left]
        expires_at = max(tables.outcomes_missing_until, oldest.expires_at)
        tables = replace(drop_oldest(tables), outcomes_missing_until=expires_at)
    return tables


def drop_oldest(tables: GuardTables) -> GuardTables:
    """Drop the oldest id and its outcome."""
    request_id = tables.outcome_order.left
    tables = drop_body(tables, request_id)
    return replace(
        tables,
        stored_outcomes=tables.stored_outcomes.drop(request_id),
        outcome_order=tables.outcome_order.popleft(),
    )


def trim_bodies(tables: GuardTables) -> GuardTables:
    """Drop the oldest bodies beyond the limit; their ids are kept."""
    while tables.body_bytes > MAX_STORED_BODY_BYTES:
        tables = drop_body(tables, tables.body_order.left)
    return tables


def drop_body(tables: GuardTables, request_id: str) -> GuardTables:
    """Drop the body of the answer to an id if it is the oldest body stored.

    Bodies are dropped in the order in which they were stored.
    """
    if not tables.body_order or tables.body_order.left != request_id:
        return tables
    row = tables.stored_outcomes.by_key[request_id]
    outcome = Outcome(ran=Ran.YES, took_s=row.outcome.took_s, problem=BODY_DROPPED)
    return replace(
        tables,
        stored_outcomes=tables.stored_outcomes.put(
            request_id, replace(row, outcome=outcome)
        ),
        body_order=tables.body_order.popleft(),
        body_bytes=tables.body_bytes - len(row.outcome.body),
    )


BODY_DROPPED = Problem(
    code=Code.OUTCOME_UNKNOWN,
    step="guard.recall",
    peer="self",
    detail="the request ran; its answer is no longer kept",
)


def record_refused_attempt(tables: GuardTables, attempt_id: str) -> GuardTables:
    """Record an attempt as refused, so that a delayed copy of it is refused too."""
    if attempt_id in tables.refused_attempts:
        return tables
    refused_attempts = tables.refused_attempts.set(attempt_id, None)
    order = tables.refused_order.append(attempt_id)
    if len(order) > MAX_REFUSED_ATTEMPTS:
        refused_attempts = refused_attempts.remove(order.left)
        order = order.popleft()
    return replace(tables, refused_attempts=refused_attempts, refused_order=order)


def run(tables: GuardTables, now: float) -> Step[GuardTables]:
    """Drop the expired outcomes."""
    while tables.outcome_order:
        oldest = tables.stored_outcomes.by_key[tables.outcome_order.left]
        if oldest.expires_at > now:
            break
        tables = drop_oldest(tables)
    return Step(tables=tables)
