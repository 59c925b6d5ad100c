"""Derives again what follows from the owner's tables, and puts right what differs.

One event unblocks a task, sends its start, ends its job or frees its room, and nothing
comes back to it if that event was handled without it. A slice of the tables is checked
each second; a difference is never in flight, as each tick leaves the tables consistent.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from itertools import islice

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.books import Slice
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.progress_commit import SendStart
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import UNSETTLED, Task, TaskState, step_key
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.lasting_states import first_lines, left_out
from bulrushpulley.systems.scheduling import (
    edits,
    finishing,
    occurrences,
    unblocking,
)

REDERIVE_INTERVAL_S = 1.0
# Bound the time of a check; larger tables take several.
MAX_ROWS_PER_CHECK = 2_000
MAX_TASKS_PER_CHECK = 5_000


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Check the next jobs and hosts, and the tasks that were placed."""
    state = tables.rederiving
    if not edits.is_loaded(tables) or now - state.checked_at < REDERIVE_INTERVAL_S:
        return Step(tables=tables)
    jobs = next_slice(tables.jobs, state.jobs, lambda key: 0)
    hosts = next_slice(
        tables.hosts, state.hosts, lambda key: tables.tasks.count_where("host", key)
    )
    checked = replace(state, checked_at=now, jobs=jobs, hosts=hosts)
    tables = replace(tables, rederiving=checked)
    commands: list[Command] = []
    for check in (_count_room, _send_starts, _unblock, _complete):
        step = check(tables, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def next_slice(
    keys: Iterable[str], before: Slice, tasks_of: Callable[[str], int]
) -> Slice:
    """Return the keys that follow those of the check before, up to the bounds."""
    ordered = sorted(keys)
    first = 0 if before.is_last else bisect_right(ordered, before.keys[-1])
    chosen: list[str] = []
    tasks = 0
    for key in islice(ordered, first, first + MAX_ROWS_PER_CHECK):
        tasks += tasks_of(key)
        if chosen and tasks > MAX_TASKS_PER_CHECK:
            break
        chosen.append(key)
    is_last = not chosen or chosen[-1] == ordered[-1]
    return Slice(keys=tuple(chosen), is_last=is_last)


def _lines(
    tables: SchedulerTables, subjects: Sequence[str], reason: str
) -> tuple[Command, ...]:
    logged = first_lines(subjects)
    return tuple(
        edits.log(
            tables,
            "books.differ",
            subject,
            "derived",
            reason + (left_out(subjects) if subject == logged[-1] else ""),
        )
        for subject in logged
    )


def _count_room(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Count what the tasks of hosts hold, which each change of a task updates."""
    wrong: list[str] = []
    for name in tables.rederiving.hosts.keys:
        host = tables.hosts.get(name)
        if host is None:
            continue
        if host.committed != edits.counted_committed(tables, name):
            wrong.append(name)
            tables = edits.put_host(tables, edits.with_counted_room(tables, host))
    if wrong:
        tables = replace(tables, place_due=True)
    reason = "its tasks do not hold what counts as held"
    return Step(tables=tables, commands=_lines(tables, wrong, reason))


def _send_starts(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Have the starts sent again of placed tasks for which none is due.

    No order has been sent for a placed task, so it cannot start twice.
    """
    unsettled = tables.tasks.keys_where("unsettled", UNSETTLED)
    tasks = (tables.tasks.by_key[key] for key in islice(unsettled, MAX_TASKS_PER_CHECK))
    wrong = [task for task in tasks if _lacks_start(tables, task)]
    for task in wrong:
        start = SendStart(task_id=task.task_id, run=task.run)
        tables = edits.mark_dirty(tables, task.job_id, start)
    reason = "it is placed and its start is not due"
    subjects = [task.task_id for task in wrong]
    return Step(tables=tables, commands=_lines(tables, subjects, reason))


def _lacks_start(tables: SchedulerTables, task: Task) -> bool:
    if task.state is not TaskState.PLACED:
        return False
    start = SendStart(task_id=task.task_id, run=task.run)
    return start not in edits.deferred_effects(tables, task.job_id)


def _unblock(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Unblock the tasks that are due and whose earlier steps are complete."""
    wrong: list[str] = []
    for job in _open_jobs(tables):
        if _has_ready(tables, job, now):
            wrong.append(job.job_id)
            tables = unblocking.unblock(tables, job, now)
    reason = "tasks are blocked whose earlier steps are complete"
    return Step(tables=tables, commands=_lines(tables, wrong, reason))


def _open_jobs(tables: SchedulerTables) -> list[Job]:
    found = (tables.jobs.get(job_id) for job_id in tables.rederiving.jobs.keys)
    return [job for job in found if job is not None and not job.is_final]


def _has_ready(tables: SchedulerTables, job: Job, now: float) -> bool:
    """Return whether more tasks of a job are blocked than its later steps have."""
    tasks, spec = tables.tasks, job.row.spec
    wall_s = now + tables.wall_offset_s
    left = tasks.count_where("blocked", job.job_id)
    if not left:
        return False
    for occurrence in range(job.done_occurrences, job.next_occurrence):
        for number in range(len(spec.steps)):
            if not unblocking.is_step_ready(tables, job, occurrence, number, wall_s):
                key = step_key(job.job_id, occurrence, number)
                left -= tasks.count_where("open", key)
    return left > 0


def _complete(tables: SchedulerTables, now: float) -> SchedulerStep:
    """End the jobs whose tasks are all complete."""
    wrong = [job for job in _open_jobs(tables) if occurrences.is_complete(tables, job)]
    commands: list[Command] = []
    for job in wrong:
        step = finishing.complete(tables, job, now)
        tables = step.tables
        commands.extend(step.commands)
    reason = "it has not ended although its tasks are complete"
    lines = _lines(tables, [job.job_id for job in wrong], reason)
    return Step(tables=tables, commands=(*lines, *commands))
