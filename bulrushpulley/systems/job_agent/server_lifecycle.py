"""Tracks the incarnations of the backend server: their start, state and end."""

from __future__ import annotations

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.executor_calls import Announced, Withdrawn
from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.items import LifeEnded
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentStep,
    JobAgentTables,
    PollState,
    RunPhase,
    Server,
)
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.table import Table
from bulrushpulley.systems.job_agent import edits, fencing, unanswered_starts

# A backend server that has not answered for this long gets no new work.
SERVER_UNREACHABLE_TIMEOUT_S = 1.2
# Two refused connections over at least this time mean that no process listens.
REFUSED_CONNECTIONS_TIMEOUT_S = 0.3
MIN_REFUSED_CONNECTIONS = 2
# Neighbours slow a serving run to at most ten times its target; on a backend server
# that makes no progress the latencies are hundreds of times the target.
STALLED_LATENCY_RATIO = 50.0
MIN_STALLED_RUNS = 2
STALLED_TIMEOUT_S = 0.5


def update_announced(
    event: Announced, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Apply a newer announcement of the known incarnation.

    It keeps its address and service; an announcement with others is of another writer.
    """
    known = tables.server
    if known is None or event.sequence < known.sequence:
        return Step(tables=tables)
    if (event.address, event.service) != (known.address, known.service):
        reason = f"an announcement names {event.service!r} at {event.address}"
        line = _line(tables, known.life, tables.server_state.value, reason)
        return Step(tables=tables, commands=(line,))
    server = replace(
        known,
        sequence=event.sequence,
        draining=event.is_draining,
        capacity=event.capacity,
        labels=event.labels,
        leaves_in_s=event.leaves_in_s,
        withdrawn=False,
    )
    return Step(tables=replace(tables, server=server))


def begin_incarnation(
    event: Announced, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Use a confirmed incarnation instead of the one known so far."""
    known = tables.server
    step = end_incarnation(
        tables,
        "another incarnation has begun",
        now,
        next_may_run=known is not None and known.server_id == event.server_id,
    )
    server = Server(
        server_id=event.server_id,
        started_at_ms=event.started_at_ms,
        sequence=event.sequence,
        service=event.service,
        address=event.address,
        draining=event.is_draining,
        capacity=event.capacity,
        labels=event.labels,
        leaves_in_s=event.leaves_in_s,
        # An earlier process of this agent may have requested leases until now.
        lease_sent_at=now,
    )
    updated = replace(
        fencing.raise_to(step.tables, event.started_at_ms),
        server=server,
        server_state=ServerState.UNKNOWN,
        service=event.service,
    )
    former = updated.former
    if former is not None and former.server_id == server.server_id:
        updated = unanswered_starts.bar(updated, now)
    line = _line(updated, server.life, "announced", event.address)
    return Step(tables=updated, commands=(*step.commands, line))


def handle_withdrawn(
    event: Withdrawn, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Poll the incarnation that has announced its end, to see whether it has ended.

    The announcement may be that of an earlier incarnation with the same id.
    """
    server = tables.server
    if server is None or server.server_id != event.server_id:
        return Step(tables=tables)
    withdrawn = replace(server, draining=True, withdrawn=True)
    poll = replace(tables.poll, retry_at=now)
    line = _line(tables, server.life, "withdrawn", "it announced its end")
    return Step(tables=replace(tables, server=withdrawn, poll=poll), commands=(line,))


def end_incarnation(
    tables: JobAgentTables, reason: str, now: float, *, next_may_run: bool = False
) -> JobAgentStep:
    """Drop an incarnation that has no runs any more, and notify the owner.

    If the next one with the same id may run what this one was told to start, the owner
    is notified only by the list of its runs, and keeps those that it finds there.
    """
    server = tables.server
    if server is None:
        return Step(tables=tables)
    tables = unanswered_starts.record_in_flight(tables, now)
    cleared = replace(
        fencing.await_next(tables, server, now),
        server=None,
        server_state=ServerState.UNKNOWN if next_may_run else ServerState.GONE,
        search_started_at=now,
        stalled_since=None,
        poll=PollState(),
        runs=Table.empty(indexes=tables.runs.index_functions),
        ends=Map(),
        end_listed_at=Map(),
        last_end_sent=0,
        orders_complete=False,
        synced=False,
        pacing=replace(tables.pacing, near_target_since=Map()),
    )
    commands: list[Command] = [_line(tables, server.life, "ended", reason)]
    if tables.owner and not next_may_run:
        ended = LifeEnded(epoch=tables.epoch, life=server.life)
        commands.append(Send(peer=tables.owner, item=ended))
    return Step(tables=cleared, commands=tuple(commands))


def update_state(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Update the state of the backend server from its announcements and answers."""
    server, poll = tables.server, tables.poll
    if server is None:
        return _update_unannounced(tables, now)
    failing_s = 0.0 if poll.failing_since is None else now - poll.failing_since
    if (
        poll.connections_refused >= MIN_REFUSED_CONNECTIONS
        and failing_s >= REFUSED_CONNECTIONS_TIMEOUT_S
    ):
        return end_incarnation(tables, "no process listens at its address", now)
    if server.withdrawn and poll.connections_refused:
        reason = "it announced its end, and nothing listens"
        return end_incarnation(tables, reason, now)
    lease_expired = now - server.lease_sent_at > tables.bounds.lease_expiry_s
    if failing_s > SERVER_UNREACHABLE_TIMEOUT_S and lease_expired:
        reason = "it did not answer until its lease had expired"
        return end_incarnation(tables, reason, now)
    tables = _update_stall(tables, now)
    stalled_since = tables.stalled_since
    stalls = stalled_since is not None and now - stalled_since >= STALLED_TIMEOUT_S
    state = _state(server, failing_s, stalls)
    if state is tables.server_state:
        return Step(tables=tables)
    line = _line(
        tables, server.life, state.value, f"calls have failed for {failing_s:.1f} s"
    )
    return Step(tables=replace(tables, server_state=state), commands=(line,))


def _update_unannounced(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Give up an unannounced incarnation once any lease that it held has expired.

    An earlier process of this agent may have renewed that lease.
    """
    if tables.server_state is not ServerState.UNKNOWN:
        return Step(tables=tables)
    if tables.search_started_at is None:
        return Step(tables=replace(tables, search_started_at=now))
    if now - tables.search_started_at <= tables.bounds.lease_expiry_s:
        return Step(tables=tables)
    gone = replace(tables, server_state=ServerState.GONE)
    reason = "no server announced itself before every lease had expired"
    return Step(tables=gone, commands=(_line(gone, "", "gone", reason),))


def _update_stall(tables: JobAgentTables, now: float) -> JobAgentTables:
    """Record since when all serving runs are slower than neighbours can make them."""
    ratios = [
        run.status.measure / run.order.target_ms
        for run in tables.runs.rows_where("phase", RunPhase.RUNNING.value)
        if run.order and run.status and run.order.target_ms > 0.0
    ]
    stalls = len(ratios) >= MIN_STALLED_RUNS and min(ratios) > STALLED_LATENCY_RATIO
    since = tables.stalled_since if tables.stalled_since is not None else now
    return replace(tables, stalled_since=since if stalls else None)


def _state(server: Server, failing_s: float, stalls: bool) -> ServerState:
    if failing_s > SERVER_UNREACHABLE_TIMEOUT_S:
        return ServerState.SILENT
    if not server.listed:
        return ServerState.UNKNOWN
    if server.draining:
        return ServerState.DRAINING
    return ServerState.STALLED if stalls else ServerState.READY


def _line(
    tables: JobAgentTables, incarnation: str, state: str, reason: str
) -> Decision:
    return edits.log(tables, "server.state", incarnation, state, reason)
