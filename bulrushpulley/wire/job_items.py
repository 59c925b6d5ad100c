"""The encoding of the items between scheduler and agents, for the link's frames."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

import msgspec

from bulrushpulley.entities.jobs import items
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.compression import compress, decompress

STEP = "link.decode"

ITEM_CLASSES: tuple[type[items.JobItem], ...] = (
    items.Adopt,
    items.Orders,
    items.EndsNoted,
    items.ContactAck,
    items.Contact,
    items.Measures,
    items.HarmVerdicts,
    items.HostReport,
    items.RunsReport,
    items.RunRefused,
    items.LifeEnded,
)
ITEM_CLASS_BY_NAME: Mapping[str, type[items.JobItem]] = {
    kind.__name__: kind for kind in ITEM_CLASSES
}


def encode_job_item(item: items.JobItem) -> bytes:
    """Return the bytes of an item, which begin with the name of its kind."""
    return compress(msgspec.msgpack.encode((type(item).__name__, item)))


def decode_job_item(data: bytes, peer: str) -> items.JobItem | None:
    """Return the item that `peer` sent; None for a kind that is not known."""
    try:
        plain = decompress(data)
        name, body = msgspec.msgpack.decode(plain, type=tuple[str, msgspec.Raw])
        kind = ITEM_CLASS_BY_NAME.get(name)
        if kind is None:
            return None
        return replace(msgspec.msgpack.decode(body, type=kind), peer=peer)
    except (msgspec.MsgspecError, ValueError) as error:
        detail = f"{type(error).__name__}: {error}"
        problem = Problem(code=Code.INVALID, step=STEP, peer=peer, detail=detail)
        raise BulrushpulleyError(problem=problem) from error
