"""The tables of the intake, the role of every entry that takes callers' calls."""

from __future__ import annotations

from dataclasses import dataclass, field

from pyrsistent import PMap, PSet, pmap, pset

from bulrushpulley.entities.jobs.calls import JobCall
from bulrushpulley.entities.jobs.configuration import (
    NO_OPERATOR_SETTINGS,
    OperatorSettings,
    Queue,
)
from bulrushpulley.entities.jobs.rows import JobRow
from bulrushpulley.entities.jobs.store import Purpose, Transact, WatchState
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.table import Table

INTAKE = "intake"


@dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """A job that is being stored, and the calls that wait for it.

    It is `unsure` once a transaction with it got no answer. `refused_at` is when the
    store first turned it away, `busy` whether it had too much to do the last time.
    """

    job_id: str
    row: JobRow
    call_ids: tuple[str, ...]
    received_at: float
    due_at: float
    in_flight: bool = False
    outcome_unknown: bool = False
    refused_at: float | None = None
    busy: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """The one transaction with submissions that is in flight.

    From `check_at` on its rows are read, since the answer should have come; `checking`
    are the jobs that were asked for at `asked_at`. It is `absent` once one of them
    was not found.
    """

    number: int
    transact: Transact
    job_ids: tuple[str, ...]
    sent_at: float
    check_at: float
    checking: frozenset[str] = frozenset()
    asked_at: float = 0.0
    row_missing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Inquiry:
    """A call about one job or queue that waits for the store.

    `repeat` is what has to be asked again, from `repeat_at` on. It is `unsure` once a
    cancellation may have been stored without an answer.
    """

    call: JobCall
    queue: Queue
    job_id: str
    due_at: float
    tries: int = 0
    outcome_unknown: bool = False
    retry_purpose: Purpose | None = None
    next_retry_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderEntry:
    """A row of operators' orders as last read: its version and what it says."""

    version: int
    row: object | None


@dataclass(frozen=True, kw_only=True, slots=True)
class IntakeTables:
    """The whole state of the role.

    `accepted` and `accepted_before` hold the ids of jobs that are known to be
    stored, the younger and the older ones. `answered_at` is when the store last
    answered anything; `store_s` how long its answers take, smoothed.
    """

    standing: OperatorSettings = NO_OPERATOR_SETTINGS
    order_by_key: PMap[str, OrderEntry] = field(default_factory=pmap)
    watch: WatchState | None = None
    reading: bool = False
    read_at: float = 0.0
    submissions: Table[Submission] = field(default_factory=Table.empty)
    batch: Batch | None = None
    batch_count: int = 0
    retry_at: float = 0.0
    inquiries: Table[Inquiry] = field(default_factory=Table.empty)
    accepted: PSet[str] = field(default_factory=pset)
    older_accepted: PSet[str] = field(default_factory=pset)
    store_answered_at: float = 0.0
    store_latency_s: float = 0.05
    ready: bool = False
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PublishReady(Command):
    """Says whether the platform should send new callers here."""

    ready: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadOrders(Purpose):
    """Reads everything that operators have in force."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchOrders(Purpose):
    """Follows what operators put in force."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreJobs(Purpose):
    """Stores the submissions of the batch with a number."""

    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckStored(Purpose):
    """Reads whether a job of a batch was stored."""

    number: int
    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallPurpose(Purpose):
    """The base of calls to the store for one inquiry."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadProgress(CallPurpose):
    """Reads the state of a job."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadJob(CallPurpose):
    """Reads whether a job was accepted, and whether it was cancelled."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadBacklog(CallPurpose):
    """Reads how many jobs of each queue have not started."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCancel(CallPurpose):
    """Stores the cancellation of a job."""


IntakeStep = Step[IntakeTables]
