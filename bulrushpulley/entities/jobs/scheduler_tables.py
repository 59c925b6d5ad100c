"""The tables of the scheduler, the role that owns a shard of the jobs.

Every entry runs the role. The one that holds the shard's owner row schedules the jobs;
the others follow, that is, they poll that row. A tenure is the time for which one
process owns the shard; each tenure has its own epoch. Only `hosts` with its links, and
`operator_settings`, are kept beyond a tenure.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from immutables import Map
from pyrsistent import PSet, pset

from bulrushpulley.entities.interference import Harm
from bulrushpulley.entities.jobs import host, job, task
from bulrushpulley.entities.jobs.advice import Advice
from bulrushpulley.entities.jobs.books import HostBooks, RederivingState
from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.candidate import Candidate
from bulrushpulley.entities.jobs.configuration import (
    NO_OPERATOR_SETTINGS,
    OperatorSettings,
)
from bulrushpulley.entities.jobs.exclusion import HeldBack
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.idle_jobs import IdleJobTables
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.machines import MachineTables
from bulrushpulley.entities.jobs.progress_commit import Commit, Effect, Suspects
from bulrushpulley.entities.jobs.rows import (
    BacklogRow,
    HostRow,
    OwnerRow,
    ProgressRow,
    WaveState,
)
from bulrushpulley.entities.jobs.set_aside import FailedReport, SetAsideJob
from bulrushpulley.entities.jobs.store import (
    ProbeState,
    Purpose,
    RecheckState,
    RereadState,
    WatchState,
)
from bulrushpulley.entities.jobs.task import Task
from bulrushpulley.entities.jobs.upkeep import UpkeepTables
from bulrushpulley.entities.step import Command, Event, Step
from bulrushpulley.entities.table import Table

SCHEDULER = "scheduler"
NO_BACKLOG = BacklogRow(waiting=())


@dataclass(frozen=True, kw_only=True, slots=True)
class Leadership:
    """Base class for the states of this process regarding ownership of the shard."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteProbe:
    """How long the store takes for transactions in the part of the owner row.

    A follower measures it before it replaces an owner, which may have a transaction in
    flight for as long. `took_s` is None until a transaction that was sent while the
    row was unchanged has been answered; `failures` counts those without an answer.
    """

    in_flight: bool = False
    sent_at: float = 0.0
    took_s: float | None = None
    failures: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Following(Leadership):
    """Another process may own the shard; this one polls the owner row.

    `unchanged_since` is when the row's version was first seen, on this host's clock, or
    later by the time in which reads failed. The last read ended at `read_at`, and the
    last one that succeeded at `seen_at`.
    `last_epoch` is not lower than any epoch that this process knows to have been used.
    `read_latency_s` is the shortest latency of the latest reads, and `read_took_s`
    that of the last one. `failures` counts the reads that have failed since then.
    """

    row: OwnerRow | None = None
    version: int = -1
    unchanged_since: float = 0.0
    read_at: float = -60.0
    seen_at: float = -60.0
    last_epoch: int = 0
    polled_at: float = -60.0
    polling: bool = False
    read_latency_s: float = 60.0
    read_took_s: float = 0.0
    failures: int = 0
    write_probe: WriteProbe = WriteProbe()


@dataclass(frozen=True, kw_only=True, slots=True)
class Claiming(Leadership):
    """Tries to take the shard over by a write conditional on the version seen.

    Agents of former owners renew no leases after `renewals_end_at`. The runs on the
    hosts in `runs_end_by_host` have ended by these times, as far as no owner has
    adopted their agents since. The first call of the claim was made at `sent_at` and
    the last one at `called_at`; the next one may take `timeout_s`.
    """

    row: OwnerRow
    version: int
    renewals_end_at: float
    runs_end_by_host: Map[str, float] = field(default_factory=Map)
    sent_at: float = 0.0
    called_at: float = 0.0
    in_flight: bool = False
    retry_at: float = 0.0
    timeout_s: float = 0.0

    @property
    def epoch(self) -> int:
        """The epoch of the tenure if the claim succeeds."""
        return self.row.epoch


