"""The placement policy that knows neighbours: spread services, pack batch tasks."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.task import Task
from bulrushpulley.systems.cell.choice import Choice, Policy, Room, choose_worker

OVER_TARGET = 1.0
RETRY_S = 2.0
# Ends before a waiting task leaves its cell, which it does after 30 s.
HELD_BACK_S = 20.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadAndPack(Policy):
    """Spreads replicas to the least loaded workers and best-fits batch tasks.

    A batch task is not placed where it is expected to push a service over its
    target, nor beside the first task of its job while that one shows its effect,
    unless it is urgent or has waited `HELD_BACK_S`: then the least harmful worker
    takes it, so that no job waits for as long as a service runs.
    """


@choose_worker.register
def _(
    policy: SpreadAndPack,
    task: Task,
    rooms: Sequence[Room],
    avoid: frozenset[str],
    now: float,
) -> Choice:
    spec = task.row.spec
    fitting = [room for room in rooms if spec.size.fits(room.free)]
    if not fitting:
        reason = "no worker has room" if rooms else "no worker takes tasks"
        return Choice(worker_id="", reason=reason, passed_over=_ids(rooms))
    if spec.task_class is TaskClass.BATCH:
        return _choose_for_batch(task, rooms, fitting, avoid, now)
    best = min(fitting, key=lambda room: _service_key(room, avoid))
    return _choice(best, rooms, "least loaded, replicas spread")


def _choose_for_batch(
    task: Task,
    rooms: Sequence[Room],
    fitting: list[Room],
    avoid: frozenset[str],
    now: float,
) -> Choice:
    spec = task.row.spec
    held_enough = now - task.since >= HELD_BACK_S
    unprobed = [room for room in fitting if not room.probed]
    harmless = [room for room in unprobed if room.expected_part <= OVER_TARGET]
    if not harmless and not spec.urgent and not held_enough:
        return Choice(
            worker_id="",
            reason=_refusal(unprobed),
            passed_over=_ids(rooms),
            retry_s=RETRY_S,
        )
    best = min(harmless or fitting, key=lambda room: _batch_key(room, spec.size, avoid))
    return _choice(best, rooms, "best fit beside services it does not harm")


def _refusal(unprobed: list[Room]) -> str:
    if unprobed:
        return "it would push a service over its target"
    return "the first tasks of its job show first what they do to services"


def _choice(best: Room, rooms: Sequence[Room], reason: str) -> Choice:
    others = tuple(room for room in rooms if room is not best)
    return Choice(
        worker_id=best.worker.worker_id, reason=reason, passed_over=_ids(others)
    )


def _ids(rooms: Sequence[Room]) -> tuple[str, ...]:
    return tuple(room.worker.worker_id for room in rooms)


def _service_key(
    room: Room, avoid: frozenset[str]
) -> tuple[bool, int, int, bool, float, str]:
    worker = room.worker
    return (
        worker.worker_id in avoid,
        room.rack_replicas,
        room.replicas,
        room.expected_part > OVER_TARGET,
        -_free_part(room.free, worker.capacity),
        worker.worker_id,
    )


def _batch_key(
    room: Room, size: Resources, avoid: frozenset[str]
) -> tuple[bool, float, float, str]:
    worker = room.worker
    left = _free_part(room.free.minus(size), worker.capacity)
    harm = round(room.expected_part, 1)
    return (worker.worker_id in avoid, harm, left, worker.worker_id)


def _free_part(free: Resources, capacity: Resources) -> float:
    """Return the mean of the free parts of processors and memory."""
    processors = free.processors_m / max(1, capacity.processors_m)
    memory = free.memory_mb / max(1, capacity.memory_mb)
    return (processors + memory) / 2
