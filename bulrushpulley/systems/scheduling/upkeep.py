"""Takes the machines of each wave through their upkeep, a few at a time.

A machine is emptied first, then the order for its upkeep is made durable, and only
then is the order sent. The machine counts as down until the platform lists it as up
again, or no longer lists it. If the platform refuses the order, the machine waits
again, with its host open for tasks (`upkeep_refusals`).
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
    OrderUpkeep,
    Upkeep,
    UpkeepOrderAccepted,
    UpkeepPhase,
    Wave,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import (
    edits,
    emptying,
    upkeep_holds,
    upkeep_refusals,
    waves,
)

UPKEEP_ORDER_TIMEOUT_S = 1.0
# An owner sends orders only if it renewed its row within this time, and the next one
# begins to wait for `turn_s` only after this time. So orders of the two are that far
# apart, however soon after a renewal the shard is taken over.
MAX_RENEWAL_AGE_S = 1.2


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Advance every wave."""
    if not edits.is_loaded(tables) or tables.machines.listed_at < 0.0:
        return Step(tables=tables)
    commands: list[Command] = []
    for wave in tables.upkeep.waves.rows():
        tables = _finish_returned(tables, wave, now)
        tables = _settle(tables, wave)
        tables = _start_emptying(tables, wave, now)
        for upkeep in waves.upkeeps_of_wave(tables, wave.order.number):
            step = _advance(tables, wave, upkeep, now)
            tables = step.tables
            commands.extend(step.commands)
    step = upkeep_holds.log_stalled(tables, now)
    return Step(tables=step.tables, commands=(*commands, *step.commands))


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
            tables = waves.enter_phase(tables, upkeep, UpkeepPhase.FINISHED, now)
            tables = replace(tables, place_due=True)
    return tables


def _settle(tables: SchedulerTables, wave: Wave) -> SchedulerTables:
    """Find the machines that are not down for an order without a certain outcome.

    Only a list requested after such an order can no longer arrive tells.
    """
    settled_by = tables.machines.listed_at - tables.bounds.turn_s
    for upkeep in waves.upkeeps_of_wave(tables, wave.order.number):
        is_deferred = upkeep.phase is UpkeepPhase.WAITING and upkeep.may_have_begun
        if (
            is_deferred
            and upkeep.unanswered_at <= settled_by
            and upkeep_holds.is_listed_up(tables, upkeep)
        ):
            tables = waves.put_upkeep(tables, replace(upkeep, may_have_begun=False))
    return tables


def _start_emptying(tables: SchedulerTables, wave: Wave, now: float) -> SchedulerTables:
    """Start emptying as many machines as the wave allows, fewest tasks first."""
    slots = upkeep_holds.free_slots(tables, wave)
    waiting = [
        each
        for each in waves.upkeeps_of_wave(tables, wave.order.number)
        if each.phase is UpkeepPhase.WAITING
    ]
    ready = [
        each
        for each in waiting
        if upkeep_holds.machine_hold(tables, each, slots, now) is None
    ]
    ready.sort(key=lambda each: (_task_count(tables, each), each.machine_id))
    for upkeep in ready:
        needed = 0 if upkeep.may_have_begun else 1
        if needed <= max(0, slots) and not upkeep_holds.host_hold(tables, wave, upkeep):
            tables = waves.enter_phase(tables, upkeep, UpkeepPhase.EMPTYING, now)
            slots -= needed
    return tables


def _task_count(tables: SchedulerTables, upkeep: Upkeep) -> int:
    host = emptying.host_of(tables, upkeep.machine_id)
    return tables.tasks.count_where("host", host.name) if host is not None else 0


def _advance(
    tables: SchedulerTables, wave: Wave, upkeep: Upkeep, now: float
) -> SchedulerStep:
    if _may_be_down(tables, upkeep, now):
        tables = waves.enter_phase(tables, upkeep, UpkeepPhase.ORDERED, now)
    elif upkeep.phase is UpkeepPhase.EMPTYING:
        return _empty(tables, wave, upkeep, now)
    if upkeep.phase is UpkeepPhase.ORDERED:
        return _order_upkeep(tables, wave, upkeep, now)
    return Step(tables=tables)


def _may_be_down(tables: SchedulerTables, upkeep: Upkeep, now: float) -> bool:
    """Return whether a waiting machine seems to be down for an earlier order.

    The platform accepts the order again, so that the machine is not emptied once more
    when it is up.
    """
    machine = tables.machines.machines.get(upkeep.machine_id)
    return (
        upkeep.phase is UpkeepPhase.WAITING
        and upkeep.may_have_begun
        and now >= upkeep.retry_at
        and machine is not None
        and machine.state is MachineState.UPKEEP
        and not upkeep_holds.is_down(tables, upkeep)
    )


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
    tables = waves.enter_phase(tables, upkeep, UpkeepPhase.ORDERED, now)
    return Step(tables=tables, commands=(line,))


def _order_upkeep(
    tables: SchedulerTables, wave: Wave, upkeep: Upkeep, now: float
) -> SchedulerStep:
    """Send a durable order, unless another owner may be sending orders too."""
    if upkeep.exhausted and now >= upkeep.retry_at:
        return upkeep_refusals.defer(tables, upkeep, now)
    owning = tables.leadership
    if not isinstance(owning, Owning) or upkeep.in_flight or now < upkeep.retry_at:
        return Step(tables=tables)
    # A transaction in flight may remove the order from the durable row.
    durable = (
        upkeep.machine_id in wave.durable_row.ordered
        and upkeep.machine_id in wave.submitted_row.ordered
    )
    turn_begins_at = owning.since + MAX_RENEWAL_AGE_S
    handover_waited = now - turn_begins_at >= tables.bounds.turn_s
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
    ordered = replace(upkeep, in_flight=True, may_have_begun=True)
    tables = waves.put_upkeep(tables, ordered)
    return Step(tables=tables, commands=(call,))


def handle_order_accepted(
    event: UpkeepOrderAccepted, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Mark the machine as taken; it is finished once it is listed as up."""
    upkeep = tables.upkeep.upkeeps.get(f"{event.wave}/{event.machine_id}")
    if upkeep is None or upkeep.phase is not UpkeepPhase.ORDERED:
        return Step(tables=tables)
    line = edits.log(tables, "upkeep.taken", upkeep.key, "", "accepted by the platform")
    wave = tables.upkeep.waves.by_key[str(event.wave)]
    tables = waves.put_wave(tables, replace(wave, accepted=True))
    tables = waves.enter_phase(tables, upkeep, UpkeepPhase.TAKEN, now)
    return Step(tables=tables, commands=(line,))
