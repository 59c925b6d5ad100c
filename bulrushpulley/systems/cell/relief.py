"""Relieves a suffering service. Policies vary by type and stand side by side.

The departments' policy records say what is weighed: the more an eviction costs the
department of the batch work against the latency of the service's department, the
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
from bulrushpulley.systems.cell.preempt import eviction
from bulrushpulley.systems.cell.victims import evictable

AIM = 0.75
LEAST_HARM = 0.05
FLOOR = 0.25
LOWEST_FLOOR = 0.05
HIGHEST_FLOOR = 0.5
PATIENCE_S = 30.0
SHORTEST_PATIENCE_S = 15.0
LONGEST_PATIENCE_S = 240.0
UNSAVED_FACTOR = 2.0
LEAST_CUT = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class ReliefPolicy:
    """The base of the ways to relieve a service."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleFirst(ReliefPolicy):
    """Throttles what harms most, then evicts what loses least."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EvictNewest(ReliefPolicy):
    """Evicts the newest batch task at once."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveAlone(ReliefPolicy):
    """Does nothing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """The service task that suffers most on a worker."""

    cell: Cell
    latency: ServiceLatency
    department: str


@singledispatch
def relieve(
    policy: ReliefPolicy, case: Case, tables: CellOwnerTables, now: float
) -> CellStep:
    """Take one measure for a suffering service; no commands if there is none."""
    raise NotImplementedError(type(policy).__name__)


@relieve.register
def _(policy: LeaveAlone, case: Case, tables: CellOwnerTables, now: float) -> CellStep:
    return Step(tables=tables)


@relieve.register
def _(policy: EvictNewest, case: Case, tables: CellOwnerTables, now: float) -> CellStep:
    beside = _beside(tables, case)
    if not beside:
        return Step(tables=tables)
    newest = max(beside, key=lambda task: (task.since, task.key))
    return _evict(case, newest, tables, now)


@relieve.register
def _(
    policy: ThrottleFirst, case: Case, tables: CellOwnerTables, now: float
) -> CellStep:
    beside = sorted(_beside(tables, case), key=lambda task: _rank(tables, case, task))
    loose = [
        task
        for task in beside
        if cell_throttle.share_of(tables, task) - _floor(tables, case, task)
        >= LEAST_CUT
    ]
    harmful = [task for task in loose if _harm_ms(tables, case, task) >= _least(case)]
    if harmful or loose:
        return _throttle(case, harmful or loose[:1], tables, now)
    patient = [task for task in beside if _is_evictable(tables, case, task, now)]
    if not patient:
        return Step(tables=tables)
    victim = min(patient, key=lambda task: (loss_s(task, now), task.key))
    return _evict(case, victim, tables, now)


def _beside(tables: CellOwnerTables, case: Case) -> list[Task]:
    tasks = tables.tasks.rows_where("worker", case.latency.worker_id)
    return [task for task in tasks if evictable(task) and task.phase is Phase.RUNNING]


def _harm_ms(tables: CellOwnerTables, case: Case, task: Task) -> float:
    """Return what a task adds to the latency at its present share."""
    job = task.row.spec.record_key
    harm = cell_learn.estimate(tables, case.latency.service, job)
    return harm * cell_throttle.share_of(tables, task)


def _least(case: Case) -> float:
    return LEAST_HARM * case.latency.target_ms


def _rank(tables: CellOwnerTables, case: Case, task: Task) -> tuple[float, float, str]:
    """Order by learned harm; where none is known, by the processors used."""
    used = tables.job_usages.get(task.row.spec.record_key)
    processors = used.processors_m if used else task.row.spec.size.processors_m
    return (-_harm_ms(tables, case, task), -processors, task.key)


def loss_s(task: Task, now: float) -> float:
    """Return the work at stake: more for a task that never showed a checkpoint."""
    factor = 1.0 if task.row.checkpoint else UNSAVED_FACTOR
    return factor * (now - task.since)


def policy_of(tables: CellOwnerTables, department: str) -> PolicyRecord:
    """Return the policy record of a department, or one of equal weights."""
    for found in tables.records.rows_where("policy_department", department):
        record = found.row.record if isinstance(found.row, RecordRow) else None
        if isinstance(record, PolicyRecord):
            return record
    return PolicyRecord(name="", department=department)


def _cost_ratio(tables: CellOwnerTables, case: Case, task: Task) -> float:
    """Return the cost of an eviction of a task against that of latency."""
    latency_weight = policy_of(tables, case.department).latency_weight
    evicted = policy_of(tables, task.row.spec.department)
    return evicted.eviction_weight / max(latency_weight, 0.01)


def _floor(tables: CellOwnerTables, case: Case, task: Task) -> float:
    ratio = max(_cost_ratio(tables, case, task), 0.01)
    return min(HIGHEST_FLOOR, max(LOWEST_FLOOR, FLOOR / ratio))


def _patience_s(tables: CellOwnerTables, case: Case, task: Task) -> float:
    patience_s = PATIENCE_S * _cost_ratio(tables, case, task)
    return min(LONGEST_PATIENCE_S, max(SHORTEST_PATIENCE_S, patience_s))


def _is_evictable(tables: CellOwnerTables, case: Case, task: Task, now: float) -> bool:
    """Tell whether a throttled task still does harm after its patience."""
    throttle = tables.throttles.get(task.key)
    if throttle is None or _harm_ms(tables, case, task) < _least(case):
        return False
    return now - throttle.changed_at >= _patience_s(tables, case, task)


def _throttle(
    case: Case, tasks: list[Task], tables: CellOwnerTables, now: float
) -> CellStep:
    """Throttle as many of the tasks, and as deep, as the latency seems to need."""
    latency = case.latency
    needed_ms = latency.smoothed_ms - AIM * latency.target_ms
    commands: list[Decision | Count] = []
    for task in tasks:
        if needed_ms <= 0.0:
            break
        share = cell_throttle.share_of(tables, task)
        floor = _floor(tables, case, task)
        harm_ms = _harm_ms(tables, case, task)
        cut = share * min(1.0, needed_ms / max(harm_ms, _least(case)))
        lower = max(floor, round(share - max(LEAST_CUT, cut), 2))
        needed_ms -= harm_ms * (share - lower) / share
        tables = cell_throttle.set_share(tables, task, lower, now)
        reason = (
            f"{latency.task_key} at {latency.smoothed_ms:.0f} ms of"
            f" {latency.target_ms:.0f} ms; share {share:.2f} to {lower:.2f}"
        )
        commands.append(line(case.cell, task, reason))
        commands.append(Count(name="task_throttles", label=task.row.spec.department))
    return Step(tables=tables, commands=tuple(commands))


def line(cell: Cell, task: Task, reason: str) -> Decision:
    """Return the decision line of a change of share."""
    return Decision(
        kind="task.throttle",
        subject=task.row.spec.task_id,
        chosen=task.worker_id,
        reason=reason,
        epoch=cell.epoch,
    )


def _evict(case: Case, task: Task, tables: CellOwnerTables, now: float) -> CellStep:
    ending = Requeue(reason=f"evicted beside {case.latency.task_key}, which suffers")
    tables = cell_stop.plan_ending(tables, task, ending, now)
    return Step(tables=tables, commands=eviction(case.cell, task, ending.reason))
