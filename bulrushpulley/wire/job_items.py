"""Encodes the items exchanged by scheduler and agents, for the frames of a link.

Items are maps with the names of their fields. The books of a contact are a list, as
each agent sends them every 0.8 s and the names would take most of the bytes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatch

import msgspec

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs import items
from bulrushpulley.entities.jobs.books import Books
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


class BooksList(msgspec.Struct, array_like=True, frozen=True):
    """`Books` without the names of the fields; times are whole milliseconds."""

    adoption: int
    orders: int = 0
    misses_orders: bool = False
    runs: bytes = b""
    host: bytes = b""
    ends: int = 0
    oldest_end_ms: int = 0
    first_end: int = 0
    verdicts: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ContactMessage:
    """A `Contact` as it is sent."""

    epoch: int
    sent_at: float
    books: BooksList | None = None


@singledispatch
def message_of(item: object) -> object:
    """Return what is sent for an item; by default its fields by their names."""
    return item


@message_of.register
def _(item: items.Contact) -> ContactMessage:
    books = item.books
    if books is None:
        return ContactMessage(epoch=item.epoch, sent_at=item.sent_at)
    listed = BooksList(
        adoption=books.adoption,
        orders=books.orders,
        misses_orders=books.misses_orders,
        runs=books.runs,
        host=books.host,
        ends=books.ends,
        oldest_end_ms=round(books.oldest_end_s * 1_000),
        first_end=books.first_end,
        verdicts=books.verdicts,
    )
    return ContactMessage(epoch=item.epoch, sent_at=item.sent_at, books=listed)


@singledispatch
def item_of(message: items.JobItem | ContactMessage, peer: str) -> items.JobItem:
    """Return the item of a message that `peer` sent."""
    raise NotImplementedError(type(message).__name__)


@item_of.register
def _(message: items.JobItem, peer: str) -> items.JobItem:
    return replace(message, peer=peer)


@item_of.register
def _(message: ContactMessage, peer: str) -> items.JobItem:
    listed = message.books
    books = None
    if listed is not None:
        books = Books(
            adoption=listed.adoption,
            orders=listed.orders,
            misses_orders=listed.misses_orders,
            runs=listed.runs,
            host=listed.host,
            ends=listed.ends,
            oldest_end_s=listed.oldest_end_ms / 1_000,
            first_end=listed.first_end,
            verdicts=listed.verdicts,
        )
    return items.Contact(
        peer=peer, epoch=message.epoch, sent_at=message.sent_at, books=books
    )


MESSAGE_CLASS_BY_NAME: Mapping[str, type[items.JobItem | ContactMessage]] = {
    **ITEM_CLASS_BY_NAME,
    items.Contact.__name__: ContactMessage,
}


def encode_job_item(item: items.JobItem) -> bytes:
    """Encode an item, preceded by the name of its class; compress it if it is large."""
    return compress(msgspec.msgpack.encode((type(item).__name__, message_of(item))))


def decode_job_item(data: bytes, peer: str) -> items.JobItem | None:
    """Decode an item that `peer` sent; None if its class is unknown.

    Raises `BulrushpulleyError` if the data is malformed.
    """
    try:
        plain = decompress(data)
        name, body = msgspec.msgpack.decode(plain, type=tuple[str, msgspec.Raw])
        message_class = MESSAGE_CLASS_BY_NAME.get(name)
        if message_class is None:
            return None
        return item_of(msgspec.msgpack.decode(body, type=message_class), peer)
    except DECODING_ERRORS as error:
        detail = f"{type(error).__name__}: {error}"
        problem = Problem(code=Code.INVALID, step=STEP, peer=peer, detail=detail)
        raise BulrushpulleyError(problem=problem) from error
