"""Dispatches each event of the job agent to the system that handles it."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    FenceAnswered,
    FenceUnanswered,
    IncarnationConfirmed,
    IncarnationUnconfirmed,
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
    confirming,
    fencing,
    owner_orders,
    pacing,
    polling,
    registering,
    server_lifecycle,
    starting,
    stopping,
)


@singledispatch
def can_wait(event: Event) -> bool:
    """Return whether an event may wait for the next tick instead of causing one."""
    return False


@can_wait.register(ContactAck)
@can_wait.register(HarmVerdicts)
@can_wait.register(PaceAnswered)
def _(event: Event) -> bool:
    return True


@singledispatch
def apply(event: Event, tables: JobAgentTables, now: float) -> JobAgentStep:
    """Apply one event; kinds that the role does not handle are ignored."""
    return Step(tables=tables)


apply.register(Announced, confirming.handle_announced)
apply.register(IncarnationConfirmed, confirming.handle_confirmed)
apply.register(IncarnationUnconfirmed, confirming.handle_unconfirmed)
apply.register(FenceAnswered, fencing.handle_answered)
apply.register(FenceUnanswered, fencing.handle_unanswered)
apply.register(Withdrawn, server_lifecycle.handle_withdrawn)
apply.register(RunsListed, polling.handle_runs_listed)
apply.register(PollFailed, polling.handle_poll_failed)
apply.register(OtherIncarnation, polling.handle_other_incarnation)
apply.register(EndsNoted, polling.handle_ends_noted)
apply.register(RunStarted, starting.handle_run_started)
apply.register(StartDenied, starting.handle_start_denied)
apply.register(StartUnhealthy, starting.handle_start_unhealthy)
apply.register(StartUnanswered, starting.handle_start_unanswered)
apply.register(StopAnswered, stopping.handle_stop_answered)
apply.register(StopUnanswered, stopping.handle_stop_unanswered)
apply.register(PaceAnswered, pacing.handle_pace_answered)
apply.register(PaceFailed, pacing.handle_pace_failed)
apply.register(Adopt, owner_orders.handle_adopt)
apply.register(Orders, owner_orders.handle_orders)
apply.register(ContactAck, owner_orders.handle_contact_ack)
apply.register(HarmVerdicts, pacing.handle_verdicts)
apply.register(LinkDown, owner_orders.handle_link_down)
apply.register(StoreEvent, registering.handle_registration_answer)
