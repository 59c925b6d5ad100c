"""The steps of the fault matrix: how each is recognised in the commands of roles."""

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
from bulrushpulley.entities.worker_calls import AskReport, StartTask, StopTask


@dataclass(frozen=True, kw_only=True, slots=True)
class Written:
    """A key and the row that a command would have written there."""

    key: str
    row: Any


@singledispatch
def submitted(command: Any) -> tuple[Written, ...]:
    """Return what a command gives to a committer; nothing by default."""
    return ()


@submitted.register
def _(command: Send) -> tuple[Written, ...]:
    return submitted(command.item)


@submitted.register
def _(command: Tell) -> tuple[Written, ...]:
    return submitted(command.event)


@submitted.register(Submit)
@submitted.register(Submitted)
def _(command: Any) -> tuple[Written, ...]:
    content: Submission = command.submission
    return tuple(Written(key=w.key, row=w.row) for w in content.writes)


@singledispatch
def transacted(command: Command) -> tuple[Written, ...]:
    """Return what a command sends to the table service; nothing by default."""
    return ()


@transacted.register
def _(command: Transact) -> tuple[Written, ...]:
    return tuple(Written(key=w.key, row=w.row) for w in command.writes)


def writes(
    prefix: str, found: Callable[[Any], bool] = lambda row: row is not None
) -> Callable[[Any], bool]:
    """Recognise a submission that writes a fitting row under a prefix."""
    return lambda command: any(
        w.key.startswith(prefix) and found(w.row) for w in submitted(command)
    )


def commits(
    prefix: str, found: Callable[[Any], bool] = lambda row: row is not None
) -> Callable[[Any], bool]:
    """Recognise a transaction that writes a fitting row under a prefix."""
    return lambda command: any(
        w.key.startswith(prefix) and found(w.row) for w in transacted(command)
    )


def sends(kind: type, found: Callable[[Any], bool] = bool) -> Callable[[Any], bool]:
    """Recognise an item of a link."""
    return lambda command: (
        isinstance(getattr(command, "item", None), kind) and found(command.item)
    )


def gives(kind: type, found: Callable[[Any], bool] = bool) -> Callable[[Any], bool]:
    """Recognise a command by its class."""
    return lambda command: isinstance(command, kind) and found(command)


def starting(row: Any) -> bool:
    """Tell whether a row is that of a task that is to start."""
    return row is not None and row.state is TaskState.STARTING


STEP_BY_NAME: Mapping[str, Callable[[Any], bool]] = {
    "request accepted": writes("claim/"),
    "request routed": commits("claim/"),
    "request dispatched": sends(Dispatch),
    "request running": gives(RunOnBackend),
    "request answered": sends(Answered),
    "task submitted": commits("record/job/"),
    "task committed": sends(Assigned),
    "task leased": writes("task/", starting),
    "task start sent": gives(StartTask),
    "task running": gives(AskReport, lambda c: bool(c.renewals)),
    "task checkpoint": gives(StopTask, lambda c: c.checkpoint),
    "task stop": gives(StopTask, lambda c: not c.checkpoint),
    "task resumed": gives(StartTask, lambda c: c.generation > 1),
    "task finished": writes("done/"),
    "configuration submitted": writes("record/failure_domain/"),
    "configuration committed": commits("record/failure_domain/"),
    "configuration spread": sends(Configured, lambda i: i.base > 0),
    "configuration in force": sends(Announce, lambda i: i.applied_revision > 0),
    "cell taken": writes("lease/", lambda row: row is not None and row.owner != ""),
    "cell renewed": writes("alive/"),
    "cell handed over": writes("lease/", lambda row: row is not None and not row.owner),
}
"""A step is taken by the first command after `ARMED_AT_S` that its function finds."""
