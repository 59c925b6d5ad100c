"""The steps of the fault matrix, each recognised by a command of a role."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from bulrushpulley.entities.commit import Submission, Submitted
from bulrushpulley.entities.execution import RunOnBackend
from bulrushpulley.entities.link import (
    Announce,
    Answered,
    Assigned,
    Configured,
    Dispatch,
    Send,
    Submit,
)
from bulrushpulley.entities.rows import TaskState
from bulrushpulley.entities.step import Command, Tell
from bulrushpulley.entities.transactions import Transact
from bulrushpulley.entities.worker_calls import RequestReport, StartTask, StopTask


@dataclass(frozen=True, kw_only=True, slots=True)
class WrittenRow:
    """A key and the row that a command writes to it."""

    key: str
    row: Any


@singledispatch
def submitted_writes(command: Any) -> tuple[WrittenRow, ...]:
    """Return the writes that a command submits to a committer; none by default."""
    return ()


@submitted_writes.register
def _(command: Send) -> tuple[WrittenRow, ...]:
    return submitted_writes(command.item)


@submitted_writes.register
def _(command: Tell) -> tuple[WrittenRow, ...]:
    return submitted_writes(command.event)


@submitted_writes.register(Submit)
@submitted_writes.register(Submitted)
def _(command: Any) -> tuple[WrittenRow, ...]:
    submission: Submission = command.submission
    return tuple(WrittenRow(key=w.key, row=w.row) for w in submission.writes)


@singledispatch
def transaction_writes(command: Command) -> tuple[WrittenRow, ...]:
    """Return the writes that a command sends to the table service; none by default."""
    return ()


@transaction_writes.register
def _(command: Transact) -> tuple[WrittenRow, ...]:
    return tuple(WrittenRow(key=w.key, row=w.row) for w in command.writes)


def submits_row(
    prefix: str, matches: Callable[[Any], bool] = lambda row: row is not None
) -> Callable[[Any], bool]:
    """Return a test for a submission that writes a matching row under a prefix."""
    return lambda command: any(
        w.key.startswith(prefix) and matches(w.row) for w in submitted_writes(command)
    )


def commits_row(
    prefix: str, matches: Callable[[Any], bool] = lambda row: row is not None
) -> Callable[[Any], bool]:
    """Return a test for a transaction that writes a matching row under a prefix."""
    return lambda command: any(
        w.key.startswith(prefix) and matches(w.row) for w in transaction_writes(command)
    )


def sends_item(
    kind: type, matches: Callable[[Any], bool] = bool
) -> Callable[[Any], bool]:
    """Return a test for a command that sends a matching item over a link."""
    return lambda command: (
        isinstance(getattr(command, "item", None), kind) and matches(command.item)
    )


def is_command(
    kind: type, matches: Callable[[Any], bool] = bool
) -> Callable[[Any], bool]:
    """Return a test for a matching command of a class."""
    return lambda command: isinstance(command, kind) and matches(command)


def is_starting(row: Any) -> bool:
    """Tell whether a row is the row of a task in the state STARTING."""
    return row is not None and row.state is TaskState.STARTING


STEP_BY_NAME: Mapping[str, Callable[[Any], bool]] = {
    "request accepted": submits_row("claim/"),
    "request routed": commits_row("claim/"),
    "request dispatched": sends_item(Dispatch),
    "request running": is_command(RunOnBackend),
    "request answered": sends_item(Answered),
    "task submitted": commits_row("record/job/"),
    "task committed": sends_item(Assigned),
    "task leased": submits_row("task/", is_starting),
    "task start sent": is_command(StartTask),
    "task running": is_command(RequestReport, lambda c: bool(c.renewals)),
    "task checkpoint": is_command(StopTask, lambda c: c.checkpoint),
    "task stop": is_command(StopTask, lambda c: not c.checkpoint),
    "task resumed": is_command(StartTask, lambda c: c.generation > 1),
    "task finished": submits_row("done/"),
    "configuration submitted": submits_row("record/failure_domain/"),
    "configuration committed": commits_row("record/failure_domain/"),
    "configuration spread": sends_item(Configured, lambda i: i.base > 0),
    "configuration in force": sends_item(Announce, lambda i: i.applied_revision > 0),
    "cell taken": submits_row(
        "lease/", lambda row: row is not None and row.owner != ""
    ),
    "cell renewed": submits_row("alive/"),
    "cell handed over": submits_row(
        "lease/", lambda row: row is not None and not row.owner
    ),
}
"""The test of each step. Commands before `FAULTS_FROM_S` are not tested."""
