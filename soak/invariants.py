"""Checks the observations of callers and backend servers against invariants.

Observations are handled in the order of their time. `check_observation` returns the
tables after an observation; a violated invariant adds a line to `violations`. Times
are monotonic, in seconds. A task id is ``JOB.OCCURRENCE.STEP.INDEX``; the jobs of the
soak occur once, so their occurrence is 0.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import singledispatch

from pyrsistent import PMap, PSet, pmap, pset

from soak.plan import JobPlan

# The bounds that the users' documentation gives for times without faults. Whether an
# accepted job is visible within its bound is checked at all times.
MAX_CANCEL_TIME_S = 3.0
MAX_EVACUATION_TIME_S = 5.0
MAX_VISIBILITY_DELAY_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """Base class for the observations; `at` is the time."""

    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Started(Observation):
    """A backend server started a run of a task; `run` is the number of the run."""

    host: str
    failure_domain: str
    task: str
    run: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ended(Observation):
    """A run ended on its backend server; `how` is "done" if it succeeded."""

    host: str
    task: str
    run: int
    how: str


@dataclass(frozen=True, kw_only=True, slots=True)
class EndAcknowledged(Observation):
    """The end of a run was acknowledged to its backend server."""

    task: str
    how: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerGone(Observation):
    """A backend server has exited, and all its runs with it."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered(Observation):
    """A caller's submission was "accepted" or "refused", or its outcome is "unknown".

    `final` is set if the caller will not try again.
    """

    job_id: str
    answer: str
    final: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled(Observation):
    """The cancellation of a job was acknowledged."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StateReceived(Observation):
    """A caller received the state of a job, or "gone" if the entry does not know it."""

    job_id: str
    state: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuated(Observation):
    """A failure domain was taken out of service, or `returned` to it."""

    failure_domain: str
    returned: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Running:
    """A run that is in progress on a backend server."""

    host: str
    run: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Tables:
    """The state from the observations so far.

    `capacity_m` is the capacity of each host in thousandths of processors, and
    `calm_period` the start and end of the time without faults. `done_tasks` have a run
    that ended with "done"; of `acknowledged_tasks` such an end was acknowledged.
    """

    job_by_id: PMap[str, JobPlan]
    capacity_m: int
    calm_period: tuple[float, float]
    run_by_task: PMap[str, Running] = field(default_factory=pmap)
    done_tasks: PSet[str] = field(default_factory=pset)
    acknowledged_tasks: PSet[str] = field(default_factory=pset)
    accepted_at_by_job: PMap[str, float] = field(default_factory=pmap)
    refused_jobs: PSet[str] = field(default_factory=pset)
    outcome_unknown_jobs: PSet[str] = field(default_factory=pset)
    cancelled_at_by_job: PMap[str, float] = field(default_factory=pmap)
    evacuated_at_by_domain: PMap[str, float] = field(default_factory=pmap)
    state_by_job: PMap[str, str] = field(default_factory=pmap)
    start_count: int = 0
    violations: tuple[str, ...] = ()

    def with_violation(
        self, observation: Observation, invariant: str, detail: str
    ) -> Tables:
        """Add a violated invariant."""
        line = f"{invariant} at {observation.at:.2f}: {detail}"
        return replace(self, violations=(*self.violations, line))

    def is_calm(self, at: float) -> bool:
        """Return whether `at` is in the time without faults."""
        return self.calm_period[0] <= at < self.calm_period[1]

    def job_of(self, task: str) -> JobPlan | None:
        """Return the job that contains a task, if a caller submitted one."""
        job_id, _, rest = task.partition(".")
        job = self.job_by_id.get(job_id)
        numbers = [int(number) for number in rest.split(".")]
        if job is None or len(numbers) != 3 or numbers[0] != 0:
            return None
        known = numbers[1] < len(job.steps) and numbers[2] < job.steps[numbers[1]][0]
        return job if known else None


@singledispatch
def check_observation(observation: Observation, tables: Tables) -> Tables:
    """Update the tables, and check the invariants that the observation concerns."""
    raise NotImplementedError(type(observation).__name__)


@check_observation.register
def _(observation: Started, tables: Tables) -> Tables:
    job = tables.job_of(observation.task)
    if job is None:
        return tables.with_violation(
            observation, "unasked", f"{observation.task} was never submitted"
        )
    tables = replace(tables, start_count=tables.start_count + 1)
    for check in (
        _check_single_run,
        _check_no_rerun,
        _check_step_order,
        _check_refused_job,
        _check_cancelled_job,
        _check_evacuated_domain,
    ):
        tables = check(observation, tables, job)
    run = Running(host=observation.host, run=observation.run)
    tables = replace(tables, run_by_task=tables.run_by_task.set(observation.task, run))
    return _check_capacity(observation, tables)


def _check_single_run(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    other = tables.run_by_task.get(observation.task)
    if other is None:
        return tables
    detail = (
        f"{observation.task}#{observation.run} started on {observation.host}"
        f" during {other}"
    )
    return tables.with_violation(observation, "twice", detail)


def _check_no_rerun(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    if observation.task not in tables.acknowledged_tasks or job.lasting:
        return tables
    return tables.with_violation(
        observation,
        "again",
        f"{observation.task} started again after its completion was acknowledged",
    )


def _check_step_order(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    number = int(observation.task.split(".")[2])
    for before in job.steps[number][2]:
        for index in range(job.steps[before][0]):
            if f"{job.job_id}.0.{before}.{index}" not in tables.done_tasks:
                return tables.with_violation(
                    observation,
                    "order",
                    f"{observation.task} started before step {before} was done",
                )
    return tables


def _check_refused_job(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    if job.job_id not in tables.refused_jobs:
        return tables
    return tables.with_violation(
        observation, "refused", f"{observation.task} of a refused job was started"
    )


def _check_cancelled_job(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    since = tables.cancelled_at_by_job.get(job.job_id)
    if (
        since is None
        or observation.at - since <= MAX_CANCEL_TIME_S
        or not tables.is_calm(since)
    ):
        return tables
    if not tables.is_calm(observation.at):
        return tables
    return tables.with_violation(
        observation,
        "cancelled",
        f"{observation.task} was started after its job was cancelled",
    )


def _check_evacuated_domain(
    observation: Started, tables: Tables, job: JobPlan
) -> Tables:
    since = tables.evacuated_at_by_domain.get(observation.failure_domain)
    if (
        since is None
        or observation.at - since <= MAX_EVACUATION_TIME_S
        or not tables.is_calm(observation.at)
    ):
        return tables
    detail = f"{observation.task} was started in evacuated {observation.failure_domain}"
    return tables.with_violation(observation, "evacuated", detail)


def _check_capacity(observation: Started, tables: Tables) -> Tables:
    used_m = 0
    for task, run in tables.run_by_task.items():
        job = tables.job_of(task)
        if run.host == observation.host and job is not None:
            used_m += job.steps[int(task.split(".")[2])][1]
    if used_m <= tables.capacity_m:
        return tables
    detail = (
        f"{observation.host} runs tasks of {used_m} thousandths of processors,"
        f" its capacity is {tables.capacity_m}"
    )
    return tables.with_violation(observation, "capacity", detail)


@check_observation.register
def _(observation: Ended, tables: Tables) -> Tables:
    running = tables.run_by_task.get(observation.task)
    if running is not None and running.run == observation.run:
        tables = replace(
            tables, run_by_task=tables.run_by_task.remove(observation.task)
        )
    if observation.how != "done":
        return tables
    return replace(tables, done_tasks=tables.done_tasks.add(observation.task))


@check_observation.register
def _(observation: EndAcknowledged, tables: Tables) -> Tables:
    if observation.how != "done":
        return tables
    return replace(
        tables, acknowledged_tasks=tables.acknowledged_tasks.add(observation.task)
    )


@check_observation.register
def _(observation: ServerGone, tables: Tables) -> Tables:
    for task, run in tables.run_by_task.items():
        if run.host == observation.host:
            tables = replace(tables, run_by_task=tables.run_by_task.remove(task))
    return tables


@check_observation.register
def _(observation: Answered, tables: Tables) -> Tables:
    job_id = observation.job_id
    if observation.answer == "accepted":
        accepted = tables.accepted_at_by_job.set(job_id, observation.at)
        return replace(
            tables,
            accepted_at_by_job=accepted,
            outcome_unknown_jobs=tables.outcome_unknown_jobs.discard(job_id),
        )
    if observation.answer == "unknown":
        return replace(
            tables, outcome_unknown_jobs=tables.outcome_unknown_jobs.add(job_id)
        )
    if not observation.final or job_id in tables.outcome_unknown_jobs:
        return tables
    refused = replace(tables, refused_jobs=tables.refused_jobs.add(job_id))
    if any(
        task.startswith(job_id) for task in (*tables.run_by_task, *tables.done_tasks)
    ):
        return refused.with_violation(
            observation, "refused", f"{job_id} was refused although tasks of it ran"
        )
    return refused


@check_observation.register
def _(observation: Cancelled, tables: Tables) -> Tables:
    return replace(
        tables,
        cancelled_at_by_job=tables.cancelled_at_by_job.set(
            observation.job_id, observation.at
        ),
    )


@check_observation.register
def _(observation: Evacuated, tables: Tables) -> Tables:
    if observation.returned:
        evacuated = tables.evacuated_at_by_domain.discard(observation.failure_domain)
    else:
        evacuated = tables.evacuated_at_by_domain.set(
            observation.failure_domain, observation.at
        )
    return replace(tables, evacuated_at_by_domain=evacuated)


@check_observation.register
def _(observation: StateReceived, tables: Tables) -> Tables:
    job_id = observation.job_id
    accepted_at = tables.accepted_at_by_job.get(job_id)
    late = (
        accepted_at is not None
        and observation.at - accepted_at > MAX_VISIBILITY_DELAY_S
    )
    if observation.state == "gone" and late:
        return tables.with_violation(
            observation, "lost", f"{job_id} was accepted but is unknown to the entry"
        )
    tables = replace(
        tables, state_by_job=tables.state_by_job.set(job_id, observation.state)
    )
    if observation.state == "completed":
        return _check_completion(observation, tables)
    fails = tables.job_by_id[job_id].payload == "poison"
    if observation.state == "failed" and not fails:
        return tables.with_violation(
            observation, "failed", f"{job_id} failed unexpectedly"
        )
    return tables


def _check_completion(observation: StateReceived, tables: Tables) -> Tables:
    job = tables.job_by_id[observation.job_id]
    for number, (count, _, _) in enumerate(job.steps):
        for index in range(count):
            task = f"{job.job_id}.0.{number}.{index}"
            if task not in tables.done_tasks:
                return tables.with_violation(
                    observation, "complete", f"{task} of a completed job is not done"
                )
    return tables


def unfinished(tables: Tables) -> tuple[str, ...]:
    """Return the accepted jobs that must end but have not ended."""
    final_states = {"completed", "failed", "cancelled"}
    return tuple(
        sorted(
            job_id
            for job_id in tables.accepted_at_by_job
            if tables.state_by_job.get(job_id) not in final_states
            and job_id not in tables.cancelled_at_by_job
            and not tables.job_by_id[job_id].lasting
        )
    )
