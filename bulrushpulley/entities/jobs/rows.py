"""The durable rows of jobs, and where each of them stands in the platform's store.

Every row of a shard's `OWNED_PART` is written only in a transaction that is
conditional on the shard's `OwnerRow`, so a replaced owner can change none of them.
Submissions and cancellations are written by any entry.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from functools import singledispatch

from bulrushpulley.entities.jobs.spec import JobSpec

OWNED_PART = "shard-0"
INTAKE_PART = "intake-0"
OWNERS = "owners"
JOBS = "jobs"
PROGRESS = "progress"
HOSTS = "hosts"
BACKLOGS = "backlogs"
ORDERS = "op"
WAVES = "waves"
HARMS = "harms"
STATUS = "status"


class JobState(enum.Enum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class WaveState(enum.Enum):
    """What operators are told of a wave of upkeep."""

    RUNNING = "running"
    COMPLETED = "completed"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True, kw_only=True, slots=True)
class RowKey:
    """Where a row stands; rows of one part can share a transaction."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """The base of the durable rows."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerRow(Row):
    """Who owns the shard; every transaction of the owner raises `sequence`.

    `epoch` rises with each change of hands. `holder` is empty once an owner has
    given the shard up.
    """

    holder: str
    incarnation: str
    epoch: int
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRow(Row):
    """An accepted job, with what its queue promised when it was accepted."""

    job_id: str
    queue: str
    service: str
    priority: int
    max_attempts: int
    latency_factor: float
    target_latency_s: float
    accepted_at_s: float
    spec: JobSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelRow(Row):
    """The cancellation of a job."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskProgress:
    """The durable part of one task; tasks that never ran have none.

    `host` and `life` name the backend server's life that may run it, and are empty
    while none may. `run` is the last run number that was given out.
    """

    occurrence: int
    step: int
    index: int
    done: bool = False
    run: int = 0
    failures: int = 0
    host: str = ""
    life: str = ""
    checkpoint: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ProgressRow(Row):
    """The state of a job and of its tasks; `started` once one of them has run.

    Of a job that ended it holds only the tasks that may still run.
    """

    job_id: str
    state: JobState
    tasks: tuple[TaskProgress, ...] = ()
    ended_at_s: float = 0.0
    started: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HostRow(Row):
    """Where the agent of a host takes links."""

    host: str
    address: str
    failure_domain: str
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BacklogRow(Row):
    """How many accepted jobs of each queue have no started task, as pairs."""

    waiting: tuple[tuple[str, int], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HarmEstimate:
    """What one unit of the image `filling` adds to the latency of `serving`.

    With an empty `filling` it is the latency of the serving image alone.
    """

    serving: str
    filling: str
    estimate_ms: float
    variance: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HarmsRow(Row):
    """What is known of who slows whom, and the targets of the serving images."""

    estimates: tuple[HarmEstimate, ...]
    target_by_image: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class WaveRow(Row):
    """How far a wave is: the machines whose upkeep was ordered, and is over."""

    number: int
    ordered: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class WaveStatusRow(Row):
    """What operators are told of a wave."""

    number: int
    state: WaveState


OWNER_KEY = RowKey(table=OWNERS, part=OWNED_PART, key="owner")
HARMS_KEY = RowKey(table=HARMS, part=OWNED_PART, key="harms")
BACKLOG_KEY = RowKey(table=BACKLOGS, part=OWNED_PART, key="backlog")


@singledispatch
def key_of(row: Row) -> RowKey:
    """Return where a row stands."""
    raise NotImplementedError(type(row).__name__)


@key_of.register
def _(row: OwnerRow) -> RowKey:
    return OWNER_KEY


@key_of.register
def _(row: JobRow) -> RowKey:
    return job_key(row.job_id)


@key_of.register
def _(row: CancelRow) -> RowKey:
    return cancel_key(row.job_id)


@key_of.register
def _(row: ProgressRow) -> RowKey:
    return progress_key(row.job_id)


@key_of.register
def _(row: HostRow) -> RowKey:
    return RowKey(table=HOSTS, part="", key=row.host)


@key_of.register
def _(row: BacklogRow) -> RowKey:
    return BACKLOG_KEY


@key_of.register
def _(row: HarmsRow) -> RowKey:
    return HARMS_KEY


@key_of.register
def _(row: WaveRow) -> RowKey:
    return RowKey(table=WAVES, part=OWNED_PART, key=f"wave-{row.number}")


@key_of.register
def _(row: WaveStatusRow) -> RowKey:
    return RowKey(table=STATUS, part="", key=f"wave/{row.number}")


def job_key(job_id: str) -> RowKey:
    """Return where the submission of a job stands."""
    return RowKey(table=JOBS, part=INTAKE_PART, key=f"{job_id}.job")


def cancel_key(job_id: str) -> RowKey:
    """Return where the cancellation of a job stands."""
    return RowKey(table=JOBS, part=INTAKE_PART, key=f"{job_id}.cancel")


def progress_key(job_id: str) -> RowKey:
    """Return where the progress of a job stands."""
    return RowKey(table=PROGRESS, part=OWNED_PART, key=job_id)
