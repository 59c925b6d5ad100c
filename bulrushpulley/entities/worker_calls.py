"""What an owner asks of workers and what it hears from them, free of encoding.

Every command carries `not_after`, an instant of the owner's monotonic clock that
is checked right before the call leaves: a command is not sent after it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem


class RunState(enum.Enum):
    """The state of a run on a worker; all but RUNNING have ended."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerCommand(Command):
    """The base of the calls to a worker, which answers under `url`."""

    worker_id: str
    url: str
    not_after: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask(WorkerCommand):
    """Starts one generation of a task; sent at most once, ever."""

    task_key: str
    task_id: str
    generation: int
    size: Resources
    lease_s: float
    run_s: float
    checkpoint: str
    task_class: TaskClass


@dataclass(frozen=True, kw_only=True, slots=True)
class StopTask(WorkerCommand):
    """Stops one generation, after a checkpoint if asked; idempotent.

    Without `checkpoint` the worker also forgets a run that has ended.
    """

    task_id: str
    generation: int
    checkpoint: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask(WorkerCommand):
    """Lets one generation work at a `share` of its speed; idempotent."""

    task_key: str
    task_id: str
    generation: int
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Renewal:
    """Extends the lease of a run by `lease_s` from its arrival."""

    task_id: str
    generation: int
    lease_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AskReport(WorkerCommand):
    """Renews leases and asks for all runs and their usage in one call."""

    asked_at: float
    renewals: tuple[Renewal, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RunReport:
    """What a worker says of one run."""

    task_id: str
    generation: int
    state: RunState
    checkpoint: str = ""
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunUsage:
    """What a run used some time ago; `latency_ms` is zero for batch work."""

    task_id: str
    generation: int
    processors_m: int
    memory_mb: int
    latency_ms: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerEvent(Event):
    """The base of the outcomes of calls to a worker."""

    worker_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StartOutcome(WorkerEvent):
    """The base of the outcomes of a start."""

    task_key: str
    generation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Started(StartOutcome):
    """The worker said that it runs the generation."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StartNotSent(StartOutcome):
    """The start surely did not leave the owner and never will."""

    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class StartUnknown(StartOutcome):
    """The start left, and the worker's answer is missing."""

    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class StopAnswered(WorkerEvent):
    """The worker answered a stop; its next report shows the outcome."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StopUnanswered(WorkerEvent):
    """A stop was not sent or its answer is missing."""

    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleAnswered(WorkerEvent):
    """The worker has set the share of a generation."""

    task_key: str
    generation: int
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleUnanswered(WorkerEvent):
    """A throttle was not sent or its answer is missing."""

    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerReported(WorkerEvent):
    """All runs of a worker, in answer to the report asked at `asked_at`."""

    asked_at: float
    runs: tuple[RunReport, ...]
    usages: tuple[RunUsage, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportUnanswered(WorkerEvent):
    """The report asked at `asked_at` was not sent or has no answer."""

    asked_at: float
    problem: Problem
