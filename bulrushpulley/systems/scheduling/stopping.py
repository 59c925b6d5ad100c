"""Orders runs to stop; they hold their capacity until they have ended."""

from __future__ import annotations

from collections.abc import Callable

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.runs import RunRef
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import Task, TaskState
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, ordering

STOPPABLE_STATES = frozenset({TaskState.HELD, TaskState.RUNNING})


def stop(tables: SchedulerTables, task: Task, now: float, reason: str) -> SchedulerStep:
    """Stop the run of a task; its host gets the order now or once it is synced."""
    stopping = replace(task, state=TaskState.STOPPING, since=now)
    tables = edits.put_task(tables, stopping)
    line = edits.log(tables, "task.stop", task.task_id, task.host, reason)
    ordered = _order_stop(tables, task)
    return Step(tables=ordered.tables, commands=(line, *ordered.commands))


def stop_selected(
    tables: SchedulerTables,
    host: str,
    should_stop: Callable[[SchedulerTables, Task], bool],
    now: float,
    reason: str,
) -> SchedulerStep:
    """Stop the runs on a host that `should_stop` selects.

    It gets the tables as changed by the stops before it.
    """
    commands: list[Command] = []
    for task in tables.tasks.rows_where("host", host):
        if task.state in STOPPABLE_STATES and should_stop(tables, task):
            step = stop(tables, task, now, reason)
            tables = step.tables
            commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def _order_stop(tables: SchedulerTables, task: Task) -> SchedulerStep:
    """Send the order to stop a run, if its host is linked and synced."""
    host = tables.hosts.get(task.host)
    if host is None or not host.peer or not host.synced:
        return Step(tables=tables)
    ref = RunRef(task_id=task.task_id, run=task.run)
    return ordering.send(tables, host, task.life, stop=(ref,))
