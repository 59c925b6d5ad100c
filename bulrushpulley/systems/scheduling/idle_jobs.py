"""Measures for how long nothing of a job has run although a task's turn has come.

The platform counts such a job as lost after 3 s if there is room for the task twice.
Each lasting task is measured for itself. The hosts that count for the room include
those that the scheduler has closed by choice. Nothing is decided here.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from heapq import nsmallest
from itertools import islice

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.idle_jobs import EndedSpan, IdleSpan
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import (
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.task import UNSETTLED, Task, TaskState
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.lasting_states import REPORT_INTERVAL_S
from bulrushpulley.systems.scheduling import (
    edits,
    excluding,
    idle_reports,
    room,
    unblocking,
)

MIN_EXAMINE_INTERVAL_S = 0.2
# Bounds the processor time: the interval grows with the number of rows, up to a limit.
MAX_EXAMINED_ROWS_PER_S = 2_000
MAX_EXAMINE_INTERVAL_S = 1.0
# The tasks of a step usually begin to wait together, so a few tell how long it waits.
MAX_EXAMINED_WAITING_TASKS = 32
# Most tasks run sooner.
MIN_EXAMINED_SPAN_S = 0.4
MAX_NEW_SPANS_PER_EXAMINATION = 500
MAX_ROOMS_PER_EXAMINATION = 200
# Counting what excludes each host takes longer than looking for room.
MIN_EXPLAINED_SPAN_S = 1.0
MAX_EXPLAINED_PER_EXAMINATION = 2
MAX_ENDED_PER_REPORT = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class Turn:
    """Tasks whose turn has come while nothing runs of `subject`, a job or a task."""

    subject: str
    job: Job
    tasks: Sequence[Task]

    @property
    def came_at(self) -> float:
        """When the first of the turns came."""
        return min(_turn_came_at(task) for task in self.tasks)

    @property
    def most_advanced(self) -> Task:
        """The task that is nearest to running."""
        return max(
            self.tasks, key=lambda task: idle_reports.TURN_STATES.index(task.state)
        )


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Examine the jobs once the interval has passed, and report the spans."""
    if not edits.is_loaded(tables) or now < tables.idle_jobs.next_due_at:
        return Step(tables=tables)
    tables = examine(tables, now)
    idle = tables.idle_jobs
    if now - idle.reported_at < REPORT_INTERVAL_S:
        return Step(tables=tables)
    ended = tuple(idle_reports.ended_lines(tables, now))
    lasting = idle_reports.report_lasting(tables, idle.reported_at, now)
    idle = replace(lasting.tables.idle_jobs, ended=(), reported_at=now)
    tables = replace(lasting.tables, idle_jobs=idle)
    return Step(tables=tables, commands=(*ended, *lasting.commands))


def examine(tables: SchedulerTables, now: float) -> SchedulerTables:
    """Update the spans from the tasks as they are now."""
    idle = tables.idle_jobs
    turn_by_subject = {
        turn.subject: turn
        for turn in _turns(tables, now)
        if now - turn.came_at >= MIN_EXAMINED_SPAN_S
    }
    spans, ended = idle.spans, list(idle.ended)
    for span in idle.spans.by_key.values():
        turn = turn_by_subject.get(span.subject)
        ended_at = _ended_at(tables, span, turn, now)
        if ended_at is not None:
            spans = spans.drop(span.subject)
            ended.append(EndedSpan(span=span, ended_at=max(span.since, ended_at)))
    for subject, span in idle.spans.by_key.items():
        if subject in spans:
            updated = _updated(span, turn_by_subject[subject], now)
            spans = spans.put(subject, updated) if updated is not span else spans
    unknown = (turn for turn in turn_by_subject.values() if turn.subject not in spans)
    for turn in islice(unknown, MAX_NEW_SPANS_PER_EXAMINATION):
        span = _new_span(tables, turn)
        if now - span.since >= MIN_EXAMINED_SPAN_S:
            spans = spans.put(turn.subject, span)
    ended.sort(key=idle_reports.severity, reverse=True)
    rows = (
        len(tables.tasks.by_index["waiting"])
        + len(tables.tasks.by_index["blocked"])
        + tables.tasks.count_where("unsettled", UNSETTLED)
        + len(spans)
        + (len(tables.hosts) if spans else 0)
    )
    interval_s = max(MIN_EXAMINE_INTERVAL_S, rows / MAX_EXAMINED_ROWS_PER_S)
    interval_s = min(interval_s, MAX_EXAMINE_INTERVAL_S)
    tables = replace(
        tables,
        idle_jobs=replace(
            idle,
            spans=spans,
            ended=tuple(ended[:MAX_ENDED_PER_REPORT]),
            examined_at=now,
            next_due_at=now + interval_s,
        ),
    )
    return _explain(_examine_room(tables, now), now)


