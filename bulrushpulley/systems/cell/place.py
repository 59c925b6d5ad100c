"""Places waiting tasks on workers, for cells in which something has changed.

Latency-critical and urgent tasks come first and may have batch tasks evicted.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from bulrushpulley.entities.cell import Cell, CellPhase
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import Phase, Task, phase_index
from bulrushpulley.entities.worker import Health
from bulrushpulley.systems.cell import domains as cell_domains
from bulrushpulley.systems.cell import neighbours as cell_neighbours
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import start as cell_start
from bulrushpulley.systems.cell.choice import (
    Choice,
    Policy,
    Room,
    choose_worker,
)
from bulrushpulley.systems.cell.owner_events import CellStep
from bulrushpulley.systems.cell.preempt import make_room
from bulrushpulley.systems.cell.rooms import rooms_of
from bulrushpulley.systems.cell.spread import SpreadAndPack
from bulrushpulley.systems.cell.victims import may_preempt

PLACED_PER_TICK = 128
POLICY: Policy = SpreadAndPack()


def place(tables: CellOwnerTables, now: float) -> CellStep:
    """Start what fits in the owned cells that have changed."""
    commands: list[Command] = []
    for cell in tables.cells.rows():
        due = cell.place_due and cell.phase is CellPhase.OWNED
        if not due or tables.leaving or not cell_domains.in_service(tables, cell):
            continue
        step = _place_cell(cell, tables, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def may_run_in(task: Task, failure_domain: str) -> bool:
    """Tell whether a task's record lets it run in a failure domain."""
    allowed = task.row.spec.failure_domains
    return not allowed or failure_domain in allowed


def order(task: Task) -> tuple[bool, bool, int, float, str]:
    """Return the sort key: latency-critical, urgent, priority, then age."""
    spec = task.row.spec
    batch = spec.task_class is TaskClass.BATCH
    return (batch, not spec.urgent, -spec.priority, task.since, task.key)


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The state of one pass over the waiting tasks of a cell."""

    rooms: Mapping[str, Room]
    tables: CellOwnerTables
    commands: tuple[Command, ...] = ()


def _place_cell(cell: Cell, tables: CellOwnerTables, now: float) -> CellStep:
    value = phase_index(cell=cell.name, phase=Phase.WAITING)
    domain = cell_rows.failure_domain_of(tables, cell.name)
    ready = [
        task
        for task in tables.tasks.rows_where("phase", value)
        if now >= task.retry_at and may_run_in(task, domain)
    ]
    waiting = sorted(ready, key=order)
    if not waiting:
        idle = replace(cell, place_due=False)
        return Step(tables=cell_rows.put_cell(tables, idle))
    rooms = {room.worker.worker_id: room for room in rooms_of(tables, cell.name, now)}
    passed = Placement(rooms=rooms, tables=tables)
    for task in waiting[:PLACED_PER_TICK]:
        passed = _place_task(cell, task, passed, now)
    left = len(waiting) > PLACED_PER_TICK
    done = replace(passed.tables.cells.by_key[cell.name], place_due=left)
    tables = cell_rows.put_cell(passed.tables, done)
    return Step(tables=tables, commands=passed.commands)


def _place_task(cell: Cell, task: Task, passed: Placement, now: float) -> Placement:
    tables, rooms = passed.tables, passed.rooms
    avoid = failed_on(tables, task)
    sound = sound_rooms(tables, task, tuple(rooms.values()))
    known = cell_neighbours.with_neighbours(tables, task, sound, now)
    choice = choose_worker(POLICY, task, known, avoid, now)
    if choice.worker_id:
        tables = cell_neighbours.note_start(tables, task, choice.worker_id, now)
        started = cell_start.commit_start(tables, cell, task, choice.worker_id, now)
        line = _decision(cell, task, choice, tables)
        return Placement(
            rooms=_taken(rooms, choice.worker_id, task),
            tables=started,
            commands=(*passed.commands, line),
        )
    commands = passed.commands
    if task.skipped != choice.reason:
        skipped = replace(task, skipped=choice.reason)
        tables = cell_rows.put_task(tables, skipped)
        commands = (*commands, _decision(cell, task, choice, tables))
    if choice.retry_s:
        later = replace(task, skipped=choice.reason, retry_at=now + choice.retry_s)
        tables = cell_rows.put_task(tables, later)
    if not may_preempt(task):
        return Placement(rooms=rooms, tables=tables, commands=commands)
    made = make_room(cell, task, rooms.values(), tables, now)
    return Placement(
        rooms=_without(rooms, made.worker_id),
        tables=made.tables,
        commands=(*commands, *made.commands),
    )


def _without(rooms: Mapping[str, Room], worker_id: str) -> Mapping[str, Room]:
    return {key: room for key, room in rooms.items() if key != worker_id}


def _taken(rooms: Mapping[str, Room], worker_id: str, task: Task) -> Mapping[str, Room]:
    room = rooms[worker_id]
    if room.worker.health is Health.PROBING:
        return _without(rooms, worker_id)
    left = replace(room, free=room.free.minus(task.row.spec.size))
    return {**rooms, worker_id: left}


def failed_on(tables: CellOwnerTables, task: Task) -> frozenset[str]:
    """Return the workers on which tasks of the same record have failed."""
    failures = tables.failures.rows_where("record", task.row.spec.record_key)
    return frozenset(failure.worker_id for failure in failures)


def sound_rooms(
    tables: CellOwnerTables, task: Task, rooms: Sequence[Room]
) -> tuple[Room, ...]:
    """Leave out the workers on which this very task failed, while others could run it.

    A worker that fails everything is always the emptiest one; a task that came back
    to it at once would use up its attempts there before the evidence is complete.
    """
    failures = tables.failures.rows_where("task", task.key)
    failed = {failure.worker_id for failure in failures}
    sound = tuple(room for room in rooms if room.worker.worker_id not in failed)
    size = task.row.spec.size
    if any(size.fits(room.worker.capacity) for room in sound):
        return sound
    return tuple(rooms)


def _decision(
    cell: Cell, task: Task, choice: Choice, tables: CellOwnerTables
) -> Decision:
    return Decision(
        kind="task.start" if choice.worker_id else "task.skip",
        subject=task.row.spec.task_id,
        chosen=choice.worker_id,
        reason=choice.reason,
        passed_over=choice.passed_over,
        revision=tables.revision,
        epoch=cell.epoch,
    )
