"""Moving work off a backend server that is leaving, while it still saves its state."""

from __future__ import annotations

from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import Task, TaskState
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, stopping


def begin(tables: SchedulerTables, host: Host, now: float) -> SchedulerStep:
    """Stop what would be cut off or can go on elsewhere; let the rest finish."""
    commands: list[Command] = []
    for task in tables.tasks.rows_where("host", host.name):
        movable = task.state in (TaskState.HELD, TaskState.RUNNING)
        if movable and _should_move(tables, host, task, now):
            step = stopping.stop(tables, task, now, "its backend server is leaving")
            tables = step.tables
            commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def _should_move(tables: SchedulerTables, host: Host, task: Task, now: float) -> bool:
    spec = edits.step_of(tables, task)
    if spec.lasting or spec.checkpoints:
        return True
    began = task.running_since or now
    return spec.estimate_s - (now - began) > host.leaves_in_s
