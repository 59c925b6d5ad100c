"""What an agent asks of the backend server beside it, and what it is told.

Lease times are on the backend server's own clock, in milliseconds: a call that is
carried out late extends nothing beyond what was meant when it was sent.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder, RunRef, RunStatus
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command, Event


@dataclass(frozen=True, kw_only=True, slots=True)
class Announced(Event):
    """A backend server's own word on itself.

    `started_at_ms` tells two lives with one id apart, and `sequence` a late word
    from a newer one. `leaves_in_s` is the least time that it stays while draining.
    """

    server_id: str
    started_at_ms: int
    sequence: int
    service: str
    address: str
    failure_domain: str
    is_draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    leaves_in_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Withdrawn(Event):
    """A backend server has ended; nothing runs on it any more."""

    server_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutorCommand(Command):
    """The base of the calls to the backend server with the id `server_id`."""

    server_id: str
    address: str
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PollRuns(ExecutorCommand):
    """Lists all runs and ends, and renews the lease to `lease_until_ms` if given.

    Ends up to `noted` may be forgotten. The answer waits up to `wait_ms` for an end.
    """

    noted: int
    wait_ms: int
    lease_until_ms: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRun(ExecutorCommand):
    """Starts a run, unless it is there already."""

    order: RunOrder
    lease_until_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StopRun(ExecutorCommand):
    """Stops a run, or keeps it from ever starting."""

    run: RunRef


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceRun(ExecutorCommand):
    """Lets a run work at a part of its speed."""

    run: RunRef
    percent: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutorEvent(Event):
    """The base of the answers; `server_id` is that of the call."""

    server_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RunsListed(ExecutorEvent):
    """All runs and the ends not yet forgotten, at `clock_ms` of the server's clock."""

    started_at_ms: int
    clock_ms: int
    runs: tuple[RunStatus, ...]
    ends: tuple[RunEnd, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PollFailed(ExecutorEvent):
    """No list came; `absent` says that nothing listens at the address."""

    reason: str
    connection_refused: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class OtherIncarnation(ExecutorEvent):
    """Another backend server answers at the address."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunEvent(ExecutorEvent):
    """The base of the answers about one run."""

    run: RunRef


@dataclass(frozen=True, kw_only=True, slots=True)
class RunStarted(RunEvent):
    """The run is there."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StartDenied(RunEvent):
    """The run was not started; `final` says that it can never be."""

    reason: str
    final: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class StartUnhealthy(RunEvent):
    """The backend server takes nothing; it did nothing with this call."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StartUnanswered(RunEvent):
    """The run may have been started, or may be later."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StopAnswered(RunEvent):
    """The stop was taken."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StopUnanswered(RunEvent):
    """The stop may have been taken."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceAnswered(RunEvent):
    """The pace was taken."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceFailed(RunEvent):
    """The pace may have been taken."""

    reason: str
