"""Decides which tasks are removed from their worker or their cell.

Causes are drained failure domains, cancellations, reduced worker capacity, and
waiting too long for a start.
"""

from __future__ import annotations

from bulrushpulley.entities.cell import Cell, CellPhase
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.owner_times import RETURN_TO_BACKLOG_DELAY_S
from bulrushpulley.entities.records import ServiceRecord
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import (
    Cancel,
    Phase,
    Requeue,
    Return,
    Task,
    phase_index,
)
from bulrushpulley.entities.worker import Worker
from bulrushpulley.systems.cell import domains as cell_domains
from bulrushpulley.systems.cell import place as cell_place
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import stop as cell_stop
from bulrushpulley.systems.cell.candidates import held_capacity
from bulrushpulley.systems.cell.owner_events import CellStep
from bulrushpulley.systems.cell.preempt import eviction_commands, stopping_size
from bulrushpulley.systems.cell.victims import (
    choose_victims,
    is_evictable,
)

MAX_EVICTIONS_PER_TICK = 64
WAITING_SWEEP_INTERVAL_S = 1.0
DRAINABLE_PHASES = (Phase.WAITING, Phase.SENDING, Phase.UNKNOWN, Phase.RUNNING)


def owned_cells(tables: CellOwnerTables) -> list[Cell]:
    """Return the cells whose rows are loaded and may be changed."""
    if tables.leaving:
        return []
    return [cell for cell in tables.cells.rows() if cell.phase is CellPhase.OWNED]


def drain(tables: CellOwnerTables, now: float) -> CellStep:
    """Return the tasks of drained cells to the backlog, a limited number per tick."""
    for cell in owned_cells(tables):
        if not cell_domains.is_drained(tables, cell):
            continue
        drained_tasks = [
            task
            for phase in DRAINABLE_PHASES
            for task in tables.tasks.rows_where(
                "phase", phase_index(cell=cell.name, phase=phase)
            )
        ]
        ending = Return(reason="its failure domain was taken out of service")
        for task in drained_tasks[:MAX_EVICTIONS_PER_TICK]:
            tables = cell_stop.plan_ending(tables, task, ending, now)
    return Step(tables=tables)


def cancel(tables: CellOwnerTables, now: float) -> CellStep:
    """Cancel the tasks of cancelled records, a limited number per tick."""
    ending = Cancel(reason="its record was cancelled")
    for key in sorted(tables.cancellations):
        tasks = [
            task
            for task in tables.tasks.rows_where("record", key)
            if not isinstance(task.ending, Cancel)
        ]
        for task in tasks[:MAX_EVICTIONS_PER_TICK]:
            tables = cell_stop.plan_ending(tables, task, ending, now)
        if len(tasks) <= MAX_EVICTIONS_PER_TICK:
            tables = replace(tables, cancellations=tables.cancellations.drop(key))
    return Step(tables=tables)


@cell_rows.handle_record.register
def _(record: ServiceRecord, tables: CellOwnerTables, now: float) -> CellOwnerTables:
    """Cancel replicas in excess of the service's replica count."""
    ending = Cancel(reason="its service asks for fewer replicas")
    key = f"record/service/{record.name}"
    for task in tables.tasks.rows_where("record", key):
        if task.row.spec.index >= record.replicas:
            tables = cell_stop.plan_ending(tables, task, ending, now)
    return tables


def evict_over_capacity(tables: CellOwnerTables, now: float) -> CellStep:
    """Evict batch tasks from workers whose tasks exceed their capacity."""
    commands: list[Command] = []
    for cell in owned_cells(tables):
        if not cell.capacity_check_due:
            continue
        any_over = False
        for worker in tables.workers.rows_where("cell", cell.name):
            held = held_capacity(tables, worker.worker_id)
            if not held.fits(worker.capacity):
                any_over = True
                step = _evict_excess(cell, worker, held, tables, now)
                tables = step.tables
                commands.extend(step.commands)
        kept = replace(tables.cells.by_key[cell.name], capacity_check_due=any_over)
        tables = cell_rows.put_cell(tables, kept)
    return Step(tables=tables, commands=tuple(commands))


def _evict_excess(
    cell: Cell, worker: Worker, held: Resources, tables: CellOwnerTables, now: float
) -> CellStep:
    running = tables.tasks.rows_where("worker", worker.worker_id)
    excess = _excess(held, worker.capacity)
    free_after_stops = stopping_size(running)
    ending = Requeue(reason=f"{worker.worker_id} holds more than its capacity")
    commands: list[Command] = []
    for task in _choose_evictions(excess, free_after_stops, running):
        tables = cell_stop.plan_ending(tables, task, ending, now)
        commands.extend(eviction_commands(cell, task, ending.reason))
    return Step(tables=tables, commands=tuple(commands))


def _excess(held: Resources, capacity: Resources) -> Resources:
    over = held.minus(capacity)
    return Resources(
        processors_m=max(0, over.processors_m),
        memory_mb=max(0, over.memory_mb),
        accelerators=max(0, over.accelerators),
    )


def _choose_evictions(
    excess: Resources, free_after_stops: Resources, running: list[Task]
) -> tuple[Task, ...]:
    """Return the tasks to evict: all evictable ones if even those are not enough.

    None are returned if the tasks that are being stopped already free the excess.
    """
    if excess.fits(free_after_stops):
        return ()
    victims = choose_victims(needed=excess, free=free_after_stops, running=running)
    return victims or tuple(task for task in running if is_evictable(task))


def return_waiting_tasks(tables: CellOwnerTables, now: float) -> CellStep:
    """Return tasks to the backlog that may not or could not start in their cell.

    A cell with a task to be retried is marked for placement, since the end of the
    retry delay alone does not mark it.
    """
    for cell in owned_cells(tables):
        if now < cell.sweep_at:
            continue
        swept = replace(cell, sweep_at=now + WAITING_SWEEP_INTERVAL_S)
        tables = cell_rows.put_cell(tables, swept)
        value = phase_index(cell=cell.name, phase=Phase.WAITING)
        for task in tables.tasks.rows_where("phase", value):
            ending = _return_ending(tables, cell, task, now)
            if task.retry_at:
                tables = cell_rows.touch_cell(tables, cell.name)
            if ending is not None:
                tables = cell_stop.plan_ending(tables, task, ending, now)
    return Step(tables=tables)


def _return_ending(
    tables: CellOwnerTables, cell: Cell, task: Task, now: float
) -> Return | None:
    domain = cell_rows.failure_domain_of(tables, cell.name)
    if domain and not cell_place.may_run_in(task, domain):
        return Return(reason=f"the task may not run in failure domain {domain}")
    if now - task.since >= RETURN_TO_BACKLOG_DELAY_S:
        why = task.skip_reason or "no start committed"
        return Return(reason=f"the task could not start in {cell.name}: {why}")
    return None
