"""Requests advice for the steps that need it, one call at a time.

The service handles one call per process at a time. Requests are therefore made one
by one, for the most urgent step first, so that no call queues behind another. Steps
whose requests fail, that have no server left to ask about, or that have room on no host
give way: otherwise they would keep the others from their first advice.
"""

from __future__ import annotations

import heapq
from collections.abc import Container, Mapping
from dataclasses import dataclass
from functools import partial
from itertools import islice
from operator import attrgetter

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.advice import (
    Advice,
    AdviceFailed,
    AdviceReceived,
    AdviceTerms,
    RequestAdvice,
)
from bulrushpulley.entities.jobs.host import Host, server_of_incarnation
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import job_id_of, step_key
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.scheduling import edits

# The platform expects about 30 servers per step, and accepts 100 per call. A step that
# may run on few servers takes fewer calls if more are asked about at once.
SERVERS_PER_FIRST_REQUEST = 30
MAX_SERVERS_PER_REQUEST = 100
# Bounds the time of a pass while many steps wait. It applies to the steps that have no
# server left to ask about, and to the others.
MAX_EXAMINED_STEPS = 10
MAX_STEPS_EXAMINED_FOR_ROOM = 200
# The platform does not change what it allows to a step. Asking again bounds the wait if
# an answer was wrong, such as one about a server that had just begun.
DENIAL_VALIDITY_S = 10.0
ADVICE_TIMEOUT_MARGIN_S = 1.0
# Operators may name any span, but no call can wait for centuries, and one that waits
# keeps all other steps from being asked about.
MAX_ADVICE_TIMEOUT_S = 60.0
ADVICE_RETRY_DELAY_S = 0.3
# Tickets with less validity left would expire before the task has started.
MIN_TICKET_VALIDITY_S = 0.7


def advice_terms(tables: SchedulerTables, job: Job) -> AdviceTerms | None:
    """Return the advice terms of a job's queue; None if it needs no advice."""
    queue = tables.operator_settings.queue(job.row.queue)
    return queue.advice if queue is not None else None


def tickets(
    tables: SchedulerTables, job: Job, key: str, now: float
) -> Mapping[str, str] | None:
    """Return the tickets for a step by backend server; None if none are needed."""
    if advice_terms(tables, job) is None:
        return None
    advice = tables.advice.get(key)
    return _usable_tickets(advice, now) if advice is not None else {}


def server_of(host: Host) -> str:
    """Return the id of the backend server on a host."""
    return server_of_incarnation(host.life)


@dataclass(frozen=True, kw_only=True, slots=True)
class DueStep:
    """A step with waiting tasks, and its advice, that may be asked about now."""

    job: Job
    step: StepSpec
    advice: Advice


def request_advice(
    tables: SchedulerTables,
    jobs: list[Job],
    hosts: list[Host],
    now: float,
    quarantined: Container[str] = frozenset(),
) -> SchedulerStep:
    """Request advice for the first step of `jobs` that needs it.

    The tasks of a step that still wait after a placement pass fit on none of the hosts
    that it has tickets for. So the hosts with most room are asked about that it has
    neither tickets nor denials for, until all hosts were, those in quarantine last.
    """
    if any(advice.in_flight for advice in tables.advice.rows()):
        return Step(tables=tables)
    by_free_processors = sorted(
        hosts, key=lambda host: (host.name in quarantined, -host.free.processors_m)
    )
    due_steps = _due_steps(tables, jobs, now)
    for due in _steps_in_turn(tables, due_steps, by_free_processors):
        server_ids = _servers_to_ask(tables, due, by_free_processors, now)
        if server_ids:
            return _send_request(tables, due.job, due.advice, server_ids, now)
        retry_at = now + ADVICE_RETRY_DELAY_S
        exhausted = replace(due.advice, retry_at=retry_at, exhausted_at=now)
        tables = _put(tables, exhausted)
    return Step(tables=tables)


def _due_steps(tables: SchedulerTables, jobs: list[Job], now: float) -> list[DueStep]:
    """Return the steps that may be asked about now, in the order of `jobs`."""
    due: list[DueStep] = []
    for job in jobs:
        if advice_terms(tables, job) is None:
            continue
        for key, step in _waiting_steps(tables, job).items():
            known = tables.advice.get(key) or Advice(step_key=key, ticket_by_server={})
            if now >= known.retry_at:
                due.append(DueStep(job=job, step=step, advice=known))
    return due


