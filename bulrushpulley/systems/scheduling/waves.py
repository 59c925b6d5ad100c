"""Waves of upkeep: their orders, their progress, and the state operators see.

The progress of a wave is written with the owner's other rows, so that only the owner
of the shard can change it. The module `upkeep` acts on single machines.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.configuration import WaveOrder
from bulrushpulley.entities.jobs.rows import (
    OWNED_PART,
    WAVES,
    WaveRow,
    WaveState,
    WaveStatusRow,
    key_of,
)
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    LoadWaves,
    SchedulerStep,
    SchedulerTables,
    WriteWaveStatus,
)
from bulrushpulley.entities.jobs.store import (
    Condition,
    RangeRead,
    ReadRange,
    Transact,
)
from bulrushpulley.entities.jobs.upkeep import (
    Upkeep,
    UpkeepPhase,
    UpkeepTables,
    Wave,
    wave_index,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits

WAVE_CALL_TIMEOUT_S = 1.5
WAVE_STATUS_RETRY_DELAY_S = 0.5


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Follow the orders of waves, and report the states of waves."""
    has_waves = tables.operator_settings.waves or len(tables.upkeep.waves)
    if not edits.is_loaded(tables) or not has_waves:
        return Step(tables=tables)
    if tables.upkeep.written_by_wave is None:
        return _load_waves(tables)
    tables = _apply_wave_orders(tables, now)
    commands: list[Command] = []
    for wave in tables.upkeep.waves.rows():
        step = _report_state(tables, wave, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def _put(tables: SchedulerTables, upkeep: UpkeepTables) -> SchedulerTables:
    return replace(tables, upkeep=upkeep)


def put_upkeep(tables: SchedulerTables, upkeep: Upkeep) -> SchedulerTables:
    """Store the progress of the upkeep of a machine."""
    upkeeps = tables.upkeep.upkeeps.put(upkeep.key, upkeep)
    return _put(tables, replace(tables.upkeep, upkeeps=upkeeps))


def enter_phase(
    tables: SchedulerTables, upkeep: Upkeep, phase: UpkeepPhase, now: float
) -> SchedulerTables:
    """Store that the upkeep of a machine has reached a phase."""
    changed = replace(
        upkeep,
        phase=phase,
        since=now,
        in_flight=False,
        retry_at=0.0,
        attempts=0,
        exhausted=False,
    )
    return put_upkeep(tables, changed)


def put_wave(tables: SchedulerTables, wave: Wave) -> SchedulerTables:
    """Store a wave."""
    waves = tables.upkeep.waves.put(str(wave.order.number), wave)
    return _put(tables, replace(tables.upkeep, waves=waves))


def upkeeps_of_wave(tables: SchedulerTables, number: int) -> list[Upkeep]:
    """Return the upkeeps of a wave."""
    return tables.upkeep.upkeeps.rows_where("wave", wave_index(number))


def _load_waves(tables: SchedulerTables) -> SchedulerStep:
    if tables.upkeep.reading:
        return Step(tables=tables)
    read = ReadRange(
        role=SCHEDULER,
        purpose=LoadWaves(epoch=tables.epoch),
        timeout_s=WAVE_CALL_TIMEOUT_S,
        table=WAVES,
        part=OWNED_PART,
    )
    reading = replace(tables.upkeep, reading=True)
    return Step(tables=_put(tables, reading), commands=(read,))


def handle_waves_loaded(
    event: RangeRead, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Store the progress that former owners wrote."""
    written = {
        stored.row.number: stored.row
        for stored in event.rows
        if isinstance(stored.row, WaveRow)
    }
    loaded = replace(tables.upkeep, written_by_wave=written, reading=False)
    return Step(tables=_put(tables, loaded))


def handle_load_failed(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Read the rows again at the next tick."""
    return Step(tables=_put(tables, replace(tables.upkeep, reading=False)))


def _apply_wave_orders(tables: SchedulerTables, now: float) -> SchedulerTables:
    ordered = {str(order.number): order for order in tables.operator_settings.waves}
    for wave in tables.upkeep.waves.rows():
        if str(wave.order.number) not in ordered:
            tables = _withdraw(tables, wave)
    for number, order in ordered.items():
        if number not in tables.upkeep.waves:
            tables = _add_wave(tables, order, now)
    return tables


def _withdraw(tables: SchedulerTables, wave: Wave) -> SchedulerTables:
    """Drop a wave whose order was withdrawn; upkeep already ordered may still run."""
    upkeeps = tables.upkeep.upkeeps
    for upkeep in upkeeps_of_wave(tables, wave.order.number):
        upkeeps = upkeeps.drop(upkeep.key)
    waves = tables.upkeep.waves.drop(str(wave.order.number))
    return _put(tables, replace(tables.upkeep, waves=waves, upkeeps=upkeeps))


def _add_wave(tables: SchedulerTables, order: WaveOrder, now: float) -> SchedulerTables:
    written_by_wave = tables.upkeep.written_by_wave or {}
    written = written_by_wave.get(order.number, WaveRow(number=order.number))
    wave = Wave(order=order, submitted_row=written, durable_row=written, since=now)
    tables = put_wave(tables, wave)
    for machine_id in order.machine_ids:
        is_finished = machine_id in written.finished
        upkeep = Upkeep(
            wave=order.number,
            machine_id=machine_id,
            phase=UpkeepPhase.FINISHED if is_finished else UpkeepPhase.WAITING,
            since=now,
            # It is unknown whether a former owner's order was carried out, and whether
            # that owner opened the host again, so the host is emptied and the order
            # sent again.
            may_have_begun=machine_id in written.ordered and not is_finished,
            unanswered_at=now,
        )
        tables = put_upkeep(tables, upkeep)
    return tables


def is_finished(tables: SchedulerTables, wave: Wave) -> bool:
    """Return whether every machine of a wave has finished."""
    upkeeps = upkeeps_of_wave(tables, wave.order.number)
    return all(upkeep.phase is UpkeepPhase.FINISHED for upkeep in upkeeps)


def is_any_open(tables: SchedulerTables) -> bool:
    """Return whether a wave has machines that have not finished."""
    waves = tables.upkeep.waves.rows()
    return any(not is_finished(tables, wave) for wave in waves)


def row_of(tables: SchedulerTables, wave: Wave) -> WaveRow:
    """Return the row that stores the progress of a wave."""
    upkeeps = upkeeps_of_wave(tables, wave.order.number)
    ordered_phases = (UpkeepPhase.ORDERED, UpkeepPhase.TAKEN)
    ordered = (
        upkeep.machine_id
        for upkeep in upkeeps
        if upkeep.phase in ordered_phases
        or (upkeep.may_have_begun and upkeep.phase is not UpkeepPhase.FINISHED)
    )
    finished = (
        upkeep.machine_id for upkeep in upkeeps if upkeep.phase is UpkeepPhase.FINISHED
    )
    return WaveRow(
        number=wave.order.number,
        ordered=tuple(sorted(ordered)),
        finished=tuple(sorted(finished)),
    )


def unwritten_rows(tables: SchedulerTables) -> tuple[WaveRow, ...]:
    """Return the rows of waves that have changed since they were last submitted."""
    rows = ((wave, row_of(tables, wave)) for wave in tables.upkeep.waves.rows())
    return tuple(row for wave, row in rows if row != wave.submitted_row)


def mark_submitted(
    tables: SchedulerTables, rows: tuple[WaveRow, ...]
) -> SchedulerTables:
    """Record that a transaction with these rows is in flight."""
    for row in rows:
        wave = tables.upkeep.waves.by_key[str(row.number)]
        tables = put_wave(tables, replace(wave, submitted_row=row))
    return tables


def mark_unsubmitted(
    tables: SchedulerTables, numbers: tuple[int, ...]
) -> SchedulerTables:
    """Record that the transaction with the rows of these waves was not applied."""
    for number in numbers:
        wave = tables.upkeep.waves.get(str(number))
        if wave is not None:
            tables = put_wave(tables, replace(wave, submitted_row=wave.durable_row))
    return tables


def mark_durable(tables: SchedulerTables, numbers: tuple[int, ...]) -> SchedulerTables:
    """Record that the transaction with the rows of these waves has succeeded."""
    for number in numbers:
        wave = tables.upkeep.waves.get(str(number))
        if wave is not None:
            tables = put_wave(tables, replace(wave, durable_row=wave.submitted_row))
    return tables


def _report_state(tables: SchedulerTables, wave: Wave, now: float) -> SchedulerStep:
    """Write the state of a wave for operators, based on its durable progress."""
    finished = set(wave.durable_row.finished)
    all_finished = finished.issuperset(wave.order.machine_ids)
    state = WaveState.COMPLETED if all_finished else WaveState.RUNNING
    if wave.reporting or now < wave.retry_at or wave.reported_state is state:
        return Step(tables=tables)
    row = WaveStatusRow(number=wave.order.number, state=state)
    # A former owner may already have reported the wave as completed.
    first = Condition(key=key_of(row), version=0)
    conditions = (first,) if state is WaveState.RUNNING else ()
    write = Transact(
        role=SCHEDULER,
        purpose=WriteWaveStatus(epoch=tables.epoch, number=row.number, state=state),
        timeout_s=WAVE_CALL_TIMEOUT_S,
        conditions=conditions,
        puts=(row,),
    )
    tables = put_wave(tables, replace(wave, reporting=True))
    subject = f"wave {wave.order.number}"
    reason = f"{len(finished)} of {len(wave.order.machine_ids)} machines finished"
    line = edits.log(tables, "wave.tell", subject, state.value, reason)
    return Step(tables=tables, commands=(line, write))


def handle_status_write_ended(
    purpose: WriteWaveStatus, is_written: bool, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Record that operators can read the state, or schedule another write."""
    wave = tables.upkeep.waves.get(str(purpose.number))
    if wave is None:
        return Step(tables=tables)
    reported_state = purpose.state if is_written else wave.reported_state
    updated = replace(
        wave,
        reporting=False,
        reported_state=reported_state,
        retry_at=now + WAVE_STATUS_RETRY_DELAY_S,
    )
    return Step(tables=put_wave(tables, updated))
