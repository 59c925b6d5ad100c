"""Handles messages of the shard's owner: adoption, orders and contact replies."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.items import Adopt, ContactAck, Orders
from bulrushpulley.entities.jobs.job_agent_tables import (
    Asked,
    JobAgentStep,
    JobAgentTables,
    Run,
    RunPhase,
)
from bulrushpulley.entities.jobs.runs import RunOrder, RunRef
from bulrushpulley.entities.link import LinkDown
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.job_agent import edits

NEVER_CONTACTED_AT_S = -60.0


def handle_adopt(event: Adopt, tables: JobAgentTables, now: float) -> JobAgentStep:
    """Follow only the newest owner; the next reports send it the full state."""
    if event.epoch < tables.epoch:
        line = _line(tables, event.peer, f"its epoch {event.epoch} is outdated")
        return Step(tables=tables, commands=(line,))
    if event.epoch == tables.epoch and 0 < event.adoption <= tables.adoption:
        line = _line(tables, event.peer, f"adoption {event.adoption} is outdated")
        return Step(tables=tables, commands=(line,))
    adopted = replace(
        tables,
        owner=event.peer,
        epoch=event.epoch,
        contact_sent_at=NEVER_CONTACTED_AT_S,
        orders_complete=False,
        synced=False,
        last_host_report=None,
        last_end_sent=0,
        adoption=event.adoption,
        closed_adoption=0,
        orders=0,
        misses_orders=False,
        verdicts=0,
    )
    return Step(tables=adopted, commands=(_line(adopted, event.peer, "adopted"),))


def handle_link_down(
    event: LinkDown, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Continue without the owner for as long as the last contact allows."""
    if event.peer != tables.owner:
        return Step(tables=tables)
    line = _line(tables, event.peer, "the link ended")
    return Step(tables=replace(tables, owner=""), commands=(line,))


def handle_contact_ack(
    event: ContactAck, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Permit full leases, counted from when the contact was sent."""
    if event.epoch != tables.epoch:
        return Step(tables=tables)
    renewals_for_s = tables.bounds.agent_autonomy_s
    if event.renewals_for_s is not None:
        renewals_for_s = min(renewals_for_s, event.renewals_for_s)
    renewals_end_at = max(tables.renewals_end_at, event.sent_at + renewals_for_s)
    confirmed_at = max(tables.confirmed_at, event.sent_at)
    return Step(
        tables=replace(
            tables, renewals_end_at=renewals_end_at, confirmed_at=confirmed_at
        )
    )


def handle_orders(event: Orders, tables: JobAgentTables, now: float) -> JobAgentStep:
    """Record which runs are to be started, kept or stopped."""
    if event.epoch != tables.epoch:
        reason = f"orders of epoch {event.epoch} for {event.life} are out of date"
        return Step(tables=tables, commands=(_line(tables, event.peer, reason),))
    has_closed = bool(tables.closed_adoption)
    is_closed = has_closed and event.adoption == tables.closed_adoption
    if event.adoption != tables.adoption or is_closed:
        reason = f"orders of adoption {event.adoption} are out of date"
        return Step(tables=tables, commands=(_line(tables, event.peer, reason),))
    if event.number:
        if event.number != tables.orders + 1:
            return _skip(event, tables)
        tables = replace(tables, orders=event.number)
    server = tables.server
    if server is None or event.life != server.life:
        reason = f"orders of epoch {event.epoch} for {event.life} are out of date"
        return Step(tables=tables, commands=(_line(tables, event.peer, reason),))
    if event.complete:
        tables = _drop_unlisted(tables, event)
    for order in event.start:
        tables = _mark_wanted(tables, order, now, repeated=event.complete)
    for ref in event.stop:
        tables = _mark_unwanted(tables, ref, now)
    return Step(tables=tables)


def _skip(event: Orders, tables: JobAgentTables) -> JobAgentStep:
    """Leave out orders that came twice, or before others; the latter are reported.

    A start that was overtaken by its stop would run although the owner has ended it, so
    nothing is handled until the owner has adopted the agent again.
    """
    reason = f"orders {event.number} do not follow {tables.orders}"
    if event.number > tables.orders:
        tables = replace(
            tables, misses_orders=True, contact_sent_at=NEVER_CONTACTED_AT_S
        )
    return Step(tables=tables, commands=(_line(tables, event.peer, reason),))


def _drop_unlisted(tables: JobAgentTables, event: Orders) -> JobAgentTables:
    """Mark all runs as unwanted that are missing from a complete list."""
    named = {order.key for order in event.start} | {ref.key for ref in event.stop}
    for run in tables.runs.rows():
        if run.key in named:
            continue
        if run.phase is RunPhase.ORDERED:
            tables = replace(tables, runs=tables.runs.drop(run.key))
            continue
        unwanted = replace(run, wanted=False, asked=Asked.NOTHING)
        tables = edits.put_run(tables, unwanted)
    return replace(tables, orders_complete=True)


def _mark_wanted(
    tables: JobAgentTables, order: RunOrder, now: float, *, repeated: bool
) -> JobAgentTables:
    """Record that a run is to be started or kept.

    An order that may be `repeated` may have been given to an earlier process of this
    host, whose call is then not known to be answered.
    """
    ref = RunRef(task_id=order.task_id, run=order.run)
    if any(end.key == order.key for end in tables.ends.values()):
        return tables
    known = tables.runs.get(order.key)
    run = known or Run(ref=ref, phase=RunPhase.ORDERED, since=now, unconfirmed=repeated)
    barred = run.phase is RunPhase.BARRED
    ordered = replace(
        run,
        order=order,
        wanted=run.wanted if barred else True,
        asked=Asked.KEEP,
    )
    return edits.put_run(tables, ordered)


def _mark_unwanted(tables: JobAgentTables, ref: RunRef, now: float) -> JobAgentTables:
    if any(end.key == ref.key for end in tables.ends.values()):
        return tables
    known = tables.runs.get(ref.key)
    run = known or Run(ref=ref, phase=RunPhase.ORDERED, since=now)
    unwanted = replace(run, wanted=False, asked=Asked.STOP)
    return edits.put_run(tables, unwanted)


def _line(tables: JobAgentTables, peer: str, reason: str) -> Decision:
    return edits.log(tables, "owner.hear", peer, "", reason)
