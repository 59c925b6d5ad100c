"""Tells what keeps a waiting machine from its upkeep, and logs waves that stand still.

The log uses what decides, so that the two cannot differ.
"""

from __future__ import annotations

from collections import Counter

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.machines import MachineState
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.upkeep import (
    DOWN_INDEX,
    DOWN_PHASES,
    Upkeep,
    UpkeepHold,
    UpkeepPhase,
    Wave,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.lasting_states import REPORT_INTERVAL_S, is_report_due
from bulrushpulley.systems.scheduling import edits, emptying, upkeep_refusals, waves

PROGRESS_PHASES = frozenset({UpkeepPhase.TAKEN, UpkeepPhase.FINISHED})


def free_slots(tables: SchedulerTables, wave: Wave) -> int:
    """Return how many more machines of a wave may count as down."""
    upkeeps = waves.upkeeps_of_wave(tables, wave.order.number)
    down = sum(each.phase in DOWN_PHASES or _may_be_down(each) for each in upkeeps)
    return wave.order.at_once - down


def _may_be_down(upkeep: Upkeep) -> bool:
    return upkeep.may_have_begun and upkeep.phase is not UpkeepPhase.FINISHED


def is_listed_up(tables: SchedulerTables, upkeep: Upkeep) -> bool:
    """Return whether the platform lists the machine as up."""
    machine = tables.machines.machines.get(upkeep.machine_id)
    return machine is not None and machine.state is MachineState.UP


def is_down(tables: SchedulerTables, upkeep: Upkeep) -> bool:
    """Return whether the machine already counts as down, for whichever wave."""
    down = tables.upkeep.upkeeps.rows_where("wave", DOWN_INDEX)
    return any(other.machine_id == upkeep.machine_id for other in down)


def machine_hold(
    tables: SchedulerTables, upkeep: Upkeep, slots: int, now: float
) -> UpkeepHold | None:
    """Return what holds a waiting machine back, apart from its host's tasks.

    `slots` are the free slots of its wave. A machine whose upkeep may have begun has
    one already.
    """
    if not is_listed_up(tables, upkeep):
        return UpkeepHold.NOT_UP
    if is_down(tables, upkeep):
        return UpkeepHold.OTHER_WAVE
    if now < upkeep.retry_at:
        return UpkeepHold.DEFERRED
    if slots <= 0 and not upkeep.may_have_begun:
        return UpkeepHold.NO_SLOT
    return None


def host_hold(tables: SchedulerTables, wave: Wave, upkeep: Upkeep) -> UpkeepHold | None:
    """Return whether the host of a waiting machine must stay open for tasks.

    Until the platform has accepted an order of the wave, it may refuse them all, so one
    host of the service stays open.
    """
    if not wave.accepted and not emptying.leaves_open_host(tables, upkeep.machine_id):
        return UpkeepHold.LAST_HOST
    required = upkeep_refusals.may_be_refused_again(upkeep)
    if not emptying.has_room_elsewhere(tables, upkeep.machine_id, required=required):
        return UpkeepHold.NO_ROOM
    return None


def log_stalled(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Log why waves stand still: 3 s after their last progress, then ever more rarely.

    A wave makes progress when the platform takes one of its machines, and when one has
    finished.
    """
    commands: list[Command] = []
    for wave in tables.upkeep.waves.rows():
        if now - wave.stall_checked_at < REPORT_INTERVAL_S:
            continue
        upkeeps = waves.upkeeps_of_wave(tables, wave.order.number)
        progressed_at = max(
            [each.since for each in upkeeps if each.phase in PROGRESS_PHASES],
            default=wave.since,
        )
        if not waves.is_finished(tables, wave) and is_report_due(
            progressed_at, wave.stall_checked_at, now
        ):
            subject = f"wave {wave.order.number}"
            state = _describe(tables, wave, upkeeps, now)
            chosen = f"{now - progressed_at:.0f} s"
            commands.append(edits.log(tables, "wave.wait", subject, chosen, state))
        tables = waves.put_wave(tables, replace(wave, stall_checked_at=now))
    return Step(tables=tables, commands=tuple(commands))


def _describe(
    tables: SchedulerTables, wave: Wave, upkeeps: list[Upkeep], now: float
) -> str:
    slots = free_slots(tables, wave)
    states = Counter(_state_of(tables, wave, each, slots, now) for each in upkeeps)
    refusals = Counter(
        each.refusal.value
        for each in upkeeps
        if each.refusal is not None and each.phase not in PROGRESS_PHASES
    )
    counts = ", ".join(f"{state} {count}" for state, count in sorted(states.items()))
    last = ", ".join(f"{why} {count}" for why, count in sorted(refusals.items()))
    return f"{counts}; last refused as: {last or 'none'}"


def _state_of(
    tables: SchedulerTables, wave: Wave, upkeep: Upkeep, slots: int, now: float
) -> str:
    if upkeep.phase is not UpkeepPhase.WAITING:
        return str(upkeep.phase.value)
    hold = machine_hold(tables, upkeep, slots, now) or host_hold(tables, wave, upkeep)
    return str(hold.value if hold is not None else upkeep.phase.value)
