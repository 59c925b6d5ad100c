"""Relief policies: reduce the load on the worker of a degraded service.

The departments' policy records give the weights: the more an eviction costs the
batch task's department relative to what latency costs the service's department, the
deeper batch tasks are throttled and the longer they keep running before one of them
is evicted.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from bulrushpulley.entities.cell import Cell
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.interference import ServiceLatency
from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.entities.records import PolicyRecord
from bulrushpulley.entities.rows import RecordRow
from bulrushpulley.entities.step import Step
from bulrushpulley.entities.task import Phase, Requeue, Task
from bulrushpulley.systems.cell import learn as cell_learn
from bulrushpulley.systems.cell import stop as cell_stop
from bulrushpulley.systems.cell import throttle as cell_throttle
from bulrushpulley.systems.cell.owner_events import CellStep
from bulrushpulley.systems.cell.preempt import eviction_commands
from bulrushpulley.systems.cell.victims import is_evictable

RELIEF_GOAL_LATENCY_RATIO = 0.75
MIN_HARM_RATIO = 0.05
BASE_MIN_SHARE = 0.25
MIN_SHARE_LOWER_LIMIT = 0.05
MIN_SHARE_UPPER_LIMIT = 0.5
BASE_EVICTION_DELAY_S = 30.0
MIN_EVICTION_DELAY_S = 15.0
MAX_EVICTION_DELAY_S = 240.0
NO_CHECKPOINT_LOSS_FACTOR = 2.0
MIN_SHARE_CUT = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class ReliefPolicy:
    """Base class for the relief policies."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleFirst(ReliefPolicy):
    """Throttles the most harmful tasks, then evicts the one that loses least work.

    While no task has a significant learned harm, one task is throttled: the one with
    the greatest learned harm, then with the most processors used.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class EvictNewest(ReliefPolicy):
    """Evicts the newest batch task without throttling."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NoRelief(ReliefPolicy):
    """Does nothing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReliefCase:
    """The most degraded service task of a worker, which is to be relieved."""

    cell: Cell
    latency: ServiceLatency
    department: str


@singledispatch
def relieve(
    policy: ReliefPolicy, case: ReliefCase, tables: CellOwnerTables, now: float
) -> CellStep:
    """Take one action for a degraded service, or return no commands."""
    raise NotImplementedError(type(policy).__name__)


@relieve.register
def _(
    policy: NoRelief, case: ReliefCase, tables: CellOwnerTables, now: float
) -> CellStep:
    return Step(tables=tables)


@relieve.register
def _(
    policy: EvictNewest, case: ReliefCase, tables: CellOwnerTables, now: float
) -> CellStep:
    neighbours = _evictable_neighbours(tables, case)
    if not neighbours:
        return Step(tables=tables)
    newest = max(neighbours, key=lambda task: (task.since, task.key))
    return _evict(case, newest, tables, now)


@relieve.register
def _(
    policy: ThrottleFirst, case: ReliefCase, tables: CellOwnerTables, now: float
) -> CellStep:
    neighbours = sorted(
        _evictable_neighbours(tables, case),
        key=lambda task: _harm_order(tables, case, task),
    )
    throttleable = [
        task
        for task in neighbours
        if cell_throttle.share_of(tables, task) - _min_share(tables, case, task)
        >= MIN_SHARE_CUT
    ]
    harmful = [
        task
        for task in throttleable
        if _harm_ms(tables, case, task) >= _min_harm_ms(case)
    ]
    if harmful or throttleable:
        return _throttle(case, harmful or throttleable[:1], tables, now)
    due = [task for task in neighbours if _is_eviction_due(tables, case, task, now)]
    if not due:
        return Step(tables=tables)
    victim = min(due, key=lambda task: (lost_work_s(task, now), task.key))
    return _evict(case, victim, tables, now)


def _evictable_neighbours(tables: CellOwnerTables, case: ReliefCase) -> list[Task]:
    tasks = tables.tasks.rows_where("worker", case.latency.worker_id)
    return [
        task for task in tasks if is_evictable(task) and task.phase is Phase.RUNNING
    ]


def _harm_ms(tables: CellOwnerTables, case: ReliefCase, task: Task) -> float:
    """Return what a task adds to the latency at its current share."""
    job = task.row.spec.record_key
    harm_ms = cell_learn.estimated_harm_ms(tables, case.latency.service, job)
    return harm_ms * cell_throttle.share_of(tables, task)


def _min_harm_ms(case: ReliefCase) -> float:
    return MIN_HARM_RATIO * case.latency.target_ms


def _harm_order(
    tables: CellOwnerTables, case: ReliefCase, task: Task
) -> tuple[float, float, str]:
    """Return the sort key: the greatest learned harm first, then processors used."""
    used = tables.job_usages.get(task.row.spec.record_key)
    processors = used.processors_m if used else task.row.spec.size.processors_m
    return (-_harm_ms(tables, case, task), -processors, task.key)


def lost_work_s(task: Task, now: float) -> float:
    """Return the work an eviction may lose, weighted higher without a checkpoint."""
    factor = 1.0 if task.row.checkpoint else NO_CHECKPOINT_LOSS_FACTOR
    return factor * (now - task.since)


def policy_of(tables: CellOwnerTables, department: str) -> PolicyRecord:
    """Return a department's policy record, or one with equal weights."""
    for found in tables.records.rows_where("policy_department", department):
        record = found.row.record if isinstance(found.row, RecordRow) else None
        if isinstance(record, PolicyRecord):
            return record
    return PolicyRecord(name="", department=department)


