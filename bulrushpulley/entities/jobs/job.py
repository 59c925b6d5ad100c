"""Accepted jobs in the scheduler's tables."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache

from bulrushpulley.entities.jobs.rows import FINAL_STATES, JobRow, JobState
from bulrushpulley.entities.jobs.spec import JobSpec, StepSpec

# A job that takes longer than this many times its latency objective is of no more use
# to its caller; it is still completed, after the other jobs.
DEADLINE_FACTOR = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """One accepted job.

    All times but `ended_at_s`, which is in seconds since 1970, are on the scheduler's
    clock. The job should be complete by `objective_at`; after `deadline_at` its result
    is of no more use to its caller. `checkpoints_saved_at` is when checkpoints of its
    tasks were last written to the store. The tables hold the tasks of the occurrences
    from `done_occurrences` to `next_occurrence`, excluded. `ran_until` is when a run of
    it that was seen running last ended in this tenure, or zero. `reason` is why it
    failed or was cancelled.
    """

    job_id: str
    row: JobRow
    state: JobState
    objective_at: float
    deadline_at: float
    ended_at_s: float = 0.0
    started: bool = False
    done_occurrences: int = 0
    next_occurrence: int = 0
    checkpoints_saved_at: float = 0.0
    ran_until: float = 0.0
    reason: str = ""

    @property
    def is_final(self) -> bool:
        """Whether the job has ended, so that none of its tasks may start."""
        return self.state in FINAL_STATES

    def step(self, number: int) -> StepSpec:
        """Return the step with this number."""
        return self.row.spec.steps[number]


@cache
def critical_path_s(spec: JobSpec) -> float:
    """Return the estimated duration of the longest chain of steps, in seconds."""
    ends: list[float] = []
    for step in spec.steps:
        before = max((ends[number] for number in step.after), default=0.0)
        ends.append(before + step.estimate_s)
    return max(ends, default=0.0)


def new_job(row: JobRow, now: float) -> Job:
    """Return the job of a row; its objective counts from `now`."""
    allowed_s = row.latency_factor * critical_path_s(row.spec) + row.target_latency_s
    return Job(
        job_id=row.job_id,
        row=row,
        state=JobState.QUEUED,
        objective_at=now + allowed_s,
        deadline_at=now + DEADLINE_FACTOR * allowed_s,
    )


UNSTARTED = "unstarted"


def by_stage(job: Job) -> tuple[str, ...]:
    """Index the jobs of which no task has started yet."""
    return () if job.started or job.is_final else (UNSTARTED,)