def _steps_in_turn(
    tables: SchedulerTables, due: list[DueStep], hosts: list[Host]
) -> list[DueStep]:
    """Return the steps to examine in this pass, in the order in which to ask.

    Those that give way come last, the one that failed longest ago first. Of those with
    no server left to ask about, the ones are examined that were longest ago, so that
    each has its turn. Steps that have room on none of `hosts` come after the others.
    """
    exhausted = [each for each in due if each.advice.exhausted_at]
    others = [each for each in due if not each.advice.exhausted_at]
    others.sort(key=partial(_yielding_since, tables))
    has_room_by_shape: dict[Shape, bool] = {}

    def has_room(each: DueStep) -> bool:
        shape = _shape_of(tables, each)
        if shape not in has_room_by_shape:
            has_room_by_shape[shape] = _has_room(shape, hosts)
        return has_room_by_shape[shape]

    examined = others[:MAX_STEPS_EXAMINED_FOR_ROOM]
    with_room = list(islice(filter(has_room, examined), MAX_EXAMINED_STEPS))
    in_turn = {
        each.advice.step_key
        for each in (
            *(with_room or others[:MAX_EXAMINED_STEPS]),
            *heapq.nsmallest(
                MAX_EXAMINED_STEPS, exhausted, key=attrgetter("advice.exhausted_at")
            ),
        )
    }
    chosen = [each for each in due if each.advice.step_key in in_turn]
    return sorted(chosen, key=partial(_yielding_since, tables))


@dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """What many steps require alike of a host; they have room on the same hosts."""

    service: str
    label: str
    need: Resources


def _shape_of(tables: SchedulerTables, due: DueStep) -> Shape:
    return Shape(
        service=edits.service_of(tables, due.job),
        label=due.step.needs_label,
        need=due.step.committed,
    )


def _has_room(shape: Shape, hosts: list[Host]) -> bool:
    return any(
        _is_suitable(shape, host) and shape.need.fits(host.free) for host in hosts
    )


def _is_suitable(shape: Shape, host: Host) -> bool:
    has_label = not shape.label or shape.label in host.labels
    return host.service == shape.service and has_label


def _yielding_since(tables: SchedulerTables, due: DueStep) -> float:
    """Return since when a step gives way to others because it failed, 0 if it doesn't.

    After a single failure it gives way only until another request is answered, so that
    a lost answer does not put an urgent step behind all others.
    """
    failures = due.advice.failures
    yields = failures > 1 or (failures == 1 and tables.advice_failing)
    return due.advice.failed_at if yields else 0.0


def _waiting_steps(tables: SchedulerTables, job: Job) -> dict[str, StepSpec]:
    """Return the steps of a job with waiting tasks, by key."""
    step_by_key: dict[str, StepSpec] = {}
    for task in tables.tasks.rows_where("waiting", job.job_id):
        key = step_key(task.job_id, task.occurrence, task.step)
        step_by_key.setdefault(key, job.step(task.step))
    return step_by_key


def _servers_to_ask(
    tables: SchedulerTables, due: DueStep, hosts: list[Host], now: float
) -> tuple[str, ...]:
    """Return the servers to ask about that could run a step, in the order of hosts.

    A step that has a ticket for an open host needs others only where it has room.
    """
    step, known = due.step, due.advice
    shape = _shape_of(tables, due)
    suitable = [host for host in hosts if _is_suitable(shape, host)]
    usable = _usable_tickets(known, now)
    is_advised = any(server_of(host) in usable for host in suitable)
    limit = MAX_SERVERS_PER_REQUEST
    if not known.valid_until_by_server:
        limit = SERVERS_PER_FIRST_REQUEST
    unknown = (
        server_of(host)
        for host in suitable
        if not _is_answered(known, server_of(host), now)
        and (not is_advised or step.committed.fits(host.free))
    )
    return tuple(islice(unknown, limit))


def _is_answered(advice: Advice, server_id: str, now: float) -> bool:
    """Return whether an answer about a server is valid for long enough."""
    valid_until = advice.valid_until_by_server.get(server_id, 0.0)
    return valid_until - now >= MIN_TICKET_VALIDITY_S


def _usable_tickets(advice: Advice, now: float) -> dict[str, str]:
    return {
        server_id: ticket
        for server_id, ticket in advice.ticket_by_server.items()
        if _is_answered(advice, server_id, now)
    }


def _send_request(
    tables: SchedulerTables,
    job: Job,
    known: Advice,
    server_ids: tuple[str, ...],
    now: float,
) -> SchedulerStep:
    terms = advice_terms(tables, job)
    if terms is None:
        return Step(tables=tables)
    expected_s = terms.decide_s + len(server_ids) * terms.per_server_s
    call = RequestAdvice(
        role=SCHEDULER,
        step_key=known.step_key,
        server_ids=server_ids,
        timeout_s=min(expected_s + ADVICE_TIMEOUT_MARGIN_S, MAX_ADVICE_TIMEOUT_S),
    )
    asked = replace(known, in_flight=True, asked_server_ids=server_ids, asked_at=now)
    return Step(tables=_put(tables, asked), commands=(call,))


