"""The platform's row store on loopback, built on `table_core`.

The table, part and key of a row are joined to one key of `table_core`, in that order,
so that a prefix selects a table or a part. ``POST /switch`` sets a fault mode,
``POST /compact`` deletes the history of changes, and ``POST /operate`` applies a
transaction of an operator.
"""

from __future__ import annotations

import gc
import http
import itertools
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
from absl import app, flags
from pyrsistent import PVector, pvector

from standins import table_core
from standins.faults import Faults, Mode, Switch
from standins.table_core import (
    CommitResult,
    Put,
    Stored,
    TableState,
    Transaction,
    VersionCondition,
)
from standins.web import (
    Request,
    Response,
    as_json,
    make_server,
    refusal,
    serve,
    wait_until,
)

FLAGS = flags.FLAGS
# Does not occur in the name of a table, in a part or in a key.
KEY_SEPARATOR = "\x1f"
REQUEST_DELAY_S = 0.004
MAX_FEED_WAIT_S = 30.0
MAX_ROWS_PER_READ = 500
MAX_TRANSACTION_ENTRIES = 100
MAX_HISTORY_ROWS = 20_000
# Only operators write to these tables; writes of the scheduler are refused.
OPERATOR_TABLES = frozenset({"op", "servers"})
# The persistent maps hold many objects but no reference cycles, so that full
# collections take time and free nothing.
GC_THRESHOLDS = (100_000, 50, 1_000)

_decode_switch = msgspec.json.Decoder(Switch).decode


@dataclass(frozen=True, kw_only=True, slots=True)
class RowStore:
    """The rows, their latest versions, and up to which version these are deleted."""

    state: TableState
    history: PVector[Stored] = field(default_factory=pvector)
    compacted_version: int = 0

    def with_commit(self, result: CommitResult, keys: Iterable[str]) -> RowStore:
        """Return the store after a commit that wrote rows with these keys."""
        if not result.committed:
            return self
        state = result.state
        history = self.history.extend(state.rows.by_key[key] for key in keys)
        dropped = max(0, len(history) - MAX_HISTORY_ROWS)
        if not dropped:
            return replace(self, state=state, history=history)
        compacted_version = history[dropped - 1].version
        return replace(
            self,
            state=state,
            history=history[dropped:],
            compacted_version=compacted_version,
        )


def core_key(raw: dict[str, Any]) -> str:
    """Return the key in `table_core` for the address of a row."""
    return KEY_SEPARATOR.join((raw["Table"], raw.get("part", ""), raw["Key"]))


def _row_body(stored: Stored) -> dict[str, Any]:
    table, part, key = stored.key.split(KEY_SEPARATOR)
    row: dict[str, Any] = {"Table": table, "part": part, "Key": key}
    if stored.value is None:
        # A tombstone, or an absent row that failed a condition.
        return {**row, "Ver": stored.version, "Deleted": bool(stored.version)}
    return {**row, "Ver": stored.version, "Value": stored.value.decode()}


def transaction_of(raw: dict[str, Any]) -> Transaction:
    """Decode the body of a transaction; raise `ValueError` if it is invalid."""
    conditions = tuple(
        VersionCondition(key=core_key(item), version=item["Ver"])
        for item in raw.get("ExpectedRev") or ()
    )
    puts = tuple(
        Put(key=core_key(item), value=item["Value"].encode())
        for item in raw.get("Upserts") or ()
    )
    deletes = tuple(
        Put(key=core_key(item), value=None) for item in raw.get("Deletes") or ()
    )
    if len(conditions) + len(puts) + len(deletes) > MAX_TRANSACTION_ENTRIES:
        raise ValueError("too many entries")
    keys = (entry.key for entries in (conditions, puts, deletes) for entry in entries)
    parts = {key.split(KEY_SEPARATOR)[1] for key in keys}
    if len(parts) > 1:
        raise ValueError("entries of several parts")
    return Transaction(conditions=conditions, puts=(*puts, *deletes))


