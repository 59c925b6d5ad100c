"""Reads from the rows under ``done/`` which tasks have ended, and how."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.rows import BacklogRow, DurableRow, TaskRow, TaskState


@singledispatch
def indexes_of(row: DurableRow | None) -> range:
    """Return the indexes of the tasks that a row covers."""
    return range(0)


@indexes_of.register
def _(row: TaskRow) -> range:
    return range(row.spec.index, row.spec.index + 1)


@indexes_of.register
def _(row: BacklogRow) -> range:
    return range(row.spec.index, row.spec.index + row.count)


@singledispatch
def state_of(row: DurableRow | None) -> TaskState:
    """Return the final state of the tasks of an outcome row.

    Tasks that were closed before any cell held them count as cancelled.
    """
    return TaskState.CANCELLED


@state_of.register
def _(row: TaskRow) -> TaskState:
    return row.state
