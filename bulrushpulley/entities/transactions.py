"""What the committer asks of the table service and what it learns.

A transaction is written on a lane of its process. Besides the writes of its
submissions it moves the lane's fence, a row that no one else writes, so the fence
shows for certain which of the lane's transactions was the last to commit.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.commit import Condition, VersionedRow
from bulrushpulley.entities.rows import DurableRow
from bulrushpulley.entities.step import Command, Event


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenWrite:
    """Puts `row` with the token of its submission; None deletes."""

    key: str
    row: DurableRow | None
    token: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """A lane's fence: its key, its version and the transaction that moved it last."""

    key: str
    version: int
    token: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Transact(Command):
    """Sends a transaction; exactly one `TransactionEnded` comes back.

    It takes effect only while the fence stands at `fence.version`, and then leaves
    `transaction_id` there as token.
    """

    lane: str
    transaction_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[TokenWrite, ...]
    fence: Fence
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionEnded(Event):
    """The base of what becomes known when a request to commit has ended."""

    lane: str
    transaction_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionCommitted(TransactionEnded):
    """The transaction took effect as commit number `revision`."""

    revision: int
    sent_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionConflicted(TransactionEnded):
    """This request had no effect; `rows` and `fence` are what barred it.

    `fence` is None if the fence stood where it was expected. An earlier request
    with the same transaction may have had effect; the fence tells.
    """

    rows: tuple[VersionedRow, ...]
    fence: Fence | None


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionRefused(TransactionEnded):
    """This request surely had no effect and will have none."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionRejected(TransactionEnded):
    """The store does not take this content, now or later; it had no effect."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionLost(TransactionEnded):
    """No answer came; the request may have had effect or may yet have it."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRows(Command):
    """Reads a prefix to its end; `RowsRead` or `ReadFailed` comes back."""

    read_id: str
    prefix: str
    since: int
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RowsRead(Event):
    """The rows under a prefix, complete up to `revision`."""

    read_id: str
    revision: int
    rows: tuple[VersionedRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed(Event):
    """The prefix could not be read."""

    read_id: str
    reason: str
