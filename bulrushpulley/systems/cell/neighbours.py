"""Adds to candidate workers what is known of a task's neighbours there."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.interference import JobStart
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.task import Task
from bulrushpulley.systems.cell import learn as cell_learn
from bulrushpulley.systems.cell.placement_policy import Candidate
from bulrushpulley.systems.cell.relief import MIN_HARM_RATIO

FIRST_EFFECT_WAIT_S = cell_learn.USAGE_LAG_S + 5.0


def with_neighbours(
    tables: CellOwnerTables, task: Task, candidates: Iterable[Candidate], now: float
) -> tuple[Candidate, ...]:
    """Return the candidates with the task's neighbours and expected latencies."""
    if task.row.spec.task_class is TaskClass.BATCH:
        return tuple(
            replace(
                candidate,
                expected_latency_ratio=_latency_ratio_with_job(
                    tables, task, candidate.worker.worker_id
                ),
                effect_pending=_is_effect_pending(
                    tables, task, candidate.worker.worker_id, now
                ),
            )
            for candidate in candidates
        )
    return _with_service_neighbours(tables, task, tuple(candidates))


def record_first_start(
    tables: CellOwnerTables, task: Task, worker_id: str, now: float
) -> CellOwnerTables:
    """Record the first start of a job on a worker that runs a service."""
    job = task.row.spec.record_key
    services = tables.latencies.count_where("worker", worker_id)
    if job in tables.job_starts or not services:
        return tables
    starts = tables.job_starts.put(job, JobStart(job=job, at=now))
    if len(starts) > cell_learn.MAX_LEARNED_ROWS:
        starts = starts.drop(min(starts.rows(), key=lambda row: row.at).job)
    return replace(tables, job_starts=starts)


def _is_effect_pending(
    tables: CellOwnerTables, task: Task, worker_id: str, now: float
) -> bool:
    """Tell whether the effect of the job's first task there is not measured yet."""
    job = task.row.spec.record_key
    start = tables.job_starts.get(job)
    if start is None or now - start.at >= FIRST_EFFECT_WAIT_S:
        return False
    if not tables.latencies.count_where("worker", worker_id):
        return False
    siblings = tables.tasks.rows_where("record", job)
    return any(sibling.worker_id == worker_id for sibling in siblings)


def _latency_ratio_with_job(
    tables: CellOwnerTables, task: Task, worker_id: str
) -> float:
    """Return the highest expected ratio of a service's latency to its target.

    It is zero if the job is not known to harm a service there.
    """
    job = task.row.spec.record_key
    worst = 0.0
    for latency in tables.latencies.rows_where("worker", worker_id):
        added_ms = cell_learn.estimated_harm_ms(tables, latency.service, job)
        if added_ms < MIN_HARM_RATIO * latency.target_ms:
            continue
        modelled_ms = _modelled_ms(tables, latency.service, worker_id)
        expected_ms = max(latency.smoothed_ms, modelled_ms) + added_ms
        worst = max(worst, expected_ms / latency.target_ms)
    return worst


def _modelled_ms(tables: CellOwnerTables, service: str, worker_id: str) -> float:
    """Return the expected latency of a service next to the tasks of a worker.

    Throttled tasks count at full speed, so that no new task takes up what their
    throttles have freed.
    """
    total_ms = cell_learn.estimated_harm_ms(tables, service, "")
    for task in tables.tasks.rows_where("worker", worker_id):
        if task.row.spec.task_class is TaskClass.BATCH:
            job = task.row.spec.record_key
            total_ms += cell_learn.estimated_harm_ms(tables, service, job)
    return total_ms


def _with_service_neighbours(
    tables: CellOwnerTables, task: Task, candidates: tuple[Candidate, ...]
) -> tuple[Candidate, ...]:
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
            candidate,
            replicas=by_worker[candidate.worker.worker_id],
            rack_replicas=by_rack[candidate.worker.rack],
            expected_latency_ratio=_modelled_ms(
                tables, spec.job, candidate.worker.worker_id
            )
            / target_ms,
        )
        for candidate in candidates
    )
