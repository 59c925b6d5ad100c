"""Encodes rows for the store; those for operators in the platform's encoding."""

from __future__ import annotations

from functools import singledispatch

import msgspec

from bulrushpulley.entities.jobs.rows import Row, WaveStatusRow
from bulrushpulley.wire.job_rows import encode_row


@singledispatch
def encode_stored_row(row: Row) -> bytes:
    """Encode a row; rows that are not for operators have the internal encoding."""
    return encode_row(row)


@encode_stored_row.register
def _(row: WaveStatusRow) -> bytes:
    return msgspec.json.encode({"State": row.state.value})
