"""Operators' requests to explain a job, and the answers of the shard's owner."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.step import Command, Event


@dataclass(frozen=True, kw_only=True, slots=True)
class ExplainJob(Event):
    """Asks where the tasks of a job run, or why they wait."""

    call_id: str
    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskExplanation:
    """One task that has not ended.

    `for_s` is the time since its state began, `detail` the reason if it waits.
    """

    task_id: str
    state: str
    for_s: float
    run: int
    failures: int
    host: str = ""
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation(Command):
    """Base class for the answers."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class JobExplained(Explanation):
    """The state of a job according to the owner with this `epoch`.

    `detail` is the reason why the job failed or was cancelled, or else the time to its
    latency objective. `done` is the number of its completed tasks; `tasks` holds the
    others, up to a limit.
    """

    job_id: str
    queue: str
    state: str
    detail: str
    epoch: int
    done: int
    tasks: tuple[TaskExplanation, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobNotKnown(Explanation):
    """The owner has no such job, or has already deleted it."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RedirectToOwner(Explanation):
    """This entry does not own the shard; `owner` is the last known owner."""

    owner: str
