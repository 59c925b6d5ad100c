"""The workers that accept tasks, with the capacity not used by tasks there."""

from __future__ import annotations

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.worker import Health, Worker
from bulrushpulley.systems.cell.placement_policy import Candidate
from bulrushpulley.systems.cell.stop import is_unreachable


def held_capacity(tables: CellOwnerTables, worker_id: str) -> Resources:
    """Return the total size of the tasks that may be running on a worker."""
    total = NO_RESOURCES
    for key in tables.tasks.keys_where("worker", worker_id):
        total = total.plus(tables.tasks.by_key[key].row.spec.size)
    return total


def accepts_tasks(tables: CellOwnerTables, worker: Worker, now: float) -> bool:
    """Tell whether tasks may be placed on a worker.

    It must have reported its runs, all of which the owner must have assigned to it,
    and have answered since a call to it last failed. A probing worker gets a task
    only while it has none.
    """
    if not worker.present or worker.reported_at is None or worker.unexpected_runs:
        return False
    if worker.unanswered_at is not None:
        return False
    if is_unreachable(worker, now) or worker.health is Health.QUARANTINED:
        return False
    busy = tables.tasks.count_where("worker", worker.worker_id) > 0
    return worker.health is Health.HEALTHY or not busy


def candidates_of(
    tables: CellOwnerTables, cell: str, now: float
) -> tuple[Candidate, ...]:
    """Return the workers of a cell that accept tasks, with their free resources."""
    return tuple(
        Candidate(
            worker=worker,
            free=worker.capacity.minus(held_capacity(tables, worker.worker_id)),
        )
        for worker in tables.workers.rows_where("cell", cell)
        if accepts_tasks(tables, worker, now)
    )
