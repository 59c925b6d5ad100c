"""Measures for how long jobs had nothing running, by the lines of agents.

An owner notes the end of a run only while there is an owner. So a run lasts here from
its `run.start` to its `run.end`, which agents write whether there is an owner or not.
A job lasts from when it is stored to its last `run.end` if it has ended, or to when it
is cancelled, else to the end of the log. Jobs with several occurrences are left out.

A run without a line of its end lasts until its host was lost, which is the last line of
the process that had it before that: before an owner gives the host up, before another
process of the host that does not name the run, or before a change of owner after which
the process wrote no more. It lasts to the end of the log on a host that still writes.
It ends at the latest when its backend server has ended, when its agent gives it up,
when an owner notes its end, or when the next run of its task is placed. A run that an
agent ends without a line of its start began with its placement.

A host that is frozen and then goes on counts as working meanwhile, and an end in the
time between two processes of an agent counts from the line of the second.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from scripts.idle_lines import Span, idle_lines_by_subject
from scripts.job_windows import cancelled_jobs, ended_jobs, job_windows, longest_gap
from scripts.log_lines import Line, missing_times_s
from scripts.owner_runs import RUN_KEY, runs_of

COUNTED_SPANS_S = (2.0, 3.0)
MAX_DIFFERENCE_S = 1.0
# How long after a change of owner all agents in touch have written that they heard it.
ADOPTION_TIME_S = 1.0
ACCEPTING_KINDS = ("job.store", "job.accept")
# Lines of agents which show that a run still goes on.
NAMING_KINDS = ("run.start", "run.pace")
# Lines of agents after which a run does not go on; only the first tells how it ended.
ENDING_KINDS = ("run.end", "run.refuse")
# Lines about a job or task that tell nothing new about it.
LATE_KINDS = ("call.answer", "run.noted")
WORKED_ENDINGS = ("done", "failed")
OWNING_KINDS = ("shard.claim", "shard.own", "shard.ready")
# The name of a process and the identity of one of its lives.
ProcessLife = tuple[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class TrueSpan:
    """The longest time in which nothing of a job ran, by the lines of agents.

    `owner_s` is the longest part of it in which owners knew that nothing ran.
    """

    job_id: str
    span: Span
    owner_s: float

    @property
    def differs(self) -> bool:
        """Whether owners knew of much less than there was."""
        return self.span.length_s - self.owner_s > MAX_DIFFERENCE_S


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentRun:
    """The lines about one run."""

    task_id: str
    number: int
    about: Sequence[Line]

    @property
    def job_id(self) -> str:
        """The job of the run."""
        return self.task_id.partition(".")[0]

    def first(self, *kinds: str) -> Line | None:
        """Return the first line of one of some kinds."""
        return next((line for line in self.about if line.message_type in kinds), None)


@dataclass(frozen=True, kw_only=True, slots=True)
class HostLines:
    """When the lives of processes wrote, and which backend servers ended when.

    `owned_s` is the last change of owner that all agents in touch have heard of.
    """

    times_s_by_life: Mapping[ProcessLife, Sequence[float]]
    server_ends: Sequence[Line]
    owned_s: float
    log_end_s: float

    def last_s(self, life: ProcessLife, until_s: float) -> float | None:
        """Return when a life wrote last, up to some time."""
        times_s = self.times_s_by_life.get(life, ())
        return max((at for at in times_s if at <= until_s), default=None)

    def is_replaced(self, life: ProcessLife) -> bool:
        """Return whether another process of the same name has started since."""
        began_s = self.times_s_by_life[life][0]
        return any(
            other[0] == life[0] and other != life and times_s[0] > began_s
            for other, times_s in self.times_s_by_life.items()
        )


def _host_lines(lines: Sequence[Line]) -> HostLines:
    times_s_by_life: defaultdict[ProcessLife, list[float]] = defaultdict(list)
    for line in lines:
        times_s_by_life[_life(line)].append(line.timestamp)
    log_end_s = lines[-1].timestamp
    owned_s = [
        line.timestamp
        for line in lines
        if line.message_type == "shard.own"
        and line.timestamp <= log_end_s - ADOPTION_TIME_S
    ]
    return HostLines(
        times_s_by_life=times_s_by_life,
        server_ends=[
            line
            for line in lines
            if line.message_type == "server.state" and line.chosen == "ended"
        ],
        owned_s=max(owned_s, default=-float("inf")),
        log_end_s=log_end_s,
    )


def _life(line: Line) -> ProcessLife:
    return line.process, line.task_uuid


def agent_runs(lines: Sequence[Line]) -> list[AgentRun]:
    """Return the runs in the sequence of their tasks and numbers."""
    about_by_key: defaultdict[str, list[Line]] = defaultdict(list)
    for line in lines:
        if RUN_KEY.fullmatch(line.subject):
            about_by_key[line.subject].append(line)
    runs: list[AgentRun] = []
    for key, about in about_by_key.items():
        task_id, _, number = key.rpartition("#")
        runs.append(AgentRun(task_id=task_id, number=int(number), about=about))
    return sorted(runs, key=lambda run: (run.task_id, run.number))


def _work_span(run: AgentRun, following: AgentRun | None, hosts: HostLines) -> Span:
    """Return when a run worked, which is no time if it never began."""
    placed_s = run.about[0].timestamp
    named = [line for line in run.about if line.message_type in NAMING_KINDS]
    ended = run.first(*ENDING_KINDS)
    noted = run.first("task.end")
    if not named and not _has_worked(ended, noted):
        return Span(start_s=placed_s, end_s=placed_s)
    started = run.first("run.start")
    start_s = started.timestamp if started else placed_s
    if ended:
        end_s = ended.timestamp
    else:
        end_s = _unended_s(named, noted, hosts)
        if following:
            end_s = min(end_s, following.about[0].timestamp)
    return Span(start_s=start_s, end_s=max(start_s, end_s))


def _has_worked(ended: Line | None, noted: Line | None) -> bool:
    """Return whether a run whose start has no line ended as only one that began can."""
    return bool(
        (ended and ended.chosen in WORKED_ENDINGS)
        or (noted and noted.reason.startswith(WORKED_ENDINGS))
    )


def _unended_s(named: Sequence[Line], noted: Line | None, hosts: HostLines) -> float:
    """Return until when a run worked that no agent ended."""
    if noted and not noted.reason.startswith("lost"):
        return noted.timestamp
    until_s = noted.timestamp if noted else hosts.log_end_s
    if not named:
        return until_s
    begun = named[0]
    life = _life(named[-1])
    server_ended_s = [
        line.timestamp
        for line in hosts.server_ends
        if line.process == begun.process
        and line.timestamp >= begun.timestamp
        and line.subject.partition("/")[0] == begun.chosen
    ]
    until_s = min((until_s, *server_ended_s))
    last_s = hosts.last_s(life, until_s)
    is_silent = hosts.times_s_by_life[life][-1] < hosts.owned_s
    if last_s is not None and (noted or hosts.is_replaced(life) or is_silent):
        return last_s
    return until_s


def true_spans(lines: Sequence[Line]) -> list[TrueSpan]:
    """Return the longest span of each job, the longest first.

    There is none if agents wrote no ends.
    """
    if not any(line.message_type == "run.end" for line in lines):
        return []
    runs = agent_runs(lines)
    timed = {run.job_id for run in runs if run.task_id.split(".")[1] != "0"}
    busy_by_job = _busy_by_job(runs, _host_lines(lines))
    accepted = job_windows(lines, ACCEPTING_KINDS)
    windows = _until_known(lines, _until_last_end(lines, accepted, runs))
    owner_busy_by_job: defaultdict[str, list[Span]] = defaultdict(list)
    for run in runs_of(lines, missing_times_s(lines)):
        if run.running:
            owner_busy_by_job[run.task_id.partition(".")[0]].append(run.running)
    idle_by_subject = idle_lines_by_subject(lines)
    found: list[TrueSpan] = []
    for job_id, window in windows.items():
        if job_id in timed:
            continue
        span = longest_gap(window, busy_by_job.get(job_id, ()))
        logged = (line.span for line in idle_by_subject.get(job_id, ()))
        owner_gap = longest_gap(span, owner_busy_by_job.get(job_id, ()))
        owner_s = max(owner_gap.length_s, _longest_part_s(span, logged))
        found.append(TrueSpan(job_id=job_id, span=span, owner_s=owner_s))
    return sorted(found, key=lambda each: -each.span.length_s)


def _busy_by_job(
    runs: Sequence[AgentRun], hosts: HostLines
) -> Mapping[str, Sequence[Span]]:
    busy_by_job: defaultdict[str, list[Span]] = defaultdict(list)
    for run, following in zip(runs, (*runs[1:], None), strict=False):
        if following and following.task_id != run.task_id:
            following = None
        busy_by_job[run.job_id].append(_work_span(run, following, hosts))
    return busy_by_job


def _until_last_end(
    lines: Sequence[Line], windows: Mapping[str, Span], runs: Sequence[AgentRun]
) -> Mapping[str, Span]:
    """Return the times of jobs, of those that have ended only to their last end."""
    ended_s_by_job: dict[str, float] = {}
    for run in runs:
        if ended := run.first("run.end", "task.end"):
            last_s = ended_s_by_job.get(run.job_id, ended.timestamp)
            ended_s_by_job[run.job_id] = max(last_s, ended.timestamp)
    over = ended_jobs(lines) - cancelled_jobs(lines)
    return {
        job_id: (
            replace(window, end_s=min(window.end_s, ended_s_by_job[job_id]))
            if job_id in over and job_id in ended_s_by_job
            else window
        )
        for job_id, window in windows.items()
    }


def _until_known(
    lines: Sequence[Line], windows: Mapping[str, Span]
) -> Mapping[str, Span]:
    """Return the times of jobs; an end whose line may be missing is no wait."""
    log_end_s = lines[-1].timestamp
    missing_s = missing_times_s(lines)
    last_s_by_job: dict[str, float] = {}
    for line in lines:
        last_s_by_job[line.subject.partition(".")[0]] = line.timestamp
    known: dict[str, Span] = {}
    for job_id, window in windows.items():
        last_s = last_s_by_job[job_id]
        is_open = window.end_s == log_end_s
        is_unknown = is_open and any(at > last_s for at in missing_s)
        known[job_id] = replace(window, end_s=last_s) if is_unknown else window
    return known


def _longest_part_s(span: Span, others: Iterable[Span]) -> float:
    """Return how much of a span the one that covers most of it covers."""
    parts_s = (
        min(span.end_s, other.end_s) - max(span.start_s, other.start_s)
        for other in others
    )
    return max(parts_s, default=0.0)


def true_lines(
    lines: Sequence[Line], spans: Sequence[TrueSpan], *, worst: int
) -> list[str]:
    """Return the text about the worst spans, with the last lines until their ends.

    Those are the last line about the job and each task, and the changes of owner.
    """
    printed: list[str] = []
    for each in spans[:worst]:
        span = each.span
        text = (
            f"true: {each.job_id}: {span.length_s:.2f} s,"
            f" from {span.start_s:.3f} s to {span.end_s:.3f} s"
        )
        if each.differs:
            text += f"; the owner saw {each.owner_s:.2f} s of it"
        printed.append(text)
        until = [line for line in lines if line.timestamp < span.end_s]
        last_by_subject = _last_by_subject(each.job_id, until)
        changes = [
            (line.subject, line)
            for line in until
            if line.message_type in OWNING_KINDS and line.timestamp >= span.start_s
        ]
        for subject, line in (*sorted(last_by_subject.items()), *changes):
            text = f"{line.message_type} {line.chosen} {line.reason}"
            printed.append(f"    {subject:24} {line.timestamp:8.3f} {text}")
    return printed


def _last_by_subject(job_id: str, lines: Iterable[Line]) -> Mapping[str, Line]:
    """Return the last line about a job and each of its tasks.

    Answers to callers are left out, and what owners note of an end that an agent wrote.
    """
    last_by_subject: dict[str, Line] = {}
    for line in lines:
        if line.subject.partition(".")[0] != job_id or line.message_type in LATE_KINDS:
            continue
        subject = line.subject.partition("#")[0]
        last = last_by_subject.get(subject)
        has_end = last is not None and last.message_type in ENDING_KINDS
        if has_end and line.message_type == "task.end":
            continue
        last_by_subject[subject] = line
    return last_by_subject


def true_summary(spans: Sequence[TrueSpan]) -> str:
    """Return one line with the worst span, and how many exceed each length."""
    if not spans:
        return "true: not known, no agent wrote of an end"
    worst = spans[0]
    first_s, *others_s = COUNTED_SPANS_S
    counts = f"{_count_over(spans, first_s)} jobs over {first_s:g} s"
    for least_s in others_s:
        counts += f", {_count_over(spans, least_s)} over {least_s:g} s"
    differing = sum(each.differs for each in spans)
    return (
        f"true: worst {worst.span.length_s:.2f} s ({worst.job_id},"
        f" {worst.span.start_s:.3f} s to {worst.span.end_s:.3f} s); {counts};"
        f" {differing} differ from the owner's by over {MAX_DIFFERENCE_S:g} s"
    )


def _count_over(spans: Iterable[TrueSpan], least_s: float) -> int:
    return sum(each.span.length_s > least_s for each in spans)
