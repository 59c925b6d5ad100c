"""The client of the platform's row store; each call blocks up to its timeout."""

from __future__ import annotations

import base64
import binascii
import http
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import msgspec

from bulrushpulley.entities.jobs.rows import ORDERS, STATUS, RowKey, key_of
from bulrushpulley.entities.jobs.store import (
    Conflicted,
    HistoryLost,
    RangeRead,
    ReadFailed,
    ReadRange,
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
    flag,
    integer,
    objects,
    text,
)
from bulrushpulley.platform.http_client import HttpAnswer, HttpClient
from bulrushpulley.platform.order_rows import decode_order
from bulrushpulley.platform.status_rows import encode_stored_row
from bulrushpulley.wire.job_rows import decode_row

STEP = "store.decode"
JSON_HEADERS = {"Content-Type": "application/json"}
READ_ERRORS = (RefusedError, AnswerLostError, BulrushpulleyError)


class RowStoreClient:
    """Sends transactions, reads ranges and watches tables.

    A row that cannot be decoded, such as one of another writer, is passed to `report`
    and returned without content; it does not affect the other rows.
    """

    def __init__(
        self, *, url: str, connections: int, report: Callable[[Problem], None]
    ) -> None:
        self._http = HttpClient(url=url, connections=connections, service="store")
        self._report = report

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
            rows = tuple(self._stored_row(item) for item in objects(raw, "rows", STEP))
            return Conflicted(purpose=call.purpose, rows=rows)
        reason = f"status {answer.status}: {answer.body[:200]!r}"
        self._report(self._http.invalid_answer("store.transact", reason))
        return TransactRefused(purpose=call.purpose, reason=reason)

    def read_range(self, call: ReadRange) -> StoreEvent:
        """Read a range, page by page."""
        rows: list[StoredRow] = []
        version, first = 0, call.first
        try:
            while True:
                raw = self._get(
                    "/v1/rows-get",
                    {
                        "Table": call.table,
                        "part": call.part,
                        "From": first,
                        "To": call.end,
                    },
                    call.timeout_s,
                )
                page = [self._stored_row(item) for item in objects(raw, "rows", STEP)]
                rows.extend(page)
                version = version or integer(raw, "Ver", STEP)
                if not page or not flag(raw, "HasMore", STEP):
                    break
                # The smallest key greater than the last one read.
                first = page[-1].key.key + "\0"
        except READ_ERRORS as error:
            return ReadFailed(purpose=call.purpose, reason=str(error))
        return RangeRead(purpose=call.purpose, rows=tuple(rows), version=version)

    def watch(self, call: Watch) -> StoreEvent:
        """Wait for changes of a table, for at most `call.wait_s`."""
        query = {
            "Table": call.table,
            "After": call.after,
            "WaitMs": int(call.wait_s * 1_000),
        }
        try:
            answer = self._http.exchange(
                "GET", f"/v1/rows-feed?{urlencode(query)}", timeout_s=call.timeout_s
            )
            if answer.status == http.HTTPStatus.GONE:
                return HistoryLost(purpose=call.purpose)
            raw = self._decode_body(answer)
            rows = tuple(self._stored_row(item) for item in objects(raw, "rows", STEP))
            version = integer(raw, "Ver", STEP)
        except READ_ERRORS as error:
            return ReadFailed(purpose=call.purpose, reason=str(error))
        return RowsChanged(purpose=call.purpose, rows=rows, version=version)

    def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> Fields:
        parameters = {
            name: value for name, value in query.items() if value or name == "part"
        }
        answer = self._http.exchange(
            "GET", f"{path}?{urlencode(parameters)}", timeout_s=timeout_s
        )
        return self._decode_body(answer)

    def _decode_body(self, answer: HttpAnswer) -> Fields:
        if answer.status != http.HTTPStatus.OK:
            detail = f"status {answer.status}: {answer.body[:200]!r}"
            problem = self._http.invalid_answer("store.read", detail)
            raise BulrushpulleyError(problem=problem)
        return decode_object(answer.body, STEP)

    def _stored_row(self, raw: Fields) -> StoredRow:
        key = RowKey(
            table=text(raw, "Table", STEP),
            part=text(raw, "part", STEP),
            key=text(raw, "Key", STEP),
        )
        version = integer(raw, "Ver", STEP)
        if flag(raw, "Deleted", STEP) or not version:
            return StoredRow(key=key, version=version, row=None)
        return StoredRow(key=key, version=version, row=self._decode_content(key, raw))

    def _decode_content(self, key: RowKey, raw: Fields) -> object | None:
        if key.table == STATUS:
            # These rows are written for operators only, in the platform's encoding.
            return None
        try:
            data = base64.b64decode(text(raw, "Value", STEP), validate=True)
            if key.table == ORDERS:
                return decode_order(key.key, data)
            return decode_row(data, peer=f"{key.table}/{key.key}")
        except BulrushpulleyError as error:
            self._report(error.problem)
        except binascii.Error as error:
            detail = f"{key.table}/{key.key}: {error}"
            self._report(self._http.invalid_answer("store.row", detail))
        return None


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
