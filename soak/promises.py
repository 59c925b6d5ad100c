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
CANCEL_S = 3.0
EVACUATE_S = 5.0
VISIBLE_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Sight:
    """The base of what was seen, at `at`."""

    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Started(Sight):
    """A backend server began a run."""

    host: str
    failure_domain: str
    task: str
    run: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ended(Sight):
    """A run ended on its backend server."""

    host: str
    task: str
    run: int
    how: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Noted(Sight):
    """A backend server was told that the end of a run is noted."""

    task: str
    how: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerGone(Sight):
    """A backend server is gone with all that it ran."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered(Sight):
    """A caller's submission was answered: accepted, refused or unsure.

    `final` says that the caller tries no more.
    """

    job_id: str
    what: str
    final: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled(Sight):
    """The cancellation of a job was acknowledged."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Shown(Sight):
    """A caller was shown the state of a job; `gone` where there is none."""

    job_id: str
    state: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuated(Sight):
    """A failure domain was taken out of service, or `back`."""

    failure_domain: str
    back: bool = False


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
    unsure: PSet[str] = field(default_factory=pset)
    cancelled: PMap[str, float] = field(default_factory=pmap)
    evacuated: PMap[str, float] = field(default_factory=pmap)
    state_by_job: PMap[str, str] = field(default_factory=pmap)
    starts: int = 0
    broken: tuple[str, ...] = ()

    def breaks(self, sight: Sight, promise: str, detail: str) -> Tables:
        """Add a broken promise."""
        line = f"{promise} at {sight.at:.2f}: {detail}"
        return replace(self, broken=(*self.broken, line))

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
def judge(sight: Sight, tables: Tables) -> Tables:
    """Take one sight in."""
    raise NotImplementedError(type(sight).__name__)


@judge.register
def _(sight: Started, tables: Tables) -> Tables:
    job = tables.job_of(sight.task)
    if job is None:
        return tables.breaks(sight, "unasked", f"{sight.task} was never asked for")
    tables = replace(tables, starts=tables.starts + 1)
    for check in (_twice, _again, _order, _refusal, _cancellation, _evacuation):
        tables = check(sight, tables, job)
    run = Running(host=sight.host, run=sight.run)
    tables = replace(tables, running=tables.running.set(sight.task, run))
    return _capacity(sight, tables)


def _twice(sight: Started, tables: Tables, job: JobPlan) -> Tables:
    other = tables.running.get(sight.task)
    if other is None:
        return tables
    detail = f"{sight.task}#{sight.run} on {sight.host} beside {other}"
    return tables.breaks(sight, "twice", detail)


def _again(sight: Started, tables: Tables, job: JobPlan) -> Tables:
    if sight.task not in tables.noted or job.lasting:
        return tables
    return tables.breaks(sight, "again", f"{sight.task} ran after it was done")


def _order(sight: Started, tables: Tables, job: JobPlan) -> Tables:
    number = int(sight.task.split(".")[2])
    for before in job.steps[number][2]:
        for index in range(job.steps[before][0]):
            if f"{job.job_id}.0.{before}.{index}" not in tables.done:
                return tables.breaks(sight, "order", f"{sight.task} before {before}")
    return tables


def _refusal(sight: Started, tables: Tables, job: JobPlan) -> Tables:
    if job.job_id not in tables.refused:
        return tables
    return tables.breaks(sight, "refused", f"{sight.task} of a refused job ran")


def _cancellation(sight: Started, tables: Tables, job: JobPlan) -> Tables:
    since = tables.cancelled.get(job.job_id)
    if since is None or sight.at - since <= CANCEL_S or not tables.is_calm(since):
        return tables
    if not tables.is_calm(sight.at):
        return tables
    return tables.breaks(sight, "cancelled", f"{sight.task} ran after its job's end")


def _evacuation(sight: Started, tables: Tables, job: JobPlan) -> Tables:
    since = tables.evacuated.get(sight.failure_domain)
    if since is None or sight.at - since <= EVACUATE_S or not tables.is_calm(sight.at):
        return tables
    detail = f"{sight.task} began in {sight.failure_domain}"
    return tables.breaks(sight, "evacuated", detail)


