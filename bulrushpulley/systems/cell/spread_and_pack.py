"""The placement policy that spreads replicas of services and packs batch tasks."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.task import Task
from bulrushpulley.systems.cell.placement_policy import (
    Candidate,
    Choice,
    PlacementPolicy,
    choose_worker,
)

MAX_EXPECTED_LATENCY_RATIO = 1.0
PLACEMENT_RETRY_DELAY_S = 2.0
# Less than the 30 s after which a waiting task is returned from its cell.
MAX_PLACEMENT_DEFERRAL_S = 20.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadAndPack(PlacementPolicy):
    """Spreads replicas over the least loaded workers; places batch tasks by best fit.

    A batch task is not placed where it is expected to raise the latency of a service
    above its target, nor next to the first task of its job until the effect of that
    task is measured. If it is urgent or has waited `MAX_PLACEMENT_DEFERRAL_S`, it is
    placed where it does the least harm; otherwise its job could wait for as long as
    the service runs.
    """


@choose_worker.register
def _(
    policy: SpreadAndPack,
    task: Task,
    candidates: Sequence[Candidate],
    avoid: frozenset[str],
    now: float,
) -> Choice:
    spec = task.row.spec
    fitting = [candidate for candidate in candidates if spec.size.fits(candidate.free)]
    if not fitting:
        reason = "no worker has room" if candidates else "no worker accepts tasks"
        return Choice(worker_id="", reason=reason, passed_over=_worker_ids(candidates))
    if spec.task_class is TaskClass.BATCH:
        return _choose_for_batch(task, candidates, fitting, avoid, now)
    best = min(fitting, key=lambda candidate: _service_order(candidate, avoid))
    return _choice(best, candidates, "least loaded, replicas spread")


def _choose_for_batch(
    task: Task,
    candidates: Sequence[Candidate],
    fitting: list[Candidate],
    avoid: frozenset[str],
    now: float,
) -> Choice:
    spec = task.row.spec
    deferral_over = now - task.since >= MAX_PLACEMENT_DEFERRAL_S
    measured = [candidate for candidate in fitting if not candidate.effect_pending]
    harmless = [
        candidate
        for candidate in measured
        if candidate.expected_latency_ratio <= MAX_EXPECTED_LATENCY_RATIO
    ]
    if not harmless and not spec.urgent and not deferral_over:
        return Choice(
            worker_id="",
            reason=_deferral_reason(measured),
            passed_over=_worker_ids(candidates),
            retry_delay_s=PLACEMENT_RETRY_DELAY_S,
        )
    best = min(
        harmless or fitting,
        key=lambda candidate: _batch_order(candidate, spec.size, avoid),
    )
    return _choice(best, candidates, "best fit with the least harm to services")


def _deferral_reason(measured: list[Candidate]) -> str:
    if measured:
        return "it would raise the latency of a service above its target"
    return "the effect of its job's first task on services is not measured yet"


def _choice(best: Candidate, candidates: Sequence[Candidate], reason: str) -> Choice:
    others = tuple(candidate for candidate in candidates if candidate is not best)
    return Choice(
        worker_id=best.worker.worker_id, reason=reason, passed_over=_worker_ids(others)
    )


def _worker_ids(candidates: Sequence[Candidate]) -> tuple[str, ...]:
    return tuple(candidate.worker.worker_id for candidate in candidates)


def _service_order(
    candidate: Candidate, avoid: frozenset[str]
) -> tuple[bool, int, int, bool, float, str]:
    worker = candidate.worker
    return (
        worker.worker_id in avoid,
        candidate.rack_replicas,
        candidate.replicas,
        candidate.expected_latency_ratio > MAX_EXPECTED_LATENCY_RATIO,
        -_free_fraction(candidate.free, worker.capacity),
        worker.worker_id,
    )


def _batch_order(
    candidate: Candidate, size: Resources, avoid: frozenset[str]
) -> tuple[bool, float, float, str]:
    worker = candidate.worker
    remaining_fraction = _free_fraction(candidate.free.minus(size), worker.capacity)
    harm = round(candidate.expected_latency_ratio, 1)
    return (worker.worker_id in avoid, harm, remaining_fraction, worker.worker_id)


def _free_fraction(free: Resources, capacity: Resources) -> float:
    """Return the mean of the free fractions of processors and memory."""
    processors = free.processors_m / max(1, capacity.processors_m)
    memory = free.memory_mb / max(1, capacity.memory_mb)
    return (processors + memory) / 2