def _turns(tables: SchedulerTables, now: float) -> Iterator[Turn]:
    """Yield the turns of jobs of which nothing runs, and of single lasting tasks."""
    unsettled_by_job = _unsettled_by_job(tables)
    waiting = tables.tasks.by_index["waiting"]
    for job_id in {**waiting, **unsettled_by_job}:
        job = tables.jobs.by_key[job_id]
        if job.is_final:
            continue
        unsettled = unsettled_by_job.get(job_id, ())
        lasts = any(step.lasting for step in job.row.spec.steps)
        runs = _running_count(tables, job_id, len(unsettled)) > 0
        if runs and not lasts:
            continue
        tasks = [*_waiting(tables, job_id, lasts=lasts), *unsettled]
        lasting = [task for task in tasks if lasts and job.step(task.step).lasting]
        for task in lasting:
            yield Turn(subject=task.task_id, job=job, tasks=(task,))
        others = [task for task in tasks if task not in lasting] if lasting else tasks
        if others and not runs:
            yield Turn(subject=job_id, job=job, tasks=others)
    yield from _blocked_turns(tables, now)


def _unsettled_by_job(tables: SchedulerTables) -> Mapping[str, Sequence[Task]]:
    """Return the tasks that are placed or held; a run that is being stopped works."""
    tasks_by_job: defaultdict[str, list[Task]] = defaultdict(list)
    rows = tables.tasks.by_key
    for key in tables.tasks.keys_where("unsettled", UNSETTLED):
        task = rows[key]
        if task.state is not TaskState.STOPPING:
            tasks_by_job[task.job_id].append(task)
    return tasks_by_job


def _waiting(tables: SchedulerTables, job_id: str, *, lasts: bool) -> Iterable[Task]:
    """Return waiting tasks of a job: some of them, or all if tasks of it last."""
    rows = tables.tasks.by_key
    keys = tables.tasks.keys_where("waiting", job_id)
    examined = keys if lasts else islice(keys, MAX_EXAMINED_WAITING_TASKS)
    return (rows[key] for key in examined)


def _running_count(tables: SchedulerTables, job_id: str, unsettled: int) -> int:
    """Count the tasks of a job that run, of which `unsettled` are placed or held."""
    tasks = tables.tasks
    idle = tasks.count_where("waiting", job_id) + tasks.count_where("blocked", job_id)
    return tasks.count_where("open", job_id) - idle - unsettled


def _blocked_turns(tables: SchedulerTables, now: float) -> Iterator[Turn]:
    """Yield the jobs whose open tasks are all blocked although a turn has come."""
    tasks = tables.tasks
    wall_s = now + tables.wall_offset_s
    for job_id in tasks.by_index["blocked"]:
        if tasks.count_where("blocked", job_id) < tasks.count_where("open", job_id):
            continue
        job = tables.jobs.by_key[job_id]
        if job.is_final:
            continue
        for key in tasks.keys_where("blocked", job_id):
            task = tasks.by_key[key]
            if unblocking.is_ready(tables, job, task, wall_s):
                yield Turn(subject=job_id, job=job, tasks=(task,))
                break


def _new_span(tables: SchedulerTables, turn: Turn) -> IdleSpan:
    """Return a span that began with the turn, or with the end of the last run."""
    task, job_id = turn.most_advanced, turn.job.job_id
    since = max(turn.came_at, _last_run_ended_at(tables, turn))
    return IdleSpan(
        subject=turn.subject,
        job_id=job_id,
        task_id=task.task_id,
        since=since,
        open_count=tables.tasks.count_where("open", job_id),
        state=task.state,
        state_since=max(since, task.since),
    )


def _turn_came_at(task: Task) -> float:
    # A blocked task whose turn has come follows on the end of the last run.
    return 0.0 if task.state is TaskState.BLOCKED else task.idle_since


def _last_run_ended_at(tables: SchedulerTables, turn: Turn) -> float:
    """Return when the last run of a job, or of a lasting task, ended; 0 if none has."""
    if turn.subject != turn.job.job_id:
        return turn.tasks[0].idle_since
    tasks = tables.tasks.by_key
    keys = tables.tasks.keys_where("job", turn.subject)
    return max((_run_ended_at(tasks[key]) for key in keys), default=0.0)


def _run_ended_at(task: Task) -> float:
    if task.state is TaskState.DONE:
        return task.since
    return task.idle_since if task.run else 0.0


