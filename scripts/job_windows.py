"""Finds the time between acceptance and end of jobs, and what no run covers of it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace

from bulrushpulley.entities.jobs import rows
from scripts.idle_lines import Span
from scripts.log_lines import Line

FINAL_STATES = tuple(state.value for state in rows.FINAL_STATES)


def longest_gap(window: Span, busy: Iterable[Span]) -> Span:
    """Return the longest part of a window that no busy span covers."""
    longest = Span(start_s=window.start_s, end_s=window.start_s)
    free_s = window.start_s
    end = Span(start_s=window.end_s, end_s=window.end_s)
    for span in (*sorted(busy, key=lambda span: span.start_s), end):
        gap = Span(start_s=free_s, end_s=min(span.start_s, window.end_s))
        longest = max(longest, gap, key=lambda gap: gap.length_s)
        free_s = max(free_s, span.end_s)
    return longest


def job_windows(
    lines: Sequence[Line], accepting_kinds: Sequence[str] = ("job.accept",)
) -> dict[str, Span]:
    """Return the time from the acceptance of each job to its end or the log's."""
    window_by_job: dict[str, Span] = {}
    # The answer to a caller is no step of a job.
    last_s_by_job: dict[str, float] = {}
    for line in lines:
        job_id = line.subject.partition(".")[0]
        window = window_by_job.get(line.subject)
        if line.message_type in accepting_kinds and window is None:
            span = Span(start_s=line.timestamp, end_s=lines[-1].timestamp)
            window = window_by_job[line.subject] = span
        if window is not None and _ends_job(line):
            end_s = min(window.end_s, line.timestamp)
            window_by_job[line.subject] = replace(window, end_s=end_s)
        elif window is not None and _finds_job_ended(line):
            end_s = min(window.end_s, last_s_by_job.get(job_id, line.timestamp))
            end_s = max(window.start_s, end_s)
            window_by_job[line.subject] = replace(window, end_s=end_s)
        if line.message_type != "call.answer":
            last_s_by_job[job_id] = line.timestamp
    return window_by_job


def ended_jobs(lines: Iterable[Line]) -> frozenset[str]:
    """Return the jobs that an owner ended or found ended, or that were cancelled."""
    return frozenset(
        line.subject for line in lines if _ends_job(line) or _finds_job_ended(line)
    )


def cancelled_jobs(lines: Iterable[Line]) -> frozenset[str]:
    """Return the jobs that were cancelled."""
    return frozenset(line.subject for line in lines if line.chosen == "JobCancelled")


def _finds_job_ended(line: Line) -> bool:
    """Return whether an owner takes over a job that has ended."""
    return line.message_type == "job.accept" and line.reason.startswith(FINAL_STATES)


def _ends_job(line: Line) -> bool:
    """Return whether a line says that a job has ended; the owner's may be lost."""
    return line.message_type == "job.end" or line.chosen == "JobCancelled"
