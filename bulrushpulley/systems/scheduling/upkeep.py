"""Takes the machines of each wave through their upkeep, a few at a time.

A machine is emptied first, then the order for its upkeep is made durable, and only
then is the order sent. The machine counts as down until the platform lists it as up
again, or no longer lists it.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.machines import MachineState
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.upkeep import (
    DOWN_INDEX,
    DOWN_PHASES,
    OrderUpkeep,
    Upkeep,
    UpkeepOrderAccepted,
    UpkeepOrderFailed,
    UpkeepPhase,
    Wave,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, emptying, waves

UPKEEP_ORDER_TIMEOUT_S = 1.0
UPKEEP_ORDER_RETRY_DELAY_S = 0.5
# An owner sends orders only if it renewed its row within this time; otherwise it may
# be replaced before an order arrives. Followers wait longer than this.
MAX_RENEWAL_AGE_S = 1.2


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Advance every wave."""
    if not edits.is_loaded(tables) or tables.machines.listed_at < 0.0:
        return Step(tables=tables)
    commands: list[Command] = []
    for wave in tables.upkeep.waves.rows():
        tables = _finish_returned(tables, wave, now)
        tables = _start_emptying(tables, wave, now)
        for upkeep in waves.upkeeps_of_wave(tables, wave.order.number):
            step = _advance(tables, wave, upkeep, now)
            tables = step.tables
            commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def _with_phase(
    tables: SchedulerTables, upkeep: Upkeep, phase: UpkeepPhase, now: float
) -> SchedulerTables:
    changed = replace(upkeep, phase=phase, since=now, in_flight=False, retry_at=0.0)
    return waves.put_upkeep(tables, changed)


def _finish_returned(
    tables: SchedulerTables, wave: Wave, now: float
) -> SchedulerTables:
    """Finish the upkeep of machines that are up again or no longer exist."""
    machines = tables.machines.machines
    listed_at = tables.machines.listed_at
    for upkeep in waves.upkeeps_of_wave(tables, wave.order.number):
        machine = machines.get(upkeep.machine_id)
        # A list requested before the phase began may not show its effect.
        if upkeep.phase is UpkeepPhase.FINISHED or upkeep.since >= listed_at:
            continue
        is_up = machine is not None and machine.state is MachineState.UP
        if machine is None or (is_up and upkeep.phase is UpkeepPhase.TAKEN):
            tables = _with_phase(tables, upkeep, UpkeepPhase.FINISHED, now)
            tables = replace(tables, place_due=True)
    return tables


def _start_emptying(tables: SchedulerTables, wave: Wave, now: float) -> SchedulerTables:
    """Start emptying as many machines as the wave allows, fewest tasks first."""
    upkeeps = waves.upkeeps_of_wave(tables, wave.order.number)
    free_slots = wave.order.at_once - sum(
        upkeep.phase in DOWN_PHASES for upkeep in upkeeps
    )
    waiting = [each for each in upkeeps if each.phase is UpkeepPhase.WAITING]
    ready = [
        each for each in waiting if _is_up(tables, each) and not _is_down(tables, each)
    ]
    ready.sort(key=lambda each: (_task_count(tables, each), each.machine_id))
    for upkeep in ready[: max(0, free_slots)]:
        if emptying.has_room_elsewhere(tables, upkeep.machine_id):
            tables = _with_phase(tables, upkeep, UpkeepPhase.EMPTYING, now)
    return tables


def _is_up(tables: SchedulerTables, upkeep: Upkeep) -> bool:
    machine = tables.machines.machines.get(upkeep.machine_id)
    return machine is not None and machine.state is MachineState.UP


def _is_down(tables: SchedulerTables, upkeep: Upkeep) -> bool:
    """Return whether the machine already counts as down, for whichever wave."""
    down = tables.upkeep.upkeeps.rows_where("wave", DOWN_INDEX)
    return any(other.machine_id == upkeep.machine_id for other in down)


