"""Matches the answers of agents to the attempts that wait for them.

An answer is matched by its attempt id and by the agent that the attempt was sent to,
never by order. An answer that no attempt waits for is dropped and counted.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.link import Answered, LinkEvent, Refused
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.request import (
    Attempt,
    InFlight,
    Recalling,
    Request,
    Stage,
)
from bulrushpulley.entities.router_tables import RouterTables, Service
from bulrushpulley.entities.step import Step
from bulrushpulley.errors import Code, Problem, Ran
from bulrushpulley.systems.route.choice import SHARED_SERVER_QUEUE_LIMIT
from bulrushpulley.systems.route.events import apply
from bulrushpulley.systems.route.finish import (
    answer,
    drop_attempt,
    put_request,
    put_service,
    refuse,
    retry,
    without_attempt,
)

SERVICE_RUN_TIME_WEIGHT = 0.05
LATENCY_QUANTILE = 0.95
QUANTILE_STEP_FRACTION = 0.05


def match_attempt(
    tables: RouterTables, event: LinkEvent, attempt_id: str
) -> tuple[Attempt, Request] | None:
    """Return the attempt and the request that wait for an answer, if there are any."""
    attempt = tables.attempts.get(attempt_id)
    if attempt is None or attempt.agent != event.peer:
        return None
    request = tables.requests.get(attempt.call_id)
    return None if request is None else (attempt, request)


def drop_late_answer(tables: RouterTables) -> Step[RouterTables]:
    """Count an answer that no attempt waits for, and drop it."""
    return Step(tables=tables, commands=(Count(name="route.late_answers"),))


@apply.register
def _(event: Answered, tables: RouterTables, now: float) -> Step[RouterTables]:
    found = match_attempt(tables, event, event.attempt_id)
    if found is None:
        return drop_late_answer(tables)
    attempt, request = found
    latency_s = now - attempt.sent_at
    tables = drop_attempt(tables, event.attempt_id, answered_at=now)
    if not attempt.recall:
        service = tables.service(request.service)
        tables = put_service(tables, with_run_sample(service, event.took_s, latency_s))
    updated = without_attempt(request, event.attempt_id)
    return answer(tables, updated, status=event.status, body=event.body, now=now)


def with_run_sample(service: Service, took_s: float, latency_s: float) -> Service:
    """Return the service with a run added to its estimates.

    The percentile estimate moves up by `LATENCY_QUANTILE` of a step for a latency
    above it, and down by the rest of the step for one below it. It converges to the
    value that this fraction of the latencies stay below.
    """
    if not service.service_s:
        return replace(service, service_s=took_s, latency_p95_s=2 * latency_s)
    step_s = QUANTILE_STEP_FRACTION * max(service.service_s, service.latency_p95_s / 2)
    steps = (
        LATENCY_QUANTILE
        if latency_s > service.latency_p95_s
        else LATENCY_QUANTILE - 1.0
    )
    return replace(
        service,
        service_s=service.service_s
        + SERVICE_RUN_TIME_WEIGHT * (took_s - service.service_s),
        latency_p95_s=max(service.latency_p95_s + step_s * steps, 0.0),
    )


@apply.register
def _(event: Refused, tables: RouterTables, now: float) -> Step[RouterTables]:
    found = match_attempt(tables, event, event.attempt_id)
    if found is None:
        return drop_late_answer(tables)
    attempt, request = found
    tables = drop_attempt(tables, event.attempt_id)
    if event.problem.code is Code.OVERLOADED:
        tables = mark_full(tables, attempt.agent)
    updated = replace(
        without_attempt(request, event.attempt_id),
        tried_agents=(*request.tried_agents, attempt.agent),
    )
    tables = put_request(tables, updated)
    return handle_refused(updated.stage, updated, event, tables, now)


def mark_full(tables: RouterTables, agent: str) -> RouterTables:
    """Treat an agent that had no free slot as full until its next announcement."""
    server = tables.servers.get(agent)
    if server is None:
        return tables
    other_load = server.slots + SHARED_SERVER_QUEUE_LIMIT - server.in_flight
    marked = replace(server, other_load=max(server.other_load, other_load))
    return replace(tables, servers=tables.servers.put(agent, marked))


@singledispatch
def handle_refused(
    stage: Stage, request: Request, event: Refused, tables: RouterTables, now: float
) -> Step[RouterTables]:
    """Continue a request in `stage` after an agent refused an attempt."""
    return Step(tables=tables)


@handle_refused.register
def _(
    stage: InFlight,
    request: Request,
    event: Refused,
    tables: RouterTables,
    now: float,
) -> Step[RouterTables]:
    ran, problem = event.ran, event.problem
    if ran is not Ran.NO:
        request = replace(request, may_have_run=True)
    if request.attempts:
        return Step(tables=put_request(tables, request))
    if is_barred_twice(request, problem):
        return refuse(tables, request, ran=ran, problem=problem, now=now)
    if ran is Ran.NO or request.repeatable:
        return retry(tables, request, ran=ran, problem=problem, now=now)
    return refuse(tables, request, ran=ran, problem=problem, now=now)


def is_barred_twice(request: Request, problem: Problem) -> bool:
    """Tell whether an agent that barred the id was tried again.

    This happens if there is no other agent to try.
    """
    tried_again = request.tried_agents.count(request.tried_agents[-1]) > 1
    return problem.code is Code.NOT_RUN and tried_again


@handle_refused.register
def _(
    stage: Recalling,
    request: Request,
    event: Refused,
    tables: RouterTables,
    now: float,
) -> Step[RouterTables]:
    ran, problem = event.ran, event.problem
    if ran is Ran.NO:
        return retry(tables, request, ran=ran, problem=problem, now=now)
    return refuse(tables, request, ran=ran, problem=problem, now=now)
