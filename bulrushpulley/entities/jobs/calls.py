"""Callers' calls about jobs, and the answers to them."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.spec import JobSpec
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCall(Event):
    """Base class for calls; `authority` and `path` select the queue and the job.

    The caller waits `within_s` seconds from `received_at_s`, which is in seconds
    since 1970.
    """

    call_id: str
    authority: str
    path: str
    within_s: float
    received_at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitCall(JobCall):
    """Submits a job; `problem` is set if the body of the call is invalid.

    The spec takes `spec_bytes` in a row of the store.
    """

    spec: JobSpec | None
    spec_bytes: int = 0
    problem: Problem | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ShowCall(JobCall):
    """Requests the state of a job, or of a queue if the path names no job."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelCall(JobCall):
    """Requests the cancellation of a job."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallDropped(Event):
    """The caller no longer waits for the answer."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallAnswer(Command):
    """Base class for the answers."""

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
    """It is unknown whether the call took effect; it can be retried with its id."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class NoSuchQueue(CallAnswer):
    """No queue has this host name and path."""


@dataclass(frozen=True, kw_only=True, slots=True)
class NoSuchJob(CallAnswer):
    """The queue has no such job."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BadCall(CallAnswer):
    """The call is invalid."""

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
    """How many accepted jobs of a queue have no task that has started."""

    waiting: int
