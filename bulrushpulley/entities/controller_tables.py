"""The tables of the controller, the role that manages records and the backlog."""

from __future__ import annotations

from dataclasses import dataclass, field

from pyrsistent import PMap, PSet, pmap, pset

from bulrushpulley.entities.backlog import (
    Closing,
    ClosingOutcome,
    Deferral,
    Lane,
    Rank,
    WaitingRow,
    WaitReason,
    Wake,
    by_job,
)
from bulrushpulley.entities.cell_view import CellView
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.fleet import Fleet
from bulrushpulley.entities.link import Announce, EntryAddress
from bulrushpulley.entities.member import Member
from bulrushpulley.entities.pending import (
    Change,
    Enquiry,
    InForceWait,
    Pending,
    Poll,
    by_purpose,
    by_resubmission,
)
from bulrushpulley.entities.queue import Queue
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import RevisionRow
from bulrushpulley.entities.table import Table

MAX_RECENT_JOBS = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryIdentity:
    """The identity of this entry process; `name` comes from the settings."""

    name: str
    incarnation: str
    host: str
    port: int
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentLink:
    """A linked agent and the revision of the configuration last sent to it.

    `announced` is its last announcement, None before the first one. If
    `sent_revision` is 0, the link is sent the full configuration: nothing was sent
    yet, or the agent did not confirm in time.
    """

    peer: str
    region: str
    sent_revision: int = 0
    sent_at: float = 0.0
    announced: Announce | None = None

    @property
    def applied_revision(self) -> int:
        """The revision that the agent last reported as applied."""
        return self.announced.applied_revision if self.announced else 0


@dataclass(frozen=True, kw_only=True, slots=True)
class CellOffer:
    """The agents that a cell was offered to, and the time of its next offer."""

    cell: str
    next_at: float
    retry_delay_s: float
    tried: tuple[str, ...] = ()


def _no_revision() -> VersionedRow:
    return VersionedRow(key="revision", version=0, row=None)


def _by_sent_revision(link: AgentLink) -> tuple[str, ...]:
    return (str(link.sent_revision),)


def _by_kind(row: VersionedRow) -> tuple[str, ...]:
    return (row.key.split("/")[1],)


def _by_peer(view: CellView) -> tuple[str, ...]:
    return (view.peer,) if view.peer else ()


def _empty_links() -> Table[AgentLink]:
    return Table.empty(indexes={"sent": _by_sent_revision})


def _empty_records() -> Table[VersionedRow]:
    return Table.empty(indexes={"kind": _by_kind})


def _empty_cells() -> Table[CellView]:
    return Table.empty(indexes={"peer": _by_peer})


def _empty_waiting() -> Table[WaitingRow]:
    return Table.empty(indexes={"job": by_job})


def _empty_pending() -> Table[Pending]:
    return Table.empty(
        indexes={
            "resubmit": by_resubmission,
            "purpose": by_purpose,
        }
    )


Lanes = PMap[Lane, Queue[str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class ControllerTables:
    """The state of the controller.

    `records` holds the record rows of the configuration by key, without jobs.
    They are complete up to `revision`; `revision_row` is the last seen revision
    row of the table service. `distributed_revision` is the one last sent to the
    router. `renewal_key` is empty unless a renewal of the member row is in flight, and
    `renewed_revision` is the revision in the last renewal. `usage` sums what each
    department uses and has reserved in all `cells`. Each lane of `lanes` is either in
    `ready` or in `blocked`; the `wakes` of a rank and `deferred` are ordered by time.
    `capacity_freed` is set when a cell has more free capacity than before.
    `current_change_id` is the call whose configuration change is in progress.
    `closing_outcomes` holds the outcomes of each closing record by key, and
    `recent_jobs` the jobs seen last. `last_logged_at` serves to limit the rate of
    logged decisions.
    """

    identity: EntryIdentity
    leaving: bool = False
    last_number: int = 0
    revision: int = 0
    distributed_revision: int = 0
    revision_row: VersionedRow = field(default_factory=_no_revision)
    renewal_key: str = ""
    renewed_revision: int = 0
    member_renew_at: float = 0.0
    renewals: int = 0
    members_read_at: float | None = None
    entries_sent: tuple[EntryAddress, ...] = ()
    fleet: Fleet = field(default_factory=Fleet)
    quotas: PMap[str, Resources] = field(default_factory=pmap)
    next_offers_at: float = 0.0
    current_change_id: str = ""
    records: Table[VersionedRow] = field(default_factory=_empty_records)
    members: Table[Member] = field(default_factory=Table.empty)
    links: Table[AgentLink] = field(default_factory=_empty_links)
    cells: Table[CellView] = field(default_factory=_empty_cells)
    offers: Table[CellOffer] = field(default_factory=Table.empty)
    usage: PMap[str, Resources] = field(default_factory=pmap)
    waiting: Table[WaitingRow] = field(default_factory=_empty_waiting)
    lanes: Lanes = field(default_factory=pmap)
    ready: PSet[Lane] = field(default_factory=pset)
    blocked: PMap[Lane, WaitReason] = field(default_factory=pmap)
    wakes: PMap[Rank, Queue[Wake]] = field(default_factory=pmap)
    capacity_freed: bool = False
    deferred: Queue[Deferral] = field(default_factory=Queue.empty)
    closings: Table[Closing] = field(default_factory=Table.empty)
    closing_outcomes: PMap[str, PMap[str, ClosingOutcome]] = field(default_factory=pmap)
    changes: Table[Change] = field(default_factory=Table.empty)
    change_queue: Queue[str] = field(default_factory=Queue.empty)
    pending: Table[Pending] = field(default_factory=_empty_pending)
    polls: Table[Poll] = field(default_factory=Table.empty)
    in_force_waits: Table[InForceWait] = field(default_factory=Table.empty)
    enquiries: Table[Enquiry] = field(default_factory=Table.empty)
    recent_jobs: tuple[str, ...] = ()
    last_logged_at: PMap[str, float] = field(default_factory=pmap)

    @property
    def last_revision(self) -> int:
        """The latest revision of the configuration that is known to exist."""
        row = self.revision_row.row
        return row.revision if isinstance(row, RevisionRow) else 0
