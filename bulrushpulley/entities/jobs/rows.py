"""The durable rows of jobs and their keys in the platform's store.

Rows of `OWNED_PART` are written only in transactions that are conditional on the
version of the shard's `OwnerRow`, so an owner that was replaced cannot change them.
Any entry writes submissions and cancellations.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from functools import singledispatch

from bulrushpulley.entities.jobs.runs import RunEnd, RunRef
from bulrushpulley.entities.jobs.spec import SPEC_WITHOUT_STEPS, JobSpec

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
    """The state of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class WaveState(enum.Enum):
    """The state of a wave of upkeep as operators see it."""

    RUNNING = "running"
    COMPLETED = "completed"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True, kw_only=True, slots=True)
class RowKey:
    """The key of a row; a transaction can span only rows of one part."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """Base class for the durable rows."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnlinkedHost:
    """A host without a link to the owner or contact with it, on which runs may remain.

    They have certainly ended `runs_end_in_s` after the row was written: an owner lets
    the host's agent renew leases again only once a row without the host is durable.
    """

    host: str
    runs_end_in_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerRow(Row):
    """Who owns the shard.

    `holder` is the name of the owner's entry and `incarnation` that of its process;
    `holder` is empty once an owner has released the shard. `epoch` increases with each
    change of owner, `sequence` with each transaction of the owner. `unlinked_hosts`
    lets the next owner count from when a host was last heard of. Agents of this owner
    and of those before it may request full leases for `renewals_for_s` after the row
    was created; earlier versions do not write it. The owner expects to write the row
    again within `renews_within_s`, by the longest of its latest intervals; earlier
    versions do not write this either. `loading` is set until it has read the shard and
    has had an answer to a transaction since.
    """

    holder: str
    incarnation: str
    epoch: int
    sequence: int
    unlinked_hosts: tuple[UnlinkedHost, ...] = ()
    renewals_for_s: float | None = None
    renews_within_s: float | None = None
    loading: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRow(Row):
    """An accepted job, with the settings of its queue when it was accepted."""

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
class EndedJobRow(JobRow):
    """The row of a job that has ended; its spec is `SPEC_WITHOUT_STEPS`.

    It replaces the `JobRow`, so it says that the job was accepted, but it holds
    nothing that could be scheduled. The progress of the job has its final state.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelRow(Row):
    """The cancellation of a job."""

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskProgress:
    """The durable part of one task; tasks that were never assigned have none.

    `host` and `life` (an incarnation of the host's backend server) tell where the task
    may be running; they are empty if it runs nowhere. `run` is the last run number
    that was assigned.
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
    """The state of a job and of its tasks, or of some of them.

    `started` is set once one of the tasks has run. If the job has ended, `tasks` holds
    only those that may still be running. The tasks of a large job are distributed over
    rows with the numbers `page` from 0 to `pages`, excluded; the row with the number 0
    says how many there are, and counts for all that concerns the job as a whole. All
    tasks of the occurrences before `done_occurrences` are done, and have no entries.
    """

    job_id: str
    state: JobState
    tasks: tuple[TaskProgress, ...] = ()
    ended_at_s: float = 0.0
    started: bool = False
    page: int = 0
    pages: int = 1
    done_occurrences: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class HostRow(Row):
    """The address at which the agent of a host accepts links.

    `ends` are runs of the incarnation `life` of its backend server that have ended. The
    agent stores them while no owner confirms its contacts, and leaves them there. If
    `adoption` is set, the agent takes no more orders of that adoption in the tenure
    `epoch`, and has none of its runs but `runs` and those in `ends`.
    """

    host: str
    address: str
    failure_domain: str
    region: str
    life: str = ""
    ends: tuple[RunEnd, ...] = ()
    epoch: int = 0
    adoption: int = 0
    runs: tuple[RunRef, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class BacklogRow(Row):
    """How many accepted jobs have not started, as pairs of queue and number."""

    waiting: tuple[tuple[str, int], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HarmEstimate:
    """How much latency one unit of the image `filling` adds to the image `serving`.

    If `filling` is empty, it is the latency of the serving image without interference.
    """

    serving: str
    filling: str
    estimate_ms: float
    variance: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HarmsRow(Row):
    """The interference between images, and the latency targets of the serving ones."""

    estimates: tuple[HarmEstimate, ...]
    target_by_image: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class WaveRow(Row):
    """Progress of a wave: machines whose upkeep was ordered, and those finished."""

    number: int
    ordered: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class WaveStatusRow(Row):
    """The state of a wave, for operators."""

    number: int
    state: WaveState


OWNER_KEY = RowKey(table=OWNERS, part=OWNED_PART, key="owner")
HARMS_KEY = RowKey(table=HARMS, part=OWNED_PART, key="harms")
BACKLOG_KEY = RowKey(table=BACKLOGS, part=OWNED_PART, key="backlog")


@singledispatch
def key_of(row: Row) -> RowKey:
    """Return the key of a row."""
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
    return progress_key(row.job_id, row.page)


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


def ended_row(row: JobRow) -> EndedJobRow:
    """Return the row that replaces the one of a job once that has ended."""
    return EndedJobRow(
        job_id=row.job_id,
        queue=row.queue,
        service=row.service,
        priority=row.priority,
        max_attempts=row.max_attempts,
        latency_factor=row.latency_factor,
        target_latency_s=row.target_latency_s,
        accepted_at_s=row.accepted_at_s,
        spec=SPEC_WITHOUT_STEPS,
    )


def job_key(job_id: str) -> RowKey:
    """Return the key of a job's submission."""
    return RowKey(table=JOBS, part=INTAKE_PART, key=f"{job_id}.job")


def cancel_key(job_id: str) -> RowKey:
    """Return the key of a job's cancellation."""
    return RowKey(table=JOBS, part=INTAKE_PART, key=f"{job_id}.cancel")


def progress_key(job_id: str, page: int = 0) -> RowKey:
    """Return the key of a row with a job's progress."""
    key = f"{job_id}.{page}" if page else job_id
    return RowKey(table=PROGRESS, part=OWNED_PART, key=key)
