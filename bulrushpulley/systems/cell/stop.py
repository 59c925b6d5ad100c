"""Stops tasks: plans endings, sends stops, and ends tasks known to have stopped.

A stop is repeated until a report shows that the task is no longer running, or until
its lease has expired on an unreachable worker; only then is its ending written. Any of
these messages may be repeated or lost.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.cell import CellPhase
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.owner_times import (
    CLOCK_DRIFT_MARGIN_S,
    TASK_LEASE_S,
    WORKER_CALL_RETRY_DELAY_S,
    WORKER_CALL_TIMEOUT_S,
    WORKER_UNREACHABLE_TIMEOUT_S,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import (
    STOPPABLE_PHASES,
    Cancel,
    Ending,
    Phase,
    Requeue,
    Return,
    Task,
    phase_index,
)
from bulrushpulley.entities.worker import Worker
from bulrushpulley.entities.worker_calls import StopTask
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell.liveness import stop_deadline
from bulrushpulley.systems.cell.owner_events import CellStep


@singledispatch
def precedence(ending: Ending) -> int:
    """Return the rank of a planned ending; a higher rank replaces a lower one."""
    return 3


@precedence.register
def _(ending: Requeue) -> int:
    return 0


@precedence.register
def _(ending: Return) -> int:
    return 1


@precedence.register
def _(ending: Cancel) -> int:
    return 2


def plan_ending(
    tables: CellOwnerTables, task: Task, ending: Ending, now: float
) -> CellOwnerTables:
    """Plan the ending of a task; a task that may be running is stopped first."""
    if task.ending is not None and precedence(task.ending) >= precedence(ending):
        return tables
    if task.phase is Phase.WAITING:
        return end_task(tables, task, ending, now)
    if task.phase is Phase.WRITING:
        return tables
    phase = Phase.STOPPING if task.phase in STOPPABLE_PHASES else task.phase
    planned = replace(task, phase=phase, ending=ending)
    return cell_rows.put_task(tables, planned)


def end_task(
    tables: CellOwnerTables,
    task: Task,
    ending: Ending,
    now: float,
    checkpoint: str = "",
) -> CellOwnerTables:
    """Mark a task as known not to be running, with the ending to be written."""
    row = replace(task.row, checkpoint=checkpoint or task.row.checkpoint)
    ended = replace(task, row=row, phase=Phase.ENDED, ending=ending, since=now)
    return cell_rows.put_task(tables, ended)


def end_as_planned(
    tables: CellOwnerTables, task: Task, reason: str, now: float, checkpoint: str = ""
) -> CellOwnerTables:
    """End a stopped task with its planned ending, or requeue it if there is none."""
    ending = task.ending or Requeue(reason=reason)
    return end_task(tables, task, ending, now, checkpoint)


def send_stops(tables: CellOwnerTables, now: float) -> CellStep:
    """Send the stops that are due, while no other agent can own their cells."""
    commands: list[Command] = []
    not_after = min(now + WORKER_CALL_TIMEOUT_S, stop_deadline(tables))
    for cell in tables.cells.rows():
        if cell.phase is not CellPhase.OWNED or now > not_after or tables.leaving:
            continue
        value = phase_index(cell=cell.name, phase=Phase.STOPPING)
        for task in tables.tasks.rows_where("phase", value):
            worker = tables.workers.get(task.worker_id)
            if worker is None or not worker.url or now < task.next_stop_at:
                continue
            sent = replace(task, next_stop_at=now + WORKER_CALL_RETRY_DELAY_S)
            tables = replace(tables, tasks=tables.tasks.put(task.key, sent))
            commands.append(_stop_command(task, worker, not_after))
    return Step(tables=tables, commands=tuple(commands))


def _stop_command(task: Task, worker: Worker, not_after: float) -> StopTask:
    return StopTask(
        worker_id=worker.worker_id,
        url=worker.url,
        not_after=not_after,
        task_id=task.row.spec.task_id,
        generation=task.row.generation,
        checkpoint=not isinstance(task.ending, Cancel),
    )


def is_unreachable(worker: Worker, now: float) -> bool:
    """Tell whether a worker has answered no report within the timeout."""
    return now - worker.answered_at >= WORKER_UNREACHABLE_TIMEOUT_S


def lease_has_expired(task: Task, worker: Worker, now: float) -> bool:
    """Tell whether the lease of a task has expired even on the worker's own clock."""
    last_lease_end = worker.renewed_until + TASK_LEASE_S + CLOCK_DRIFT_MARGIN_S
    return now >= max(task.lease_until, last_lease_end)


def end_tasks_with_expired_leases(tables: CellOwnerTables, now: float) -> CellStep:
    """End the tasks of unreachable workers whose leases have expired."""
    for worker in tables.workers.rows():
        if not is_unreachable(worker, now):
            continue
        for task in tables.tasks.rows_where("worker", worker.worker_id):
            committing = task.phase is Phase.COMMITTING
            if not committing and lease_has_expired(task, worker, now):
                reason = f"the lease lapsed on silent worker {worker.worker_id}"
                tables = end_as_planned(tables, task, reason, now)
    return Step(tables=tables)
