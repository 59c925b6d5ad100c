"""An in-memory row store of the platform for the simulated site of jobs."""

from __future__ import annotations

import base64
from dataclasses import dataclass, field

from bulrushpulley.entities.jobs.rows import HOSTS, STATUS, Row, RowKey, key_of
from bulrushpulley.entities.jobs.store import (
    Conflicted,
    HistoryLost,
    RangeRead,
    ReadRange,
    RowsChanged,
    StoredRow,
    StoreEvent,
    Transact,
    Transacted,
    TransactRefused,
    Watch,
)
from bulrushpulley.errors import Problem
from bulrushpulley.platform.status_rows import encode_stored_row
from bulrushpulley.platform.stored_rows import StoredRowDecoder
from bulrushpulley.wire.job_rows import encode_row

MAX_ENTRIES = 100
MAX_ROW_BYTES = 65_536
MAX_TRANSACTION_BYTES = 1_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class JobsStore:
    """Rows, versioned by one counter, and the history of their changes."""

    row_by_key: dict[RowKey, StoredRow] = field(default_factory=dict)
    history: list[StoredRow] = field(default_factory=list)
    compacted_versions: list[int] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)
    refusals: list[str] = field(default_factory=list)
    rejected_keys: set[RowKey] = field(default_factory=set)

    @property
    def version(self) -> int:
        """The newest version."""
        return self.history[-1].version if self.history else 0

    def put(self, *rows: Row, key: RowKey | None = None, order: object = None) -> None:
        """Write rows as another client, or an operator's `order` at `key`."""
        version = self.version + 1
        for row in rows:
            self._put_encoded(row, version)
        if key is not None:
            self._set(StoredRow(key=key, version=version, row=order))

    def _set(self, stored: StoredRow) -> None:
        if stored.row is None and not stored.unreadable:
            self.row_by_key.pop(stored.key, None)
        else:
            self.row_by_key[stored.key] = stored
        self.history.append(stored)

    def _put_encoded(self, row: Row, version: int) -> None:
        """Write a row as its readers get it.

        Rows for operators are not read, and addresses are names here.
        """
        key = key_of(row)
        if key.table in (STATUS, HOSTS):
            self._set(StoredRow(key=key, version=version, row=row))
        else:
            self._set_value(key, encode_row(row), version)

    def put_value(self, key: RowKey, value: bytes) -> None:
        """Write bytes as another client that need not know the encoding of rows."""
        self._set_value(key, value, self.version + 1)

    def _set_value(self, key: RowKey, value: bytes, version: int) -> None:
        entry = {
            "Table": key.table,
            "part": key.part,
            "Key": key.key,
            "Value": base64.b64encode(value).decode("ascii"),
            "Ver": version,
        }
        decoder = StoredRowDecoder(report=self.problems.append)
        for stored in decoder.decode({"rows": [entry]}):
            self._set(stored)

    def compact(self) -> None:
        """Drop the history."""
        self.compacted_versions.append(self.version)

    def transact(self, call: Transact) -> StoreEvent:
        """Apply a transaction, or return the rows of its conditions on a conflict.

        One that exceeds a limit of the store, or has a row with one of `rejected_keys`,
        is refused.
        """
        keys = {key_of(row) for row in call.puts}
        is_rejected = not keys.isdisjoint(self.rejected_keys)
        excess = "a row" if is_rejected else _excess(call)
        if excess:
            self.refusals.append(excess)
            return TransactRefused(
                purpose=call.purpose, reason=f"status 400: {excess}", rejected=True
            )
        if self.has_conflict(call):
            rows = tuple(self._row(condition.key) for condition in call.conditions)
            return Conflicted(purpose=call.purpose, rows=rows)
        version = self.version + 1
        for row in call.puts:
            self._put_encoded(row, version)
        for key in call.deletes:
            self._set(StoredRow(key=key, version=version, row=None))
        return Transacted(purpose=call.purpose, version=version)

    def has_conflict(self, call: Transact) -> bool:
        """Return whether a condition of a transaction does not hold."""
        return any(
            self._row(condition.key).version != condition.version
            for condition in call.conditions
        )

    def _row(self, key: RowKey) -> StoredRow:
        return self.row_by_key.get(key, StoredRow(key=key, version=0, row=None))

    def read_range(self, call: ReadRange) -> StoreEvent:
        """Return the rows of a range in the order of their keys."""
        found = sorted(
            (
                stored
                for key, stored in self.row_by_key.items()
                if (key.table, key.part) == (call.table, call.part)
                and call.first <= key.key
                and (not call.end or key.key < call.end)
            ),
            key=lambda stored: stored.key.key,
        )
        return RangeRead(purpose=call.purpose, rows=tuple(found), version=self.version)

    def changes(self, call: Watch) -> StoreEvent:
        """Return the changes of a table after a version."""
        if call.after < max(self.compacted_versions, default=0):
            return HistoryLost(purpose=call.purpose)
        rows = tuple(
            stored
            for stored in self.history
            if stored.version > call.after and stored.key.table == call.table
        )
        return RowsChanged(purpose=call.purpose, rows=rows, version=self.version)


def _excess(call: Transact) -> str:
    """Describe which limit of the store a transaction exceeds; empty if none."""
    entries = len(call.conditions) + len(call.puts) + len(call.deletes)
    if entries > MAX_ENTRIES:
        return f"{entries} entries"
    total_bytes = 0
    for row in call.puts:
        value = encode_stored_row(row)
        if len(value) > MAX_ROW_BYTES:
            return f"{key_of(row).key} has {len(value)} bytes"
        total_bytes += len(base64.b64encode(value))
    return f"{total_bytes} bytes" if total_bytes > MAX_TRANSACTION_BYTES else ""
