"""The client of the platform's row store; each call blocks up to its timeout."""

from __future__ import annotations

import base64
import http
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import msgspec

from bulrushpulley.entities.jobs.rows import RowKey, key_of
from bulrushpulley.entities.jobs.store import (
    Conflicted,
    HistoryLost,
    RangeRead,
    ReadFailed,
    ReadRange,
    Receipt,
    RowsChanged,
    StoredRow,
    StoreEvent,
    Transact,
    Transacted,
    TransactOutcomeUnknown,
    TransactRefused,
    Watch,
)
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.platform.errors import AnswerLostError, BusyError, RefusedError
from bulrushpulley.platform.fields import (
    Fields,
    decode_object,
    field_error,
    flag,
    integer,
    items,
)
from bulrushpulley.platform.http_client import HttpAnswer, HttpClient
from bulrushpulley.platform.status_rows import encode_stored_row
from bulrushpulley.platform.stored_rows import StoredRowDecoder

STEP = "store.decode"
JSON_HEADERS = {"Content-Type": "application/json"}
# The store answers so to a transaction that exceeds one of its limits.
REJECTING_STATUSES = frozenset(
    {http.HTTPStatus.BAD_REQUEST, http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE}
)
READ_ERRORS = (RefusedError, AnswerLostError, BulrushpulleyError)


class RowStoreClient:
    """Sends transactions, reads ranges and watches tables.

    A row that cannot be decoded, such as one of another writer, is passed to `report`
    and does not affect the other rows; see `StoredRowDecoder`. Receipts of answers have
    the times of `clock`.
    """

    def __init__(
        self,
        *,
        url: str,
        connections: int,
        report: Callable[[Problem], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._http = HttpClient(url=url, connections=connections, service="store")
        self._clock = clock
        self._report = report
        self._rows = StoredRowDecoder(report=report)

    def transact(self, call: Transact) -> StoreEvent:
        """Send a transaction once and return its outcome."""
        body = msgspec.json.encode(_encode_transaction(call))
        try:
            answer = self._http.exchange(
                "POST",
                "/v1/rows-tx",
                timeout_s=call.timeout_s,
                body=body,
                headers=JSON_HEADERS,
            )
            return self._transact_outcome(call, answer)
        except RefusedError as error:
            reason = str(error.problem)
            busy = isinstance(error, BusyError)
            return TransactRefused(purpose=call.purpose, reason=reason, busy=busy)
        except BulrushpulleyError as error:
            return TransactOutcomeUnknown(
                purpose=call.purpose, reason=str(error.problem)
            )

    def _transact_outcome(self, call: Transact, answer: HttpAnswer) -> StoreEvent:
        if answer.status == http.HTTPStatus.OK:
            raw = decode_object(answer.body, STEP)
            return Transacted(purpose=call.purpose, version=integer(raw, "Ver", STEP))
        if answer.status == http.HTTPStatus.PRECONDITION_FAILED:
            raw = decode_object(answer.body, STEP)
            return Conflicted(purpose=call.purpose, rows=self._rows.decode(raw))
        reason = f"status {answer.status}: {answer.body[:200]!r}"
        self._report(self._http.invalid_answer("store.transact", reason))
        rejected = answer.status in REJECTING_STATUSES
        return TransactRefused(purpose=call.purpose, reason=reason, rejected=rejected)

    def read_range(self, call: ReadRange) -> StoreEvent:
        """Read a range, page by page."""
        rows: list[StoredRow] = []
        answers: list[HttpAnswer] = []
        version, first = 0, call.first
        started_at = self._clock()
        try:
            while True:
                answer = self._get(
                    "/v1/rows-get",
                    {
                        "Table": call.table,
                        "part": call.part,
                        "From": first,
                        "To": call.end,
                    },
                    call.timeout_s,
                )
                answers.append(answer)
                raw = self._decode_body(answer)
                rows.extend(self._rows.decode(raw))
                version = version or integer(raw, "Ver", STEP)
                if not flag(raw, "HasMore", STEP):
                    break
                first = _next_first(raw)
        except READ_ERRORS as error:
            return ReadFailed(purpose=call.purpose, reason=str(error))
        return RangeRead(
            purpose=call.purpose,
            rows=tuple(rows),
            version=version,
            receipt=self._receipt(started_at, answers),
        )

    def watch(self, call: Watch) -> StoreEvent:
        """Wait for changes of a table, for at most `call.wait_s`."""
        query = {
            "Table": call.table,
            "After": call.after,
            "WaitMs": int(call.wait_s * 1_000),
        }
        started_at = self._clock()
        try:
            answer = self._http.exchange(
                "GET", f"/v1/rows-feed?{urlencode(query)}", timeout_s=call.timeout_s
            )
            if answer.status == http.HTTPStatus.GONE:
                return HistoryLost(purpose=call.purpose)
            raw = self._decode_body(answer)
            rows = self._rows.decode(raw)
            version = integer(raw, "Ver", STEP)
        except READ_ERRORS as error:
            return ReadFailed(purpose=call.purpose, reason=str(error))
        return RowsChanged(
            purpose=call.purpose,
            rows=rows,
            version=version,
            receipt=self._receipt(started_at, [answer]),
        )

    def _receipt(self, started_at: float, answers: list[HttpAnswer]) -> Receipt:
        return Receipt(
            started_at=started_at,
            decoded_at=self._clock(),
            waited_s=sum(answer.waited_s for answer in answers),
            transferred_s=sum(answer.transferred_s for answer in answers),
            size_bytes=sum(len(answer.body) for answer in answers),
        )

    def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> HttpAnswer:
        parameters = {
            name: value for name, value in query.items() if value or name == "part"
        }
        return self._http.exchange(
            "GET", f"{path}?{urlencode(parameters)}", timeout_s=timeout_s
        )

    def _decode_body(self, answer: HttpAnswer) -> Fields:
        if answer.status != http.HTTPStatus.OK:
            detail = f"status {answer.status}: {answer.body[:200]!r}"
            problem = self._http.invalid_answer("store.read", detail)
            raise BulrushpulleyError(problem=problem)
        return decode_object(answer.body, STEP)


def _next_first(raw: Fields) -> str:
    """Return the smallest key that is greater than all keys of a page."""
    entries = items(raw, "rows", STEP)
    keys = [entry.get("Key") for entry in entries if isinstance(entry, dict)]
    last = max((key for key in keys if isinstance(key, str)), default="")
    if not last:
        raise field_error(STEP, "rows", "no key to continue from")
    return last + "\0"


def _encode_key(key: RowKey) -> dict[str, Any]:
    return {"Table": key.table, "part": key.part, "Key": key.key}


def _encode_transaction(call: Transact) -> dict[str, Any]:
    return {
        # Despite its name, it lists versions; 0 means that the row must be absent.
        "ExpectedRev": [
            {**_encode_key(condition.key), "Ver": condition.version}
            for condition in call.conditions
        ],
        "Upserts": [
            {
                **_encode_key(key_of(row)),
                "Value": base64.b64encode(encode_stored_row(row)).decode("ascii"),
            }
            for row in call.puts
        ],
        "Deletes": [_encode_key(key) for key in call.deletes],
    }
