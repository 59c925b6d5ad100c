"""A request at an agent: queued or running on the backend server, or remembered.

The agent keeps the outcome of each unrepeatable id, so that a repeated call gets
the same answer and an id that was barred never runs.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem, Ran


class ExecutionState(enum.Enum):
    """Where a request stands at the agent."""

    QUEUED = "queued"
    RUNNING = "running"


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiter:
    """An attempt of an entry that waits for the outcome of an execution."""

    peer: str
    attempt_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """One run of a request, keyed by the attempt that brought it."""

    execution_id: str
    request_id: str
    service: str
    repeatable: bool
    received_at: float
    deadline: float
    body: bytes
    state: ExecutionState
    waiters: tuple[Waiter, ...]
    started_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """How an execution ended: a whole answer, or whether it ran and why not.

    `problem` is None for a whole answer.
    """

    ran: Ran
    status: int = 0
    body: bytes = b""
    took_s: float = 0.0
    problem: Problem | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RememberedOutcome:
    """The outcome of an unrepeatable id, kept until `until`."""

    request_id: str
    expires_at: float
    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class RunOnBackend(Command):
    """Runs a request on the backend server.

    Exactly one `BackendAnswered` or `BackendFailed` follows, within `within_s`
    and a little more.
    """

    execution_id: str
    request_id: str
    within_s: float
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckBackend(Command):
    """Asks the backend server for its health; `HealthSeen` follows."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthChecked(Event):
    """The outcome of a health check."""

    healthy: bool
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendAnswered(Event):
    """The backend server's whole answer, of whatever status."""

    execution_id: str
    status: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendFailed(Event):
    """No whole answer; `sent` is False only if surely no byte was sent."""

    execution_id: str
    sent: bool
    problem: Problem


def by_state(execution: Execution) -> tuple[str, ...]:
    """Index key function: queued or running."""
    return (execution.state.value,)


def by_request_id(execution: Execution) -> tuple[str, ...]:
    """Index key function: the unrepeatable id, if there is one."""
    if execution.repeatable or not execution.request_id:
        return ()
    return (execution.request_id,)
