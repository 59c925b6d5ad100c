"""One worker, as an immutable table of runs and pure functions.

It starts whatever it is given, whether it fits or not, and twice if it is told
twice. Leases lapse on the worker's own clock. A run that has ended stays in the
reports until a stop without checkpoint has it forgotten.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.table import Table

FAILS_AFTER_S = 0.2
USAGE_LAG_S = 10.0


class RunState(enum.Enum):
    """The state of a run; the values appear in reports."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """What a worker is told to start.

    `run_s` 0 runs until it is stopped. A checkpoint names the seconds of work
    that were done already.
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
    """One run of a task; `share` is the part of its speed that it may use."""

    start: Start
    state: RunState
    began_at: float
    done_s: float
    counted_at: float
    leased_until: float
    share: float = 1.0
    fails_at: float = float("inf")
    checkpoint: str = ""
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Renew:
    """Extends the lease of a run from now."""

    task_id: str
    generation: int
    lease_s: float


def by_task(run: Run) -> tuple[str, ...]:
    """Index runs by task and generation."""
    return (f"{run.start.task_id}|{run.start.generation}",)


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerState:
    """All runs of a worker by number, and whether it fails what it starts."""

    runs: Table[Run]
    started: int = 0
    fail_all: bool = False

    @staticmethod
    def empty() -> WorkerState:
        """Return a worker that runs nothing."""
        return WorkerState(runs=Table.empty(indexes={"task": by_task}))


def start(state: WorkerState, told: Start, now: float) -> WorkerState:
    """Start a run, whatever runs already."""
    done_s = float(told.checkpoint or 0.0)
    run = Run(
        start=told,
        state=RunState.RUNNING,
        began_at=now,
        done_s=done_s,
        counted_at=now,
        leased_until=now + told.lease_s,
        fails_at=now + FAILS_AFTER_S if state.fail_all else float("inf"),
        checkpoint=told.checkpoint,
    )
    number = state.started + 1
    key = f"{number:08d}"
    return replace(state, started=number, runs=state.runs.put(key, run))


def advance(state: WorkerState, now: float) -> WorkerState:
    """Let running tasks work, finish, fail or lapse up to now."""
    runs = state.runs
    for key in runs:
        run = runs.by_key[key]
        if run.state is RunState.RUNNING:
            runs = runs.put(key, _advanced(run, now))
    return replace(state, runs=runs)


def _advanced(run: Run, now: float) -> Run:
    until = min(now, run.leased_until, run.fails_at)
    done_s = run.done_s + run.share * max(0.0, until - run.counted_at)
    worked = replace(run, done_s=done_s, counted_at=now)
    if run.start.run_s and done_s >= run.start.run_s:
        return replace(worked, state=RunState.FINISHED)
    if run.fails_at <= min(now, run.leased_until):
        return replace(worked, state=RunState.FAILED, detail="exit status 1")
    if run.leased_until <= now:
        return replace(worked, state=RunState.LAPSED)
    return worked


def renew(state: WorkerState, renewals: tuple[Renew, ...], now: float) -> WorkerState:
    """Extend the leases of runs that still run."""
    state = advance(state, now)
    runs = state.runs
    for renewal in renewals:
        index = f"{renewal.task_id}|{renewal.generation}"
        for key in list(runs.keys_where("task", index)):
            run = runs.by_key[key]
            if run.state is RunState.RUNNING:
                leased = replace(run, leased_until=now + renewal.lease_s)
                runs = runs.put(key, leased)
    return replace(state, runs=runs)


def stop(
    state: WorkerState, task_id: str, generation: int, checkpoint: bool, now: float
) -> WorkerState:
    """Stop a generation; without `checkpoint` forget it if it has ended."""
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
    return replace(state, runs=runs)


def throttle(
    state: WorkerState, task_id: str, generation: int, share: float, now: float
) -> WorkerState:
    """Let a generation work at a share of its speed."""
    state = advance(state, now)
    runs = state.runs
    for key in list(runs.keys_where("task", f"{task_id}|{generation}")):
        runs = runs.put(key, replace(runs.by_key[key], share=share))
    return replace(state, runs=runs)


def used(state: WorkerState, now: float) -> tuple[Run, ...]:
    """Return the runs whose usage is known by now: it lags by `USAGE_LAG_S`."""
    return tuple(
        run
        for run in state.runs.rows()
        if run.state is RunState.RUNNING and now - run.began_at >= USAGE_LAG_S
    )


def running_size(state: WorkerState) -> Resources:
    """Return the sum over everything that runs, for checks."""
    total = Resources()
    for run in state.runs.rows():
        if run.state is RunState.RUNNING:
            total = total.plus(run.start.size)
    return total