@dataclass(frozen=True, kw_only=True, slots=True)
class Owning(Leadership):
    """This process has owned the shard since `since`, by an owner row of `version`.

    `sequence` is that of the last owner row that was sent. `renewed_at` is when the
    last successful transaction was first sent. Agents of former owners renew no leases
    after `renewals_end_at`. `loading` names the tables that have not been read yet; the
    last of them was read at `loaded_at`. The last transaction that succeeded was
    answered at `written_at`, and the next is expected within `renews_within_s` of it.
    """

    epoch: int
    version: int
    sequence: int
    since: float
    renewed_at: float
    renewals_end_at: float
    loading: frozenset[str] = frozenset()
    loaded_at: float = 0.0
    written_at: float = 0.0
    renews_within_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerTables:
    """The state of the role.

    - `takeover_stagger` is a number from 0 to 1 that differs between entries; entries
      with lower numbers take a shard over earlier from an owner that does not renew.
    - `claim_stagger` is a number from 0 to 1; entries with lower numbers, which have
      more processor time, claim a shard without owner earlier.
    - `slowness` is by what factor the process is slower than one with ample processor
      time; see `renewals.slowness`.
    - `effects_by_job` holds the jobs whose progress is to be written, with the effects
      deferred until then; `turn_by_job` numbers them in the order in which they are to
      be written, and `turns` is the last number.
    - `progress_by_job` holds the progress that was read, until the jobs are read.
    - `suspects` is what was in transactions that the store has rejected.
    - `stored_pages_by_job` is how many rows the store may have of a job's progress,
      for jobs with more than one.
    - `read_retry_by_table` says when a read that failed during loading is retried.
    - `candidate_by_host` holds all hosts as of the last placement pass; a candidate
      is valid as long as its host is the one in `hosts`.
    - `held_back_by_step` says why no host took a task of a step in the last placement
      pass; it holds only some of the steps, and none that has just begun to wait.
    - `holds_end_at` is the first time after the last placement pass at which a hold by
      choice on a task that it left waiting ends.
    - `unhandled_row_by_host` holds the rows of hosts that tell of runs, until the next
      tick of a loaded shard, or a little longer if the agent may report instead.
    - `timed_job_ids` are the jobs with occurrences that are not due yet.
    - `probe` is in use while `commit` waits for the store.
    - `store_latency_s` is the smoothed latency of the store.
    - `wall_offset_s` is the time since 1970 minus the role's clock, the median of the
      recent readings in `wall_offsets_s`.
    - `advice_failing` is set if the last request for advice failed.
    - `books` holds, for each host, what is compared with the books of its agent.
    - `rederiving` is how far the checks of what follows from the tables have come.
    - `unsynced_since_by_host` is since when linked hosts have been seen not synced.
    - `leaving` is set once the process is stopping.
    """

    name: str
    incarnation: str
    takeover_stagger: float
    claim_stagger: float
    bounds: Bounds
    leadership: Leadership
    slowness: float = 1.0
    operator_settings: OperatorSettings = NO_OPERATOR_SETTINGS
    jobs: Table[Job] = field(
        default_factory=lambda: Table.empty(indexes={"stage": job.by_stage})
    )
    tasks: Table[Task] = field(
        default_factory=lambda: Table.empty(
            indexes={
                "job": task.by_job,
                "waiting": task.by_waiting_job,
                "waiting_step": task.by_waiting_step,
                "host": task.by_host,
                "open": task.by_open_step,
                "blocked": task.by_blocked_job,
                "running": task.by_running_job,
                "unsettled": task.by_unsettled,
            }
        )
    )
    hosts: Table[Host] = field(
        default_factory=lambda: Table.empty(
            indexes={
                "peer": host.by_peer,
                "address": host.by_address,
                "link": host.by_link,
                "missing_link": host.by_missing_link,
                "silent": host.by_silence,
            }
        )
    )
    effects_by_job: Map[str, tuple[Effect, ...]] = field(default_factory=Map)
    turn_by_job: Map[str, int] = field(default_factory=Map)
    turns: int = 0
    progress_by_job: Map[str, ProgressRow] = field(default_factory=Map)
    stored_pages_by_job: Map[str, int] = field(default_factory=Map)
    read_retry_by_table: Map[str, ReadRetry] = field(default_factory=Map)
    unhandled_row_by_host: Map[str, HostRow] = field(default_factory=Map)
    timed_job_ids: PSet[str] = field(default_factory=pset)
    commit: Commit | None = None
    suspects: Suspects = field(default_factory=Suspects)
    probe: ProbeState = field(default_factory=ProbeState)
    watch_by_table: Map[str, WatchState] = field(default_factory=Map)
    recheck_by_table: Map[str, RecheckState] = field(default_factory=Map)
    reread_by_table: Map[str, RereadState] = field(default_factory=Map)
    backlog: BacklogRow = NO_BACKLOG
    backlog_counted_at: float = 0.0
    backlog_written: BacklogRow = NO_BACKLOG
    store_latency_s: float = 0.05
    wall_offset_s: float = 0.0
    wall_offsets_s: tuple[float, ...] = ()
    wall_clock_read_at: float = -60.0
    advice: Table[Advice] = field(default_factory=Table.empty)
    advice_failing: bool = False
    harms: Table[Harm] = field(default_factory=Table.empty)
    target_by_image: Map[str, float] = field(default_factory=Map)
    harmful: frozenset[tuple[str, str]] = frozenset()
    machines: MachineTables = field(default_factory=MachineTables)
    upkeep: UpkeepTables = field(default_factory=UpkeepTables)
    verdicts_sent_at: float = 0.0
    harms_saved_at: float = 0.0
    place_due: bool = False
    candidate_by_host: Map[str, Candidate] = field(default_factory=Map)
    held_back_by_step: Map[str, HeldBack] = field(default_factory=Map)
    last_placement_at: float = 0.0
    holds_end_at: float = math.inf
    purged_at: float = 0.0
    expiry_checked_at: float = 0.0
    silence_checked_at: float = 0.0
    condensed_at: float = 0.0
    unserved_reported_at: float = 0.0
    books: Table[HostBooks] = field(default_factory=Table.empty)
    rederiving: RederivingState = field(default_factory=RederivingState)
    unsynced_since_by_host: Map[str, float] = field(default_factory=Map)
    idle_jobs: IdleJobTables = field(default_factory=IdleJobTables)
    capacity_use_reported_at: float = 0.0
    set_aside: Table[SetAsideJob] = field(default_factory=Table.empty)
    failed_reports: Table[FailedReport] = field(default_factory=Table.empty)
    leaving: bool = False

    @property
    def epoch(self) -> int:
        """The epoch of the tenure or claim; zero while following."""
        return getattr(self.leadership, "epoch", 0)


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorSettingsChanged(Event):
    """The operators' settings have changed."""

    operator_settings: OperatorSettings


