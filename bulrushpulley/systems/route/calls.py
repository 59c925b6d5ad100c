"""Accepts callers' calls into the router, or refuses them as not run."""

from __future__ import annotations

from bulrushpulley.entities.calls import CallAbandoned, CallReceived, RefuseCall
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.request import Request, Waiting
from bulrushpulley.entities.router_tables import RouterTables, Service
from bulrushpulley.entities.step import Step
from bulrushpulley.errors import Code, Problem, Ran
from bulrushpulley.systems.route.events import apply
from bulrushpulley.systems.route.finish import SELF, enqueue, remove_request

MAX_CALL_BODY_BYTES = 1024 * 1024
MAX_PENDING_BODY_BYTES = 32 * 1024 * 1024
MAX_REQUEST_ID_LENGTH = 200
MAX_CALL_TIMEOUT_S = 60.0
RETRY_TOKENS_PER_CALL = 0.1
MAX_RETRY_TOKENS = 10.0
HEDGE_TOKENS_PER_CALL = 0.05
MAX_HEDGE_TOKENS = 5.0
INTERARRIVAL_WEIGHT = 0.05


def refusal(code: Code, detail: str, field: str = "") -> Problem:
    """Describe why a call was not accepted."""
    return Problem(
        code=code, step="route.accept", peer=SELF, detail=detail, field=field
    )


def is_request_id(text: str) -> bool:
    """Tell whether `text` can be used as the last part of a key."""
    printable = all("!" <= char <= "~" and char != "/" for char in text)
    return 0 < len(text) <= MAX_REQUEST_ID_LENGTH and printable


def validation_problem(call: CallReceived) -> Problem | None:
    """Return the reason why the call is invalid or late, if it is."""
    if len(call.body) > MAX_CALL_BODY_BYTES:
        return refusal(Code.TOO_LARGE, f"the body exceeds {MAX_CALL_BODY_BYTES} bytes")
    if not call.repeatable and not is_request_id(call.request_id):
        detail = "an unrepeatable request needs an id of printable ASCII without '/'"
        return refusal(Code.INVALID, detail, "request_id")
    if call.within_s <= 0:
        return refusal(Code.DEADLINE, "no time is left", "within_s")
    return None


def admission_problem(call: CallReceived, tables: RouterTables) -> Problem | None:
    """Return the reason why this router cannot accept a valid call now, if any."""
    if tables.leaving:
        return refusal(Code.LEAVING, "this entry is leaving; use another")
    if tables.body_bytes + len(call.body) > MAX_PENDING_BODY_BYTES:
        return refusal(Code.OVERLOADED, "too many bytes of calls are held")
    service = tables.service(call.service)
    if service.declared or tables.servers.count_where("service", call.service):
        return None
    if tables.revision:
        return refusal(Code.NOT_FOUND, f"no service {call.service}", "service")
    return refusal(Code.UNAVAILABLE, f"no backend server of {call.service} is known")


def with_arrival(service: Service, now: float) -> Service:
    """Return the service with an arrival added to its average and budgets."""
    interarrival_s = min(1.0, now - service.last_arrival_at)
    retry = service.retry_tokens + RETRY_TOKENS_PER_CALL
    hedge = service.hedge_tokens + HEDGE_TOKENS_PER_CALL
    return replace(
        service,
        last_arrival_at=now,
        interarrival_s=service.interarrival_s
        + INTERARRIVAL_WEIGHT * (interarrival_s - service.interarrival_s),
        retry_tokens=min(MAX_RETRY_TOKENS, retry),
        hedge_tokens=min(MAX_HEDGE_TOKENS, hedge),
    )


@apply.register
def _(event: CallReceived, tables: RouterTables, now: float) -> Step[RouterTables]:
    problem = validation_problem(event) or admission_problem(event, tables)
    if problem is not None:
        refused = RefuseCall(call_id=event.call_id, ran=Ran.NO, problem=problem)
        count = Count(name=f"route.refused.{problem.code.value}", label=event.service)
        return Step(tables=tables, commands=(refused, count))
    received_at = now if event.received_at is None else event.received_at
    deadline = received_at + min(event.within_s, MAX_CALL_TIMEOUT_S)
    request = Request(
        call_id=event.call_id,
        service=event.service,
        request_id=event.request_id,
        repeatable=event.repeatable,
        received_at=received_at,
        deadline=deadline,
        due_at=deadline,
        body=event.body,
        stage=Waiting(),
    )
    service = with_arrival(tables.service(event.service), now)
    tables = replace(tables, body_bytes=tables.body_bytes + len(event.body))
    return Step(tables=enqueue(tables, request, service))


@apply.register
def _(event: CallAbandoned, tables: RouterTables, now: float) -> Step[RouterTables]:
    request = tables.requests.get(event.call_id)
    if request is None:
        return Step(tables=tables)
    return remove_request(tables, request)


@apply.register
def _(event: Leave, tables: RouterTables, now: float) -> Step[RouterTables]:
    return Step(tables=replace(tables, leaving=True))
