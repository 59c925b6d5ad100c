"""The answers of a backend server to calls with a fencing token that is too low."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.jobs.executor_calls import (
    ConfirmIncarnation,
    ExecutorCommand,
    ExecutorEvent,
    FenceAnswered,
    IncarnationUnconfirmed,
    PaceFailed,
    PaceRun,
    PollFailed,
    PollRuns,
    RaiseFence,
    StartDenied,
    StartRun,
    StopRun,
    StopUnanswered,
)
from bulrushpulley.entities.jobs.runs import RunRef

FENCED = "fence"


@singledispatch
def fenced(command: ExecutorCommand) -> ExecutorEvent:
    """Return the answer to a call with a fencing token that is too low."""
    raise NotImplementedError(type(command).__name__)


@fenced.register
def _(command: ConfirmIncarnation) -> ExecutorEvent:
    return IncarnationUnconfirmed(
        server_id=command.server_id,
        started_at_ms=command.started_at_ms,
        reason=FENCED,
        fenced=True,
    )


@fenced.register
def _(command: RaiseFence) -> ExecutorEvent:
    return FenceAnswered(server_id=command.server_id)


@fenced.register
def _(command: PollRuns) -> ExecutorEvent:
    return PollFailed(
        server_id=command.server_id, life=command.life, reason=FENCED, fenced=True
    )


@fenced.register
def _(command: StartRun) -> ExecutorEvent:
    order = command.order
    return StartDenied(
        server_id=command.server_id,
        run=RunRef(task_id=order.task_id, run=order.run),
        reason=FENCED,
        certainly_denied=True,
    )


@fenced.register
def _(command: StopRun) -> ExecutorEvent:
    return StopUnanswered(server_id=command.server_id, run=command.run, reason=FENCED)


@fenced.register
def _(command: PaceRun) -> ExecutorEvent:
    return PaceFailed(server_id=command.server_id, run=command.run, reason=FENCED)
