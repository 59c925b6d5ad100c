"""Asks agents for the outcomes of requests that they may already have run."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.link import Recall, Send
from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.entities.request import (
    Attempt,
    InFlight,
    Recalling,
    Request,
    Stage,
)
from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.entities.step import Step
from bulrushpulley.errors import Code, Problem, Ran
from bulrushpulley.systems.route.finish import (
    leave_stage,
    put_request,
    retry,
    without_attempt,
)

LINK_WAIT_TIMEOUT_S = 2.0


def recall(
    tables: RouterTables, request: Request, agent: str, now: float
) -> Step[RouterTables]:
    """Ask `agent` for the outcome, now or once it is linked again."""
    tables = leave_stage(request.stage, request, tables)
    if agent in tables.links:
        return send_recall(tables, request, agent, now)
    link_deadline = min(request.deadline, now + LINK_WAIT_TIMEOUT_S)
    stage = Recalling(agent=agent, link_deadline=link_deadline)
    waiting = replace(request, stage=stage, due_at=link_deadline)
    return Step(tables=put_request(tables, waiting))


def send_recall(
    tables: RouterTables, request: Request, agent: str, now: float
) -> Step[RouterTables]:
    """Send the agent a recall over its current link."""
    tables, attempt_id = tables.with_new_id()
    attempt = Attempt(
        attempt_id=attempt_id,
        call_id=request.call_id,
        agent=agent,
        sent_at=now,
        recall=True,
    )
    recalling = replace(
        request,
        stage=Recalling(agent=agent),
        due_at=request.deadline,
        attempts=(*request.attempts, attempt_id),
    )
    tables = replace(tables, attempts=tables.attempts.put(attempt_id, attempt))
    item = Recall(
        attempt_id=attempt_id,
        request_id=request.request_id,
        service=request.service,
        remaining_s=request.deadline - now,
    )
    decision = Decision(
        kind="route.recall",
        subject=request.request_id,
        chosen=agent,
        reason="the claim of the request id names this agent",
    )
    commands = (Send(peer=agent, item=item), decision)
    return Step(tables=put_request(tables, recalling), commands=commands)


def unlinked_problem(agent: str) -> Problem:
    """Describe a request whose agent cannot be asked for the outcome."""
    return Problem(
        code=Code.OUTCOME_UNKNOWN,
        step="route.recall",
        peer=agent,
        detail="the agent that may have run the request is not linked",
    )


def handle_link_lost(
    tables: RouterTables, attempt: Attempt, now: float
) -> Step[RouterTables]:
    """Continue the request of an attempt whose answer can no longer arrive."""
    request = tables.requests.get(attempt.call_id)
    if request is None:
        return Step(tables=tables)
    updated = without_attempt(request, attempt.attempt_id)
    tables = put_request(tables, updated)
    step = handle_attempt_lost(updated.stage, updated, attempt, tables, now)
    count = Count(name="route.attempts_lost", label=request.service)
    return Step(tables=step.tables, commands=(*step.commands, count))


@singledispatch
def handle_attempt_lost(
    stage: Stage, request: Request, attempt: Attempt, tables: RouterTables, now: float
) -> Step[RouterTables]:
    """Continue a request in `stage` after an attempt was lost with its link."""
    return Step(tables=tables)


@handle_attempt_lost.register
def _(
    stage: InFlight,
    request: Request,
    attempt: Attempt,
    tables: RouterTables,
    now: float,
) -> Step[RouterTables]:
    if not request.repeatable:
        return recall(tables, request, attempt.agent, now)
    updated = replace(
        request, may_have_run=True, tried_agents=(*request.tried_agents, attempt.agent)
    )
    if updated.attempts:
        return Step(tables=put_request(tables, updated))
    problem = unlinked_problem(attempt.agent)
    return retry(tables, updated, ran=Ran.UNKNOWN, problem=problem, now=now)


@handle_attempt_lost.register
def _(
    stage: Recalling,
    request: Request,
    attempt: Attempt,
    tables: RouterTables,
    now: float,
) -> Step[RouterTables]:
    return recall(tables, request, attempt.agent, now)
