"""The calls of an owner to its workers and their outcomes, independent of encoding.

Every command carries a deadline `not_after` on the owner's monotonic clock. It is
checked right before the call is sent: a command is never sent after it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem


class RunState(enum.Enum):
    """The state of a run on a worker; in every state but RUNNING it has ended."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerCommand(Command):
    """Base class for calls to a worker, which listens at `url`."""

    worker_id: str
    url: str
    not_after: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StartTask(WorkerCommand):
    """Starts one generation of a task; sent at most once per generation."""

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
    """Stops one generation of a task, after a checkpoint if requested; idempotent.

    Without `checkpoint`, the worker also drops a run that has ended from its reports.
    """

    task_id: str
    generation: int
    checkpoint: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask(WorkerCommand):
    """Limits one generation of a task to a `share` of its full speed; idempotent."""

    task_key: str
    task_id: str
    generation: int
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Renewal:
    """Renews the lease of a run for `lease_s` from when the worker receives it."""

    task_id: str
    generation: int
    lease_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestReport(WorkerCommand):
    """Renews leases and requests all runs and their resource usage in one call."""

    requested_at: float
    renewals: tuple[Renewal, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RunReport:
    """The state of one run as reported by its worker."""

    task_id: str
    generation: int
    state: RunState
    checkpoint: str = ""
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunUsage:
    """A past sample of a run's resource usage; `latency_ms` is zero for batch work."""

    task_id: str
    generation: int
    processors_m: int
    memory_mb: int
    latency_ms: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerEvent(Event):
    """Base class for the outcomes of calls to a worker."""

    worker_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StartOutcome(WorkerEvent):
    """Base class for the outcomes of a start."""

    task_key: str
    generation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Started(StartOutcome):
    """The worker confirmed that it runs the generation."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StartNotSent(StartOutcome):
    """The start was not sent and never will be."""

    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class StartUnknown(StartOutcome):
    """The start was sent, but the worker's answer is missing."""

    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class StopAnswered(WorkerEvent):
    """The worker answered a stop; its next report shows the outcome."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StopUnanswered(WorkerEvent):
    """A stop was not sent, or its answer is missing."""

    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleAnswered(WorkerEvent):
    """The worker has applied the share to the generation."""

    task_key: str
    generation: int
    share: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleUnanswered(WorkerEvent):
    """A throttle was not sent, or its answer is missing."""

    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerReported(WorkerEvent):
    """All runs of a worker, in answer to the report requested at `requested_at`."""

    requested_at: float
    runs: tuple[RunReport, ...]
    usages: tuple[RunUsage, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportUnanswered(WorkerEvent):
    """The report requested at `requested_at` was not sent, or its answer is missing."""

    requested_at: float
    problem: Problem
