"""The tasks of a cell as tracked by the cell's owner.

The `TaskRow` is the durable part of a task; the other fields hold what the owner
knows about its run on the worker. `Phase` is the state of that run, and an
`Ending` describes what to write once the task is known not to be running.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.rows import TaskRow


class Phase(enum.Enum):
    """The state of a task between its stored row and the worker.

    From COMMITTING to STOPPING the task may be running and holds capacity. It is
    COMMITTING while its start is being stored, SENDING until the start call has an
    outcome, and UNKNOWN if that outcome is unknown or if another owner started it. An
    ENDED task is known not to be running and waits for its outcome to be stored; it is
    WRITING while that submission is in flight.
    """

    WAITING = "waiting"
    COMMITTING = "committing"
    SENDING = "sending"
    UNKNOWN = "unknown"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"
    WRITING = "writing"


HOLDING_PHASES = frozenset(
    {
        Phase.COMMITTING,
        Phase.SENDING,
        Phase.UNKNOWN,
        Phase.RUNNING,
        Phase.STOPPING,
    }
)
STOPPABLE_PHASES = frozenset({Phase.SENDING, Phase.UNKNOWN, Phase.RUNNING})


@dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """Base class for what is written once a task is known not to be running."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Finish(Ending):
    """The task completed its work."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Fail(Ending):
    """The task failed; if `counted`, the failure uses up one of its attempts."""

    counted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Requeue(Ending):
    """The task waits in this cell for its next generation."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Return(Ending):
    """The task goes back to the backlog."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancel(Ending):
    """The task's record was cancelled."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """One task of a cell.

    `planned_worker` is the worker of a start that is being committed. A report that
    was requested after `settle_after` and lacks the task proves that the task is not
    running. Its first lease has expired by `lease_until`, clock drift included.
    `ending` is the planned ending while the task may still be running, and final once
    the task is ENDED. `skip_reason` is the last reason why no worker was chosen. No
    write is retried before `retry_at`.
    """

    key: str
    cell: str
    row: TaskRow
    version: int
    phase: Phase
    since: float
    planned_worker: str = ""
    settle_after: float = 0.0
    lease_until: float = 0.0
    next_stop_at: float = 0.0
    ending: Ending | None = None
    skip_reason: str = ""
    retry_at: float = 0.0

    @property
    def worker_id(self) -> str:
        """The worker on which the task may be running, or the empty string."""
        if self.phase is Phase.COMMITTING:
            return self.planned_worker
        return self.row.worker_id if self.phase in HOLDING_PHASES else ""


def task_key(*, cell: str, task_id: str) -> str:
    """Return the key of a task's row."""
    return f"task/{cell}/{task_id}"


def phase_index(*, cell: str, phase: Phase) -> str:
    """Return the index value of a cell's tasks in a phase."""
    return f"{cell}|{phase.value}"


def by_worker(task: Task) -> tuple[str, ...]:
    """Index the tasks that hold capacity by their worker."""
    return (task.worker_id,) if task.worker_id else ()


def by_phase(task: Task) -> tuple[str, ...]:
    """Index tasks by cell and phase."""
    return (phase_index(cell=task.cell, phase=task.phase),)


def by_cell(task: Task) -> tuple[str, ...]:
    """Index tasks by cell."""
    return (task.cell,)


def by_record(task: Task) -> tuple[str, ...]:
    """Index tasks by the record that defines them."""
    return (task.row.spec.record_key,)
