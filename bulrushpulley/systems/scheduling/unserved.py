"""Logs what lasts although it should not: tasks that wait, runs and hosts unsettled.

Each state is logged once it has lasted for 3 s, and again at doubling ages. Nothing is
decided here.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import NO_LINK, Host
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.task import UNSETTLED, Task, TaskState, step_key
from bulrushpulley.entities.observe import Observe
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.lasting_states import (
    MAX_OBSERVED_PER_REPORT,
    REPORT_INTERVAL_S,
    first_lines,
    is_report_due,
    left_out,
)
from bulrushpulley.systems.scheduling import (
    advising,
    edits,
    excluding,
    lease_expiry,
)

# The tasks of a step usually begin to wait together, so a few tell how long it waits.
MAX_EXAMINED_PER_STEP = 32
# Bounds the time of a report while very many steps wait.
MAX_EXAMINED_STEPS = 2_000


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Report once the interval has passed."""
    last_report_at = tables.unserved_reported_at
    if not edits.is_loaded(tables) or now - last_report_at < REPORT_INTERVAL_S:
        return Step(tables=tables)
    tables = replace(
        tables,
        unserved_reported_at=now,
        unsynced_since_by_host=_unsynced_since(tables, now),
    )
    commands = (
        *_report_waiting(tables, last_report_at, now),
        *_report_unsettled(tables, last_report_at, now),
        *_report_idle_jobs(tables, last_report_at, now),
        *_report_hosts(tables, last_report_at, now),
    )
    return Step(tables=tables, commands=commands)


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingStep:
    """The task of a step that has waited longest, and how many of the step wait."""

    first: Task
    count: int


def _report_waiting(
    tables: SchedulerTables, last_report_at: float, now: float
) -> Iterable[Command]:
    """Report the steps with waiting tasks, by the task that has waited longest."""
    keys_by_step = tables.tasks.by_index["waiting_step"]
    due = [
        WaitingStep(first=first, count=len(keys))
        for keys in islice(keys_by_step.values(), MAX_EXAMINED_STEPS)
        if is_report_due(
            (first := _first_waiting(tables, keys)).since, last_report_at, now
        )
    ]
    if not due:
        return
    due.sort(key=lambda step: (step.first.since, step.first.task_id))
    hosts = excluding.open_hosts(tables, now)
    logged = first_lines(due)
    for step in due[:MAX_OBSERVED_PER_REPORT]:
        queue = tables.jobs.by_key[step.first.job_id].row.queue
        waited_s = now - step.first.since
        yield Observe(name="step_waiting_seconds", seconds=waited_s, label=queue)
    for step in logged:
        reason = _explain_waiting(tables, hosts, step, now)
        if step is logged[-1]:
            reason += left_out(due) + _unexamined(len(keys_by_step))
        yield edits.log(tables, "task.wait", step.first.task_id, "", reason)


def _unexamined(step_count: int) -> str:
    """Return the end of a report's last line, with the count of steps not examined."""
    count = step_count - MAX_EXAMINED_STEPS
    return f"; {count} more are not examined" if count > 0 else ""


def _first_waiting(tables: SchedulerTables, keys: Iterable[str]) -> Task:
    """Return the waiting task of a step that has waited longest, of those examined."""
    rows = tables.tasks.by_key
    tasks = [rows[key] for key in islice(keys, MAX_EXAMINED_PER_STEP)]
    first = tasks[0]
    for task in tasks:
        if (task.since, task.index) < (first.since, first.index):
            first = task
    return first


def _explain_waiting(
    tables: SchedulerTables,
    hosts: excluding.OpenHosts,
    step: WaitingStep,
    now: float,
) -> str:
    task = step.first
    job = tables.jobs.by_key[task.job_id]
    need = job.step(task.step).committed
    counts = excluding.count_hosts(tables, hosts, job, task, now)
    return (
        f"for {now - task.since:.1f} s with {step.count} of its step,"
        f" after run {task.run};"
        f" needs {need.processors_m}, {need.memory_mb}, {need.accelerators};"
        f" {counts.taking} of {counts.total} hosts would take it"
        f"{excluding.describe_refusals(counts, task, now)}: {counts.describe()};"
        f" oldest contact {_oldest_contact(tables, now)},"
        f" placement {now - tables.last_placement_at:.1f} s ago"
        f"{_explain_advice(tables, job, task, now)}"
    )


def _oldest_contact(tables: SchedulerTables, now: float) -> str:
    """Return the age of the oldest contact of the linked hosts, as text."""
    ages_s = [
        now - host.last_contact_at
        for host in tables.hosts.by_key.values()
        if host.peer and host.last_contact_at > 0.0
    ]
    return f"{max(ages_s):.1f} s ago" if ages_s else "none"


def _explain_advice(tables: SchedulerTables, job: Job, task: Task, now: float) -> str:
    if advising.advice_terms(tables, job) is None:
        return ""
    key = step_key(task.job_id, task.occurrence, task.step)
    known = tables.advice.get(key)
    calls = [advice.step_key for advice in tables.advice.rows() if advice.in_flight]
    tickets = known.ticket_by_server if known is not None else {}
    until = known.valid_until_by_server if known is not None else {}
    ends = [until.get(server_id, now) for server_id in tickets]
    valid_s = max(ends, default=now) - now
    return (
        f", {len(tickets)} tickets of {len(until)} servers asked about,"
        f" the last valid for {valid_s:.1f} s, advice asked for {calls}"
    )


