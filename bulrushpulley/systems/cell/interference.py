"""Limits the interference of batch tasks with the services on their worker.

When a service is degraded, one action is taken on its worker, and no other before
measurements, which arrive late, can show the effect. While no service of a worker is
degraded and none is expected to be, the shares of throttled tasks are raised in
steps; each degradation after a step doubles the wait before the next one. After a
longer wait a share is raised even if that is expected to degrade a service, since an
estimate that is too high could never be corrected otherwise.
"""

from __future__ import annotations

from bulrushpulley.entities.cell import Cell
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.interference import Relief, ServiceLatency, Throttle
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import Phase, Task
from bulrushpulley.systems.cell import evict as cell_evict
from bulrushpulley.systems.cell import learn as cell_learn
from bulrushpulley.systems.cell import throttle as cell_throttle
from bulrushpulley.systems.cell.owner_events import CellStep
from bulrushpulley.systems.cell.relief import (
    ReliefCase,
    ReliefPolicy,
    ThrottleFirst,
    relieve,
    throttle_decision,
)

RELIEF_POLICY: ReliefPolicy = ThrottleFirst()
SETTLING_TIME_S = cell_learn.USAGE_LAG_S + 5.0
MAX_RAISE_DELAY_S = 600.0
SHARE_STEP = 0.25
SAFE_LATENCY_RATIO = 0.9
FORCED_RAISE_DELAY_FACTOR = 4


def limit_interference(tables: CellOwnerTables, now: float) -> CellStep:
    """Relieve degraded services and raise shares on the workers of owned cells."""
    tables = _drop_stale_latencies(tables)
    commands: list[Command] = []
    for cell in cell_evict.owned_cells(tables):
        for worker in tables.workers.rows_where("cell", cell.name):
            step = _relieve_worker(cell, worker.worker_id, tables, now)
            tables = step.tables
            commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def _drop_stale_latencies(tables: CellOwnerTables) -> CellOwnerTables:
    """Drop the latencies of service tasks that no longer run."""
    latencies = tables.latencies
    for latency in latencies.rows():
        task = tables.tasks.get(latency.task_key)
        running = task is not None and task.phase is Phase.RUNNING
        if task is None or not running or task.row.generation != latency.generation:
            latencies = latencies.drop(latency.task_key)
    return replace(tables, latencies=latencies)


def _relieve_worker(
    cell: Cell, worker_id: str, tables: CellOwnerTables, now: float
) -> CellStep:
    latencies = tables.latencies.rows_where("worker", worker_id)
    degraded = [latency for latency in latencies if latency.degraded]
    relief = tables.reliefs.get(worker_id)
    if not degraded:
        return _raise_next_share(cell, worker_id, latencies, tables, now)
    if relief is not None and now - relief.acted_at < SETTLING_TIME_S:
        return Step(tables=tables)
    worst = max(degraded, key=lambda row: row.smoothed_ms / row.target_ms)
    task = tables.tasks.by_key[worst.task_key]
    case = ReliefCase(cell=cell, latency=worst, department=task.row.spec.department)
    step = relieve(RELIEF_POLICY, case, tables, now)
    if not step.commands:
        return step
    raise_delay_s = relief.raise_delay_s if relief else SETTLING_TIME_S
    if relief is not None and relief.raised_share:
        raise_delay_s = min(MAX_RAISE_DELAY_S, 2 * raise_delay_s)
    acted = Relief(worker_id=worker_id, acted_at=now, raise_delay_s=raise_delay_s)
    return Step(tables=_put_relief(step.tables, acted), commands=step.commands)


def _put_relief(tables: CellOwnerTables, relief: Relief) -> CellOwnerTables:
    return replace(tables, reliefs=tables.reliefs.put(relief.worker_id, relief))


def _raise_next_share(
    cell: Cell,
    worker_id: str,
    latencies: list[ServiceLatency],
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    relief = tables.reliefs.get(worker_id)
    if relief is None or now - relief.acted_at < relief.raise_delay_s:
        return Step(tables=tables)
    throttled = [
        throttle
        for throttle in tables.throttles.rows_where("worker", worker_id)
        if throttle.share < cell_throttle.FULL_SHARE and throttle.confirmed
    ]
    forced = now - relief.acted_at >= FORCED_RAISE_DELAY_FACTOR * relief.raise_delay_s
    for throttle in sorted(throttled, key=lambda row: (row.changed_at, row.task_key)):
        task = tables.tasks.get(throttle.task_key)
        increase = min(SHARE_STEP, cell_throttle.FULL_SHARE - throttle.share)
        if task is None:
            continue
        if not forced and not _is_safe(tables, task, increase, latencies):
            continue
        return _raise_share(cell, relief, task, throttle, increase, tables, now)
    if not throttled and now - relief.acted_at >= MAX_RAISE_DELAY_S:
        tables = replace(tables, reliefs=tables.reliefs.drop(worker_id))
    return Step(tables=tables)


def _is_safe(
    tables: CellOwnerTables,
    task: Task,
    increase: float,
    latencies: list[ServiceLatency],
) -> bool:
    """Tell whether all services are expected to stay below target after the raise.

    `SAFE_LATENCY_RATIO` keeps a margin to the target.
    """
    job = task.row.spec.record_key
    return all(
        latency.smoothed_ms
        + increase * cell_learn.estimated_harm_ms(tables, latency.service, job)
        <= SAFE_LATENCY_RATIO * latency.target_ms
        for latency in latencies
    )


def _raise_share(
    cell: Cell,
    relief: Relief,
    task: Task,
    throttle: Throttle,
    increase: float,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    share = round(throttle.share + increase, 2)
    tables = cell_throttle.set_share(tables, task, share, now)
    raised = replace(relief, acted_at=now, raised_share=True)
    reason = f"no service is degraded; share {throttle.share:.2f} to {share:.2f}"
    return Step(
        tables=_put_relief(tables, raised),
        commands=(throttle_decision(cell, task, reason),),
    )