def _put(tables: SchedulerTables, advice: Advice) -> SchedulerTables:
    return replace(tables, advice=tables.advice.put(advice.step_key, advice))


def handle_advice_received(
    event: AdviceReceived, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Store the tickets and trigger a placement pass, if the step still needs them."""
    tables = replace(tables, advice_failing=False)
    job = tables.jobs.get(event.step_key.partition(".")[0])
    known = tables.advice.get(event.step_key)
    terms = advice_terms(tables, job) if job is not None else None
    if known is None or terms is None or job is None or job.is_final:
        return _drop_advice(tables, event.step_key)
    validity_s = {
        server_id: (
            terms.valid_s if server_id in event.ticket_by_server else DENIAL_VALIDITY_S
        )
        for server_id in (*known.asked_server_ids, *event.ticket_by_server)
    }
    valid_until_by_server = {
        server_id: valid_until
        for server_id, valid_until in known.valid_until_by_server.items()
        if valid_until > now
    } | {server_id: now + span_s for server_id, span_s in validity_s.items()}
    earlier_tickets = {
        server_id: ticket
        for server_id, ticket in known.ticket_by_server.items()
        if server_id in valid_until_by_server and server_id not in validity_s
    }
    advice = Advice(
        step_key=event.step_key,
        ticket_by_server=earlier_tickets | dict(event.ticket_by_server),
        valid_until_by_server=valid_until_by_server,
        retry_at=now + ADVICE_RETRY_DELAY_S,
    )
    count = len(event.ticket_by_server)
    line = edits.log(tables, "step.advice", event.step_key, f"{count} servers", "")
    tables = _put(_drop_expired(tables, now), advice)
    return Step(tables=replace(tables, place_due=True), commands=(line,))


def _drop_expired(tables: SchedulerTables, now: float) -> SchedulerTables:
    """Drop the advice of which nothing is valid any more, such as on ended jobs.

    The order in which steps are asked for is kept for as long as their jobs last.
    """
    advice = tables.advice
    for known in tables.advice.rows():
        ends_at = max(known.valid_until_by_server.values(), default=known.retry_at)
        if known.in_flight or ends_at > now:
            continue
        job = tables.jobs.get(job_id_of(known.step_key))
        gives_way = bool(known.exhausted_at or known.failures)
        if not gives_way or job is None or job.is_final:
            advice = advice.drop(known.step_key)
    return replace(tables, advice=advice)


def _drop_advice(tables: SchedulerTables, key: str) -> SchedulerStep:
    return Step(tables=replace(tables, advice=tables.advice.drop(key)))


def handle_advice_failed(
    event: AdviceFailed, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Schedule another request, and a placement pass to send it.

    The retry delay counts from the request, so that a call that has taken long is
    repeated at once.
    """
    known = tables.advice.get(event.step_key)
    if known is None:
        return Step(tables=tables)
    retry_at = max(now, known.asked_at + ADVICE_RETRY_DELAY_S)
    retried = replace(
        known,
        in_flight=False,
        retry_at=retry_at,
        failed_at=now,
        failures=known.failures + 1,
    )
    holds_end_at = min(tables.holds_end_at, retry_at)
    tables = replace(tables, advice_failing=True, holds_end_at=holds_end_at)
    line = edits.log(tables, "step.unadvised", event.step_key, "", event.reason)
    return Step(tables=_put(tables, retried), commands=(line,))


def drop_refused_ticket(
    tables: SchedulerTables, key: str, server_id: str
) -> SchedulerTables:
    """Drop the ticket of a step for a server that refused it.

    The tickets for other servers stay, so that the step waits for no request while one
    of them has room. The server may be asked about again at once.
    """
    known = tables.advice.get(key)
    if known is None:
        return tables
    return _put(tables, replace(_without_ticket(known, server_id), retry_at=0.0))


def drop_tickets_of_server(tables: SchedulerTables, server_id: str) -> SchedulerTables:
    """Drop the tickets for a server whose life is over, as they ended with it."""
    for known in tables.advice.rows():
        if server_id in known.ticket_by_server:
            tables = _put(tables, _without_ticket(known, server_id))
    return tables


def _without_ticket(known: Advice, server_id: str) -> Advice:
    ticket_by_server = dict(known.ticket_by_server)
    valid_until_by_server = dict(known.valid_until_by_server)
    ticket_by_server.pop(server_id, None)
    valid_until_by_server.pop(server_id, None)
    return replace(
        known,
        ticket_by_server=ticket_by_server,
        valid_until_by_server=valid_until_by_server,
    )
