"""Places waiting tasks on workers in cells where something has changed.

Latency-critical and urgent tasks are placed first and may preempt batch tasks.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bulrushpulley.entities.cell import Cell, CellPhase
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import Phase, Task, phase_index
from bulrushpulley.entities.worker import Health
from bulrushpulley.systems.cell import domains as cell_domains
from bulrushpulley.systems.cell import neighbours as cell_neighbours
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import start as cell_start
from bulrushpulley.systems.cell.candidates import candidates_of
from bulrushpulley.systems.cell.owner_events import CellStep
from bulrushpulley.systems.cell.placement_policy import (
    Candidate,
    Choice,
    PlacementPolicy,
    choose_worker,
)
from bulrushpulley.systems.cell.preempt import preempt_batch_tasks
from bulrushpulley.systems.cell.spread_and_pack import SpreadAndPack
from bulrushpulley.systems.cell.victims import may_preempt

MAX_PLACEMENTS_PER_TICK = 128
PLACEMENT_POLICY: PlacementPolicy = SpreadAndPack()


def place(tables: CellOwnerTables, now: float) -> CellStep:
    """Start waiting tasks in the owned cells that are marked for placement."""
    commands: list[Command] = []
    for cell in tables.cells.rows():
        due = cell.place_due and cell.phase is CellPhase.OWNED
        if not due or tables.leaving or not cell_domains.in_service(tables, cell):
            continue
        step = _place_cell(cell, tables, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def may_run_in(task: Task, failure_domain: str) -> bool:
    """Tell whether a task's record allows it to run in a failure domain."""
    allowed = task.row.spec.failure_domains
    return not allowed or failure_domain in allowed


def placement_order(task: Task) -> tuple[bool, bool, int, float, str]:
    """Return the sort key: latency-critical, urgent, priority, then age."""
    spec = task.row.spec
    batch = spec.task_class is TaskClass.BATCH
    return (batch, not spec.urgent, -spec.priority, task.since, task.key)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPass:
    """The state of a pass over the waiting tasks of a cell."""

    candidates: Mapping[str, Candidate]
    tables: CellOwnerTables
    commands: tuple[Command, ...] = ()


def _place_cell(cell: Cell, tables: CellOwnerTables, now: float) -> CellStep:
    value = phase_index(cell=cell.name, phase=Phase.WAITING)
    domain = cell_rows.failure_domain_of(tables, cell.name)
    ready = [
        task
        for task in tables.tasks.rows_where("phase", value)
        if now >= task.retry_at and may_run_in(task, domain)
    ]
    waiting = sorted(ready, key=placement_order)
    if not waiting:
        idle = replace(cell, place_due=False)
        return Step(tables=cell_rows.put_cell(tables, idle))
    candidates = {
        candidate.worker.worker_id: candidate
        for candidate in candidates_of(tables, cell.name, now)
    }
    placement = PlacementPass(candidates=candidates, tables=tables)
    for task in waiting[:MAX_PLACEMENTS_PER_TICK]:
        placement = _place_task(cell, task, placement, now)
    more_waiting = len(waiting) > MAX_PLACEMENTS_PER_TICK
    done = replace(placement.tables.cells.by_key[cell.name], place_due=more_waiting)
    tables = cell_rows.put_cell(placement.tables, done)
    return Step(tables=tables, commands=placement.commands)


def _place_task(
    cell: Cell, task: Task, placement: PlacementPass, now: float
) -> PlacementPass:
    tables, candidates = placement.tables, placement.candidates
    avoid = workers_with_failures_of(tables, task)
    untried = without_failed_workers(tables, task, tuple(candidates.values()))
    assessed = cell_neighbours.with_neighbours(tables, task, untried, now)
    choice = choose_worker(PLACEMENT_POLICY, task, assessed, avoid, now)
    if choice.worker_id:
        tables = cell_neighbours.record_first_start(tables, task, choice.worker_id, now)
        started = cell_start.commit_start(tables, cell, task, choice.worker_id, now)
        decision = _decision(cell, task, choice, tables)
        return PlacementPass(
            candidates=_with_task_placed(candidates, choice.worker_id, task),
            tables=started,
            commands=(*placement.commands, decision),
        )
    commands = placement.commands
    if task.skip_reason != choice.reason:
        skipped = replace(task, skip_reason=choice.reason)
        tables = cell_rows.put_task(tables, skipped)
        commands = (*commands, _decision(cell, task, choice, tables))
    if choice.retry_delay_s:
        retried = replace(
            task, skip_reason=choice.reason, retry_at=now + choice.retry_delay_s
        )
        tables = cell_rows.put_task(tables, retried)
    if not may_preempt(task):
        return PlacementPass(candidates=candidates, tables=tables, commands=commands)
    preemption = preempt_batch_tasks(cell, task, candidates.values(), tables, now)
    return PlacementPass(
        candidates=_without_worker(candidates, preemption.worker_id),
        tables=preemption.tables,
        commands=(*commands, *preemption.commands),
    )


def _without_worker(
    candidates: Mapping[str, Candidate], worker_id: str
) -> Mapping[str, Candidate]:
    return {key: candidate for key, candidate in candidates.items() if key != worker_id}


def _with_task_placed(
    candidates: Mapping[str, Candidate], worker_id: str, task: Task
) -> Mapping[str, Candidate]:
    candidate = candidates[worker_id]
    if candidate.worker.health is Health.PROBING:
        return _without_worker(candidates, worker_id)
    reduced = replace(candidate, free=candidate.free.minus(task.row.spec.size))
    return {**candidates, worker_id: reduced}


def workers_with_failures_of(tables: CellOwnerTables, task: Task) -> frozenset[str]:
    """Return the workers on which tasks of the same record have failed."""
    failures = tables.failures.rows_where("record", task.row.spec.record_key)
    return frozenset(failure.worker_id for failure in failures)


def without_failed_workers(
    tables: CellOwnerTables, task: Task, candidates: Sequence[Candidate]
) -> tuple[Candidate, ...]:
    """Leave out workers on which this task itself failed, if another is large enough.

    A worker that fails every task is soon the one with the most free resources; a task
    that returned to it immediately would use up its attempts before there is enough
    evidence against the worker.
    """
    failures = tables.failures.rows_where("task", task.key)
    failed = {failure.worker_id for failure in failures}
    untried = tuple(
        candidate
        for candidate in candidates
        if candidate.worker.worker_id not in failed
    )
    size = task.row.spec.size
    if any(size.fits(candidate.worker.capacity) for candidate in untried):
        return untried
    return tuple(candidates)


def _decision(
    cell: Cell, task: Task, choice: Choice, tables: CellOwnerTables
) -> Decision:
    return Decision(
        kind="task.start" if choice.worker_id else "task.skip",
        subject=task.row.spec.task_id,
        chosen=choice.worker_id,
        reason=choice.reason,
        passed_over=choice.passed_over,
        revision=tables.revision,
        epoch=cell.epoch,
    )
