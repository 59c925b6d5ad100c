"""The table service over HTTP: ``python -m standins.table_service --port 7000``.

For the rate limits a transaction is one write and a page is one read, regardless of
the number of rows.
"""

from __future__ import annotations

import gc
import http
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
from absl import app, flags

from standins import table_core
from standins.faults import Faults, Mode, RateLimiter, Switch
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
DEFAULT_WRITES_PER_S = 300.0
DEFAULT_READS_PER_S = 2_000.0
MAX_TRANSACTION_BYTES = 4 * 1024 * 1024
# The persistent maps hold many objects but no reference cycles, so that full
# collections take time and free nothing.
GC_THRESHOLDS = (100_000, 50, 1_000)


@dataclass(frozen=True, kw_only=True, slots=True)
class PutForm:
    """A write in the body of a request; a null value deletes the row."""

    key: str
    value: msgspec.Raw


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionForm:
    """The body of a transaction request."""

    conditions: tuple[VersionCondition, ...]
    writes: tuple[PutForm, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RowForm:
    """A row in the body of a response."""

    key: str
    version: int
    value: msgspec.Raw


_decode_transaction = msgspec.json.Decoder(TransactionForm).decode
_decode_switch = msgspec.json.Decoder(Switch).decode


def _value(raw: msgspec.Raw) -> bytes | None:
    data = bytes(raw)
    return None if data == b"null" else data


def _row_form(row: Stored) -> RowForm:
    value = b"null" if row.value is None else row.value
    return RowForm(key=row.key, version=row.version, value=msgspec.Raw(value))


def _transaction(body: bytes) -> Transaction:
    form = _decode_transaction(body)
    puts = tuple(Put(key=put.key, value=_value(put.value)) for put in form.writes)
    return Transaction(conditions=form.conditions, puts=puts)


class TableService:
    """Keeps the state, protected by one lock, and answers requests."""

    def __init__(
        self,
        *,
        writes_per_s: float = DEFAULT_WRITES_PER_S,
        reads_per_s: float = DEFAULT_READS_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._lock = threading.Lock()
        self._clock = clock
        self._state = TableState.empty()
        self._faults = Faults()
        self._limiter_by_method = {
            "POST": RateLimiter(per_s=writes_per_s),
            "GET": RateLimiter(per_s=reads_per_s),
        }
        self._handler_by_path = {
            ("POST", "/v1/transactions"): self._transact,
            ("GET", "/v1/rows"): self._read,
        }

    def handle(self, request: Request) -> Response:
        """Answer one request, after the delays of the rate limit and the fault mode."""
        if request.path == "/switch":
            return self._switch(request)
        handler = self._handler_by_path.get((request.method, request.path))
        if handler is None:
            return refusal(http.HTTPStatus.NOT_FOUND, request.path)
        mode = self._faults.mode_at(self._clock())
        if mode is Mode.DOWN or not self._admit(request.method):
            return refusal(http.HTTPStatus.SERVICE_UNAVAILABLE, mode.value)
        response = handler(request)
        lost = self._faults.mode_at(self._clock()) is Mode.LOSE_ANSWERS
        return replace(response, lost=lost)

    def _admit(self, method: str) -> bool:
        with self._lock:
            now = self._clock()
            limiter = self._limiter_by_method[method]
            if not limiter.accepts(now):
                return False
            self._limiter_by_method[method] = limiter.reserved(now)
            starts_at = limiter.starts_at(now) + self._faults.delay_at(now)
        wait_until(starts_at, now)
        return True

    def _switch(self, request: Request) -> Response:
        switch = _decode_switch(request.body)
        with self._lock:
            self._faults = self._faults.switched(switch, self._clock())
        return as_json(http.HTTPStatus.OK, {"mode": switch.mode.value})

    def _transact(self, request: Request) -> Response:
        if len(request.body) > MAX_TRANSACTION_BYTES:
            return refusal(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "transaction")
        transaction = _transaction(request.body)
        with self._lock:
            result = table_core.commit(self._state, transaction)
            self._state = result.state
        return _commit_response(result)

    def _read(self, request: Request) -> Response:
        page = table_core.read(
            self._state,
            prefix=request.query.get("prefix", ""),
            since=int(request.query.get("since", "0")),
            limit=int(request.query.get("limit", str(table_core.DEFAULT_PAGE_LIMIT))),
        )
        rows = [_row_form(row) for row in page.rows]
        body = {"revision": page.revision, "rows": rows, "more": page.more}
        return as_json(http.HTTPStatus.OK, body)


def _commit_response(result: CommitResult) -> Response:
    if result.committed:
        body = {"committed": True, "revision": result.revision}
        return as_json(http.HTTPStatus.OK, body)
    rows = [_row_form(row) for row in result.conflicting_rows]
    return as_json(http.HTTPStatus.CONFLICT, {"committed": False, "rows": rows})


def main(argv: list[str]) -> None:
    """Serve on the port given by the flags."""
    del argv
    gc.set_threshold(*GC_THRESHOLDS)
    service = TableService(
        writes_per_s=FLAGS.writes_per_s, reads_per_s=FLAGS.reads_per_s
    )
    serve(make_server(handle=service.handle, port=FLAGS.port))


if __name__ == "__main__":
    flags.DEFINE_integer("port", 7000, "Port on 127.0.0.1.")
    flags.DEFINE_float(
        "writes_per_s", DEFAULT_WRITES_PER_S, "Maximum transactions per second."
    )
    flags.DEFINE_float(
        "reads_per_s", DEFAULT_READS_PER_S, "Maximum pages read per second."
    )
    app.run(main)