def _report_unsettled(
    tables: SchedulerTables, last_report_at: float, now: float
) -> Iterable[Command]:
    """Report the runs that were not reported as running or ended."""
    rows = tables.tasks.by_key
    due = [
        task
        for key in tables.tasks.keys_where("unsettled", UNSETTLED)
        if is_report_due((task := rows[key]).since, last_report_at, now)
    ]
    due.sort(key=lambda task: (task.since, task.task_id))
    logged = first_lines(due)
    for task in due[:MAX_OBSERVED_PER_REPORT]:
        yield Observe(
            name="task_unsettled_seconds",
            seconds=now - task.since,
            label=task.state.value,
        )
    for task in logged:
        host = tables.hosts.get(task.host) or Host(name=task.host)
        lives = "same" if host.life == task.life else f"another, {host.life!r}"
        reason = (
            f"{task.state.value} for {now - task.since:.1f} s;"
            f" {_describe_host(host, now)}; incarnation {lives};"
            f" written {not edits.is_unwritten(tables, task.job_id)}"
        )
        reason += left_out(due) if task is logged[-1] else ""
        subject = f"{task.task_id}#{task.run}"
        yield edits.log(tables, "task.unsettled", subject, task.host, reason)


def _given_up_in_s(tables: SchedulerTables, host: Host, now: float) -> float:
    """Return after how long the runs on a host that stays silent count as lost."""
    owning = tables.leadership
    if not isinstance(owning, Owning):
        return 0.0
    return max(0.0, lease_expiry.leases_expired_at(tables, owning, host) - now)


def _describe_host(host: Host, now: float) -> str:
    contact = "none"
    if host.last_contact_at > 0.0:
        contact = f"{now - host.last_contact_at:.1f} s ago"
    return (
        f"host {host.state.value}, linked {bool(host.peer)}, synced {host.synced},"
        f" contact {contact}"
    )


def _report_idle_jobs(
    tables: SchedulerTables, last_report_at: float, now: float
) -> Iterable[Command]:
    """Report the jobs whose open tasks are all blocked although one of them is due."""
    tasks = tables.tasks
    due: list[tuple[float, Job]] = []
    for job_id in tasks.by_index["blocked"]:
        if tasks.count_where("blocked", job_id) < tasks.count_where("open", job_id):
            continue
        job = tables.jobs.by_key[job_id]
        since = _idle_since(tables, job, now)
        if since is not None and is_report_due(since, last_report_at, now):
            due.append((since, job))
    due.sort(key=lambda pair: (pair[0], pair[1].job_id))
    logged = first_lines(due)
    for since, job in logged:
        blocked = tasks.count_where("blocked", job.job_id)
        reason = (
            f"{job.state.value}, nothing held or waiting for {now - since:.1f} s;"
            f" {blocked} tasks blocked, written"
            f" {not edits.is_unwritten(tables, job.job_id)}"
        )
        reason += left_out(due) if job is logged[-1][1] else ""
        yield edits.log(tables, "job.idle", job.job_id, "", reason)


def _idle_since(tables: SchedulerTables, job: Job, now: float) -> float | None:
    """Return when the last task changed or became due; None if none is due yet."""
    if job.is_final:
        return None
    spec, offset_s = job.row.spec, tables.wall_offset_s
    tasks = tables.tasks.rows_where("job", job.job_id)
    due_times = [
        spec.due_s(task.occurrence) - offset_s
        for task in tasks
        if task.state is TaskState.BLOCKED
    ]
    first_due_at = min(due_times)
    if first_due_at > now:
        return None
    return max(first_due_at, *(task.since for task in tasks))


def _unsynced_since(tables: SchedulerTables, now: float) -> Map[str, float]:
    """Return since when linked hosts have been seen not synced."""
    known = tables.unsynced_since_by_host
    return Map(
        {
            name: max(known.get(name, now), host.linked_at)
            for name, host in tables.hosts.by_key.items()
            if host.peer and not host.synced
        }
    )


def _report_hosts(
    tables: SchedulerTables, last_report_at: float, now: float
) -> Iterable[Command]:
    """Report the linked hosts that are not synced, and hosts that make no contact.

    Without a link and without runs, a host is not expected to make contact.
    """
    owning = tables.leadership
    owned_since = owning.since if isinstance(owning, Owning) else now
    due: list[tuple[float, Host]] = []
    for name, host in tables.hosts.by_key.items():
        if not host.peer and not tables.tasks.count_where("host", name):
            continue
        silent_since = max(host.last_contact_at, host.linked_at, owned_since)
        since = min(silent_since, tables.unsynced_since_by_host.get(name, now))
        if is_report_due(since, last_report_at, now):
            due.append((since, host))
    due.sort(key=lambda pair: (pair[0], pair[1].name))
    logged = first_lines(due)
    unlinked = tables.hosts.count_where("missing_link", NO_LINK)
    for since, host in logged:
        held = tables.tasks.count_where("host", host.name)
        reason = (
            f"for {now - since:.1f} s; {_describe_host(host, now)};"
            f" adopted {host.announced_epoch == tables.epoch},"
            f" linked {now - host.linked_at:.1f} s ago, {held} tasks held,"
            f" given up in {_given_up_in_s(tables, host, now):.1f} s without contact;"
            f" {unlinked} hosts have no link"
        )
        reason += left_out(due) if host is logged[-1][1] else ""
        yield edits.log(tables, "host.unsettled", host.name, host.life, reason)
