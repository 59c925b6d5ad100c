"""A simulated worker: an immutable table of runs and pure functions.

The worker starts every task that it receives, even beyond its capacity, and starts a
task twice if it receives the start twice. Leases expire by the worker's own clock. A
run that has ended stays in the reports until a stop without checkpoint removes it.
"""

from __future__ import annotations

import enum
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, replace

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.table import Table

FAILURE_DELAY_S = 0.2
# Usage reports show the runs as they were this long before.
USAGE_LAG_S = 10.0
HARM_RETENTION_S = 2 * USAGE_LAG_S
LATENCY_ALONE_MS = 100.0
# One in this many jobs is harmful.
HARMFUL_ONE_IN = 4
HARM_MS = 80.0


class RunState(enum.Enum):
    """The state of a run; the values appear in reports."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """An order to start a task.

    A task with `run_s` 0 runs until it is stopped. A checkpoint is the number of
    seconds of work that are already done.
    """

    task_id: str
    generation: int
    lease_s: float
    run_s: float
    size: Resources
    checkpoint: str = ""
    task_class: str = "batch"


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One run of a task, throttled to the fraction `share` of its full speed."""

    start: Start
    state: RunState
    started_at: float
    done_s: float
    progress_updated_at: float
    lease_until: float
    share: float = 1.0
    fails_at: float = float("inf")
    checkpoint: str = ""
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Renew:
    """Extends the lease of a run to `lease_s` from now."""

    task_id: str
    generation: int
    lease_s: float


def by_task(run: Run) -> tuple[str, ...]:
    """Index runs by task and generation."""
    return (f"{run.start.task_id}|{run.start.generation}",)


@dataclass(frozen=True, kw_only=True, slots=True)
class HarmLevel:
    """The latency added by all batch runs together, from `at` to the next level."""

    at: float
    harm_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerState:
    """All runs of a worker by number, and whether new runs fail.

    `harm_by_job` is by how many milliseconds one run of a job raises the latency of
    every latency-critical run on the worker. Without it, a hash of the job's name
    decides.
    """

    runs: Table[Run]
    started: int = 0
    fail_all: bool = False
    harm_by_job: Mapping[str, float] | None = None
    harm_levels: tuple[HarmLevel, ...] = ()

    @staticmethod
    def empty() -> WorkerState:
        """Return a worker without runs."""
        return WorkerState(runs=Table.empty(indexes={"task": by_task}))


def start(state: WorkerState, order: Start, now: float) -> WorkerState:
    """Start a run, regardless of the runs that exist."""
    done_s = float(order.checkpoint or 0.0)
    run = Run(
        start=order,
        state=RunState.RUNNING,
        started_at=now,
        done_s=done_s,
        progress_updated_at=now,
        lease_until=now + order.lease_s,
        fails_at=now + FAILURE_DELAY_S if state.fail_all else float("inf"),
        checkpoint=order.checkpoint,
    )
    number = state.started + 1
    key = f"{number:08d}"
    started = replace(state, started=number, runs=state.runs.put(key, run))
    return _with_harm_recorded(started, now)


def advance(state: WorkerState, now: float) -> WorkerState:
    """Update the progress of the runs up to now; end those that are due."""
    runs = state.runs
    for key in runs:
        run = runs.by_key[key]
        if run.state is RunState.RUNNING:
            runs = runs.put(key, _advanced(run, now))
    return _with_harm_recorded(replace(state, runs=runs), now)


def _with_harm_recorded(state: WorkerState, now: float) -> WorkerState:
    """Record the current harm, which later usage reports show."""
    harm_ms = sum(
        harm_of(state, run.start.task_id) * run.share
        for run in state.runs.rows()
        if run.state is RunState.RUNNING and run.start.task_class == "batch"
    )
    harm_levels = tuple(
        level for level in state.harm_levels if now - level.at <= HARM_RETENTION_S
    )
    if not harm_levels and state.harm_levels:
        harm_levels = state.harm_levels[-1:]
    if not harm_levels or harm_levels[-1].harm_ms != harm_ms:
        harm_levels = (*harm_levels, HarmLevel(at=now, harm_ms=harm_ms))
    return replace(state, harm_levels=harm_levels)


