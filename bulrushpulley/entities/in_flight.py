"""Submissions and readings of an owner that have no outcome yet.

A flight is put into its table without a peer and sent at the end of the tick, so
that one system chooses the entry for all of them and for repeats.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.commit import Submission
from bulrushpulley.entities.rows import TaskRow


@dataclass(frozen=True, kw_only=True, slots=True)
class Purpose:
    """The base of what a submission is for."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewAlive(Purpose):
    """Renews the agent's liveness row."""

    renewals: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TakeCell(Purpose):
    """Makes the agent the owner of a cell; see `Cell.lapsed_at`."""

    cell: str
    lapsed_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseCell(Purpose):
    """Gives a cell up in its lease row."""

    cell: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskPurpose(Purpose):
    """The base of the submissions on a task row; `row` is what it becomes."""

    task_key: str
    row: TaskRow | None


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitStart(TaskPurpose):
    """Commits a start on a worker."""

    worker_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteEnding(TaskPurpose):
    """Writes what became of a task that surely does not run."""


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlightSubmission:
    """A submission in flight to the entry `peer`, or to be sent if that is empty.

    `first_sent_at` is None until it is sent. `doubtful` says that an earlier
    sending may yet take effect, so that only a commit or a conflict settles it.
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
    """The base of what a reading is for; `cell` is empty for the agent's own."""

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
class Reading:
    """A `Fetch` in flight to the entry `peer`, or to be sent if that is empty."""

    fetch_id: str
    prefix: str
    since: int
    purpose: ReadPurpose
    created_at: float
    peer: str = ""


def reading_index(purpose: ReadPurpose) -> str:
    """Return the index value of the readings for a purpose."""
    return f"{type(purpose).__name__}|{purpose.cell}"


def submissions_by_peer(in_flight: InFlightSubmission) -> tuple[str, ...]:
    """Index flights by entry; the empty string holds those to be sent."""
    return (in_flight.peer,)


def submissions_by_cell(in_flight: InFlightSubmission) -> tuple[str, ...]:
    """Index flights by cell."""
    return (in_flight.cell,)


def readings_by_peer(reading: Reading) -> tuple[str, ...]:
    """Index readings by entry."""
    return (reading.peer,)


def readings_by_cell(reading: Reading) -> tuple[str, ...]:
    """Index readings by cell."""
    return (reading.purpose.cell,)


def readings_by_purpose(reading: Reading) -> tuple[str, ...]:
    """Index readings by purpose and cell."""
    return (reading_index(reading.purpose),)