class RowStoreServer:
    """Keeps the store, protected by one lock, and answers requests."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._changed = threading.Condition()
        self._clock = clock
        self._store = RowStore(state=TableState.empty())
        self._faults = Faults()
        self._handler_by_path = {
            ("POST", "/v1/rows-tx"): self._transact,
            ("GET", "/v1/rows-get"): self._read,
            ("GET", "/v1/rows-feed"): self._feed,
        }

    def handle(self, request: Request) -> Response:
        """Answer one request, after the request delay and that of the fault mode."""
        if request.path == "/switch":
            switch = _decode_switch(request.body)
            self._faults = self._faults.switched(switch, self._clock())
            return as_json(http.HTTPStatus.OK, {})
        if request.path == "/compact":
            return self._compact()
        if request.path == "/operate":
            return self._operate(request)
        handler = self._handler_by_path.get((request.method, request.path))
        if handler is None:
            return refusal(http.HTTPStatus.NOT_FOUND, request.path)
        now = self._clock()
        mode = self._faults.mode_at(now)
        if mode is Mode.DOWN:
            return refusal(http.HTTPStatus.SERVICE_UNAVAILABLE, mode.value)
        wait_until(now + REQUEST_DELAY_S + self._faults.delay_at(now), now)
        response = handler(request)
        lost = self._faults.mode_at(self._clock()) is Mode.LOSE_ANSWERS
        return replace(response, lost=lost and request.method == "POST")

    def _compact(self) -> Response:
        with self._changed:
            version = self._store.state.revision
            self._store = replace(self._store, compacted_version=version)
            self._changed.notify_all()
        return as_json(http.HTTPStatus.OK, {})

    def _operate(self, request: Request) -> Response:
        """Apply a transaction of an operator, which may write to any table."""
        return self._commit(transaction_of(msgspec.json.decode(request.body)))

    def _transact(self, request: Request) -> Response:
        transaction = transaction_of(msgspec.json.decode(request.body))
        tables = {put.key.split(KEY_SEPARATOR)[0] for put in transaction.puts}
        if tables & OPERATOR_TABLES:
            return refusal(http.HTTPStatus.FORBIDDEN, "operators' tables")
        return self._commit(transaction)

    def _commit(self, transaction: Transaction) -> Response:
        with self._changed:
            result = table_core.commit(self._store.state, transaction)
            keys = (put.key for put in transaction.puts)
            self._store = self._store.with_commit(result, keys)
            self._changed.notify_all()
        return self._commit_response(result)

    def _commit_response(self, result: CommitResult) -> Response:
        if result.committed:
            return self._answer(http.HTTPStatus.OK, {"Ver": result.revision})
        rows = [_row_body(stored) for stored in result.conflicting_rows]
        return self._answer(http.HTTPStatus.PRECONDITION_FAILED, {"rows": rows})

    def _answer(self, status: http.HTTPStatus, body: dict[str, Any]) -> Response:
        return as_json(status, {"NowMs": int(self._clock() * 1_000), **body})

    def _read(self, request: Request) -> Response:
        query = request.query
        prefix = KEY_SEPARATOR.join((query["Table"], query.get("part", ""), ""))
        state = self._store.state
        page = table_core.read(state, prefix=prefix, limit=len(state.rows) + 1)
        first, end = query.get("From", ""), query.get("To", "")
        rows = sorted(
            (_row_body(stored) for stored in page.rows), key=lambda item: item["Key"]
        )
        selected = [
            row for row in rows if row["Key"] >= first and (not end or row["Key"] < end)
        ]
        body = {
            "rows": selected[:MAX_ROWS_PER_READ],
            "HasMore": len(selected) > MAX_ROWS_PER_READ,
            "Ver": state.revision,
        }
        return self._answer(http.HTTPStatus.OK, body)

    def _feed(self, request: Request) -> Response:
        after = int(request.query.get("After", "0"))
        wait_s = min(MAX_FEED_WAIT_S, int(request.query.get("WaitMs", "0")) / 1_000)
        prefix = request.query["Table"] + KEY_SEPARATOR
        until = self._clock() + wait_s
        with self._changed:
            while True:
                if after < self._store.compacted_version:
                    return refusal(http.HTTPStatus.GONE, "history is gone")
                changes = self._changes(prefix, after)
                remaining_s = until - self._clock()
                if changes or remaining_s <= 0.0:
                    break
                self._changed.wait(remaining_s)
            version = self._store.state.revision
        body = {"rows": [_row_body(stored) for stored in changes], "Ver": version}
        return self._answer(http.HTTPStatus.OK, body)

    def _changes(self, prefix: str, after: int) -> tuple[Stored, ...]:
        """Return each version of the rows with this prefix since `after`, in order."""
        newest_first = itertools.takewhile(
            lambda stored: stored.version > after, reversed(self._store.history)
        )
        changes = [row for row in newest_first if row.key.startswith(prefix)]
        return tuple(reversed(changes))


def main(argv: list[str]) -> None:
    """Serve on the port given by the flags."""
    del argv
    gc.set_threshold(*GC_THRESHOLDS)
    serve(make_server(handle=RowStoreServer().handle, port=FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 7300, "Port on 127.0.0.1.")
    app.run(main)
