"""Encodes the durable rows of jobs as MessagePack with the name of their kind.

Large rows are compressed. Fields that a newer version added are ignored, and fields
that an older one did not write take their defaults, so that versions can run side by
side.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from bulrushpulley.entities.jobs import rows
from bulrushpulley.entities.jobs.row_checks import row_defect
from bulrushpulley.entities.jobs.spec import SPEC_WITHOUT_STEPS, JobSpec
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.compression import compress, decompress
from bulrushpulley.wire.decoding import DECODING_ERRORS

STEP = "row.decode"


@dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A row with the name of its kind."""

    kind: str
    row: msgspec.Raw


ROW_CLASS_BY_KIND: Mapping[str, type[rows.Row]] = {
    "owner": rows.OwnerRow,
    "job": rows.JobRow,
    "ended-job": rows.EndedJobRow,
    "cancel": rows.CancelRow,
    "progress": rows.ProgressRow,
    "host": rows.HostRow,
    "backlog": rows.BacklogRow,
    "wave": rows.WaveRow,
    "harms": rows.HarmsRow,
}
KIND_BY_ROW_CLASS = {row_class: kind for kind, row_class in ROW_CLASS_BY_KIND.items()}

_decode_envelope = msgspec.msgpack.Decoder(Envelope).decode


def encode_row(row: rows.Row) -> bytes:
    """Encode a row."""
    data = msgspec.msgpack.encode(row)
    envelope = Envelope(kind=KIND_BY_ROW_CLASS[type(row)], row=msgspec.Raw(data))
    return compress(msgspec.msgpack.encode(envelope))


def spec_bytes(spec: JobSpec) -> int:
    """Return how many bytes a spec takes in the row of its job."""
    return len(compress(msgspec.msgpack.encode(spec)))


def decode_row(data: bytes, *, peer: str) -> rows.Row:
    """Decode a row and check that it can be used.

    Raises `BulrushpulleyError` if the data is malformed or a value is out of range.
    """
    try:
        envelope = _decode_envelope(decompress(data))
        row_class = ROW_CLASS_BY_KIND[envelope.kind]
        row = msgspec.msgpack.decode(envelope.row, type=row_class)
    except DECODING_ERRORS as error:
        raise _row_error(peer, f"{type(error).__name__}: {error}") from error
    if type(row) is rows.JobRow and row.spec == SPEC_WITHOUT_STEPS:
        # Earlier versions shortened the row of an ended job, but left its kind.
        row = rows.ended_row(row)
    defect = row_defect(row)
    if defect:
        raise _row_error(peer, defect)
    return row


def _row_error(peer: str, detail: str) -> BulrushpulleyError:
    problem = Problem(code=Code.INVALID, step=STEP, peer=peer, detail=detail)
    return BulrushpulleyError(problem=problem)
