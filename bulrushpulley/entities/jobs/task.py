"""The tasks of accepted jobs as their scheduler sees them.

A task's id is ``JOB.OCCURRENCE.STEP.INDEX``. Its durable part is `TaskProgress`; a
run of it is named by task id and run number, and no run number is given out twice.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.jobs.rows import TaskProgress


class TaskState(enum.Enum):
    """Where a task stands.

    From PLACED to STOPPING it holds room on its host: PLACED waits for the commit of
    its assignment, HELD may be starting, and STOPPING ends when its host says so.
    Tasks of a job that failed or was cancelled are removed once they hold nothing.
    """

    BLOCKED = "blocked"
    WAITING = "waiting"
    PLACED = "placed"
    HELD = "held"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


HOLDING_STATES = frozenset(
    {TaskState.PLACED, TaskState.HELD, TaskState.RUNNING, TaskState.STOPPING}
)
OPEN_STATES = HOLDING_STATES | {TaskState.BLOCKED, TaskState.WAITING}


@dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """One task of one occurrence of a step.

    `host` and `life` name where its present run may be, `since` when its state
    began. While others have room it is not placed on the hosts in `avoid`, where it
    failed. It is `at_work` once its backend server says that its startup is over.
    """

    task_id: str
    job_id: str
    occurrence: int
    step: int
    index: int
    state: TaskState
    since: float
    run: int = 0
    failures: int = 0
    host: str = ""
    life: str = ""
    checkpoint: str = ""
    avoided_hosts: tuple[str, ...] = ()
    running_since: float = 0.0
    startup_done: bool = False

    @property
    def progress(self) -> TaskProgress:
        """The durable part."""
        holds = self.state in HOLDING_STATES
        return TaskProgress(
            occurrence=self.occurrence,
            step=self.step,
            index=self.index,
            done=self.state is TaskState.DONE,
            run=self.run,
            failures=self.failures,
            host=self.host if holds else "",
            life=self.life if holds else "",
            checkpoint=self.checkpoint,
        )


def task_id_of(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the id of a task."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def job_id_of(task_id: str) -> str:
    """Return the job of a task id."""
    return task_id.partition(".")[0]


def step_key(job_id: str, occurrence: int, step: int) -> str:
    """Return the index value of the tasks of one occurrence of a step."""
    return f"{job_id}.{occurrence}.{step}"


def by_job(task: Task) -> tuple[str, ...]:
    """Index tasks by job."""
    return (task.job_id,)


def by_waiting_job(task: Task) -> tuple[str, ...]:
    """Index the tasks that wait for a host by job."""
    return (task.job_id,) if task.state is TaskState.WAITING else ()


def by_host(task: Task) -> tuple[str, ...]:
    """Index the tasks that hold room by host."""
    return (task.host,) if task.state in HOLDING_STATES else ()


def by_open_step(task: Task) -> tuple[str, ...]:
    """Index the tasks that are not complete by step and by job."""
    if task.state is TaskState.DONE:
        return ()
    return (step_key(task.job_id, task.occurrence, task.step), task.job_id)
