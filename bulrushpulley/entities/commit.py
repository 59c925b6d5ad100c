"""Submissions to the table service and their outcomes.

A submission is a set of conditional writes that commits atomically. The committer
combines many submissions into one transaction and reports an outcome for each. Every
written row keeps the submission's id as its token, so that the outcome can be read
back after a lost answer.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.rows import DurableRow
from bulrushpulley.entities.step import Command, Event


@dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """Requires a row to have `version`; 0 requires it to be absent."""

    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Puts `row` under `key`; None deletes it."""

    key: str
    row: DurableRow | None


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedRow:
    """A row as the table service holds it; None means that it is absent."""

    key: str
    version: int
    row: DurableRow | None
    token: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """Conditional writes that commit together.

    `submission_id` is unique over all processes and time. Each written key must
    have a condition. `give_up_after_s` is how long the submitter will wait: the
    outcome of a submission that was not sent by then is `Withdrawn`.
    """

    submission_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    give_up_after_s: float = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitOutcome(Event):
    """Base class for the outcomes of a submission."""

    submission_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Committed(CommitOutcome):
    """Every write took effect; written rows now have version `revision`."""

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflicted(CommitOutcome):
    """No write took effect; `rows` are the rows whose conditions failed."""

    rows: tuple[VersionedRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Withdrawn(CommitOutcome):
    """No write took effect and none ever will: it was never sent."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Unsettled(CommitOutcome):
    """The writes may or may not have taken effect, or may yet do so.

    Submitting the same submission again settles it: its conditions keep it from
    taking effect twice, and its token shows whether it did.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Submitted(Event):
    """Passes a submission to the committer.

    `origin` identifies the receiver of the outcome: the name of a role of this
    process or the incarnation of a linked process.
    """

    origin: str
    submission: Submission


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequested(Event):
    """Requests the rows under a prefix that have changed since a revision."""

    origin: str
    fetch_id: str
    prefix: str
    since: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportTo(Command):
    """Reports a `CommitOutcome`, or the `Fetched` rows of a read, to `origin`."""

    origin: str
    outcome: Event