def _cost_ratio(tables: CellOwnerTables, case: ReliefCase, task: Task) -> float:
    """Return the cost of evicting a task relative to the cost of latency."""
    latency_weight = policy_of(tables, case.department).latency_weight
    evicted = policy_of(tables, task.row.spec.department)
    return evicted.eviction_weight / max(latency_weight, 0.01)


def _min_share(tables: CellOwnerTables, case: ReliefCase, task: Task) -> float:
    ratio = max(_cost_ratio(tables, case, task), 0.01)
    return min(
        MIN_SHARE_UPPER_LIMIT, max(MIN_SHARE_LOWER_LIMIT, BASE_MIN_SHARE / ratio)
    )


def _eviction_delay_s(tables: CellOwnerTables, case: ReliefCase, task: Task) -> float:
    delay_s = BASE_EVICTION_DELAY_S * _cost_ratio(tables, case, task)
    return min(MAX_EVICTION_DELAY_S, max(MIN_EVICTION_DELAY_S, delay_s))


def _is_eviction_due(
    tables: CellOwnerTables, case: ReliefCase, task: Task, now: float
) -> bool:
    """Tell whether a throttled task still does harm after its eviction delay."""
    throttle = tables.throttles.get(task.key)
    if throttle is None or _harm_ms(tables, case, task) < _min_harm_ms(case):
        return False
    return now - throttle.changed_at >= _eviction_delay_s(tables, case, task)


def _throttle(
    case: ReliefCase, tasks: list[Task], tables: CellOwnerTables, now: float
) -> CellStep:
    """Throttle as many tasks, and as deeply, as needed to reach the latency goal."""
    latency = case.latency
    needed_ms = latency.smoothed_ms - RELIEF_GOAL_LATENCY_RATIO * latency.target_ms
    commands: list[Decision | Count] = []
    for task in tasks:
        if needed_ms <= 0.0:
            break
        share = cell_throttle.share_of(tables, task)
        min_share = _min_share(tables, case, task)
        harm_ms = _harm_ms(tables, case, task)
        cut = share * min(1.0, needed_ms / max(harm_ms, _min_harm_ms(case)))
        lower = max(min_share, round(share - max(MIN_SHARE_CUT, cut), 2))
        needed_ms -= harm_ms * (share - lower) / share
        tables = cell_throttle.set_share(tables, task, lower, now)
        reason = (
            f"{latency.task_key} at {latency.smoothed_ms:.0f} ms of"
            f" {latency.target_ms:.0f} ms; share {share:.2f} to {lower:.2f}"
        )
        commands.append(throttle_decision(case.cell, task, reason))
        commands.append(Count(name="task_throttles", label=task.row.spec.department))
    return Step(tables=tables, commands=tuple(commands))


def throttle_decision(cell: Cell, task: Task, reason: str) -> Decision:
    """Return the log line of a change of share."""
    return Decision(
        kind="task.throttle",
        subject=task.row.spec.task_id,
        chosen=task.worker_id,
        reason=reason,
        epoch=cell.epoch,
    )


def _evict(
    case: ReliefCase, task: Task, tables: CellOwnerTables, now: float
) -> CellStep:
    ending = Requeue(reason=f"evicted beside {case.latency.task_key}, which suffers")
    tables = cell_stop.plan_ending(tables, task, ending, now)
    return Step(
        tables=tables, commands=eviction_commands(case.cell, task, ending.reason)
    )
