"""Learns from delayed measurements which jobs raise the latency of which services.

A measurement shows the worker as it was `USAGE_LAG_S` earlier, so it is attributed
to the batch tasks that ran then, each with its share at that time. The latency of a
service is modelled as its own latency plus, for each batch task on the worker, the
harm of the task's job times its share; `interference_step` corrects the estimates.
"""

from __future__ import annotations

from collections.abc import Mapping

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.interference import (
    Harm,
    JobUsage,
    ServiceLatency,
    Throttle,
    harm_key,
)
from bulrushpulley.entities.records import ServiceRecord
from bulrushpulley.entities.rows import RecordRow, TaskClass
from bulrushpulley.entities.task import Phase, Task, task_key
from bulrushpulley.entities.worker_calls import RunUsage, WorkerReported
from bulrushpulley.systems import interference_step
from bulrushpulley.systems.cell import degradation as cell_degradation

USAGE_LAG_S = 10.0
SERVICE_ALONE = ""
USAGE_WEIGHT = 0.2
LATENCY_WEIGHT = 0.3
INITIAL_OWN_LATENCY_RATIO = 0.5
MAX_LEARNED_ROWS = 2_048


def learn(
    event: WorkerReported, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    """Learn from the measurements of a report, except those of other generations."""
    cell = tables.workers.by_key[event.worker_id].cell
    for usage in event.usages:
        task = tables.tasks.get(task_key(cell=cell, task_id=usage.task_id))
        if task is None or not is_current_usage(task, usage, event.worker_id):
            continue
        if task.row.spec.task_class is TaskClass.BATCH:
            tables = _learn_usage(task, usage, tables, now)
        elif usage.latency_ms > 0.0:
            tables = _learn_latency(task, usage.latency_ms, tables, now)
    return tables


def is_current_usage(task: Task, usage: RunUsage, worker_id: str) -> bool:
    """Tell whether a measurement is of the generation that is running there now."""
    current = task.row.generation == usage.generation
    return current and task.phase is Phase.RUNNING and task.worker_id == worker_id


def _learn_usage(
    task: Task, usage: RunUsage, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    job = task.row.spec.record_key
    share = measured_share(tables.throttles.get(task.key), now)
    processors_m = usage.processors_m / share
    known = tables.job_usages.get(job)
    learned = JobUsage(
        job=job,
        processors_m=_smoothed(known.processors_m if known else None, processors_m),
        memory_mb=_smoothed(known.memory_mb if known else None, usage.memory_mb),
        at=now,
    )
    usages = tables.job_usages.put(job, learned)
    if len(usages) > MAX_LEARNED_ROWS:
        oldest = min(usages.rows(), key=lambda row: row.at)
        usages = usages.drop(oldest.job)
    return replace(tables, job_usages=usages)


def _smoothed(known: float | None, sample: float) -> float:
    return sample if known is None else known + USAGE_WEIGHT * (sample - known)


def measured_share(throttle: Throttle | None, now: float) -> float:
    """Return the share in effect when the measurements that arrive now were taken."""
    if throttle is None:
        return 1.0
    taken_before_change = now - throttle.changed_at < USAGE_LAG_S
    return throttle.share_before if taken_before_change else throttle.share


def service_of(tables: CellOwnerTables, task: Task) -> ServiceRecord | None:
    """Return the service record of a task, if it is known."""
    found = tables.records.get(task.row.spec.record_key)
    record = found.row.record if found and isinstance(found.row, RecordRow) else None
    return record if isinstance(record, ServiceRecord) else None


def _learn_latency(
    task: Task, sample_ms: float, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    service = service_of(tables, task)
    if service is None:
        return tables
    tables = _correct_harms(service, task.worker_id, sample_ms, tables, now)
    target_ms = float(service.latency_target_ms)
    known = tables.latencies.get(task.key)
    if known is None or known.generation != task.row.generation:
        known = ServiceLatency(
            task_key=task.key,
            worker_id=task.worker_id,
            service=service.name,
            generation=task.row.generation,
            target_ms=target_ms,
            smoothed_ms=sample_ms,
            changed_at=float("-inf"),
        )
    smoothed_ms = known.smoothed_ms + LATENCY_WEIGHT * (sample_ms - known.smoothed_ms)
    latency = replace(known, smoothed_ms=smoothed_ms, target_ms=target_ms)
    updated = cell_degradation.update_degraded(latency, now)
    return replace(tables, latencies=tables.latencies.put(task.key, updated))


def _shares_by_job(
    tables: CellOwnerTables, worker_id: str, now: float
) -> Mapping[str, float]:
    """Return each job's sum of shares on a worker when the sample was taken."""
    by_job: dict[str, float] = {}
    for task in tables.tasks.rows_where("worker", worker_id):
        ran = task.phase is Phase.RUNNING and now - task.since >= USAGE_LAG_S
        if ran and task.row.spec.task_class is TaskClass.BATCH:
            job = task.row.spec.record_key
            share = measured_share(tables.throttles.get(task.key), now)
            by_job[job] = by_job.get(job, 0.0) + share
    return by_job


def _correct_harms(
    service: ServiceRecord,
    worker_id: str,
    sample_ms: float,
    tables: CellOwnerTables,
    now: float,
) -> CellOwnerTables:
    share_by_job = {SERVICE_ALONE: 1.0, **_shares_by_job(tables, worker_id, now)}
    target_ms = float(service.latency_target_ms)
    harms = [harm_of(tables, service.name, job, target_ms, now) for job in share_by_job]
    for harm in interference_step.correct_estimates(
        harms, share_by_job, sample_ms, now
    ):
        tables = _put_harm(tables, harm)
    return tables


def harm_of(
    tables: CellOwnerTables, service: str, job: str, target_ms: float, now: float
) -> Harm:
    """Return the learned harm of a job, or the initial estimate."""
    known = tables.harms.get(harm_key(service=service, job=job))
    initial_ms = 0.0 if job else INITIAL_OWN_LATENCY_RATIO * target_ms
    return known or Harm(
        service=service, job=job, estimate_ms=initial_ms, variance=1.0, at=now
    )


def estimated_harm_ms(tables: CellOwnerTables, service: str, job: str) -> float:
    """Return the learned harm of a job to a service in milliseconds."""
    known = tables.harms.get(harm_key(service=service, job=job))
    return known.estimate_ms if known else 0.0


def _put_harm(tables: CellOwnerTables, harm: Harm) -> CellOwnerTables:
    harms = tables.harms.put(harm_key(service=harm.service, job=harm.job), harm)
    if len(harms) > MAX_LEARNED_ROWS:
        oldest = min(harms.rows(), key=lambda row: row.at)
        harms = harms.drop(harm_key(service=oldest.service, job=oldest.job))
    return replace(tables, harms=harms)
