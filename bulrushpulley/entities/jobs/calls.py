"""Callers' calls about jobs, and the answers to them."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.spec import JobSpec
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCall(Event):
    """The base of the calls; `authority` and `path` select the queue and the job.

    The caller waits `within_s` from `received_at_s` on, which is in seconds since
    1970.
    """

    call_id: str
    authority: str
    path: str
    within_s: float
    received_at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitCall(JobCall):
    """Asks for a job to be accepted; `problem` says why its body makes no sense."""

    spec: JobSpec | None
    problem: Problem | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ShowCall(JobCall):
    """Asks for the state of a job, or of a queue if the path names no job."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelCall(JobCall):
    """Asks for a job to be cancelled."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallDropped(Event):
    """Nobody waits for the answer to a call any more."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallAnswer(Command):
    """The base of the answers."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class JobAccepted(CallAnswer):
    """The job is stored and will run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TryLater(CallAnswer):
    """Nothing was done; the same call may succeed after `retry_after_s`."""

    reason: str
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeUnknown(CallAnswer):
    """Whether the call took effect is not known; it may be repeated with its id."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class NoSuchQueue(CallAnswer):
    """No queue has this host name and path."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NoSuchJob(CallAnswer):
    """The queue knows no such job."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BadCall(CallAnswer):
    """The call makes no sense."""

    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class JobShown(CallAnswer):
    """The state of a job."""

    state: JobState


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled(CallAnswer):
    """The cancellation is stored."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BacklogShown(CallAnswer):
    """How many accepted jobs of a queue have no started task."""

    waiting: int
