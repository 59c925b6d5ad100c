"""Confirms announced incarnations of the backend server before they are used.

An announcement may come from another writer or arrive late. It neither ends the known
incarnation nor begins one until a backend server answers at the announced address as
that incarnation.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    ConfirmIncarnation,
    IncarnationConfirmed,
    IncarnationUnconfirmed,
)
from bulrushpulley.entities.jobs.job_agent_tables import (
    Candidate,
    JobAgentStep,
    JobAgentTables,
    incarnation_name,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.job_agent import edits, server_lifecycle

# The backend server is on the same host and answers within a few milliseconds.
CONFIRM_TIMEOUT_S = 0.3
CONFIRM_RETRY_DELAY_S = 0.1
# A backend server announces itself about once a second.
CANDIDATE_TIMEOUT_S = 3.0
MAX_CANDIDATES = 8
# Calls to addresses that do not answer must leave threads for the other calls.
MAX_CONFIRMATIONS_IN_FLIGHT = 2


def handle_announced(
    event: Announced, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Update the known incarnation, or record one that has yet to be confirmed."""
    known = tables.server
    name = incarnation_name(event)
    if known is not None and event.started_at_ms < known.started_at_ms:
        return Step(tables=tables)
    if known is not None and name == known.life:
        return server_lifecycle.update_announced(event, tables, now)
    before = tables.candidates.get(name)
    if before is not None and event.sequence < before.announced.sequence:
        return Step(tables=tables)
    if before is None:
        candidate = Candidate(announced=event, announced_at=now)
    else:
        candidate = replace(before, announced=event, announced_at=now)
    candidates = tables.candidates.put(name, candidate)
    if len(candidates) > MAX_CANDIDATES:
        oldest = min(candidates.rows(), key=lambda row: row.announced_at)
        candidates = candidates.drop(oldest.name)
    return Step(tables=replace(tables, candidates=candidates))


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Ask the candidates that are due to confirm themselves; drop expired ones."""
    commands: list[Command] = []
    in_flight = 0
    for candidate in tables.candidates.rows():
        if now - candidate.announced_at > CANDIDATE_TIMEOUT_S:
            candidates = tables.candidates.drop(candidate.name)
            tables = replace(tables, candidates=candidates)
        elif candidate.in_flight:
            in_flight += 1
    for candidate in sorted(tables.candidates.rows(), key=lambda row: row.retry_at):
        if candidate.in_flight or now < candidate.retry_at:
            continue
        if in_flight >= MAX_CONFIRMATIONS_IN_FLIGHT:
            break
        in_flight += 1
        tables = _put(tables, replace(candidate, in_flight=True))
        announced = candidate.announced
        call = ConfirmIncarnation(
            server_id=announced.server_id,
            address=announced.address,
            timeout_s=CONFIRM_TIMEOUT_S,
            started_at_ms=announced.started_at_ms,
        )
        commands.append(call)
    return Step(tables=tables, commands=tuple(commands))


def handle_confirmed(
    event: IncarnationConfirmed, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Begin the incarnation, which ends the one known so far."""
    candidate = tables.candidates.get(incarnation_name(event))
    if candidate is None:
        return Step(tables=tables)
    if candidate.announced.address != event.address:
        return Step(tables=_put(tables, replace(candidate, in_flight=False)))
    candidates = tables.candidates.drop(candidate.name)
    tables = replace(tables, candidates=candidates)
    known = tables.server
    if known is not None and event.started_at_ms < known.started_at_ms:
        return Step(tables=tables)
    return server_lifecycle.begin_incarnation(candidate.announced, tables, now)


def handle_unconfirmed(
    event: IncarnationUnconfirmed, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Schedule another attempt, and log the first failure."""
    candidate = tables.candidates.get(incarnation_name(event))
    if candidate is None:
        return Step(tables=tables)
    failed = replace(
        candidate,
        in_flight=False,
        retry_at=now + CONFIRM_RETRY_DELAY_S,
        failures=candidate.failures + 1,
    )
    commands: tuple[Command, ...] = ()
    if not candidate.failures:
        commands = (_line(tables, candidate, event.reason),)
    return Step(tables=_put(tables, failed), commands=commands)


def _put(tables: JobAgentTables, candidate: Candidate) -> JobAgentTables:
    candidates = tables.candidates.put(candidate.name, candidate)
    return replace(tables, candidates=candidates)


def _line(tables: JobAgentTables, candidate: Candidate, reason: str) -> Decision:
    address = candidate.announced.address
    return edits.log(tables, "server.unconfirmed", candidate.name, address, reason)
