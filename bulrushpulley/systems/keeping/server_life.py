"""Follows the lives of the backend server: which one is there, and when one is over."""

from __future__ import annotations

from dataclasses import replace

from pyrsistent import pmap

from bulrushpulley.entities.jobs.executor_calls import Announced, Withdrawn
from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.items import LifeEnded
from bulrushpulley.entities.jobs.keeper_tables import (
    Hold,
    KeeperStep,
    KeeperTables,
    RunPhase,
    Server,
)
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.table import Table
from bulrushpulley.systems.keeping import edits

# A backend server that has not answered for this long is not given anything new.
SILENT_S = 1.2
# Two refused connections this far apart mean that no process listens any more.
ABSENT_S = 0.3
ABSENCES = 2
# Neighbours slow a serving run to ten times its target at most; a backend server on
# which everything stands still shows hundreds of times.
STALLED_PART = 50.0
STALLED_RUNS = 2
STALLED_S = 0.5


def on_announced(event: Announced, tables: KeeperTables, now: float) -> KeeperStep:
    """Take a word of the backend server in, unless a newer one is known."""
    known = tables.server
    if known is not None and event.started_at_ms < known.started_at_ms:
        return Step(tables=tables)
    if known is None or _life_of(event) != known.life:
        return _begin(event, tables, now)
    if event.sequence < known.sequence:
        return Step(tables=tables)
    server = replace(
        known,
        sequence=event.sequence,
        address=event.address,
        draining=event.is_draining,
        capacity=event.capacity,
        labels=event.labels,
        leaves_in_s=event.leaves_in_s,
    )
    return Step(tables=replace(tables, server=server))


def _life_of(event: Announced) -> str:
    return f"{event.server_id}/{event.started_at_ms}"


def _begin(event: Announced, tables: KeeperTables, now: float) -> KeeperStep:
    step = end(tables, "another life was announced")
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
        # An earlier process of this agent may have asked for a lease until now.
        lease_sent_at=now,
    )
    begun = replace(
        step.tables,
        server=server,
        server_state=ServerState.UNKNOWN,
        service=event.service,
    )
    line = _line(begun, server.life, "announced", event.address)
    return Step(tables=begun, commands=(*step.commands, line))


def on_withdrawn(event: Withdrawn, tables: KeeperTables, now: float) -> KeeperStep:
    """End the life that says itself that it ends."""
    if tables.server is None or tables.server.server_id != event.server_id:
        return Step(tables=tables)
    return end(tables, "it withdrew")


def end(tables: KeeperTables, reason: str) -> KeeperStep:
    """Forget a life of which nothing runs any more, and tell the owner."""
    server = tables.server
    if server is None:
        return Step(tables=tables)
    fresh = replace(
        tables,
        server=None,
        server_state=ServerState.GONE,
        stalled_since=None,
        hold=Hold(),
        runs=Table.empty(indexes=tables.runs.index_of),
        ends=pmap(),
        ends_sent=0,
        ordered=False,
        synced=False,
        pacing=replace(tables.pacing, near_since=pmap()),
    )
    commands: list[Command] = [_line(tables, server.life, "ended", reason)]
    if tables.owner:
        ended = LifeEnded(epoch=tables.epoch, life=server.life)
        commands.append(Send(peer=tables.owner, item=ended))
    return Step(tables=fresh, commands=tuple(commands))


def judge(tables: KeeperTables, now: float) -> KeeperStep:
    """Say in which state the backend server is, by its words and its answers."""
    server, hold = tables.server, tables.hold
    if server is None:
        return _judge_absent(tables, now)
    failing_s = 0.0 if hold.failing_since is None else now - hold.failing_since
    if hold.absences >= ABSENCES and failing_s >= ABSENT_S:
        return end(tables, "nothing listens at its address")
    lapsed = now - server.lease_sent_at > tables.bounds.lapse_s
    if failing_s > SILENT_S and lapsed:
        return end(tables, "it was silent until its lease had lapsed")
    tables = _watch_stall(tables, now)
    stalled_since = tables.stalled_since
    stalls = stalled_since is not None and now - stalled_since >= STALLED_S
    state = _state(server, failing_s, stalls)
    if state is tables.server_state:
        return Step(tables=tables)
    line = _line(tables, server.life, state.value, f"no answer for {failing_s:.1f} s")
    return Step(tables=replace(tables, server_state=state), commands=(line,))


def _judge_absent(tables: KeeperTables, now: float) -> KeeperStep:
    """Give a life up that an earlier process of this agent may have kept alive."""
    if tables.server_state is not ServerState.UNKNOWN:
        return Step(tables=tables)
    if tables.began_at is None:
        return Step(tables=replace(tables, began_at=now))
    if now - tables.began_at <= tables.bounds.lapse_s:
        return Step(tables=tables)
    gone = replace(tables, server_state=ServerState.GONE)
    reason = "none has announced itself until every lease had lapsed"
    return Step(tables=gone, commands=(_line(gone, "", "gone", reason),))


def _watch_stall(tables: KeeperTables, now: float) -> KeeperTables:
    """Note since when every serving run is as slow as no neighbour makes it."""
    parts = [
        run.status.measure / run.order.target_ms
        for run in tables.runs.rows_where("phase", RunPhase.RUNNING.value)
        if run.order and run.status and run.order.target_ms > 0.0
    ]
    stalls = len(parts) >= STALLED_RUNS and min(parts) > STALLED_PART
    since = tables.stalled_since if tables.stalled_since is not None else now
    return replace(tables, stalled_since=since if stalls else None)


def _state(server: Server, failing_s: float, stalls: bool) -> ServerState:
    if failing_s > SILENT_S:
        return ServerState.SILENT
    if not server.listed:
        return ServerState.UNKNOWN
    if server.draining:
        return ServerState.DRAINING
    return ServerState.STALLED if stalls else ServerState.READY


def _line(tables: KeeperTables, life: str, state: str, reason: str) -> Decision:
    return edits.log(tables, "server.state", life, state, reason)
