"""The rules of the table service: an immutable table and pure functions.

A transaction is atomic, and every row that it writes gets the number of the commit
as its version. A deleted row leaves a tombstone: conditions treat the row as absent,
and readers that follow changes see it as deleted.

Example::

    put = Put(key="claim/s/1", value=b"{}")
    condition = VersionCondition(key="claim/s/1", version=0)
    transaction = Transaction(conditions=(condition,), puts=(put,))
    commit(TableState.empty(), transaction).revision
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.table import Table

DEFAULT_PAGE_LIMIT = 1_000
# Reads of a longer prefix filter the rows of its longest indexed folder.
MAX_INDEXED_DEPTH = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionCondition:
    """Requires a row to have `version`; 0 requires it to be absent."""

    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """Writes `value` to the row `key`; None deletes the row."""

    key: str
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """Writes that are applied atomically if every condition holds."""

    conditions: tuple[VersionCondition, ...]
    puts: tuple[Put, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Stored:
    """A stored row; a tombstone has no value."""

    key: str
    version: int
    value: bytes | None

    @property
    def condition_version(self) -> int:
        """The version that conditions are compared with: 0 for a tombstone."""
        return self.version if self.value is not None else 0


def folders_of(key: str) -> tuple[str, ...]:
    """Return the first prefixes of a key that end with a slash, shortest first.

    There are at most `MAX_INDEXED_DEPTH` of them.
    """
    parts = key.split("/")[:-1]
    depths = range(1, min(len(parts), MAX_INDEXED_DEPTH) + 1)
    return tuple("/".join(parts[:depth]) + "/" for depth in depths)


def _row_folders(row: Stored) -> tuple[str, ...]:
    return folders_of(row.key)


@dataclass(frozen=True, kw_only=True, slots=True)
class TableState:
    """The rows and the number of the last commit."""

    revision: int
    rows: Table[Stored]

    @staticmethod
    def empty() -> TableState:
        """Return a table without rows."""
        return TableState(
            revision=0, rows=Table.empty(indexes={"folder": _row_folders})
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitResult:
    """The state after a transaction.

    If it failed, `conflicting_rows` are the rows that did not meet a condition.
    """

    state: TableState
    revision: int
    conflicting_rows: tuple[Stored, ...] = ()

    @property
    def committed(self) -> bool:
        """Whether the transaction was committed."""
        return not self.conflicting_rows


@dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Rows by version; the rows of one commit are never split over two pages."""

    revision: int
    rows: tuple[Stored, ...]
    more: bool


def _current_row(state: TableState, key: str) -> Stored:
    row = state.rows.get(key)
    if row is None or row.value is None:
        return Stored(key=key, version=0, value=None)
    return row


def commit(state: TableState, transaction: Transaction) -> CommitResult:
    """Apply a transaction if all of its conditions hold."""
    checked = [
        (condition, _current_row(state, condition.key))
        for condition in transaction.conditions
    ]
    conflicting_rows = tuple(
        row for condition, row in checked if row.version != condition.version
    )
    if conflicting_rows:
        return CommitResult(
            state=state, revision=state.revision, conflicting_rows=conflicting_rows
        )
    revision = state.revision + 1
    rows = state.rows
    for put in transaction.puts:
        row = Stored(key=put.key, version=revision, value=put.value)
        rows = rows.put(put.key, row)
    next_state = TableState(revision=revision, rows=rows)
    return CommitResult(state=next_state, revision=revision)


def _candidates(state: TableState, prefix: str) -> list[Stored]:
    """Return a superset of the rows with the prefix, from the index if possible."""
    folders = folders_of(prefix)
    if not folders:
        return state.rows.rows()
    return state.rows.rows_where("folder", folders[-1])


def read(
    state: TableState, *, prefix: str, since: int = 0, limit: int = DEFAULT_PAGE_LIMIT
) -> Page:
    """Read the rows under `prefix` with a version above `since`.

    Tombstones are read only with `since` above 0. A page holds `limit` rows, and more
    only to include all rows of its last commit.
    """
    rows = [
        row
        for row in _candidates(state, prefix)
        if row.key.startswith(prefix)
        and row.version > since
        and (since > 0 or row.value is not None)
    ]
    rows.sort(key=lambda row: row.version)
    end = min(limit, len(rows))
    while 0 < end < len(rows) and rows[end].version == rows[end - 1].version:
        end += 1
    more = end < len(rows)
    return Page(revision=state.revision, rows=tuple(rows[:end]), more=more)
