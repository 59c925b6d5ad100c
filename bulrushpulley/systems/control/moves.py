"""Builds the transaction that moves waiting tasks from the backlog to cells.

A move takes rows of one lane, whose tasks are alike. It is conditional on every
backlog row, on the records that asked for the tasks, and on the absence of what
it writes, so that it takes effect whole and at most once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from bulrushpulley.entities.backlog import Closing, Waiting, backlog_key
from bulrushpulley.entities.commit import Condition, Write
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.pending import Placed
from bulrushpulley.entities.records import ServiceRecord
from bulrushpulley.entities.rows import TaskRow, TaskSpec, TaskState
from bulrushpulley.systems.control.records import find, record_key


@dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """A waiting row and the cells of its first tasks, in the order of indexes.

    `spec` is what the tasks run by the record now in force.
    """

    waiting: Waiting
    spec: TaskSpec
    cells: tuple[str, ...] = ()


def is_closing(closing: Closing | None, *indexes: int) -> bool:
    """Tell whether one of the indexes is being stopped for good."""
    return closing is not None and any(closing.covers(index) for index in indexes)


def current_spec(tables: ControllerTables, waiting: Waiting) -> TaskSpec | None:
    """Return what a waiting row's tasks run by the record now in force.

    None means that they are not to run: the record is being closed or is not
    known yet. A job's record never changes but by cancellation.
    """
    spec = waiting.row.spec
    closing = tables.closings.get(spec.job)
    last = spec.index + waiting.row.count - 1
    if is_closing(closing, spec.index, last):
        return None
    if spec.kind == "job":
        return replace(spec, record_version=spec.record_version or waiting.version)
    record = find(tables, "service", spec.job, ServiceRecord)
    held = tables.records.get(record_key("service", spec.job))
    if record is None or held is None or last >= record.replicas:
        return None
    return replace(
        spec,
        record_version=held.version,
        size=record.size,
        department=record.department,
        failure_domains=record.failure_domains,
    )


def dealt_out(parts: Iterable[Part], cells: tuple[str, ...]) -> tuple[Part, ...]:
    """Give the chosen cells to the parts in order; parts without any are left out."""
    dealt: list[Part] = []
    for part in parts:
        count = part.waiting.row.count
        if not cells:
            break
        dealt.append(replace(part, cells=cells[:count]))
        cells = cells[count:]
    return tuple(dealt)


def placed_of(part: Part) -> tuple[Placed, ...]:
    """Return the task rows of a part."""
    row = part.waiting.row
    tasks: list[Placed] = []
    for place, cell in enumerate(part.cells):
        spec = replace(part.spec, index=part.spec.index + place)
        task = TaskRow(
            spec=spec,
            state=TaskState.WAITING,
            generation=row.generation,
            checkpoint=row.checkpoint,
            attempts=row.attempts,
        )
        tasks.append(Placed(cell=cell, key=f"task/{cell}/{spec.task_id}", row=task))
    return tuple(tasks)


def _remainder(part: Part) -> tuple[Write, ...]:
    """Return the write of the tasks that are left in the backlog, if any."""
    row = part.waiting.row
    taken = len(part.cells)
    if taken == row.count:
        return ()
    first = part.spec.index + taken
    left = replace(row, spec=replace(part.spec, index=first), count=row.count - taken)
    return (Write(key=backlog_key(part.spec.job, first), row=left),)


def conditions_of(
    parts: tuple[Part, ...], writes: tuple[Write, ...]
) -> tuple[Condition, ...]:
    """Return the conditions of a move."""
    found: list[Condition] = []
    for part in parts:
        spec, waiting = part.spec, part.waiting
        found.append(Condition(key=waiting.key, version=waiting.version))
        found.append(Condition(key=spec.record_key, version=spec.record_version))
    absent = [write.key for write in writes if write.row is not None]
    found += [Condition(key=key, version=0) for key in absent]
    return tuple(dict.fromkeys(found))


def writes_of(parts: tuple[Part, ...], placed: tuple[Placed, ...]) -> tuple[Write, ...]:
    """Return the writes of a move."""
    gone = [Write(key=part.waiting.key, row=None) for part in parts]
    tasks = [Write(key=one.key, row=one.row) for one in placed]
    left = [write for part in parts for write in _remainder(part)]
    return (*gone, *tasks, *left)