def harm_of(state: WorkerState, task_id: str) -> float:
    """Return the latency in milliseconds that one run adds at full speed."""
    job = task_id.split("/")[0]
    if state.harm_by_job is not None:
        return state.harm_by_job.get(job, 0.0)
    return 0.0 if zlib.crc32(job.encode()) % HARMFUL_ONE_IN else HARM_MS


def latency_ms(state: WorkerState, run: Run, at: float) -> float:
    """Return the latency of a run at a past time; zero for batch runs."""
    if run.start.task_class == "batch":
        return 0.0
    before = [level.harm_ms for level in state.harm_levels if level.at <= at]
    return LATENCY_ALONE_MS + (before[-1] if before else 0.0)


def _advanced(run: Run, now: float) -> Run:
    until = min(now, run.lease_until, run.fails_at)
    done_s = run.done_s + run.share * max(0.0, until - run.progress_updated_at)
    advanced = replace(run, done_s=done_s, progress_updated_at=now)
    if run.start.run_s and done_s >= run.start.run_s:
        return replace(advanced, state=RunState.FINISHED)
    if run.fails_at <= min(now, run.lease_until):
        return replace(advanced, state=RunState.FAILED, detail="exit status 1")
    if run.lease_until <= now:
        return replace(advanced, state=RunState.LAPSED)
    return advanced


def renew(state: WorkerState, renewals: tuple[Renew, ...], now: float) -> WorkerState:
    """Extend the leases of the runs that are still running."""
    state = advance(state, now)
    runs = state.runs
    for renewal in renewals:
        index = f"{renewal.task_id}|{renewal.generation}"
        for key in list(runs.keys_where("task", index)):
            run = runs.by_key[key]
            if run.state is RunState.RUNNING:
                renewed = replace(run, lease_until=now + renewal.lease_s)
                runs = runs.put(key, renewed)
    return replace(state, runs=runs)


def stop(
    state: WorkerState, task_id: str, generation: int, checkpoint: bool, now: float
) -> WorkerState:
    """Stop a generation; without `checkpoint` remove it if it has ended."""
    state = advance(state, now)
    runs = state.runs
    for key in list(runs.keys_where("task", f"{task_id}|{generation}")):
        run = runs.by_key[key]
        if run.state is RunState.RUNNING:
            saved = f"{run.done_s:.3f}" if checkpoint else run.checkpoint
            stopped = replace(run, state=RunState.STOPPED, checkpoint=saved)
            runs = runs.put(key, stopped)
        elif not checkpoint:
            runs = runs.drop(key)
    return _with_harm_recorded(replace(state, runs=runs), now)


def throttle(
    state: WorkerState, task_id: str, generation: int, share: float, now: float
) -> WorkerState:
    """Throttle a generation to a share of its full speed."""
    state = advance(state, now)
    runs = state.runs
    for key in list(runs.keys_where("task", f"{task_id}|{generation}")):
        runs = runs.put(key, replace(runs.by_key[key], share=share))
    return _with_harm_recorded(replace(state, runs=runs), now)


def runs_with_usage(state: WorkerState, now: float) -> tuple[Run, ...]:
    """Return the runs whose usage is known, which takes `USAGE_LAG_S`."""
    return tuple(
        run
        for run in state.runs.rows()
        if run.state is RunState.RUNNING and now - run.started_at >= USAGE_LAG_S
    )


def running_size(state: WorkerState) -> Resources:
    """Return the total size of the running tasks, for checks in tests."""
    total = Resources()
    for run in state.runs.rows():
        if run.state is RunState.RUNNING:
            total = total.plus(run.start.size)
    return total
