"""Decodes the rows in answers of the store."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any

from bulrushpulley.entities.jobs.rows import ORDERS, STATUS, Row, RowKey, key_of
from bulrushpulley.entities.jobs.store import StoredRow
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.platform.fields import (
    Fields,
    check_object,
    field_error,
    flag,
    integer,
    items,
    sound_values,
    text,
)
from bulrushpulley.platform.order_rows import decode_order
from bulrushpulley.wire.job_rows import decode_row

STEP = "store.decode"
MAX_REPORTED_ROWS = 1_000


class StoredRowDecoder:
    """Decodes rows; one that cannot be decoded does not affect the others.

    A row with a malformed key or version is left out. One with a malformed value is
    returned without content. Each version of a malformed row is passed to `report`
    once, as tables are read again and again.
    """

    def __init__(self, *, report: Callable[[Problem], None]) -> None:
        self._report = report
        self._reported_version_by_key: dict[RowKey, int] = {}

    def decode(self, raw: Fields) -> tuple[StoredRow, ...]:
        """Decode the rows of an answer."""
        return sound_values(items(raw, "rows", STEP), self._stored_row, self._report)

    def _stored_row(self, entry: Any) -> StoredRow:
        raw = check_object(entry, STEP, "rows")
        key = RowKey(
            table=text(raw, "Table", STEP),
            part=text(raw, "part", STEP),
            key=text(raw, "Key", STEP),
        )
        version = integer(raw, "Ver", STEP)
        # Rows for operators are written only, in the platform's encoding.
        is_absent = flag(raw, "Deleted", STEP) or not version
        if is_absent or key.table == STATUS:
            return StoredRow(key=key, version=version, row=None)
        try:
            row = decode_value(key, text(raw, "Value", STEP))
        except BulrushpulleyError as error:
            self._report_once(key, version, error.problem)
            return StoredRow(key=key, version=version, row=None, unreadable=True)
        return StoredRow(key=key, version=version, row=row)

    def _report_once(self, key: RowKey, version: int, problem: Problem) -> None:
        if self._reported_version_by_key.get(key) == version:
            return
        if len(self._reported_version_by_key) >= MAX_REPORTED_ROWS:
            self._reported_version_by_key.clear()
        self._reported_version_by_key[key] = version
        self._report(problem)


def decode_value(key: RowKey, value: str) -> object | None:
    """Decode the value of a row; raises `BulrushpulleyError` if it is malformed."""
    peer = f"{key.table}/{key.key}"
    try:
        data = base64.b64decode(value, validate=True)
    except ValueError as error:
        raise field_error(STEP, peer, f"{error}") from error
    if key.table == ORDERS:
        return decode_order(key.key, data)
    row = decode_row(data, peer=peer)
    if key_of(row) != key:
        raise field_error(STEP, peer, f"holds the row of {_describe(row)}")
    return row


def _describe(row: Row) -> str:
    key = key_of(row)
    return f"{key.table}/{key.part}/{key.key}"
