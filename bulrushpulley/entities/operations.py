"""Operators' calls as the front end passes them to the controller, and replies.

Each call has a `call_id`, unique in the process, and is answered by exactly one
`Reply` or `Reject` command.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.records import DomainState, Record
from bulrushpulley.entities.rows import RecordRow
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorCall(Event):
    """Base class for the calls; `author` names the operator for the record row.

    `within_s` is how long the operator will wait.
    """

    call_id: str
    author: str
    within_s: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitRecord(OperatorCall):
    """Puts a new record in force; a conflict if the name is taken.

    Repeating an identical record is no conflict: it was submitted already.
    """

    kind: str
    schema_version: int
    record: Record


@dataclass(frozen=True, kw_only=True, slots=True)
class AmendRecord(OperatorCall):
    """Replaces a record; `expected_revision` 0 replaces any revision."""

    kind: str
    schema_version: int
    record: Record
    expected_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelJob(OperatorCall):
    """Cancels a job; its tasks stop and never start again."""

    job: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeDomain(OperatorCall):
    """Takes a failure domain out of service or returns it."""

    failure_domain: str
    state: DomainState
    expected_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AskStatus(OperatorCall):
    """Asks for members, cells, services, jobs and failure domains.

    With `job` the reply lists only that job, otherwise the jobs last seen waiting.
    """

    job: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class AskExplain(OperatorCall):
    """Asks where a task is, or why it waits."""

    task_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AskInForce(OperatorCall):
    """Asks which processes have not yet applied a revision.

    The reply is held back until none is missing, for up to `wait_s`.
    """

    revision: int
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply(Command):
    """Base class for the successful replies."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted(Reply):
    """The record is in force from its row's revision on."""

    row: RecordRow


@dataclass(frozen=True, kw_only=True, slots=True)
class InForce(Reply):
    """Whether a revision is applied everywhere; `missing` names where it is not."""

    revision: int
    everywhere: bool
    missing: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Reject(Command):
    """The refusal of an operator's call, which changed nothing.

    Only with `Code.OUTCOME_UNKNOWN` the change may be in force or come into force.
    """

    call_id: str
    problem: Problem
