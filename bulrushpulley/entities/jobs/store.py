"""What roles ask of the platform's store, and what they are told of it.

Each command names the role and a purpose of its own; the one event that follows
carries the purpose back, and the role dispatches by its type. Rows are typed; their
encoding is the adapter's.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.jobs.rows import Row, RowKey
from bulrushpulley.entities.step import Command, Event


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """A row as it stands; `row` is None where it is absent, deleted or unreadable."""

    key: RowKey
    version: int
    row: object | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Condition:
    """A row must have `version`; version 0 means that it must be absent."""

    key: RowKey
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Purpose:
    """The base of what a call to the store is for."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCommand(Command):
    """The base of the calls to the store."""

    role: str
    purpose: Purpose
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Transact(StoreCommand):
    """Writes and deletes rows of one part at once, if all conditions hold."""

    conditions: tuple[Condition, ...]
    puts: tuple[Row, ...] = ()
    deletes: tuple[RowKey, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRange(StoreCommand):
    """Reads the rows of a part with keys from `first` up to but without `end`."""

    table: str
    part: str
    first: str = ""
    end: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Watch(StoreCommand):
    """Waits up to `wait_s` for rows of a table that changed after a version."""

    table: str
    after: int
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreEvent(Event):
    """The base of the answers of the store."""

    purpose: Purpose


@dataclass(frozen=True, kw_only=True, slots=True)
class Transacted(StoreEvent):
    """The transaction was done; its rows have `version`."""

    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflicted(StoreEvent):
    """A condition did not hold; `rows` are those of all conditions as they stand."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactRefused(StoreEvent):
    """Nothing was done and nothing will be; a `busy` store has too much to do."""

    reason: str
    busy: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactOutcomeUnknown(StoreEvent):
    """No answer: the transaction was done, will be done, or never will."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RangeRead(StoreEvent):
    """The rows of a range, and the newest version of the store when it began."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RowsChanged(StoreEvent):
    """Rows that changed, in order, up to `version`; deleted rows are None."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryLost(StoreEvent):
    """The store no longer has the changes that were asked for."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed(StoreEvent):
    """A range or a watch got no answer."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchState:
    """A watch on one table: the version read up to, and whether a call is out.

    It has `failed` when its last call got no answer.
    """

    after: int
    in_flight: bool = False
    failed: bool = False
    retry_at: float = 0.0
