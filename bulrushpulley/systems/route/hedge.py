"""Sends a second attempt of a repeatable request when its first one is slow."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.request import Request
from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.route.choice import candidates, pop_best
from bulrushpulley.systems.route.finish import put_request, put_service
from bulrushpulley.systems.route.send import dispatch


def hedge(tables: RouterTables, request: Request, now: float) -> Step[RouterTables]:
    """Try another server of the own region if the budget and the free slots allow it.

    No hedge is sent while calls wait for a slot. The time waited so far is taken as a
    latency sample of the servers tried.
    """
    tables = raise_latencies(tables, request, now)
    request = replace(request, hedged=True, due_at=request.deadline)
    tables = put_request(tables, request)
    service = tables.service(request.service)
    attempted = {tables.attempts.by_key[item].agent for item in request.attempts}
    heap = candidates(tables, service.name, now)
    if not heap or service.hedge_tokens < 1.0 or service.waiting:
        return Step(tables=tables)
    best = pop_best(heap, attempted)
    if best.incarnation in attempted or best.other_region:
        return Step(tables=tables)
    spent = replace(service, hedge_tokens=service.hedge_tokens - 1.0)
    step = dispatch(
        put_service(tables, spent), request, best.incarnation, now, reason="hedge"
    )
    count = Count(name="route.hedges", label=request.service)
    return Step(tables=step.tables, commands=(*step.commands, count))


def raise_latencies(tables: RouterTables, request: Request, now: float) -> RouterTables:
    """Add the time that attempts have taken so far as lower bounds of the latency."""
    for attempt_id in request.attempts:
        attempt = tables.attempts.by_key[attempt_id]
        server = tables.servers.get(attempt.agent)
        waited_s = now - attempt.sent_at
        if server is not None and waited_s > server.latency_s:
            servers = tables.servers.put(
                attempt.agent, server.with_latency_sample(waited_s, now)
            )
            tables = replace(tables, servers=servers)
    return tables
