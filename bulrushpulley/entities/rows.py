"""The durable rows of the table service and their keys.

Keys::

    record/KIND/NAME          RecordRow    configuration, one row per record
    revision                  RevisionRow  the last revision of the configuration
    backlog/JOB/FIRST         BacklogRow   tasks that no cell holds yet
    backlog/JOB/closing       BacklogRow   tasks that are being stopped permanently
    task/CELL/JOB/INDEX       TaskRow      a task held by a cell
    done/JOB/INDEX            TaskRow      the outcome of a task
    done/JOB/FIRST            BacklogRow   tasks closed before any cell held them
    lease/CELL                LeaseRow     the owner of a cell
    alive/AGENT               AliveRow     the liveness of an owner of cells
    member/ENTRY              MemberRow    an entry process
    claim/SERVICE/ID          ClaimRow     the right to run an unrepeatable request

A row's version is the commit number of the transaction that last wrote it; an
absent row has version 0. Conditions on versions fence every write.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.records import Record
from bulrushpulley.entities.resources import Resources


class TaskClass(enum.Enum):
    """Whether a task is a replica of a service or part of a batch job."""

    LATENCY_CRITICAL = "latency_critical"
    BATCH = "batch"


class TaskState(enum.Enum):
    """The durable state of a task that a cell holds, or its outcome."""

    WAITING = "waiting"
    STARTING = "starting"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskSpec:
    """What is to be run; the same for all tasks of a job except for `index`.

    `kind` is ``job`` or ``service`` and `job` the record's name. A start is
    conditional on `record_version`, the version of the record row, so that
    nothing starts after its record was cancelled.
    """

    kind: str
    record_version: int
    job: str
    index: int
    department: str
    task_class: TaskClass
    size: Resources
    run_s: float
    priority: int = 0
    urgent: bool = False
    max_attempts: int = 3
    failure_domains: tuple[str, ...] = ()

    @property
    def task_id(self) -> str:
        """The id of the task, ``JOB/INDEX``."""
        return f"{self.job}/{self.index}"

    @property
    def record_key(self) -> str:
        """The key of the record row that the task was created for."""
        return f"record/{self.kind}/{self.job}"


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskRow:
    """A task: `generation` counts its starts, `checkpoint` names its last checkpoint.

    `worker_id` is the only worker on which `generation` may run. `attempts`
    counts the failures attributed to the task itself.
    """

    spec: TaskSpec
    state: TaskState
    generation: int = 0
    worker_id: str = ""
    checkpoint: str = ""
    attempts: int = 0
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class BacklogRow:
    """`count` tasks of a job from `spec.index` on that no cell holds.

    A task returned by a cell has its own row with its generation, checkpoint and
    attempts, so that it resumes instead of starting over.
    """

    spec: TaskSpec
    count: int
    generation: int = 0
    checkpoint: str = ""
    attempts: int = 0
    submitted_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRow:
    """The owner of a cell; the row changes only when the owner does.

    `epoch` grows with each owner. `autonomy_s` is how long the owner may go on
    renewing task leases after the last commit of its `AliveRow` was sent. An
    empty `owner` means that the last one released the cell. Owners before this one
    may renew task leases for `former_renewals_for_s` after the row was created, when
    the owner's `AliveRow` had `alive_renewals`; earlier versions write neither.
    """

    owner: str
    incarnation: str
    epoch: int
    autonomy_s: float
    former_renewals_for_s: float | None = None
    alive_renewals: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AliveRow:
    """Shows that an agent is alive: `renewals` grows while it is."""

    agent: str
    incarnation: str
    renewals: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordRow:
    """A record in force, its schema version as submitted and who wrote it."""

    kind: str
    schema_version: int
    record: Record
    author: str
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RevisionRow:
    """The last revision of the configuration."""

    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberRow:
    """An entry process and the address at which other processes link to it.

    `applied_revision` is the revision of the configuration in force there.
    """

    name: str
    incarnation: str
    host: str
    port: int
    region: str
    renewals: int
    applied_revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRow:
    """The right to run an unrepeatable request, granted once, to one agent."""

    service: str
    request_id: str
    agent: str
    incarnation: str
    claimed_at: float


DurableRow = (
    RecordRow
    | RevisionRow
    | BacklogRow
    | TaskRow
    | LeaseRow
    | AliveRow
    | MemberRow
    | ClaimRow
)
