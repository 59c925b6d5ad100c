"""What operators read of the system, in the platform's encoding."""

from __future__ import annotations

from functools import singledispatch

import msgspec

from bulrushpulley.entities.jobs.rows import Row, WaveStatusRow
from bulrushpulley.wire.job_rows import encode_row


@singledispatch
def encode_stored_row(row: Row) -> bytes:
    """Return the bytes of a row; the product's own rows have its own encoding."""
    return encode_row(row)


@encode_stored_row.register
def _(row: WaveStatusRow) -> bytes:
    return msgspec.json.encode({"State": row.state.value})
