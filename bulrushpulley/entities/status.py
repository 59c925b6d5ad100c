"""The replies to operators' status and explain calls.

They are built from the tables of one entry and from rows that it reads for the
call; `JobStatus.held` counts the tasks that cells hold.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.operations import Reply
from bulrushpulley.entities.records import DomainState
from bulrushpulley.entities.resources import Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """An entry process, whether it is live and the revision it has applied."""

    name: str
    incarnation: str
    region: str
    live: bool
    applied_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentStatus:
    """A linked agent and the revision it has applied."""

    agent: str
    incarnation: str
    region: str
    failure_domain: str
    service: str
    leaving: bool
    applied_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CellStatus:
    """A cell with its owner and free resources by its last summary."""

    cell: str
    failure_domain: str
    owner: str
    epoch: int
    fresh: bool
    free: Resources
    waiting: int
    running: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceStatus:
    """A service in force and the replicas that no cell holds yet."""

    name: str
    department: str
    schema_version: int
    revision: int
    replicas: int
    waiting: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobStatus:
    """The task counts of a job by state; `note` says why tasks wait."""

    name: str
    department: str
    tasks: int
    waiting: int
    held: int
    finished: int
    failed: int
    cancelled: int
    cancelled_by_operator: bool
    note: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class DomainStatus:
    """A failure domain, its state and the revision that set it."""

    name: str
    region: str
    state: DomainState
    revision: int
    author: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Status(Reply):
    """The state of the system as one entry sees it.

    `incomplete` is empty, or says what could not be read in time.
    """

    revision: int
    members: tuple[MemberStatus, ...]
    agents: tuple[AgentStatus, ...]
    cells: tuple[CellStatus, ...]
    services: tuple[ServiceStatus, ...]
    jobs: tuple[JobStatus, ...]
    failure_domains: tuple[DomainStatus, ...]
    incomplete: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Explanation(Reply):
    """Where a task is and why.

    `state` is ``waiting``, ``held``, ``done`` or ``unknown``; `detail` gives the
    task's own state, and why it waits.
    """

    task_id: str
    state: str
    detail: str
    cell: str = ""
    worker_id: str = ""
    generation: int = 0
    attempts: int = 0
