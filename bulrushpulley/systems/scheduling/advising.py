"""Requests advice for the steps that need it, one call at a time.

The service handles one call per process at a time. Requests are therefore made one
by one, for the most urgent step first, so that no call queues behind another.
"""

from __future__ import annotations

from collections.abc import Mapping

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.advice import (
    Advice,
    AdviceFailed,
    AdviceReceived,
    AdviceTerms,
    RequestAdvice,
)
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.task import step_key
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.scheduling import edits

# The platform expects about 30 servers per step, and accepts 100 per call.
MAX_SERVERS_PER_REQUEST = 30
ADVICE_TIMEOUT_MARGIN_S = 1.0
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
    if advice is None or advice.valid_until - now < MIN_TICKET_VALIDITY_S:
        return {}
    return advice.ticket_by_server


def server_of(host: Host) -> str:
    """Return the id of the backend server on a host."""
    return host.life.rpartition("/")[0]


def request_advice(
    tables: SchedulerTables, jobs: list[Job], open_hosts: list[Host], now: float
) -> SchedulerStep:
    """Request advice for the first step of `jobs` that needs it, in placement order."""
    if any(advice.in_flight for advice in tables.advice.rows()):
        return Step(tables=tables)
    for job in jobs:
        terms = advice_terms(tables, job)
        key = _step_without_advice(tables, job, now) if terms is not None else ""
        if terms is None or not key:
            continue
        by_free_processors = sorted(
            open_hosts, key=lambda host: -host.free.processors_m
        )
        server_ids = tuple(
            server_of(host) for host in by_free_processors[:MAX_SERVERS_PER_REQUEST]
        )
        if not server_ids:
            return Step(tables=tables)
        call = RequestAdvice(
            role=SCHEDULER,
            step_key=key,
            server_ids=server_ids,
            timeout_s=terms.decide_s
            + len(server_ids) * terms.per_server_s
            + ADVICE_TIMEOUT_MARGIN_S,
        )
        known = tables.advice.get(key) or Advice(step_key=key, ticket_by_server={})
        tables = _put(tables, replace(known, in_flight=True))
        return Step(tables=tables, commands=(call,))
    return Step(tables=tables)


def _step_without_advice(tables: SchedulerTables, job: Job, now: float) -> str:
    """Return the key of a waiting step that needs advice, or an empty string."""
    for task in tables.tasks.rows_where("waiting", job.job_id):
        key = step_key(task.job_id, task.occurrence, task.step)
        advice = tables.advice.get(key)
        if advice is None:
            return key
        if now >= advice.retry_at and advice.valid_until - now < MIN_TICKET_VALIDITY_S:
            return key
    return ""


def _put(tables: SchedulerTables, advice: Advice) -> SchedulerTables:
    return replace(tables, advice=tables.advice.put(advice.step_key, advice))


def handle_advice_received(
    event: AdviceReceived, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Store the tickets and trigger a placement pass, if the step still needs them."""
    job = tables.jobs.get(event.step_key.partition(".")[0])
    known = tables.advice.get(event.step_key)
    terms = advice_terms(tables, job) if job is not None else None
    if known is None or terms is None or job is None or job.is_final:
        return _drop_advice(tables, event.step_key)
    advice = Advice(
        step_key=event.step_key,
        ticket_by_server=event.ticket_by_server,
        valid_until=now + terms.valid_s,
        retry_at=now + ADVICE_RETRY_DELAY_S,
    )
    count = len(event.ticket_by_server)
    line = edits.log(tables, "step.advice", event.step_key, f"{count} servers", "")
    tables = replace(_put(tables, advice), place_due=True)
    return Step(tables=tables, commands=(line,))


def _drop_advice(tables: SchedulerTables, key: str) -> SchedulerStep:
    return Step(tables=replace(tables, advice=tables.advice.drop(key)))


def handle_advice_failed(
    event: AdviceFailed, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Schedule another request after the retry delay."""
    known = tables.advice.get(event.step_key)
    if known is None:
        return Step(tables=tables)
    retried = replace(known, in_flight=False, retry_at=now + ADVICE_RETRY_DELAY_S)
    line = edits.log(tables, "step.unadvised", event.step_key, "", event.reason)
    return Step(tables=_put(tables, retried), commands=(line,))


def drop_refused_tickets(tables: SchedulerTables, key: str) -> SchedulerTables:
    """Drop all tickets of a step after one was refused, so that it gets new ones.

    A request in flight stays known, since the service takes one at a time.
    """
    known = tables.advice.get(key)
    if known is not None and known.in_flight:
        return _put(tables, replace(known, ticket_by_server={}))
    return replace(tables, advice=tables.advice.drop(key))
