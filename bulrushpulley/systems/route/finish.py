"""Ends, queues and retries requests; the router's other systems use these functions."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.calls import AnswerCall, RefuseCall
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.link import Abandon, Send
from bulrushpulley.entities.observe import Count, Observe
from bulrushpulley.entities.request import Claiming, Request, Stage, Waiting
from bulrushpulley.entities.router_tables import ClaimDeletion, RouterTables, Service
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.errors import Code, Problem, Ran

SELF = "self"
MAX_MARGIN_FRACTION = 0.5
FREE_RETRY_CODES = frozenset({Code.OVERLOADED, Code.LEAVING})


def claim_key(service: str, request_id: str) -> str:
    """Return the key of the claim row of an unrepeatable request."""
    return f"claim/{service}/{request_id}"


def put_service(tables: RouterTables, service: Service) -> RouterTables:
    """Return the tables with a service."""
    return replace(tables, services=tables.services.put(service.name, service))


def put_request(tables: RouterTables, request: Request) -> RouterTables:
    """Return the tables with a request."""
    return replace(tables, requests=tables.requests.put(request.call_id, request))


def dispatch_margin_s(request: Request, service: Service) -> float:
    """Return how long before its deadline a request must be dispatched.

    This is the average run time, but at most a fraction of the request's time, so
    that a service that was slow once is still tried.
    """
    total_s = request.deadline - request.received_at
    return min(service.service_s, MAX_MARGIN_FRACTION * total_s)


def enqueue(
    tables: RouterTables, request: Request, service: Service, *, at_front: bool = False
) -> RouterTables:
    """Queue a request, and store `service` as the row of its service.

    The request goes to the front of the queue if `at_front`, as for a retry. It is due
    when it could no longer be answered in time.
    """
    queue = service.queue
    queue = (
        queue.appendleft(request.call_id) if at_front else queue.append(request.call_id)
    )
    service = replace(service, queue=queue, waiting=service.waiting + 1)
    due_at = request.deadline - dispatch_margin_s(request, service)
    waiting = replace(request, stage=Waiting(), due_at=due_at)
    return replace(
        tables,
        services=tables.services.put(service.name, service),
        requests=tables.requests.put(request.call_id, waiting),
        busy_services=tables.busy_services.set(service.name, None),
    )


def decrement_waiting(tables: RouterTables, service: Service) -> RouterTables:
    """Count one waiting call fewer; its id may stay in the queue."""
    service = replace(service, waiting=max(0, service.waiting - 1))
    return put_service(tables, service)


def drop_attempt(
    tables: RouterTables, attempt_id: str, answered_at: float | None = None
) -> RouterTables:
    """Remove an attempt and free its slot.

    The latency of an answered attempt is added to the average of its server.
    """
    attempt = tables.attempts.get(attempt_id)
    if attempt is None:
        return tables
    attempts = tables.attempts.drop(attempt_id)
    server = tables.servers.get(attempt.agent)
    if server is None or attempt.recall:
        return replace(tables, attempts=attempts)
    after = server.with_request_removed()
    if answered_at is not None:
        after = after.with_latency_sample(answered_at - attempt.sent_at, answered_at)
    servers = tables.servers.put(attempt.agent, after)
    return replace(tables, attempts=attempts, servers=servers)


def without_attempt(request: Request, attempt_id: str) -> Request:
    """Return the request without one of its attempts."""
    remaining = tuple(item for item in request.attempts if item != attempt_id)
    return replace(request, attempts=remaining)


@singledispatch
def leave_stage(stage: Stage, request: Request, tables: RouterTables) -> RouterTables:
    """Remove a request that leaves `stage` from the counters that include it."""
    return tables


@leave_stage.register
def _(stage: Waiting, request: Request, tables: RouterTables) -> RouterTables:
    return decrement_waiting(tables, tables.service(request.service))


@leave_stage.register
def _(stage: Claiming, request: Request, tables: RouterTables) -> RouterTables:
    server = tables.servers.get(stage.agent)
    if server is None:
        return tables
    updated = replace(server, pending_claims=max(0, server.pending_claims - 1))
    return replace(tables, servers=tables.servers.put(stage.agent, updated))


def remove_request(tables: RouterTables, request: Request) -> Step[RouterTables]:
    """Remove a request and abandon its attempts that are in flight."""
    tables = leave_stage(request.stage, request, tables)
    commands: list[Command] = []
    for attempt_id in request.attempts:
        attempt = tables.attempts.get(attempt_id)
        tables = drop_attempt(tables, attempt_id)
        if attempt is not None:
            item = Abandon(attempt_id=attempt_id)
            commands.append(Send(peer=attempt.agent, item=item))
    tables = replace(
        tables,
        requests=tables.requests.drop(request.call_id),
        body_bytes=tables.body_bytes - len(request.body),
    )
    return Step(tables=tables, commands=tuple(commands))


def answer(
    tables: RouterTables, request: Request, *, status: int, body: bytes, now: float
) -> Step[RouterTables]:
    """End a request with the complete answer for its caller."""
    step = remove_request(tables, request)
    commands = (
        AnswerCall(call_id=request.call_id, status=status, body=body),
        Count(name="route.answered", label=request.service),
        Observe(
            name="route.latency",
            seconds=now - request.received_at,
            label=request.service,
        ),
    )
    return Step(tables=step.tables, commands=step.commands + commands)


def refuse(
    tables: RouterTables, request: Request, *, ran: Ran, problem: Problem, now: float
) -> Step[RouterTables]:
    """Refuse a call, as "not run" only if no attempt may have run.

    A refusal as not run also deletes the claim, so that a repeated call may run.
    """
    certainly_not_run = ran is Ran.NO and not request.may_have_run
    if ran is Ran.NO and request.may_have_run:
        ran = Ran.UNKNOWN
        problem = replace(problem, code=Code.OUTCOME_UNKNOWN)
    step = remove_request(tables, request)
    tables = step.tables
    if certainly_not_run and request.claim_version:
        tables = delete_refused_claim(tables, request, now)
    commands = (
        RefuseCall(call_id=request.call_id, ran=ran, problem=problem),
        Count(name=f"route.refused.{problem.code.value}", label=request.service),
    )
    return Step(tables=tables, commands=step.commands + commands)


def delete_refused_claim(
    tables: RouterTables, request: Request, now: float
) -> RouterTables:
    """Schedule the deletion of a claim that its agent has refused permanently."""
    key = claim_key(request.service, request.request_id)
    claim = ClaimDeletion(key=key, version=request.claim_version, delete_at=now)
    return replace(tables, claim_deletions=tables.claim_deletions.put(key, claim))


def retry(
    tables: RouterTables, request: Request, *, ran: Ran, problem: Problem, now: float
) -> Step[RouterTables]:
    """Queue a request again if the retry budget and its deadline allow, or refuse it.

    The calling function must ensure that a repeat is safe: the last attempt certainly
    did not run, or the request is repeatable. A retry costs no token if the agent
    refused because it had no free slot or is leaving, as that attempt put no load on
    the backend server.
    """
    service = tables.service(request.service)
    too_late = now + dispatch_margin_s(request, service) >= request.deadline
    cost = 0.0 if problem.code in FREE_RETRY_CODES else 1.0
    if too_late or service.retry_tokens < cost:
        return refuse(tables, request, ran=ran, problem=problem, now=now)
    spent = replace(service, retry_tokens=service.retry_tokens - cost)
    tables = leave_stage(request.stage, request, tables)
    updated = replace(request, hedged=False)
    tables = enqueue(tables, updated, spent, at_front=True)
    count = Count(name="route.retries", label=request.service)
    return Step(tables=tables, commands=(count,))


def deadline_problem(peer: str = SELF) -> Problem:
    """Describe a call whose deadline has passed."""
    return Problem(
        code=Code.DEADLINE, step="route.wait", peer=peer, detail="the deadline passed"
    )
