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
    JobAgentStep,
    JobAgentTables,
    UnconfirmedServer,
    incarnation_name,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.job_agent import edits, fencing, server_lifecycle

# The backend server is on the same host and answers within a few milliseconds.
CONFIRM_TIMEOUT_S = 0.3
CONFIRM_RETRY_DELAY_S = 0.1
# A backend server announces itself about once a second.
UNCONFIRMED_TIMEOUT_S = 3.0
MAX_UNCONFIRMED_SERVERS = 8
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
    before = tables.unconfirmed.get(name)
    if before is not None and event.sequence < before.announced.sequence:
        return Step(tables=tables)
    if before is None:
        server = UnconfirmedServer(announced=event, announced_at=now)
    else:
        server = replace(before, announced=event, announced_at=now)
    unconfirmed = tables.unconfirmed.put(name, server)
    if len(unconfirmed) > MAX_UNCONFIRMED_SERVERS:
        oldest = min(unconfirmed.rows(), key=lambda row: row.announced_at)
        unconfirmed = unconfirmed.drop(oldest.name)
    return Step(tables=replace(tables, unconfirmed=unconfirmed))


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Call the unconfirmed servers that are due, and drop the expired ones."""
    commands: list[Command] = []
    in_flight = 0
    for server in tables.unconfirmed.rows():
        if now - server.announced_at > UNCONFIRMED_TIMEOUT_S:
            unconfirmed = tables.unconfirmed.drop(server.name)
            tables = replace(tables, unconfirmed=unconfirmed)
        elif server.in_flight:
            in_flight += 1
    for server in sorted(tables.unconfirmed.rows(), key=lambda row: row.retry_at):
        if server.in_flight or now < server.retry_at:
            continue
        if in_flight >= MAX_CONFIRMATIONS_IN_FLIGHT:
            break
        in_flight += 1
        tables = _put(tables, replace(server, in_flight=True))
        announced = server.announced
        if tables.server is None:
            # An earlier process of this agent has called it with this token.
            tables = fencing.raise_to(tables, announced.started_at_ms)
        call = ConfirmIncarnation(
            server_id=announced.server_id,
            address=announced.address,
            timeout_s=CONFIRM_TIMEOUT_S,
            fencing_token=tables.fencing_token,
            started_at_ms=announced.started_at_ms,
        )
        commands.append(call)
    return Step(tables=tables, commands=tuple(commands))


def handle_confirmed(
    event: IncarnationConfirmed, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Begin the incarnation, which ends the one known so far."""
    server = tables.unconfirmed.get(incarnation_name(event))
    if server is None:
        return Step(tables=tables)
    if server.announced.address != event.address:
        return Step(tables=_put(tables, replace(server, in_flight=False)))
    unconfirmed = tables.unconfirmed.drop(server.name)
    tables = replace(tables, unconfirmed=unconfirmed)
    known = tables.server
    if known is not None and event.started_at_ms < known.started_at_ms:
        return Step(tables=tables)
    return server_lifecycle.begin_incarnation(server.announced, tables, now)


def handle_unconfirmed(
    event: IncarnationUnconfirmed, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Schedule another attempt, and log the first failure."""
    server = tables.unconfirmed.get(incarnation_name(event))
    if server is None:
        return Step(tables=tables)
    failed = replace(
        server,
        in_flight=False,
        retry_at=now + CONFIRM_RETRY_DELAY_S,
        failures=server.failures + 1,
    )
    if event.fenced:
        tables = fencing.handle_fenced(tables)
    commands: tuple[Command, ...] = ()
    if not server.failures:
        commands = (_line(tables, server, event.reason),)
    return Step(tables=_put(tables, failed), commands=commands)


def _put(tables: JobAgentTables, server: UnconfirmedServer) -> JobAgentTables:
    unconfirmed = tables.unconfirmed.put(server.name, server)
    return replace(tables, unconfirmed=unconfirmed)


def _line(tables: JobAgentTables, server: UnconfirmedServer, reason: str) -> Decision:
    address = server.announced.address
    return edits.log(tables, "server.unconfirmed", server.name, address, reason)