def _capacity(sight: Started, tables: Tables) -> Tables:
    used_m = 0
    for task, run in tables.running.items():
        job = tables.job_of(task)
        if run.host == sight.host and job is not None:
            used_m += job.steps[int(task.split(".")[2])][1]
    if used_m <= tables.capacity_m:
        return tables
    detail = f"{sight.host} has {used_m} of {tables.capacity_m}"
    return tables.breaks(sight, "capacity", detail)


@judge.register
def _(sight: Ended, tables: Tables) -> Tables:
    running = tables.running.get(sight.task)
    if running is not None and running.run == sight.run:
        tables = replace(tables, running=tables.running.remove(sight.task))
    if sight.how != "done":
        return tables
    return replace(tables, done=tables.done.add(sight.task))


@judge.register
def _(sight: Noted, tables: Tables) -> Tables:
    if sight.how != "done":
        return tables
    return replace(tables, noted=tables.noted.add(sight.task))


@judge.register
def _(sight: ServerGone, tables: Tables) -> Tables:
    for task, run in tables.running.items():
        if run.host == sight.host:
            tables = replace(tables, running=tables.running.remove(task))
    return tables


@judge.register
def _(sight: Answered, tables: Tables) -> Tables:
    job_id = sight.job_id
    if sight.what == "accepted":
        accepted = tables.accepted.set(job_id, sight.at)
        return replace(tables, accepted=accepted, unsure=tables.unsure.discard(job_id))
    if sight.what == "unsure":
        return replace(tables, unsure=tables.unsure.add(job_id))
    if not sight.final or job_id in tables.unsure:
        return tables
    refused = replace(tables, refused=tables.refused.add(job_id))
    if any(task.startswith(job_id) for task in (*tables.running, *tables.done)):
        return refused.breaks(sight, "refused", f"{job_id} ran and was refused")
    return refused


@judge.register
def _(sight: Cancelled, tables: Tables) -> Tables:
    return replace(tables, cancelled=tables.cancelled.set(sight.job_id, sight.at))


@judge.register
def _(sight: Evacuated, tables: Tables) -> Tables:
    if sight.back:
        evacuated = tables.evacuated.discard(sight.failure_domain)
    else:
        evacuated = tables.evacuated.set(sight.failure_domain, sight.at)
    return replace(tables, evacuated=evacuated)


@judge.register
def _(sight: Shown, tables: Tables) -> Tables:
    job_id = sight.job_id
    accepted_at = tables.accepted.get(job_id)
    late = accepted_at is not None and sight.at - accepted_at > VISIBLE_S
    if sight.state == "gone" and late:
        return tables.breaks(sight, "lost", f"{job_id} is not known any more")
    tables = replace(tables, state_by_job=tables.state_by_job.set(job_id, sight.state))
    if sight.state == "completed":
        return _completion(sight, tables)
    fails = tables.job_by_id[job_id].payload == "poison"
    if sight.state == "failed" and not fails:
        return tables.breaks(sight, "failed", f"{job_id} failed without cause")
    return tables


def _completion(sight: Shown, tables: Tables) -> Tables:
    job = tables.job_by_id[sight.job_id]
    for number, (count, _, _) in enumerate(job.steps):
        for index in range(count):
            task = f"{job.job_id}.0.{number}.{index}"
            if task not in tables.done:
                return tables.breaks(sight, "complete", f"{task} has not ended")
    return tables


def unfinished(tables: Tables) -> tuple[str, ...]:
    """Return the accepted jobs that have not come to their end."""
    over = {"completed", "failed", "cancelled"}
    return tuple(
        sorted(
            job_id
            for job_id in tables.accepted
            if tables.state_by_job.get(job_id) not in over
            and job_id not in tables.cancelled
            and not tables.job_by_id[job_id].lasting
        )
    )
