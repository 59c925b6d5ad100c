"""Ownership of the shard: taking it over and releasing it.

Ownership is a row in the store. A follower that sees the row unchanged for long enough
writes a row with its own name, on the condition that the version is still the same;
the former owner's next transaction then conflicts. Clocks of different hosts are never
compared.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import EARLIER_VERSION_RENEWALS_S
from bulrushpulley.entities.jobs.rows import OWNED_PART, OWNER_KEY
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    Claiming,
    ClaimShard,
    Following,
    Leadership,
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import (
    Condition,
    Conflicted,
    Transact,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems import store_timeouts
from bulrushpulley.systems.scheduling import (
    edits,
    following,
    lease_expiry,
    loading,
)

CLAIM_RETRY_DELAY_S = 0.05
REFUSED_CLAIM_RETRY_DELAY_S = 0.4


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Poll the owner row or send the claim, if due."""
    return advance(tables.leadership, tables, now)


@singledispatch
def advance(
    leadership: Leadership, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Send the next call for one state of leadership; none by default."""
    return Step(tables=tables)


advance.register(Following, following.poll)


@advance.register
def _(leadership: Claiming, tables: SchedulerTables, now: float) -> SchedulerStep:
    if leadership.in_flight or now < leadership.retry_at:
        return Step(tables=tables)
    sent_at = leadership.sent_at or now
    claiming = replace(leadership, in_flight=True, sent_at=sent_at, called_at=now)
    claim = Transact(
        role=SCHEDULER,
        purpose=ClaimShard(epoch=leadership.epoch),
        timeout_s=leadership.timeout_s,
        conditions=(Condition(key=OWNER_KEY, version=leadership.version),),
        puts=(leadership.row,),
    )
    return Step(tables=replace(tables, leadership=claiming), commands=(claim,))


def handle_claimed(version: int, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Start a tenure by reading the shard."""
    claiming = tables.leadership
    if not isinstance(claiming, Claiming):
        return Step(tables=tables)
    epoch, renewals_end_at = claiming.epoch, claiming.renewals_end_at
    if not claiming.version:
        # Since the read, another entry may have owned the shard by a row that is
        # removed, too. The version of the claim is higher than its epoch.
        epoch = max(epoch, version)
        renewals_end_at = now + EARLIER_VERSION_RENEWALS_S
    owning = Owning(
        epoch=epoch,
        version=version,
        sequence=0,
        since=now,
        renewed_at=claiming.sent_at,
        renewals_end_at=renewals_end_at,
        written_at=now,
        renews_within_s=claiming.row.renews_within_s or 0.0,
    )
    hosts = lease_expiry.with_ends(tables.hosts, claiming.runs_end_by_host)
    took_s = min(now - claiming.called_at, claiming.timeout_s)
    store_latency_s = max(tables.store_latency_s, took_s)
    tables = replace(
        tables, leadership=owning, hosts=hosts, store_latency_s=store_latency_s
    )
    line = edits.log(tables, "shard.own", OWNED_PART, tables.incarnation, "claimed")
    step = loading.start_loading(tables, now)
    return Step(tables=step.tables, commands=(line, *step.commands))


def handle_claim_conflicted(
    event: Conflicted, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Follow the winner, unless an earlier attempt of this claim was applied."""
    claiming = tables.leadership
    if not isinstance(claiming, Claiming):
        return Step(tables=tables)
    for stored in event.rows:
        if stored.row == claiming.row:
            return handle_claimed(stored.version, tables, now)
    return become_follower(tables, now, "another entry claimed it first")


def handle_claim_failed(
    tables: SchedulerTables, now: float, retry_delay_s: float = CLAIM_RETRY_DELAY_S
) -> SchedulerStep:
    """Schedule a retry of the same claim; it is applied at most once."""
    claiming = tables.leadership
    if not isinstance(claiming, Claiming):
        return Step(tables=tables)
    retried = replace(
        claiming,
        in_flight=False,
        retry_at=now + retry_delay_s,
        timeout_s=store_timeouts.next_timeout_s(claiming.timeout_s),
    )
    return Step(tables=replace(tables, leadership=retried))


def become_follower(tables: SchedulerTables, now: float, reason: str) -> SchedulerStep:
    """Drop the state of an owner and start to follow."""
    line = edits.log(tables, "shard.lose", OWNED_PART, "", reason)
    fresh = SchedulerTables(
        name=tables.name,
        incarnation=tables.incarnation,
        takeover_stagger=tables.takeover_stagger,
        claim_stagger=tables.claim_stagger,
        slowness=tables.slowness,
        bounds=tables.bounds,
        leadership=Following(
            unchanged_since=now, last_epoch=_known_epoch(tables.leadership)
        ),
        operator_settings=tables.operator_settings,
        hosts=loading.reset_hosts(tables.hosts),
        store_latency_s=tables.store_latency_s,
        wall_offset_s=tables.wall_offset_s,
        wall_offsets_s=tables.wall_offsets_s,
        wall_clock_read_at=tables.wall_clock_read_at,
        leaving=tables.leaving,
    )
    commands: tuple[Command, ...] = (line,) if _owned_or_claimed(tables) else ()
    return Step(tables=fresh, commands=commands)


@singledispatch
def _known_epoch(leadership: Leadership) -> int:
    """Return the highest epoch that is known to have been used; 0 by default."""
    return 0


@_known_epoch.register
def _(leadership: Following) -> int:
    return leadership.last_epoch


@_known_epoch.register
def _(leadership: Claiming) -> int:
    # Its own epoch is not in use before the claim succeeds.
    return leadership.epoch - 1


@_known_epoch.register
def _(leadership: Owning) -> int:
    return leadership.epoch


def _owned_or_claimed(tables: SchedulerTables) -> bool:
    return not isinstance(tables.leadership, Following)
