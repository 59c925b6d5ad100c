"""The tasks of a cell as its owner sees them.

A task's durable part is its `TaskRow`; the rest is what the owner knows of the
run on the worker. `Phase` says which, and an `Ending` says what is to be written
once the task surely does not run.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.rows import TaskRow


class Phase(enum.Enum):
    """Where a task stands between its rows and the worker.

    From COMMITTING to STOPPING the task may run and holds capacity. ENDED tasks
    surely do not run and wait for their durable write, which is WRITING while a
    submission is in flight.
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
    """The base of what is written when a task surely does not run."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Finish(Ending):
    """The task completed its work."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Fail(Ending):
    """The task failed; `counted` holds the failure against the task itself."""

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

    `planned_worker` is the worker of a start being committed. A report asked at
    or after `settle_after` that lacks the task shows that it does not run, and
    its lease has surely lapsed at `leased_until`. `ending` is planned while
    the task still runs and final once it is ENDED. `skip_reason` is the last reason
    for which no worker was chosen. No
    write is tried again before `retry_at`.
    """

    key: str
    cell: str
    row: TaskRow
    version: int
    phase: Phase
    since: float
    planned_worker: str = ""
    settle_after: float = 0.0
    leased_until: float = 0.0
    stop_sent_at: float = 0.0
    ending: Ending | None = None
    skip_reason: str = ""
    retry_at: float = 0.0

    @property
    def worker_id(self) -> str:
        """The worker on which the task may run, or the empty string."""
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
    """Index tasks by the record that asked for them."""
    return (task.row.spec.record_key,)