def _task_count(tables: SchedulerTables, upkeep: Upkeep) -> int:
    host = emptying.host_of(tables, upkeep.machine_id)
    return tables.tasks.count_where("host", host.name) if host is not None else 0


def _advance(
    tables: SchedulerTables, wave: Wave, upkeep: Upkeep, now: float
) -> SchedulerStep:
    if upkeep.phase is UpkeepPhase.EMPTYING:
        return _empty(tables, wave, upkeep, now)
    if upkeep.phase is UpkeepPhase.ORDERED:
        return _order_upkeep(tables, wave, upkeep, now)
    return Step(tables=tables)


def _empty(
    tables: SchedulerTables, wave: Wave, upkeep: Upkeep, now: float
) -> SchedulerStep:
    host = emptying.host_of(tables, upkeep.machine_id)
    if host is not None and not emptying.is_empty(tables, host):
        return emptying.empty_host(tables, wave, upkeep, host, now)
    if host is None and now - upkeep.since < emptying.finish_timeout_s(wave):
        # The backend server may have just started; its agent has not reported it yet.
        return Step(tables=tables)
    name = host.name if host is not None else ""
    line = edits.log(tables, "upkeep.order", upkeep.key, name, "no tasks left")
    tables = _with_phase(tables, upkeep, UpkeepPhase.ORDERED, now)
    return Step(tables=tables, commands=(line,))


def _order_upkeep(
    tables: SchedulerTables, wave: Wave, upkeep: Upkeep, now: float
) -> SchedulerStep:
    """Send a durable order, unless another owner may be sending orders too."""
    owning = tables.leadership
    if not isinstance(owning, Owning) or upkeep.in_flight or now < upkeep.retry_at:
        return Step(tables=tables)
    durable = upkeep.machine_id in wave.durable_row.ordered
    handover_waited = now - owning.since >= tables.bounds.turn_s
    recently_renewed = now - owning.renewed_at < MAX_RENEWAL_AGE_S
    if not (durable and handover_waited and recently_renewed) or tables.leaving:
        return Step(tables=tables)
    call = OrderUpkeep(
        role=SCHEDULER,
        machine_id=upkeep.machine_id,
        wave=upkeep.wave,
        holder=tables.name,
        token=tables.epoch,
        timeout_s=UPKEEP_ORDER_TIMEOUT_S,
    )
    tables = waves.put_upkeep(tables, replace(upkeep, in_flight=True))
    return Step(tables=tables, commands=(call,))


def handle_order_accepted(
    event: UpkeepOrderAccepted, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Mark the machine as taken; it is finished once it is listed as up."""
    upkeep = tables.upkeep.upkeeps.get(f"{event.wave}/{event.machine_id}")
    if upkeep is None or upkeep.phase is not UpkeepPhase.ORDERED:
        return Step(tables=tables)
    line = edits.log(tables, "upkeep.taken", upkeep.key, "", "accepted by the platform")
    tables = _with_phase(tables, upkeep, UpkeepPhase.TAKEN, now)
    return Step(tables=tables, commands=(line,))


def handle_order_failed(
    event: UpkeepOrderFailed, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Retry after a delay, or finish if there is no such machine."""
    upkeep = tables.upkeep.upkeeps.get(f"{event.wave}/{event.machine_id}")
    if upkeep is None or upkeep.phase is not UpkeepPhase.ORDERED:
        return Step(tables=tables)
    line = edits.log(tables, "upkeep.denied", upkeep.key, "", event.reason)
    if event.unknown_machine:
        tables = _with_phase(tables, upkeep, UpkeepPhase.FINISHED, now)
        return Step(tables=tables, commands=(line,))
    retried = replace(
        upkeep, in_flight=False, retry_at=now + UPKEEP_ORDER_RETRY_DELAY_S
    )
    return Step(tables=waves.put_upkeep(tables, retried), commands=(line,))
