"""Chooses the batch tasks to evict so that another task fits."""

from __future__ import annotations

from collections.abc import Sequence

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.task import STOPPABLE_PHASES, Task


def may_preempt(task: Task) -> bool:
    """Tell whether batch tasks may be evicted for a task."""
    spec = task.row.spec
    return spec.urgent or spec.task_class is TaskClass.LATENCY_CRITICAL


def is_evictable(task: Task) -> bool:
    """Tell whether a task that may be running can be evicted for another."""
    spec = task.row.spec
    batch = spec.task_class is TaskClass.BATCH
    return batch and not spec.urgent and task.phase in STOPPABLE_PHASES


def choose_victims(
    *, needed: Resources, free: Resources, running: Sequence[Task]
) -> tuple[Task, ...]:
    """Return the tasks to evict so that `needed` fits, or none if it cannot fit.

    The lowest priority is evicted first, then the newest, which loses the least
    work. A victim that later ones make unnecessary is not evicted.
    """
    candidates = sorted(
        (task for task in running if is_evictable(task)),
        key=lambda task: (task.row.spec.priority, -task.since, task.key),
    )
    chosen: list[Task] = []
    for task in candidates:
        if needed.fits(free):
            break
        chosen.append(task)
        free = free.plus(task.row.spec.size)
    if not needed.fits(free):
        return ()
    return _drop_needless_victims(needed, free, chosen)


def _drop_needless_victims(
    needed: Resources, free: Resources, chosen: list[Task]
) -> tuple[Task, ...]:
    kept: list[Task] = []
    for task in chosen:
        without = free.minus(task.row.spec.size)
        if needed.fits(without):
            free = without
        else:
            kept.append(task)
    return tuple(kept)
