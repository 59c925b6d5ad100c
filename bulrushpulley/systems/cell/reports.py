"""Requests reports from workers and applies the reported starts, stops and runs.

A report is requested from each worker every one to three seconds, by one call that
never overlaps with another and that also renews the leases of its tasks when due.
Only the answer to the latest request is applied. Runs of older generations in it
change no state, but are stopped.
"""

from __future__ import annotations

from bulrushpulley.entities.cell import CellPhase
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.owner_times import (
    MAX_REPORT_INTERVAL_S,
    MIN_REPORT_INTERVAL_S,
    REPORT_INTERVAL_PER_RUN_S,
    TASK_LEASE_RENEW_INTERVAL_S,
    TASK_LEASE_S,
    WORKER_CALL_TIMEOUT_S,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import (
    Fail,
    Finish,
    Phase,
    Task,
    task_key,
)
from bulrushpulley.entities.worker import Health, Worker
from bulrushpulley.entities.worker_calls import (
    Renewal,
    ReportUnanswered,
    RequestReport,
    RunReport,
    RunState,
    Started,
    StartNotSent,
    StartUnknown,
    StopAnswered,
    StopTask,
    StopUnanswered,
    WorkerReported,
)
from bulrushpulley.systems.cell import learn as cell_learn
from bulrushpulley.systems.cell import quarantine as cell_quarantine
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import stop as cell_stop
from bulrushpulley.systems.cell import throttle as cell_throttle
from bulrushpulley.systems.cell.liveness import autonomy_deadline, stop_deadline
from bulrushpulley.systems.cell.owner_events import CellStep, apply

MAX_UNEXPECTED_RUN_STOPS_PER_REPORT = 64
REPORT_DELAY_AFTER_STOP_S = 0.25
MIN_PROBE_RUN_S = 30.0
REPORT_TIMEOUT_S = 5 * WORKER_CALL_TIMEOUT_S
RENEWED_PHASES = frozenset({Phase.SENDING, Phase.UNKNOWN, Phase.RUNNING})
REPORTABLE_PHASES = RENEWED_PHASES | {Phase.STOPPING}


def request_reports(tables: CellOwnerTables, now: float) -> CellStep:
    """Request the reports that are due, while the owner may send commands."""
    commands: list[Command] = []
    not_after = min(now + WORKER_CALL_TIMEOUT_S, autonomy_deadline(tables))
    if tables.leaving or now > not_after:
        return Step(tables=tables)
    for worker in tables.workers.rows():
        if (
            worker.report_requested_at is not None
            and now - worker.report_requested_at < REPORT_TIMEOUT_S
        ):
            continue
        if not worker.url or now < worker.next_report_at:
            continue
        renewals = _renewals(tables, worker, now)
        requested = replace(
            worker,
            report_requested_at=now,
            next_report_at=now + report_interval_s(tables, worker),
            renewed_until=not_after if renewals else worker.renewed_until,
            renew_at=now + TASK_LEASE_RENEW_INTERVAL_S if renewals else worker.renew_at,
        )
        tables = cell_rows.put_worker(tables, requested)
        commands.append(
            RequestReport(
                worker_id=worker.worker_id,
                url=worker.url,
                not_after=not_after,
                requested_at=now,
                renewals=renewals,
            )
        )
    return Step(tables=tables, commands=tuple(commands))


def renew_all_task_leases(tables: CellOwnerTables, now: float) -> CellStep:
    """Renew all task leases once more, to last until a new owner has the cells."""
    workers = tables.workers
    for worker in workers.rows():
        workers = workers.put(
            worker.worker_id,
            replace(worker, report_requested_at=None, next_report_at=now, renew_at=now),
        )
    return request_reports(replace(tables, workers=workers), now)


def report_interval_s(tables: CellOwnerTables, worker: Worker) -> float:
    """Return the interval before the next report.

    The size of a report grows with the number of runs on the worker, so the interval
    grows with it. While the state of any task there is changing or unknown, it is
    `MIN_REPORT_INTERVAL_S`.
    """
    for key in tables.tasks.keys_where("worker", worker.worker_id):
        if tables.tasks.by_key[key].phase is not Phase.RUNNING:
            return MIN_REPORT_INTERVAL_S
    steady_s = max(MIN_REPORT_INTERVAL_S, REPORT_INTERVAL_PER_RUN_S * worker.runs)
    return min(MAX_REPORT_INTERVAL_S, steady_s)


def _renewals(
    tables: CellOwnerTables, worker: Worker, now: float
) -> tuple[Renewal, ...]:
    """Return the renewals that are due.

    Leases on an unreachable worker are not renewed, so that they expire.
    """
    if now < worker.renew_at or cell_stop.is_unreachable(worker, now):
        return ()
    return tuple(
        Renewal(
            task_id=task.row.spec.task_id,
            generation=task.row.generation,
            lease_s=TASK_LEASE_S,
        )
        for task in tables.tasks.rows_where("worker", worker.worker_id)
        if task.phase in RENEWED_PHASES
    )


@apply.register
def _(event: Leave, tables: CellOwnerTables, now: float) -> CellStep:
    renewed = renew_all_task_leases(tables, now)
    leaving = replace(renewed.tables, leaving=True)
    return Step(tables=leaving, commands=renewed.commands)


@apply.register
def _(event: Started, tables: CellOwnerTables, now: float) -> CellStep:
    task = _current_task(tables, event.task_key, event.generation)
    if task is None or task.phase not in (Phase.SENDING, Phase.UNKNOWN):
        return Step(tables=tables)
    running = replace(task, phase=Phase.RUNNING, since=now, settle_after=now)
    return Step(tables=cell_rows.put_task(tables, running))


@apply.register
def _(event: StartNotSent, tables: CellOwnerTables, now: float) -> CellStep:
    task = _current_task(tables, event.task_key, event.generation)
    tables = _record_failed_call(tables, event.worker_id, now)
    if task is None or task.phase not in (Phase.SENDING, Phase.STOPPING):
        return Step(tables=tables)
    reason = f"the start was not sent: {event.problem.detail}"
    return Step(tables=cell_stop.end_as_planned(tables, task, reason, now))


@apply.register
def _(event: StartUnknown, tables: CellOwnerTables, now: float) -> CellStep:
    task = _current_task(tables, event.task_key, event.generation)
    tables = _record_failed_call(tables, event.worker_id, now)
    if task is None or task.phase is not Phase.SENDING:
        return Step(tables=tables)
    unknown = replace(task, phase=Phase.UNKNOWN)
    return Step(tables=cell_rows.put_task(tables, unknown))


def _current_task(tables: CellOwnerTables, key: str, generation: int) -> Task | None:
    task = tables.tasks.get(key)
    if task is None or task.row.generation != generation:
        return None
    return task if task.phase in REPORTABLE_PHASES else None


@apply.register
def _(event: StopAnswered, tables: CellOwnerTables, now: float) -> CellStep:
    worker = tables.workers.get(event.worker_id)
    if worker is None:
        return Step(tables=tables)
    soon = min(worker.next_report_at, now + REPORT_DELAY_AFTER_STOP_S)
    worker = replace(worker, next_report_at=soon)
    return Step(tables=cell_rows.put_worker(tables, worker))


@apply.register
def _(event: StopUnanswered, tables: CellOwnerTables, now: float) -> CellStep:
    return Step(tables=tables)


@apply.register
def _(event: ReportUnanswered, tables: CellOwnerTables, now: float) -> CellStep:
    worker = tables.workers.get(event.worker_id)
    if worker is None or worker.report_requested_at != event.requested_at:
        return Step(tables=tables)
    tables = cell_rows.put_worker(tables, replace(worker, report_requested_at=None))
    return Step(tables=_record_failed_call(tables, event.worker_id, now))


def _record_failed_call(
    tables: CellOwnerTables, worker_id: str, now: float
) -> CellOwnerTables:
    worker = tables.workers.get(worker_id)
    if worker is None:
        return tables
    failed = replace(worker, unanswered_at=now, renew_at=now)
    tables = cell_rows.put_worker(tables, failed)
    return cell_rows.touch_cell(tables, worker.cell)


@apply.register
def _(event: WorkerReported, tables: CellOwnerTables, now: float) -> CellStep:
    worker = tables.workers.get(event.worker_id)
    if worker is None or worker.report_requested_at != event.requested_at:
        return Step(tables=tables)
    cell = tables.cells.by_key[worker.cell]
    loaded = cell.phase is CellPhase.OWNED
    newly_available = worker.reported_at is None or worker.unanswered_at is not None
    reported = replace(
        worker,
        report_requested_at=None,
        answered_at=now,
        runs=len(event.runs),
        reported_at=event.requested_at if loaded else worker.reported_at,
        unanswered_at=_still_unanswered(worker, event.requested_at),
    )
    tables = cell_rows.put_worker(tables, reported)
    if not loaded:
        return Step(tables=tables)
    if newly_available:
        tables = cell_rows.touch_cell(tables, worker.cell)
    return _apply_runs(event, tables, now)


def _still_unanswered(worker: Worker, requested_at: float) -> float | None:
    failed_at = worker.unanswered_at
    return failed_at if failed_at is not None and requested_at <= failed_at else None


def _apply_runs(event: WorkerReported, tables: CellOwnerTables, now: float) -> CellStep:
    worker = tables.workers.by_key[event.worker_id]
    commands: list[Command] = []
    unexpected_runs: list[RunReport] = []
    seen: set[str] = set()
    for run in event.runs:
        key = task_key(cell=worker.cell, task_id=run.task_id)
        if not is_current_run(tables, worker, key, run):
            unexpected_runs.append(run)
            continue
        seen.add(key)
        step = _apply_run(run, key, worker.worker_id, tables, now)
        tables = step.tables
        commands.extend(step.commands)
    tables = _end_missing(event, seen, tables, now)
    tables = cell_learn.learn(event, tables, now)
    tables = _record_unexpected_runs(tables, worker.worker_id, unexpected_runs)
    commands.extend(_stop_unexpected_runs(tables, worker, unexpected_runs, now))
    return Step(tables=tables, commands=tuple(commands))


def is_current_run(
    tables: CellOwnerTables, worker: Worker, key: str, run: RunReport
) -> bool:
    """Tell whether a run is of the generation that the owner assigned to the worker."""
    task = tables.tasks.get(key)
    if task is None or task.row.generation != run.generation:
        return False
    reportable = task.phase in REPORTABLE_PHASES or task.phase in (
        Phase.ENDED,
        Phase.WRITING,
    )
    return reportable and task.row.worker_id == worker.worker_id


def _apply_run(
    run: RunReport, key: str, worker_id: str, tables: CellOwnerTables, now: float
) -> CellStep:
    task = tables.tasks.by_key[key]
    if task.phase not in REPORTABLE_PHASES:
        return Step(tables=tables)
    if run.state is RunState.RUNNING:
        return Step(tables=_handle_running(tables, task, worker_id, now))
    worker = tables.workers.by_key[worker_id]
    if run.state is RunState.FINISHED:
        succeeded = cell_quarantine.handle_task_succeeded(tables, task, worker, now)
        finish = Finish(reason=f"finished on {worker_id}")
        ended = cell_stop.end_task(succeeded.tables, task, finish, now, run.checkpoint)
        return Step(tables=ended, commands=succeeded.commands)
    if run.state is RunState.FAILED and task.ending is None:
        return _handle_failed(run, task, worker, tables, now)
    reason = f"{run.state.value} on {worker_id}"
    ended = cell_stop.end_as_planned(tables, task, reason, now, run.checkpoint)
    return Step(tables=ended)


def _handle_running(
    tables: CellOwnerTables, task: Task, worker_id: str, now: float
) -> CellOwnerTables:
    """Mark a started task as running.

    A probing worker returns to service once a task has run for `MIN_PROBE_RUN_S`. A
    task in phase UNKNOWN may have been throttled by a previous owner, so its share is
    reset.
    """
    worker = tables.workers.by_key[worker_id]
    probe_passed = task.phase is Phase.RUNNING and now - task.since >= MIN_PROBE_RUN_S
    if probe_passed and worker.health is Health.PROBING:
        return cell_quarantine.return_to_service(tables, worker)
    if task.phase not in (Phase.SENDING, Phase.UNKNOWN):
        return tables
    running = replace(task, phase=Phase.RUNNING, since=now, settle_after=now)
    if task.phase is Phase.UNKNOWN:
        tables = cell_throttle.reset_share(tables, running, now)
    return cell_rows.put_task(tables, running)


def _handle_failed(
    run: RunReport, task: Task, worker: Worker, tables: CellOwnerTables, now: float
) -> CellStep:
    tables, counted, commands = cell_quarantine.handle_task_failed(
        tables, task, worker, now
    )
    fail = Fail(reason=f"failed on {worker.worker_id}: {run.detail}", counted=counted)
    tables = cell_stop.end_task(tables, task, fail, now, run.checkpoint)
    return Step(tables=tables, commands=commands)


def _end_missing(
    event: WorkerReported, seen: set[str], tables: CellOwnerTables, now: float
) -> CellOwnerTables:
    """End the tasks whose absence from the report shows that they are not running."""
    for task in tables.tasks.rows_where("worker", event.worker_id):
        if task.key in seen or task.phase not in REPORTABLE_PHASES:
            continue
        if absence_is_conclusive(task, event.requested_at):
            reason = f"{event.worker_id} does not run it"
            tables = cell_stop.end_as_planned(tables, task, reason, now)
    return tables


def absence_is_conclusive(task: Task, requested_at: float) -> bool:
    """Tell whether a task that the report lacks is proven not to be running.

    A report requested earlier may lack a task whose start was still in flight.
    """
    return requested_at > task.settle_after


def _record_unexpected_runs(
    tables: CellOwnerTables, worker_id: str, unexpected_runs: list[RunReport]
) -> CellOwnerTables:
    worker = tables.workers.by_key[worker_id]
    running = sum(1 for run in unexpected_runs if run.state is RunState.RUNNING)
    if running == worker.unexpected_runs:
        return tables
    tables = cell_rows.put_worker(tables, replace(worker, unexpected_runs=running))
    return cell_rows.touch_cell(tables, worker.cell)


def _stop_unexpected_runs(
    tables: CellOwnerTables,
    worker: Worker,
    unexpected_runs: list[RunReport],
    now: float,
) -> list[Command]:
    """Stop runs that the owner does not expect; the worker drops those that ended."""
    not_after = min(now + WORKER_CALL_TIMEOUT_S, stop_deadline(tables))
    if tables.leaving or now > not_after:
        return []
    return [
        StopTask(
            worker_id=worker.worker_id,
            url=worker.url,
            not_after=not_after,
            task_id=run.task_id,
            generation=run.generation,
            checkpoint=False,
        )
        for run in unexpected_runs[:MAX_UNEXPECTED_RUN_STOPS_PER_REPORT]
        if not is_newer_run(tables, worker, run)
    ]


def is_newer_run(tables: CellOwnerTables, worker: Worker, run: RunReport) -> bool:
    """Tell whether a run is of a later generation, which another owner started."""
    task = tables.tasks.get(task_key(cell=worker.cell, task_id=run.task_id))
    return task is not None and run.generation > task.row.generation
