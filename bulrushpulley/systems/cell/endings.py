"""Writes the outcomes of tasks that are known not to be running.

Every ending is one transaction, conditional on the task's row and on the lease
that makes this agent the owner. The outcome of a task is written together with
the deletion of its row, so it is recorded at most once.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from bulrushpulley.entities.cell import Cell, CellPhase, lease_key
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    Conflicted,
    Withdrawn,
    Write,
)
from bulrushpulley.entities.in_flight import InFlightSubmission, WriteEnding
from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.entities.rows import BacklogRow, TaskClass, TaskRow, TaskState
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import (
    Cancel,
    Ending,
    Fail,
    Finish,
    Phase,
    Requeue,
    Return,
    Task,
    phase_index,
)
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import send as cell_send
from bulrushpulley.systems.cell.outcomes import (
    handle_committed,
    handle_conflicted,
    handle_withdrawn,
)
from bulrushpulley.systems.cell.owner_events import CellStep

MAX_ENDINGS_PER_TICK = 64
ENDING_RETRY_DELAY_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EndingWrites:
    """The writes of an ending: the task's next row, or None to delete it.

    A deleted row is replaced by `other_writes`, a row under another key.
    """

    row: TaskRow | None
    other_writes: tuple[Write, ...] = ()


@singledispatch
def ending_writes(ending: Ending, row: TaskRow) -> EndingWrites:
    """Return the writes of an ending for a task whose current row is `row`."""
    raise NotImplementedError(type(ending).__name__)


@ending_writes.register
def _(ending: Finish, row: TaskRow) -> EndingWrites:
    if row.spec.task_class is TaskClass.LATENCY_CRITICAL:
        return EndingWrites(row=_waiting_row(row, ending))
    return _done_writes(row, TaskState.FINISHED, ending)


@ending_writes.register
def _(ending: Fail, row: TaskRow) -> EndingWrites:
    attempts = row.attempts + (1 if ending.counted else 0)
    failed = replace(row, attempts=attempts)
    batch = row.spec.task_class is TaskClass.BATCH
    if batch and attempts >= row.spec.max_attempts:
        return _done_writes(failed, TaskState.FAILED, ending)
    return EndingWrites(row=_waiting_row(failed, ending))


@ending_writes.register
def _(ending: Requeue, row: TaskRow) -> EndingWrites:
    return EndingWrites(row=_waiting_row(row, ending))


@ending_writes.register
def _(ending: Return, row: TaskRow) -> EndingWrites:
    spec = row.spec
    back = BacklogRow(
        spec=spec,
        count=1,
        generation=row.generation,
        checkpoint=row.checkpoint,
        attempts=row.attempts,
    )
    return EndingWrites(
        row=None, other_writes=(Write(key=f"backlog/{spec.task_id}", row=back),)
    )


@ending_writes.register
def _(ending: Cancel, row: TaskRow) -> EndingWrites:
    return _done_writes(row, TaskState.CANCELLED, ending)


def _waiting_row(row: TaskRow, ending: Ending) -> TaskRow:
    return replace(row, state=TaskState.WAITING, worker_id="", reason=ending.reason)


def _done_writes(row: TaskRow, state: TaskState, ending: Ending) -> EndingWrites:
    done = replace(row, state=state, reason=ending.reason)
    write = Write(key=f"done/{row.spec.task_id}", row=done)
    return EndingWrites(row=None, other_writes=(write,))


def write_endings(tables: CellOwnerTables, now: float) -> CellStep:
    """Submit the endings of ENDED tasks, at most `MAX_ENDINGS_PER_TICK` per cell."""
    commands: list[Command] = []
    for cell in tables.cells.rows():
        if cell.phase is not CellPhase.OWNED:
            continue
        value = phase_index(cell=cell.name, phase=Phase.ENDED)
        for task in tables.tasks.rows_where("phase", value)[:MAX_ENDINGS_PER_TICK]:
            if task.ending is not None and now >= task.retry_at:
                tables = _write(cell, task, task.ending, tables, now)
                commands.append(_decision(cell, task, task.ending))
    return Step(tables=tables, commands=tuple(commands))


def _write(
    cell: Cell, task: Task, ending: Ending, tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    outcome = ending_writes(ending, task.row)
    writes = (Write(key=task.key, row=outcome.row), *outcome.other_writes)
    absent = tuple(Condition(key=w.key, version=0) for w in outcome.other_writes)
    tables, _ = cell_send.submit(
        tables,
        purpose=WriteEnding(task_key=task.key, row=outcome.row),
        cell=cell.name,
        conditions=(*fencing_conditions(cell, task), *absent),
        writes=writes,
        now=now,
    )
    return cell_rows.put_task(tables, replace(task, phase=Phase.WRITING))


def fencing_conditions(cell: Cell, task: Task) -> tuple[Condition, ...]:
    """Return the conditions of every write to a task: its row and the cell's lease."""
    return (
        Condition(key=task.key, version=task.version),
        Condition(key=lease_key(cell.name), version=cell.lease_version),
    )


