"""Ejects backend servers that are much slower than their peers, and probes them.

An ejected server receives one request at a time, seldom enough that these probes do
not affect the 99th percentile of the latency. It is returned to service when its
latency is close to that of its peers again.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from bulrushpulley.entities.backend_server import BackendServer
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.router_tables import RouterTables, Service
from bulrushpulley.entities.step import Command, Step

EJECTION_CHECK_INTERVAL_S = 0.25
MAX_LATENCY_AGE_S = 5.0
EJECTION_LATENCY_FACTOR = 3.0
RETURN_LATENCY_FACTOR = 2.0
MIN_SERVERS_TO_EJECT = 3
MIN_LATENCY_SAMPLES = 5
MAX_EJECTED_FRACTION = 0.34
PROBE_INTERVAL_REQUESTS = 300
MIN_PROBE_INTERVAL_S = 2.0
MAX_PROBE_INTERVAL_S = 60.0


def run(tables: RouterTables, now: float) -> Step[RouterTables]:
    """Compare the servers of each service every `EJECTION_CHECK_INTERVAL_S`."""
    if now < tables.ejection_check_at:
        return Step(tables=tables)
    tables = replace(tables, ejection_check_at=now + EJECTION_CHECK_INTERVAL_S)
    commands: list[Command] = []
    for service in tables.services.rows():
        step = compare_latencies(tables, service, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def compare_latencies(
    tables: RouterTables, service: Service, now: float
) -> Step[RouterTables]:
    """Compare the servers of one service with their median latency."""
    servers = tables.servers.rows_where("service", service.name)
    measured = [server for server in servers if server.samples >= MIN_LATENCY_SAMPLES]
    if len(measured) < 2:
        return Step(tables=tables)
    median_s = statistics.median(server.latency_s for server in measured)
    tables = decay_stale_latencies(tables, measured, median_s, now)
    if len(measured) < MIN_SERVERS_TO_EJECT:
        return Step(tables=tables)
    return update_ejections(tables, service, median_s, now)


def decay_stale_latencies(
    tables: RouterTables, servers: Iterable[BackendServer], median_s: float, now: float
) -> RouterTables:
    """Move stale latencies above the median towards it.

    Otherwise a server that was slow once would never be chosen, and its latency
    would never be measured again.
    """
    for server in servers:
        stale = not server.ejected and server.observed_at + MAX_LATENCY_AGE_S < now
        if not stale or server.latency_s <= median_s:
            continue
        latency_s = (server.latency_s + median_s) / 2
        decayed = replace(server, latency_s=latency_s)
        servers_after = tables.servers.put(server.incarnation, decayed)
        tables = replace(tables, servers=servers_after)
    return tables


def update_ejections(
    tables: RouterTables, service: Service, median_s: float, now: float
) -> Step[RouterTables]:
    """Eject servers of one service or return them to service by the median latency."""
    servers = tables.servers.rows_where("service", service.name)
    measured = [server for server in servers if server.samples >= MIN_LATENCY_SAMPLES]
    max_ejected = int(len(servers) * MAX_EJECTED_FRACTION)
    ejected = sum(server.ejected for server in servers)
    commands: list[Command] = []
    for server in sorted(measured, key=lambda item: -item.latency_s):
        after = with_ejection_updated(
            server, median_s, ejected < max_ejected, probe_interval_s(service), now
        )
        if after is server:
            continue
        ejected += after.ejected - server.ejected
        servers_after = tables.servers.put(server.incarnation, after)
        tables = replace(tables, servers=servers_after)
        if after.ejected != server.ejected:
            commands.append(decision(after, median_s))
    return Step(tables=tables, commands=tuple(commands))


def with_ejection_updated(
    server: BackendServer,
    median_s: float,
    may_eject: bool,
    interval_s: float,
    now: float,
) -> BackendServer:
    """Return the server with its ejection and next probe updated, or unchanged."""
    if not server.ejected:
        slow = server.latency_s > EJECTION_LATENCY_FACTOR * median_s
        if not slow or not may_eject:
            return server
        return replace(server, ejected=True, probe_at=now + interval_s)
    if server.latency_s <= RETURN_LATENCY_FACTOR * median_s:
        return replace(server, ejected=False)
    if server.in_flight and server.probe_at <= now:
        return replace(server, probe_at=now + interval_s)
    return server


def probe_interval_s(service: Service) -> float:
    """Return the time between probes: that of `PROBE_INTERVAL_REQUESTS` arrivals."""
    interval_s = PROBE_INTERVAL_REQUESTS * service.interarrival_s
    return min(MAX_PROBE_INTERVAL_S, max(MIN_PROBE_INTERVAL_S, interval_s))


def decision(server: BackendServer, median_s: float) -> Decision:
    """Return the log line of an ejection or a return to service."""
    reason = f"latency {server.latency_s:.3f} s, median of its peers {median_s:.3f} s"
    return Decision(
        kind="route.eject" if server.ejected else "route.return",
        subject=server.service,
        chosen=server.agent,
        reason=reason,
    )