@dataclass(frozen=True, kw_only=True, slots=True)
class WallClock(Event):
    """The time since 1970, in seconds, at the creation of the event."""

    wall_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadWallClock(Command):
    """Asks for a `WallClock`."""

    role: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DialAgent(Command):
    """Opens a link to an agent; a `DialEnded` follows once it fails or closes."""

    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TenurePurpose(Purpose):
    """Base class for purposes of calls whose answers only the same tenure may use."""

    epoch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PollOwner(Purpose):
    """A follower reads the owner row."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeWrites(Purpose):
    """A follower sends a transaction, at `sent_at`, to see how long it takes."""

    sent_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimShard(TenurePurpose):
    """A follower claims the shard."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitProgress(TenurePurpose):
    """An owner writes progress and renews its owner row.

    `sequence` is that of the owner row, and `attempt` counts the calls of the
    transaction. The call was made at `sent_at`.
    """

    sequence: int
    attempt: int
    sent_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeStore(TenurePurpose):
    """An owner reads its row, at `sent_at`, to see whether the store answers again."""

    sent_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadTable(TenurePurpose):
    """A new owner reads a table of its shard, after so many `failures`."""

    table: str
    failures: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRetry:
    """When a table is read again, and how many reads of it have failed."""

    at: float
    failures: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchTable(TenurePurpose):
    """An owner watches a table for changes."""

    table: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RecheckTable(TenurePurpose):
    """An owner reads changes again that its watch has read up to `watched`."""

    table: str
    watched: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CompareTable(TenurePurpose):
    """An owner reads a page of a table to compare it with its own."""

    table: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadMissedProgress(TenurePurpose):
    """An owner reads the progress of jobs that a page has and its tables lack."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmMissedJobs(TenurePurpose):
    """An owner reads the page again once it has read the `progress` of all jobs."""

    progress: tuple[ProgressRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RereadTable(TenurePurpose):
    """An owner reads a table again after the store dropped changes it had not read."""

    table: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadWaves(TenurePurpose):
    """An owner reads the progress that former owners made with waves of upkeep."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteWaveStatus(TenurePurpose):
    """An owner writes the state of a wave for operators."""

    number: int
    state: WaveState


@dataclass(frozen=True, kw_only=True, slots=True)
class CondenseJobRows(Purpose):
    """An owner shortens the rows of ended jobs to what callers may still request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DropJobRows(Purpose):
    """An owner deletes the rows of jobs that ended long ago; their progress follows."""

    job_ids: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class DropProgressRows(Purpose):
    """An owner deletes the progress of jobs whose rows it has deleted."""


SchedulerStep = Step[SchedulerTables]
