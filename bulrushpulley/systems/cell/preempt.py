"""Evicts batch tasks so that a latency-critical or urgent task fits."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bulrushpulley.entities.cell import Cell
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.step import Command
from bulrushpulley.entities.task import Phase, Requeue, Task
from bulrushpulley.systems.cell import stop as cell_stop
from bulrushpulley.systems.cell.placement_policy import Candidate
from bulrushpulley.systems.cell.victims import choose_victims


@dataclass(frozen=True, kw_only=True, slots=True)
class Preemption:
    """The worker on which the task will fit, or the empty string."""

    worker_id: str
    tables: CellOwnerTables
    commands: tuple[Command, ...] = ()


def stopping_size(tasks: Iterable[Task]) -> Resources:
    """Return the total size of the tasks that are being stopped."""
    total = NO_RESOURCES
    for task in tasks:
        if task.phase is Phase.STOPPING:
            total = total.plus(task.row.spec.size)
    return total


def preempt_batch_tasks(
    cell: Cell,
    task: Task,
    candidates: Iterable[Candidate],
    tables: CellOwnerTables,
    now: float,
) -> Preemption:
    """Evict batch tasks from the first worker on which a task would then fit.

    Nothing is evicted where the task fits after the tasks being stopped have ended.
    """
    size = task.row.spec.size
    for candidate in candidates:
        worker_id = candidate.worker.worker_id
        running = tables.tasks.rows_where("worker", worker_id)
        free_after_stops = candidate.free.plus(stopping_size(running))
        victims = choose_victims(needed=size, free=free_after_stops, running=running)
        if not victims and not size.fits(free_after_stops):
            continue
        commands: list[Command] = []
        for victim in victims:
            ending = Requeue(reason=f"evicted for {task.row.spec.task_id}")
            tables = cell_stop.plan_ending(tables, victim, ending, now)
            commands.extend(eviction_commands(cell, victim, ending.reason))
        return Preemption(worker_id=worker_id, tables=tables, commands=tuple(commands))
    return Preemption(worker_id="", tables=tables)


def eviction_commands(cell: Cell, task: Task, reason: str) -> tuple[Command, ...]:
    """Return the log line and the count of an eviction."""
    line = Decision(
        kind="task.evict",
        subject=task.row.spec.task_id,
        chosen=task.row.worker_id,
        reason=reason,
        epoch=cell.epoch,
    )
    return (line, Count(name="task_evictions", label=task.row.spec.department))
