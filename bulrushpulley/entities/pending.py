"""The submissions and reads whose results the controller waits for.

Each carries a purpose or a target, whose class selects the handler of the result.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.commit import Submission, VersionedRow
from bulrushpulley.entities.operations import AskInForce, OperatorCall
from bulrushpulley.entities.rows import RecordRow, TaskRow


@dataclass(frozen=True, kw_only=True, slots=True)
class Purpose:
    """Base class for the purposes of submissions."""


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
    """Checks the current row of a record without changing it."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeForCall(Purpose):
    """Reads one record row for an operator's query."""

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

    If its outcome is unsettled, it is submitted again unchanged at
    `resubmit_at`, until `deadline`. `unsettled` stays set from then on.
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
    """Base class for the targets of reads."""


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
    """Reads rows for an operator's query."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Poll:
    """A prefix that is read repeatedly, each time from the last revision on.

    A prefix with an `interval_s` of 0 is read once. `next_at` is None while no
    read is wanted. `fetch_id` identifies the read in flight, requested at
    `requested_at`, and is empty when there is none.
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
    """An operator's call that changes a record, in progress until `deadline`.

    `current` is the last known row of the record, and `verified` is set once the
    table service has confirmed it for this call.
    """

    call: OperatorCall
    deadline: float
    attempts: int = 0
    current: VersionedRow | None = None
    verified: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Enquiry:
    """An operator's query that waits for reads, until `deadline`."""

    call: OperatorCall
    deadline: float
    waiting_for: frozenset[str]
    rows: tuple[VersionedRow, ...] = ()
    failed: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class InForceWait:
    """An `AskInForce` call that is not answered yet, kept open until `deadline`."""

    call: AskInForce
    deadline: float