def _decision(cell: Cell, task: Task, ending: Ending) -> Decision:
    return Decision(
        kind=f"task.{type(ending).__name__.lower()}",
        subject=task.row.spec.task_id,
        chosen=task.row.worker_id,
        reason=ending.reason,
        epoch=cell.epoch,
    )


@handle_committed.register
def _(
    purpose: WriteEnding,
    in_flight: InFlightSubmission,
    outcome: Committed,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    task = tables.tasks.get(purpose.task_key)
    if task is None:
        return Step(tables=tables)
    ended = Count(name="task_endings", label=type(task.ending).__name__.lower())
    if purpose.row is None:
        return Step(tables=cell_rows.drop_task(tables, task), commands=(ended,))
    waiting = Task(
        key=task.key,
        cell=task.cell,
        row=purpose.row,
        version=outcome.revision,
        phase=Phase.WAITING,
        since=now,
    )
    return Step(tables=cell_rows.put_task(tables, waiting), commands=(ended,))


@handle_conflicted.register
def _(
    purpose: WriteEnding,
    in_flight: InFlightSubmission,
    outcome: Conflicted,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    task = tables.tasks.get(purpose.task_key)
    if task is None:
        return Step(tables=tables)
    tables = cell_rows.put_task(tables, replace(task, phase=Phase.ENDED, since=now))
    for found in outcome.rows:
        if found.key == task.key:
            return Step(tables=cell_rows.adopt_conflicting_task(found, tables, now))
    return Step(tables=_resolve_existing_row(purpose, in_flight, outcome, tables, now))


def _resolve_existing_row(
    purpose: WriteEnding,
    in_flight: InFlightSubmission,
    outcome: Conflicted,
    tables: CellOwnerTables,
    now: float,
) -> CellOwnerTables:
    """Resolve the conflict of an ending whose other row already exists.

    If the task already has an outcome, only its row is left to delete. If a backlog
    row of the task exists, the controller will move it; until then the task waits in
    this cell.
    """
    task = tables.tasks.by_key[purpose.task_key]
    done_key = f"done/{task.row.spec.task_id}"
    cell = tables.cells.by_key[task.cell]
    if any(found.key == done_key for found in outcome.rows):
        tables, _ = cell_send.submit(
            tables,
            purpose=WriteEnding(task_key=task.key, row=None),
            cell=cell.name,
            conditions=fencing_conditions(cell, task),
            writes=(Write(key=task.key, row=None),),
            now=now,
        )
        return cell_rows.put_task(tables, replace(task, phase=Phase.WRITING))
    waiting = Requeue(reason="its place in the backlog is taken")
    return cell_rows.put_task(tables, replace(task, ending=waiting))


@handle_withdrawn.register
def _(
    purpose: WriteEnding,
    in_flight: InFlightSubmission,
    outcome: Withdrawn,
    tables: CellOwnerTables,
    now: float,
) -> CellStep:
    task = tables.tasks.get(purpose.task_key)
    if task is None:
        return Step(tables=tables)
    retried = replace(task, phase=Phase.ENDED, retry_at=now + ENDING_RETRY_DELAY_S)
    return Step(tables=cell_rows.put_task(tables, retried))
