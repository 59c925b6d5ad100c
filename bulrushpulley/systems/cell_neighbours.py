"""Adds to the rooms of a cell what is known of a task's neighbours there."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.task import Task
from bulrushpulley.systems import cell_learn, cell_throttle
from bulrushpulley.systems.cell_choice import Room
from bulrushpulley.systems.cell_relief import LEAST_HARM


def with_neighbours(
    tables: CellOwnerTables, task: Task, rooms: Iterable[Room]
) -> tuple[Room, ...]:
    """Return the rooms with what a task would meet and cause there."""
    if task.row.spec.task_class is TaskClass.BATCH:
        return tuple(
            replace(room, expected_part=_with_job(tables, task, room.worker.worker_id))
            for room in rooms
        )
    return _for_service(tables, task, tuple(rooms))


def _with_job(tables: CellOwnerTables, task: Task, worker_id: str) -> float:
    """Return the expected latency, as a part of its target, of the worst service.

    It is zero if the job is not known to harm a service there.
    """
    job = task.row.spec.record_key
    worst = 0.0
    for latency in tables.latencies.rows_where("worker", worker_id):
        added_ms = cell_learn.estimate(tables, latency.service, job)
        if added_ms < LEAST_HARM * latency.target_ms:
            continue
        modelled_ms = _modelled_ms(tables, latency.service, worker_id)
        expected_ms = max(latency.smoothed_ms, modelled_ms) + added_ms
        worst = max(worst, expected_ms / latency.target_ms)
    return worst


def _modelled_ms(tables: CellOwnerTables, service: str, worker_id: str) -> float:
    """Return the latency that is to be expected of a service beside what runs."""
    total_ms = cell_learn.estimate(tables, service, "")
    for task in tables.tasks.rows_where("worker", worker_id):
        if task.row.spec.task_class is TaskClass.BATCH:
            harm_ms = cell_learn.estimate(tables, service, task.row.spec.record_key)
            total_ms += harm_ms * cell_throttle.share_of(tables, task)
    return total_ms


def _for_service(
    tables: CellOwnerTables, task: Task, rooms: tuple[Room, ...]
) -> tuple[Room, ...]:
    spec = task.row.spec
    record = cell_learn.service_of(tables, task)
    target_ms = float(record.latency_target_ms) if record else 1.0
    siblings = tables.tasks.rows_where("record", spec.record_key)
    by_worker = Counter(sibling.worker_id for sibling in siblings)
    by_rack: Counter[str] = Counter()
    for worker_id, count in by_worker.items():
        worker = tables.workers.get(worker_id)
        if worker is not None:
            by_rack[worker.rack] += count
    return tuple(
        replace(
            room,
            replicas=by_worker[room.worker.worker_id],
            rack_replicas=by_rack[room.worker.rack],
            expected_part=_modelled_ms(tables, spec.job, room.worker.worker_id)
            / target_ms,
        )
        for room in rooms
    )
