"""Ordering runs to be stopped; their room stays taken until they have ended."""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.jobs.items import Orders
from bulrushpulley.entities.jobs.runs import RunRef
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import Task, TaskState
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits


def stop(tables: SchedulerTables, task: Task, now: float, reason: str) -> SchedulerStep:
    """Order the run of a task to be stopped, now or when its host is linked."""
    stopping = replace(task, state=TaskState.STOPPING, since=now)
    tables = edits.put_task(tables, stopping)
    line = edits.log(tables, "task.stop", task.task_id, task.host, reason)
    return Step(tables=tables, commands=(line, *order(tables, task)))


def order(tables: SchedulerTables, task: Task) -> tuple[Command, ...]:
    """Return the order to stop a run, if its host is linked."""
    host = tables.hosts.get(task.host)
    if host is None or not host.peer or not host.synced:
        return ()
    ref = RunRef(task_id=task.task_id, run=task.run)
    item = Orders(epoch=tables.epoch, life=task.life, stop=(ref,))
    return (Send(peer=host.peer, item=item),)
