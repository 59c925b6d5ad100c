"""Sets the shares of batch tasks and sends them until the workers confirm them."""

from __future__ import annotations

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.interference import Throttle
from bulrushpulley.entities.owner_times import (
    WORKER_CALL_RETRY_DELAY_S,
    WORKER_CALL_TIMEOUT_S,
)
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import Phase, Task
from bulrushpulley.entities.worker_calls import (
    ThrottleAnswered,
    ThrottleTask,
    ThrottleUnanswered,
)
from bulrushpulley.systems.cell.learn import USAGE_LAG_S
from bulrushpulley.systems.cell.liveness import stop_deadline
from bulrushpulley.systems.cell.owner_events import CellStep, apply

FULL_SHARE = 1.0


def share_of(tables: CellOwnerTables, task: Task) -> float:
    """Return the share of its full speed that a task may use."""
    throttle = tables.throttles.get(task.key)
    return throttle.share if throttle else FULL_SHARE


def set_share(
    tables: CellOwnerTables, task: Task, share: float, now: float
) -> CellOwnerTables:
    """Set the share of a task's running generation, to be sent by `send`."""
    throttle = Throttle(
        task_key=task.key,
        worker_id=task.worker_id,
        generation=task.row.generation,
        share=share,
        changed_at=now,
        share_before=share_of(tables, task),
    )
    return replace(tables, throttles=tables.throttles.put(task.key, throttle))


def reset_share(tables: CellOwnerTables, task: Task, now: float) -> CellOwnerTables:
    """Reset a batch task to full speed, as a previous owner may have throttled it."""
    if task.row.spec.task_class is not TaskClass.BATCH:
        return tables
    return set_share(tables, task, FULL_SHARE, now)


def send(tables: CellOwnerTables, now: float) -> CellStep:
    """Send the unconfirmed shares while no other agent can have taken over the cell."""
    commands: list[Command] = []
    not_after = min(now + WORKER_CALL_TIMEOUT_S, stop_deadline(tables))
    for throttle in tables.throttles.rows():
        task = tables.tasks.get(throttle.task_key)
        if not _is_current(throttle, task) or _is_obsolete(throttle, now):
            throttles = tables.throttles.drop(throttle.task_key)
            tables = replace(tables, throttles=throttles)
            continue
        worker = tables.workers.get(throttle.worker_id)
        due = not throttle.confirmed and now >= throttle.send_at
        if task is None or worker is None or not due or now > not_after:
            continue
        if not worker.url or tables.leaving:
            continue
        sent = replace(throttle, send_at=now + WORKER_CALL_RETRY_DELAY_S)
        tables = replace(tables, throttles=tables.throttles.put(task.key, sent))
        commands.append(
            ThrottleTask(
                worker_id=worker.worker_id,
                url=worker.url,
                not_after=not_after,
                task_key=task.key,
                task_id=task.row.spec.task_id,
                generation=throttle.generation,
                share=throttle.share,
            )
        )
    return Step(tables=tables, commands=tuple(commands))


def _is_current(throttle: Throttle, task: Task | None) -> bool:
    if task is None or task.phase is not Phase.RUNNING:
        return False
    return task.row.generation == throttle.generation


def _is_obsolete(throttle: Throttle, now: float) -> bool:
    """Tell whether a task had full speed in all measurements that can still arrive."""
    full_speed = throttle.share >= FULL_SHARE and throttle.confirmed
    return full_speed and now - throttle.changed_at >= USAGE_LAG_S


@apply.register
def _(event: ThrottleAnswered, tables: CellOwnerTables, now: float) -> CellStep:
    throttle = tables.throttles.get(event.task_key)
    answered = (event.generation, event.share)
    if throttle is None or (throttle.generation, throttle.share) != answered:
        return Step(tables=tables)
    confirmed = replace(throttle, confirmed=True)
    throttles = tables.throttles.put(event.task_key, confirmed)
    return Step(tables=replace(tables, throttles=throttles))


@apply.register
def _(event: ThrottleUnanswered, tables: CellOwnerTables, now: float) -> CellStep:
    return Step(tables=tables)
