"""Ejects backend servers that are much slower than their peers, and probes them.

An ejected server gets one request at a time, seldom enough that the probes do not
show in the 99th percentile. It is taken back when its latency is near that of its
peers again.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import replace

from bulrushpulley.entities.backend_server import BackendServer
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.router_tables import RouterTables, Service
from bulrushpulley.entities.step import Command, Step

CHECK_S = 0.25
STALE_S = 5.0
EJECT_FACTOR = 3.0
RETURN_FACTOR = 2.0
MIN_SERVERS = 3
MIN_SAMPLES = 5
MAX_EJECTED_SHARE = 0.34
PROBE_GAP_REQUESTS = 300
MIN_PROBE_GAP_S = 2.0
MAX_PROBE_GAP_S = 60.0


def run(tables: RouterTables, now: float) -> Step[RouterTables]:
    """Compare the servers of each service every `CHECK_S`."""
    if now < tables.eject_at:
        return Step(tables=tables)
    tables = replace(tables, eject_at=now + CHECK_S)
    commands: list[Command] = []
    for service in tables.services.rows():
        step = compare(tables, service, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def compare(tables: RouterTables, service: Service, now: float) -> Step[RouterTables]:
    """Compare the latencies of the servers of one service."""
    servers = tables.servers.rows_where("service", service.name)
    seen = [server for server in servers if server.samples >= MIN_SAMPLES]
    if len(seen) < 2:
        return Step(tables=tables)
    usual_s = statistics.median(server.latency_s for server in seen)
    tables = forget_old(tables, seen, usual_s, now)
    if len(seen) < MIN_SERVERS:
        return Step(tables=tables)
    return judge_all(tables, service, usual_s, now)


def forget_old(
    tables: RouterTables, servers: Iterable[BackendServer], usual_s: float, now: float
) -> RouterTables:
    """Move latencies that were not seen for long towards those of the peers.

    Otherwise a server that was slow once would not be chosen and never seen again.
    """
    for server in servers:
        idle = not server.ejected and server.observed_at + STALE_S < now
        if not idle or server.latency_s <= usual_s:
            continue
        latency_s = (server.latency_s + usual_s) / 2
        fresher = replace(server, latency_s=latency_s)
        servers_after = tables.servers.put(server.incarnation, fresher)
        tables = replace(tables, servers=servers_after)
    return tables


def judge_all(
    tables: RouterTables, service: Service, usual_s: float, now: float
) -> Step[RouterTables]:
    """Eject or take back servers of one service against the usual latency."""
    servers = tables.servers.rows_where("service", service.name)
    seen = [server for server in servers if server.samples >= MIN_SAMPLES]
    room = int(len(servers) * MAX_EJECTED_SHARE)
    ejected = sum(server.ejected for server in servers)
    commands: list[Command] = []
    for server in sorted(seen, key=lambda item: -item.latency_s):
        after = judged(server, usual_s, ejected < room, probe_gap_s(service), now)
        if after is server:
            continue
        ejected += after.ejected - server.ejected
        servers_after = tables.servers.put(server.incarnation, after)
        tables = replace(tables, servers=servers_after)
        if after.ejected != server.ejected:
            commands.append(decision(after, usual_s))
    return Step(tables=tables, commands=tuple(commands))


def judged(
    server: BackendServer, usual_s: float, room: bool, gap_s: float, now: float
) -> BackendServer:
    """Return the server ejected, taken back, with its next probe, or as it is."""
    if not server.ejected:
        slow = server.latency_s > EJECT_FACTOR * usual_s
        if not slow or not room:
            return server
        return replace(server, ejected=True, probe_at=now + gap_s)
    if server.latency_s <= RETURN_FACTOR * usual_s:
        return replace(server, ejected=False)
    if server.in_flight and server.probe_at <= now:
        return replace(server, probe_at=now + gap_s)
    return server


def probe_gap_s(service: Service) -> float:
    """Return the time between probes: that of `PROBE_GAP_REQUESTS` arrivals."""
    gap_s = PROBE_GAP_REQUESTS * service.gap_s
    return min(MAX_PROBE_GAP_S, max(MIN_PROBE_GAP_S, gap_s))


def decision(server: BackendServer, usual_s: float) -> Decision:
    """Return the log line of an ejection or a return."""
    reason = f"latency {server.latency_s:.3f} s, median of its peers {usual_s:.3f} s"
    return Decision(
        kind="route.eject" if server.ejected else "route.return",
        subject=server.service,
        chosen=server.agent,
        reason=reason,
    )
