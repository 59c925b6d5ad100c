"""Judges what callers and backend servers saw, one sight after another.

Sights are taken in the order of their time. `judge` returns the tables after a sight;
a broken promise adds a line to `broken`. Times are steady, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import singledispatch

from pyrsistent import PMap, PSet, pmap, pset

from soak.plan import JobPlan

# The bounds of the users' pages for planned changes, in calm times.
MAX_CANCEL_TIME_S = 3.0
MAX_EVACUATION_TIME_S = 5.0
MAX_VISIBILITY_DELAY_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """The base of what was seen, at `at`."""

    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Started(Observation):
    """A backend server began a run."""

    host: str
    failure_domain: str
    task: str
    run: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ended(Observation):
    """A run ended on its backend server."""

    host: str
    task: str
    run: int
    how: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Noted(Observation):
    """A backend server was told that the end of a run is noted."""

    task: str
    how: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerGone(Observation):
    """A backend server is gone with all that it ran."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered(Observation):
    """A caller's submission was answered: accepted, refused or unsure.

    `final` says that the caller tries no more.
    """

    job_id: str
    answer: str
    final: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled(Observation):
    """The cancellation of a job was acknowledged."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Shown(Observation):
    """A caller was shown the state of a job; `gone` where there is none."""

    job_id: str
    state: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuated(Observation):
    """A failure domain was taken out of service, or `back`."""

    failure_domain: str
    returned: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Running:
    """A run that is on its backend server."""

    host: str
    run: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Tables:
    """What has been seen so far; `calm` is the stretch without faults."""

    job_by_id: PMap[str, JobPlan]
    capacity_m: int
    calm: tuple[float, float]
    running: PMap[str, Running] = field(default_factory=pmap)
    done: PSet[str] = field(default_factory=pset)
    noted: PSet[str] = field(default_factory=pset)
    accepted: PMap[str, float] = field(default_factory=pmap)
    refused: PSet[str] = field(default_factory=pset)
    outcome_unknown: PSet[str] = field(default_factory=pset)
    cancelled: PMap[str, float] = field(default_factory=pmap)
    evacuated: PMap[str, float] = field(default_factory=pmap)
    state_by_job: PMap[str, str] = field(default_factory=pmap)
    starts: int = 0
    violations: tuple[str, ...] = ()

    def with_violation(
        self, observation: Observation, invariant: str, detail: str
    ) -> Tables:
        """Add a broken promise."""
        line = f"{invariant} at {observation.at:.2f}: {detail}"
        return replace(self, violations=(*self.violations, line))

    def is_calm(self, at: float) -> bool:
        """Tell whether nothing has been harmed for a while."""
        return self.calm[0] <= at < self.calm[1]

    def job_of(self, task: str) -> JobPlan | None:
        """Return the job of a task, if callers sent one with it."""
        job_id, _, rest = task.partition(".")
        job = self.job_by_id.get(job_id)
        numbers = [int(number) for number in rest.split(".")]
        if job is None or len(numbers) != 3 or numbers[0] != 0:
            return None
        known = numbers[1] < len(job.steps) and numbers[2] < job.steps[numbers[1]][0]
        return job if known else None


@singledispatch
def check_observation(observation: Observation, tables: Tables) -> Tables:
    """Take one sight in."""
    raise NotImplementedError(type(observation).__name__)


@check_observation.register
def _(observation: Started, tables: Tables) -> Tables:
    job = tables.job_of(observation.task)
    if job is None:
        return tables.with_violation(
            observation, "unasked", f"{observation.task} was never asked for"
        )
    tables = replace(tables, starts=tables.starts + 1)
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
    tables = replace(tables, running=tables.running.set(observation.task, run))
    return _check_capacity(observation, tables)


def _check_single_run(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    other = tables.running.get(observation.task)
    if other is None:
        return tables
    detail = (
        f"{observation.task}#{observation.run} on {observation.host} beside {other}"
    )
    return tables.with_violation(observation, "twice", detail)


def _check_no_rerun(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    if observation.task not in tables.noted or job.lasting:
        return tables
    return tables.with_violation(
        observation, "again", f"{observation.task} ran after it was done"
    )


def _check_step_order(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    number = int(observation.task.split(".")[2])
    for before in job.steps[number][2]:
        for index in range(job.steps[before][0]):
            if f"{job.job_id}.0.{before}.{index}" not in tables.done:
                return tables.with_violation(
                    observation, "order", f"{observation.task} before {before}"
                )
    return tables


def _check_refused_job(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    if job.job_id not in tables.refused:
        return tables
    return tables.with_violation(
        observation, "refused", f"{observation.task} of a refused job ran"
    )


def _check_cancelled_job(observation: Started, tables: Tables, job: JobPlan) -> Tables:
    since = tables.cancelled.get(job.job_id)
    if (
        since is None
        or observation.at - since <= MAX_CANCEL_TIME_S
        or not tables.is_calm(since)
    ):
        return tables
    if not tables.is_calm(observation.at):
        return tables
    return tables.with_violation(
        observation, "cancelled", f"{observation.task} ran after its job's end"
    )


def _check_evacuated_domain(
    observation: Started, tables: Tables, job: JobPlan
) -> Tables:
    since = tables.evacuated.get(observation.failure_domain)
    if (
        since is None
        or observation.at - since <= MAX_EVACUATION_TIME_S
        or not tables.is_calm(observation.at)
    ):
        return tables
    detail = f"{observation.task} began in {observation.failure_domain}"
    return tables.with_violation(observation, "evacuated", detail)


def _check_capacity(observation: Started, tables: Tables) -> Tables:
    used_m = 0
    for task, run in tables.running.items():
        job = tables.job_of(task)
        if run.host == observation.host and job is not None:
            used_m += job.steps[int(task.split(".")[2])][1]
    if used_m <= tables.capacity_m:
        return tables
    detail = f"{observation.host} has {used_m} of {tables.capacity_m}"
    return tables.with_violation(observation, "capacity", detail)


@check_observation.register
def _(observation: Ended, tables: Tables) -> Tables:
    running = tables.running.get(observation.task)
    if running is not None and running.run == observation.run:
        tables = replace(tables, running=tables.running.remove(observation.task))
    if observation.how != "done":
        return tables
    return replace(tables, done=tables.done.add(observation.task))


@check_observation.register
def _(observation: Noted, tables: Tables) -> Tables:
    if observation.how != "done":
        return tables
    return replace(tables, noted=tables.noted.add(observation.task))


@check_observation.register
def _(observation: ServerGone, tables: Tables) -> Tables:
    for task, run in tables.running.items():
        if run.host == observation.host:
            tables = replace(tables, running=tables.running.remove(task))
    return tables


@check_observation.register
def _(observation: Answered, tables: Tables) -> Tables:
    job_id = observation.job_id
    if observation.answer == "accepted":
        accepted = tables.accepted.set(job_id, observation.at)
        return replace(
            tables,
            accepted=accepted,
            outcome_unknown=tables.outcome_unknown.discard(job_id),
        )
    if observation.answer == "unsure":
        return replace(tables, outcome_unknown=tables.outcome_unknown.add(job_id))
    if not observation.final or job_id in tables.outcome_unknown:
        return tables
    refused = replace(tables, refused=tables.refused.add(job_id))
    if any(task.startswith(job_id) for task in (*tables.running, *tables.done)):
        return refused.with_violation(
            observation, "refused", f"{job_id} ran and was refused"
        )
    return refused


@check_observation.register
def _(observation: Cancelled, tables: Tables) -> Tables:
    return replace(
        tables, cancelled=tables.cancelled.set(observation.job_id, observation.at)
    )


@check_observation.register
def _(observation: Evacuated, tables: Tables) -> Tables:
    if observation.returned:
        evacuated = tables.evacuated.discard(observation.failure_domain)
    else:
        evacuated = tables.evacuated.set(observation.failure_domain, observation.at)
    return replace(tables, evacuated=evacuated)


@check_observation.register
def _(observation: Shown, tables: Tables) -> Tables:
    job_id = observation.job_id
    accepted_at = tables.accepted.get(job_id)
    late = (
        accepted_at is not None
        and observation.at - accepted_at > MAX_VISIBILITY_DELAY_S
    )
    if observation.state == "gone" and late:
        return tables.with_violation(
            observation, "lost", f"{job_id} is not known any more"
        )
    tables = replace(
        tables, state_by_job=tables.state_by_job.set(job_id, observation.state)
    )
    if observation.state == "completed":
        return _check_completion(observation, tables)
    fails = tables.job_by_id[job_id].payload == "poison"
    if observation.state == "failed" and not fails:
        return tables.with_violation(
            observation, "failed", f"{job_id} failed without cause"
        )
    return tables


def _check_completion(observation: Shown, tables: Tables) -> Tables:
    job = tables.job_by_id[observation.job_id]
    for number, (count, _, _) in enumerate(job.steps):
        for index in range(count):
            task = f"{job.job_id}.0.{number}.{index}"
            if task not in tables.done:
                return tables.with_violation(
                    observation, "complete", f"{task} has not ended"
                )
    return tables


def unfinished(tables: Tables) -> tuple[str, ...]:
    """Return the accepted jobs that have not come to their end."""
    final_states = {"completed", "failed", "cancelled"}
    return tuple(
        sorted(
            job_id
            for job_id in tables.accepted
            if tables.state_by_job.get(job_id) not in final_states
            and job_id not in tables.cancelled
            and not tables.job_by_id[job_id].lasting
        )
    )
