"""Values of rows that another writer may leave in the store."""

from __future__ import annotations

import msgspec

from bulrushpulley.entities.jobs.rows import HostRow, OwnerRow
from bulrushpulley.wire.job_rows import encode_row

NESTING_DEPTH = 20_000
VALUE_BY_CONTENT = {
    "bytes": b"\xff odd",
    # A reader that expects an object skips an unknown field, which recurses.
    "nested": msgspec.msgpack.encode(
        {"kind": "host", "more": msgspec.Raw(b"\x91" * NESTING_DEPTH + b"\xc0")}
    ),
    "port": encode_row(
        HostRow(
            host="odd", address="127.0.0.1:99999", failure_domain="z1", region="ege"
        )
    ),
    "number": encode_row(
        OwnerRow(holder="odd", incarnation="odd-1", epoch=2**63, sequence=0)
    ),
}
