"""Requests at an agent: queued or running on the backend server, or finished.

The agent stores the outcome of each unrepeatable request id, so that a repeated call
gets the same answer and a barred id never runs.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem, Ran


class ExecutionState(enum.Enum):
    """The state of a request at the agent."""

    QUEUED = "queued"
    RUNNING = "running"


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiter:
    """An attempt by the entry `peer` that waits for the outcome of an execution."""

    peer: str
    attempt_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """One run of a request, keyed by the attempt that dispatched it."""

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
    """How an execution ended: with a complete answer, or with a problem.

    `ran` says whether the request ran. `problem` is None for a complete answer.
    """

    ran: Ran
    status: int = 0
    body: bytes = b""
    took_s: float = 0.0
    problem: Problem | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredOutcome:
    """The outcome of an unrepeatable request id, kept until `expires_at`."""

    request_id: str
    expires_at: float
    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class RunOnBackend(Command):
    """Runs a request on the backend server.

    Exactly one `BackendAnswered` or `BackendFailed` follows, shortly after
    `within_s` at the latest.
    """

    execution_id: str
    request_id: str
    within_s: float
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckBackend(Command):
    """Checks the health of the backend server; `HealthChecked` follows."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthChecked(Event):
    """The outcome of a health check."""

    healthy: bool
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendAnswered(Event):
    """The backend server's complete answer, with any status."""

    execution_id: str
    status: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendFailed(Event):
    """No complete answer came; `sent` is False only if certainly no byte was sent."""

    execution_id: str
    sent: bool
    problem: Problem


def by_state(execution: Execution) -> tuple[str, ...]:
    """Index function: the state, queued or running."""
    return (execution.state.value,)


def by_request_id(execution: Execution) -> tuple[str, ...]:
    """Index function: the request id, if the request is unrepeatable."""
    if execution.repeatable or not execution.request_id:
        return ()
    return (execution.request_id,)
