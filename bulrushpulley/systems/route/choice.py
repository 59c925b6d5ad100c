"""Chooses the backend server for a request.

Servers of other regions are used only while no server of the router's own region has
a free slot. Among the servers considered, the one with the least expected wait is
chosen: its load weighted by its observed latency, so that a slow server gets few
requests even before it is ejected.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from bulrushpulley.entities.backend_server import BackendServer
from bulrushpulley.entities.router_tables import RouterTables, Service

ANNOUNCE_TTL_S = 3.0
MIN_CLAIM_ALLOWANCE = 2
LEAVING = "leaving"
# A server that other entries use too gets more requests beyond its slots, which wait in
# the agent's queue: the load of other entries is known only from announcements.
SHARED_SERVER_QUEUE_LIMIT = 4
# Without this request a slot would be unused between an answer and the next dispatch.
UNSHARED_SERVER_QUEUE_LIMIT = 1
MAX_PASSED_OVER = 4


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Candidate:
    """A backend server that may receive a request; the least one is the best."""

    other_region: bool
    cost_s: float
    tie_rank: int
    incarnation: str


def unusable_reason(server: BackendServer, now: float) -> str:
    """Return why a server must not receive any request; empty if it may."""
    if server.leaving:
        return LEAVING
    if server.last_announced_at + ANNOUNCE_TTL_S < now:
        return "silent"
    if not server.healthy:
        return "unhealthy"
    return ""


def claim_allowance(service: Service, slots: int) -> int:
    """Return how many claims may be pending beyond the free slots of a server.

    The server stays busy with as many as its slots finish in the time that a claim
    takes to commit.
    """
    if not service.service_s:
        return MIN_CLAIM_ALLOWANCE
    allowance = int(slots * service.claim_latency_s / service.service_s)
    return min(slots, max(MIN_CLAIM_ALLOWANCE, allowance))


def ineligible_reason(server: BackendServer, service: Service, now: float) -> str:
    """Return why a server cannot receive a request now; empty if it can."""
    unusable = unusable_reason(server, now)
    if unusable:
        return unusable
    if server.ejected and (server.in_flight or now < server.probe_at):
        return "ejected"
    queue_limit = (
        SHARED_SERVER_QUEUE_LIMIT if server.other_load else UNSHARED_SERVER_QUEUE_LIMIT
    )
    free = server.slots + queue_limit - server.load
    if (
        free <= 0
        or free + claim_allowance(service, server.slots) <= server.pending_claims
    ):
        return "full"
    return ""


def cost_s(server: BackendServer) -> float:
    """Return the expected wait of one more request; 0 for a probe that is due."""
    if server.ejected:
        return 0.0
    return (server.load + server.pending_claims + 1) * server.latency_s


def candidate(server: BackendServer, tables: RouterTables, tie_rank: int) -> Candidate:
    """Return a server as a candidate; `tie_rank` breaks ties."""
    return Candidate(
        other_region=server.region != tables.region,
        cost_s=cost_s(server),
        tie_rank=tie_rank,
        incarnation=server.incarnation,
    )


def candidates(tables: RouterTables, service: str, now: float) -> list[Candidate]:
    """Return a heap of the servers of a service that can receive a request now.

    The tie ranks rotate with `sequence`, so that equal servers take turns.
    """
    servers = tables.servers.rows_where("service", service)
    service_row = tables.service(service)
    count = len(servers)
    heap = [
        candidate(server, tables, (position - tables.sequence) % count)
        for position, server in enumerate(servers)
        if not ineligible_reason(server, service_row, now)
    ]
    heapq.heapify(heap)
    return heap


def passed_over(
    tables: RouterTables, service: str, chosen: str, now: float
) -> tuple[str, ...]:
    """Return the names of some servers that were not chosen, with the reasons."""
    found: list[str] = []
    service_row = tables.service(service)
    for key in tables.servers.keys_where("service", service):
        if key == chosen:
            continue
        server = tables.servers.by_key[key]
        reason = ineligible_reason(server, service_row, now) or f"load {server.load}"
        found.append(f"{server.agent}: {reason}")
        if len(found) == MAX_PASSED_OVER:
            break
    return tuple(found)


def pop_best(heap: list[Candidate], avoid: Iterable[str]) -> Candidate:
    """Pop the best candidate not in `avoid`, or the best of all if there is none."""
    avoided: list[Candidate] = []
    while heap and heap[0].incarnation in avoid:
        avoided.append(heapq.heappop(heap))
    best = heapq.heappop(heap) if heap else avoided.pop(0)
    for item in avoided:
        heapq.heappush(heap, item)
    return best
