"""Sends waiting requests to backend servers with free slots."""

from __future__ import annotations

import heapq

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.request import Request
from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.route.choice import (
    Candidate,
    candidate,
    candidates,
    ineligible_reason,
    pop_best,
)
from bulrushpulley.systems.route.claims import claim
from bulrushpulley.systems.route.queue import next_waiting
from bulrushpulley.systems.route.send import dispatch


def run(tables: RouterTables, now: float) -> Step[RouterTables]:
    """Dispatch as many waiting requests of each busy service as free slots allow."""
    commands: list[Command] = []
    for name in sorted(tables.busy_services):
        step = dispatch_service(tables, name, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def dispatch_service(tables: RouterTables, name: str, now: float) -> Step[RouterTables]:
    """Dispatch the waiting requests of one service while a server has a slot."""
    heap = candidates(tables, name, now)
    commands: list[Command] = []
    while heap:
        tables, request = next_waiting(tables, name, now)
        if request is None:
            break
        best = pop_best(heap, request.tried_agents)
        step = start(tables, request, best.incarnation, now)
        tables = step.tables
        commands.extend(step.commands)
        put_back(heap, best, tables, now)
    if not tables.service(name).waiting:
        tables = replace(tables, busy_services=tables.busy_services.discard(name))
    return Step(tables=tables, commands=tuple(commands))


def put_back(
    heap: list[Candidate], used: Candidate, tables: RouterTables, now: float
) -> None:
    """Put a server that still has free slots back into the heap."""
    server = tables.servers.by_key[used.incarnation]
    if not ineligible_reason(server, tables.service(server.service), now):
        heapq.heappush(heap, candidate(server, tables, used.tie_rank))


def start(
    tables: RouterTables, request: Request, agent: str, now: float
) -> Step[RouterTables]:
    """Dispatch a waiting request, or claim it first if it is unrepeatable."""
    if request.repeatable:
        return dispatch(tables, request, agent, now, reason="least expected wait")
    return claim(tables, request, agent, now)
