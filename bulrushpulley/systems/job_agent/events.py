"""Dispatches each event of the job agent to the system that handles it."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    OtherIncarnation,
    PaceAnswered,
    PaceFailed,
    PollFailed,
    RunsListed,
    RunStarted,
    StartDenied,
    StartUnanswered,
    StartUnhealthy,
    StopAnswered,
    StopUnanswered,
    Withdrawn,
)
from bulrushpulley.entities.jobs.items import (
    Adopt,
    ContactAck,
    EndsNoted,
    HarmVerdicts,
    Orders,
)
from bulrushpulley.entities.jobs.job_agent_tables import JobAgentStep, JobAgentTables
from bulrushpulley.entities.jobs.store import StoreEvent
from bulrushpulley.entities.link import LinkDown
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.systems.job_agent import (
    owner_orders,
    pacing,
    polling,
    registering,
    server_lifecycle,
    starting,
    stopping,
)


@singledispatch
def apply(event: Event, tables: JobAgentTables, now: float) -> JobAgentStep:
    """Apply one event; kinds that the role does not handle are ignored."""
    return Step(tables=tables)


apply.register(Announced, server_lifecycle.on_announced)
apply.register(Withdrawn, server_lifecycle.on_withdrawn)
apply.register(RunsListed, polling.on_listed)
apply.register(PollFailed, polling.on_failed)
apply.register(OtherIncarnation, polling.on_other_incarnation)
apply.register(EndsNoted, polling.on_noted)
apply.register(RunStarted, starting.on_started)
apply.register(StartDenied, starting.on_denied)
apply.register(StartUnhealthy, starting.on_unhealthy)
apply.register(StartUnanswered, starting.on_unanswered)
apply.register(StopAnswered, stopping.on_answered)
apply.register(StopUnanswered, stopping.on_unanswered)
apply.register(PaceAnswered, pacing.on_pace_answered)
apply.register(PaceFailed, pacing.on_pace_failed)
apply.register(Adopt, owner_orders.on_adopt)
apply.register(Orders, owner_orders.on_orders)
apply.register(ContactAck, owner_orders.on_contact_ack)
apply.register(HarmVerdicts, pacing.on_verdicts)
apply.register(LinkDown, owner_orders.on_link_down)
apply.register(StoreEvent, registering.on_answer)
