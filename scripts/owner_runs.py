"""Reads the runs of tasks; each ends when an owner takes note of its end."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from scripts.idle_lines import Span
from scripts.log_lines import Line

RUN_KEY = re.compile(r"\w+\.\d+\.\d+\.\d+#\d+")
# Lines of agents about a run that works.
WORK_KINDS = ("run.start", "run.pace")


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One run of a task, as far as the lines tell."""

    task_id: str
    number: int
    seen: Span
    running: Span | None
    ended_as: str
    has_start: bool


def runs_of(lines: Sequence[Line], missing_s: Sequence[float]) -> list[Run]:
    """Return the runs of all tasks; each ends at the latest when the next is placed."""
    times_by_process: defaultdict[str, list[float]] = defaultdict(list)
    lines_by_run: defaultdict[str, list[Line]] = defaultdict(list)
    for line in lines:
        times_by_process[line.process].append(line.timestamp)
        if RUN_KEY.fullmatch(line.subject):
            lines_by_run[line.subject].append(line)
    # A new owner accepts all jobs again; not all of these lines are missing.
    owned_s_by_process = {
        line.task_uuid: line.timestamp
        for line in reversed(lines)
        if line.message_type in ("shard.own", "job.accept")
    }
    owned_s = max(owned_s_by_process.values(), default=-float("inf"))
    last_by_process = {name: times_s[-1] for name, times_s in times_by_process.items()}
    silent_since = {name: at for name, at in last_by_process.items() if at < owned_s}
    found = [
        _run(about, times_by_process, silent_since, missing_s, lines[-1].timestamp)
        for about in lines_by_run.values()
    ]
    runs: list[Run] = []
    for run in sorted(found, key=lambda run: (run.task_id, run.number)):
        last = runs[-1] if runs else None
        if last and last.running and last.task_id == run.task_id:
            end_s = min(last.running.end_s, run.seen.start_s)
            end_s = max(end_s, last.running.start_s)
            runs[-1] = replace(last, running=replace(last.running, end_s=end_s))
        if last and run.running and not run.has_start and last.task_id == run.task_id:
            run = replace(run, running=replace(run.running, start_s=last.seen.end_s))
        runs.append(run)
    return runs


def _run(
    about: Sequence[Line],
    times_by_process: Mapping[str, Sequence[float]],
    silent_since: Mapping[str, float],
    missing_s: Sequence[float],
    log_end_s: float,
) -> Run:
    task_id, _, number = about[0].subject.rpartition("#")
    seen = Span(start_s=about[0].timestamp, end_s=about[-1].timestamp)
    start = _start(about)
    end = next((line for line in about if line.message_type == "task.end"), None)
    running = None
    if start is not None:
        last_s = silent_since.get(start.process, log_end_s)
        end_s = end.timestamp if end else last_s
        if end is None and start.process in silent_since:
            # A later run would show in the line of another agent.
            is_known = not any(start.timestamp < at <= last_s for at in missing_s)
            seen = replace(seen, end_s=log_end_s if is_known else seen.end_s)
            end_s = last_s if is_known else log_end_s
        if end and end.reason.startswith("lost"):
            heard = (at for at in times_by_process.get(end.chosen, ()) if at <= end_s)
            end_s = max(heard, default=start.timestamp)
        running = Span(start_s=start.timestamp, end_s=max(start.timestamp, end_s))
    elif end and end.reason.startswith(("done", "failed")):
        running = seen
    return Run(
        task_id=task_id,
        number=int(number),
        seen=seen,
        running=running,
        ended_as=end.reason if end else "",
        has_start=len(about) > 1 or end is None,
    )


def _start(about: Sequence[Line]) -> Line | None:
    """Return the line of a run's start, or one of its agent at the time it was placed.

    A list of runs may show a run before its start is answered; agents of earlier
    versions have no line of such a start.
    """
    worked = [line for line in about if line.message_type in WORK_KINDS]
    if not worked:
        return None
    if worked[0].message_type == "run.start":
        return worked[0]
    return replace(worked[0], timestamp=about[0].timestamp)
