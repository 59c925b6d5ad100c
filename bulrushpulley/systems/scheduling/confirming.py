"""Confirms the contacts of agents, which permits them to renew leases."""

from __future__ import annotations

from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.items import ContactAck
from bulrushpulley.entities.jobs.scheduler_tables import Owning, SchedulerTables
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.step import Command


def confirm_contact(
    tables: SchedulerTables, host: Host, now: float
) -> tuple[Command, ...]:
    """Return the answer to the last contact of an agent, if it may renew leases."""
    renewals_for_s = _permitted_renewals_s(tables, host, now)
    if renewals_for_s <= 0.0 or host.contact_sent_at is None:
        return ()
    ack = ContactAck(
        epoch=tables.epoch, sent_at=host.contact_sent_at, renewals_for_s=renewals_for_s
    )
    return (Send(peer=host.peer, item=ack),)


def confirm_contacts(
    tables: SchedulerTables, renewed_before_at: float, now: float
) -> tuple[Command, ...]:
    """Confirm contacts after a renewal that came late, or that they had to wait for.

    The permission that agents had may have ended or be about to, and without it they
    would start nothing before their next contact.
    """
    bounds = tables.bounds
    late_s = bounds.owner_autonomy_s - bounds.agent_autonomy_s
    is_late = now - renewed_before_at > late_s
    return tuple(
        command
        for host in tables.hosts.rows_where("link", f"{tables.epoch}")
        if is_late or host.resumed_at >= renewed_before_at
        for command in confirm_contact(tables, host, now)
    )


def _permitted_renewals_s(tables: SchedulerTables, host: Host, now: float) -> float:
    """Return how long an agent may request full leases; zero or less if it may not.

    The next owner relies on `OwnerRow.renewals_for_s`, and on `UnlinkedHost` for agents
    not adopted yet or silent; one that was silent gets no permission before a row that
    was created since it made contact is durable. This owner relies on
    `Bounds.agent_expiry_s`, which was longer in earlier versions, so the agent is told.
    """
    owning = tables.leadership
    if not isinstance(owning, Owning) or tables.leaving:
        return 0.0
    if host.announced_epoch != tables.epoch:
        return 0.0
    if may_be_listed(owning, host):
        return 0.0
    renewals_for_s = owning.renewed_at + tables.bounds.owner_autonomy_s - now
    return min(tables.bounds.agent_autonomy_s, renewals_for_s)


def may_be_listed(owning: Owning, host: Host) -> bool:
    """Return whether the durable owner row may list an agent as silent.

    The next owner would then count from the contact before the silence.
    """
    return owning.renewed_at <= host.resumed_at
