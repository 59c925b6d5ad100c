"""Log lines that say how an answer with operators' orders arrived."""

from __future__ import annotations

from bulrushpulley.entities.jobs.store import RangeRead, RowsChanged
from bulrushpulley.entities.observe import Decision, Observe
from bulrushpulley.entities.step import Command


def lines(
    event: RangeRead | RowsChanged, *, read: str, sent_at: float, now: float
) -> tuple[Command, ...]:
    """Return the line and the duration of an answer with rows.

    `read` names the kind of read, whose call was requested at `sent_at`.
    """
    receipt = event.receipt
    if receipt is None or not event.rows:
        return ()
    keys = {stored.key.key for stored in event.rows}
    line = Decision(
        kind="orders.read",
        subject=read,
        chosen=f"{len(event.rows)} rows of {len(keys)} keys",
        reason=f"{receipt.size_bytes} bytes,"
        f" {receipt.started_at - sent_at:.2f} s until a thread was free,"
        f" {receipt.waited_s:.2f} s until the answer began,"
        f" {receipt.transferred_s:.2f} s of transfer,"
        f" {receipt.decoding_s:.2f} s of decoding,"
        f" {now - receipt.decoded_at:.2f} s until the tick",
        revision=event.version,
    )
    duration = Observe(name="orders_read_seconds", seconds=now - sent_at, label=read)
    return (line, duration)
