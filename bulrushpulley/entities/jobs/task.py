"""The tasks of accepted jobs in the scheduler's tables.

A task's id is ``JOB.OCCURRENCE.STEP.INDEX``. Its durable part is `TaskProgress`. A
run is identified by task id and run number; run numbers are never reused.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.jobs.refusal import Refusal
from bulrushpulley.entities.jobs.rows import TaskProgress


class TaskState(enum.Enum):
    """The state of a task.

    BLOCKED waits for earlier steps or its due time, WAITING for a host. From PLACED to
    STOPPING a task holds capacity on its host: PLACED waits for the commit of its
    assignment, HELD was ordered and may be starting, and STOPPING lasts until its host
    reports the end of the run. Tasks of a failed or cancelled job are removed once they
    hold no capacity.
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
# The runs that a host was ordered to start and is to keep.
KEPT_STATES = frozenset({TaskState.HELD, TaskState.RUNNING})
# The states from which the next report of a host about the run leads.
UNSETTLED_STATES = frozenset({TaskState.PLACED, TaskState.HELD, TaskState.STOPPING})
# The index value of the tasks in these states.
UNSETTLED = "unsettled"
OPEN_STATES = HOLDING_STATES | {TaskState.BLOCKED, TaskState.WAITING}


@dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """One task of one occurrence of a step.

    `host` and `life` (an incarnation of the host's backend server) tell where its
    current run may be; `since` is when its state began. `idle_since` is when its turn
    came or its last run that was seen running ended; a placement that leads to no run
    does not change it. `may_be_idle_longer` is set while that is only known not to be
    later, as a former owner had the task. `avoided_hosts` are hosts where it failed; it
    is placed on them only if no other host has free capacity. The same goes for the
    hosts in `refusals`, which are kept in memory only. `startup_done` is set once its
    backend server reports that the startup is over.
    """

    task_id: str
    job_id: str
    occurrence: int
    step: int
    index: int
    state: TaskState
    since: float
    idle_since: float = 0.0
    may_be_idle_longer: bool = False
    run: int = 0
    failures: int = 0
    host: str = ""
    life: str = ""
    checkpoint: str = ""
    avoided_hosts: tuple[str, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    running_since: float = 0.0
    startup_done: bool = False

    @property
    def run_key(self) -> str:
        """The key of its current run, as in `RunRef.key`."""
        return f"{self.task_id}#{self.run}"

    @property
    def progress(self) -> TaskProgress:
        """The durable part of the task."""
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
    """Return the id of the job that a task id belongs to."""
    return task_id.partition(".")[0]


def step_key(job_id: str, occurrence: int, step: int) -> str:
    """Return the index key for the tasks of one occurrence of a step."""
    return f"{job_id}.{occurrence}.{step}"


def by_job(task: Task) -> tuple[str, ...]:
    """Index tasks by job."""
    return (task.job_id,)


def by_waiting_job(task: Task) -> tuple[str, ...]:
    """Index by job the tasks that wait for a host."""
    return (task.job_id,) if task.state is TaskState.WAITING else ()


def by_waiting_step(task: Task) -> tuple[str, ...]:
    """Index by step the tasks that wait for a host."""
    if task.state is not TaskState.WAITING:
        return ()
    return (step_key(task.job_id, task.occurrence, task.step),)


def by_blocked_job(task: Task) -> tuple[str, ...]:
    """Index by job the tasks that wait for earlier steps or their due time."""
    return (task.job_id,) if task.state is TaskState.BLOCKED else ()


def by_running_job(task: Task) -> tuple[str, ...]:
    """Index by job the tasks whose current runs have been seen running."""
    holds = task.state in (TaskState.RUNNING, TaskState.STOPPING)
    return (task.job_id,) if holds and task.running_since else ()


def by_unsettled(task: Task) -> tuple[str, ...]:
    """Index the tasks whose runs are not reported as running or ended yet."""
    return (UNSETTLED,) if task.state in UNSETTLED_STATES else ()


def by_host(task: Task) -> tuple[str, ...]:
    """Index by host the tasks that hold capacity."""
    return (task.host,) if task.state in HOLDING_STATES else ()


def by_open_step(task: Task) -> tuple[str, ...]:
    """Index by step and by job the tasks that are not complete."""
    if task.state is TaskState.DONE:
        return ()
    return (step_key(task.job_id, task.occurrence, task.step), task.job_id)
