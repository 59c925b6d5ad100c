"""A simulated backend server that does not start runs, in the ways of the protocol."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from bulrushpulley.entities.jobs.executor_calls import (
    ExecutorCommand,
    ExecutorEvent,
    PollFailed,
    PollRuns,
    StartDenied,
    StartRun,
    StartUnanswered,
    StartUnhealthy,
    StopRun,
    StopUnanswered,
)
from bulrushpulley.entities.jobs.runs import RunRef
from standins.executor_core import FakeExecutor
from test.jobs_world import JobsWorld


@dataclass(frozen=True, kw_only=True, slots=True)
class Trouble:
    """Base class for what a backend server does with calls; by default it is sound."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DenyStarts(Trouble):
    """Answers each start with 409 and a reason, or with another status.

    Like the platform's, a start that is denied as `old` never becomes possible.
    """

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseStarts(Trouble):
    """Answers each start with 503: it has certainly done nothing."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoseStarts(Trouble):
    """Breaks the connection of each start without having carried it out."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CarryOutLate(Trouble):
    """Carries out each start that much later, without an answer, and perhaps stops."""

    delay_s: float
    stops_too: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class LoseListsAtTimes(Trouble):
    """Fails to list its runs for `fails_s` in each period, and starts nothing then."""

    period_s: float
    fails_s: float


class TroubledExecutor:
    """Passes calls on to a simulated backend server unless its trouble prevents it."""

    def __init__(self, *, world: JobsWorld, host: str) -> None:
        self.trouble: Trouble = Trouble()
        self.world = world
        self.executor: FakeExecutor = world.executor_by_host[host]
        self._call = self.executor.call
        # The world calls the backend server by this name.
        self.executor.call = self.call  # type: ignore[method-assign]

    def call(self, command: ExecutorCommand, now: float) -> ExecutorEvent:
        """Answer a call."""
        event = answer_in_trouble(self.trouble, command, now, self)
        return self._call(command, now) if event is None else event

    def carry_out_later(self, command: StartRun | StopRun, delay_s: float) -> None:
        """Carry out a call later, if the backend server is up then."""

        def carry_out() -> None:
            if self.executor.up:
                self._call(command, self.world.now)

        self.world.at(delay_s, carry_out)


@singledispatch
def answer_in_trouble(
    trouble: Trouble, command: ExecutorCommand, now: float, server: TroubledExecutor
) -> ExecutorEvent | None:
    """Return what a backend server in trouble answers; None if it is as usual."""
    return None


@answer_in_trouble.register
def _(
    trouble: DenyStarts,
    command: ExecutorCommand,
    now: float,
    server: TroubledExecutor,
) -> ExecutorEvent | None:
    if not isinstance(command, StartRun):
        return None
    return StartDenied(
        server_id=command.server_id,
        run=_run_of(command),
        reason=trouble.reason,
        final=trouble.reason == "old",
        certainly_denied=True,
    )


@answer_in_trouble.register
def _(
    trouble: RefuseStarts,
    command: ExecutorCommand,
    now: float,
    server: TroubledExecutor,
) -> ExecutorEvent | None:
    if not isinstance(command, StartRun):
        return None
    return StartUnhealthy(
        server_id=command.server_id, run=_run_of(command), reason="status 503"
    )


@answer_in_trouble.register
def _(
    trouble: LoseStarts,
    command: ExecutorCommand,
    now: float,
    server: TroubledExecutor,
) -> ExecutorEvent | None:
    if not isinstance(command, StartRun):
        return None
    return StartUnanswered(
        server_id=command.server_id, run=_run_of(command), reason="connection reset"
    )


@answer_in_trouble.register
def _(
    trouble: CarryOutLate,
    command: ExecutorCommand,
    now: float,
    server: TroubledExecutor,
) -> ExecutorEvent | None:
    reason = "no answer"
    if isinstance(command, StartRun):
        server.carry_out_later(command, trouble.delay_s)
        run = _run_of(command)
        return StartUnanswered(server_id=command.server_id, run=run, reason=reason)
    if isinstance(command, StopRun) and trouble.stops_too:
        server.carry_out_later(command, trouble.delay_s)
        return StopUnanswered(
            server_id=command.server_id, run=command.run, reason=reason
        )
    return None


@answer_in_trouble.register
def _(
    trouble: LoseListsAtTimes,
    command: ExecutorCommand,
    now: float,
    server: TroubledExecutor,
) -> ExecutorEvent | None:
    if now % trouble.period_s >= trouble.fails_s:
        return None
    if isinstance(command, PollRuns):
        return PollFailed(
            server_id=command.server_id, life=command.life, reason="connection reset"
        )
    return None


def _run_of(command: StartRun) -> RunRef:
    return RunRef(task_id=command.order.task_id, run=command.order.run)
