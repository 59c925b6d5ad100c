"""Writes the lines and histograms of the spans in which nothing of a job has run."""

from __future__ import annotations

from collections.abc import Iterator

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.idle_jobs import EndedSpan, IdleSpan
from bulrushpulley.entities.jobs.scheduler_tables import (
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.task import TaskState
from bulrushpulley.entities.observe import Observe
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.lasting_states import (
    FIRST_REPORT_AGE_S,
    MAX_OBSERVED_PER_REPORT,
    first_lines,
    is_report_due,
    left_out,
)
from bulrushpulley.systems.scheduling import edits

MIN_LOGGED_SPAN_S = 1.5
# From the least to the most advanced.
TURN_STATES = (
    TaskState.BLOCKED,
    TaskState.WAITING,
    TaskState.PLACED,
    TaskState.HELD,
)


def severity(ended: EndedSpan) -> tuple[float, float]:
    """Return the sort key of a span: the room counts before the length."""
    return ended.room_s, ended.idle_s


def ended_lines(tables: SchedulerTables, now: float) -> Iterator[Command]:
    """Report the spans that ended since the last report, those with room first."""
    ended = tables.idle_jobs.ended
    for each in ended[:MAX_OBSERVED_PER_REPORT]:
        yield Observe(
            name="job_idle_seconds",
            seconds=each.room_s or each.idle_s,
            label="yes" if each.room_s else "no",
        )
    due = [each for each in ended if each.idle_s >= MIN_LOGGED_SPAN_S]
    logged = first_lines(due)
    for each in logged:
        text = f", ended {now - each.ended_at:.2f} s ago"
        more = left_out(due) if each is logged[-1] else ""
        yield _line(tables, each, text, more)


def report_lasting(
    tables: SchedulerTables, last_report_at: float, now: float
) -> SchedulerStep:
    """Report the spans that have reached one of the ages, those with room first.

    The time for which there has been room counts as well as the span. A span that a
    report leaves out stays due until its first line.
    """
    idle = tables.idle_jobs
    due = [
        EndedSpan(span=span, ended_at=now)
        for span in idle.spans.by_key.values()
        if _is_due(span, last_report_at, now)
    ]
    due.sort(key=_urgency, reverse=True)
    logged = first_lines(due)
    commands = tuple(
        _line(tables, each, "", left_out(due) if each is logged[-1] else "")
        for each in logged
    )
    spans = idle.spans
    for each in logged:
        span = replace(each.span, is_logged=True)
        spans = spans.put(span.subject, span)
    tables = replace(tables, idle_jobs=replace(idle, spans=spans))
    return Step(tables=tables, commands=commands)


def _is_due(span: IdleSpan, last_report_at: float, now: float) -> bool:
    return (
        is_report_due(span.since, last_report_at, now)
        or is_report_due(span.room_since or now, last_report_at, now)
        or (not span.is_logged and now - span.since >= FIRST_REPORT_AGE_S)
    )


def _urgency(each: EndedSpan) -> tuple[bool, bool, float, float]:
    return each.room_s > 0.0, not each.span.is_logged, each.room_s, each.idle_s


def _line(tables: SchedulerTables, each: EndedSpan, text: str, more: str) -> Command:
    """Return the line of a span; `text` says when it ended, if it has."""
    span = each.span
    state_s = span.state_s(each.ended_at)
    states = ", ".join(
        f"{state.value} {state_s[state]:.1f} s"
        for state in TURN_STATES
        if state in state_s
    )
    known = "" if span.room_examined_at else ", not examined"
    reason = f"idle for {each.idle_s:.2f} s{text}: {states}; {span.task_id}"
    task = tables.tasks.get(span.task_id)
    if task is not None and task.job_id in tables.jobs:
        need = edits.step_of(tables, task).committed
        reason += (
            f" run {task.run} needs {need.processors_m}, {need.memory_mb},"
            f" {need.accelerators}"
        )
    reason += f"; {span.held_back}" if span.held_back else ""
    chosen = f"room {each.room_s:.2f} s" if each.room_s else f"no room{known}"
    return edits.log(tables, "job.idle_span", span.subject, chosen, reason + more)
