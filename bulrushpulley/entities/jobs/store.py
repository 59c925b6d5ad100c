"""Commands to the platform's store and the events that answer them.

Each command names its role and a purpose. Exactly one event follows; it carries the
purpose back, and the role dispatches on the purpose's type. Rows are typed here; the
adapter encodes them.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.jobs.rows import Row, RowKey
from bulrushpulley.entities.step import Command, Event


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """A row and its version; `row` is None if it is absent, deleted or unreadable.

    `unreadable` marks a row that exists but cannot be decoded, such as one of another
    writer. Its former content should stay in use.
    """

    key: RowKey
    version: int
    row: object | None
    unreadable: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """Requires that a row has `version`; 0 requires that it is absent."""

    key: RowKey
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Purpose:
    """Base class for the purposes of calls to the store."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCommand(Command):
    """Base class for the commands to the store."""

    role: str
    purpose: Purpose
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Transact(StoreCommand):
    """Writes and deletes rows of one part atomically if all conditions hold."""

    conditions: tuple[Condition, ...]
    puts: tuple[Row, ...] = ()
    deletes: tuple[RowKey, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRange(StoreCommand):
    """Reads the rows of a part with keys from `first` to `end`, `end` excluded."""

    table: str
    part: str
    first: str = ""
    end: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Watch(StoreCommand):
    """Waits up to `wait_s` for changes of a table after the version `after`."""

    table: str
    after: int
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreEvent(Event):
    """Base class for the answers of the store."""

    purpose: Purpose


@dataclass(frozen=True, kw_only=True, slots=True)
class Transacted(StoreEvent):
    """The transaction was applied; its rows have `version`."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflicted(StoreEvent):
    """A condition did not hold; `rows` are the current rows of all conditions."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactRefused(StoreEvent):
    """The transaction was not and will not be applied.

    `busy` means that the store refused it because it is overloaded, `rejected` that it
    takes it for malformed, so that it would refuse it again.
    """

    reason: str
    busy: bool = False
    rejected: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactOutcomeUnknown(StoreEvent):
    """No answer came: the transaction may have been, or may yet be, applied."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Receipt:
    """How the answer to a read arrived, all pages of it together.

    The call was begun at `started_at` and the answer decoded at `decoded_at`, in
    seconds since boot. `waited_s` is the time until the answer began, `transferred_s`
    the time until its `size_bytes` had arrived.
    """

    started_at: float
    decoded_at: float
    waited_s: float
    transferred_s: float
    size_bytes: int

    @property
    def decoding_s(self) -> float:
        """How long the answer took to decode."""
        busy_s = self.decoded_at - self.started_at
        return max(0.0, busy_s - self.waited_s - self.transferred_s)


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeRead(StoreEvent):
    """The rows of a range, and the newest version of the store at its start."""

    rows: tuple[StoredRow, ...]
    version: int
    receipt: Receipt | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RowsChanged(StoreEvent):
    """The changes of a table up to `version`, in order; deleted rows are None."""

    rows: tuple[StoredRow, ...]
    version: int
    receipt: Receipt | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryLost(StoreEvent):
    """The store no longer keeps the requested changes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed(StoreEvent):
    """A range read or a watch failed."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchState:
    """The state of a watch on one table.

    Changes up to the version `after` have been read. The last call was sent at
    `sent_at`, to wait for `wait_s`; `failed` is set if the last one that has ended
    failed.
    """

    after: int
    sent_at: float = 0.0
    wait_s: float = 0.0
    in_flight: bool = False
    failed: bool = False
    retry_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RecheckState:
    """The state of the second reads of a table's changes.

    All changes up to the version `after` have been read twice. The last call was sent
    at `sent_at`.
    """

    after: int
    sent_at: float
    in_flight: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RereadState:
    """The state of the reads that compare a table with the store.

    The next read is due at `due_at`. It is of the `page` with keys from `first` to
    `end`, `end` excluded, which is the whole table if both are empty. The page is -1
    until all of the table has been compared once.
    """

    due_at: float
    in_flight: bool = False
    page: int = -1
    first: str = ""
    end: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeState:
    """The state of the reads that show whether the store answers again.

    The last one was sent at `sent_at`; `failed` is set if the last one that has ended
    failed. The last answer came at `answered_at`.
    """

    sent_at: float = 0.0
    answered_at: float = 0.0
    in_flight: bool = False
    failed: bool = False
