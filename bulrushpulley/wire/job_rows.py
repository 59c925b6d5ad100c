"""The encoding of the durable rows of jobs: MessagePack with the name of the kind.

Large rows are deflated.

Fields that a newer version added are passed over, and fields that an older one did
not write take their defaults, so that versions can run side by side.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from bulrushpulley.entities.jobs import rows
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.packed import pack, unpack

STEP = "row.decode"


@dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """A row with the name of its kind."""

    kind: str
    row: msgspec.Raw


KIND_BY_NAME: Mapping[str, type[rows.Row]] = {
    "owner": rows.OwnerRow,
    "job": rows.JobRow,
    "cancel": rows.CancelRow,
    "progress": rows.ProgressRow,
    "host": rows.HostRow,
    "backlog": rows.BacklogRow,
    "wave": rows.WaveRow,
    "harms": rows.HarmsRow,
}
NAME_BY_KIND = {kind: name for name, kind in KIND_BY_NAME.items()}

_decode_envelope = msgspec.msgpack.Decoder(Envelope).decode


def encode_row(row: rows.Row) -> bytes:
    """Return the bytes of a row."""
    data = msgspec.msgpack.encode(row)
    envelope = Envelope(kind=NAME_BY_KIND[type(row)], row=msgspec.Raw(data))
    return pack(msgspec.msgpack.encode(envelope))


def decode_row(data: bytes, *, peer: str) -> rows.Row:
    """Return the row of some bytes; raises `BulrushpulleyError` if they make none."""
    try:
        envelope = _decode_envelope(unpack(data))
        kind = KIND_BY_NAME[envelope.kind]
        return msgspec.msgpack.decode(envelope.row, type=kind)
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        detail = f"{type(error).__name__}: {error}"
        problem = Problem(code=Code.INVALID, step=STEP, peer=peer, detail=detail)
        raise BulrushpulleyError(problem=problem) from error
