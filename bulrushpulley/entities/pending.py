"""What the controller waits for: outcomes of submissions and readings.

Each carries its purpose, a typed value by which the outcome is handled.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.commit import Submission, VersionedRow
from bulrushpulley.entities.operations import AskInForce, OperatorCall
from bulrushpulley.entities.rows import RecordRow, TaskRow


@dataclass(frozen=True, kw_only=True, slots=True)
class Purpose:
    """The base of the purposes of submissions."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RenewMember(Purpose):
    """Renews the member row of this entry."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveMembers(Purpose):
    """Deletes the member row of this entry, which is stopping."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRecord(Purpose):
    """Carries out an operator's call that changes a record."""

    call_id: str
    row: RecordRow


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeRecord(Purpose):
    """Looks for the present row of a record without changing it."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeForCall(Purpose):
    """Reads one record row for an operator's question."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacedTask:
    """A task and the cell that was chosen for it."""

    cell: str
    key: str
    row: TaskRow


@dataclass(frozen=True, kw_only=True, slots=True)
class AssignTasks(Purpose):
    """Moves tasks from the backlog rows `sources` to cells."""

    sources: tuple[str, ...]
    placed: tuple[PlacedTask, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CloseTasks(Purpose):
    """Moves backlog rows of a closing record to their outcomes."""

    job: str


@dataclass(frozen=True, kw_only=True, slots=True)
class EndClosing(Purpose):
    """Deletes the marker of a closing record once all of its tasks have ended."""

    job: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Pending:
    """A submission whose outcome is awaited.

    It is submitted again, unchanged, at `resubmit_at` when its outcome was
    unsettled, until `deadline`. `unsettled` stays set from then on.
    """

    submission: Submission
    purpose: Purpose
    deadline: float
    resubmit_at: float | None = None
    unsettled: bool = False


def by_resubmission(pending: Pending) -> tuple[str, ...]:
    """Index the submissions that are to be submitted again."""
    return ("due",) if pending.resubmit_at is not None else ()


def by_purpose(pending: Pending) -> tuple[str, ...]:
    """Index submissions by the class of their purpose."""
    return (type(pending.purpose).__name__,)


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadTarget:
    """The base of what is read."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRevision(ReadTarget):
    """Reads the revision of the configuration."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRecords(ReadTarget):
    """Reads the records of one kind."""

    kind: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadMembers(ReadTarget):
    """Reads the member rows."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadBacklog(ReadTarget):
    """Reads the backlog."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadClosed(ReadTarget):
    """Reads the outcomes of the tasks of a closing record."""

    job: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadForCall(ReadTarget):
    """Reads rows that an operator's question needs."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Poll:
    """A prefix that is read again and again from the last revision on.

    `next_at` is None while no reading is wanted; `fetch_id` names the one in
    flight, asked at `asked_at`, and is empty without one.
    """

    target: ReadTarget
    prefix: str
    interval_s: float
    since: int = 0
    next_at: float | None = 0.0
    fetch_id: str = ""
    requested_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """An operator's call that changes a record, under way until `deadline`.

    `current` is the record row as last known, and `verified` says that the table
    service has just shown it.
    """

    call: OperatorCall
    deadline: float
    attempts: int = 0
    current: VersionedRow | None = None
    verified: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Enquiry:
    """An operator's question that waits for readings, until `deadline`."""

    call: OperatorCall
    deadline: float
    waiting_for: frozenset[str]
    rows: tuple[VersionedRow, ...] = ()
    failed: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class InForceWait:
    """A question for a revision that is held back until `deadline`."""

    call: AskInForce
    deadline: float
