"""Which system acts on each event of the keeper."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    HoldFailed,
    OtherLife,
    PaceAnswered,
    PaceFailed,
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
from bulrushpulley.entities.jobs.keeper_tables import KeeperStep, KeeperTables
from bulrushpulley.entities.jobs.store import StoreEvent
from bulrushpulley.entities.link import LinkDown
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.systems.keeping import (
    holding,
    obeying,
    pacing,
    registering,
    server_life,
    starting,
    stopping,
)


@singledispatch
def apply(event: Event, tables: KeeperTables, now: float) -> KeeperStep:
    """Act on one event; kinds that say nothing to the role change nothing."""
    return Step(tables=tables)


apply.register(Announced, server_life.on_announced)
apply.register(Withdrawn, server_life.on_withdrawn)
apply.register(RunsListed, holding.on_listed)
apply.register(HoldFailed, holding.on_failed)
apply.register(OtherLife, holding.on_other_life)
apply.register(EndsNoted, holding.on_noted)
apply.register(RunStarted, starting.on_started)
apply.register(StartDenied, starting.on_denied)
apply.register(StartUnhealthy, starting.on_unhealthy)
apply.register(StartUnanswered, starting.on_unanswered)
apply.register(StopAnswered, stopping.on_answered)
apply.register(StopUnanswered, stopping.on_unanswered)
apply.register(PaceAnswered, pacing.on_paced)
apply.register(PaceFailed, pacing.on_unpaced)
apply.register(Adopt, obeying.on_adopt)
apply.register(Orders, obeying.on_orders)
apply.register(ContactAck, obeying.on_contact_ack)
apply.register(HarmVerdicts, pacing.on_verdicts)
apply.register(LinkDown, obeying.on_link_down)
apply.register(StoreEvent, registering.on_answer)
