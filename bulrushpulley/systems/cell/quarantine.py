"""Quarantines faulty workers, and probes them after a backoff.

A worker is quarantined when tasks of several jobs, or several tasks of one job, fail
on it while those jobs fail on no other worker, or those tasks succeed on another.
Otherwise a job that fails on more than one worker is itself at fault. After its
backoff a quarantined worker gets one task: if it succeeds or runs for long enough, the
worker returns to service; if it fails, the backoff is doubled.
"""

from __future__ import annotations

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import Phase, Task
from bulrushpulley.entities.worker import Failure, Health, Worker
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell.owner_events import CellStep

MIN_EVIDENCE_JOBS = 2
MIN_EVIDENCE_TASKS = 4
QUARANTINE_BACKOFF_S = 30.0
MAX_QUARANTINE_BACKOFF_S = 600.0
EVIDENCE_RETENTION_S = 900.0


def is_faulty(tables: CellOwnerTables, worker_id: str) -> bool:
    """Tell whether enough failures on a worker are evidence against it."""
    evidence = [
        failure
        for failure in tables.failures.rows_where("worker", worker_id)
        if failure.proven or not fails_elsewhere(tables, failure)
    ]
    jobs = {failure.record_key for failure in evidence}
    return len(jobs) >= MIN_EVIDENCE_JOBS or len(evidence) >= MIN_EVIDENCE_TASKS


def fails_elsewhere(tables: CellOwnerTables, failure: Failure) -> bool:
    """Tell whether the job of a failure has also failed on another worker."""
    same_job = tables.failures.rows_where("record", failure.record_key)
    return any(other.worker_id != failure.worker_id for other in same_job)


def handle_task_failed(
    tables: CellOwnerTables, task: Task, worker: Worker, now: float
) -> tuple[CellOwnerTables, bool, tuple[Command, ...]]:
    """Record a failure and tell whether it counts against the task."""
    failure = Failure(
        worker_id=worker.worker_id,
        record_key=task.row.spec.record_key,
        task_key=task.key,
        at=now,
    )
    key = f"{worker.worker_id}|{task.key}"
    tables = _drop_expired_evidence(tables, worker.worker_id, now)
    tables = replace(tables, failures=tables.failures.put(key, failure))
    if worker.health is Health.QUARANTINED:
        return tables, False, ()
    if worker.health is Health.PROBING:
        tables, commands = _quarantine(tables, worker, now)
        return tables, False, commands
    if is_faulty(tables, worker.worker_id):
        tables, commands = _quarantine(tables, worker, now)
        return _restore_attempts(tables, worker.worker_id), False, commands
    return _return_workers_to_service(tables, failure), True, ()


def _drop_expired_evidence(
    tables: CellOwnerTables, worker_id: str, now: float
) -> CellOwnerTables:
    failures = tables.failures
    for key in list(failures.keys_where("worker", worker_id)):
        if now - failures.by_key[key].at >= EVIDENCE_RETENTION_S:
            failures = failures.drop(key)
    return replace(tables, failures=failures)


def handle_task_succeeded(
    tables: CellOwnerTables, task: Task, worker: Worker, now: float
) -> CellStep:
    """Drop the evidence against a worker on which a task succeeded.

    Earlier failures of the task on other workers are now proven to be the fault of
    those workers, which are quarantined if that is enough evidence.
    """
    tables = return_to_service(tables, worker)
    commands: tuple[Command, ...] = ()
    for failure in tables.failures.rows_where("task", task.key):
        key = f"{failure.worker_id}|{failure.task_key}"
        proven = replace(failure, proven=True)
        tables = replace(tables, failures=tables.failures.put(key, proven))
        other = tables.workers.get(failure.worker_id)
        if other is None or other.health is not Health.HEALTHY:
            continue
        if is_faulty(tables, other.worker_id):
            tables, quarantine_commands = _quarantine(tables, other, now)
            tables = _restore_attempts(tables, other.worker_id)
            commands = (*commands, *quarantine_commands)
    return Step(tables=tables, commands=commands)


def return_to_service(tables: CellOwnerTables, worker: Worker) -> CellOwnerTables:
    """Drop the evidence against a worker and return it to service."""
    failures = tables.failures
    for key in list(failures.keys_where("worker", worker.worker_id)):
        failures = failures.drop(key)
    tables = replace(tables, failures=failures)
    if worker.health is Health.HEALTHY:
        return tables
    healthy = replace(worker, health=Health.HEALTHY, backoff_s=0.0)
    tables = cell_rows.put_worker(tables, healthy)
    return cell_rows.touch_cell(tables, worker.cell)


def _quarantine(
    tables: CellOwnerTables, worker: Worker, now: float
) -> tuple[CellOwnerTables, tuple[Command, ...]]:
    backoff_s = min(
        MAX_QUARANTINE_BACKOFF_S, max(QUARANTINE_BACKOFF_S, 2 * worker.backoff_s)
    )
    quarantined = replace(
        worker,
        health=Health.QUARANTINED,
        backoff_s=backoff_s,
        quarantined_until=now + backoff_s,
    )
    tables = cell_rows.put_worker(tables, quarantined)
    tables = cell_rows.touch_cell(tables, worker.cell)
    decision = Decision(
        kind="worker.aside",
        subject=worker.worker_id,
        chosen="",
        reason=f"tasks fail here but not elsewhere; next probe in {backoff_s:.0f} s",
    )
    return tables, (decision,)


def _restore_attempts(tables: CellOwnerTables, worker_id: str) -> CellOwnerTables:
    """Give tasks back the attempts they used up on a worker found to be faulty."""
    for failure in tables.failures.rows_where("worker", worker_id):
        task = tables.tasks.get(failure.task_key)
        if task is None or task.phase in (Phase.COMMITTING, Phase.WRITING):
            continue
        if fails_elsewhere(tables, failure) or not task.row.attempts:
            continue
        row = replace(task.row, attempts=task.row.attempts - 1)
        tables = cell_rows.put_task(tables, replace(task, row=row))
    return tables


def _return_workers_to_service(
    tables: CellOwnerTables, failure: Failure
) -> CellOwnerTables:
    """Return workers to service that were quarantined for a job now found at fault."""
    for other in tables.failures.rows_where("record", failure.record_key):
        worker = tables.workers.get(other.worker_id)
        if worker is None or worker.health is Health.HEALTHY:
            continue
        if not is_faulty(tables, worker.worker_id):
            healthy = replace(worker, health=Health.HEALTHY, backoff_s=0.0)
            tables = cell_rows.put_worker(tables, healthy)
            tables = cell_rows.touch_cell(tables, worker.cell)
    return tables


def probe_quarantined(tables: CellOwnerTables, now: float) -> CellStep:
    """Start probing quarantined workers whose backoff has passed."""
    for worker in tables.workers.rows():
        if worker.health is Health.QUARANTINED and now >= worker.quarantined_until:
            probing = replace(worker, health=Health.PROBING)
            tables = cell_rows.put_worker(tables, probing)
            tables = cell_rows.touch_cell(tables, worker.cell)
    return Step(tables=tables)
