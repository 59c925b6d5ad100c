"""The tables of the intake, the role of each entry that serves callers' calls."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map
from pyrsistent import PSet, pset

from bulrushpulley.entities.jobs.calls import JobCall
from bulrushpulley.entities.jobs.configuration import (
    NO_OPERATOR_SETTINGS,
    OperatorSettings,
    Queue,
)
from bulrushpulley.entities.jobs.rows import JobRow
from bulrushpulley.entities.jobs.store import (
    Purpose,
    RecheckState,
    Transact,
    WatchState,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.table import Table

INTAKE = "intake"
DEFAULT_ORDERS_WITHIN_S = 2.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Submission:
    """A job that is being stored, and the calls that wait for it.

    `outcome_unknown` is set once a transaction with the job got no answer.
    `refused_at` is when the store first refused it, and `busy` is whether the last
    refusal was because of overload. A `suspect` was in a transaction that the store
    rejected, and is sent alone.
    """

    job_id: str
    row: JobRow
    call_ids: tuple[str, ...]
    received_at: float
    due_at: float
    spec_bytes: int = 0
    in_flight: bool = False
    outcome_unknown: bool = False
    refused_at: float | None = None
    busy: bool = False
    suspect: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """The one transaction with submissions that is in flight.

    If it has no answer by `check_at`, its rows are read. `checking` holds the ids of
    the jobs whose reads, sent at `reads_sent_at`, are in flight. `row_missing` is set
    once one of the rows was not found or could not be read.
    """

    number: int
    transact: Transact
    job_ids: tuple[str, ...]
    sent_at: float
    check_at: float
    checking: frozenset[str] = frozenset()
    reads_sent_at: float = 0.0
    row_missing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Inquiry:
    """A call about one job or queue that waits for the store.

    `retry_purpose` is the purpose of the store call that must be sent again, not
    before `next_retry_at`. `outcome_unknown` is set once a cancellation may have been
    stored without an answer.
    """

    call: JobCall
    queue: Queue
    job_id: str
    due_at: float
    retries: int = 0
    outcome_unknown: bool = False
    retry_purpose: Purpose | None = None
    next_retry_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderEntry:
    """A row of operators' orders as last read; `row` is None if it was deleted."""

    version: int
    row: object | None


@dataclass(frozen=True, kw_only=True, slots=True)
class IntakeTables:
    """The complete state of the role.

    `accepted` and `older_accepted` hold the ids of jobs that are known to be stored:
    the recent ones and those before. `store_answered_at` is when the store last
    answered any call, and `store_latency_s` its smoothed latency. `reading_orders` is
    whether a read of all orders is in flight, `orders_read_due_at` when the next one
    may be sent, and `orders_read_s` how long the last one took. All orders are known
    that were stored before `orders_confirmed_at`; an order has to be in force
    `orders_within_s` after it was stored.
    """

    operator_settings: OperatorSettings = NO_OPERATOR_SETTINGS
    order_by_key: Map[str, OrderEntry] = field(default_factory=Map)
    watch: WatchState | None = None
    recheck: RecheckState | None = None
    reading_orders: bool = False
    orders_read_sent_at: float = 0.0
    orders_read_due_at: float = 0.0
    orders_read_s: float = 0.0
    orders_confirmed_at: float = 0.0
    orders_within_s: float = DEFAULT_ORDERS_WITHIN_S
    submissions: Table[Submission] = field(default_factory=Table.empty)
    batch: Batch | None = None
    batch_count: int = 0
    batch_retry_at: float = 0.0
    inquiries: Table[Inquiry] = field(default_factory=Table.empty)
    accepted: PSet[str] = field(default_factory=pset)
    older_accepted: PSet[str] = field(default_factory=pset)
    store_answered_at: float = 0.0
    store_latency_s: float = 0.05
    ready: bool = False
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PublishReady(Command):
    """Publishes whether the platform should route new callers to this entry."""

    ready: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadOrders(Purpose):
    """Reads all orders of operators that are in force.

    The answer counts only while no call was sent after `sent_at`.
    """

    sent_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchOrders(Purpose):
    """Watches for changes of operators' orders.

    The answer counts only while no call was sent after `sent_at`.
    """

    sent_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RecheckOrders(Purpose):
    """Reads changes of operators' orders a second time.

    The watch had read all up to the version `watched` when this was sent.
    """

    watched: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreJobs(Purpose):
    """Stores the submissions of the batch with this number."""

    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckStored(Purpose):
    """Reads the row of a job of a batch, to see whether it was stored."""

    number: int
    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CallPurpose(Purpose):
    """Base class for the store calls of one inquiry."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadProgress(CallPurpose):
    """Reads the state of a job."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadJob(CallPurpose):
    """Reads the rows that show whether a job was accepted, and whether cancelled."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadBacklog(CallPurpose):
    """Reads the number of jobs of each queue that have not started."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCancel(CallPurpose):
    """Stores the cancellation of a job."""


IntakeStep = Step[IntakeTables]
