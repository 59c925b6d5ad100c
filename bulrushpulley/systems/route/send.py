"""Dispatches a request to an agent."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.link import Dispatch, Send
from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.entities.request import Attempt, InFlight, Request
from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.route.choice import passed_over
from bulrushpulley.systems.route.finish import put_request


def dispatch(
    tables: RouterTables, request: Request, agent: str, now: float, *, reason: str
) -> Step[RouterTables]:
    """Send the request to `agent` as a new attempt, which occupies a slot there."""
    skipped = passed_over(tables, request.service, agent, now)
    tables, attempt_id = tables.with_new_id()
    attempt = Attempt(
        attempt_id=attempt_id, call_id=request.call_id, agent=agent, sent_at=now
    )
    server = tables.servers.by_key[agent]
    tables = replace(
        tables,
        attempts=tables.attempts.put(attempt_id, attempt),
        servers=tables.servers.put(agent, server.with_request_added()),
    )
    sent = replace(
        request,
        stage=InFlight(),
        due_at=due_after_dispatch(tables, request, now),
        attempts=(*request.attempts, attempt_id),
    )
    item = Dispatch(
        attempt_id=attempt_id,
        request_id=request.request_id,
        service=request.service,
        repeatable=request.repeatable,
        remaining_s=request.deadline - now,
        body=request.body,
    )
    decision = Decision(
        kind="route.dispatch",
        subject=request.request_id or request.call_id,
        chosen=server.agent,
        reason=reason,
        passed_over=skipped,
        revision=tables.revision,
    )
    count = Count(name="route.dispatched", label=request.service)
    commands = (Send(peer=agent, item=item), decision, count)
    return Step(tables=put_request(tables, sent), commands=commands)


def due_after_dispatch(tables: RouterTables, request: Request, now: float) -> float:
    """Return when a dispatched request is due: to be hedged, or at its deadline."""
    latency_p95_s = tables.service(request.service).latency_p95_s
    if not request.repeatable or request.hedged or not latency_p95_s:
        return request.deadline
    return min(request.deadline, now + latency_p95_s)
