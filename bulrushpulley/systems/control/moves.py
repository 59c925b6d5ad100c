"""Builds the transaction that moves waiting tasks from the backlog to cells.

A move takes rows of one lane, whose tasks have the same requirements. It is
conditional on every backlog row, on the records that the tasks belong to, and on
the absence of the rows it writes, so that it takes effect completely and at most
once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bulrushpulley.entities.backlog import Closing, WaitingRow, backlog_key
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import Condition, Write
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.pending import PlacedTask
from bulrushpulley.entities.records import ServiceRecord
from bulrushpulley.entities.rows import TaskRow, TaskSpec, TaskState
from bulrushpulley.systems.control.records import find_record, record_key


@dataclass(frozen=True, kw_only=True, slots=True)
class RowMove:
    """A waiting row and the cells of its first tasks, in the order of indexes.

    `spec` is the spec of the tasks according to the record in force.
    """

    waiting: WaitingRow
    spec: TaskSpec
    cells: tuple[str, ...] = ()


def is_closing(closing: Closing | None, *indexes: int) -> bool:
    """Tell whether the task at one of the indexes is being closed."""
    return closing is not None and any(closing.covers(index) for index in indexes)


def current_spec(tables: ControllerTables, waiting: WaitingRow) -> TaskSpec | None:
    """Return the spec of a waiting row's tasks according to the record in force.

    None means that they must not run: the record is being closed, has fewer
    replicas or is not known yet. A job's record only changes by cancellation.
    """
    spec = waiting.row.spec
    closing = tables.closings.get(spec.job)
    last_index = spec.index + waiting.row.count - 1
    if is_closing(closing, spec.index, last_index):
        return None
    if spec.kind == "job":
        return replace(spec, record_version=spec.record_version or waiting.version)
    record = find_record(tables, "service", spec.job, ServiceRecord)
    versioned_row = tables.records.get(record_key("service", spec.job))
    if record is None or versioned_row is None or last_index >= record.replicas:
        return None
    return replace(
        spec,
        record_version=versioned_row.version,
        size=record.size,
        department=record.department,
        failure_domains=record.failure_domains,
    )


def distribute_cells(
    row_moves: Iterable[RowMove], cells: tuple[str, ...]
) -> tuple[RowMove, ...]:
    """Distribute the cells over the rows in order; rows without any are left out."""
    with_cells: list[RowMove] = []
    for row_move in row_moves:
        count = row_move.waiting.row.count
        if not cells:
            break
        with_cells.append(replace(row_move, cells=cells[:count]))
        cells = cells[count:]
    return tuple(with_cells)


def placed_tasks(row_move: RowMove) -> tuple[PlacedTask, ...]:
    """Return the tasks that a row's move places, with their cells."""
    row = row_move.waiting.row
    tasks: list[PlacedTask] = []
    for offset, cell in enumerate(row_move.cells):
        spec = replace(row_move.spec, index=row_move.spec.index + offset)
        task = TaskRow(
            spec=spec,
            state=TaskState.WAITING,
            generation=row.generation,
            checkpoint=row.checkpoint,
            attempts=row.attempts,
        )
        tasks.append(PlacedTask(cell=cell, key=f"task/{cell}/{spec.task_id}", row=task))
    return tuple(tasks)


def _remainder(row_move: RowMove) -> tuple[Write, ...]:
    """Return the write of the tasks that stay in the backlog, if any."""
    row = row_move.waiting.row
    placed_count = len(row_move.cells)
    if placed_count == row.count:
        return ()
    first_remaining = row_move.spec.index + placed_count
    remainder = replace(
        row,
        spec=replace(row_move.spec, index=first_remaining),
        count=row.count - placed_count,
    )
    return (Write(key=backlog_key(row_move.spec.job, first_remaining), row=remainder),)


def conditions_of(
    row_moves: tuple[RowMove, ...], writes: tuple[Write, ...]
) -> tuple[Condition, ...]:
    """Return the conditions of a move."""
    conditions: list[Condition] = []
    for row_move in row_moves:
        spec, waiting = row_move.spec, row_move.waiting
        conditions.append(Condition(key=waiting.key, version=waiting.version))
        conditions.append(Condition(key=spec.record_key, version=spec.record_version))
    absent_keys = [write.key for write in writes if write.row is not None]
    conditions += [Condition(key=key, version=0) for key in absent_keys]
    return tuple(dict.fromkeys(conditions))


def writes_of(
    row_moves: tuple[RowMove, ...], placed: tuple[PlacedTask, ...]
) -> tuple[Write, ...]:
    """Return the writes of a move."""
    deletions = [Write(key=row_move.waiting.key, row=None) for row_move in row_moves]
    task_writes = [Write(key=task.key, row=task.row) for task in placed]
    remainders = [write for row_move in row_moves for write in _remainder(row_move)]
    return (*deletions, *task_writes, *remainders)
