"""Encodes durable rows for the table service and the links.

A row is encoded as JSON with the token of the submission that wrote it and a kind
that identifies its class::

    {"token": "a1/7", "kind": "revision", "row": {"revision": 3}}

Unknown keys are ignored, so that an older process can read the rows of a newer one.
The `kind` of a `RecordRow` determines the class of its record.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from bulrushpulley.entities.records import (
    CellRecord,
    FailureDomainRecord,
    JobRecord,
    PolicyRecord,
    Record,
    ServiceRecord,
)
from bulrushpulley.entities.rows import (
    AliveRow,
    BacklogRow,
    ClaimRow,
    DurableRow,
    LeaseRow,
    MemberRow,
    RecordRow,
    RevisionRow,
    TaskRow,
)
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.decoding import DECODING_ERRORS

STEP = "rows.decode"

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedRow:
    """A row and the token of the submission that wrote it."""

    row: DurableRow
    token: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Envelope:
    token: str
    kind: str
    row: msgspec.Raw


@dataclass(frozen=True, kw_only=True, slots=True)
class _RecordEnvelope:
    kind: str
    schema_version: int
    record: msgspec.Raw
    author: str
    revision: int


def _decoder(cls: type[T]) -> Callable[[bytes | msgspec.Raw], T]:
    return msgspec.json.Decoder(cls).decode


RECORD_DECODER_BY_KIND: Mapping[str, Callable[[msgspec.Raw], Record]] = {
    "service": _decoder(ServiceRecord),
    "job": _decoder(JobRecord),
    "failure_domain": _decoder(FailureDomainRecord),
    "policy": _decoder(PolicyRecord),
    "cell": _decoder(CellRecord),
}

KIND_BY_ROW_CLASS: Mapping[type[Any], str] = {
    RecordRow: "record",
    RevisionRow: "revision",
    BacklogRow: "backlog",
    TaskRow: "task",
    LeaseRow: "lease",
    AliveRow: "alive",
    MemberRow: "member",
    ClaimRow: "claim",
}

_decode_envelope = _decoder(_Envelope)
_decode_record_envelope = _decoder(_RecordEnvelope)


def _decode_record_row(data: msgspec.Raw) -> RecordRow:
    envelope = _decode_record_envelope(data)
    if envelope.kind not in RECORD_DECODER_BY_KIND:
        raise _malformed(f"unknown kind of record {envelope.kind!r}")
    return RecordRow(
        kind=envelope.kind,
        schema_version=envelope.schema_version,
        record=RECORD_DECODER_BY_KIND[envelope.kind](envelope.record),
        author=envelope.author,
        revision=envelope.revision,
    )


ROW_DECODER_BY_KIND: Mapping[str, Callable[[msgspec.Raw], DurableRow]] = {
    "record": _decode_record_row,
    "revision": _decoder(RevisionRow),
    "backlog": _decoder(BacklogRow),
    "task": _decoder(TaskRow),
    "lease": _decoder(LeaseRow),
    "alive": _decoder(AliveRow),
    "member": _decoder(MemberRow),
    "claim": _decoder(ClaimRow),
}


def _malformed(detail: str) -> BulrushpulleyError:
    problem = Problem(code=Code.INVALID, step=STEP, peer="table service", detail=detail)
    return BulrushpulleyError(problem=problem)


def encode_row(row: DurableRow, token: str) -> bytes:
    """Encode a row together with the token of the submission that writes it."""
    kind = KIND_BY_ROW_CLASS[type(row)]
    raw = msgspec.Raw(msgspec.json.encode(row))
    return msgspec.json.encode(_Envelope(token=token, kind=kind, row=raw))


def decode_row(data: bytes) -> DecodedRow:
    """Decode the output of `encode_row`; raises `BulrushpulleyError` if malformed."""
    try:
        envelope = _decode_envelope(data)
        if envelope.kind not in ROW_DECODER_BY_KIND:
            raise _malformed(f"unknown kind of row {envelope.kind!r}")
        row = ROW_DECODER_BY_KIND[envelope.kind](envelope.row)
    except DECODING_ERRORS as error:
        raise _malformed(str(error)) from error
    return DecodedRow(row=row, token=envelope.token)
