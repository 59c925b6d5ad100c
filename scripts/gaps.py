"""Prints for how long jobs had nothing running, from the log lines of a play.

``scripts/gaps [--worst N] FILE`` reads the lines that the processes of a deployment
wrote. It first prints the longest time of each job in which nothing of it ran by the
lines of agents, which `true_spans` measures, with the last lines until then and the
changes of owner. Where owners saw over a second less of it, the line says so. The last
line of all, which begins with `true:`, sums these up.

Then come such times by the lines of owners, for jobs and for single tasks, from the
first placement of each, with the last line about each task. There, a run lasts from its
start at an agent to its end at the owner, so time without an owner counts as work. If
it ended as lost, it lasts to the last line of its host before that; if it has no end,
to the last line of a host that has written none since the last change of owner. Jobs
with several occurrences are left out, since no line says when one is due. A run without
a line of its start that an agent has paced began with its placement. A job that a next
owner finds ended has ended with the last line about it before. What reads a log may
drop lines of a busy process, which shows in their numbers: if owners' lines are missing
after the last line about a job or task that has no end, the time after that line does
not count.

Each time comes with the longest part of it for which an owner saw room for the task
twice, as far as its `job.idle_span` lines tell; those of several owners are joined. The
end says how many differences owners logged between their books and those of agents, or
the rows of a table, how much of the capacity was in use last, and names the worst
times.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from absl import app, flags

from bulrushpulley.systems.scheduling.setting_aside import FAILURE_KINDS
from scripts.book_lines import books_line
from scripts.idle_lines import (
    MIN_LOGGED_SPAN_S,
    IdleLine,
    Span,
    capacity_lines,
    describe_room,
    idle_lines_by_subject,
    owned_times_s,
    room_in,
)
from scripts.job_windows import job_windows, longest_gap
from scripts.log_lines import Line, missing_times_s, parse
from scripts.owner_runs import Run, runs_of
from scripts.true_spans import true_lines, true_spans, true_summary

FLAGS = flags.FLAGS
COUNTED_GAPS_S = (3.0, 6.0, 12.0)
# The subject is a job or a task.
Gap = tuple[str, Span]


def find_gaps(lines: Sequence[Line]) -> tuple[list[Gap], list[Gap]]:
    """Return the longest gap of each job and of each task, the longest first."""
    if not lines:
        return [], []
    missing_s = missing_times_s(lines)
    runs_by_task: defaultdict[str, list[Run]] = defaultdict(list)
    for run in runs_of(lines, missing_s):
        runs_by_task[run.task_id].append(run)
    timed = {task.split(".")[0] for task in runs_by_task if task.split(".")[1] != "0"}
    runs_by_job: defaultdict[str, list[Run]] = defaultdict(list)
    windows = job_windows(lines)

    def gap(subject: str, window: Span, runs: Sequence[Run], is_open: bool) -> Gap:
        seen_s = max((run.seen.end_s for run in runs), default=window.start_s)
        if is_open and any(seen_s < at <= window.end_s for at in missing_s):
            window = replace(window, end_s=seen_s)
        busy = [run.running for run in runs if run.running]
        return subject, longest_gap(window, busy)

    log_end_s = lines[-1].timestamp
    task_gaps: list[Gap] = []
    for task_id, runs in runs_by_task.items():
        job_id = task_id.split(".")[0]
        if job_id in windows and job_id not in timed:
            runs_by_job[job_id].extend(runs)
            window = replace(windows[job_id], start_s=runs[0].seen.start_s)
            if runs[-1].ended_as.startswith("done"):
                window = replace(window, end_s=min(window.end_s, runs[-1].seen.end_s))
            is_open = not runs[-1].ended_as or window.end_s == log_end_s
            task_gaps.append(gap(task_id, window, runs, is_open))
    job_gaps = [
        gap(job_id, window, runs_by_job.get(job_id, ()), window.end_s == log_end_s)
        for job_id, window in windows.items()
        if job_id not in timed
    ]
    return _longest_first(job_gaps), _longest_first(task_gaps)


def _longest_first(gaps: Iterable[Gap]) -> list[Gap]:
    return sorted(gaps, key=lambda gap: -gap[1].length_s)


def worst_line(
    job_gaps: Sequence[Gap],
    idle_by_subject: Mapping[str, Sequence[IdleLine]],
    owned_s: Sequence[float],
) -> str:
    """Return one line with the worst time with room, and the worst of all.

    Those of lasting tasks are the spans that owners logged.
    """
    rooms = [
        (room_in(span, idle_by_subject.get(subject, ()), owned_s), subject)
        for subject, span in job_gaps
        if span.length_s >= MIN_LOGGED_SPAN_S
    ]
    count = sum(room.seen_s >= COUNTED_GAPS_S[0] for room, _ in rooms)
    seen = max(((room.seen_s, subject) for room, subject in rooms), default=(0.0, "-"))
    possible_s = max((room.possible_s for room, _ in rooms), default=0.0)
    longest = job_gaps[0] if job_gaps else ("-", Span(start_s=0.0, end_s=0.0))
    lasting = [
        line
        for subject, logged in idle_by_subject.items()
        if "." in subject
        for line in logged
    ]
    lasting_room_s = max((line.room_s for line in lasting), default=0.0)
    lasting_s = max((line.span.length_s for line in lasting), default=0.0)
    job_id = seen[1] if seen[0] else "-"
    return (
        f"worst: {seen[0]:.2f} s with room ({job_id}),"
        f" at most {possible_s:.2f} s with what is not known;"
        f" {longest[1].length_s:.2f} s of all ({longest[0]});"
        f" {count} jobs with room for {COUNTED_GAPS_S[0]:g} s;"
        f" lasting tasks {lasting_room_s:.2f} s with room, {lasting_s:.2f} s of all"
    )


def summary(name: str, gaps: Sequence[Gap]) -> str:
    """Return one line with the longest gap and how many exceed each length."""
    longest_s = gaps[0][1].length_s if gaps else 0.0
    counts = ", ".join(
        f"{sum(span.length_s > least_s for _, span in gaps)} over {least_s:g} s"
        for least_s in COUNTED_GAPS_S
    )
    return f"{len(gaps)} {name}: longest gap {longest_s:.2f} s, {counts}"


def failure_lines(lines: Sequence[Line]) -> list[str]:
    """Return a line if an owner failed to handle jobs or to report; else none."""
    failed = [line for line in lines if line.message_type in FAILURE_KINDS]
    if not failed:
        return []
    first = failed[0]
    return [
        f"failures: {len(failed)}, the first at {first.timestamp:.3f} s:"
        f" {first.message_type} {first.subject}: {first.reason}"
    ]


def report(lines: Sequence[Line], *, worst: int) -> list[str]:
    """Return the text for a log."""
    lines_by_job: defaultdict[str, list[Line]] = defaultdict(list)
    for line in lines:
        lines_by_job[line.subject.partition(".")[0]].append(line)
    job_gaps, task_gaps = find_gaps(lines)
    idle_by_subject = idle_lines_by_subject(lines)
    owned_s = owned_times_s(lines)
    spans = true_spans(lines)
    printed = true_lines(lines, spans, worst=worst)
    for subject, span in (*job_gaps[:worst], *task_gaps[:worst]):
        times = f"from {span.start_s:.3f} s to {span.end_s:.3f} s"
        logged = idle_by_subject.get(subject, ())
        text = f"{subject}: {span.length_s:.2f} s, {times}"
        if logged or "." not in subject:
            # Only the lasting ones of the tasks have spans of their own.
            text += f", {describe_room(span, room_in(span, logged, owned_s))}"
        printed.append(text)
        last_by_task = {
            line.subject.partition("#")[0]: line
            for line in lines_by_job[subject.partition(".")[0]]
            if line.timestamp < span.end_s and line.subject.startswith(subject)
        }
        for task_id, line in sorted(last_by_task.items()):
            text = f"{line.message_type} {line.chosen} {line.reason}"
            printed.append(f"    {task_id:24} {line.timestamp:8.3f} {text}")
    return [
        *printed,
        summary("jobs", job_gaps),
        summary("tasks", task_gaps),
        books_line(lines),
        *failure_lines(lines),
        *capacity_lines(lines),
        worst_line(job_gaps, idle_by_subject, owned_s),
        true_summary(spans),
    ]


def main(argv: list[str]) -> None:
    """Read the logs and print the report."""
    texts: list[str] = []
    for path in argv[1:]:
        with open(path, encoding="utf-8", errors="replace") as file:
            texts.extend(file)
    lines = parse(texts if argv[1:] else sys.stdin)
    print("\n".join(report(lines, worst=FLAGS.worst)))


if __name__ == "__main__":
    flags.DEFINE_integer("worst", 10, "How many jobs and how many tasks to print.")
    app.run(main)
