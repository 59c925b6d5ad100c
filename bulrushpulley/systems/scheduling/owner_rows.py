"""Decides what the owner of a shard writes into its row, and when it has to."""

from __future__ import annotations

from bulrushpulley.entities.jobs.rows import OwnerRow
from bulrushpulley.entities.jobs.scheduler_tables import Owning, SchedulerTables
from bulrushpulley.systems.scheduling import agents, lease_expiry, renewals


def next_row(tables: SchedulerTables, owning: Owning, now: float) -> OwnerRow:
    """Return the owner row of the next transaction."""
    return OwnerRow(
        holder="" if tables.leaving else tables.name,
        incarnation=tables.incarnation,
        epoch=owning.epoch,
        sequence=owning.sequence + 1,
        unlinked_hosts=lease_expiry.unlinked_hosts(tables, owning, now),
        renewals_for_s=_renewals_for_s(tables, owning, now),
        renews_within_s=renewals.expected_s(
            owning.renews_within_s, tables.store_latency_s, tables.slowness
        ),
        loading=is_unproven(owning),
    )


def is_unproven(owning: Owning) -> bool:
    """Return whether no transaction has been answered since the shard was read."""
    return bool(owning.loading) or owning.written_at < owning.loaded_at


def _renewals_for_s(tables: SchedulerTables, owning: Owning, now: float) -> float:
    """Return how long agents may renew leases after a row that is created now.

    Before the shard is loaded no agent is adopted, so only agents of former owners may.
    """
    former_s = owning.renewals_end_at - now
    own_s = 0.0 if owning.loading else tables.bounds.owner_autonomy_s
    return max(former_s, own_s)


def is_renewal_due(tables: SchedulerTables, owning: Owning, now: float) -> bool:
    """Return whether the row is to be written although no job has changed."""
    renew_interval_s = renewals.renew_interval_s(
        tables.store_latency_s, tables.slowness
    )
    return (
        now - owning.renewed_at >= renew_interval_s
        or tables.leaving
        or agents.is_confirmation_due(tables)
    )
