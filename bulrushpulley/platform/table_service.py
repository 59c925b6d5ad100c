"""The client of the platform's table service."""

from __future__ import annotations

import http
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.transactions import (
    Fence,
    Transact,
    TransactionCommitted,
    TransactionConflicted,
)
from bulrushpulley.errors import BulrushpulleyError
from bulrushpulley.platform.errors import AnswerLostError, RejectedError
from bulrushpulley.platform.http_client import HttpClient
from bulrushpulley.wire.decoding import DECODING_ERRORS
from bulrushpulley.wire.rows import decode_row, encode_row

PAGE_ROWS = 1_000
TRANSACTIONS_PATH = "/v1/transactions"
TRANSACTION_STATUSES = (http.HTTPStatus.OK, http.HTTPStatus.CONFLICT)


@dataclass(frozen=True, kw_only=True, slots=True)
class _ConditionForm:
    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _WriteForm:
    key: str
    value: msgspec.Raw


@dataclass(frozen=True, kw_only=True, slots=True)
class _TransactionForm:
    conditions: tuple[_ConditionForm, ...]
    writes: tuple[_WriteForm, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _CommittedForm:
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _RowForm:
    key: str
    version: int
    value: msgspec.Raw


@dataclass(frozen=True, kw_only=True, slots=True)
class _ConflictForm:
    rows: tuple[_RowForm, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _FenceRow:
    """An empty row: only the version and the token of a fence matter."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _FenceForm:
    token: str
    kind: str = "fence"
    row: _FenceRow = _FenceRow()


@dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """One page of the rows of a prefix, ordered by version."""

    revision: int
    rows: tuple[VersionedRow, ...]
    more: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class _PageForm:
    revision: int
    rows: tuple[_RowForm, ...]
    more: bool


_ABSENT_VALUE = b"null"
_decode_committed = msgspec.json.Decoder(_CommittedForm).decode
_decode_conflict = msgspec.json.Decoder(_ConflictForm).decode
_decode_page = msgspec.json.Decoder(_PageForm).decode
_decode_fence = msgspec.json.Decoder(_FenceForm).decode


def _encode_transaction(transact: Transact) -> bytes:
    fence = transact.fence
    fence_value = msgspec.json.encode(_FenceForm(token=transact.transaction_id))
    write_forms = [_WriteForm(key=fence.key, value=msgspec.Raw(fence_value))]
    for write in transact.writes:
        value = (
            _ABSENT_VALUE if write.row is None else encode_row(write.row, write.token)
        )
        write_forms.append(_WriteForm(key=write.key, value=msgspec.Raw(value)))
    conditions = [_ConditionForm(key=fence.key, version=fence.version)]
    conditions += [
        _ConditionForm(key=condition.key, version=condition.version)
        for condition in transact.conditions
    ]
    form = _TransactionForm(conditions=tuple(conditions), writes=tuple(write_forms))
    return msgspec.json.encode(form)


def _versioned_row(form: _RowForm) -> VersionedRow:
    data = bytes(form.value)
    if data == _ABSENT_VALUE:
        return VersionedRow(key=form.key, version=form.version, row=None)
    decoded = decode_row(data)
    return VersionedRow(
        key=form.key, version=form.version, row=decoded.row, token=decoded.token
    )


def _conflicting_row(form: _RowForm) -> VersionedRow:
    """Decode a row that a transaction conflicts with.

    If the content cannot be decoded, the row has just its version.
    """
    try:
        return _versioned_row(form)
    except BulrushpulleyError:
        return VersionedRow(key=form.key, version=form.version, row=None)


def _fence(form: _RowForm) -> Fence:
    data = bytes(form.value)
    token = "" if data == _ABSENT_VALUE else _decode_fence(data).token
    return Fence(key=form.key, version=form.version, token=token)


def _conflicted(transact: Transact, body: bytes) -> TransactionConflicted:
    forms = _decode_conflict(body).rows
    fence_key = transact.fence.key
    fences = [_fence(form) for form in forms if form.key == fence_key]
    rows = [_conflicting_row(form) for form in forms if form.key != fence_key]
    return TransactionConflicted(
        lane=transact.lane,
        transaction_id=transact.transaction_id,
        rows=tuple(rows),
        fence=fences[0] if fences else None,
    )


class TableServiceClient:
    """Commits transactions and reads prefixes; each call blocks up to its timeout.

    Besides the errors of `HttpClient.exchange`, a status other than commit or
    conflict raises `RejectedError`, and a malformed answer raises `AnswerLostError`,
    since the request may still have had effect.
    """

    def __init__(self, *, url: str, connections: int) -> None:
        self._http = HttpClient(url=url, connections=connections, service="table")

    def transact(
        self, transact: Transact
    ) -> TransactionCommitted | TransactionConflicted:
        """Send one transaction once."""
        body = _encode_transaction(transact)
        answer = self._http.exchange(
            "POST", TRANSACTIONS_PATH, timeout_s=transact.timeout_s, body=body
        )
        if answer.status not in TRANSACTION_STATUSES:
            problem = self._http.invalid_answer(
                "table.transact", f"status {answer.status}"
            )
            raise RejectedError(problem=problem)
        try:
            if answer.status == http.HTTPStatus.CONFLICT:
                return _conflicted(transact, answer.body)
            return TransactionCommitted(
                lane=transact.lane,
                transaction_id=transact.transaction_id,
                revision=_decode_committed(answer.body).revision,
                sent_bytes=len(body),
            )
        except DECODING_ERRORS as error:
            problem = self._http.invalid_answer("table.transact", str(error))
            raise AnswerLostError(problem=problem) from error

    def read_page(self, prefix: str, since: int, *, timeout_s: float) -> Page:
        """Read the next rows under `prefix` with a version above `since`."""
        path = f"/v1/rows?prefix={quote(prefix)}&since={since}&limit={PAGE_ROWS}"
        answer = self._http.exchange("GET", path, timeout_s=timeout_s)
        try:
            form = _decode_page(answer.body)
        except DECODING_ERRORS as error:
            problem = self._http.invalid_answer("table.read", str(error))
            raise AnswerLostError(problem=problem) from error
        rows = tuple(_versioned_row(row) for row in form.rows)
        return Page(revision=form.revision, rows=rows, more=form.more)