def _ended_at(
    tables: SchedulerTables, span: IdleSpan, turn: Turn | None, now: float
) -> float | None:
    """Return when a span ended; None if it lasts."""
    examined_at = tables.idle_jobs.examined_at
    if turn is None:
        return _began_to_run_at(tables, span, examined_at, now)
    is_job = span.subject == span.job_id
    open_count = tables.tasks.count_where("open", span.job_id)
    has_run = any(_ran_since(turn.job, task, examined_at) for task in turn.tasks)
    return examined_at if has_run or (is_job and open_count < span.open_count) else None


def _ran_since(job: Job, task: Task, at: float) -> bool:
    """Return whether a run of a task, or of a step before it, has ended since `at`."""
    had_run = task.run > 0 or bool(job.step(task.step).after)
    is_blocked = task.state is TaskState.BLOCKED
    return had_run and not is_blocked and task.idle_since > at


def _began_to_run_at(
    tables: SchedulerTables, span: IdleSpan, examined_at: float, now: float
) -> float:
    if now - span.since < idle_reports.MIN_LOGGED_SPAN_S:
        return examined_at
    is_job = span.subject == span.job_id
    rows = tables.tasks.by_key
    keys = tables.tasks.keys_where("job", span.job_id) if is_job else (span.subject,)
    began_at = [
        task.running_since
        for key in keys
        if (task := rows.get(key)) is not None and task.running_since >= examined_at
    ]
    return min(began_at, default=examined_at)


def _updated(span: IdleSpan, turn: Turn, now: float) -> IdleSpan:
    """Return a span with its most advanced task as it is now."""
    task = turn.most_advanced
    if task.state is span.state and span.task_id in tuple(
        each.task_id for each in turn.tasks if each.state is span.state
    ):
        return span
    return replace(
        span,
        task_id=task.task_id,
        state=task.state,
        state_since=now,
        seconds_by_state=span.state_s(now),
    )


def _examine_room(tables: SchedulerTables, now: float) -> SchedulerTables:
    """Update whether there is room, first for the spans not examined for longest."""
    idle = tables.idle_jobs
    due = nsmallest(
        MAX_ROOMS_PER_EXAMINATION,
        idle.spans.by_key.values(),
        key=lambda span: (span.room_examined_at, span.since),
    )
    if not due:
        return tables
    tasks = [tables.tasks.by_key[span.task_id] for span in due]
    is_roomy_by_task = room.have_room_twice(tables, tasks)
    spans = idle.spans
    for span in due:
        is_roomy = is_roomy_by_task.get(span.task_id)
        if is_roomy is not None:
            spans = spans.put(span.subject, _with_room(span, is_roomy, now))
    return replace(tables, idle_jobs=replace(idle, spans=spans))


def _with_room(span: IdleSpan, is_roomy: bool, now: float) -> IdleSpan:
    # A span that is examined for the first time began shortly before.
    began_at = now if span.room_examined_at else span.since
    room_since = span.room_since if span.room_since is not None else began_at
    return replace(
        span,
        room_examined_at=now,
        room_since=room_since if is_roomy else None,
        longest_room_s=span.longest_room_s if is_roomy else span.room_s(now),
    )


def _explain(tables: SchedulerTables, now: float) -> SchedulerTables:
    """Record what keeps some of the spans with room from running."""
    idle = tables.idle_jobs
    due = [
        span
        for span in idle.spans.by_key.values()
        if span.room_since is not None
        and now - span.since >= MIN_EXPLAINED_SPAN_S
        and now - span.explained_at >= REPORT_INTERVAL_S
    ]
    if not due:
        return tables
    due.sort(key=lambda span: (span.explained_at, span.since))
    hosts = excluding.open_hosts(tables, now)
    spans = idle.spans
    for span in due[:MAX_EXPLAINED_PER_EXAMINATION]:
        held_back = _held_back(tables, hosts, span, now)
        span = replace(span, held_back=held_back, explained_at=now)
        spans = spans.put(span.subject, span)
    return replace(tables, idle_jobs=replace(idle, spans=spans))


def _held_back(
    tables: SchedulerTables, hosts: excluding.OpenHosts, span: IdleSpan, now: float
) -> str:
    task = tables.tasks.by_key[span.task_id]
    if task.host:
        host = tables.hosts.by_key[task.host]
        heard_s = now - host.last_contact_at
        return (
            f"{task.state.value} on {task.host}, {host.state.value},"
            f" contact {heard_s:.1f} s ago, written"
            f" {not edits.is_unwritten(tables, task.job_id)}"
        )
    if task.state is TaskState.BLOCKED:
        return "blocked although its turn has come"
    job = tables.jobs.by_key[task.job_id]
    counts = excluding.count_hosts(tables, hosts, job, task, now)
    return (
        f"{counts.taking} of {counts.total} hosts would take it"
        f"{excluding.describe_refusals(counts, task, now)}: {counts.describe()}"
    )
