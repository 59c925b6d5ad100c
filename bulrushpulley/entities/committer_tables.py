"""The tables of the committer: submissions, lanes, submissions in doubt, reads.

A submission is in `submissions` from its arrival until its outcome has been
reported. Its id is in the queue of its lane, or it is in flight in the lane's one
transaction. An `InDoubtRow` outlives the report of `Unsettled`, so that the outcome
of the first request is used when the same submission is submitted again.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from bulrushpulley.entities.commit import Submission
from bulrushpulley.entities.table import Table


class Lane(enum.Enum):
    """The lanes of submissions; each lane has one transaction in flight."""

    URGENT = "urgent"
    BULK = "bulk"


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmissionRow:
    """A submission whose outcome is to be reported to `origins`.

    `size_bytes` estimates its encoded writes.
    """

    submission: Submission
    lane: str
    origins: tuple[str, ...]
    arrived_at: float
    give_up_at: float
    size_bytes: int

    @property
    def submission_id(self) -> str:
        """The id of the submission, its key in the table."""
        return self.submission.submission_id


@dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """The submissions sent in one transaction and the fence version it requires.

    It is only ever sent again unchanged. `lost` is set after a request with it got no
    answer. A transaction without entries only moves the fence.
    """

    transaction_id: str
    entries: tuple[SubmissionRow, ...]
    fence_version: int
    lost: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class LaneRow:
    """A lane: its queued ids, the transaction not settled yet, and its backoff.

    `last_transaction_number` is part of the transaction ids. `request_in_flight` is
    set while a request sent at `sent_at` is in flight. `timeout_s` follows the time
    that the store took to answer. `request_in_doubt` is set while an earlier request
    may still take effect, until the fence moves; `fence_move_due` asks for an empty
    transaction to move it. The next `single_sends` submissions are sent one by one.
    `failures` counts consecutive requests that failed; nothing is sent before
    `retry_at`.
    """

    name: str
    queue: tuple[str, ...] = ()
    transaction: Transaction | None = None
    last_transaction_number: int = 0
    fence_version: int = 0
    request_in_flight: bool = False
    sent_at: float = 0.0
    timeout_s: float = 0.0
    request_in_doubt: bool = False
    fence_move_due: bool = False
    single_sends: int = 0
    failures: int = 0
    retry_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class InDoubtRow:
    """A submission sent in `transaction_ids`, last marked in doubt at `marked_at`.

    `revision` is not 0 once the fence has shown that one of them committed.
    """

    submission_id: str
    transaction_ids: tuple[str, ...]
    marked_at: float
    revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRequester:
    """The receiver of a read's rows and its id for the read."""

    origin: str
    fetch_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefixRead:
    """A read of a prefix, shared by all requests made before it was sent."""

    read_id: str
    prefix: str
    since: int
    requesters: tuple[ReadRequester, ...]
    sent: bool = False

    @property
    def query(self) -> str:
        """The start revision and the prefix, as one index value."""
        return f"{self.since} {self.prefix}"


def _read_query(read: PrefixRead) -> tuple[str, ...]:
    return (read.query,)


def _read_state(read: PrefixRead) -> tuple[str, ...]:
    return ("sent" if read.sent else "waiting",)


def _in_doubt_transactions(row: InDoubtRow) -> tuple[str, ...]:
    return row.transaction_ids


def _empty_in_doubt() -> Table[InDoubtRow]:
    return Table.empty(indexes={"transaction": _in_doubt_transactions})


def _empty_reads() -> Table[PrefixRead]:
    return Table.empty(indexes={"query": _read_query, "state": _read_state})


def _idle_lanes() -> Table[LaneRow]:
    lanes: Table[LaneRow] = Table.empty()
    for lane in Lane:
        lanes = lanes.put(lane.value, LaneRow(name=lane.value))
    return lanes


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitterTables:
    """The state of the committer.

    `name` is the process's name in the settings and part of its fences' keys;
    `incarnation` makes transaction ids unique. Overdue submissions are next looked
    for at `sweep_at`.
    """

    name: str
    incarnation: str
    submissions: Table[SubmissionRow] = field(default_factory=Table.empty)
    lanes: Table[LaneRow] = field(default_factory=_idle_lanes)
    in_doubt: Table[InDoubtRow] = field(default_factory=_empty_in_doubt)
    reads: Table[PrefixRead] = field(default_factory=_empty_reads)
    last_read_number: int = 0
    sweep_at: float = 0.0
