"""An operator's question about one job, and what the owner of its shard says."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.step import Command, Event


@dataclass(frozen=True, kw_only=True, slots=True)
class ExplainJob(Event):
    """Asks where the tasks of a job are, or why they wait."""

    call_id: str
    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskExplanation:
    """One task that has not ended; `detail` says why it waits, if it does."""

    task_id: str
    state: str
    for_s: float
    run: int
    failures: int
    host: str = ""
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation(Command):
    """The base of the answers."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class JobExplained(Explanation):
    """What the owner of `epoch` knows of a job."""

    job_id: str
    queue: str
    state: str
    detail: str
    epoch: int
    done: int
    tasks: tuple[TaskExplanation, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobNotKnown(Explanation):
    """The owner does not know such a job, or has forgotten it."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RedirectToOwner(Explanation):
    """This entry does not own the shard; `owner` may, as far as it knows."""

    owner: str
