"""Submissions and reads of a cell owner that have no outcome yet.

They are added to their tables without a peer and sent at the end of the tick, so
that a single system chooses the entry for new ones and for retries.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.commit import Submission
from bulrushpulley.entities.rows import TaskRow


@dataclass(frozen=True, kw_only=True, slots=True)
class Purpose:
    """Base class for the purposes of submissions."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewAlive(Purpose):
    """Renews the agent's liveness row."""

    renewals: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TakeCell(Purpose):
    """Makes the agent the owner of a cell.

    `leases_expired_at` is a lower bound for `Cell.leases_expired_at`.
    """

    cell: str
    leases_expired_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseCell(Purpose):
    """Removes the owner from a cell's lease row."""

    cell: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskPurpose(Purpose):
    """Base class for submissions that replace a task row by `row`, or delete it."""

    task_key: str
    row: TaskRow | None


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitStart(TaskPurpose):
    """Commits the start of a task on a worker."""

    worker_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteEnding(TaskPurpose):
    """Writes the outcome of a task that is known not to be running."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlightSubmission:
    """A submission in flight to the entry `peer`, or queued if `peer` is empty.

    `first_sent_at` is None until it is sent, which is not before `send_at`.
    `may_take_effect` is set when an earlier attempt may still commit, so that only a
    commit or a conflict settles the submission. `avoid` is the entry of the failed
    attempt, which is used again only if there is no other.
    """

    submission: Submission
    purpose: Purpose
    cell: str = ""
    peer: str = ""
    avoid: str = ""
    first_sent_at: float | None = None
    sent_at: float = 0.0
    send_at: float = 0.0
    may_take_effect: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadPurpose:
    """Base class for the purposes of reads; `cell` is empty for the agent's own row."""

    cell: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadOwnAlive(ReadPurpose):
    """Reads the agent's own liveness row."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadLease(ReadPurpose):
    """Reads the lease row of a watched cell."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadOwnerAlive(ReadPurpose):
    """Reads the liveness row of the owner of a watched cell."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadTasks(ReadPurpose):
    """Reads the task rows of an owned cell."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlightRead:
    """A `Fetch` in flight to the entry `peer`, or queued if `peer` is empty."""

    fetch_id: str
    prefix: str
    since: int
    purpose: ReadPurpose
    created_at: float
    peer: str = ""


def read_index(purpose: ReadPurpose) -> str:
    """Return the index value of the reads for a purpose."""
    return f"{type(purpose).__name__}|{purpose.cell}"


def submissions_by_peer(in_flight: InFlightSubmission) -> tuple[str, ...]:
    """Index submissions by entry; queued ones have the empty string."""
    return (in_flight.peer,)


def submissions_by_cell(in_flight: InFlightSubmission) -> tuple[str, ...]:
    """Index submissions by cell."""
    return (in_flight.cell,)


def reads_by_peer(in_flight_read: InFlightRead) -> tuple[str, ...]:
    """Index reads by entry; queued ones have the empty string."""
    return (in_flight_read.peer,)


def reads_by_cell(in_flight_read: InFlightRead) -> tuple[str, ...]:
    """Index reads by cell."""
    return (in_flight_read.purpose.cell,)


def reads_by_purpose(in_flight_read: InFlightRead) -> tuple[str, ...]:
    """Index reads by purpose and cell."""
    return (read_index(in_flight_read.purpose),)
