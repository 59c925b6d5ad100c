"""Tasks that are not assigned to a cell yet, queued for assignment.

Rows wait in lanes, which are first-in, first-out queues. All tasks of a lane have
the same department, rank, priority, size and failure domains. If the first row of
a lane cannot be placed, all of the lane is therefore blocked for a while, without
delaying other lanes. A lane may still hold keys of deleted rows; they are skipped
when they reach the front.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import BacklogRow, TaskClass, TaskSpec

CLOSING_MARKER = "closing"


class Rank(enum.IntEnum):
    """The order in which tasks are assigned."""

    URGENT = 0
    LATENCY_CRITICAL = 1
    BATCH = 2


class Phase(enum.Enum):
    """The state of a waiting row: in its lane, deferred alone, or being assigned."""

    QUEUED = "queued"
    DEFERRED = "deferred"
    ASSIGNING = "assigning"


class WaitReason(enum.Enum):
    """Why tasks wait."""

    QUEUED = "in line for assignment"
    ASSIGNING = "being assigned to a cell"
    QUOTA = "the department's quota is used up"
    NO_ROOM = "no cell with a fresh summary has room"
    NO_CELL = "no cell of an allowed failure domain is reachable"
    DOMAIN_OUT = "every allowed failure domain is out of service"
    NEVER_FITS = "no allowed worker could ever hold it"
    CLOSED = "its record was cancelled or lowered"
    OTHER_ENTRY = "another entry assigns this department's tasks"


@dataclass(frozen=True, kw_only=True, slots=True)
class Lane:
    """The properties that tasks of one queue share.

    `service` is empty for jobs: their records never change, so that the tasks of
    several jobs may share a lane.
    """

    department: str
    rank: Rank
    priority: int
    size: Resources
    failure_domains: tuple[str, ...]
    service: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingRow:
    """A backlog row at `version`, first seen by this entry at `first_seen_at`."""

    key: str
    row: BacklogRow
    version: int
    lane: Lane
    first_seen_at: float
    phase: Phase = Phase.QUEUED


@dataclass(frozen=True, kw_only=True, slots=True)
class Deferral:
    """A row that returns to its lane at `until`."""

    key: str
    until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Wake:
    """A blocked lane that is tried again at `at`."""

    lane: Lane
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Closing:
    """Tasks of a record that are being stopped permanently.

    The durable marker row covers its `count` tasks from `spec.index` on. The closing
    is advanced next at `next_at`; `notice_delay_s` is the delay after the next notice
    to the cell owners. `submission_id` identifies the last write.
    """

    marker: BacklogRow
    version: int
    next_at: float = 0.0
    notice_delay_s: float = 0.5
    submission_id: str = ""

    @property
    def job(self) -> str:
        """The name of the record."""
        return self.marker.spec.job

    def covers(self, index: int) -> bool:
        """Tell whether the task at `index` is being closed."""
        first = self.marker.spec.index
        return first <= index < first + self.marker.count


@dataclass(frozen=True, kw_only=True, slots=True)
class ClosingOutcome:
    """An outcome row under ``done/`` at `version` that covers `tasks` tasks."""

    tasks: int
    version: int


def backlog_key(job: str, first: int | str) -> str:
    """Return the key of the row with index `first`, or of the `CLOSING_MARKER`."""
    return f"backlog/{job}/{first}"


def lane_of(spec: TaskSpec) -> Lane:
    """Return the lane in which tasks of a spec wait."""
    rank = Rank.BATCH
    if spec.task_class is TaskClass.LATENCY_CRITICAL:
        rank = Rank.LATENCY_CRITICAL
    if spec.urgent:
        rank = Rank.URGENT
    return Lane(
        department=spec.department,
        rank=rank,
        priority=spec.priority,
        size=spec.size,
        failure_domains=spec.failure_domains,
        service=spec.job if spec.kind == "service" else "",
    )


def by_job(waiting: WaitingRow) -> tuple[str, ...]:
    """Index waiting rows by their record."""
    return (waiting.row.spec.job,)
