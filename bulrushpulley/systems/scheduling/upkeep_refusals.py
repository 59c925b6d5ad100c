"""Handles orders of upkeep that fail, each by the reason of the platform.

An order is repeated a few times at most. Then the upkeep is deferred: its host is open
for tasks until the next try, so that a machine that the platform never takes down does
not stay closed. The pauses between tries grow.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.upkeep import (
    Upkeep,
    UpkeepOrderFailed,
    UpkeepPhase,
    UpkeepRefusal,
)
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.exponential_backoff import exponential_delay_s
from bulrushpulley.systems.scheduling import edits, waves

MIN_ORDER_RETRY_DELAY_S = 0.5
MAX_ORDER_RETRY_DELAY_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalPolicy:
    """What follows after orders that failed for one reason.

    The upkeep is deferred after `max_attempts` orders, at first for `min_pause_s`. If
    `is_certain`, the order was not carried out. If it `may_last`, the platform may
    refuse the machine for good; its host is then not emptied again unless its tasks
    have room elsewhere.
    """

    max_attempts: int
    min_pause_s: float
    max_pause_s: float
    is_certain: bool
    may_last: bool


_MACHINE_REFUSED = RefusalPolicy(
    max_attempts=1, min_pause_s=4.0, max_pause_s=60.0, is_certain=True, may_last=True
)
_SERVICE_FAILED = RefusalPolicy(
    max_attempts=2, min_pause_s=2.0, max_pause_s=30.0, is_certain=True, may_last=False
)
POLICY_BY_REFUSAL: Mapping[UpkeepRefusal, RefusalPolicy] = {
    UpkeepRefusal.CANNOT_GO_DOWN: _MACHINE_REFUSED,
    UpkeepRefusal.NOT_IN_WAVE: _MACHINE_REFUSED,
    # The list of machines finishes the upkeep, as soon as the machine is not on it.
    UpkeepRefusal.NO_SUCH_MACHINE: _MACHINE_REFUSED,
    UpkeepRefusal.OTHER: _MACHINE_REFUSED,
    # The order of the owner with that token may take the machine down.
    UpkeepRefusal.NEWER_TOKEN: replace(_MACHINE_REFUSED, is_certain=False),
    UpkeepRefusal.TOO_MANY_CALLS: _SERVICE_FAILED,
    UpkeepRefusal.UNAVAILABLE: _SERVICE_FAILED,
    UpkeepRefusal.NO_ANSWER: replace(_SERVICE_FAILED, is_certain=False),
}


def handle_order_failed(
    event: UpkeepOrderFailed, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Schedule the next order, or the time at which the upkeep is deferred.

    After an order without a certain outcome, the host stays closed for as long as the
    order may still arrive.
    """
    upkeep = tables.upkeep.upkeeps.get(f"{event.wave}/{event.machine_id}")
    if upkeep is None or upkeep.phase is not UpkeepPhase.ORDERED:
        return Step(tables=tables)
    policy = POLICY_BY_REFUSAL[event.refusal]
    unanswered_at = upkeep.unanswered_at if policy.is_certain else now
    settled_at = unanswered_at + tables.bounds.turn_s
    exhausted = upkeep.attempts + 1 >= policy.max_attempts
    retry_delay_s = exponential_delay_s(
        min_delay_s=MIN_ORDER_RETRY_DELAY_S,
        max_delay_s=MAX_ORDER_RETRY_DELAY_S,
        doublings=upkeep.attempts,
    )
    failed = replace(
        upkeep,
        in_flight=False,
        may_have_begun=now < settled_at,
        unanswered_at=unanswered_at,
        attempts=upkeep.attempts + 1,
        refusal=event.refusal,
        exhausted=exhausted,
        retry_at=max(now, settled_at) if exhausted else now + retry_delay_s,
    )
    reason = f"{event.refusal.value}: {event.reason}"
    line = edits.log(tables, "upkeep.denied", upkeep.key, "", reason)
    return Step(tables=waves.put_upkeep(tables, failed), commands=(line,))


def defer(tables: SchedulerTables, upkeep: Upkeep, now: float) -> SchedulerStep:
    """Open the host of a machine whose orders failed until the next try."""
    refusal = upkeep.refusal or UpkeepRefusal.OTHER
    policy = POLICY_BY_REFUSAL[refusal]
    pause_s = exponential_delay_s(
        min_delay_s=policy.min_pause_s,
        max_delay_s=policy.max_pause_s,
        doublings=upkeep.deferrals,
    )
    tables = waves.enter_phase(tables, upkeep, UpkeepPhase.WAITING, now)
    deferred = replace(
        tables.upkeep.upkeeps.by_key[upkeep.key],
        retry_at=now + pause_s,
        deferrals=upkeep.deferrals + 1,
    )
    tables = replace(waves.put_upkeep(tables, deferred), place_due=True)
    reason = f"{refusal.value}; deferred {deferred.deferrals} times"
    line = edits.log(tables, "upkeep.defer", upkeep.key, f"{pause_s:.1f} s", reason)
    return Step(tables=tables, commands=(line,))


def may_be_refused_again(upkeep: Upkeep) -> bool:
    """Return whether the platform may refuse the machine for good."""
    return upkeep.refusal is not None and POLICY_BY_REFUSAL[upkeep.refusal].may_last
