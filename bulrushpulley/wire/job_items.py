"""Encodes the items exchanged by scheduler and agents, for the frames of a link."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs import items
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.compression import compress, decompress
from bulrushpulley.wire.decoding import DECODING_ERRORS

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
    item_class.__name__: item_class for item_class in ITEM_CLASSES
}


def encode_job_item(item: items.JobItem) -> bytes:
    """Encode an item, preceded by the name of its class; compress it if it is large."""
    return compress(msgspec.msgpack.encode((type(item).__name__, item)))


def decode_job_item(data: bytes, peer: str) -> items.JobItem | None:
    """Decode an item that `peer` sent; None if its class is unknown.

    Raises `BulrushpulleyError` if the data is malformed.
    """
    try:
        plain = decompress(data)
        name, body = msgspec.msgpack.decode(plain, type=tuple[str, msgspec.Raw])
        item_class = ITEM_CLASS_BY_NAME.get(name)
        if item_class is None:
            return None
        return replace(msgspec.msgpack.decode(body, type=item_class), peer=peer)
    except DECODING_ERRORS as error:
        detail = f"{type(error).__name__}: {error}"
        problem = Problem(code=Code.INVALID, step=STEP, peer=peer, detail=detail)
        raise BulrushpulleyError(problem=problem) from error
